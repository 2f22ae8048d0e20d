//! What an organisation may use on all hosts together.

use std::time::Duration;

use crate::clock::ClockMillis;

/// The fraction of the operator's tolerance that is added to the burst of organisations.
///
/// The rest covers what hosts grant before they learn of one another's grants: an organisation that exceeds its
/// rate during the delay of a report, and one request too many on each host. At three times its rate an organisation
/// uses half a second's worth within the 150 ms of a report.
const BURST_TOLERANCE_FRACTION: f64 = 0.25;

/// The unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request costs one.
    Requests,
    /// A request costs the tokens of its prompt and the most that its completion may have.
    Tokens {
        /// The cost of a request that states no tokens.
        default_cost: u64,
    },
}

/// The limit of an organisation: a rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// The rate per second, in `unit`.
    pub per_second: f64,
    /// The burst beyond the rate, in `unit`.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl QuotaLimit {
    /// Returns the cost of a request that states this number of tokens, or none.
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

/// How far the total of all hosts' grants may exceed a limit within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// The window.
    pub window: Duration,
    /// The fraction by which the total may exceed what the limit gives in a window.
    pub overage: f64,
    /// The amount by which it may exceed that in addition, in the limit's unit.
    pub extra: f64,
}

impl QuotaTolerance {
    /// Returns the capacity of an account: the limit's burst and a fraction of the tolerance.
    pub fn capacity(&self, limit: &QuotaLimit) -> f64 {
        let allowed = limit.units_within(self.window) + limit.burst;
        limit.burst + (allowed * self.overage + self.extra) * BURST_TOLERANCE_FRACTION
    }
}

/// Recent use, decayed exponentially.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentUsage {
    sum: f64,
    at: ClockMillis,
}

impl RecentUsage {
    /// The time constant of the decay: long enough to span several requests of a client, short enough to follow a
    /// client that moves to another host.
    const TIME_CONSTANT: Duration = Duration::from_secs(1);

    /// Adds use.
    pub fn add(&mut self, amount: f64, now: ClockMillis) {
        *self = Self { sum: (self.sum_at(now) + amount).max(0.0), at: now };
    }

    /// Returns the decayed sum.
    pub fn sum_at(&self, now: ClockMillis) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / Self::TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the recent use per second.
    pub fn rate_at(&self, now: ClockMillis) -> f64 {
        self.sum_at(now) / Self::TIME_CONSTANT.as_secs_f64()
    }
}
