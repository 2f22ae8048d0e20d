//! Where a load goes, and what makes room for it.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{ADAPTER_SEPARATOR, ModelKey, adapter_name, base_model},
    placement::{
        EngineInventory, OrderKind, PlacementPlanner, PlannedOrder,
        candidates::{LoadCandidate, RATE_HORIZON},
        inventory::MOST_IN_TRANSIT,
    },
};

/// How far beyond full speed adapters are ordered at a time.
const ADAPTER_OVERLOAD: f64 = 1.5;

/// The fewest adapters that are ordered at a time.
const LEAST_AT_ONCE: usize = 4;

/// The part of a mean prompt that an open request counts as, when a place for a load is sought: half of
/// the 0.3 requests a second that it counted as before prompts were known (docs/DECISIONS.md).
const OPEN_PROMPT: f64 = 0.15;

/// How long after a request for an adapter came, or ended to wait for it, there may be a run that its host
/// has not told yet: hosts count their runs every 50 ms and the control thread tells them within another
/// 50; the rest is the way of the plan to a host whose request waits.
const UNTOLD_RUN: Duration = Duration::from_millis(250);

/// Where an engine has room for a load.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LoadRoom {
    /// In a free place.
    Free,
    /// In the place of an adapter that is dropped first.
    After(ModelKey),
}

impl PlacementPlanner {
    /// Returns the order that a candidate needs next, if one can be given now.
    pub(super) fn order_for(
        &mut self,
        candidate: &LoadCandidate,
        now: ClockMillis,
    ) -> Option<PlannedOrder> {
        let key = &candidate.key;
        let store_free = self.store_is_free(key, now);
        let engines: Vec<&EngineInventory> = match &candidate.engine {
            Some(name) => self.engines.get(name).into_iter().collect(),
            None => self.engines.values().collect(),
        };
        let able = engines.into_iter().filter(|inventory| self.is_able(inventory, candidate, now));
        let able = able.filter(|inventory| store_free || self.comes_back(inventory, key));
        let rooms = able.filter_map(|inventory| {
            let room = self.room(inventory, key, candidate.worth, now)?;
            Some((inventory, room))
        });
        let (best, room) = rooms.min_by_key(|(inventory, room)| {
            let doubted = inventory.doubted.iter().any(|load| load.key == *key);
            let remembered = self.comes_back(inventory, key);
            let backlog = self.backlog(inventory);
            // A replacement waits for the runs on the version before.
            let replaces = inventory.held.contains_key(key);
            let full = matches!(room, LoadRoom::After(_));
            (!doubted, replaces, !remembered, full, backlog, Arc::clone(&inventory.entry.name))
        })?;
        let name = Arc::clone(&best.entry.name);
        let from_store = !self.comes_back(best, key);
        match room {
            LoadRoom::Free => {
                let kind = OrderKind::Load { from_store };
                self.give(&name, kind, Arc::clone(key), candidate.worth, now)
            }
            LoadRoom::After(victim) => {
                self.give(&name, OrderKind::Unload, victim, candidate.worth, now)
            }
        }
    }

    /// Returns where an engine has room for a load, if it has any.
    fn room(
        &self,
        inventory: &EngineInventory,
        key: &str,
        worth: f64,
        now: ClockMillis,
    ) -> Option<LoadRoom> {
        if self.has_place(inventory, key) {
            return Some(LoadRoom::Free);
        }
        self.victim(inventory, worth, now).map(LoadRoom::After)
    }

    /// Returns whether the engine has held this version and can bring it back by itself.
    fn comes_back(&self, inventory: &EngineInventory, key: &str) -> bool {
        inventory.remembers(key) && !self.versions.contains_key(key)
    }

    fn is_able(
        &self,
        inventory: &EngineInventory,
        candidate: &LoadCandidate,
        now: ClockMillis,
    ) -> bool {
        let key = &candidate.key;
        let reached = !inventory.is_unreached(now);
        let ready = reached && !inventory.entry.leaving && inventory.sequence.is_some();
        let idle = inventory.order.is_none() && !inventory.busy;
        let idle = idle && self.limited.may_call(inventory, now);
        let transit = inventory.pending.len() < MOST_IN_TRANSIT;
        let is_adapter = adapter_name(key).is_some();
        let model_held = inventory.held.contains_key(base_model(key));
        let absent = !inventory.has(key, self.newest(key));
        ready && idle && transit && absent && (!is_adapter || model_held)
    }

