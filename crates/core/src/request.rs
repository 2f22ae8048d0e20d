//! What callers ask, and what they are told.

use std::time::Duration;

use serde::Serialize;

use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    clock::ClockMillis,
    id::{AdapterKey, KeyHash, OrganisationId, RequestId, ServiceId},
};

/// What a caller may rely on after the end of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerOutcome {
    /// The whole answer was given.
    Answered,
    /// It truly did not run; sending it again can not run it twice.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was refused or broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request itself is at fault.
    BadRequest,
    /// No such adapter, version or path.
    NotFound,
    /// This host has no configuration yet.
    NotReady,
    /// This host is stopping.
    Stopping,
    /// More waits than could be served in time.
    Overloaded,
    /// The adapter can not be loaded before the deadline.
    LoadTooLate,
    /// The adapter's last load failed and it is not tried again yet.
    LoadFailed,
    /// The deadline passed before a permit came.
    DeadlinePassed,
    /// No backend server of the service is known and live.
    NoBackend,
    /// Another request claimed the same idempotency key.
    KeyClaimed,
    /// The key is older than keys are remembered.
    KeyExpired,
    /// The platform's log can not be reached, so the key can not be claimed.
    LogAway,
    /// Tried again as often as the retry budget allows.
    RetriesSpent,
    /// The backend server's exchange broke off.
    BackendBroke,
    /// The backend server answered with an error.
    BackendError,
    /// The caller hung up.
    CallerGone,
}

impl RefusalKind {
    /// Returns the HTTP status that fits the kind.
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

    /// Returns what the caller can do about it.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "mend the request as the message says",
            Self::NotFound => "name an adapter or path that exists; GET /v1/models lists adapters",
            Self::NotReady | Self::Stopping => "send it again; the balancer picks another host",
            Self::Overloaded => "send it again after the time in Retry-After",
            Self::LoadTooLate => {
                "send it again after Retry-After, or with a longer deadline; it is being loaded"
            }
            Self::LoadFailed => {
                "send it again after Retry-After; tell the operators if it stays so"
            }
            Self::DeadlinePassed => "send it again with a longer deadline",
            Self::NoBackend => "send it again later; operators find the backend in the host list",
            Self::KeyClaimed => {
                "ask for the outcome of the first request with this key; this one did not run"
            }
            Self::KeyExpired => "check whether the first request ran, then use a new key",
            Self::LogAway => "send it again after Retry-After with the same key",
            Self::RetriesSpent => "send it again after Retry-After",
            Self::BackendBroke => "check whether it ran before sending it again",
            Self::BackendError => "read the backend's message; check whether it ran",
            Self::CallerGone => "nobody is there to act",
        }
    }
}

/// The end of a request that was not answered whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether it may have run.
    pub outcome: CallerOutcome,
    /// What happened, in a sentence.
    pub message: String,
    /// When it makes sense to come back.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Makes a refusal of a request that truly did not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        let outcome = CallerOutcome::NotRun;
        Self { kind, outcome, message: message.into(), retry_after: None }
    }

    /// Makes the end of a request that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        let outcome = CallerOutcome::Unknown;
        Self { kind, outcome, message: message.into(), retry_after: None }
    }

    /// Names a time to come back.
    #[must_use]
    pub const fn retry_after(mut self, duration: Duration) -> Self {
        self.retry_after = Some(duration);
        self
    }
}

/// What a caller asks, as its traffic thread hands it to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivedRequest {
    /// The id that its host gave it.
    pub id: RequestId,
    /// Where it wants to go.
    pub target: RequestTarget,
    /// How long the caller waits for the first token; the settings' deadline where it is silent.
    pub max_wait: Option<Duration>,
    /// Whether it may be sent twice; the settings' rule where the caller is silent.
    pub repeatable: Option<bool>,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The most tokens the caller wants.
    pub max_tokens: Option<u32>,
}

/// A caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key as sent.
    pub text: String,
    /// When the caller made the key, in milliseconds since the Unix epoch, where it says so.
    pub created_millis: Option<u64>,
}

impl IdempotencyKey {
    /// Returns the key's hash within its service and organisation: two rivals may use one text.
    pub fn hash(&self, service: ServiceId, organisation: OrganisationId) -> KeyHash {
        let mut hasher = Xxh3Default::new();
        hasher.update(&service.to_le_bytes());
        hasher.update(&organisation.to_le_bytes());
        hasher.update(self.text.as_bytes());
        hasher.digest128()
    }
}

/// Where a request wants to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// To an adapter, named as in the caller's `model`.
    Model(String),
    /// To the plain service below whose prefix the path lies.
    Path(String),
}

/// What an engine's owner needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The organisation that is served.
    pub organisation: OrganisationId,
    /// The adapter version it must run on.
    pub adapter: AdapterKey,
    /// What its answer is worth.
    pub worth: f64,
    /// The organisation's weight.
    pub share: f64,
    /// How many of the organisation may wait.
    pub queue_limit: u32,
    /// How much a second of waiting for a load weighs.
    pub stall_weight: f64,
    /// When the caller stops waiting, on the clock of whoever holds the value.
    pub deadline: ClockMillis,
}
