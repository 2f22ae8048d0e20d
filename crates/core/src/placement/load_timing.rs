//! Estimates when loads complete and handles loads that are overdue.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{AbsentEntry, LoadObservation, OrderId, PlacementPlanner},
};

/// Load time from an engine's weight cache.
const CACHED_LOAD_TIME: Duration = Duration::from_millis(30);

/// Time added to a load's expected duration for sending the order to the engine.
const ORDER_LATENCY: Duration = Duration::from_millis(8);

/// Uncertainty of the time at which an engine denied holding a model or adapter: the response's
/// network delay.
const RESPONSE_TIME_UNCERTAINTY: Duration = Duration::from_millis(8);

/// Time added when a load is not complete by its due time.
const OVERDUE_EXTENSION: Duration = Duration::from_millis(40);

impl PlacementPlanner {
    /// Returns the load time when the weight store is not overloaded.
    pub(super) fn expected_load_time(&self, key: &str, from_store: bool) -> Duration {
        if !from_store {
            return CACHED_LOAD_TIME + ORDER_LATENCY;
        }
        let model = self.hosting.model(key);
        model.map_or(self.store_throughput().load_time, |model| model.load_time) + ORDER_LATENCY
    }

    /// Updates the due times of pending adapter loads from the weight store.
    pub(super) fn update_due_times(&mut self, now: ClockMillis) {
        let due_times: HashMap<OrderId, ClockMillis> =
            self.throughput_estimator.due_times(now).into_iter().collect();
        let loads = self.engines.values_mut().flat_map(|inventory| inventory.pending.iter_mut());
        for load in loads {
            let due = load.order_id.and_then(|order_id| due_times.get(&order_id));
            if let Some(due) = due {
                load.due = (*due + ORDER_LATENCY).max(load.not_before);
            }
        }
    }

    /// Records an engine's denial of holding a model or adapter.
    ///
    /// An overdue load gets a later due time. A report is requested if the model or adapter was
    /// held.
    pub(super) fn record_absence(&mut self, absent: &AbsentEntry, now: ClockMillis) {
        let Some(inventory) = self.engines.get_mut(&absent.engine) else { return };
        let observed_at = now - absent.age;
        let load = inventory.pending.iter_mut().find(|load| load.key == absent.key);
        let Some(load) = load.filter(|load| load.started_at < observed_at) else {
            if inventory.held.contains_key(&absent.key) {
                inventory.contradicted_at = Some(observed_at);
            }
            return;
        };
        let already_due = now >= load.due;
        load.not_before = now + OVERDUE_EXTENSION;
        load.due = load.due.max(load.not_before);
        if already_due && inventory.held.remove(&absent.key).is_some() {
            inventory.residency_changed = true;
        }
        if let Some(load) = load.order_id.filter(|_| load.is_store_adapter()) {
            let observation = LoadObservation {
                load,
                completed: false,
                observed_at,
                uncertainty: RESPONSE_TIME_UNCERTAINTY,
            };
            self.throughput_estimator.load_observed(&observation, now);
            self.update_due_times(now);
        }
    }
}
