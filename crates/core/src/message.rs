//! The messages between entry hosts.
//!
//! Messages may be lost, duplicated, delayed or reordered. Handlers are therefore idempotent, and
//! ignore messages about earlier attempts.

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
    /// Probes a host and gossips recent changes.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat and gossips recent changes.
    HeartbeatAck(Heartbeat),
    /// Requests all state that the sender lacks (anti-entropy).
    SyncAsk(SyncAsk),
    /// Answers with the state that the requester lacks.
    SyncReply(SyncReply),
    /// Asks an engine's owner for a permit to send one request to the engine.
    PermitAsk(PermitAsk),
    /// The request is queued at the owner.
    PermitQueued(PermitQueued),
    /// The request may be sent once.
    PermitGranted(PermitGranted),
    /// The request must not be sent.
    PermitRefused(PermitRefused),
    /// The request ended or was abandoned.
    PermitDone(PermitDone),
    /// Asks the holder of permits which of them are still in use.
    PermitCheck(PermitCheck),
    /// Asks for a turn to load from the weight store, or reports that a granted one is still in use.
    LoadAsk(LoadAsk),
    /// Reports the queue position of a load.
    LoadPlace(LoadPlace),
    /// Grants the turn.
    LoadGrant(LoadTurn),
    /// The load ended or is no longer wanted.
    LoadEnd(LoadTurn),
    /// Requests settings records from an offset on.
    SettingsPull(SettingsPull),
    /// Sends records of the settings stream.
    SettingsRecords(SettingsRecords),
    /// Sends a settings snapshot.
    SettingsState(SettingsState),
}

/// A heartbeat, with recent changes of the tables that are replicated to all hosts of the site.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Sequence number of the sender's heartbeat; an acknowledgement repeats it.
    pub sequence: u64,
    /// The sender's own membership entry.
    pub sender: MemberUpdate,
    /// The sender's settings revision.
    pub revision: Revision,
    /// The era of the log that the sender has folded.
    pub era: StoreEra,
    /// The offset of the next settings record that the sender lacks.
    pub next_offset: LogOffset,
    /// Hash of the sender's tables; a mismatch triggers a [`SyncAsk`].
    pub table_hash: u64,
    /// Members that changed recently.
    pub members: Vec<MemberUpdate>,
    /// Engines whose resident adapters changed recently.
    pub digests: Vec<EngineDigest>,
}

/// The state that the requester has, so that only the rest is sent.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SyncAsk {
    /// Versions of the engine digests it has.
    pub digests: Vec<DigestVersion>,
    /// All members it knows.
    pub members: Vec<MemberUpdate>,
    /// Whether it has never received the platform's host list and requests the backend servers too.
    pub wants_backends: bool,
}

/// The state that the requester lacks.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SyncReply {
    /// Newer engine digests.
    pub digests: Vec<EngineDigest>,
    /// All members that the responder knows.
    pub members: Vec<MemberUpdate>,
    /// The backend servers of the host list, if requested.
    pub backends: Vec<HostEntry>,
}

/// Asks for a permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitAsk {
    /// The engine.
    pub engine: EngineId,
    /// Attempt number of the request; answers to earlier attempts are ignored.
    pub attempt: u32,
    /// How long the request can still wait. A duration, because the clocks of hosts differ.
    pub max_wait: Duration,
    /// The request. The receiver computes its `deadline` from `max_wait`.
    pub request: PermitRequest,
    /// Whether the owner may load the adapter; otherwise the adapter must be resident.
    pub may_load: bool,
    /// Whether the owner may load the adapter although another engine has it, because that engine is
    /// full.
    pub replica: bool,
}

/// The request is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitQueued {
    /// The request.
    pub request: RequestId,
    /// The attempt that is answered.
    pub attempt: u32,
}

/// The request may be sent to the engine once, with this token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitGranted {
    /// The request.
    pub request: RequestId,
    /// The attempt that is answered.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// The fencing token for the engine.
    pub token: FenceToken,
    /// Utilization of the engine, in percent of its streams.
    pub fill: u32,
    /// Whether the request waited for a load.
    pub stalled: bool,
}

/// The request must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRefused {
    /// The request.
    pub request: RequestId,
    /// The attempt that is answered.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// The reason for the refusal.
    pub reason: PermitRefusal,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
}

/// The reason why a permit was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitRefusal {
    /// The host does not own the engine; look up the owner again.
    NotOwner,
    /// The engine is leaving or has left; use another one.
    Leaving,
    /// The adapter is resident on the given engine; ask its owner.
    Elsewhere(EngineId),
    /// The adapter is not resident and `may_load` was not set; route again.
    NotResident,
    /// Refuse the caller's request with this kind.
    Final(RefusalKind),
}

/// The permit is no longer in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDone {
    /// The request.
    pub request: RequestId,
    /// The attempt that held the permit.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// Whether it is certain that the request is not running and cannot still arrive at the engine.
    pub clean: bool,
}

/// Asks a permit holder which permits it still uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitCheck {
    /// The engine.
    pub engine: EngineId,
    /// The requests and attempts of the permits.
    pub permits: Vec<PermitQueued>,
}

/// Asks for a turn to load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadAsk {
    /// The engine that loads the adapter.
    pub engine: EngineId,
    /// The adapter to load.
    pub adapter: AdapterKey,
    /// Value of the load; the highest value is granted first.
    pub value: f64,
    /// Whether the turn was granted and the load is still running.
    pub running: bool,
}

/// The queue position of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPlace {
    /// The engine.
    pub engine: EngineId,
    /// The adapter.
    pub adapter: AdapterKey,
    /// Number of loads ahead of this one, including running ones.
    pub before: u32,
    /// Current mean duration of a turn.
    pub turn: Duration,
}

/// A turn to load an adapter from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTurn {
    /// The engine.
    pub engine: EngineId,
    /// The adapter.
    pub adapter: AdapterKey,
}

/// Requests settings records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsPull {
    /// The era of the log that the requester has folded.
    pub era: StoreEra,
    /// The first offset that the requester lacks.
    pub next_offset: LogOffset,
}

/// Records of the settings stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsRecords {
    /// The era of the log that contains the records.
    pub era: StoreEra,
    /// The records, in offset order.
    pub records: Vec<LogRecord>,
}

/// A settings snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsState {
    /// The era of the log that the snapshot covers.
    pub era: StoreEra,
    /// The snapshot, as JSON.
    pub snapshot: Vec<u8>,
}

/// A message and its receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub message: PeerMessage,
}
