//! Totals over all engines of a domain, computed once per planning round.
//!
//! A domain may have hundreds of engines and thousands of adapters in demand. Computing the totals
//! per candidate would make a round quadratic in the size of the domain.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, adapter_name},
    placement::{EngineInventory, OrderKind, PlacementPlanner, PlannedOrder},
};

/// Period of expected prompts counted as an engine's future prefill work: about the time to load an
/// adapter and process a prompt that waits for it.
const PREFILL_HORIZON: Duration = Duration::from_millis(500);

/// Totals over all engines of a domain.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundTotals {
    /// Number of engines that hold or are loading the latest version of a key.
    copies: HashMap<ModelKey, u32>,
    /// Lowest slot utilization among the engines with a key.
    lowest_utilization: HashMap<ModelKey, f64>,
    /// Latest due time of a key's pending loads.
    last_due: HashMap<ModelKey, ClockMillis>,
    /// Keys with unanswered load orders.
    ordered_loads: HashSet<ModelKey>,
    /// Expected prompt tokens for an engine's held and pending copies.
    expected_prefill: HashMap<EngineName, f64>,
    /// Expected prompt tokens for each key.
    expected_prompt_tokens: HashMap<ModelKey, f64>,
    /// Mean prompt length. Unit: tokens.
    mean_prompt_tokens: f64,
    /// Number of pending adapter loads from the weight store.
    pending_store_loads: usize,
    /// Open requests at engines by adapter.
    open_requests: HashMap<ModelKey, u32>,
}

impl RoundTotals {
    /// Computes the totals from the state of `planner` at `now`.
    pub(super) fn compute(planner: &PlacementPlanner, now: ClockMillis) -> Self {
        let prompt_tokens = planner.demand.keys().map(|key| {
            let expected =
                PREFILL_HORIZON.as_secs_f64() * planner.demand.prompt_token_rate(key, now);
            let waiting = planner.demand.waiting_prompt_tokens(key) as f64;
            (Arc::clone(key), expected + waiting)
        });
        let mean_prompt_tokens = planner.demand.mean_prompt_tokens(now);
        let mut totals = Self {
            expected_prompt_tokens: prompt_tokens.collect(),
            mean_prompt_tokens,
            ..Self::default()
        };
        totals.add_engines(planner, now);
        for inventory in planner.engines.values() {
            let prefill = held_or_pending_keys(inventory)
                .map(|key| totals.expected_prompt_tokens_per_copy(key))
                .sum();
            totals.expected_prefill.insert(Arc::clone(&inventory.entry.name), prefill);
        }
        totals
    }

    /// Computes the totals of what engines hold and load, without those of prompts, and the open
    /// requests of each key.
    pub(super) fn for_held(planner: &PlacementPlanner, now: ClockMillis) -> Self {
        let mut totals = Self::default();
        totals.add_engines(planner, now);
        for inventory in planner.engines.values() {
            for key in inventory.held.keys().filter(|key| adapter_name(key).is_some()) {
                let open = planner.work.open_requests(&inventory.entry.name, key);
                if open > 0 {
                    *totals.open_requests.entry(Arc::clone(key)).or_default() += open;
                }
            }
        }
        totals
    }

    fn add_engines(&mut self, planner: &PlacementPlanner, now: ClockMillis) {
        for inventory in planner.engines.values() {
            self.add_copies(planner, inventory, now);
            self.add_loads(inventory, now);
        }
        for order in planner.outstanding_orders.values() {
            self.add_order(order);
        }
    }

    fn add_copies(
        &mut self,
        planner: &PlacementPlanner,
        inventory: &EngineInventory,
        now: ClockMillis,
    ) {
        let serves = planner.counts_as_serving(inventory);
        if inventory.entry.leaving || inventory.is_unreachable(now) || !serves {
            return;
        }
        let utilization = planner.slot_utilization(inventory);
        for key in held_or_pending_keys(inventory) {
            let is_latest = inventory.has(key, planner.latest_version(key));
            if is_latest && !inventory.unloading.contains(key) {
                *self.copies.entry(Arc::clone(key)).or_default() += 1;
                let lowest = self.lowest_utilization.entry(Arc::clone(key)).or_insert(utilization);
                *lowest = lowest.min(utilization);
            }
        }
    }

    fn add_loads(&mut self, inventory: &EngineInventory, now: ClockMillis) {
        for load in &inventory.pending {
            let due = self.last_due.entry(Arc::clone(&load.key)).or_default();
            *due = load.due.max(*due);
            if load.from_store && now < load.due {
                self.pending_store_loads += 1;
            }
        }
    }

    fn add_order(&mut self, order: &PlannedOrder) {
        if matches!(order.kind, OrderKind::Load { .. }) {
            *self.copies.entry(Arc::clone(&order.key)).or_default() += 1;
            self.ordered_loads.insert(Arc::clone(&order.key));
        }
        if order.kind.loads_from_store() && adapter_name(&order.key).is_some() {
            self.pending_store_loads += 1;
        }
    }

    /// Adds an order issued in the current round.
    pub(super) fn record_order(&mut self, order: &PlannedOrder) {
        self.add_order(order);
        if matches!(order.kind, OrderKind::Load { .. }) {
            let prompt_tokens = self.expected_prompt_tokens_per_copy(&order.key);
            *self.expected_prefill.entry(Arc::clone(&order.engine.name)).or_default() +=
                prompt_tokens;
        }
    }

    fn expected_prompt_tokens_per_copy(&self, key: &str) -> f64 {
        let prompt_tokens = self.expected_prompt_tokens.get(key).copied().unwrap_or_default();
        prompt_tokens / f64::from(self.copies(key).max(1))
    }

    /// Returns the number of engines that hold or are loading the latest version of `key`.
    pub(super) fn copies(&self, key: &str) -> u32 {
        self.copies.get(key).copied().unwrap_or_default()
    }

    /// Iterates over the adapters with open requests and their number.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = (&ModelKey, u32)> {
        self.open_requests.iter().map(|(key, open)| (key, *open))
    }

    /// Returns the lowest slot utilization among the engines with `key`, or zero while a load of
    /// `key` is ordered.
    pub(super) fn lowest_utilization(&self, key: &str) -> f64 {
        if self.is_load_ordered(key) {
            return 0.0;
        }
        self.lowest_utilization.get(key).copied().unwrap_or_default()
    }

    /// Returns the latest due time of pending loads of `key`, or the epoch if there are none.
    pub(super) fn latest_due(&self, key: &str) -> ClockMillis {
        self.last_due.get(key).copied().unwrap_or_default()
    }

    /// Returns whether a load order for `key` is unanswered.
    pub(super) fn is_load_ordered(&self, key: &str) -> bool {
        self.ordered_loads.contains(key)
    }

    /// Returns the expected prompt tokens for an engine's held and pending copies.
    pub(super) fn expected_prefill(&self, engine: &str) -> f64 {
        self.expected_prefill.get(engine).copied().unwrap_or_default()
    }

    /// Returns the mean prompt length. Unit: tokens.
    pub(super) const fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// Returns the number of pending adapter loads from the weight store.
    pub(super) const fn pending_store_loads(&self) -> usize {
        self.pending_store_loads
    }
}

/// Iterates over the keys that an engine holds or is loading, without duplicates.
fn held_or_pending_keys(inventory: &EngineInventory) -> impl Iterator<Item = &ModelKey> {
    let pending = inventory.pending.iter().map(|load| &load.key);
    let pending = pending.filter(|key| !inventory.held.contains_key(*key));
    inventory.held.keys().chain(pending)
}
