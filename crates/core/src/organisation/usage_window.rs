//! Use of a quota within a sliding window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// Granularity of the window. Use counts for up to this much longer than the window.
const SLICE: Duration = Duration::from_millis(50);

/// Number of slices over which earlier use is spread whose times are unknown.
const SPREAD_SLICES: u32 = 32;

/// What was granted within a sliding window, in the limit's unit.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageWindow {
    span: Duration,
    /// Grants by the time at which they leave the window, the first one to leave first.
    slices: VecDeque<(ClockMillis, f64)>,
}

impl UsageWindow {
    /// Creates a window with an amount of use spread evenly over it.
    pub fn spread(span: Duration, amount: f64, now: ClockMillis) -> Self {
        let slices = (1..=SPREAD_SLICES)
            .map(|index| (now + span * index / SPREAD_SLICES, amount / f64::from(SPREAD_SLICES)));
        Self { span, slices: slices.collect() }
    }

    /// Adds use; a negative amount takes back earlier use.
    pub fn add(&mut self, amount: f64, now: ClockMillis) {
        let expires_at = now + self.span + SLICE;
        match self.slices.back_mut() {
            Some((last, sum)) if expires_at.since(*last) < SLICE => *sum += amount,
            _ => self.slices.push_back((expires_at, amount)),
        }
    }

    /// Removes and returns the use that has left the window.
    pub fn take_expired(&mut self, now: ClockMillis) -> f64 {
        let mut expired = 0.0;
        while let Some((expires_at, sum)) = self.slices.front()
            && now >= *expires_at
        {
            expired += sum;
            self.slices.pop_front();
        }
        expired
    }
}
