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
const SOON: Duration = Duration::from_millis(500);

/// Sums over all engines of a domain.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundTotals {
    /// Engines that hold the newest version of a key, or are getting it.
    copies: HashMap<ModelKey, u32>,
    /// The least part of its slots that any engine with a key has taken.
    least_busy: HashMap<ModelKey, f64>,
    /// When the last load of a key under way is due.
    due: HashMap<ModelKey, ClockMillis>,
    /// Keys whose load was ordered without an answer yet.
    ordered: HashSet<ModelKey>,
    /// Prompts that come soon for the copies that an engine holds or gets. Unit: tokens.
    coming: HashMap<EngineName, f64>,
    /// Prompts that come soon for each key. Unit: tokens.
    prompts: HashMap<ModelKey, f64>,
    /// The mean prompt of the requests that come. Unit: tokens.
    mean_prompt: f64,
    /// Adapters under way from the weight store.
    under_way: usize,
}

impl RoundTotals {
    /// Counts what `planner` knows at `now`.
    pub(super) fn count(planner: &PlacementPlanner, now: ClockMillis) -> Self {
        let prompts = planner.demand.keys().map(|key| {
            let expected = SOON.as_secs_f64() * planner.demand.reading_rate(key, now);
            let waiting = planner.demand.waiting_tokens(key) as f64;
            (Arc::clone(key), expected + waiting)
        });
        let mean_prompt = planner.demand.mean_prompt(now);
        let mut totals = Self { prompts: prompts.collect(), mean_prompt, ..Self::default() };
        for inventory in planner.engines.values() {
            totals.add_copies(planner, inventory, now);
            totals.add_loads(inventory, now);
        }
        for order in planner.outstanding.values() {
            totals.add_order(order);
        }
        for inventory in planner.engines.values() {
            let coming = keys_of(inventory).map(|key| totals.prompts_of_copy(key)).sum();
            totals.coming.insert(Arc::clone(&inventory.entry.name), coming);
        }
        totals
    }

    fn add_copies(
        &mut self,
        planner: &PlacementPlanner,
        inventory: &EngineInventory,
        now: ClockMillis,
    ) {
        let bears = planner.bears_requests(inventory);
        if inventory.entry.leaving || inventory.is_unreached(now) || !bears {
            return;
        }
        let busy = planner.busy_part(inventory);
        for key in keys_of(inventory) {
            let newest = inventory.has(key, planner.newest(key));
            if newest && !inventory.closing.contains(key) {
                *self.copies.entry(Arc::clone(key)).or_default() += 1;
                let least = self.least_busy.entry(Arc::clone(key)).or_insert(busy);
                *least = least.min(busy);
            }
        }
    }

    fn add_loads(&mut self, inventory: &EngineInventory, now: ClockMillis) {
        for load in &inventory.pending {
            let due = self.due.entry(Arc::clone(&load.key)).or_default();
            *due = load.due.max(*due);
            if load.from_store && now < load.due {
                self.under_way += 1;
            }
        }
    }

    fn add_order(&mut self, order: &PlannedOrder) {
        if matches!(order.kind, OrderKind::Load { .. }) {
            *self.copies.entry(Arc::clone(&order.key)).or_default() += 1;
            self.ordered.insert(Arc::clone(&order.key));
        }
        if order.kind.loads_from_store() && adapter_name(&order.key).is_some() {
            self.under_way += 1;
        }
    }

    /// Takes an order that was given within the round.
    pub(super) fn note_order(&mut self, order: &PlannedOrder) {
        self.add_order(order);
        if matches!(order.kind, OrderKind::Load { .. }) {
            let prompts = self.prompts_of_copy(&order.key);
            *self.coming.entry(Arc::clone(&order.engine.name)).or_default() += prompts;
        }
    }

    fn prompts_of_copy(&self, key: &str) -> f64 {
        let prompts = self.prompts.get(key).copied().unwrap_or_default();
        prompts / f64::from(self.copies(key).max(1))
    }

    /// Returns how many engines hold the newest version of `key`, or are getting it.
    pub(super) fn copies(&self, key: &str) -> u32 {
        self.copies.get(key).copied().unwrap_or_default()
    }

    /// Returns the least part of its slots that any engine with `key` has taken, none while a load of
    /// `key` is on its way to an engine.
    pub(super) fn least_busy(&self, key: &str) -> f64 {
        if self.is_ordered(key) {
            return 0.0;
        }
        self.least_busy.get(key).copied().unwrap_or_default()
    }

    /// Returns when the last load of `key` under way is due, the epoch if there is none.
    pub(super) fn latest_due(&self, key: &str) -> ClockMillis {
        self.due.get(key).copied().unwrap_or_default()
    }

    /// Returns whether a load of `key` was ordered and has no answer yet.
    pub(super) fn is_ordered(&self, key: &str) -> bool {
        self.ordered.contains(key)
    }

    /// Returns the prompts that come soon for what an engine holds or gets. Unit: tokens.
    pub(super) fn coming(&self, engine: &str) -> f64 {
        self.coming.get(engine).copied().unwrap_or_default()
    }

    /// Returns the mean prompt of the requests that come. Unit: tokens.
    pub(super) const fn mean_prompt(&self) -> f64 {
        self.mean_prompt
    }

    /// Returns how many adapters are under way from the weight store.
    pub(super) const fn under_way(&self) -> usize {
        self.under_way
    }
}

/// Iterates over what an engine holds or gets, each key once.
fn keys_of(inventory: &EngineInventory) -> impl Iterator<Item = &ModelKey> {
    let coming = inventory.pending.iter().map(|load| &load.key);
    let coming = coming.filter(|key| !inventory.held.contains_key(*key));
    inventory.held.keys().chain(coming)
}
