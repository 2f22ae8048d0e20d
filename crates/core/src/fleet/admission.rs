//! How much of what it is asked for a host sends on to a plain service that carries less than that.
//!
//! When servers of a service are lost, the others are asked for more than they carry: their queues fill, and
//! every answer comes after the time within which it is wanted, although the server works all the time. Each
//! host then sees its own answers come late, or its requests refused, and sends on a smaller part of what
//! it is asked for; the rest is told at once to come back. Queues stay short, and what the servers carry is
//! answered in time. No host knows the others or the servers' number: all see the same queue and move
//! the same way.

use std::time::Duration;

use crate::clock::ClockMillis;

/// The part of its latency_target up to which an answer shows that the servers carry more.
const LOW_DELAY_FRACTION: f64 = 0.5;

/// The part of its latency_target beyond which an answer shows that the servers are asked for too much: what is left covers
/// answers that take longer than most.
const HIGH_DELAY_FRACTION: f64 = 0.75;

/// By which factor a host sends on more of its requests after an easy answer: one that sent on a fifth is back at everything
/// after six of them. At 2.0 the last server of three answers 0.87 of what it carries in time, at this 0.95 (simulated).
const LOW_DELAY_INCREASE_FACTOR: f64 = 1.35;

/// By how much more after one between easy and late.
const INTERMEDIATE_DELAY_INCREASE: f64 = 0.01;

/// To which part a host cuts what it sends on after a late answer: in a fleet where each host has two or three answers
/// a second, a service that is asked for twice what it carries is down to that within two seconds.
const HIGH_DELAY_DECREASE_FACTOR: f64 = 0.85;

/// To which part after a refusal by a full server.
const SERVER_FULL_DECREASE_FACTOR: f64 = 0.5;

/// The least part that is sent on: without answers nobody would hear that the servers carry more again.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// How long without any answer until a host sends on more by the time alone: hosts of a large fleet have an answer in
/// several seconds each, and would be back at everything only after half a minute.
const SILENCE_BEFORE_INCREASE: Duration = Duration::from_millis(1500);

/// In which further time it doubles then.
const SILENCE_DOUBLING_PERIOD: Duration = Duration::from_secs(1);

/// How long without any answer until nothing is known any more and everything is sent on.
const SIGNAL_EXPIRY: Duration = Duration::from_secs(3);

/// How a request that was sent on ended, as far as the service's load goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionSignal {
    /// It was answered, so long after it was sent.
    Answered(Duration),
    /// A server was full.
    ServerFull,
}

/// One host's part of the requests to a plain service that it sends on.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    fraction: f64,
    /// What is credit up towards the next request that is sent on.
    credit: f64,
    last_signal: ClockMillis,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self { fraction: 1.0, credit: 0.0, last_signal: ClockMillis::default() }
    }
}

impl AdmissionController {
    /// Returns whether the next request is sent on.
    pub fn try_admit(&mut self, now: ClockMillis) -> bool {
        self.credit += self.admitted_fraction(now);
        // Parts add up to one only nearly.
        let admitted = self.credit > 0.999;
        if admitted {
            self.credit = (self.credit - 1.0).max(0.0);
        }
        admitted
    }

    /// Takes how a request ended whose answer is wanted within `latency_target`.
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

    /// Returns the part of the requests that is sent on now.
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
