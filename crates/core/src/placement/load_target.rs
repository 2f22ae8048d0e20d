//! Chooses the engine for a load and the adapter to evict for it.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{ADAPTER_SEPARATOR, ModelKey, adapter_name, base_model},
    placement::{
        EngineInventory, OrderKind, PlacementPlanner, PlannedOrder,
        inventory::MAX_PENDING_LOADS,
        load_candidates::{DEMAND_HORIZON_SECS, LoadCandidate},
    },
};

/// Ratio of concurrently ordered adapter loads to the number that the weight store serves without
/// slowing them down.
const STORE_OVERCOMMIT: f64 = 1.5;

/// Minimum limit for concurrently ordered adapter loads.
const MIN_PARALLEL_ADAPTER_LOADS: usize = 4;

/// Prefill cost of an open request, relative to a mean prompt, when engines are compared for a
/// load.
const OPEN_REQUEST_PREFILL_SHARE: f64 = 0.15;

/// How long after a request arrived or stopped waiting its host may not yet have reported it as
/// open. Covers the host's counting and reporting intervals of 50 ms each and the delivery of the
/// plan to a host whose request waits.
const OPEN_REQUEST_REPORT_DELAY: Duration = Duration::from_millis(250);

/// Space for a load on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LoadSpace {
    /// Free capacity.
    Free,
    /// Capacity that becomes free once an adapter is evicted.
    Evict(ModelKey),
}

impl PlacementPlanner {
    /// Returns the next order that a candidate needs, if one can be issued now.
    pub(super) fn order_for(
        &mut self,
        candidate: &LoadCandidate,
        now: ClockMillis,
    ) -> Option<PlannedOrder> {
        let key = &candidate.key;
        let store_available = self.store_has_capacity(key, now);
        let engines: Vec<&EngineInventory> = match &candidate.engine {
            Some(name) => self.engines.get(name).into_iter().collect(),
            None => self.engines.values().collect(),
        };
        let eligible =
            engines.into_iter().filter(|inventory| self.can_accept_load(inventory, candidate, now));
        let eligible =
            eligible.filter(|inventory| store_available || self.is_cached(inventory, key));
        let options = eligible.filter_map(|inventory| {
            let space = self.space_for(inventory, key, candidate.value, now)?;
            Some((inventory, space))
        });
        let (best, space) = options.min_by_key(|(inventory, space)| {
            let unresolved = inventory.unresolved_loads.iter().any(|load| load.key == *key);
            let cached = self.is_cached(inventory, key);
            let backlog = self.prefill_backlog(inventory);
            // A new version has to wait for the open requests on the old one.
            let replaces = inventory.held.contains_key(key);
            let needs_eviction = matches!(space, LoadSpace::Evict(_));
            (
                !self.runs_needed_software(inventory, key),
                !unresolved,
                replaces,
                !cached,
                needs_eviction,
                backlog,
                Arc::clone(&inventory.entry.name),
            )
        })?;
        let name = Arc::clone(&best.entry.name);
        let from_store = !self.is_cached(best, key);
        match space {
            LoadSpace::Free => {
                let kind = OrderKind::Load { from_store };
                self.issue_order(&name, kind, Arc::clone(key), candidate.value, now)
            }
            LoadSpace::Evict(victim) => {
                self.issue_order(&name, OrderKind::Unload, victim, candidate.value, now)
            }
        }
    }

    /// Returns where the engine has space for a load, if it has any.
    fn space_for(
        &self,
        inventory: &EngineInventory,
        key: &str,
        value: f64,
        now: ClockMillis,
    ) -> Option<LoadSpace> {
        if self.has_capacity_for(inventory, key) {
            return Some(LoadSpace::Free);
        }
        self.eviction_victim(inventory, value, now).map(LoadSpace::Evict)
    }

    /// Returns whether the engine can reload the wanted version from its weight cache.
    pub(super) fn is_cached(&self, inventory: &EngineInventory, key: &str) -> bool {
        inventory.has_cached(key) && !self.versions.contains_key(key)
    }

    /// Returns whether a load on an engine helps a request that waits for `key` and needs a software
    /// version. Without any copy every load helps others.
    pub(super) fn suits_needed_software(&self, inventory: &EngineInventory, key: &str) -> bool {
        self.runs_needed_software(inventory, key) || self.copies(key) == 0.0
    }

    /// Returns whether an engine runs the software version that a request waiting for `key` needs.
    fn runs_needed_software(&self, inventory: &EngineInventory, key: &str) -> bool {
        let needed = self.demand.needed_software(key);
        needed.is_none_or(|software| *software == inventory.entry.software)
    }

    fn can_accept_load(
        &self,
        inventory: &EngineInventory,
        candidate: &LoadCandidate,
        now: ClockMillis,
    ) -> bool {
        let key = &candidate.key;
        let reachable = !inventory.is_unreachable(now);
        let ready = reachable && !inventory.entry.leaving && inventory.sequence.is_some();
        let idle = inventory.outstanding_order.is_none() && !inventory.model_change_in_progress;
        let idle = idle && self.limited_engines.may_call(inventory, now);
        let has_pending_capacity = inventory.pending.len() < MAX_PENDING_LOADS;
        let is_adapter = adapter_name(key).is_some();
        let model_held = inventory.held.contains_key(base_model(key));
        let absent = !inventory.has(key, self.latest_version(key));
        let usable = self.suits_needed_software(inventory, key);
        ready && idle && has_pending_capacity && absent && usable && (!is_adapter || model_held)
    }

