//! Waiting for an engine: for an adapter to be loaded, for a permit, or for the end of a cooldown.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineName, ModelKey, ServiceName,
        cold_start::{ColdDecision, ColdRequest, CoolingEngine, LATE_WORTH},
    },
};

use crate::{
    availability::EngineAvailability,
    traffic::{
        TrafficState,
        exchange::{Exchange, READ_AHEAD_LIMIT},
        pick::{CoolingEngines, EnginePick},
        preflight::SendRejection,
    },
};

/// Interval at which a waiting request checks whether an engine has become reachable again.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How long an estimated load time is used after it has passed.
const ESTIMATE_GRACE: Duration = Duration::from_millis(300);

/// Outcome of waiting for an engine.
pub enum WaitOutcome {
    /// The request no longer has to wait; an engine is picked again.
    PickAgain,
    /// The request must not be sent to any engine.
    Rejected(SendRejection),
    /// The client disconnected.
    ClientGone,
    /// The request is refused, with the time after which the client should retry.
    Refused(Duration),
}

/// Counts a request as waiting in the demand for its adapter while it exists.
pub(super) struct WaitGuard {
    traffic: Rc<TrafficState>,
    service: ServiceName,
    pub(super) key: ModelKey,
    tokens: u64,
    worth: f64,
}

impl WaitGuard {
    pub(super) fn new(
        traffic: &Rc<TrafficState>,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        worth: f64,
    ) -> Self {
        traffic.shared.demand().record_wait_start(service, key, tokens, worth);
        traffic.shared.wake_control.notify_one();
        let (service, key) = (Arc::clone(service), Arc::clone(key));
        Self { traffic: Rc::clone(traffic), service, key, tokens, worth }
    }

    /// Updates the worth with which the request is counted.
    pub(super) fn update_worth(&mut self, worth: f64) {
        if worth.total_cmp(&self.worth).is_ne() {
            let mut demand = self.traffic.shared.demand();
            demand.adjust_waiting_value(&self.service, &self.key, worth - self.worth);
            self.worth = worth;
        }
    }

    /// Keeps counting the request until an available engine has loaded its adapter, or for at most
    /// `time`, when its client has retried.
    pub(super) fn keep_counted_for(self, time: Duration) {
        tokio::task::spawn_local(async move {
            let mut changes = self.traffic.table_changes();
            let loaded = async {
                while !has_available_copy(&self.traffic, &self.service, &self.key) {
                    if changes.changed().await.is_err() {
                        return;
                    }
                }
            };
            // On a timeout too, dropping the guard ends the count.
            let _ = tokio::time::timeout(time, loaded).await;
        });
    }
}

/// Returns whether any engine that accepts requests from this host has loaded a model or adapter.
pub(super) fn has_available_copy(traffic: &TrafficState, service: &str, key: &str) -> bool {
    let table = traffic.table();
    if !table.copies.contains_key(key) {
        return false;
    }
    let availability = traffic.shared.availability();
    table.ready_engines(service).any(|entry| {
        table.loaded_version(key, &entry.name).is_some()
            && availability.without_limit(entry) == EngineAvailability::Available
    })
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut demand = self.traffic.shared.demand();
        demand.record_wait_end(&self.service, &self.key, self.tokens, self.worth);
    }
}

