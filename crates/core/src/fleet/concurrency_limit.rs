//! Limits a host's busy connections while its own processor or link is used up: client connections that have a request, or
//! are new.
//!
//! A host that reads more requests than it can carry makes all of them late, those that it could have served in time
//! included. While it is overloaded it therefore takes on new connections only up to a limit of busy ones. The
//! limit is lowered as long as the pressure is high, and raised while it is low and the limit is reached. It ends when
//! far fewer requests are open.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Pressure below which more requests may be open.
const LOW_PRESSURE: f64 = 0.8;

/// Range of the factor by which the limit is lowered at once.
const DECREASE_RANGE: (f64, f64) = (0.7, 0.95);

/// Minimum time between two decreases: the first one shows in the next samples.
const DECREASE_INTERVAL: Duration = Duration::from_millis(150);

/// Ratio of the open requests to the limit above which an earlier decrease has not taken effect yet.
const DRAINING_RATIO: f64 = 1.1;

/// Part of the limit that has to be in use for it to be raised.
const USED_FRACTION: f64 = 0.8;

/// Growth of the limit in a second, as a part of it and in requests.
const GROWTH_PER_SECOND: (f64, f64) = (0.2, 10.0);

/// Longest interval for which the limit grows at once.
const MAX_GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the limit below which the open requests show that it is no longer needed.
const UNUSED_FRACTION: f64 = 0.5;

/// Time for which they have to.
const UNUSED_TIME: Duration = Duration::from_secs(1);

/// Minimum limit.
const MIN_LIMIT: f64 = 32.0;

/// Ratio of the limit to the usual number of open requests, at least. All hosts may be short of time at one moment, for
/// a new configuration; clients could not go to others then.
const MIN_USUAL_RATIO: f64 = 2.5;

/// Time constant of the usual number of open requests.
const USUAL_PERIOD: Duration = Duration::from_secs(10);

/// Part of the limit below which new connections are taken on again.
const RESUME_FRACTION: f64 = 0.9;

/// Ratio to the limit up to which connections are taken on that wait when the host stops listening.
const MAX_OVERSHOOT_RATIO: f64 = 1.1;

/// Interval at which a new connection is taken on whatever is open. A ready host must not turn all clients away.
const MIN_INTAKE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits a host's busy connections while its own processor or link is used up.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimit {
    /// Maximum number of busy connections, while the host is overloaded.
    limit: Option<f64>,
    /// Smoothed number of busy connections while the host was not overloaded.
    usual_open: f64,
    updated_at: ClockMillis,
    decreased_at: ClockMillis,
    /// When the limit was last needed.
    needed_at: ClockMillis,
    /// When a new connection was last taken on.
    admitted_at: ClockMillis,
}

impl ConcurrencyLimit {
    /// Returns whether the number of busy connections is limited.
    pub const fn is_active(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the limit.
    pub const fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Updates the limit by the current pressure, which is one where all that may be used is in use, and the number of
    /// open requests.
    pub fn update(&mut self, pressure: f64, open: usize, now: ClockMillis) {
        let elapsed = now.since(self.updated_at).min(MAX_GROWTH_INTERVAL);
        self.updated_at = now;
        let open = open as f64;
        let Some(limit) = self.limit else {
            if pressure > 1.0 {
                self.decrease(open, pressure, now);
            } else {
                let weight = elapsed.div_duration_f64(USUAL_PERIOD);
                self.usual_open += weight * (open - self.usual_open);
            }
            return;
        };
        if pressure > LOW_PRESSURE || open > limit * UNUSED_FRACTION {
            self.needed_at = now;
        }
        if now.since(self.needed_at) >= UNUSED_TIME {
            self.limit = None;
        } else if pressure > 1.0 {
            let takes_effect = open <= limit * DRAINING_RATIO;
            if takes_effect && now.since(self.decreased_at) >= DECREASE_INTERVAL {
                self.decrease(limit.min(open), pressure, now);
            }
        } else if pressure < LOW_PRESSURE && open >= limit * USED_FRACTION {
            let (part, requests) = GROWTH_PER_SECOND;
            self.limit = Some(limit + (limit * part + requests) * elapsed.as_secs_f64());
        }
    }

    fn decrease(&mut self, from: f64, pressure: f64, now: ClockMillis) {
        let (least, most) = DECREASE_RANGE;
        let min_limit = MIN_LIMIT.max(self.usual_open * MIN_USUAL_RATIO);
        self.limit = Some((from * pressure.recip().clamp(least, most)).max(min_limit));
        self.decreased_at = now;
        self.needed_at = now;
    }

    /// Returns whether another request may be opened beside the open ones.
    pub fn has_room(&self, open: usize) -> bool {
        self.limit.is_none_or(|limit| (open as f64) < limit)
    }

    /// Returns whether a new connection is taken on beside the open requests.
    pub fn admits(&self, open: usize, now: ClockMillis) -> bool {
        self.has_room(open) || now.since(self.admitted_at) >= MIN_INTAKE_INTERVAL
    }

    /// Returns whether new connections are taken on again after some were not: a few requests less than the limit are
    /// open, so that there is no pause for each request.
    pub fn may_resume(&self, open: usize, now: ClockMillis) -> bool {
        self.limit.is_none_or(|limit| (open as f64) < limit * RESUME_FRACTION)
            || now.since(self.admitted_at) >= MIN_INTAKE_INTERVAL
    }

    /// Returns the number of new connections that may be taken on beyond the limit beside the open requests, because
    /// theirs have already arrived.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
    pub fn overshoot(&self, open: usize) -> usize {
        let max_open = |limit: f64| (limit * MAX_OVERSHOOT_RATIO).ceil() as usize;
        self.limit.map_or(0, |limit| max_open(limit).saturating_sub(open))
    }

    /// Records that a new connection was taken on.
    pub fn record_admission(&mut self, now: ClockMillis) {
        self.admitted_at = now;
    }
}
