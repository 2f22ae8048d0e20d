//! What one answer of an engine says of its limit.

use std::fmt;

use crate::{clock::ClockMillis, fleet::announcement::Declared};

/// How many requests an engine takes from all hosts together. Unit: requests a second; zero for none at all.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// Wraps a rate; `None` where it is below zero, infinite or no number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then(|| Self(per_second.abs()))
    }

    /// Returns the rate. Unit: requests a second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns whether this differs from `other` by so much that hosts and their operators should know: by a quarter.
    pub fn differs_significantly(self, other: Self) -> bool {
        const SIGNIFICANT_CHANGE: f64 = 0.25;
        let larger = self.0.max(other.0);
        (self.0 - other.0).abs() > larger * SIGNIFICANT_CHANGE
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// An answer of an engine, as its word on its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitDeclaration {
    /// What it says.
    pub limit: Declared<RequestLimit>,
    /// When what it answers was sent: an answer that names no limit ends only one that was named before that.
    pub requested_at: ClockMillis,
    /// Whether the engine would name a limit in such an answer if it had one. One to a request that it ran is such an answer; of
    /// refusals, orders and reports only what they do say counts.
    pub absence_is_conclusive: bool,
}
