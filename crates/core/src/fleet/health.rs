//! What a host's own requests tell about an engine's condition.
//!
//! An engine's health check may be good while its requests fail, and the other way round. So a host
//! judges an engine by the outcomes of its own requests: after failures the engine is left for a
//! while that doubles, then tried again with one request at a time.

use std::time::Duration;

use crate::clock::ClockMillis;

/// How long an engine is left after its initial failure in a row that counts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// The longest time for which an engine is left.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// How strongly the newest outcome moves the failure share.
const FAILURE_SMOOTHING: f64 = 0.2;

/// What a refusal counts as, compared with a failure.
const REFUSAL_FAILURE_VALUE: f64 = 0.2;

/// How strongly the newest initial byte moves the smoothed delay.
const DELAY_SMOOTHING: f64 = 0.25;

/// How a send to an engine ended, as far as the engine's condition goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// It answered well, so long after the send.
    Answered(Duration),
    /// It answered with an error of its own.
    ErrorResponse,
    /// It refused to run the request.
    Refused,
    /// It gave no initial byte for so long that its client left or it was left for another one.
    FirstByteTimeout,
    /// No connection came about.
    Unreachable,
    /// It fell silent or broke off.
    Interrupted,
}

/// One host's view of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineHealth {
    failure_rate: f64,
    delay_millis: Option<f64>,
    consecutive_failures: u32,
    backoff_until: ClockMillis,
}

impl EngineHealth {
    /// Counts an outcome.
    pub fn record(&mut self, outcome: EngineOutcome, now: ClockMillis) {
        match outcome {
            EngineOutcome::Answered(delay) => {
                self.consecutive_failures = 0;
                self.update_failure_rate(0.0);
                self.update_delay(delay);
            }
            // An error of its own is part of an ordinary day; only its share counts.
            EngineOutcome::ErrorResponse => self.update_failure_rate(1.0),
            // It may be full, or not have one adapter yet: others are asked initial, if there are any.
            EngineOutcome::Refused => self.update_failure_rate(REFUSAL_FAILURE_VALUE),
            EngineOutcome::Unreachable
            | EngineOutcome::Interrupted
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

    /// Returns whether the engine is left alone now.
    pub fn is_in_backoff(&self, now: ClockMillis) -> bool {
        now < self.backoff_until
    }

    /// Returns the smoothed share of failures, from zero to one.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the smoothed delay to the initial byte, once there is one. Unit: milliseconds.
    pub const fn delay_millis(&self) -> Option<f64> {
        self.delay_millis
    }
}
