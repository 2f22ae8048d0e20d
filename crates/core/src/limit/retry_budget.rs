//! A retry budget: retries are bounded by a fraction of the first attempts, so that a fault never multiplies the
//! load.

use std::time::Duration;

use crate::{clock::ClockMillis, popularity::DecayedRate};

/// The half-life over which attempts count.
const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);

/// Retries that are always allowed, so that an idle host can retry.
const MIN_RETRIES: f64 = 3.0;

/// Counts the attempts and retries of one host, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    attempts: DecayedRate,
    retries: DecayedRate,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_attempt(&mut self, now: ClockMillis) {
        self.attempts.add(1.0, now, BUDGET_HALF_LIFE);
    }

    /// Takes one retry if the budget allows it; `ratio` is the number of retries allowed per attempt.
    pub fn take(&mut self, ratio: f64, now: ClockMillis) -> bool {
        let attempts = self.attempts.weight_at(now, BUDGET_HALF_LIFE);
        let retries = self.retries.weight_at(now, BUDGET_HALF_LIFE);
        let allowed = ratio * attempts + MIN_RETRIES;
        if retries + 1.0 > allowed {
            return false;
        }
        self.retries.add(1.0, now, BUDGET_HALF_LIFE);
        true
    }
}
