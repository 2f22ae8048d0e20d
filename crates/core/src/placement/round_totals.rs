//! Sums over all engines of a domain, counted once for each round of planning.
//!
//! A domain may have hundreds of engines and thousands of adapters in demand. What a candidate is
//! worth and where it goes depends on sums over all of them; counting these for each candidate again
//! would cost the square of the domain's size.

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

/// How far ahead prompts are counted that an engine will have to read: about the time in which an
/// adapter that is ordered now comes and the prompt that waits for it is read.
const PREFILL_HORIZON: Duration = Duration::from_millis(500);

/// Sums over all engines of a domain.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundTotals {
    /// Engines that hold the newest version of a key, or are getting it.
    copies: HashMap<ModelKey, u32>,
    /// The least part of its slots that any engine with a key has taken.
    lowest_utilization: HashMap<ModelKey, f64>,
    /// When the last load of a key under way is due.
    last_due: HashMap<ModelKey, ClockMillis>,
    /// Keys whose load was ordered without an answer yet.
    ordered_loads: HashSet<ModelKey>,
    /// Prompts that come soon for the copies that an engine holds or gets. Unit: tokens.
    expected_prefill: HashMap<EngineName, f64>,
    /// Prompts that come soon for each key. Unit: tokens.
    expected_prompt_tokens: HashMap<ModelKey, f64>,
    /// The mean prompt of the requests that come. Unit: tokens.
    mean_prompt_tokens: f64,
    /// Adapters under way from the weight store.
    pending_store_loads: usize,
}

impl RoundTotals {
    /// Counts what `planner` knows at `now`.
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
        for inventory in planner.engines.values() {
            totals.add_copies(planner, inventory, now);
            totals.add_loads(inventory, now);
        }
        for order in planner.outstanding_orders.values() {
            totals.add_order(order);
        }
        for inventory in planner.engines.values() {
            let prefill = held_or_pending_keys(inventory)
                .map(|key| totals.expected_prompt_tokens_per_copy(key))
                .sum();
            totals.expected_prefill.insert(Arc::clone(&inventory.entry.name), prefill);
        }
        totals
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

    /// Takes an order that was given within the round.
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

    /// Returns how many engines hold the newest version of `key`, or are getting it.
    pub(super) fn copies(&self, key: &str) -> u32 {
        self.copies.get(key).copied().unwrap_or_default()
    }

    /// Returns the least part of its slots that any engine with `key` has taken, none while a load of
    /// `key` is on its way to an engine.
    pub(super) fn lowest_utilization(&self, key: &str) -> f64 {
        if self.is_load_ordered(key) {
            return 0.0;
        }
        self.lowest_utilization.get(key).copied().unwrap_or_default()
    }

    /// Returns when the last load of `key` under way is due, the epoch if there is none.
    pub(super) fn latest_due(&self, key: &str) -> ClockMillis {
        self.last_due.get(key).copied().unwrap_or_default()
    }

    /// Returns whether a load of `key` was ordered and has no answer yet.
    pub(super) fn is_load_ordered(&self, key: &str) -> bool {
        self.ordered_loads.contains(key)
    }

    /// Returns the prompts that come soon for what an engine holds or gets. Unit: tokens.
    pub(super) fn expected_prefill(&self, engine: &str) -> f64 {
        self.expected_prefill.get(engine).copied().unwrap_or_default()
    }

    /// Returns the mean prompt of the requests that come. Unit: tokens.
    pub(super) const fn mean_prompt_tokens(&self) -> f64 {
        self.mean_prompt_tokens
    }

    /// Returns how many adapters are under way from the weight store.
    pub(super) const fn pending_store_loads(&self) -> usize {
        self.pending_store_loads
    }
}

/// Iterates over what an engine holds or gets, each key once.
fn held_or_pending_keys(inventory: &EngineInventory) -> impl Iterator<Item = &ModelKey> {
    let pending = inventory.pending.iter().map(|load| &load.key);
    let pending = pending.filter(|key| !inventory.held.contains_key(*key));
    inventory.held.keys().chain(pending)
}
