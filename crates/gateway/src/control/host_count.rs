//! How many hosts the system has, as far as this one knows.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// Counts hosts: the most that any placer heard from lately, since budgets are shared by the count.
///
/// A placer that has just begun, or that is cut off, hears from few; hosts that it does not hear go on spending. A count
/// that fell with each of its words was one within a quarter of a second, and by it each host had a whole budget. A
/// fall counts once it has lasted for a window of these budgets, two at most.
#[derive(Debug, Clone, Copy)]
pub struct HostCount {
    window: Duration,
    /// When the present window began.
    window_start: ClockMillis,
    current_max: u32,
    previous_max: u32,
}

impl HostCount {
    /// Starts with nothing told; `window` is that of the budgets that are shared.
    pub fn new(window: Duration) -> Self {
        Self { window, window_start: ClockMillis::default(), current_max: 0, previous_max: 0 }
    }

    /// Takes how many hosts a placer hears from.
    pub fn record(&mut self, count: u32, now: ClockMillis) {
        let elapsed = now.since(self.window_start);
        if elapsed >= self.window {
            // What was told last held until now where nobody told anything in between.
            self.previous_max = if elapsed < self.window * 2 { self.current_max } else { count };
            self.current_max = 0;
            self.window_start = now;
        }
        self.current_max = self.current_max.max(count);
    }

    /// Returns the count, at least one; `unknown` before anything was told.
    pub fn get(&self, default: u32) -> u32 {
        match self.current_max.max(self.previous_max) {
            0 => default.max(1),
            count => count,
        }
    }
}
