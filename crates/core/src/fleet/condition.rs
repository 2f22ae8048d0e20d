//! What a host's own requests tell about an engine's condition.
//!
//! An engine's health check may be good while its requests fail, and the other way round. So a host
//! judges an engine by the outcomes of its own requests: after failures the engine is left for a
//! while that doubles, then tried again with one request at a time.

use std::time::Duration;

use crate::clock::ClockMillis;

/// How long an engine is left after its first failure in a row that counts.
const FIRST_REST: Duration = Duration::from_millis(400);

/// The longest time for which an engine is left.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// How strongly the newest outcome moves the failure share.
const FAILURE_GAIN: f64 = 0.2;

/// What a refusal counts as, compared with a failure.
const REFUSAL_SAMPLE: f64 = 0.2;

/// How strongly the newest first byte moves the smoothed delay.
const DELAY_GAIN: f64 = 0.25;

/// How a send to an engine ended, as far as the engine's condition goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// It answered well, so long after the send.
    Answered(Duration),
    /// It answered with an error of its own.
    Erred,
    /// It refused to run the request.
    Refused,
    /// It gave no first byte for so long that its client left or it was left for another one.
    Overdue,
    /// No connection came about.
    Unreachable,
    /// It fell silent or broke off.
    Broken,
}

/// One host's view of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineCondition {
    failure_share: f64,
    delay_millis: Option<f64>,
    failures_in_row: u32,
    rests_until: ClockMillis,
}

impl EngineCondition {
    /// Counts an outcome.
    pub fn note(&mut self, outcome: EngineOutcome, now: ClockMillis) {
        match outcome {
            EngineOutcome::Answered(delay) => {
                self.failures_in_row = 0;
                self.mix_failure(0.0);
                self.mix_delay(delay);
            }
            // An error of its own is part of an ordinary day; only its share counts.
            EngineOutcome::Erred => self.mix_failure(1.0),
            // It may be full, or not have one adapter yet: others are asked first, if there are any.
            EngineOutcome::Refused => self.mix_failure(REFUSAL_SAMPLE),
            EngineOutcome::Unreachable | EngineOutcome::Broken | EngineOutcome::Overdue => {
                self.mix_failure(1.0);
                self.rest(now, FIRST_REST);
            }
        }
    }

    fn mix_failure(&mut self, sample: f64) {
        self.failure_share += FAILURE_GAIN * (sample - self.failure_share);
    }

    fn mix_delay(&mut self, delay: Duration) {
        let sample = delay.as_secs_f64() * 1000.0;
        let delay = self.delay_millis.get_or_insert(sample);
        *delay += DELAY_GAIN * (sample - *delay);
    }

    fn rest(&mut self, now: ClockMillis, first: Duration) {
        let doublings = self.failures_in_row.min(5);
        let rest = (first * 2u32.pow(doublings)).min(LONGEST_REST);
        self.failures_in_row += 1;
        self.rests_until = self.rests_until.max(now + rest);
    }

    /// Returns whether the engine is left alone now.
    pub fn is_resting(&self, now: ClockMillis) -> bool {
        now < self.rests_until
    }

    /// Returns the smoothed share of failures, from zero to one.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the smoothed delay to the first byte, once there is one. Unit: milliseconds.
    pub const fn delay_millis(&self) -> Option<f64> {
        self.delay_millis
    }
}
