//! Keeps loads from the weight store below a ceiling over a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// Loads that the operator's rule allows beside the rate.
const RULE_SLACK: f64 = 3.0;

/// The part of a load that is kept back, so that a sum of fractions never counts as one load more.
const RESERVE: f64 = 0.3;

/// How much longer than the operator's window loads are counted, since they begin after their order.
const JITTER: Duration = Duration::from_millis(100);

/// Counts loads from the weight store within a sliding window.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    length: Duration,
    most: usize,
    begun: VecDeque<ClockMillis>,
}

impl LoadRateLimiter {
    /// Allows `loads_per_second` over `length`, times `overage`.
    pub fn new(loads_per_second: f64, length: Duration, overage: f64) -> Self {
        let allowed = loads_per_second * length.as_secs_f64() * overage + RULE_SLACK - RESERVE;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let most = allowed.max(1.0) as usize;
        Self { length: length + JITTER, most, begun: VecDeque::new() }
    }

    /// Returns whether one more load may begin.
    pub fn has_room(&mut self, now: ClockMillis) -> bool {
        let start = now - self.length;
        while self.begun.front().is_some_and(|time| *time <= start) {
            self.begun.pop_front();
        }
        self.begun.len() < self.most
    }

    /// Counts a load that begins, or may begin, at `now`.
    pub fn note(&mut self, now: ClockMillis) {
        self.begun.push_back(now);
    }

    /// Takes a load back that was counted at `noted` and turned out not to have begun.
    pub fn refund(&mut self, noted: ClockMillis) {
        if let Some(place) = self.begun.iter().position(|begun| *begun == noted) {
            self.begun.remove(place);
        }
    }

    /// Counts loads that another placer may have begun before `now`.
    pub fn assume(&mut self, loads: usize, now: ClockMillis) {
        self.begun.extend(std::iter::repeat_n(now, loads));
    }
}
