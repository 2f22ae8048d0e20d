//! The fraction of arrivals that engines answer in time, learned from expected waits.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Fraction of the latency target beyond which expected waits show a shortage; the rest of the
/// target is for the request's own prompt and for engines that are slower than expected.
const HIGH_WAIT_FRACTION: f64 = 0.3;

/// Fraction of the latency target up to which expected waits show spare capacity.
const LOW_WAIT_FRACTION: f64 = 0.15;

/// Maximum expected wait that counts, in latency targets, so that one engine with a long queue does
/// not decide for all and the level soon rises once queues are short.
const MAX_WAIT_RATIO: f64 = 1.0;

/// Weight of the newest expected wait. Below [`HIGH_WAIT_FRACTION`], so that one long wait shows no
/// shortage; a host with ten requests a second notices one within half a second.
const WAIT_SMOOTHING: f64 = 0.25;

/// Time without expected waits after which capacity is assumed to be sufficient. A host that gets few requests while
/// most go to another one still sees a shortage that lasts.
const WAIT_EXPIRY: Duration = Duration::from_secs(3);

/// Minimum time between two changes of the level.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum factor of one reduction; more would cut deeper than queues are long.
const MIN_DECREASE_FACTOR: f64 = 0.8;

/// Maximum time between two waits for which the level is reduced.
const MAX_DECREASE_TIME: Duration = Duration::from_secs(1);

/// Ratio of the smoothed wait to the previous one below which queues shrink fast enough, so that
/// the level is not reduced further.
const SHRINKING_RATIO: f64 = 0.97;

/// Increase per second while waits are short: normal service returns within two seconds of the end
/// of a shortage, half of which the smoothed wait takes.
const INCREASE_PER_SECOND: f64 = 1.0;

/// Increase per second while waits are neither short nor long, which probes for more capacity.
const PROBE_INCREASE_PER_SECOND: f64 = 0.1;

/// Minimum level: with fewer requests, a host would notice too late that capacity is back.
const MIN_LEVEL: f64 = 0.05;

/// Admitted fraction of a host's arrivals at a service.
#[derive(Debug, Clone)]
pub struct AdmissionLevel {
    fraction: f64,
    /// Smoothed expected wait, in latency targets.
    wait_ratio: f64,
    observed_at: ClockMillis,
    /// The smoothed wait at the last change of the level.
    previous_wait_ratio: f64,
    updated_at: ClockMillis,
    /// Since when not everything is admitted.
    short_since: Option<ClockMillis>,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            wait_ratio: 0.0,
            observed_at: ClockMillis::default(),
            previous_wait_ratio: 0.0,
            updated_at: ClockMillis::default(),
            short_since: None,
        }
    }
}

impl AdmissionLevel {
    /// Returns the admitted fraction.
    pub const fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Records the expected wait of a request, in latency targets.
    pub fn observe(&mut self, wait_ratio: f64, now: ClockMillis) {
        if self.is_expired(now) {
            self.wait_ratio = 0.0;
        }
        // The longer the previous waits are ago, the less they say.
        let updates = now.since(self.observed_at).div_duration_f64(UPDATE_INTERVAL).max(1.0);
        let weight = 1.0 - (1.0 - WAIT_SMOOTHING).powf(updates);
        self.wait_ratio += weight * (wait_ratio.min(MAX_WAIT_RATIO) - self.wait_ratio);
        self.observed_at = now;
    }

    /// Changes the level if that is due; returns whether it was.
    pub fn advance(&mut self, now: ClockMillis) -> bool {
        let elapsed = now.since(self.updated_at);
        if elapsed < UPDATE_INTERVAL {
            return false;
        }
        self.updated_at = now;
        let wait_ratio = if self.is_expired(now) { 0.0 } else { self.wait_ratio };
        let previous = std::mem::replace(&mut self.previous_wait_ratio, wait_ratio);
        let fraction = if wait_ratio > HIGH_WAIT_FRACTION {
            let shrinking = wait_ratio < previous * SHRINKING_RATIO;
            let factor = (HIGH_WAIT_FRACTION / wait_ratio).max(MIN_DECREASE_FACTOR);
            // A host with few requests updates its level less often than others.
            let decreases = elapsed.min(MAX_DECREASE_TIME).div_duration_f64(UPDATE_INTERVAL);
            if shrinking { self.fraction } else { self.fraction * factor.powf(decreases) }
        } else if wait_ratio > LOW_WAIT_FRACTION {
            self.fraction + PROBE_INCREASE_PER_SECOND * elapsed.as_secs_f64()
        } else {
            self.fraction + INCREASE_PER_SECOND * elapsed.as_secs_f64()
        };
        self.fraction = fraction.clamp(MIN_LEVEL, 1.0);
        self.short_since = if self.fraction < 1.0 { self.short_since.or(Some(now)) } else { None };
        true
    }

    /// Returns how long the level has admitted only a part.
    pub fn short_for(&self, now: ClockMillis) -> Duration {
        self.short_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the time in which the level returns to one after waits have become short.
    pub fn recovery_time(&self) -> Duration {
        Duration::from_secs_f64((1.0 - self.fraction) / INCREASE_PER_SECOND)
    }

    fn is_expired(&self, now: ClockMillis) -> bool {
        now.since(self.observed_at) >= WAIT_EXPIRY
    }
}
