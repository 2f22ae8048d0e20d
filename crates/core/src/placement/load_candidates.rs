//! What is worth loading now.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, adapter_name, base_model, routes::ModelSize},
    placement::{EngineInventory, PlacementPlanner},
};

/// The part of an engine's time that reading for one adapter may take before another copy is worth a
/// load. What else it reads then queues behind that adapter for a fifth of the time.
const MAX_PREFILL_SHARE: f64 = 0.2;

/// The same by the last seconds alone, in which chance weighs more.
const MAX_BURST_PREFILL_SHARE: f64 = 0.4;

/// The part of an engine's slots from which on it counts as busy.
const BUSY_UTILIZATION: f64 = 0.75;

/// Requests a second for an adapter from which on busy engines make another copy worth a load.
const MIN_RATE_FOR_BUSY_COPY: f64 = 0.3;

/// How long requests wait for an adapter that is there before it counts as out of their reach.
const UNREACHABLE_COPY_WAIT: Duration = Duration::from_millis(700);

/// Within which time an adapter that is ordered has come and all hosts know of it.
const LOAD_PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// How long after a suspect's load is due it is not known whether its engine lives: a report is asked for after 130 ms and given up
/// after 500.
const SUSPECT_LOAD_GRACE: Duration = Duration::from_millis(700);

/// How many seconds of future requests a load is credited with.
pub(super) const DEMAND_HORIZON_SECS: f64 = 6.0;

/// What an engine without any base model is worth to fill.
const EMPTY_ENGINE_VALUE: f64 = 20.0;

/// How much more the newest version of an adapter in use is worth than a new adapter.
const NEW_VERSION_FACTOR: f64 = 2.0;

/// What each request is worth that was asked for since its adapter was last there.
///
/// It does not fade, so that what is asked for seldom but steadily has its turn.
const UNSERVED_WEIGHT: f64 = 0.3;

/// The value below which nothing is loaded.
const MIN_LOAD_VALUE: f64 = 0.05;

/// A load that would be worth something.
#[derive(Debug, Clone)]
pub(super) struct LoadCandidate {
    pub(super) key: ModelKey,
    pub(super) value: f64,
    /// The one engine that it is for; any engine of the domain otherwise.
    pub(super) engine: Option<EngineName>,
}

