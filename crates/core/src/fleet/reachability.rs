//! Whether a data hall can be reached, and how long a connection to an engine may take to come about.
//!
//! A hall that is cut off is silent: each connection to its engines ends only with the patience of who tries. A host
//! that found out for each engine by itself would spend the target of many requests on it. So connections are given as
//! long as they have taken lately, with room, and a hall of which several engines are silent is left as a whole.

use std::{collections::BTreeSet, time::Duration};

use crate::{clock::ClockMillis, fleet::EngineName};

/// How long a connection may take before any was made, and at most.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection may take at least: a round trip between data halls and back takes some five milliseconds, and a
/// small host may be held up for fifty.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// How strongly the newest connection moves the mean, and the deviation from it; as in TCP's own estimate.
const ESTIMATE_GAIN: f64 = 0.125;

/// How many deviations beyond the mean a connection may take; twice those of TCP's own estimate.
const DEVIATION_MULTIPLIER: f64 = 8.0;

/// How many connections must have been made for the estimate to count.
const MIN_SAMPLES: u32 = 8;

/// How many engines of a hall must be silent, none answering in between, for the hall to count as cut off: two may
/// have gone dark together.
const TIMED_OUT_ENGINES_THRESHOLD: usize = 3;

/// How long a hall is left at first: a tenth of what short cuts last.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// The longest time for which a hall is left.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// How long connections to engines have taken lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTimeEstimator {
    /// Unit: milliseconds.
    mean: f64,
    /// Unit: milliseconds.
    deviation: f64,
    sample_count: u32,
}

impl ConnectTimeEstimator {
    /// Takes how long a connection took.
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

    /// Takes that a connection did not come about in time: the patience may be too short for this host.
    pub fn record_timeout(&mut self) {
        self.deviation += ESTIMATE_GAIN * self.mean;
    }

    /// Returns whether connections come about quickly, so that one that does not shows something of its engine.
    pub fn is_quick(&self) -> bool {
        self.timeout() <= MIN_CONNECT_TIMEOUT
    }

    /// Returns how long the next connection may take.
    pub fn timeout(&self) -> Duration {
        if self.sample_count < MIN_SAMPLES {
            return MAX_CONNECT_TIMEOUT;
        }
        let timeout =
            Duration::from_secs_f64((self.mean + DEVIATION_MULTIPLIER * self.deviation) / 1000.0);
        timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }
}

/// Whether a data hall can be reached, as connections to its engines tell.
#[derive(Debug, Clone, Default)]
pub struct HallReachability {
    /// Engines that were silent since one of the hall answered last.
    timed_out_engines: BTreeSet<EngineName>,
    backoff_count: u32,
    backoff_until: ClockMillis,
}

impl HallReachability {
    /// Takes that an engine of the hall answered.
    pub fn record_success(&mut self) {
        if !self.timed_out_engines.is_empty() {
            *self = Self::default();
        }
    }

    /// Takes that a connection to an engine of the hall did not come about in time.
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

    /// Returns whether the hall is left alone now.
    pub fn is_in_backoff(&self, now: ClockMillis) -> bool {
        now < self.backoff_until
    }
}
