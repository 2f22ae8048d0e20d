//! Faults and the steps at which they strike.

use serde::{Deserialize, Serialize};

/// A step of a life cycle, as the fakes see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// A caller's request arrives at a host.
    RequestArrives,
    /// An ask for a permit arrives at an owner.
    #[serde(rename = "ask_arrives")]
    PermitAskArrives,
    /// A grant arrives at the host that asked.
    #[serde(rename = "grant_arrives")]
    PermitGrantArrives,
    /// A request is about to be written to a backend server.
    RequestSends,
    /// A backend server begins to run a request.
    RequestRuns,
    /// A backend server has ended a request.
    RequestEnds,
    /// The word of a request's end arrives at the owner.
    #[serde(rename = "done_arrives")]
    PermitDoneArrives,
    /// An ask for a turn at the store arrives.
    #[serde(rename = "turn_asked")]
    LoadAskArrives,
    /// A turn arrives at the owner.
    #[serde(rename = "turn_arrives")]
    LoadGrantArrives,
    /// An engine begins a load.
    LoadBegins,
    /// An engine has ended a load.
    LoadEnds,
    /// An unload order arrives at an engine.
    UnloadArrives,
    /// A raise order arrives at an engine.
    #[serde(rename = "raise_arrives")]
    RaiseFenceArrives,
    /// A claim is appended.
    ClaimAppends,
    /// A claim is read back.
    ClaimReads,
    /// A publication is appended.
    PublicationAppends,
    /// A publication is read by a host.
    PublicationReads,
    /// A heartbeat arrives.
    HeartbeatArrives,
    /// A host begins a planned stop.
    #[serde(rename = "drain_begins")]
    HostDrainBegins,
    /// An engine begins a planned stop.
    #[serde(rename = "leave_begins")]
    EngineDrainBegins,
}

impl StepKind {
    /// All steps.
    pub const ALL: [Self; 20] = [
        Self::RequestArrives,
        Self::PermitAskArrives,
        Self::PermitGrantArrives,
        Self::RequestSends,
        Self::RequestRuns,
        Self::RequestEnds,
        Self::PermitDoneArrives,
        Self::LoadAskArrives,
        Self::LoadGrantArrives,
        Self::LoadBegins,
        Self::LoadEnds,
        Self::UnloadArrives,
        Self::RaiseFenceArrives,
        Self::ClaimAppends,
        Self::ClaimReads,
        Self::PublicationAppends,
        Self::PublicationReads,
        Self::HeartbeatArrives,
        Self::HostDrainBegins,
        Self::EngineDrainBegins,
    ];
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The host at the step is killed; its successor starts when the fault ends.
    HostKilled,
    /// The host at the step is frozen, and wakes when the fault ends.
    HostFrozen,
    /// The engine at the step, or any, is restarted with nothing loaded.
    EngineRestarted,
    /// Loads fail.
    LoadFails,
    /// Answers to orders are lost after they took effect.
    OrderAnswerLost,
    /// Orders to engines are late.
    OrderLate,
    /// Orders to engines are given up by their sender and take effect seconds later.
    #[serde(rename = "order_given_up")]
    OrderAbandoned,
    /// The weight store gives nothing.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// The weight store is ten times as slow.
    StoreSlow,
    /// The log can neither be read nor appended to.
    #[serde(rename = "log_away")]
    LogUnavailable,
    /// The log takes seconds.
    LogSlow,
    /// The log is away, and comes back from a copy some seconds old; operators write again what it lost.
    #[serde(rename = "log_falls_back")]
    LogRestoredOlder,
    /// Appends take effect, their answers are lost.
    AppendAnswerLost,
    /// The host list does not change.
    HostListStale,
    /// The host at the step gets no messages from its peers.
    #[serde(rename = "peers_cut_one_way")]
    PeersPartitionedOneWay,
    /// The host at the step and its peers hear nothing of each other.
    #[serde(rename = "peers_cut_both_ways")]
    PeersPartitionedBothWays,
    /// A hall is cut off from the other halls and from the platform.
    #[serde(rename = "hall_cut_off")]
    HallPartitioned,
    /// The caller at the step hangs up.
    CallerGone,
    /// Messages between hosts come twice, the second time late.
    #[serde(rename = "message_doubled")]
    MessageDuplicated,
    /// Messages between hosts are late by seconds.
    MessageLate,
    /// Messages between hosts overtake one another.
    MessageOutOfOrder,
    /// Messages between hosts are lost, one in three.
    MessageLost,
    /// Two operators publish against the same revision at once.
    OperatorsRace,
    /// The wall clock of the host at the step jumps by an hour.
    ClockJump,
}

impl FaultKind {
    /// All faults.
    pub const ALL: [Self; 24] = [
        Self::HostKilled,
        Self::HostFrozen,
        Self::EngineRestarted,
        Self::LoadFails,
        Self::OrderAnswerLost,
        Self::OrderLate,
        Self::OrderAbandoned,
        Self::StoreUnavailable,
        Self::StoreSlow,
        Self::LogUnavailable,
        Self::LogSlow,
        Self::LogRestoredOlder,
        Self::AppendAnswerLost,
        Self::HostListStale,
        Self::PeersPartitionedOneWay,
        Self::PeersPartitionedBothWays,
        Self::HallPartitioned,
        Self::CallerGone,
        Self::MessageDuplicated,
        Self::MessageLate,
        Self::MessageOutOfOrder,
        Self::MessageLost,
        Self::OperatorsRace,
        Self::ClockJump,
    ];
}

/// One fault, placed at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// What goes wrong.
    pub fault: FaultKind,
    /// At which step.
    pub step: StepKind,
    /// At the how manyeth time that the step happens, from 1.
    #[serde(default = "first")]
    pub nth: u64,
    /// For how long, in milliseconds.
    #[serde(rename = "lasts", default = "default_duration_ms")]
    pub duration_ms: u64,
}

const fn first() -> u64 {
    1
}

const fn default_duration_ms() -> u64 {
    6_000
}

/// The faults of one run, and which of them struck.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// Indexes of those that struck.
    pub injected: Vec<usize>,
}

impl FaultPlan {
    /// Plans these faults.
    pub const fn new(faults: Vec<PlannedFault>) -> Self {
        Self { faults, injected: Vec::new() }
    }

    /// Returns the faults that strike at the `count`-th time of a step.
    pub(crate) fn take_due_faults(&mut self, step: StepKind, count: u64) -> Vec<PlannedFault> {
        let mut due = Vec::new();
        for (index, planned) in self.faults.iter().enumerate() {
            if planned.step == step && planned.nth == count {
                due.push(*planned);
                self.injected.push(index);
            }
        }
        due
    }
}
