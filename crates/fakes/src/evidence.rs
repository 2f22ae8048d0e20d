//! Records of what happened during a run.

use std::collections::BTreeMap;

use reelreel_core::{
    CallerOutcome, RefusalKind,
    id::{HostId, RequestId, Revision},
};

/// A run of a request on a backend server.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The request.
    pub request: RequestId,
    /// The engine's ID, or the plain server's ID plus 1,000,000.
    pub backend: u32,
    /// The name of the adapter that the engine used.
    pub adapter: String,
    /// When it started, in milliseconds.
    pub started_at: u64,
    /// When it completed, in milliseconds; `None` if it was interrupted or still runs.
    pub completed_at: Option<u64>,
}

/// Added to the number of a plain server in [`RunRecord::backend`], to tell it from an engine.
pub(crate) const SERVER_NUMBER_OFFSET: u32 = 1_000_000;

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// The request.
    pub request: RequestId,
    /// The host that received it.
    pub host: HostId,
    /// The name of the adapter that it must run on; empty for a plain service.
    pub adapter: String,
    /// The idempotency key, unless the request may be repeated.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The worth of the request according to the settings.
    pub worth: f64,
    /// The name of the organisation.
    pub organisation: String,
    /// When it arrived, in milliseconds.
    pub arrived_at: u64,
    /// How long the caller waits for the first token, in milliseconds.
    pub max_wait_ms: u64,
    /// When the first token arrived, in milliseconds.
    pub first_token_at: Option<u64>,
    /// The outcome that the caller received, and when, in milliseconds.
    pub outcome: Option<(CallerOutcome, u64)>,
    /// Why the request was refused.
    pub refusal: Option<RefusalKind>,
    /// Whether the caller disconnected, or its host was killed.
    pub disconnected: bool,
    /// When the request first ran, in milliseconds.
    pub first_run_at: Option<u64>,
}

/// A change of the settings revision that a host applies.
#[derive(Debug, Clone, Copy)]
pub struct RevisionChange {
    /// The host.
    pub host: HostId,
    /// How often the host has been started.
    pub generation: u64,
    /// The revision.
    pub revision: Revision,
    /// When, in milliseconds.
    pub at: u64,
}

/// The records of a run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Runs in the order of their start.
    pub runs: Vec<RunRecord>,
    /// Requests of callers by ID.
    pub callers: BTreeMap<RequestId, CallerRecord>,
    /// Requests interrupted by an unload of their adapter.
    pub interrupted_by_unload: Vec<RequestId>,
    /// Requests interrupted by the planned stop of their host.
    pub interrupted_by_stop: Vec<RequestId>,
    /// Requests whose caller received the answer to another request.
    pub misdelivered: Vec<RequestId>,
    /// Requests that a leaving engine received, with the milliseconds since it started leaving.
    pub received_while_leaving: Vec<(RequestId, u64)>,
    /// Changes of the revision that hosts apply.
    pub revision_changes: Vec<RevisionChange>,
    /// When each revision was accepted, in milliseconds.
    pub accepted_at: BTreeMap<Revision, u64>,
    /// Started loads, including those that fail.
    pub loads: u64,
    /// Loads of adapters that were unloaded before a request ran on them.
    pub unused_loads: u64,
    /// Messages between hosts.
    pub messages: u64,
    /// The bytes of these messages, if [`FakeSite::measure`](crate::FakeSite::measure) is set.
    pub message_bytes: u64,
    /// Fetches of engine reports.
    pub report_fetches: u64,
    /// Orders sent to engines.
    pub orders: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Request-milliseconds and milliseconds with at least one running request, by engine.
    pub busy_time: BTreeMap<u32, (f64, f64)>,
    /// When each engine's entry in `busy_time` was last updated, in milliseconds.
    pub busy_updated_at: BTreeMap<u32, f64>,
    /// The end of the last fault, in milliseconds; may be in the future.
    pub last_fault_end: Option<u64>,
    /// The number of occurrences of each step.
    pub step_counts: BTreeMap<crate::StepKind, u64>,
}
