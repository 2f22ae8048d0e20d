//! Whether a request joins the queue of an engine, or is refused before it does.
//!
//! Where prompts come faster than engines read them, queues grow until every answer is late. A client that is told at
//! once can do something else, and those who are admitted are answered in time.

use std::time::Duration;

/// The part of its latency_target within which a request must be expected to have its first event to join a queue: each one that
/// joins a longer queue is late itself and makes the next ones late. What is ahead is counted as if no part of its prompts
/// were kept, so that more than the latency_target is allowed. Tried on one site, with few plays: 1.0 lost a little there, 1.5 gained
/// nothing under lasting overload; 1.3 was not tried under such load (docs/DECISIONS.md).
const MAX_EXPECTED_DELAY_FACTOR: f64 = 1.3;

/// The shortest time after which a client is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The part of its time for which a client waits before it comes back, at most.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// What is known of a request at the engine that would answer it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueCandidate {
    /// How long ago it came.
    pub elapsed: Duration,
    /// Within which time its first event is wanted.
    pub latency_target: Duration,
    /// What is left of its time.
    pub remaining: Duration,
    /// How long the engine takes to read what it has not read yet.
    pub pending_prefill_time: Duration,
    /// How long it takes to read the request's own prompt.
    pub prefill_time: Duration,
    /// Whether the client was refused before and came back.
    pub client_retried: bool,
}

impl QueueCandidate {
    /// Returns after what time the client should come back if it is not to join the queue.
    pub fn refusal_retry_after(&self) -> Option<Duration> {
        // Who came back is late already, and joins a queue in which others are in time.
        let elapsed = if self.client_retried { Duration::ZERO } else { self.elapsed };
        let first_event = elapsed + self.pending_prefill_time + self.prefill_time;
        // A prompt that takes that long by itself would be refused for ever.
        let max_delay =
            self.latency_target.mul_f64(MAX_EXPECTED_DELAY_FACTOR).max(elapsed + self.prefill_time);
        if self.pending_prefill_time.is_zero() || first_event <= max_delay {
            return None;
        }
        let max_retry_after = (self.remaining / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
        Some(self.pending_prefill_time.clamp(MIN_RETRY_AFTER, max_retry_after))
    }
}
