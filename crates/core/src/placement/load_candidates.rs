//! Determines which loads are worthwhile.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, adapter_name, base_model, routes::ModelSize},
    placement::{EngineInventory, PlacementPlanner},
};

/// Share of an engine's time spent on prefill for one adapter above which another copy is
/// worthwhile.
const MAX_PREFILL_SHARE: f64 = 0.2;

/// The same limit for the burst rate, which is noisier.
const MAX_BURST_PREFILL_SHARE: f64 = 0.4;

/// Slot utilization from which an engine counts as busy.
const BUSY_UTILIZATION: f64 = 0.75;

/// Minimum request rate for which busy engines justify another copy. Unit: requests per second.
const MIN_RATE_FOR_BUSY_COPY: f64 = 0.3;

/// How long requests may wait although a copy exists before that copy counts as unreachable.
const UNREACHABLE_COPY_WAIT: Duration = Duration::from_millis(700);

/// Time until an ordered adapter is loaded and all hosts know of it.
const LOAD_PROPAGATION_TIME: Duration = Duration::from_millis(600);

/// How long after the due time of a suspect load it may be unknown whether its engine is alive.
/// Covers the delay of the report request, 130 ms, and its timeout, 500 ms.
const SUSPECT_LOAD_GRACE: Duration = Duration::from_millis(700);

/// Period of expected requests that a load is credited with.
pub(super) const DEMAND_HORIZON_SECS: f64 = 6.0;

/// Value of loading a base model on an engine that has none.
const EMPTY_ENGINE_VALUE: f64 = 20.0;

/// Value of a new version of an adapter in use, relative to a new adapter.
const NEW_VERSION_FACTOR: f64 = 2.0;

/// Value of each request since the adapter was last loaded.
///
/// It does not decay, so that adapters with rare but steady requests are loaded eventually.
const UNSERVED_WEIGHT: f64 = 0.3;

/// Minimum value of a load.
const MIN_LOAD_VALUE: f64 = 0.05;

/// A worthwhile load.
#[derive(Debug, Clone)]
pub(super) struct LoadCandidate {
    pub(super) key: ModelKey,
    pub(super) value: f64,
    /// Required engine, or `None` for any engine of the domain.
    pub(super) engine: Option<EngineName>,
}

impl PlacementPlanner {
    /// Returns all worthwhile loads in no particular order.
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

    /// Returns whether loads of `key` are blocked because engines crashed during them. They are
    /// blocked for a quarantine and then allowed on one engine at a time.
    pub(super) fn is_load_blocked(&self, key: &ModelKey, now: ClockMillis) -> bool {
        if !self.load_suspects.is_suspect(key) {
            return false;
        }
        let ordered = self.outstanding_orders.values().any(|order| order.key == *key);
        let pending_loads = || self.engines.values().flat_map(|inventory| &inventory.pending);
        ordered
            || pending_loads().any(|load| load.key == *key && now < load.due + SUSPECT_LOAD_GRACE)
            || self.load_suspects.remaining_quarantine(key, self.latest_version(key), now).is_some()
    }

    /// Returns a load of the base model in highest demand for each engine without a base model.
    pub(super) fn base_model_candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
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

    /// Returns adapters that engines hold only in outdated versions.
    ///
    /// The new version goes to any engine, preferably one without open requests on the old version.
    /// Old copies are evicted when their space is needed.
    pub(super) fn outdated_adapter_candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
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

    /// Returns the value of waiting and expected requests for `key`.
    pub(super) fn demand_value(&self, key: &str, now: ClockMillis) -> f64 {
        self.demand.waiting_value(key) + DEMAND_HORIZON_SECS * self.demand.request_rate(key, now)
    }

    /// Returns the value of another copy of an adapter.
    ///
    /// The first copy has a value only while requests wait for it. Further copies have one when the
    /// existing copies cannot serve the demand.
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

    /// Returns the value of a copy in addition to `copies`: the requests that it takes over from
    /// them.
    pub(super) fn copy_value(&self, key: &str, copies: f64, now: ClockMillis) -> f64 {
        let offloaded_rate = |rate: f64, tokens: f64, max_share: f64| {
            let share = self.prefill_speed.utilization_for(tokens) / copies;
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

    /// Returns whether requests have waited for so long despite existing copies that these are
    /// probably unreachable.
    pub(super) fn copies_seem_unreachable(&self, key: &str, now: ClockMillis) -> bool {
        let Some(since) = self.demand.waiting_since(key) else { return false };
        let available_since = self.totals.latest_due(key).max(since);
        now.since(available_since) >= UNREACHABLE_COPY_WAIT && !self.totals.is_load_ordered(key)
    }

    /// Returns whether requests wait at a host that cannot use any copy, and no further copy is
    /// being loaded or was loaded recently.
    pub(super) fn needs_copy_elsewhere(&self, key: &str, now: ClockMillis) -> bool {
        let propagated = now.since(self.demand.last_load_ordered_at(key)) >= LOAD_PROPAGATION_TIME;
        propagated && self.demand.copies_unavailable(key) && !self.totals.is_load_ordered(key)
    }

    /// Returns the number of engines that hold or are loading the latest version of `key`.
    pub(super) fn copies(&self, key: &str) -> f64 {
        f64::from(self.totals.copies(key))
    }
}
