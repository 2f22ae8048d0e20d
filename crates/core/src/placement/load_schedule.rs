//! When a requested model or adapter will be loaded, as far as the placer knows.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{OrderKind, PlacementPlanner},
};

/// The state of the next load of a model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadSchedule {
    /// A load is ordered or in progress.
    Loading {
        /// When it is expected to complete.
        due: ClockMillis,
    },
    /// A load will be ordered.
    Queued {
        /// When it is expected to complete.
        due: ClockMillis,
    },
    /// No load is known.
    #[default]
    Unknown,
}

impl LoadSchedule {
    /// Returns when the load is expected to complete, if one is known.
    pub const fn due(self) -> Option<ClockMillis> {
        match self {
            Self::Loading { due } | Self::Queued { due } => Some(due),
            Self::Unknown => None,
        }
    }

    /// Returns whether this differs from an earlier schedule in its state, or by at least
    /// `tolerance` in its due time.
    pub fn differs_from(self, earlier: Self, tolerance: Duration) -> bool {
        let same_state = std::mem::discriminant(&self) == std::mem::discriminant(&earlier);
        let (due, earlier_due) =
            (self.due().unwrap_or_default(), earlier.due().unwrap_or_default());
        !same_state || due.since(earlier_due).max(earlier_due.since(due)) >= tolerance
    }
}

/// The loads that are ordered or in progress, by key, with the next due time of each.
pub type ActiveLoads<'planner> = HashMap<&'planner str, ClockMillis>;

/// Returns the earlier one of two due times, but not one that has passed if the other has not: a
/// load stays pending after it is complete, and its copy may be unusable.
fn next_due(left: ClockMillis, right: ClockMillis, now: ClockMillis) -> ClockMillis {
    if left.min(right) < now { left.max(right) } else { left.min(right) }
}

impl PlacementPlanner {
    /// Returns when the next load of `key` is expected to complete, and whether it is ordered.
    pub fn load_schedule(&self, key: &str, now: ClockMillis) -> LoadSchedule {
        self.load_schedule_among(&self.active_loads(now), key, now)
    }

    /// Returns the same by the result of [`Self::active_loads`], for many keys.
    pub fn load_schedule_among(
        &self,
        active: &ActiveLoads<'_>,
        key: &str,
        now: ClockMillis,
    ) -> LoadSchedule {
        if let Some(due) = active.get(key) {
            return LoadSchedule::Loading { due: *due };
        }
        self.estimated_load_delay(key, now)
            .map_or(LoadSchedule::Unknown, |delay| LoadSchedule::Queued { due: now + delay })
    }

    /// Returns the loads that are ordered or in progress.
    pub fn active_loads(&self, now: ClockMillis) -> ActiveLoads<'_> {
        let mut loads = ActiveLoads::new();
        for (key, due) in self.due_times_of_active_loads(now) {
            let next = loads.entry(key).or_insert(due);
            *next = next_due(*next, due, now);
        }
        loads
    }

    fn due_times_of_active_loads(
        &self,
        now: ClockMillis,
    ) -> impl Iterator<Item = (&str, ClockMillis)> {
        let pending = self.engines.values().flat_map(|inventory| &inventory.pending);
        let pending = pending.map(|load| (&*load.key, load.due));
        let ordered = self.outstanding_orders.values().filter_map(move |order| match order.kind {
            OrderKind::Load { from_store } => {
                Some((&*order.key, now + self.expected_load_time(&order.key, from_store)))
            }
            OrderKind::Unload => None,
        });
        pending.chain(ordered)
    }
}
