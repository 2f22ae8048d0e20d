//! Requests from callers, refusals and outcomes.

use std::time::Duration;

use serde::Serialize;

use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    clock::ClockMillis,
    id::{AdapterKey, KeyHash, OrganisationId, RequestId, ServiceId},
};

/// What a caller knows about the execution of its request once it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerOutcome {
    /// The complete answer was delivered.
    Answered,
    /// The request certainly did not run, so that a retry cannot run it twice.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The reason why a request was refused or interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is invalid.
    BadRequest,
    /// The adapter, version or path does not exist.
    NotFound,
    /// The host has no configuration yet.
    NotReady,
    /// The host is stopping.
    Stopping,
    /// More requests are queued than can be served in time.
    Overloaded,
    /// The adapter cannot be loaded before the deadline.
    LoadTooLate,
    /// The adapter's last load failed and has not been retried yet.
    LoadFailed,
    /// The deadline passed before a permit was granted.
    DeadlinePassed,
    /// No live backend server of the service is known.
    NoBackend,
    /// Another request claimed the same idempotency key.
    KeyClaimed,
    /// The idempotency key is older than the retention of claims.
    KeyExpired,
    /// The platform's log is unreachable, so the idempotency key cannot be claimed.
    LogAway,
    /// The retry budget is exhausted.
    RetriesSpent,
    /// The connection to the backend server failed during the exchange.
    BackendBroke,
    /// The backend server responded with an error.
    BackendError,
    /// The caller disconnected.
    CallerGone,
}

impl RefusalKind {
    /// Returns the HTTP status code for this kind.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::KeyClaimed | Self::KeyExpired => 409,
            Self::CallerGone => 499,
            Self::Overloaded | Self::RetriesSpent => 429,
            Self::BackendBroke | Self::BackendError => 502,
            Self::DeadlinePassed => 504,
            Self::NotReady
            | Self::Stopping
            | Self::LoadTooLate
            | Self::LoadFailed
            | Self::NoBackend
            | Self::LogAway => 503,
        }
    }

    /// Returns advice for the caller on how to proceed.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "fix the request as described in the message",
            Self::NotFound => "use an existing adapter or path; GET /v1/models lists the adapters",
            Self::NotReady | Self::Stopping => "retry; the load balancer selects another host",
            Self::Overloaded => "retry after the time in Retry-After",
            Self::LoadTooLate => {
                "retry after the time in Retry-After or with a longer deadline; the adapter is loading"
            }
            Self::LoadFailed => {
                "retry after the time in Retry-After; contact the operators if the error persists"
            }
            Self::DeadlinePassed => "retry with a longer deadline",
            Self::NoBackend => {
                "retry later; operators can check the backend servers in the host list"
            }
            Self::KeyClaimed => {
                "request the outcome of the first request with this key; this request did not run"
            }
            Self::KeyExpired => "check whether the first request ran, then use a new key",
            Self::LogAway => "retry with the same key after the time in Retry-After",
            Self::RetriesSpent => "retry after the time in Retry-After",
            Self::BackendBroke => "check whether the request ran before retrying",
            Self::BackendError => {
                "read the backend's error message and check whether the request ran"
            }
            Self::CallerGone => "no action needed; the caller disconnected",
        }
    }
}

/// The end of a request that did not get a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub outcome: CallerOutcome,
    /// A one-sentence description of the error.
    pub message: String,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Creates the refusal of a request that certainly did not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        let outcome = CallerOutcome::NotRun;
        Self { kind, outcome, message: message.into(), retry_after: None }
    }

    /// Creates the failure of a request that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        let outcome = CallerOutcome::Unknown;
        Self { kind, outcome, message: message.into(), retry_after: None }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub const fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }
}

/// A request from a caller, as passed from a traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivedRequest {
    /// The request id, assigned by the host that received it.
    pub id: RequestId,
    /// The destination.
    pub target: RequestTarget,
    /// How long the caller waits for the first token; `None` for the deadline of the settings.
    pub max_wait: Option<Duration>,
    /// Whether the request may be retried; `None` for the default of the settings.
    pub repeatable: Option<bool>,
    /// The idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Maximum number of tokens in the answer, if the caller limits it.
    pub max_tokens: Option<u32>,
}

/// An idempotency key from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key as sent.
    pub text: String,
    /// Time at which the caller created the key, in milliseconds since the Unix epoch, if given.
    pub created_millis: Option<u64>,
}

impl IdempotencyKey {
    /// Returns the hash of the key with its service and organisation, which makes equal keys of
    /// different organisations distinct.
    pub fn hash(&self, service: ServiceId, organisation: OrganisationId) -> KeyHash {
        let mut hasher = Xxh3Default::new();
        hasher.update(&service.to_le_bytes());
        hasher.update(&organisation.to_le_bytes());
        hasher.update(self.text.as_bytes());
        hasher.digest128()
    }
}

/// The destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// An adapter, named by the `model` of the request.
    Model(String),
    /// The plain service whose path prefix matches this path.
    Path(String),
}

/// The properties of a request that an engine's owner needs.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The adapter version it must run on.
    pub adapter: AdapterKey,
    /// Relative value of the answered request.
    pub worth: f64,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// Maximum number of the organisation's requests that may queue.
    pub queue_limit: u32,
    /// Weight of each second that the request waits for a load.
    pub stall_weight: f64,
    /// Time at which the caller stops waiting, on the local clock of the host that holds this value.
    pub deadline: ClockMillis,
}
