//! Smoothed failure rate and delay of an engine, and when a probe may correct them.

use std::time::Duration;

use crate::{clock::ClockMillis, fleet::health::probe_timer::ProbeTimer};

/// Weight of the newest sample in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Weight of the newest sample in the smoothed delay.
const DELAY_SMOOTHING: f64 = 0.25;

/// Weight of a probe that is better than the earlier samples, of which there may be only one.
const PROBE_SMOOTHING: f64 = 0.5;

/// Ratio of a sample to the smoothed delay, or the inverse, from which on they contradict each other.
const CONTRADICTING_DELAY_RATIO: f64 = 2.0;

/// Failure rate below which an engine counts as working, since its cost is negligible.
const LOW_FAILURE_RATE: f64 = 0.03;

/// Time without a sample after which a slow engine is probed.
const INITIAL_DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a sample after which a failing engine is probed; longer, since callers may see the
/// failure of a probe.
const INITIAL_FAILURE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Growth of the interval with each probe that is slow.
const DELAY_BACKOFF_FACTOR: u32 = 2;

/// Growth of the interval with each probe that fails. An engine that fails two requests in five is
/// probed ever less often, though the others halve the interval.
const FAILURE_BACKOFF_FACTOR: u32 = 4;

/// The smoothed rate of failed requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailureEstimate {
    pub(super) rate: f64,
    pub(super) probe_timer: ProbeTimer,
}

impl Default for FailureEstimate {
    fn default() -> Self {
        let never = ClockMillis::default();
        Self { rate: 0.0, probe_timer: ProbeTimer::new(INITIAL_FAILURE_PROBE_INTERVAL, never) }
    }
}

impl FailureEstimate {
    pub(super) fn record(&mut self, sample: f64, now: ClockMillis) {
        let is_better_probe = sample < self.rate && self.probe_timer.is_due(now);
        let smoothing = if is_better_probe { PROBE_SMOOTHING } else { FAILURE_SMOOTHING };
        let previous_rate = self.rate;
        self.rate += smoothing * (sample - self.rate);
        if previous_rate < LOW_FAILURE_RATE || self.rate < LOW_FAILURE_RATE {
            self.probe_timer.restart(now);
        } else if sample > 0.0 {
            self.probe_timer.back_off(FAILURE_BACKOFF_FACTOR, now);
        } else {
            self.probe_timer.advance(now);
        }
    }
}

/// The smoothed delay of an engine's answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct DelayEstimate {
    pub(super) millis: f64,
    pub(super) probe_timer: ProbeTimer,
}

impl DelayEstimate {
    pub(super) const fn new(sample_millis: f64, now: ClockMillis) -> Self {
        let probe_timer = ProbeTimer::new(INITIAL_DELAY_PROBE_INTERVAL, now);
        Self { millis: sample_millis, probe_timer }
    }

    pub(super) fn record(&mut self, sample_millis: f64, now: ClockMillis) {
        let is_faster_probe = sample_millis < self.millis && self.probe_timer.is_due(now);
        let smoothing = if is_faster_probe { PROBE_SMOOTHING } else { DELAY_SMOOTHING };
        let confirmed = sample_millis < self.millis * CONTRADICTING_DELAY_RATIO
            && sample_millis * CONTRADICTING_DELAY_RATIO > self.millis;
        if confirmed {
            self.probe_timer.back_off(DELAY_BACKOFF_FACTOR, now);
        } else {
            self.probe_timer.restart(now);
        }
        self.millis += smoothing * (sample_millis - self.millis);
    }
}
