//! What an organisation may use over all hosts together.

use std::time::Duration;

use crate::clock::ClockMillis;

/// The part of the operator's tolerance that is given to organisations as a larger burst.
///
/// The rest covers what hosts grant before they hear of one another: an organisation that asks for three times
/// its rate uses half a second's worth within the 150 ms that a word takes, and each of its hosts grants one request
/// too many. With a window of eight seconds and a tolerance of a tenth three quarters of it are 0.7 s.
const BURST_TOLERANCE_FRACTION: f64 = 0.25;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens of its prompt and the most that its answer may have.
    Tokens {
        /// What a request counts that names no tokens.
        default_cost: u64,
    },
}

/// What an organisation may use: a rate, and some more at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// What may be used a second. Unit: as `unit` says.
    pub per_second: f64,
    /// What may be used beyond the rate at once. Unit: as `unit` says.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl QuotaLimit {
    /// Returns what a request counts that names so many tokens, or none.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => tokens.unwrap_or(default_cost),
        }
    }

    /// Returns what the rate gives within a time.
    pub fn units_within(&self, time: Duration) -> f64 {
        self.per_second * time.as_secs_f64()
    }
}

/// How far the sum of what all hosts grant may exceed a limit within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// The window over which use is summed.
    pub window: Duration,
    /// The part by which the sum may exceed what the limit gives in a window.
    pub overage: f64,
    /// By how much it may exceed that besides. Unit: as the limit counts.
    pub extra: f64,
}

impl QuotaTolerance {
    /// Returns the most that may be saved up: the limit's burst and a part of the tolerance.
    pub fn capacity(&self, limit: &QuotaLimit) -> f64 {
        let allowed = limit.units_within(self.window) + limit.burst;
        limit.burst + (allowed * self.overage + self.extra) * BURST_TOLERANCE_FRACTION
    }
}

/// What was used lately, older use counting less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentUsage {
    sum: f64,
    at: ClockMillis,
}

impl RecentUsage {
    /// The time within which use falls to a third of its weight: long enough to hold several requests of a
    /// client, short enough to follow one that moves to another host.
    const TIME_CONSTANT: Duration = Duration::from_secs(1);

    /// Counts use.
    pub fn add(&mut self, amount: f64, now: ClockMillis) {
        *self = Self { sum: (self.sum_at(now) + amount).max(0.0), at: now };
    }

    /// Returns what counts still.
    pub fn sum_at(&self, now: ClockMillis) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / Self::TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the use a second that it shows.
    pub fn rate_at(&self, now: ClockMillis) -> f64 {
        self.sum_at(now) / Self::TIME_CONSTANT.as_secs_f64()
    }
}
