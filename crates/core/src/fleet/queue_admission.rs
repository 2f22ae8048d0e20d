//! Decides whether a request joins an engine's queue.
//!
//! If prompts arrive faster than engines process them, queues grow until every answer is late.
//! Refusing some requests at once lets their clients do something else and keeps the admitted ones
//! in time.

use std::time::Duration;

/// Maximum expected time to the first event for which a request joins a queue, in latency targets.
/// It may exceed one, because pending prefill is counted as if nothing were cached.
const MAX_EXPECTED_DELAY_FACTOR: f64 = 1.3;

/// Minimum retry time given to a client.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Divides the remaining time of a request to get its maximum retry time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// A request at the engine that would answer it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueCandidate {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Target for the time to the first event.
    pub latency_target: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Time that the engine needs for the prompts it has not processed yet.
    pub pending_prefill_time: Duration,
    /// Expected prefill time of the request's own prompt.
    pub prefill_time: Duration,
    /// Whether this is the client's retry after a refusal.
    pub client_retried: bool,
}

impl QueueCandidate {
    /// Returns the retry time for the client if the request is to be refused.
    pub fn refusal_retry_after(&self) -> Option<Duration> {
        // A retried request is late anyway, so that only its delay from now on counts.
        let elapsed = if self.client_retried { Duration::ZERO } else { self.elapsed };
        let first_event = elapsed + self.pending_prefill_time + self.prefill_time;
        // Without this, a prompt that alone takes longer would be refused on every retry.
        let max_delay =
            self.latency_target.mul_f64(MAX_EXPECTED_DELAY_FACTOR).max(elapsed + self.prefill_time);
        if self.pending_prefill_time.is_zero() || first_event <= max_delay {
            return None;
        }
        let max_retry_after = (self.remaining / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
        Some(self.pending_prefill_time.clamp(MIN_RETRY_AFTER, max_retry_after))
    }
}
