//! A token bucket whose rate may change.

use crate::clock::ClockMillis;

/// What may be saved up at least. Unit: requests. With one, a permit that comes while nobody waits is lost to whoever comes a
/// moment later: of a limit that is asked for twice over by requests that do not wait, two thirds are used, with two 0.86.
const MIN_CAPACITY: f64 = 2.0;

/// What may be saved up of a larger rate. Unit: seconds of it; a sixteenth of the time over which engines are watched, so that nothing
/// saved up makes a window exceed its rate by much.
const BURST_SECONDS: f64 = 0.25;

/// Over which time calls that nobody permitted are made up for at most. Unit: seconds.
const MAX_DEBT_SECONDS: f64 = 4.0;

/// What is left of a rate.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    refilled_at: ClockMillis,
}

impl TokenBucket {
    /// Starts with nothing saved up: what was sent before is not known.
    pub const fn empty(now: ClockMillis) -> Self {
        Self { level: 0.0, refilled_at: now }
    }

    /// Adds what the rate has given since the last call. Unit: requests a second.
    pub fn refill(&mut self, rate: f64, now: ClockMillis) {
        let refilled = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refilled).min(MIN_CAPACITY.max(rate * BURST_SECONDS));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a whole request, if there is one.
    pub fn take(&mut self) -> bool {
        // Parts add up to one only nearly.
        let available = self.level > 0.999;
        if available {
            self.level = (self.level - 1.0).max(0.0);
        }
        available
    }

    /// Puts back what was not used.
    pub const fn refund(&mut self, requests: f64) {
        self.level += requests;
    }

    /// Takes calls that were made without asking.
    pub fn charge(&mut self, requests: f64, rate: f64) {
        let max_debt = rate * MAX_DEBT_SECONDS + 1.0;
        self.level = (self.level - requests).max(-max_debt);
    }

    /// Returns in how many seconds a request is there for the last of `waiting` that are before it and itself.
    pub fn seconds_until(&self, waiting: f64, rate: f64) -> f64 {
        ((waiting - self.level) / rate).max(0.0)
    }
}
