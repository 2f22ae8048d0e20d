//! Faults and the steps at which they are injected.

use serde::{Deserialize, Serialize};

/// A step of a request, a load, a publication or a stop at which a fault can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// A request from a caller arrives at a host.
    RequestArrives,
    /// A request for a permit arrives at the owner of an engine.
    #[serde(rename = "ask_arrives")]
    PermitAskArrives,
    /// A granted permit arrives at the host that asked for it.
    #[serde(rename = "grant_arrives")]
    PermitGrantArrives,
    /// A request is about to be written to a backend server.
    RequestSends,
    /// A backend server starts to run a request.
    RequestRuns,
    /// A backend server has completed a request.
    RequestEnds,
    /// The report that a permitted request ended arrives at the owner of an engine.
    #[serde(rename = "done_arrives")]
    PermitDoneArrives,
    /// A request for a load slot at the weight store arrives.
    #[serde(rename = "turn_asked")]
    LoadAskArrives,
    /// A granted load slot arrives at the owner of an engine.
    #[serde(rename = "turn_arrives")]
    LoadGrantArrives,
    /// An engine starts a load.
    LoadBegins,
    /// An engine has completed a load.
    LoadEnds,
    /// An order to unload an adapter arrives at an engine.
    UnloadArrives,
    /// An order to raise the fencing token arrives at an engine.
    #[serde(rename = "raise_arrives")]
    RaiseFenceArrives,
    /// A claim is appended to the log.
    ClaimAppends,
    /// A host reads claims from the log.
    ClaimReads,
    /// A publication is appended to the log.
    PublicationAppends,
    /// A host reads publications from the log.
    PublicationReads,
    /// A heartbeat arrives at a host.
    HeartbeatArrives,
    /// A host starts a planned stop.
    #[serde(rename = "drain_begins")]
    HostDrainBegins,
    /// An engine starts a planned stop.
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

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The host at the step is killed and starts again when the fault ends.
    HostKilled,
    /// The host at the step is frozen until the fault ends.
    HostFrozen,
    /// The engine at the step, or the first one, restarts without adapters.
    EngineRestarted,
    /// Loads fail.
    LoadFails,
    /// Orders take effect, but their answers are lost.
    OrderAnswerLost,
    /// Orders to engines are delayed by seconds.
    OrderLate,
    /// Orders to engines take effect after their sender has given up on them.
    #[serde(rename = "order_given_up")]
    OrderAbandoned,
    /// The weight store is unavailable and loads make no progress.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// The weight store is ten times slower.
    StoreSlow,
    /// The log can neither be read nor appended to.
    #[serde(rename = "log_away")]
    LogUnavailable,
    /// Reads from and appends to the log take seconds.
    LogSlow,
    /// The log is unavailable and then restored from a copy some seconds old; operators republish
    /// the lost changes.
    #[serde(rename = "log_falls_back")]
    LogRestoredOlder,
    /// Appends take effect, but their answers are lost.
    AppendAnswerLost,
    /// The host list is not updated.
    HostListStale,
    /// The host at the step receives no messages from its peers.
    #[serde(rename = "peers_cut_one_way")]
    PeersPartitionedOneWay,
    /// The host at the step and its peers receive no messages from each other.
    #[serde(rename = "peers_cut_both_ways")]
    PeersPartitionedBothWays,
    /// A hall cannot reach the other halls or the platform.
    #[serde(rename = "hall_cut_off")]
    HallPartitioned,
    /// The caller at the step disconnects.
    CallerGone,
    /// Messages between hosts arrive twice, the second time delayed.
    #[serde(rename = "message_doubled")]
    MessageDuplicated,
    /// Messages between hosts are delayed by seconds.
    MessageLate,
    /// Messages between hosts arrive out of order.
    MessageOutOfOrder,
    /// One in three messages between hosts is lost.
    MessageLost,
    /// Two operators publish conflicting changes of the same revision.
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

/// A fault to inject at an occurrence of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// The kind of fault.
    pub fault: FaultKind,
    /// The step at which it is injected.
    pub step: StepKind,
    /// The occurrence of the step, counted from 1.
    #[serde(default = "first")]
    pub nth: u64,
    /// The duration of the fault, in milliseconds.
    #[serde(rename = "lasts", default = "default_duration_ms")]
    pub duration_ms: u64,
}

const fn first() -> u64 {
    1
}

const fn default_duration_ms() -> u64 {
    6_000
}

/// The faults of a run and which of them have been injected.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The planned faults.
    pub faults: Vec<PlannedFault>,
    /// The indices of the injected faults.
    pub injected: Vec<usize>,
}

impl FaultPlan {
    /// Creates a plan of faults, none of them injected.
    pub const fn new(faults: Vec<PlannedFault>) -> Self {
        Self { faults, injected: Vec::new() }
    }

    /// Returns the faults due at the `count`-th occurrence of a step and marks them as injected.
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
