//! The room of an engine that limits the number of open requests.

use std::time::Duration;

use crate::clock::ClockMillis;

/// The time in which the hosts report the requests that they had open when the limit was declared. Until then they
/// send as before.
pub const SETTLING_TIME: Duration = Duration::from_millis(700);

/// Divides the open requests where a rejection shows that the room is smaller by an unknown number.
const REDUCTION_DIVISOR: u32 = 2;

/// The time after a reduction in which requests that were permitted before it may still be rejected.
const REDUCTION_TIME: Duration = Duration::from_millis(250);

/// The time without a rejection after which the room rises by one request.
const RAISE_INTERVAL: Duration = Duration::from_secs(5);

/// The time over which ended requests are counted.
const TURNOVER_WINDOW: Duration = Duration::from_secs(1);

/// The number of requests that all hosts may have open at an engine.
///
/// It falls when the engine rejects a request for lack of room, and rises slowly up to the declared maximum.
#[derive(Debug, Clone)]
pub struct OpenRoom {
    max: u32,
    current: u32,
    created_at: ClockMillis,
    /// When the room was last reduced or raised.
    changed_at: ClockMillis,
    /// Requests that ended since `counted_from`.
    ended: u32,
    counted_from: ClockMillis,
    /// Unit: requests per second.
    turnover: Option<f64>,
}

impl OpenRoom {
    /// Creates a room of `max` requests.
    pub const fn new(max: u32, now: ClockMillis) -> Self {
        Self {
            max,
            current: max,
            created_at: now,
            changed_at: now,
            ended: 0,
            counted_from: now,
            turnover: None,
        }
    }

    /// Returns the number of requests that may be open.
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Sets the declared maximum.
    pub fn set_max(&mut self, max: u32) {
        self.max = max;
        self.current = self.current.min(max);
    }

    /// Returns the time until the open requests of all hosts are known.
    pub fn settles_in(&self, now: ClockMillis) -> Duration {
        SETTLING_TIME.saturating_sub(now.since(self.created_at))
    }

    /// Returns how many more requests may be sent while `held` are open or permitted; `fraction` is the part of the
    /// room that this ledger grants.
    pub fn available(&self, held: u32, fraction: f64, now: ClockMillis) -> u32 {
        if !self.settles_in(now).is_zero() {
            return 0;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within u32")]
        let granted = (f64::from(self.current) * fraction) as u32;
        granted.max(1).saturating_sub(held)
    }

    /// Reduces the room after a rejection; `held` other requests are open or permitted.
    pub fn record_rejection(&mut self, held: u32, now: ClockMillis) {
        let reduced = self.current < self.max && now.since(self.changed_at) < REDUCTION_TIME;
        if reduced && held >= self.current {
            return;
        }
        let was_full = held + 1 >= self.current;
        let remaining = if was_full { self.current - 1 } else { held / REDUCTION_DIVISOR };
        self.current = remaining.max(1);
        self.changed_at = now;
    }

    /// Raises the room if it is due.
    pub fn raise(&mut self, now: ClockMillis) {
        if self.current < self.max && now.since(self.changed_at) >= RAISE_INTERVAL {
            self.current += 1;
            self.changed_at = now;
        }
    }

    /// Counts requests that ended.
    pub fn record_ended(&mut self, requests: u32, now: ClockMillis) {
        self.ended = self.ended.saturating_add(requests);
        let elapsed = now.since(self.counted_from);
        if elapsed >= TURNOVER_WINDOW {
            let rate = f64::from(self.ended) / elapsed.as_secs_f64();
            self.turnover =
                Some(self.turnover.map_or(rate, |turnover| f64::midpoint(turnover, rate)));
            (self.ended, self.counted_from) = (0, now);
        }
    }

    /// Returns the rate at which requests end, if it is known. Unit: requests per second.
    pub fn turnover(&self) -> Option<f64> {
        self.turnover.filter(|turnover| *turnover > 0.0)
    }

    /// Returns when the room next changes by itself.
    pub fn next_change(&self, now: ClockMillis) -> Option<ClockMillis> {
        let settles_in = self.settles_in(now);
        if !settles_in.is_zero() {
            return Some(now + settles_in);
        }
        (self.current < self.max).then(|| (self.changed_at + RAISE_INTERVAL).max(now))
    }
}
