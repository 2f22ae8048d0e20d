//! Whether a request waits for an adapter that no engine holds, or is refused at once.
//!
//! A client that is refused quickly and comes back once the adapter is there is served better than
//! one that is held until it gives up. So a request waits when the load is expected in time, and is
//! refused with a truthful time to come back otherwise. A short wait for the placer's estimate comes
//! before either.

use std::time::Duration;

use crate::placement::store_pace::LEAST_LOAD_TIME;

/// The part of the target for which a request waits for an estimate.
const ESTIMATE_WAIT_FRACTION: f64 = 0.17;

/// What the first event of an answer takes beside reading its prompt, once the adapter is there: the plan's
/// way to the host (15 ms apart at least), the request's way to the engine, and a step of the engine.
/// Engines gave short prompts their first event after 20 to 44 ms in the quickest quarter of a played day
/// (docs/DECISIONS.md).
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);

/// How many pauses that a stream may have a client waits for a first event.
const CLIENT_WAIT_EVENT_GAPS: u32 = 8;

/// What is added to an estimate before a client is told to come back.
const RETRY_AFTER_MARGIN: Duration = Duration::from_millis(120);

/// The shortest time after which a client is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When a client comes back where nobody knows when the load comes.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The part of its time for which a client waits before it comes back, at most.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// How many targets a client waits for a first event.
const CLIENT_WAIT_LATENCY_TARGETS: u32 = 4;

/// How long a client waits for a first event at least.
const MIN_CLIENT_WAIT: Duration = Duration::from_secs(2);

/// What is left of a client's client_wait_limit when a request that still waits is refused.
const REFUSAL_MARGIN: Duration = Duration::from_millis(150);

/// What a request is worth to its caller that can only be answered after its target; one in time is worth one. Source:
/// the users' sheets, a tenth to a third.
pub const LATE_WORTH: f64 = 0.2;

/// The least time after which a request looks again for an engine.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What is known of a request whose adapter is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRequest {
    /// Since when it waits.
    pub elapsed: Duration,
    /// Within which time its first event is wanted.
    pub latency_target: Duration,
    /// What is left of its time.
    pub remaining: Duration,
    /// In what time the adapter is expected, if a placer has said so.
    pub estimate: Option<Duration>,
    /// An engine that holds the adapter, or needs none, where all of them want no requests for a while.
    pub cooling: Option<CoolingEngine>,
    /// How long an engine takes to read its prompt, as far as that is known.
    pub prefill_time: Duration,
    /// The longest pause with which its stream is in time, where one is named.
    pub max_event_gap: Option<Duration>,
    /// Whether the client was refused before and came back.
    pub client_retried: bool,
}

/// An engine that could run a request, but wants none for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoolingEngine {
    /// After what time it is expected to take requests again.
    pub available_in: Duration,
    /// Whether another engine could load what the request names.
    pub loadable_elsewhere: bool,
}

/// What becomes of the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdDecision {
    /// It waits, for so long at most before it is looked at again.
    Wait(Duration),
    /// It is refused, and the client comes back after so long.
    Refuse(Duration),
}

impl ColdRequest {
    /// Returns how long the client waits for a first event at all.
    fn client_wait_limit(&self) -> Duration {
        let event_gaps = self.max_event_gap.unwrap_or_default() * CLIENT_WAIT_EVENT_GAPS;
        let client_wait_limit = (self.latency_target * CLIENT_WAIT_LATENCY_TARGETS)
            .max(MIN_CLIENT_WAIT)
            .max(event_gaps);
        client_wait_limit.min(self.elapsed + self.remaining).saturating_sub(REFUSAL_MARGIN)
    }

    /// Returns what the request is worth to its caller if its adapter is ordered now.
    pub fn worth(&self) -> f64 {
        let first_event = self.elapsed + LEAST_LOAD_TIME + self.prefill_time + FIRST_EVENT_OVERHEAD;
        if self.client_retried || first_event > self.latency_target { LATE_WORTH } else { 1.0 }
    }

    /// Returns what becomes of the request now.
    pub fn decide(&self) -> ColdDecision {
        let estimate_deadline = self.latency_target.mul_f64(ESTIMATE_WAIT_FRACTION);
        let remaining_wait = self.client_wait_limit().saturating_sub(self.elapsed);
        if remaining_wait.is_zero() {
            return ColdDecision::Refuse(self.retry_after());
        }
        if let Some(engine) = self.cooling {
            return self.decide_during_cooldown(engine, remaining_wait);
        }
        if self.elapsed > estimate_deadline {
            return ColdDecision::Wait(remaining_wait);
        }
        let Some(estimate) = self.estimate else {
            let until_deadline = estimate_deadline.saturating_sub(self.elapsed);
            return if until_deadline.is_zero() {
                ColdDecision::Refuse(self.retry_after())
            } else {
                ColdDecision::Wait(until_deadline)
            };
        };
        if self.is_useful_after(estimate) {
            ColdDecision::Wait(remaining_wait)
        } else {
            ColdDecision::Refuse(self.retry_after())
        }
    }

    /// Returns whether an answer would still be useful if an engine took the request after `time`.
    fn is_useful_after(&self, time: Duration) -> bool {
        let max_delay =
            if self.client_retried { self.client_wait_limit() } else { self.latency_target };
        self.elapsed + time + self.prefill_time + FIRST_EVENT_OVERHEAD <= max_delay
    }

    /// Returns what becomes of the request where its holders want no requests for a while: it waits for the first of them or
    /// for another copy, as long as either is expected in time.
    fn decide_during_cooldown(
        &self,
        engine: CoolingEngine,
        remaining_wait: Duration,
    ) -> ColdDecision {
        let load_estimate = self.estimate.filter(|_| engine.loadable_elsewhere);
        if self.is_useful_after(engine.available_in) {
            return ColdDecision::Wait(
                remaining_wait.min(engine.available_in.max(MIN_RECHECK_INTERVAL)),
            );
        }
        let estimate_deadline = self.latency_target.mul_f64(ESTIMATE_WAIT_FRACTION);
        match load_estimate {
            Some(load_estimate)
                if self.elapsed > estimate_deadline || self.is_useful_after(load_estimate) =>
            {
                ColdDecision::Wait(remaining_wait)
            }
            None if engine.loadable_elsewhere && self.elapsed < estimate_deadline => {
                ColdDecision::Wait(estimate_deadline.saturating_sub(self.elapsed))
            }
            _ => ColdDecision::Refuse(load_estimate.map_or(engine.available_in, |load_estimate| {
                load_estimate.min(engine.available_in)
            })),
        }
    }

    /// Returns when the client should come back.
    fn retry_after(&self) -> Duration {
        let time =
            self.estimate.map_or(DEFAULT_RETRY_AFTER, |estimate| estimate + RETRY_AFTER_MARGIN);
        time.max(MIN_RETRY_AFTER).min((self.remaining / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER))
    }
}
