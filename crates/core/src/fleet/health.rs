//! Engine health from the outcomes of a host's own requests.
//!
//! An engine may pass its health check while its requests fail, and vice versa. After a failure the
//! engine is put in a backoff that doubles with each consecutive failure.

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
    failure_rate: f64,
    delay_millis: Option<f64>,
    consecutive_failures: u32,
    backoff_until: ClockMillis,
}

impl EngineHealth {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: EngineOutcome, now: ClockMillis) {
        match outcome {
            EngineOutcome::Answered(delay) => {
                self.consecutive_failures = 0;
                self.update_failure_rate(0.0);
                self.update_delay(delay);
            }
            // Error statuses are common, so they count only towards the failure rate and cause no
            // backoff.
            EngineOutcome::ErrorResponse => self.update_failure_rate(1.0),
            // The engine may be full or lack one adapter: prefers other engines without causing a
            // backoff.
            EngineOutcome::Refused => self.update_failure_rate(REFUSAL_FAILURE_VALUE),
            EngineOutcome::Unreachable
            | EngineOutcome::Failed
            | EngineOutcome::FirstByteTimeout => {
                self.update_failure_rate(1.0);
                self.back_off(now, INITIAL_BACKOFF);
            }
        }
    }

    fn update_failure_rate(&mut self, sample: f64) {
        self.failure_rate += FAILURE_SMOOTHING * (sample - self.failure_rate);
    }

    fn update_delay(&mut self, delay: Duration) {
        let sample = delay.as_secs_f64() * 1000.0;
        let delay = self.delay_millis.get_or_insert(sample);
        *delay += DELAY_SMOOTHING * (sample - *delay);
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
        self.failure_rate
    }

    /// Returns the smoothed delay of answers, if there were any. Unit: milliseconds.
    pub const fn delay_millis(&self) -> Option<f64> {
        self.delay_millis
    }
}