impl Exchange<'_> {
    /// Waits until an engine can take the request, or until it is refused.
    ///
    /// The request counts as waiting for its adapter even if only engines without a permit for it
    /// have loaded a copy: the placer may load another copy elsewhere.
    pub async fn wait_for_engine(&mut self) -> WaitOutcome {
        let mut changes = self.traffic.table_changes();
        let mut permits = self.traffic.shared.permits.subscribe();
        if !self.must_keep_waiting() {
            return WaitOutcome::PickAgain;
        }
        let started_at = self.traffic.now();
        let mut guard = self.metadata.model.clone().map(|key| {
            let tokens = self.metadata.prompt.tokens();
            let worth = self.weighted_worth(self.waiting_worth(started_at));
            WaitGuard::new(self.traffic, &self.service, &key, tokens, worth)
        });
        let mut cooldown_counted = false;
        let outcome = loop {
            if let Some(rejection) = self.request_rejection() {
                break WaitOutcome::Rejected(rejection);
            }
            if let Some(guard) = &mut guard {
                guard.update_worth(self.weighted_worth(self.waiting_worth(started_at)));
            }
            let wait = match self.decide_wait(started_at) {
                ColdDecision::Wait(time) => time,
                ColdDecision::Refuse(time) => break WaitOutcome::Refused(time),
            };
            if self.cooling_engines.is_some() && !std::mem::replace(&mut cooldown_counted, true) {
                self.traffic.shared.metrics.cooldown_waited.inc();
            }
            tokio::select! {
                biased;
                change = changes.changed() => {
                    if change.is_err() {
                        break WaitOutcome::Refused(Duration::ZERO);
                    }
                }
                _ = permits.changed() => {}
                () = self.client.wait_closed(READ_AHEAD_LIMIT) => break WaitOutcome::ClientGone,
                () = tokio::time::sleep(wait.min(RECHECK_INTERVAL)) => {}
            }
            if !self.must_keep_waiting() {
                break WaitOutcome::PickAgain;
            }
        };
        let waited = self.traffic.now().since(started_at);
        self.waited += waited;
        self.traffic.shared.metrics.load_wait.observe(waited.as_secs_f64());
        if let WaitOutcome::Refused(time) = outcome
            && let Some(guard) = guard
        {
            self.keep_counted(guard, started_at, time);
        }
        outcome
    }

    /// Keeps counting a refused request for its client's return.
    fn keep_counted(&self, mut guard: WaitGuard, started_at: ClockMillis, retry_after: Duration) {
        if self.waits_by_schedule() {
            self.finish_refusal(guard, started_at, retry_after);
        } else {
            guard.update_worth(LATE_WORTH);
            guard.keep_counted_for(retry_after + self.route.latency_target);
        }
    }

    /// Returns the worth of the request if a load of its adapter begins now.
    fn waiting_worth(&self, started_at: ClockMillis) -> f64 {
        if self.waits_by_schedule() {
            self.load_wait(started_at).worth()
        } else {
            self.cold_request().worth()
        }
    }

    /// Decides whether the request keeps waiting.
    fn decide_wait(&mut self, started_at: ClockMillis) -> ColdDecision {
        if self.may_have_run {
            self.cold_request().decide_unrefusable()
        } else if self.waits_by_schedule() {
            self.decide_by_schedule(started_at)
        } else {
            self.cold_request().decide()
        }
    }

    /// Returns whether the request has to wait, and updates what it waits for.
    fn must_keep_waiting(&mut self) -> bool {
        if !self.reaches_engines() {
            return false;
        }
        match self.pick() {
            EnginePick::Limited(engines) => {
                self.cooling_engines = None;
                self.update_permit_wait(&engines);
            }
            EnginePick::Cooling(cooling) => {
                self.update_permit_wait(&[]);
                self.record_cooldown_wait(cooling);
            }
            EnginePick::ColdStart => {
                self.cooling_engines = None;
                self.update_permit_wait(&[]);
                self.report_needed_copy();
            }
            EnginePick::Engine(..) | EnginePick::Unavailable => return false,
        }
        true
    }

    /// Reports that the request needs another copy: it resumes a stream, so that copies at engines of
    /// another software version do not help it, or engines with a copy have failed.
    pub(super) fn report_needed_copy(&self) {
        let Some(key) = &self.metadata.model else { return };
        let software = self.needed_software();
        let table = self.traffic.table();
        let is_held = |engine: &EngineName| table.loaded_version(key, engine).is_some();
        let has_lost_copy =
            !self.traffic.shared.links.is_isolated() && self.failed_engines.iter().any(is_held);
        if software.is_none() && !has_lost_copy {
            return;
        }
        let until = self.traffic.now() + 2 * RECHECK_INTERVAL;
        let mut demand = self.traffic.shared.demand();
        if let Some(software) = software {
            demand.set_needed_software(&self.service, key, software, until);
        }
        demand.set_copies_unavailable(&self.service, key, until);
    }

    /// Records that all candidates are within cooldowns and reports it to the placer.
    ///
    /// The placer then loads another copy at once, and not at these engines if other hosts can't
    /// use them either.
    fn record_cooldown_wait(&mut self, cooling: CoolingEngines) {
        if let Some(key) = &self.metadata.model {
            let mut demand = self.traffic.shared.demand();
            demand.set_copies_unavailable(&self.service, key, cooling.available_at);
            for engine in &cooling.engines {
                demand.record_unreachable(&self.service, engine);
            }
        }
        self.cooling_by = cooling.engines.first().cloned();
        self.cooling_engines = Some(cooling);
    }

    /// Returns whether a placer has estimated when the request's adapter will be loaded.
    pub(super) fn has_load_estimate(&self) -> bool {
        let table = self.traffic.table();
        self.metadata.model.as_ref().is_some_and(|key| table.estimates.contains_key(key))
    }

    /// Returns the estimated time until the request's adapter is loaded.
    pub(super) fn load_estimate(&self) -> Option<Duration> {
        let now = self.traffic.now();
        let table = self.traffic.table();
        let schedule = self.metadata.model.as_ref().and_then(|key| table.estimates.get(key));
        let due = schedule.and_then(|schedule| schedule.due());
        due.filter(|due| now.since(*due) < ESTIMATE_GRACE).map(|due| due.since(now))
    }

    pub(super) fn cold_request(&self) -> ColdRequest {
        let now = self.traffic.now();
        let estimate = self.load_estimate().into_iter().chain(self.permit_estimate()).min();
        ColdRequest {
            elapsed: now.since(self.request.arrived),
            latency_target: self.route.latency_target,
            remaining: self.deadline.remaining(),
            estimate,
            cooling: self.cooling_engines.as_ref().map(|cooling| CoolingEngine {
                available_in: cooling.available_at.since(now),
                loadable_elsewhere: cooling.loadable_elsewhere,
            }),
            prefill_time: self
                .traffic
                .prefill_time_for(&self.service, self.metadata.prompt.tokens()),
            max_event_gap: self.route.max_event_gap,
            client_retried: self.client_retried(),
        }
    }
}
