//! A token bucket whose rate may change.

use crate::clock::ClockMillis;

/// The smallest capacity. Unit: requests. With a capacity of one, a permit that arrives while no request waits
/// would be lost to the next request: of a limit that gets twice as many requests that do not wait, two thirds
/// would be used, with two 0.86.
const MIN_CAPACITY: f64 = 2.0;

/// The capacity at higher rates, as seconds of the rate. Short against the window over which engines measure their
/// load, so that a full bucket does not exceed the rate much within one window.
const BURST_SECONDS: f64 = 0.25;

/// The most unpermitted calls that are charged against future tokens, as seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 4.0;

/// A token bucket; its level is negative while unpermitted calls are charged.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    refilled_at: ClockMillis,
}

impl TokenBucket {
    /// Creates an empty bucket: what was sent before is unknown.
    pub const fn empty(now: ClockMillis) -> Self {
        Self { level: 0.0, refilled_at: now }
    }

    /// Adds the tokens of `rate` since the last call. Unit of the rate: requests per second.
    pub fn refill(&mut self, rate: f64, now: ClockMillis) {
        let refilled = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refilled).min(MIN_CAPACITY.max(rate * BURST_SECONDS));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token, if there is one.
    pub fn take(&mut self) -> bool {
        // Tolerates rounding errors of added fractions.
        let available = self.level > 0.999;
        if available {
            self.level = (self.level - 1.0).max(0.0);
        }
        available
    }

    /// Returns unused tokens.
    pub const fn refund(&mut self, requests: f64) {
        self.level += requests;
    }

    /// Deducts calls that were made without a permit, up to the largest debt.
    pub fn charge(&mut self, requests: f64, rate: f64) {
        let max_debt = rate * MAX_DEBT_SECONDS + 1.0;
        self.level = (self.level - requests).max(-max_debt);
    }

    /// Returns the seconds until the bucket holds `waiting` tokens.
    pub fn seconds_until(&self, waiting: f64, rate: f64) -> f64 {
        ((waiting - self.level) / rate).max(0.0)
    }
}
