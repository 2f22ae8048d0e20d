//! The messages between hosts and the limit ledger.

use std::time::Duration;

use crate::fleet::{EngineIncarnation, EngineName, limits::limit::RequestLimit};

/// The state of an engine that has declared a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitState {
    /// The engine declares a limit.
    Active,
    /// The engine has declared none since. Its rate rises step by step, still by permits.
    Recovering,
    /// The engine is unrestricted again; only the ledger reports this.
    Lifted,
}

/// The latest report on one engine's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The engine.
    pub engine: EngineName,
    /// The incarnation that declared it.
    pub incarnation: EngineIncarnation,
    /// The last declared limit.
    pub limit: RequestLimit,
    /// The state of the limit.
    pub state: LimitState,
    /// How long ago the response that last declared the limit or its end began.
    pub responded_ago: Duration,
    /// How long ago the request of that response was sent.
    pub requested_ago: Duration,
    /// The time for which hosts need no permits yet and only report their open requests.
    pub settles_in: Duration,
}

impl LimitReport {
    /// Returns whether the engine is unrestricted again.
    pub const fn is_lifted(&self) -> bool {
        matches!(self.state, LimitState::Lifted)
    }
}

/// A host's demand for permits of one engine; a later one replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PermitDemand {
    /// Interrupted streams that wait for a permit to resume.
    pub resumed: u32,
    /// Other requests that wait for a permit.
    pub waiting: u32,
    /// Whether a request was sent elsewhere only for want of a permit.
    pub diverted: bool,
    /// The number of permits that the host has received since it subscribed to this ledger.
    pub received: u64,
    /// The number of them that expired unused.
    pub unused: u64,
    /// The number of calls without a permit since the last report.
    pub unpermitted: u64,
    /// At an engine with a maximum of open requests: the host's open requests and unused permits.
    pub held: u32,
    /// The number of requests that such an engine rejected for lack of room since the last report.
    pub rejected: u32,
}

/// The ledger's reply to one host on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// The engine.
    pub engine: EngineName,
    /// The number of calls that the host may make.
    pub permits: u32,
    /// The expected time until a permit for the last waiting request, if one waits.
    pub wait: Option<Duration>,
    /// Whether the ledger knows no limit of the engine; the host then resends its report.
    pub unknown: bool,
}
