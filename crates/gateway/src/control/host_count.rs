//! An estimate of the number of hosts in the system.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// Estimates the number of hosts as the highest count that any placer reported recently. Shared
/// budgets are divided by it.
///
/// A new placer, or one that is cut off, has few subscribers, while the other hosts continue to
/// spend. If the count followed each report, every host could take a whole budget for itself. A
/// decrease therefore takes effect only after it has lasted for one to two windows of these
/// budgets.
#[derive(Debug, Clone, Copy)]
pub struct HostCount {
    window: Duration,
    /// When the current window started.
    window_start: ClockMillis,
    current_max: u32,
    previous_max: u32,
}

impl HostCount {
    /// Creates a count without reports; `window` is the window of the shared budgets.
    pub fn new(window: Duration) -> Self {
        Self { window, window_start: ClockMillis::default(), current_max: 0, previous_max: 0 }
    }

    /// Records the number of hosts that follow a placer.
    pub fn record(&mut self, count: u32, now: ClockMillis) {
        let elapsed = now.since(self.window_start);
        if elapsed >= self.window {
            // The old maximum stays in force for one more window, unless it is older than that.
            self.previous_max = if elapsed < self.window * 2 { self.current_max } else { count };
            self.current_max = 0;
            self.window_start = now;
        }
        self.current_max = self.current_max.max(count);
    }

    /// Returns whether no placer has reported a count yet.
    pub const fn is_assumed(&self) -> bool {
        self.current_max == 0 && self.previous_max == 0
    }

    /// Returns the count, at least one; `default` if there was no report.
    pub fn get(&self, default: u32) -> u32 {
        match self.current_max.max(self.previous_max) {
            0 => default.max(1),
            count => count,
        }
    }
}
