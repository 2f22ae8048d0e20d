//! What hosts and the ledger tell each other of the limits that engines name.

use std::time::Duration;

use crate::fleet::{EngineBirth, EngineName, limits::limit::RequestLimit};

/// What holds of an engine that has named a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitState {
    /// It names one.
    Named,
    /// It has named none since. It gets more and more, still by permits.
    Ended,
    /// It counts as any other engine again; only the ledger says so.
    Back,
}

/// The last word on one engine's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitWord {
    /// The engine.
    pub engine: EngineName,
    /// The life that said it.
    pub born: EngineBirth,
    /// What it named last.
    pub limit: RequestLimit,
    /// Whether that holds.
    pub state: LimitState,
    /// How long ago the answer began that said so.
    pub said_ago: Duration,
    /// How long ago what it answered had been sent.
    pub asked_ago: Duration,
}

impl LimitWord {
    /// Returns whether the engine counts as any other again.
    pub const fn is_back(&self) -> bool {
        matches!(self.state, LimitState::Back)
    }
}

/// What a host wants of one engine that has named a limit. A later word on the same engine takes the place of this one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PermitAsk {
    /// Streams that broke off and wait for a permit.
    pub resumed: u32,
    /// Other requests that wait for a permit.
    pub waiting: u32,
    /// Whether a request would have gone there, had there been a permit; it went elsewhere.
    pub wished: bool,
    /// How many permits the host has got since it listens to this ledger.
    pub got: u64,
    /// How many of them it has let go unused.
    pub unused: u64,
    /// How many calls it has made without one since it last told.
    pub unasked: u64,
}

/// What the ledger answers to one host on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// The engine.
    pub engine: EngineName,
    /// Calls that the host may make.
    pub permits: u32,
    /// In what time a permit is expected for the last one that waits there, where some wait on.
    pub wait: Option<Duration>,
    /// Whether the ledger knows of no limit there: the host, which has asked for permits, tells its word again.
    pub unknown: bool,
}
