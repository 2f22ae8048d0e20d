//! Choice of engines by their expected time to the first event, where timeouts are tight.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, ServiceName,
        engine_choice::EngineCandidate,
        first_event::{FirstEventRequest, PacedCandidate, choose_by_first_event},
    },
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    table::ServingTable,
    traffic::{TrafficState, exchange::Exchange, pick::EngineRequirements},
};

/// What the expected time to the first event of a request depends on.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventNeed {
    /// Length of the prompt. Unit: tokens.
    pub prompt_tokens: u64,
    /// When the first event is to be sent; may have passed.
    pub target_at: ClockMillis,
}

impl Exchange<'_> {
    /// Returns what the expected time to the request's first event depends on.
    pub(super) fn first_event_need(&self) -> FirstEventNeed {
        FirstEventNeed {
            prompt_tokens: self.metadata.prompt.tokens(),
            target_at: self.request.arrived + self.route.latency_target,
        }
    }

    /// Returns the same for an interrupted stream, which the client expects to go on.
    pub(super) fn next_event_need(&self) -> FirstEventNeed {
        let pause = self.route.max_event_gap.unwrap_or(self.route.latency_target);
        FirstEventNeed { target_at: self.traffic.now() + pause, ..self.first_event_need() }
    }
}

/// Returns whether engines of a service are chosen by their expected time to the first event.
pub fn uses_first_event(table: &ServingTable, service: &str) -> bool {
    let Some(routes) = &table.routes else { return false };
    let has_models = routes.service(service).is_some_and(|service| service.hosting.is_some());
    has_models && routes.has_tight_timeouts()
}

/// Returns the index of the engine that is expected to send the first event soonest.
pub fn choose_first_event(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    candidates: &[EngineCandidate<'_>],
    now: ClockMillis,
) -> Option<usize> {
    let pool = traffic.pool.borrow();
    let paced: Vec<PacedCandidate<'_>> = candidates
        .iter()
        .map(|engine| PacedCandidate {
            engine: *engine,
            slowness: pool.slowness(&engine.entry.name, now),
        })
        .collect();
    let request = FirstEventRequest {
        hall: &traffic.shared.profile.hall,
        prefill_time: traffic
            .prefill_time_for(requirements.service, requirements.need.prompt_tokens),
        time_to_target: requirements.need.target_at.since(now),
        repeatable: requirements.retryable,
        mean_run: pool.mean_run(requirements.service),
        view_is_stale: traffic.shared.shared_work().is_stale(requirements.service, now),
        hosts: table.hosts,
        tie_breaker: xxh3_64(requirements.id.as_bytes()),
    };
    let chosen = choose_by_first_event(&paced, &request, now)?;
    let in_own_hall = *candidates[chosen].entry.hall == *request.hall;
    traffic.shared.metrics.count_first_event_choice(request.view_is_stale, in_own_hall);
    Some(chosen)
}

/// Observes the pauses between the data of one stream, which show the speed of its engine.
pub struct PaceObserver {
    /// Absent where engines are not chosen by their speed.
    observed: Option<(Rc<TrafficState>, Arc<EngineEntry>)>,
    waiting_since: ClockMillis,
    first_data: Option<ClockMillis>,
    last_data: Option<ClockMillis>,
}

impl PaceObserver {
    /// Creates an observer of a stream from an engine.
    pub fn new(
        traffic: &Rc<TrafficState>,
        service: &ServiceName,
        entry: &Arc<EngineEntry>,
    ) -> Self {
        let is_used = uses_first_event(&traffic.table(), service);
        let observed = is_used.then(|| (Rc::clone(traffic), Arc::clone(entry)));
        Self { observed, waiting_since: ClockMillis::default(), first_data: None, last_data: None }
    }

    /// Records that the host starts to wait for data.
    pub fn record_wait(&mut self) {
        if let Some((traffic, _)) = &self.observed {
            self.waiting_since = traffic.now();
        }
    }

    /// Records that data has arrived.
    pub fn record_data(&mut self) {
        let Some((traffic, entry)) = &self.observed else { return };
        let now = traffic.now();
        self.first_data.get_or_insert(now);
        if let Some(last) = self.last_data.replace(now) {
            let (pause, waited) = (now.since(last), now.since(self.waiting_since));
            traffic.pool.borrow_mut().record_pause(entry, pause, waited, now);
        }
    }

    /// Records the end of a complete stream.
    pub fn record_end(&self) {
        let Some((traffic, entry)) = &self.observed else { return };
        let run: Option<Duration> = self.first_data.map(|first| traffic.now().since(first));
        if let Some(run) = run {
            traffic.pool.borrow_mut().record_run(&entry.service, run);
        }
    }
}
