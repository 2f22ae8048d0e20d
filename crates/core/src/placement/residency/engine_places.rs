//! One engine's adapter places at the start of a planning round.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, adapter_name, work::EngineWork},
    placement::{EngineInventory, PlacementPlanner, inventory::MAX_PENDING_LOADS},
};

/// Time until an engine has answered an order.
pub(super) const ORDER_TIME: Duration = Duration::from_millis(10);

/// Cost of a load for each one in progress at the engine.
const PENDING_LOAD_COST: Duration = Duration::from_millis(40);

/// An adapter without open requests, and what keeping it is worth.
#[derive(Debug, Clone)]
pub(super) struct IdleAdapter {
    pub(super) key: ModelKey,
    /// Expected requests per second that this copy would serve.
    pub(super) expected_rate: f64,
}

/// An engine's adapter places.
#[derive(Debug, Clone)]
pub(super) struct EnginePlaces {
    pub(super) engine: EngineName,
    /// Whether the engine can take an order now.
    pub(super) accepts: bool,
    /// Whether the engine has an order in progress and can take one afterwards.
    pub(super) accepts_soon: bool,
    /// Number of unused places.
    pub(super) free: usize,
    /// Adapters that can be evicted, the least valuable last.
    pub(super) idle: Vec<IdleAdapter>,
    /// Number of loads in progress.
    pub(super) pending: u32,
    /// Open requests of all hosts.
    pub(super) open: u32,
    /// Time until the engine has processed the prompts that it has and those that wait for its
    /// pending loads.
    pub(super) backlog: Duration,
}

impl EnginePlaces {
    /// Returns the places of an engine, or `None` if it can take no adapter for now.
    pub(super) fn of(
        planner: &PlacementPlanner,
        inventory: &EngineInventory,
        now: ClockMillis,
    ) -> Option<Self> {
        let can_load = inventory.pending.len() < MAX_PENDING_LOADS;
        let usable = !inventory.is_unreachable(now) && !inventory.entry.leaving;
        let usable = usable && !inventory.model_change_in_progress && can_load;
        if !usable || !planner.limited_engines.may_call(inventory, now) {
            return None;
        }
        let ordered = inventory.outstanding_order.is_some();
        let known = inventory.sequence.is_some();
        let limit = usize::try_from(planner.hosting.adapter_limit).unwrap_or(usize::MAX);
        let work = planner.work.total(&inventory.entry.name);
        Some(Self {
            engine: Arc::clone(&inventory.entry.name),
            accepts: known && !ordered,
            accepts_soon: known && ordered,
            free: limit.saturating_sub(inventory.reserved_adapter_count()),
            idle: idle_adapters(planner, inventory, now),
            pending: u32::try_from(inventory.pending.len()).unwrap_or(u32::MAX),
            open: work.open,
            backlog: backlog(planner, inventory, &work),
        })
    }

    /// Returns the expected time until a request that needs a load could start here, without the
    /// time of the load.
    pub(super) fn load_cost(&self) -> Duration {
        let orders = if self.free == 0 { 2 * ORDER_TIME } else { ORDER_TIME };
        orders + PENDING_LOAD_COST * self.pending + self.backlog
    }

    /// Returns whether the engine can evict an adapter that is expected to serve fewer than
    /// `max_rate` requests per second.
    pub(super) fn can_evict(&self, max_rate: f64) -> bool {
        self.idle.last().is_some_and(|idle| idle.expected_rate < max_rate)
    }
}

/// Returns the time until an engine has processed the prompts that it has, and those that wait for
/// its pending loads. Requests beyond its slots wait for one of them to end.
fn backlog(planner: &PlacementPlanner, inventory: &EngineInventory, work: &EngineWork) -> Duration {
    let pending = inventory.pending.iter();
    let awaited: u64 = pending.map(|load| planner.demand.waiting_prompt_tokens(&load.key)).sum();
    let prefill = planner.prefill_speed.time_for(work.pending_prefill_tokens + awaited);
    let slots = inventory.entry.slots.max(1);
    let queued = work.open.saturating_sub(slots - 1);
    prefill + planner.run_time.get().mul_f64(f64::from(queued) / f64::from(slots))
}

/// Returns an engine's adapters without open requests, the least valuable last.
fn idle_adapters(
    planner: &PlacementPlanner,
    inventory: &EngineInventory,
    now: ClockMillis,
) -> Vec<IdleAdapter> {
    let adapters = inventory.held.keys().filter(|key| adapter_name(key).is_some());
    let idle = adapters.filter(|key| !planner.may_have_open_requests(inventory, key, now));
    let mut idle: Vec<IdleAdapter> = idle
        .map(|key| {
            let expected_rate = planner.expected_copy_rate(inventory, key, now);
            IdleAdapter { key: Arc::clone(key), expected_rate }
        })
        .collect();
    idle.sort_by(|left, right| {
        right.expected_rate.total_cmp(&left.expected_rate).then_with(|| left.key.cmp(&right.key))
    });
    idle
}
