//! The messages between entry hosts.
//!
//! Every message may be lost, doubled, late or out of order. Each handler therefore gives the same
//! end state for a message that comes twice, and ignores one that speaks of a past attempt.

use std::time::Duration;

use crate::{
    gossip::{DigestVersion, EngineDigest},
    id::{AdapterKey, EngineId, FenceToken, HostId, LogOffset, RequestId, Revision, StoreEra},
    member::MemberUpdate,
    node::HostEntry,
    request::{PermitRequest, RefusalKind},
    settings::fold::LogRecord,
};

/// A message from one entry host to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Asks for a sign of life and passes on what changed.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat, likewise.
    HeartbeatAck(Heartbeat),
    /// Asks for all that the sender does not have; the repair for lost changes.
    SyncAsk(SyncAsk),
    /// Answers with what the asker lacked.
    SyncReply(SyncReply),
    /// Asks an engine's owner for leave to send one request to the engine.
    PermitAsk(PermitAsk),
    /// The request waits at the owner.
    PermitQueued(PermitQueued),
    /// The request may be sent, once.
    PermitGranted(PermitGranted),
    /// The request may not be sent.
    PermitRefused(PermitRefused),
    /// The request ended, or is not waited for any more.
    PermitDone(PermitDone),
    /// Asks which of these permits are still in use.
    PermitCheck(PermitCheck),
    /// Asks for a turn at the weight store, or says that one is still in use.
    LoadAsk(LoadAsk),
    /// Says how many loads go before.
    LoadPlace(LoadPlace),
    /// Gives the turn.
    LoadGrant(LoadTurn),
    /// The load ended or is not wanted any more.
    LoadEnd(LoadTurn),
    /// Asks for settings records from an offset on.
    SettingsPull(SettingsPull),
    /// Passes records of the settings stream on.
    SettingsRecords(SettingsRecords),
    /// Passes a snapshot on.
    SettingsState(SettingsState),
}

/// A sign of life, with changes of the tables that every host of the site keeps.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Counts the sender's heartbeats; an ack carries the number it answers.
    pub sequence: u64,
    /// The sender itself.
    pub sender: MemberUpdate,
    /// The sender's settings revision.
    pub revision: Revision,
    /// The era of the log that the sender folds.
    pub era: StoreEra,
    /// The sender's next offset of the settings stream.
    pub next_offset: LogOffset,
    /// Hash over the sender's tables; unequal hashes call for a [`SyncAsk`].
    pub table_hash: u64,
    /// Members that changed lately.
    pub members: Vec<MemberUpdate>,
    /// Engines whose residency changed lately.
    pub digests: Vec<EngineDigest>,
}

/// What the asker has, so that only the rest is sent.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SyncAsk {
    /// Versions of the engine digests it has.
    pub digests: Vec<DigestVersion>,
    /// All members it knows, as it sees them.
    pub members: Vec<MemberUpdate>,
    /// Whether it has never seen the platform's host list and asks for the backend servers too.
    pub wants_backends: bool,
}

/// What the asker lacked.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SyncReply {
    /// Newer digests.
    pub digests: Vec<EngineDigest>,
    /// All members the answerer knows.
    pub members: Vec<MemberUpdate>,
    /// The backend servers of the host list, where they were asked for.
    pub backends: Vec<HostEntry>,
}

/// Asks for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitAsk {
    /// The engine.
    pub engine: EngineId,
    /// Counts the request's asks; an answer to an earlier one is ignored.
    pub attempt: u32,
    /// How long the request can still wait; hosts' clocks are not compared.
    pub max_wait: Duration,
    /// The request; its `deadline` is filled in by the receiver from `max_wait`.
    pub request: PermitRequest,
    /// Whether the owner may load the adapter for it; otherwise it only serves what is resident.
    pub may_load: bool,
    /// Whether it may do so although another engine holds the adapter: that one has no room.
    pub replica: bool,
}

/// The request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitQueued {
    /// The request.
    pub request: RequestId,
    /// The ask it answers.
    pub attempt: u32,
}

/// The request may be sent to the engine, once, with this token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitGranted {
    /// The request.
    pub request: RequestId,
    /// The ask it answers.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// The token the engine checks.
    pub token: FenceToken,
    /// How full the engine is, in hundredths of its streams.
    pub fill: u32,
    /// Whether the request waited for a load.
    pub stalled: bool,
}

/// The request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRefused {
    /// The request.
    pub request: RequestId,
    /// The ask it answers.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// Why.
    pub reason: PermitRefusal,
    /// When it makes sense to come back.
    pub retry_after: Option<Duration>,
}

/// Why a permit was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitRefusal {
    /// The host does not own the engine (any more); look up the owner again.
    NotOwner,
    /// The engine is leaving or gone; use another one.
    Leaving,
    /// The adapter is on that engine; ask there.
    Elsewhere(EngineId),
    /// The adapter is not there and the ask does not allow to load it; route again.
    NotResident,
    /// Give the caller this answer.
    Final(RefusalKind),
}

/// The permit is not used any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDone {
    /// The request.
    pub request: RequestId,
    /// The attempt that had the permit.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// Whether it is certain that nothing of the request runs or can still arrive there.
    pub clean: bool,
}

/// Asks a holder which permits it still uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitCheck {
    /// The engine.
    pub engine: EngineId,
    /// Requests and attempts.
    pub permits: Vec<PermitQueued>,
}

/// Asks for a turn at the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadAsk {
    /// The engine that would load.
    pub engine: EngineId,
    /// What it would load.
    pub adapter: AdapterKey,
    /// What the load is worth; the highest goes first.
    pub value: f64,
    /// Whether the turn was given and the load still runs.
    pub running: bool,
}

/// How many loads go before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPlace {
    /// The engine.
    pub engine: EngineId,
    /// The adapter.
    pub adapter: AdapterKey,
    /// Loads of higher value that wait or run.
    pub before: u32,
    /// How long one turn takes at present.
    pub turn: Duration,
}

/// A turn at the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTurn {
    /// The engine.
    pub engine: EngineId,
    /// The adapter.
    pub adapter: AdapterKey,
}

/// Asks for settings records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsPull {
    /// The era of the log that the asker folds.
    pub era: StoreEra,
    /// The first offset the asker lacks.
    pub next_offset: LogOffset,
}

/// Records of the settings stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsRecords {
    /// The era of the log that they are of.
    pub era: StoreEra,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}

/// The state after a prefix of the settings stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsState {
    /// The era of the log that it is of.
    pub era: StoreEra,
    /// The snapshot, as JSON.
    pub snapshot: Vec<u8>,
}

/// A message and whom it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: PeerMessage,
}
