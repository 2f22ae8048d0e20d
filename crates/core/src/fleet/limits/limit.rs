//! The limit that one response declares.

use std::time::Duration;

use crate::{clock::ClockMillis, fleet::announcement::Declared};

/// The time for which a request is taken to be open where it is not measured.
const ASSUMED_OPEN_TIME: Duration = Duration::from_secs(1);

/// How long the maximum of open requests is kept for an engine that is not listed or has restarted.
pub const BRITTLE_RETENTION: Duration = Duration::from_secs(20);

/// What an engine accepts from all hosts together: a rate of requests, a number of requests that are open at a time,
/// or both.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestLimit {
    /// Unit: requests per second; infinite if only `max_open` limits.
    per_second: f64,
    max_open: Option<u32>,
}

impl RequestLimit {
    /// Limits the rate, zero for no requests; `None` if it is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0)
            .then(|| Self { per_second: per_second.abs(), max_open: None })
    }

    /// Limits only the number of open requests, to one or more.
    pub fn open_only(max_open: u32) -> Self {
        Self { per_second: f64::INFINITY, max_open: Some(max_open.max(1)) }
    }

    /// Limits the number of open requests as well, to one or more.
    #[must_use]
    pub fn with_max_open(self, max_open: u32) -> Self {
        Self { max_open: Some(max_open.max(1)), ..self }
    }

    /// Returns the rate, infinite if it is not limited. Unit: requests per second.
    pub const fn per_second(self) -> f64 {
        self.per_second
    }

    /// Returns the rate if it is limited. Unit: requests per second.
    pub fn rate(self) -> Option<f64> {
        self.per_second.is_finite().then_some(self.per_second)
    }

    /// Returns the maximum number of open requests, if it is limited.
    pub const fn max_open(self) -> Option<u32> {
        self.max_open
    }

    /// Returns the rate, estimated where only the number of open requests is limited. Unit: requests per second.
    pub fn estimated_rate(self) -> f64 {
        let max_open = f64::from(self.max_open.unwrap_or(u32::MAX));
        self.per_second.min(max_open / ASSUMED_OPEN_TIME.as_secs_f64())
    }

    /// Returns whether this differs from `other` by more than a quarter, which is worth publishing and logging.
    pub fn differs_significantly(self, other: Self) -> bool {
        const SIGNIFICANT_CHANGE: f64 = 0.25;
        let rate_differs = match (self.rate(), other.rate()) {
            (Some(rate), Some(other)) => {
                (rate - other).abs() > rate.max(other) * SIGNIFICANT_CHANGE
            }
            (rate, other) => rate.is_some() != other.is_some(),
        };
        rate_differs || self.max_open != other.max_open
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
