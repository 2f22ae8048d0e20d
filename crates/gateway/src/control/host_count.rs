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
    began: ClockMillis,
    most_now: u32,
    most_before: u32,
}

impl HostCount {
    /// Starts with nothing told; `window` is that of the budgets that are shared.
    pub fn new(window: Duration) -> Self {
        Self { window, began: ClockMillis::default(), most_now: 0, most_before: 0 }
    }

    /// Takes how many hosts a placer hears from.
    pub fn record(&mut self, count: u32, now: ClockMillis) {
        let since = now.since(self.began);
        if since >= self.window {
            // What was told last held until now where nobody told anything in between.
            self.most_before = if since < self.window * 2 { self.most_now } else { count };
            self.most_now = 0;
            self.began = now;
        }
        self.most_now = self.most_now.max(count);
    }

    /// Returns the count, at least one; `unknown` before anything was told.
    pub fn get(&self, unknown: u32) -> u32 {
        match self.most_now.max(self.most_before) {
            0 => unknown.max(1),
            count => count,
        }
    }
}