impl PlacementPlanner {
    /// Returns every load that would be worth something, in no order.
    pub(super) fn load_candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let mut candidates = self.base_model_candidates(now);
        for key in self.demand.keys() {
            if adapter_name(key).is_none() {
                continue;
            }
            let value = self.load_value(key, now);
            if value >= MIN_LOAD_VALUE {
                candidates.push(LoadCandidate { key: Arc::clone(key), value, engine: None });
            }
        }
        candidates.extend(self.outdated_adapter_candidates(now));
        candidates.retain(|candidate| !self.is_load_blocked(&candidate.key, now));
        candidates
    }

    /// Returns whether an adapter is not to be loaded now, since engines ended under its loads: for a while, and then by one engine
    /// at a time.
    fn is_load_blocked(&self, key: &ModelKey, now: ClockMillis) -> bool {
        if !self.load_suspects.is_suspect(key) {
            return false;
        }
        let ordered = self.outstanding_orders.values().any(|order| order.key == *key);
        let pending_loads = || self.engines.values().flat_map(|inventory| &inventory.pending);
        ordered
            || pending_loads().any(|load| load.key == *key && now < load.due + SUSPECT_LOAD_GRACE)
            || self.load_suspects.remaining_quarantine(key, self.latest_version(key), now).is_some()
    }

    /// Returns a load of the most wanted base model for each engine that has none.
    fn base_model_candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let empty_engines = self.engines.values().filter(|inventory| {
            let has_model = |size: &ModelSize| inventory.has_model(&size.name);
            let idle = !inventory.entry.leaving && !inventory.model_change_in_progress;
            idle && self.counts_as_serving(inventory) && !self.hosting.models.iter().any(has_model)
        });
        let empty_engines: Vec<&EngineInventory> = empty_engines.collect();
        if empty_engines.is_empty() {
            return Vec::new();
        }
        let most_wanted = self.hosting.models.iter().max_by(|left, right| {
            let rate =
                |name: &str| self.model_request_rate(name, now) / (1.0 + self.model_copies(name));
            rate(&left.name).total_cmp(&rate(&right.name))
        });
        let Some(model) = most_wanted else { return Vec::new() };
        empty_engines
            .into_iter()
            .map(|inventory| LoadCandidate {
                key: Arc::from(model.name.as_str()),
                value: EMPTY_ENGINE_VALUE,
                engine: Some(Arc::clone(&inventory.entry.name)),
            })
            .collect()
    }

    fn model_request_rate(&self, model: &str, now: ClockMillis) -> f64 {
        let keys = self.demand.keys().filter(|key| base_model(key) == model);
        keys.map(|key| self.demand.request_rate(key, now)).sum()
    }

    fn model_copies(&self, model: &str) -> f64 {
        self.engines.values().filter(|inventory| inventory.has_model(model)).count() as f64
    }

    /// Returns the adapters whose newest version no engine holds, though an older one is held.
    ///
    /// The new version goes to any engine, best to one that does not have to wait for runs on the
    /// older one. The older copies are dropped when their places are needed.
    fn outdated_adapter_candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let outdated = self.versions.keys().filter(|key| {
            let held = self.engines.values().any(|inventory| inventory.held.contains_key(*key));
            held && self.copies(key) == 0.0
        });
        let candidates = outdated.map(|key| LoadCandidate {
            key: Arc::clone(key),
            value: NEW_VERSION_FACTOR * self.demand_value(key, now),
            engine: None,
        });
        candidates.filter(|candidate| candidate.value >= MIN_LOAD_VALUE).collect()
    }

    /// Returns how much an adapter is wanted: by what waits, and by what will come.
    pub(super) fn demand_value(&self, key: &str, now: ClockMillis) -> f64 {
        self.demand.waiting_value(key) + DEMAND_HORIZON_SECS * self.demand.request_rate(key, now)
    }

    /// Returns what one more copy of an adapter is worth.
    ///
    /// The first copy is worth something only when somebody waits for it; another one only when the
    /// copies there are asked for more than they can bear.
    fn load_value(&self, key: &str, now: ClockMillis) -> f64 {
        let copies = self.copies(key);
        if copies > 0.0
            && (self.copies_seem_unreachable(key, now) || self.needs_copy_elsewhere(key, now))
        {
            return self.demand_value(key, now);
        }
        if copies > 0.0 {
            let rate = self.demand.request_rate(key, now);
            if rate >= MIN_RATE_FOR_BUSY_COPY
                && self.totals.lowest_utilization(key) >= BUSY_UTILIZATION
            {
                return DEMAND_HORIZON_SECS * rate;
            }
            return self.copy_value(key, copies, now);
        }
        if self.demand.waiting_requests(key) == 0 {
            return 0.0;
        }
        self.demand_value(key, now) + UNSERVED_WEIGHT * self.demand.unserved_requests(key).powi(2)
    }

    /// Returns what one more copy than `copies` is worth: the requests that it takes off those.
    pub(super) fn copy_value(&self, key: &str, copies: f64, now: ClockMillis) -> f64 {
        let offloaded_rate = |rate: f64, tokens: f64, max_share: f64| {
            let share = self.prefill_speed.share_for(tokens) / copies;
            if share > max_share { rate / copies * (1.0 - max_share / share) } else { 0.0 }
        };
        let sustained =
            (self.demand.request_rate(key, now), self.demand.prompt_token_rate(key, now));
        let burst = (
            self.demand.burst_request_rate(key, now),
            self.demand.burst_prompt_token_rate(key, now),
        );
        let offloaded_rate = offloaded_rate(sustained.0, sustained.1, MAX_PREFILL_SHARE)
            .max(offloaded_rate(burst.0, burst.1, MAX_BURST_PREFILL_SHARE));
        DEMAND_HORIZON_SECS * offloaded_rate
    }

    /// Returns whether requests wait for an adapter though its copies are there: then those who wait
    /// can not reach them.
    fn copies_seem_unreachable(&self, key: &str, now: ClockMillis) -> bool {
        let Some(since) = self.demand.waiting_since(key) else { return false };
        let available_since = self.totals.latest_due(key).max(since);
        now.since(available_since) >= UNREACHABLE_COPY_WAIT && !self.totals.is_load_ordered(key)
    }

    /// Returns whether requests wait for an adapter at a host that can use none of its copies, and no other copy is on its way
    /// or has just come.
    fn needs_copy_elsewhere(&self, key: &str, now: ClockMillis) -> bool {
        let propagated = now.since(self.demand.last_load_ordered_at(key)) >= LOAD_PROPAGATION_TIME;
        propagated && self.demand.copies_unavailable(key) && !self.totals.is_load_ordered(key)
    }

    /// Returns how many engines hold the newest version of an adapter, or are getting it.
    pub(super) fn copies(&self, key: &str) -> f64 {
        f64::from(self.totals.copies(key))
    }
}
