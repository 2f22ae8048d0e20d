//! When loads are expected to end, and what is done when one is not there by then.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{AbsentEntry, LoadObservation, OrderId, PlacementPlanner},
};

/// How long a load of something an engine held lately takes.
const REMEMBERED_LOAD_TIME: Duration = Duration::from_millis(30);

/// What is added to the expected time of a load, for the order's way to the engine.
const ORDER_TIME: Duration = Duration::from_millis(8);

/// By how much the time may be wrong at which an engine said that it does not hold something: its answer's way.
const SEND_BLUR: Duration = Duration::from_millis(8);

/// After what time a load that was not there when it was due is expected: few are later by more, and who waits for one
/// loses little.
const LATE_RETRY: Duration = Duration::from_millis(40);

impl PlacementPlanner {
    /// Returns how long a load takes when the store serves it at full speed.
    pub(super) fn load_time_of(&self, key: &str, from_store: bool) -> Duration {
        if !from_store {
            return REMEMBERED_LOAD_TIME + ORDER_TIME;
        }
        let model = self.hosting.model(key);
        model.map_or(self.store_throughput().load_time, |model| model.load_time) + ORDER_TIME
    }

    /// Projects anew when the adapters on their way from the store are due.
    pub(super) fn project_store(&mut self, now: ClockMillis) {
        let due_times: HashMap<OrderId, ClockMillis> =
            self.store.due_times(now).into_iter().collect();
        let loads = self.engines.values_mut().flat_map(|inventory| inventory.pending.iter_mut());
        for load in loads {
            let due = load.order.and_then(|order| due_times.get(&order));
            if let Some(due) = due {
                load.due = (*due + ORDER_TIME).max(load.not_before);
            }
        }
    }

    /// Takes an engine's word that it does not hold something.
    ///
    /// What was expected by now is waited for; what was held is looked at again.
    pub(super) fn absence_noted(&mut self, absent: &AbsentEntry, now: ClockMillis) {
        let Some(inventory) = self.engines.get_mut(&absent.engine) else { return };
        let at = now - absent.age;
        let load = inventory.pending.iter_mut().find(|load| load.key == absent.key);
        let Some(load) = load.filter(|load| load.began < at) else {
            if inventory.held.contains_key(&absent.key) {
                inventory.contradicted = Some(at);
            }
            return;
        };
        let early = now >= load.due;
        load.not_before = now + LATE_RETRY;
        load.due = load.due.max(load.not_before);
        if early && inventory.held.remove(&absent.key).is_some() {
            inventory.touched = true;
        }
        if let Some(load) = load.order.filter(|_| load.is_store_adapter()) {
            let sight = LoadObservation { load, there: false, at, blur: SEND_BLUR };
            self.store.load_seen(&sight, now);
            self.project_store(now);
        }
    }
}
