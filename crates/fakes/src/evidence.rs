//! What the fakes saw.

use std::collections::BTreeMap;

use reelreel_core::{
    CallerOutcome, RefusalKind,
    id::{HostId, RequestId, Revision},
};

/// One request's run on a backend server.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The request.
    pub request: RequestId,
    /// The engine, or the plain server plus a million.
    pub backend: u32,
    /// The adapter's name as the engine ran it.
    pub adapter: String,
    /// When it began, in milliseconds.
    pub started_at: u64,
    /// When it ended whole, if it did.
    pub completed_at: Option<u64>,
}

/// Plain servers are numbered from here in [`RunRecord::backend`].
pub(crate) const SERVER_NUMBER_OFFSET: u32 = 1_000_000;

/// One caller's request, from its side.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request.
    pub request: RequestId,
    /// The host that it came to.
    pub host: HostId,
    /// The adapter's name that it must run on; empty for a plain service.
    pub adapter: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What it is worth.
    pub worth: f64,
    /// The organisation's name.
    pub organisation: String,
    /// When it came, in milliseconds.
    pub arrived_at: u64,
    /// How long the caller waits for the first token.
    pub max_wait_ms: u64,
    /// When the first token came.
    pub first_token_at: Option<u64>,
    /// What the caller was told in the end, and when.
    pub outcome: Option<(CallerOutcome, u64)>,
    /// Why it was refused.
    pub refusal: Option<RefusalKind>,
    /// Whether the caller itself hung up.
    pub disconnected: bool,
    /// When it had to wait for a load: how long, in milliseconds.
    pub first_run_at: Option<u64>,
}

/// A moment at which a configuration came into force on a host.
#[derive(Debug, Clone, Copy)]
pub struct RevisionChange {
    /// The host.
    pub host: HostId,
    /// The host's life.
    pub generation: u64,
    /// The revision.
    pub revision: Revision,
    /// When, in milliseconds.
    pub at: u64,
}

/// All that the fakes saw.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Runs, in the order they began.
    pub runs: Vec<RunRecord>,
    /// Callers' requests by id.
    pub callers: BTreeMap<RequestId, CallerRecord>,
    /// Requests cut because their adapter was unloaded while they ran.
    pub interrupted_by_unload: Vec<RequestId>,
    /// Requests cut because an engine or host that stopped as planned went away.
    pub interrupted_by_stop: Vec<RequestId>,
    /// Answers that reached a caller from another request's run.
    pub misdelivered: Vec<RequestId>,
    /// Requests that a leaving backend server got, with how late in milliseconds.
    pub received_while_leaving: Vec<(RequestId, u64)>,
    /// Configurations coming into force.
    pub revision_changes: Vec<RevisionChange>,
    /// Configurations accepted by the log: revision and time.
    pub accepted_at: BTreeMap<Revision, u64>,
    /// Loads begun, and those that failed.
    pub loads: u64,
    /// Loads of adapters that ran nothing before they were unloaded again.
    pub unused_loads: u64,
    /// Messages between hosts.
    pub messages: u64,
    /// Their bytes, where a measure is set.
    pub message_bytes: u64,
    /// Reports asked of engines.
    pub report_fetches: u64,
    /// Orders to engines.
    pub orders: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Running requests times milliseconds, and milliseconds in which anything ran, by engine.
    pub busy_time: BTreeMap<u32, (f64, f64)>,
    /// Since when each engine's share of `busy` is added up.
    pub busy_updated_at: BTreeMap<u32, f64>,
    /// When the last fault ended, or will.
    pub last_fault_end: Option<u64>,
    /// How often each step happened.
    pub step_counts: BTreeMap<crate::StepKind, u64>,
}
