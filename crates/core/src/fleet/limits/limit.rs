//! The limit that one response declares.

use std::fmt;

use crate::{clock::ClockMillis, fleet::announcement::Declared};

/// How many requests an engine accepts from all hosts together. Unit: requests per second; zero for none.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// Wraps a rate; `None` if it is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then(|| Self(per_second.abs()))
    }

    /// Returns the rate. Unit: requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns whether this differs from `other` by more than a quarter, which is worth publishing and logging.
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

/// What one response of an engine declares of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitDeclaration {
    /// The limit.
    pub limit: Declared<RequestLimit>,
    /// When the request was sent. A response without a limit ends only a limit that was declared before that.
    pub requested_at: ClockMillis,
    /// Whether the engine would have declared its limit in this response. True of responses to requests that it
    /// ran; in rejections, orders and reports only a present limit counts.
    pub absence_is_conclusive: bool,
}
