//! A budget that ties retries to first tries, so that a fault never multiplies the load.

use std::time::Duration;

use crate::{clock::ClockMillis, popularity::DecayedRate};

/// The half-life over which tries count.
const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);

/// Retries that are always allowed, so that a quiet host can retry at all.
const MIN_RETRIES: f64 = 3.0;

/// Counts tries and retries of one host, decayed over ten seconds.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    attempts: DecayedRate,
    retries: DecayedRate,
}

impl RetryBudget {
    /// Counts a first try.
    pub fn record_attempt(&mut self, now: ClockMillis) {
        self.attempts.add(1.0, now, BUDGET_HALF_LIFE);
    }

    /// Takes one retry when the budget has it; `ratio` is the retries allowed per try.
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
