//! Engine health from the outcomes of a host's own requests.
//!
//! An engine may pass its health check while its requests fail, and vice versa. After a failure the
//! engine is put in a backoff that doubles with each consecutive failure.
//!
//! An engine that is avoided gets no requests that could show its recovery. Evidence against it
//! therefore ages: after a time without new samples one request may probe the engine, and that time
//! grows with each probe that confirms the evidence.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Weight of the newest sample in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Failure rate sample of a refusal; that of a failure is one.
const REFUSAL_FAILURE_VALUE: f64 = 0.2;

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

/// Factor on the interval for probes that can not be sent again if they fail.
const UNREPEATABLE_PROBE_FACTOR: u32 = 4;

/// Maximum time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// Outcome of a request that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// Answered without an error status; the delay until the whole answer, or until the first event
    /// of a stream.
    Answered(Duration),
    /// Answered with an error status.
    ErrorResponse,
    /// Refused without being run.
    Refused,
    /// No first byte within the time allowed: the client left, or the request was sent to another
    /// engine.
    FirstByteTimeout,
    /// The connection could not be established.
    Unreachable,
    /// The answer was interrupted, or was unusable.
    Failed,
}

/// Decides when an engine that is avoided gets a request that probes it.
#[derive(Debug, Clone, Copy)]
struct ProbeTimer {
    sampled_at: ClockMillis,
    initial_interval: Duration,
    interval: Duration,
}

impl ProbeTimer {
    const fn new(initial_interval: Duration, now: ClockMillis) -> Self {
        Self { sampled_at: now, initial_interval, interval: initial_interval }
    }

    /// Returns whether the last sample is so old that a request may probe the engine.
    fn is_due(&self, now: ClockMillis) -> bool {
        now.since(self.sampled_at) >= self.interval
    }

    /// Records a sample that contradicts the earlier ones.
    const fn restart(&mut self, now: ClockMillis) {
        self.interval = self.initial_interval;
        self.sampled_at = now;
    }

    /// Records a sample that confirms the earlier ones; after a probe, the interval grows by
    /// `factor`.
    fn back_off(&mut self, factor: u32, now: ClockMillis) {
        if self.is_due(now) {
            self.interval = (self.interval * factor).min(MAX_PROBE_INTERVAL);
        }
        self.sampled_at = now;
    }

    /// Records a better sample that does not outweigh the earlier ones; after a probe, the interval
    /// halves.
    fn advance(&mut self, now: ClockMillis) {
        if self.is_due(now) {
            self.interval = (self.interval / 2).max(self.initial_interval);
        }
        self.sampled_at = now;
    }
}

/// The smoothed rate of failed requests.
#[derive(Debug, Clone, Copy)]
struct FailureEstimate {
    rate: f64,
    probe_timer: ProbeTimer,
}

impl Default for FailureEstimate {
    fn default() -> Self {
        let never = ClockMillis::default();
        Self { rate: 0.0, probe_timer: ProbeTimer::new(INITIAL_FAILURE_PROBE_INTERVAL, never) }
    }
}

impl FailureEstimate {
    fn record(&mut self, sample: f64, now: ClockMillis) {
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
struct DelayEstimate {
    millis: f64,
    probe_timer: ProbeTimer,
}

impl DelayEstimate {
    const fn new(sample_millis: f64, now: ClockMillis) -> Self {
        let probe_timer = ProbeTimer::new(INITIAL_DELAY_PROBE_INTERVAL, now);
        Self { millis: sample_millis, probe_timer }
    }

    fn record(&mut self, sample_millis: f64, now: ClockMillis) {
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

/// One host's view of an engine's health.
#[derive(Debug, Clone, Default)]
pub struct EngineHealth {
    failures: FailureEstimate,
    delay: Option<DelayEstimate>,
    consecutive_failures: u32,
    backoff_until: ClockMillis,
}

impl EngineHealth {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: EngineOutcome, now: ClockMillis) {
        match outcome {
            EngineOutcome::Answered(delay) => {
                self.consecutive_failures = 0;
                self.failures.record(0.0, now);
                self.update_delay(delay, now);
            }
            // Error statuses are common, so they count only towards the failure rate and cause no
            // backoff.
            EngineOutcome::ErrorResponse => self.failures.record(1.0, now),
            // The engine may be full or lack one adapter: prefers other engines without causing a
            // backoff.
            EngineOutcome::Refused => self.failures.record(REFUSAL_FAILURE_VALUE, now),
            EngineOutcome::Unreachable
            | EngineOutcome::Failed
            | EngineOutcome::FirstByteTimeout => {
                self.failures.record(1.0, now);
                self.back_off(now, INITIAL_BACKOFF);
            }
        }
    }

    fn update_delay(&mut self, delay: Duration, now: ClockMillis) {
        let sample_millis = delay.as_secs_f64() * 1000.0;
        match &mut self.delay {
            Some(estimate) => estimate.record(sample_millis, now),
            None => self.delay = Some(DelayEstimate::new(sample_millis, now)),
        }
    }

    fn back_off(&mut self, now: ClockMillis, initial: Duration) {
        let doublings = self.consecutive_failures.min(5);
        let backoff = (initial * 2u32.pow(doublings)).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// Returns whether the engine is in a backoff.
    pub fn is_in_backoff(&self, now: ClockMillis) -> bool {
        now < self.backoff_until
    }

    /// Returns the smoothed failure rate, from zero to one.
    pub const fn failure_rate(&self) -> f64 {
        self.failures.rate
    }

    /// Returns whether the last outcome is so old that one request may find out whether the engine
    /// still fails.
    pub fn is_failure_probe_due(&self, now: ClockMillis) -> bool {
        !self.is_in_backoff(now) && self.failures.probe_timer.is_due(now)
    }

    /// Defers the next probe of a failing engine, for a request that would be lost if it failed:
    /// others should probe the engine if there are any.
    pub fn defer_failure_probe(&mut self) {
        self.failures.probe_timer.interval *= UNREPEATABLE_PROBE_FACTOR;
    }

    /// Returns the smoothed delay of answers, if there were any. Unit: milliseconds.
    pub fn delay_millis(&self) -> Option<f64> {
        self.delay.map(|estimate| estimate.millis)
    }

    /// Returns whether the last delay is so old that one request may find out the present one.
    pub fn is_delay_probe_due(&self, now: ClockMillis) -> bool {
        self.delay.is_some_and(|estimate| estimate.probe_timer.is_due(now))
    }
}