    /// Returns whether a load from the weight store may be ordered now.
    fn store_is_free(&mut self, key: &str, now: ClockMillis) -> bool {
        if adapter_name(key).is_some() {
            return self.totals.under_way() < self.adapters_at_once();
        }
        self.window.has_room(now)
    }

    /// Returns how many adapters are ordered from the store at a time.
    pub(super) fn adapters_at_once(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let at_once = (ADAPTER_OVERLOAD * self.pace().full_speed).round() as usize;
        at_once.max(LEAST_AT_ONCE)
    }

    fn has_place(&self, inventory: &EngineInventory, key: &str) -> bool {
        if adapter_name(key).is_none() || inventory.held.contains_key(key) {
            return true;
        }
        let places = usize::try_from(self.hosting.adapter_limit).unwrap_or(usize::MAX);
        inventory.adapters_taken() < places && self.has_weight_room(inventory, key)
    }

    fn has_weight_room(&self, inventory: &EngineInventory, key: &str) -> bool {
        let coming =
            inventory.pending.iter().filter(|load| !inventory.held.contains_key(&load.key));
        let keys = inventory.held.keys().chain(coming.map(|load| &load.key));
        let keys = keys.chain(inventory.may_come_late());
        let taken: f64 = keys.map(|key| self.megabytes(key)).sum();
        taken + self.megabytes(key) <= self.hosting.memory_megabytes
    }

    fn megabytes(&self, key: &str) -> f64 {
        let Some(model) = self.hosting.model(base_model(key)) else { return 0.0 };
        if key.contains(ADAPTER_SEPARATOR) {
            model.adapter_megabytes
        } else {
            model.weight_megabytes
        }
    }

    /// Returns the part of its slots that an engine has taken.
    pub(super) fn busy_part(&self, inventory: &EngineInventory) -> f64 {
        let open = self.work.total(&inventory.entry.name).open;
        f64::from(open) / f64::from(inventory.entry.slots.max(1))
    }

    /// Returns what an engine has to read, and will have to soon. Unit: tokens.
    ///
    /// An open request counts with a part of a mean prompt: it takes a slot and slows the others.
    fn backlog(&self, inventory: &EngineInventory) -> u64 {
        let work = self.work.total(&inventory.entry.name);
        let open = OPEN_PROMPT * f64::from(work.open) * self.totals.mean_prompt();
        let backlog =
            work.pending_prefill_tokens as f64 + self.totals.coming(&inventory.entry.name) + open;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let backlog = backlog as u64;
        backlog
    }

    /// Returns what an adapter is worth where it is: nothing once a later version was named.
    ///
    /// What is kept counts by the same rates as what is added, lasting or of a burst, and a copy is worth no
    /// less than adding it again would be. Otherwise adapters drop one another for ever.
    fn kept_worth(&self, inventory: &EngineInventory, key: &ModelKey, now: ClockMillis) -> f64 {
        let outdated = inventory.held.get(key).is_some_and(|held| *held < self.newest(key));
        if outdated {
            return 0.0;
        }
        let copies = self.copies(key).max(1.0);
        let burst = RATE_HORIZON * self.demand.burst_rate(key, now);
        let kept = self.interest(key, now).max(burst) / copies;
        if copies > 1.0 { kept.max(self.copy_worth(key, copies - 1.0, now)) } else { kept }
    }

    /// Returns the adapter without a run that is worth least at an engine, if it is worth less than
    /// `worth`.
    ///
    /// An adapter with a run would keep its place, and its engine from other orders, until the run
    /// has ended.
    fn victim(
        &self,
        inventory: &EngineInventory,
        worth: f64,
        now: ClockMillis,
    ) -> Option<ModelKey> {
        let adapters = inventory.held.keys().filter(|key| adapter_name(key).is_some());
        adapters
            .filter(|key| !self.is_used(inventory, key, now))
            .map(|key| (self.kept_worth(inventory, key, now), key))
            .filter(|(kept, _)| *kept < worth)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key)| Arc::clone(key))
    }

    /// Returns whether an adapter has a run at an engine, or may have one that was not told yet.
    fn is_used(&self, inventory: &EngineInventory, key: &ModelKey, now: ClockMillis) -> bool {
        let runs = self.work.runs(&inventory.entry.name, key) > 0;
        let pending = inventory.pending.iter().any(|load| load.key == *key);
        let awaited = self.demand.waiting(key) > 0;
        let lately = now.since(self.demand.last_wanted(key)) < UNTOLD_RUN;
        runs || pending || awaited || lately || inventory.closing.contains(key)
    }
}
