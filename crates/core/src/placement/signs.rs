//! What engines show of themselves: reports, silence, and loads under which they may have ended.

use std::sync::Arc;

use crate::{
    clock::ClockMillis,
    fleet::EngineEntry,
    placement::{
        EngineInventory, EngineReport, PlacementPlanner, inventory::PendingLoad,
        load_suspects::HeldLoad,
    },
};

impl PlacementPlanner {
    /// Takes an engine's report that was asked for at `asked`.
    pub fn report_arrived(&mut self, engine: &str, report: &EngineReport, asked: ClockMillis) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        if !inventory.entry.is_incarnation(report.born) {
            inventory.take_report(report, asked);
            return;
        }
        let sights = inventory.load_sights(report, asked);
        let landed = inventory.pending.iter().map(|load| &load.key);
        let landed = landed.filter(|key| report.held.iter().any(|held| held.key == **key));
        for key in landed {
            self.load_suspects.loaded(key);
        }
        self.load_suspects.engine_lives(engine, inventory.entry.incarnation);
        inventory.take_report(report, asked);
        for sight in sights {
            self.store.load_seen(&sight, asked);
        }
    }

    /// Takes that an engine gave no report; `refused` where it refuses connections, as a process that has ended does.
    ///
    /// Only that is a sign against what it loads: a placer with too much to do, or a slow link, misses reports of many engines that live.
    pub fn report_failed(&mut self, engine: &str, refused: bool) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        inventory.asking = false;
        if !refused {
            return;
        }
        let (entry, asked) = (&inventory.entry, inventory.asked);
        for load in inventory.unproved_loads(asked).filter(|load| load.due <= asked) {
            self.load_suspects.silent(entry, load, false, asked);
        }
    }

    /// Returns which adapters are held back since engines ended under their loads, once each.
    pub fn take_held_loads(&mut self) -> Vec<HeldLoad> {
        self.load_suspects.take_events()
    }

    /// Takes which loads were under way at engines that are gone, or have started again.
    pub(super) fn count_ended_loads(&mut self, now: ClockMillis) {
        for (entry, load) in std::mem::take(&mut self.ended_loads) {
            self.load_suspects.silent(&entry, &load, true, now);
        }
        self.load_suspects.forget_old(now);
    }
}

/// Returns the loads that may have ended an engine; one that said that it leaves was ended by none.
pub(super) fn loads_at_end(inventory: &EngineInventory) -> Vec<(Arc<EngineEntry>, PendingLoad)> {
    if inventory.entry.leaving {
        return Vec::new();
    }
    let end = ClockMillis::from_millis(u64::MAX);
    let loads = inventory.unproved_loads(end);
    loads.map(|load| (Arc::clone(&inventory.entry), load.clone())).collect()
}
