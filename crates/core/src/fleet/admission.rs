//! Adaptive admission control for plain services.
//!
//! When servers of a service fail, the remaining ones get more requests than they can serve: queues
//! fill up and every answer misses its latency target. Each host therefore admits a fraction of its
//! requests and refuses the others at once with a retry time. It lowers the fraction when answers
//! are slow or servers are full, and raises it when answers are fast. Hosts do not coordinate: they
//! all observe the same queues, so their fractions move in the same direction.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Fraction of the latency target up to which an answer shows spare capacity.
const LOW_DELAY_FRACTION: f64 = 0.5;

/// Fraction of the latency target beyond which an answer shows overload; the rest of the target
/// leaves room for answers that are slower than average.
const HIGH_DELAY_FRACTION: f64 = 0.75;

/// Factor applied to the admitted fraction after an answer with a low delay.
///
/// A factor of two lets the last of three servers answer 0.87 of its capacity in time, this one 0.95
/// (simulated).
const LOW_DELAY_INCREASE_FACTOR: f64 = 1.35;

/// Added to the admitted fraction after an answer with an intermediate delay.
const INTERMEDIATE_DELAY_INCREASE: f64 = 0.01;

/// Factor applied to the admitted fraction after an answer with a high delay. With two or three
/// answers per second at each host, a service that gets twice its capacity is down to it within two
/// seconds.
const HIGH_DELAY_DECREASE_FACTOR: f64 = 0.85;

/// Factor applied to the admitted fraction after a server was full.
const SERVER_FULL_DECREASE_FACTOR: f64 = 0.5;

/// Minimum admitted fraction: without answers, a host could not notice that capacity is back.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// Time without an answer after which the admitted fraction grows by itself, since a host of a
/// large fleet may get an answer only every few seconds and would need half a minute to admit
/// everything again.
const SILENCE_BEFORE_INCREASE: Duration = Duration::from_millis(1500);

/// Time in which the admitted fraction then doubles.
const SILENCE_DOUBLING_PERIOD: Duration = Duration::from_secs(1);

/// Time without an answer after which everything is admitted.
const SIGNAL_EXPIRY: Duration = Duration::from_secs(3);

/// Outcome of an admitted request, as a signal of the service's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionSignal {
    /// Answered, with the delay since it was sent.
    Answered(Duration),
    /// Refused by a full server.
    ServerFull,
}

impl AdmissionSignal {
    /// Returns whether the signal shows what servers can carry if the host itself is overloaded: its own delay is part
    /// of all delays then, so that slow answers say nothing of servers.
    pub fn counts_while_overloaded(self, latency_target: Duration) -> bool {
        match self {
            Self::Answered(delay) => delay <= latency_target.mul_f64(LOW_DELAY_FRACTION),
            Self::ServerFull => true,
        }
    }
}

/// Decides which of a host's requests to a plain service are admitted.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    fraction: f64,
    /// Accumulated fractions; one request is admitted for each whole unit.
    credit: f64,
    last_signal: ClockMillis,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self { fraction: 1.0, credit: 0.0, last_signal: ClockMillis::default() }
    }
}

impl AdmissionController {
    /// Returns whether the next request is admitted, and uses up its credit.
    pub fn try_admit(&mut self, now: ClockMillis) -> bool {
        self.credit += self.admitted_fraction(now);
        // Tolerates rounding errors in the sum of fractions.
        let admitted = self.credit > 0.999;
        if admitted {
            self.credit = (self.credit - 1.0).max(0.0);
        }
        admitted
    }

    /// Records the outcome of a request to be answered within `latency_target`.
    pub fn record(&mut self, signal: AdmissionSignal, latency_target: Duration, now: ClockMillis) {
        let previous = self.admitted_fraction(now);
        self.last_signal = now;
        let fraction = match signal {
            AdmissionSignal::ServerFull => previous * SERVER_FULL_DECREASE_FACTOR,
            AdmissionSignal::Answered(delay)
                if delay > latency_target.mul_f64(HIGH_DELAY_FRACTION) =>
            {
                previous * HIGH_DELAY_DECREASE_FACTOR
            }
            AdmissionSignal::Answered(delay)
                if delay > latency_target.mul_f64(LOW_DELAY_FRACTION) =>
            {
                previous + INTERMEDIATE_DELAY_INCREASE
            }
            AdmissionSignal::Answered(_) => previous * LOW_DELAY_INCREASE_FACTOR,
        };
        self.fraction = fraction.clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// Returns the fraction of requests that is admitted at `now`.
    pub fn admitted_fraction(&self, now: ClockMillis) -> f64 {
        let silent = now.since(self.last_signal);
        if silent >= SIGNAL_EXPIRY {
            return 1.0;
        }
        let doublings = silent
            .saturating_sub(SILENCE_BEFORE_INCREASE)
            .div_duration_f64(SILENCE_DOUBLING_PERIOD);
        (self.fraction * doublings.exp2()).min(1.0)
    }
}
