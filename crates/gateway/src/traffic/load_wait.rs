//! Waiting for the load of an adapter where clients have little time to retry.
//!
//! Used instead of the rule in `cold_start` while a request waits for a load alone. Permits and
//! cooldowns of engines that hold the adapter have their own retry times.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{cold_decision::LoadWait, cold_start::ColdDecision},
    placement::LoadSchedule,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    availability::EngineAvailability,
    traffic::{
        exchange::Exchange,
        wait::{WaitGuard, has_available_copy},
    },
};

/// How long after its retry time a client is expected back: the refusal's and the new request's
/// delivery, and a late timer of the client.
const RETURN_MARGIN: Duration = Duration::from_millis(250);

/// Time until an engine that holds the adapter is expected to have a connection to spare: with some
/// dozens of requests of a host in progress, one ends every few milliseconds.
const CONNECTION_WAIT: Duration = Duration::from_millis(20);

/// Worth of a refused request whose client is expected back: as much as a new one.
const RETURNING_WORTH: f64 = 1.0;

impl Exchange<'_> {
    /// Returns whether the request waits by the schedule of its adapter's load.
    pub(super) fn waits_by_schedule(&self) -> bool {
        let waits_for_load_only = self.cooling_engines.is_none() && self.permit_wait.is_none();
        waits_for_load_only
            && self.metadata.model.is_some()
            && self.traffic.table().has_tight_timeouts()
    }

    /// Returns the state of a wait that began at `started_at`.
    pub(super) fn load_wait(&self, started_at: ClockMillis) -> LoadWait {
        let now = self.traffic.now();
        let waiting = now.since(started_at);
        LoadWait {
            request: self.cold_request(),
            schedule: self.load_schedule(),
            copy_available_in: self.copy_available_in(now),
            now,
            waiting,
            waited: self.waited + waiting,
            request_hash: xxh3_64(self.metadata.id.as_bytes()),
        }
    }

    /// Returns the newest schedule of the load of the request's adapter.
    pub(super) fn load_schedule(&self) -> LoadSchedule {
        let table = self.traffic.table();
        let schedule = self.metadata.model.as_ref().and_then(|key| table.estimates.get(key));
        schedule.copied().unwrap_or_default()
    }

    /// Returns the time until an engine that holds the adapter is used again: its backoff ends, its
    /// report that it lacks the adapter expires, or it has a connection to spare.
    pub(super) fn copy_available_in(&self, now: ClockMillis) -> Option<Duration> {
        let key = self.metadata.model.as_ref()?;
        let table = self.traffic.table();
        let copies = table.copies.get(key)?;
        let unusable = self.unusable_engines();
        let pool = self.traffic.pool.borrow();
        let availability = self.traffic.shared.availability();
        let mut times = Vec::new();
        for entry in table.ready_engines(&self.service) {
            let Some((_, version)) = copies.iter().find(|(engine, _)| *engine == entry.name) else {
                continue;
            };
            let allowed = table.versions.get(key).is_none_or(|published| {
                let max_delay = self.traffic.shared.profile.bounds.max_version_delay;
                published.allows(*version, max_delay, now)
            });
            if allowed
                && !unusable.contains(&entry.name)
                && self.allows_software(entry)
                && !pool.is_hall_unreachable(entry, now)
                && availability.without_limit(entry) == EngineAvailability::Available
            {
                let (health, _) = pool.health_and_work(&entry.name);
                let absent = self.traffic.absence_remaining(&entry.name, key);
                times.push(health.backoff_remaining(now).max(absent));
            }
        }
        // An engine that is not avoided has no connection to spare.
        times.into_iter().map(|time| if time.is_zero() { CONNECTION_WAIT } else { time }).min()
    }

    /// Decides by the schedule whether the request keeps waiting, and records the cause.
    pub(super) fn decide_by_schedule(&mut self, started_at: ClockMillis) -> ColdDecision {
        let decided = self.load_wait(started_at).decide();
        self.cold_cause = Some(decided.cause);
        decided.decision
    }

    /// Records a refusal by the schedule, and whether the adapter is loaded when its client should
    /// return; keeps counting the request for a client that can still be answered.
    pub(super) fn finish_refusal(
        &self,
        guard: WaitGuard,
        started_at: ClockMillis,
        retry_after: Duration,
    ) {
        if self.waited > LoadWait::held_after(self.route.latency_target)
            && let Some(cause) = self.cold_cause
        {
            self.traffic.shared.metrics.cold.count_held_refusal(cause);
        }
        if !self.load_wait(started_at).is_return_useful() {
            return;
        }
        let traffic = Rc::clone(self.traffic);
        let (service, key) = (Arc::clone(&self.service), Arc::clone(&guard.key));
        guard.keep_for_return(retry_after);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(retry_after).await;
            let kept = has_available_copy(&traffic, &service, &key);
            traffic.shared.metrics.cold.observe_announced(retry_after, kept);
        });
    }

    /// Counts a request of a client that was refused before by whether its adapter was loaded.
    pub(super) fn record_return(&self) {
        let is_return = self.metadata.model.is_some() && self.client_retried();
        if is_return && self.traffic.table().has_tight_timeouts() {
            self.traffic.shared.metrics.cold.count_return(self.cold_cause.is_none());
        }
    }
}

impl WaitGuard {
    /// Keeps counting a refused request until its adapter is loaded or its client is expected back.
    pub(super) fn keep_for_return(mut self, retry_after: Duration) {
        self.update_worth(RETURNING_WORTH);
        self.keep_counted_for(retry_after + RETURN_MARGIN);
    }
}
