//! Limits the rate of loads from the weight store over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// Number of loads that the operator allows in addition to the rate.
const BURST_ALLOWANCE: f64 = 3.0;

/// Fraction of a load held back so that rounding never allows an extra load.
const ROUNDING_RESERVE: f64 = 0.3;

/// Time added to the operator's window, because loads start later than they are ordered.
const START_JITTER: Duration = Duration::from_millis(100);

/// Sliding-window rate limiter for loads from the weight store.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    max_loads: usize,
    start_times: VecDeque<ClockMillis>,
}

impl LoadRateLimiter {
    /// Creates a limiter for `loads_per_second` times `overage` over `window`.
    pub fn new(loads_per_second: f64, window: Duration, overage: f64) -> Self {
        let allowed =
            loads_per_second * window.as_secs_f64() * overage + BURST_ALLOWANCE - ROUNDING_RESERVE;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let max_loads = allowed.max(1.0) as usize;
        Self { window: window + START_JITTER, max_loads, start_times: VecDeque::new() }
    }

    /// Returns whether another load may start.
    pub fn allows_load(&mut self, now: ClockMillis) -> bool {
        let start = now - self.window;
        while self.start_times.front().is_some_and(|time| *time <= start) {
            self.start_times.pop_front();
        }
        self.start_times.len() < self.max_loads
    }

    /// Counts a load that starts, or may start, at `now`.
    pub fn record(&mut self, now: ClockMillis) {
        self.start_times.push_back(now);
    }

    /// Removes a load recorded at `recorded_at` that turned out not to have started.
    pub fn refund(&mut self, recorded_at: ClockMillis) {
        if let Some(index) = self.start_times.iter().position(|started| *started == recorded_at) {
            self.start_times.remove(index);
        }
    }

    /// Counts loads that another placer may have started before `now`.
    pub fn record_assumed(&mut self, loads: usize, now: ClockMillis) {
        self.start_times.extend(std::iter::repeat_n(now, loads));
    }
}
