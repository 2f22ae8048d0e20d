//! Whether a request joins the queue of an engine, or is refused before it does.
//!
//! Where prompts come faster than engines read them, queues grow until every answer is late. A client that is told at
//! once can do something else, and those who are admitted are answered in time.

use std::time::Duration;

/// The part of its target within which a request must be expected to have its first event to join a queue: each one that
/// joins a longer queue is late itself and makes the next ones late. What is ahead is counted as if no part of its prompts
/// were kept, so that more than the target is allowed. Tried on one site, with few plays: 1.0 lost a little there, 1.5 gained
/// nothing under lasting overload; 1.3 was not tried under such load (docs/DECISIONS.md).
const QUEUED_PART: f64 = 1.3;

/// The shortest time after which a client is told to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(250);

/// The part of its time for which a client waits before it comes back, at most.
const RETURN_PART: u32 = 3;

/// What is known of a request at the engine that would answer it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// How long ago it came.
    pub elapsed: Duration,
    /// Within which time its first event is wanted.
    pub target: Duration,
    /// What is left of its time.
    pub remaining: Duration,
    /// How long the engine takes to read what it has not read yet.
    pub ahead: Duration,
    /// How long it takes to read the request's own prompt.
    pub reading: Duration,
    /// Whether the client was refused before and came back.
    pub returned: bool,
}

impl QueuedRequest {
    /// Returns after what time the client should come back if it is not to join the queue.
    pub fn refusal(&self) -> Option<Duration> {
        // Who came back is late already, and joins a queue in which others are in time.
        let elapsed = if self.returned { Duration::ZERO } else { self.elapsed };
        let first_event = elapsed + self.ahead + self.reading;
        // A prompt that takes that long by itself would be refused for ever.
        let useful = self.target.mul_f64(QUEUED_PART).max(elapsed + self.reading);
        if self.ahead.is_zero() || first_event <= useful {
            return None;
        }
        let longest = (self.remaining / RETURN_PART).max(SHORTEST_RETURN);
        Some(self.ahead.clamp(SHORTEST_RETURN, longest))
    }
}
