//! What engines show of themselves: reports, silence, and loads under which they may have ended.

use std::sync::Arc;

use crate::{
    clock::ClockMillis,
    fleet::EngineEntry,
    placement::{
        EngineInventory, EngineReport, PlacementPlanner, inventory::PendingLoad,
        load_suspects::QuarantinedLoad,
    },
};

impl PlacementPlanner {
    /// Takes an engine's report that was asked for at `requested_at`.
    pub fn handle_report(
        &mut self,
        engine: &str,
        report: &EngineReport,
        requested_at: ClockMillis,
    ) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        if !inventory.entry.is_life(report.born) {
            inventory.apply_report(report, requested_at);
            return;
        }
        let observations = inventory.load_observations(report, requested_at);
        let completed = inventory.pending.iter().map(|load| &load.key);
        let completed = completed.filter(|key| report.held.iter().any(|held| held.key == **key));
        for key in completed {
            self.load_suspects.record_success(key);
        }
        self.load_suspects.record_engine_alive(engine, inventory.entry.born);
        inventory.apply_report(report, requested_at);
        for observation in observations {
            self.throughput_estimator.load_observed(&observation, requested_at);
        }
    }

    /// Takes that an engine gave no report; `refused` where it refuses connections, as a process that has ended does.
    ///
    /// Only that is a sign against what it loads: a placer with too much to do, or a slow link, misses reports of many engines that live.
    pub fn handle_report_failure(&mut self, engine: &str, refused: bool) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        inventory.report_pending = false;
        if !refused {
            return;
        }
        let (entry, requested_at) = (&inventory.entry, inventory.report_requested_at);
        for load in
            inventory.possible_crash_causes(requested_at).filter(|load| load.due <= requested_at)
        {
            self.load_suspects.record_failure(entry, load, false, requested_at);
        }
    }

    /// Returns which adapters are held back since engines ended under their loads, once each.
    pub fn take_quarantined_loads(&mut self) -> Vec<QuarantinedLoad> {
        self.load_suspects.take_new_quarantines()
    }

    /// Takes which loads were under way at engines that are gone, or have started again.
    pub(super) fn record_interrupted_loads(&mut self, now: ClockMillis) {
        for (entry, load) in std::mem::take(&mut self.interrupted_loads) {
            self.load_suspects.record_failure(&entry, &load, true, now);
        }
        self.load_suspects.drop_expired(now);
    }
}

/// Returns the loads that may have ended an engine; one that said that it leaves was ended by none.
pub(super) fn loads_at_exit(inventory: &EngineInventory) -> Vec<(Arc<EngineEntry>, PendingLoad)> {
    if inventory.entry.leaving {
        return Vec::new();
    }
    let end = ClockMillis::from_millis(u64::MAX);
    let loads = inventory.possible_crash_causes(end);
    loads.map(|load| (Arc::clone(&inventory.entry), load.clone())).collect()
}
