//! Connect timeouts, and reachability of data halls.
//!
//! Connections to a data hall that is cut off fail only by timeout. If a host had to find this out
//! for each engine separately, many requests would miss their latency target. The connect timeout
//! therefore follows recent connect times, and a hall with several engines that timed out is put in
//! a backoff as a whole.

use std::{collections::BTreeSet, time::Duration};

use crate::{clock::ClockMillis, fleet::EngineName};

/// Maximum connect timeout, and its value before enough connections were made.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum connect timeout: leaves room for the round trip between data halls, some 5 ms, and for
/// scheduling delays on a small host, up to 50 ms.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// Weight of the newest connect time in the mean and deviation, as in TCP's retransmission timer.
const ESTIMATE_GAIN: f64 = 0.125;

/// Deviations above the mean that the timeout allows, twice as many as in TCP's retransmission
/// timer.
const DEVIATION_MULTIPLIER: f64 = 8.0;

/// Number of connections from which on the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// Number of engines of a hall that must time out without a success in between for the hall to
/// count as cut off: two engines may have failed at the same time.
const TIMED_OUT_ENGINES_THRESHOLD: usize = 3;

/// Initial backoff of a hall: a tenth of the duration of short partitions.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum backoff of a hall.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Estimates the connect timeout from recent connect times.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTimeEstimator {
    /// Unit: milliseconds.
    mean: f64,
    /// Unit: milliseconds.
    deviation: f64,
    sample_count: u32,
}

impl ConnectTimeEstimator {
    /// Records the time that a connection took.
    pub fn record(&mut self, time: Duration) {
        let sample = time.as_secs_f64() * 1000.0;
        if self.sample_count == 0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        } else {
            self.deviation += ESTIMATE_GAIN * ((sample - self.mean).abs() - self.deviation);
            self.mean += ESTIMATE_GAIN * (sample - self.mean);
        }
        self.sample_count = self.sample_count.saturating_add(1);
    }

    /// Records a timeout; raises the estimate, since the timeout may be too short for this host.
    pub fn record_timeout(&mut self) {
        self.deviation += ESTIMATE_GAIN * self.mean;
    }

    /// Returns whether connections are established quickly, so that a timeout indicates a failure
    /// of the engine.
    pub fn is_quick(&self) -> bool {
        self.timeout() <= MIN_CONNECT_TIMEOUT
    }

    /// Returns the timeout for the next connection.
    pub fn timeout(&self) -> Duration {
        if self.sample_count < MIN_SAMPLES {
            return MAX_CONNECT_TIMEOUT;
        }
        let timeout =
            Duration::from_secs_f64((self.mean + DEVIATION_MULTIPLIER * self.deviation) / 1000.0);
        timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }
}

/// Reachability of a data hall, as shown by connections to its engines.
#[derive(Debug, Clone, Default)]
pub struct HallReachability {
    /// Engines that timed out since the last success of any engine in the hall.
    timed_out_engines: BTreeSet<EngineName>,
    backoff_count: u32,
    backoff_until: ClockMillis,
}

impl HallReachability {
    /// Records a connection to, or an answer from, an engine of the hall.
    pub fn record_success(&mut self) {
        if !self.timed_out_engines.is_empty() {
            *self = Self::default();
        }
    }

    /// Records that a connection to an engine of the hall timed out.
    pub fn record_timeout(&mut self, engine: &EngineName, now: ClockMillis) {
        self.timed_out_engines.insert(engine.clone());
        let in_backoff = now < self.backoff_until;
        if self.timed_out_engines.len() >= TIMED_OUT_ENGINES_THRESHOLD && !in_backoff {
            let backoff =
                INITIAL_BACKOFF.saturating_mul(1 << self.backoff_count.min(4)).min(MAX_BACKOFF);
            self.backoff_count += 1;
            self.backoff_until = now + backoff;
        }
    }

    /// Returns whether the hall is in a backoff.
    pub fn is_in_backoff(&self, now: ClockMillis) -> bool {
        now < self.backoff_until
    }
}
