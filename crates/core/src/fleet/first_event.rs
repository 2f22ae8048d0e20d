//! Choice of the engine that is expected to send the first event of a request soonest.
//!
//! The expected time covers the wait for a slot, the prefill of the prompts ahead and of the own
//! one, at the recent speed of the engine. The costs of an unhealthy engine and of another data
//! hall are added to it.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::engine_choice::{EngineCandidate, HealthCost, median_delay},
};

/// Converts the cost of an engine's health from open requests. Unit: milliseconds.
const MILLIS_PER_OPEN_REQUEST: f64 = 30.0;

/// Factor on the cost of failures for a request that can not be sent again.
const UNREPEATABLE_FACTOR: f64 = 4.0;

/// Uncertainty of the number of open requests at an engine, in requests. At 90 requests per second
/// and hall, reports that are 250 ms old miss about three requests per engine.
const OPEN_UNCERTAINTY: f64 = 3.0;

/// Cost of another data hall, as a fraction of the time until the latency target. In simulated
/// waves, 0.5 makes more requests late and 0.2 moves a third more between halls.
const OTHER_HALL_FRACTION: f64 = 0.3;

/// Minimum cost of another data hall, for requests that are late already. Unit: milliseconds.
const MIN_OTHER_HALL_MILLIS: f64 = 60.0;

/// Fraction of the time until the latency target from which a request counts as probably late: the
/// expected time is often exceeded by as much.
const LATE_FRACTION: f64 = 0.5;

/// Cost of the time by which a request is probably late, in addition to that time.
const LATE_FACTOR: f64 = 2.0;

/// Range over which choices are spread, for each choosing host. Unit: milliseconds.
const SPREAD_MILLIS_PER_HOST: f64 = 1.0;

/// Maximum range over which choices are spread. Unit: milliseconds.
const MAX_SPREAD_MILLIS: f64 = 30.0;

/// Multiplier that derives the second of two random choices from the first.
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// An engine that could run a request, with its recent speed.
#[derive(Debug, Clone, Copy)]
pub struct PacedCandidate<'table> {
    /// The engine.
    pub engine: EngineCandidate<'table>,
    /// By how much it takes longer than usual.
    pub slowness: f64,
}

/// A request, and what its host knows about the engines as a whole.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventRequest<'host> {
    /// The data hall of the host.
    pub hall: &'host str,
    /// Usual prefill time of the request's prompt.
    pub prefill_time: Duration,
    /// Time until the latency target; zero once it has passed.
    pub time_to_target: Duration,
    /// Whether the request can be sent again if the engine fails.
    pub repeatable: bool,
    /// Usual time for which a request occupies a slot after its first event.
    pub mean_run: Duration,
    /// Whether the reported work of the engines is older than its interval.
    pub view_is_stale: bool,
    /// Number of hosts that choose by the same reports.
    pub hosts: u32,
    /// Any number that differs between requests.
    pub tie_breaker: u64,
}

impl FirstEventRequest<'_> {
    /// Returns the expected time to the first event at an engine. Unit: milliseconds.
    pub fn first_event_millis(&self, candidate: &PacedCandidate<'_>) -> f64 {
        let engine = &candidate.engine;
        let slots = f64::from(engine.entry.slots.max(1));
        let open = f64::from(engine.own_open.max(engine.reported_open));
        // The number of runs that must end first, smoothed because `open` is uncertain.
        let excess = (open + 1.0 - slots) / OPEN_UNCERTAINTY;
        let ends_ahead = OPEN_UNCERTAINTY * (excess.max(0.0) + (-excess.abs()).exp().ln_1p());
        let slot_wait = millis(self.mean_run) * ends_ahead / slots;
        // Prompts ahead are processed while the request waits for its slot.
        let wait = slot_wait.max(millis(engine.pending_prefill_time));
        (wait + millis(self.prefill_time)) * candidate.slowness
    }

    fn cost(
        &self,
        candidate: &PacedCandidate<'_>,
        median_delay: Option<f64>,
        now: ClockMillis,
    ) -> f64 {
        let first_event = self.first_event_millis(candidate);
        let time_to_target = millis(self.time_to_target);
        let late = (first_event - LATE_FRACTION * time_to_target).max(0.0);
        let health = HealthCost::of(&candidate.engine, median_delay, now);
        let failure_factor = if self.repeatable { 1.0 } else { UNREPEATABLE_FACTOR };
        let hall = if &*candidate.engine.entry.hall == self.hall {
            0.0
        } else {
            (OTHER_HALL_FRACTION * time_to_target).max(MIN_OTHER_HALL_MILLIS)
        };
        let health = health.total_with_failure_factor(failure_factor) * MILLIS_PER_OPEN_REQUEST;
        first_event + LATE_FACTOR * late + health + hall
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Returns the index of the candidate for a request, or `None` if there are no candidates.
///
/// With a current view this is the one with the lowest cost, spread over nearly equal ones. With a
/// stale view all hosts could choose the same engines for as long as it lasts, so it is the better
/// of two random ones. Stale reports must not be in `candidates`: they would repeat that mistake
/// wherever there are only two.
pub fn choose_by_first_event(
    candidates: &[PacedCandidate<'_>],
    request: &FirstEventRequest<'_>,
    now: ClockMillis,
) -> Option<usize> {
    let median = median_delay(candidates.iter().map(|candidate| candidate.engine.health));
    let costs: Vec<f64> =
        candidates.iter().map(|candidate| request.cost(candidate, median, now)).collect();
    let spread = (f64::from(request.hosts) * SPREAD_MILLIS_PER_HOST).min(MAX_SPREAD_MILLIS);
    let count = candidates.len() as u64;
    let ranked = costs.iter().enumerate().map(|(index, cost)| {
        let rank = (index as u64 + count - request.tie_breaker % count) % count;
        cost + spread * rank as f64 / count as f64
    });
    let costs: Vec<f64> = ranked.collect();
    let drawn = if request.view_is_stale {
        draw_two(&eligible_for_draw(candidates, request, &costs), request.tie_breaker)
    } else {
        (0..candidates.len()).collect()
    };
    drawn.into_iter().min_by(|one, other| costs[*one].total_cmp(&costs[*other]))
}

/// Returns the candidates from which two are drawn: those of the own data hall if any of them
/// answers in time, and all otherwise.
fn eligible_for_draw(
    candidates: &[PacedCandidate<'_>],
    request: &FirstEventRequest<'_>,
    costs: &[f64],
) -> Vec<usize> {
    let in_hall = |index: &usize| &*candidates[*index].engine.entry.hall == request.hall;
    let time_to_target = millis(request.time_to_target);
    let own: Vec<usize> = (0..candidates.len()).filter(in_hall).collect();
    let in_time = own.iter().any(|index| costs[*index] <= LATE_FRACTION * time_to_target);
    if in_time { own } else { (0..candidates.len()).collect() }
}

/// Returns two of the indices, or all if there are no more.
fn draw_two(indices: &[usize], tie_breaker: u64) -> Vec<usize> {
    let count = indices.len() as u64;
    if count <= 2 {
        return indices.to_vec();
    }
    let first = tie_breaker % count;
    let mixed = tie_breaker.wrapping_mul(MIX_MULTIPLIER) >> 32;
    let second = (first + 1 + mixed % (count - 1)) % count;
    [first, second].map(|number| indices[usize::try_from(number).unwrap_or(0)]).to_vec()
}
