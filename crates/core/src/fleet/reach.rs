//! Whether a data hall can be reached, and how long a connection to an engine may take to come about.
//!
//! A hall that is cut off is silent: each connection to its engines ends only with the patience of who tries. A host
//! that found out for each engine by itself would spend the target of many requests on it. So connections are given as
//! long as they have taken lately, with room, and a hall of which several engines are silent is left as a whole.

use std::{collections::BTreeSet, time::Duration};

use crate::{clock::ClockMillis, fleet::EngineName};

/// How long a connection may take before any was made, and at most.
const LONGEST_PATIENCE: Duration = Duration::from_millis(300);

/// How long a connection may take at least: a round trip between data halls and back takes some five milliseconds, and a
/// small host may be held up for fifty.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(80);

/// How strongly the newest connection moves the mean, and the deviation from it; as in TCP's own estimate.
const TIME_GAIN: f64 = 0.125;

/// How many deviations beyond the mean a connection may take; twice those of TCP's own estimate.
const DEVIATIONS: f64 = 8.0;

/// How many connections must have been made for the estimate to count.
const LEAST_SEEN: u32 = 8;

/// How many engines of a hall must be silent, none answering in between, for the hall to count as cut off: two may
/// have gone dark together.
const MOST_SILENT: usize = 3;

/// How long a hall is left at first: a tenth of what short cuts last.
const FIRST_REST: Duration = Duration::from_millis(400);

/// The longest time for which a hall is left.
const LONGEST_REST: Duration = Duration::from_millis(1600);

/// How long connections to engines have taken lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTime {
    /// Unit: milliseconds.
    mean: f64,
    /// Unit: milliseconds.
    deviation: f64,
    seen: u32,
}

impl ConnectTime {
    /// Takes how long a connection took.
    pub fn note(&mut self, time: Duration) {
        let sample = time.as_secs_f64() * 1000.0;
        if self.seen == 0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        } else {
            self.deviation += TIME_GAIN * ((sample - self.mean).abs() - self.deviation);
            self.mean += TIME_GAIN * (sample - self.mean);
        }
        self.seen = self.seen.saturating_add(1);
    }

    /// Takes that a connection did not come about in time: the patience may be too short for this host.
    pub fn note_silence(&mut self) {
        self.deviation += TIME_GAIN * self.mean;
    }

    /// Returns whether connections come about quickly, so that one that does not shows something of its engine.
    pub fn is_quick(&self) -> bool {
        self.patience() <= SHORTEST_PATIENCE
    }

    /// Returns how long the next connection may take.
    pub fn patience(&self) -> Duration {
        if self.seen < LEAST_SEEN {
            return LONGEST_PATIENCE;
        }
        let patience = Duration::from_secs_f64((self.mean + DEVIATIONS * self.deviation) / 1000.0);
        patience.clamp(SHORTEST_PATIENCE, LONGEST_PATIENCE)
    }
}

/// Whether a data hall can be reached, as connections to its engines tell.
#[derive(Debug, Clone, Default)]
pub struct HallReach {
    /// Engines that were silent since one of the hall answered last.
    silent: BTreeSet<EngineName>,
    rests: u32,
    rests_until: ClockMillis,
}

impl HallReach {
    /// Takes that an engine of the hall answered.
    pub fn answered(&mut self) {
        if !self.silent.is_empty() {
            *self = Self::default();
        }
    }

    /// Takes that a connection to an engine of the hall did not come about in time.
    pub fn silent(&mut self, engine: &EngineName, now: ClockMillis) {
        self.silent.insert(engine.clone());
        let resting = now < self.rests_until;
        if self.silent.len() >= MOST_SILENT && !resting {
            let rest = FIRST_REST.saturating_mul(1 << self.rests.min(4)).min(LONGEST_REST);
            self.rests += 1;
            self.rests_until = now + rest;
        }
    }

    /// Returns whether the hall is left alone now.
    pub fn is_resting(&self, now: ClockMillis) -> bool {
        now < self.rests_until
    }
}
