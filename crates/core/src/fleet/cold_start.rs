//! Decides whether a request waits for an adapter that no engine has loaded, or is refused.
//!
//! A client that is refused quickly and retries once the adapter is loaded is served better than
//! one that waits until it times out. A request therefore waits if the load is expected in time;
//! otherwise it is refused with the expected time as its retry time. Before either, it waits a
//! short time for the placer's estimate.

use std::time::Duration;

use crate::placement::store_throughput::MIN_LOAD_TIME;

/// Fraction of the latency target for which a request waits for a load estimate.
const ESTIMATE_WAIT_FRACTION: f64 = 0.17;

/// Time to the first event after the adapter is loaded, without the prefill: publication of the
/// plan to the host (plan frames are at least 15 ms apart), transfer to the engine, and one engine
/// step. A quarter of short prompts have their first event after 20 to 44 ms.
pub(super) const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(60);

/// How long a client waits for an event, in maximum event gaps.
const CLIENT_WAIT_EVENT_GAPS: u32 = 8;

/// Added to an estimate to get a retry time.
pub(super) const RETRY_AFTER_MARGIN: Duration = Duration::from_millis(120);

/// Minimum retry time given to a client.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry time without an estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Divides the remaining time of a request to get its maximum retry time.
pub(super) const RETRY_AFTER_DIVISOR: u32 = 3;

/// How long a client waits for an event, in latency targets.
const CLIENT_WAIT_LATENCY_TARGETS: u32 = 4;

/// Minimum time that a client is assumed to wait for an event.
const MIN_CLIENT_WAIT: Duration = Duration::from_secs(2);

/// How long before the client gives up a waiting request is refused.
const REFUSAL_MARGIN: Duration = Duration::from_millis(150);

/// Worth of a request that can only be answered after its latency target; one answered in time is
/// worth one. Customers state a tenth to a third.
pub const LATE_WORTH: f64 = 0.2;

/// Minimum time until a waiting request is checked again.
pub(super) const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// State of a request whose adapter is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRequest {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Target for the time to the first event.
    pub latency_target: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Expected time until the adapter is loaded or a permit is granted, if known.
    pub estimate: Option<Duration>,
    /// The first engine to become available, if all engines that could run the request are in a
    /// cooldown.
    pub cooling: Option<CoolingEngine>,
    /// Expected prefill time of the prompt, or zero if unknown.
    pub prefill_time: Duration,
    /// Target for the maximum gap between two events of the stream, if configured.
    pub max_event_gap: Option<Duration>,
    /// Whether this is the client's retry after a refusal.
    pub client_retried: bool,
}

/// An engine that could run a request, but is in a cooldown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoolingEngine {
    /// Time until it is expected to accept requests.
    pub available_in: Duration,
    /// Whether another engine could load the requested adapter.
    pub loadable_elsewhere: bool,
}

/// Decision on a request at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdDecision {
    /// Wait, and decide again after this time at the latest.
    Wait(Duration),
    /// Refuse, with this retry time.
    Refuse(Duration),
}

/// Returns how long a client waits for the next event of its stream, or for the first one.
pub fn client_event_timeout(latency_target: Duration, max_event_gap: Option<Duration>) -> Duration {
    let event_gaps = max_event_gap.unwrap_or_default() * CLIENT_WAIT_EVENT_GAPS;
    (latency_target * CLIENT_WAIT_LATENCY_TARGETS).max(MIN_CLIENT_WAIT).max(event_gaps)
}

impl ColdRequest {
    /// Returns the time since arrival after which a waiting request is refused, shortly before its
    /// client gives up.
    pub(super) fn client_wait_limit(&self) -> Duration {
        let client_wait_limit = client_event_timeout(self.latency_target, self.max_event_gap);
        client_wait_limit.min(self.elapsed + self.remaining).saturating_sub(REFUSAL_MARGIN)
    }

    /// Returns the worth of the request if a load of its adapter begins now.
    pub fn worth(&self) -> f64 {
        let first_event = self.elapsed + MIN_LOAD_TIME + self.prefill_time + FIRST_EVENT_OVERHEAD;
        if self.client_retried || first_event > self.latency_target { LATE_WORTH } else { 1.0 }
    }

    /// Returns whether the request waits or is refused.
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

    /// Decides for a request that may have run: it can't be refused, and a late answer is better than none. It waits for any
    /// engine until shortly before its client gives up.
    pub fn decide_unrefusable(&self) -> ColdDecision {
        let remaining_wait = self.client_wait_limit().saturating_sub(self.elapsed);
        if remaining_wait.is_zero() {
            return ColdDecision::Refuse(self.retry_after());
        }
        let cooldown = self.cooling.map(|engine| engine.available_in.max(MIN_RECHECK_INTERVAL));
        ColdDecision::Wait(cooldown.unwrap_or(remaining_wait).min(remaining_wait))
    }

    /// Returns whether an answer would still be in time if an engine accepted the request after
    /// `time`.
    fn is_useful_after(&self, time: Duration) -> bool {
        let max_delay =
            if self.client_retried { self.client_wait_limit() } else { self.latency_target };
        self.elapsed + time + self.prefill_time + FIRST_EVENT_OVERHEAD <= max_delay
    }

    /// Decides while all engines that could run the request are in a cooldown: it waits for the
    /// first of them or for another copy, if either is expected in time.
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

    /// Returns the retry time for the client.
    fn retry_after(&self) -> Duration {
        let time =
            self.estimate.map_or(DEFAULT_RETRY_AFTER, |estimate| estimate + RETRY_AFTER_MARGIN);
        time.max(MIN_RETRY_AFTER).min((self.remaining / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER))
    }
}
