//! Keeps loads from the weight store below a ceiling over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// Loads that the operator's rule allows beside the rate.
const BURST_ALLOWANCE: f64 = 3.0;

/// The part of a load that is kept back, so that a sum of fractions never counts as one load more.
const ROUNDING_RESERVE: f64 = 0.3;

/// How much longer than the operator's window loads are counted, since they begin after their order.
const START_JITTER: Duration = Duration::from_millis(100);

/// Counts loads from the weight store within a sliding window.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    max_loads: usize,
    start_times: VecDeque<ClockMillis>,
}

impl LoadRateLimiter {
    /// Allows `loads_per_second` over `window`, times `overage`.
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

    /// Returns whether one more load may begin.
    pub fn allows_load(&mut self, now: ClockMillis) -> bool {
        let start = now - self.window;
        while self.start_times.front().is_some_and(|time| *time <= start) {
            self.start_times.pop_front();
        }
        self.start_times.len() < self.max_loads
    }

    /// Counts a load that begins, or may begin, at `now`.
    pub fn record(&mut self, now: ClockMillis) {
        self.start_times.push_back(now);
    }

    /// Takes a load back that was counted at `recorded_at` and turned out not to have begun.
    pub fn refund(&mut self, recorded_at: ClockMillis) {
        if let Some(index) = self.start_times.iter().position(|started| *started == recorded_at) {
            self.start_times.remove(index);
        }
    }

    /// Counts loads that another placer may have begun before `now`.
    pub fn record_assumed(&mut self, loads: usize, now: ClockMillis) {
        self.start_times.extend(std::iter::repeat_n(now, loads));
    }
}