    /// Returns whether an engine has the base model of an adapter, lacks the adapter's latest
    /// version, and has memory for it.
    pub(super) fn may_hold(&self, inventory: &EngineInventory, key: &ModelKey) -> bool {
        inventory.held.contains_key(base_model(key))
            && self.suits_needed_software(inventory, key)
            && !inventory.has(key, self.latest_version(key))
            && self.has_weight_memory_for(inventory, key)
    }

    /// Returns whether a load from the weight store may be ordered now.
    pub(super) fn store_has_capacity(&mut self, key: &str, now: ClockMillis) -> bool {
        if adapter_name(key).is_some() {
            return self.totals.pending_store_loads() < self.max_parallel_adapter_loads();
        }
        self.load_rate_limiter.allows_load(now)
    }

    /// Returns the maximum number of concurrent adapter loads from the weight store.
    pub(super) fn max_parallel_adapter_loads(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let max_loads =
            (STORE_OVERCOMMIT * self.store_throughput().parallel_loads).round() as usize;
        max_loads.max(MIN_PARALLEL_ADAPTER_LOADS)
    }

    fn has_capacity_for(&self, inventory: &EngineInventory, key: &str) -> bool {
        if adapter_name(key).is_none() || inventory.held.contains_key(key) {
            return true;
        }
        let adapter_limit = usize::try_from(self.hosting.adapter_limit).unwrap_or(usize::MAX);
        inventory.reserved_adapter_count() < adapter_limit
            && self.has_weight_memory_for(inventory, key)
    }

    fn has_weight_memory_for(&self, inventory: &EngineInventory, key: &str) -> bool {
        let pending =
            inventory.pending.iter().filter(|load| !inventory.held.contains_key(&load.key));
        let keys = inventory.held.keys().chain(pending.map(|load| &load.key));
        let keys = keys.chain(inventory.possible_late_loads());
        let used: f64 = keys.map(|key| self.weight_megabytes(key)).sum();
        used + self.weight_megabytes(key) <= self.hosting.memory_megabytes
    }

    fn weight_megabytes(&self, key: &str) -> f64 {
        let Some(model) = self.hosting.model(base_model(key)) else { return 0.0 };
        if key.contains(ADAPTER_SEPARATOR) {
            model.adapter_megabytes
        } else {
            model.weight_megabytes
        }
    }

    /// Returns the fraction of an engine's slots that are in use.
    pub(super) fn slot_utilization(&self, inventory: &EngineInventory) -> f64 {
        let open = self.work.total(&inventory.entry.name).open;
        f64::from(open) / f64::from(inventory.entry.slots.max(1))
    }

    /// Returns an engine's current and expected prefill work. Unit: tokens.
    ///
    /// An open request counts as a fraction of a mean prompt, because it occupies a slot and slows
    /// down the others.
    fn prefill_backlog(&self, inventory: &EngineInventory) -> u64 {
        let work = self.work.total(&inventory.entry.name);
        let open =
            OPEN_REQUEST_PREFILL_SHARE * f64::from(work.open) * self.totals.mean_prompt_tokens();
        let backlog = work.pending_prefill_tokens as f64
            + self.totals.expected_prefill(&inventory.entry.name)
            + open;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let backlog = backlog as u64;
        backlog
    }

    /// Returns the value of keeping an adapter on an engine, which is zero once a later version was
    /// named.
    ///
    /// It uses the same lasting and burst rates as the value of a load and is at least the value of
    /// loading the same copy again. Otherwise adapters would evict each other indefinitely.
    fn retention_value(
        &self,
        inventory: &EngineInventory,
        key: &ModelKey,
        now: ClockMillis,
    ) -> f64 {
        let outdated = inventory.held.get(key).is_some_and(|held| *held < self.latest_version(key));
        if outdated {
            return 0.0;
        }
        let copies = self.copies(key).max(1.0);
        let burst = DEMAND_HORIZON_SECS * self.demand.burst_request_rate(key, now);
        let retained = self.demand_value(key, now).max(burst) / copies;
        if copies > 1.0 { retained.max(self.copy_value(key, copies - 1.0, now)) } else { retained }
    }

    /// Returns the engine's least valuable adapter without open requests, if its value is below
    /// `value`.
    ///
    /// Unloading an adapter with open requests would block the engine for other orders until the
    /// requests have ended.
    fn eviction_victim(
        &self,
        inventory: &EngineInventory,
        value: f64,
        now: ClockMillis,
    ) -> Option<ModelKey> {
        let adapters = inventory.held.keys().filter(|key| adapter_name(key).is_some());
        adapters
            .filter(|key| !self.may_have_open_requests(inventory, key, now))
            .map(|key| (self.retention_value(inventory, key, now), key))
            .filter(|(retained, _)| *retained < value)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key)| Arc::clone(key))
    }

    /// Returns whether an adapter has open requests on an engine, or may have some that its host
    /// has not reported yet.
    pub(super) fn may_have_open_requests(
        &self,
        inventory: &EngineInventory,
        key: &ModelKey,
        now: ClockMillis,
    ) -> bool {
        let open = self.work.open_requests(&inventory.entry.name, key) > 0;
        let pending = inventory.pending.iter().any(|load| load.key == *key);
        let has_waiting = self.demand.waiting_requests(key) > 0;
        let recently_wanted =
            now.since(self.demand.last_wanted_at(key)) < OPEN_REQUEST_REPORT_DELAY;
        open || pending || has_waiting || recently_wanted || inventory.unloading.contains(key)
    }
}
