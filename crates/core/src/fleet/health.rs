//! Engine health from the outcomes of a host's own requests.
//!
//! An engine may pass its health check while its requests fail, and vice versa. After a failure the
//! engine is put in a backoff that doubles with each consecutive failure.
//!
//! An engine that is avoided gets no requests that could show its recovery. Evidence against it
//! therefore ages: after a time without new samples one request may probe the engine, and that time
//! grows with each probe that confirms the evidence.

mod estimates;
mod probe_timer;

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::health::estimates::{DelayEstimate, FailureEstimate},
};

/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Failure rate sample of a refusal; that of a failure is one.
const REFUSAL_FAILURE_VALUE: f64 = 0.2;

/// Factor on the interval for probes that can not be sent again if they fail.
const UNREPEATABLE_PROBE_FACTOR: u32 = 4;

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

    /// Forgets failures, because they were not due to the engine.
    pub fn forget_failures(&mut self) {
        self.failures = FailureEstimate::default();
        self.consecutive_failures = 0;
        self.backoff_until = ClockMillis::default();
    }

    /// Returns whether the engine is in a backoff.
    pub fn is_in_backoff(&self, now: ClockMillis) -> bool {
        now < self.backoff_until
    }

    /// Returns the time until the end of the engine's backoff, or zero if it is in none.
    pub const fn backoff_remaining(&self, now: ClockMillis) -> Duration {
        self.backoff_until.since(now)
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
        self.failures.probe_timer.defer(UNREPEATABLE_PROBE_FACTOR);
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
