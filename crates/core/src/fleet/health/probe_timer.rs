//! When an engine that is avoided gets a request that shows its present health.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Maximum time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Decides when an engine that is avoided gets a request that probes it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeTimer {
    sampled_at: ClockMillis,
    initial_interval: Duration,
    interval: Duration,
}

impl ProbeTimer {
    pub(super) const fn new(initial_interval: Duration, now: ClockMillis) -> Self {
        Self { sampled_at: now, initial_interval, interval: initial_interval }
    }

    /// Returns whether the last sample is so old that a request may probe the engine.
    pub(super) fn is_due(&self, now: ClockMillis) -> bool {
        now.since(self.sampled_at) >= self.interval
    }

    /// Records a sample that contradicts the earlier ones.
    pub(super) const fn restart(&mut self, now: ClockMillis) {
        self.interval = self.initial_interval;
        self.sampled_at = now;
    }

    /// Records a sample that confirms the earlier ones; after a probe, the interval grows by
    /// `factor`.
    pub(super) fn back_off(&mut self, factor: u32, now: ClockMillis) {
        if self.is_due(now) {
            self.interval = (self.interval * factor).min(MAX_PROBE_INTERVAL);
        }
        self.sampled_at = now;
    }

    /// Records a better sample that does not outweigh the earlier ones; after a probe, the interval
    /// halves.
    pub(super) fn advance(&mut self, now: ClockMillis) {
        if self.is_due(now) {
            self.interval = (self.interval / 2).max(self.initial_interval);
        }
        self.sampled_at = now;
    }

    /// Delays the next probe by a factor of the interval.
    pub(super) fn defer(&mut self, factor: u32) {
        self.interval *= factor;
    }
}
