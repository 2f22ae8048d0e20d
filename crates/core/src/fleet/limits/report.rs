//! The messages between hosts and the ledger of limits.

use std::time::Duration;

use crate::fleet::{EngineIncarnation, EngineName, limits::limit::RequestLimit};

/// The state of an engine that has declared a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitState {
    /// It declares one.
    Named,
    /// It has declared none since. It gets more and more requests, still by permits.
    Ended,
    /// It is unrestricted again; only the ledger reports this.
    Back,
}

/// The latest report on one engine's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The engine.
    pub engine: EngineName,
    /// The incarnation that declared it.
    pub born: EngineIncarnation,
    /// The limit that it declared last.
    pub limit: RequestLimit,
    /// Whether that is in force.
    pub state: LimitState,
    /// How long ago the response began that declared it.
    pub said_ago: Duration,
    /// How long ago the request of that response was sent.
    pub asked_ago: Duration,
}

impl LimitReport {
    /// Returns whether the engine is unrestricted again.
    pub const fn is_back(&self) -> bool {
        matches!(self.state, LimitState::Back)
    }
}

/// A host's demand for permits of one engine. A later one replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PermitDemand {
    /// Streams that broke off and wait for a permit.
    pub resumed: u32,
    /// Other requests that wait for a permit.
    pub waiting: u32,
    /// Whether a request went elsewhere only for want of a permit.
    pub wished: bool,
    /// How many permits the host has received since it subscribed to this ledger.
    pub got: u64,
    /// How many of them expired unused.
    pub unused: u64,
    /// How many calls it has made without one since its last report.
    pub unpermitted: u64,
}

/// The ledger's reply to one host on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// The engine.
    pub engine: EngineName,
    /// Calls that the host may make.
    pub permits: u32,
    /// In what time a permit is expected for the last request that waits, if any.
    pub wait: Option<Duration>,
    /// Whether the ledger knows of no limit there: the host resends its report.
    pub unknown: bool,
}
