//! Handles engine reports, missing reports, and loads that may have crashed an engine.

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
    /// Handles a report that was requested at `requested_at`.
    pub fn handle_report(
        &mut self,
        engine: &str,
        report: &EngineReport,
        requested_at: ClockMillis,
    ) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        if !inventory.entry.is_incarnation(report.incarnation) {
            inventory.apply_report(report, requested_at);
            return;
        }
        let observations = inventory.load_observations(report, requested_at);
        let completed = inventory.pending.iter().map(|load| &load.key);
        let completed =
            completed.filter(|key| report.loaded_models.iter().any(|loaded| loaded.key == **key));
        for key in completed {
            self.load_suspects.record_success(key);
        }
        self.load_suspects.record_engine_alive(engine, inventory.entry.incarnation);
        inventory.apply_report(report, requested_at);
        for observation in observations {
            self.throughput_estimator.load_observed(&observation, requested_at);
        }
    }

    /// Handles a missing report. `refused` tells whether the engine refused the connection, as it
    /// does after its process has exited.
    ///
    /// Only a refused connection counts against pending loads. Other failures may be caused by an
    /// overloaded placer or a slow link.
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

    /// Returns the adapters that were quarantined since the last call.
    pub fn take_quarantined_loads(&mut self) -> Vec<QuarantinedLoad> {
        self.load_suspects.take_new_quarantines()
    }

    /// Records failures of loads that were pending when their engine was delisted or restarted.
    pub(super) fn record_interrupted_loads(&mut self, now: ClockMillis) {
        for (entry, load) in std::mem::take(&mut self.interrupted_loads) {
            self.load_suspects.record_failure(&entry, &load, true, now);
        }
        self.load_suspects.drop_expired(now);
    }
}

/// Returns the pending loads that may have crashed an engine. An engine that announced its
/// departure has not crashed.
pub(super) fn loads_at_exit(inventory: &EngineInventory) -> Vec<(Arc<EngineEntry>, PendingLoad)> {
    if inventory.entry.leaving {
        return Vec::new();
    }
    let end = ClockMillis::from_millis(u64::MAX);
    let loads = inventory.possible_crash_causes(end);
    loads.map(|load| (Arc::clone(&inventory.entry), load.clone())).collect()
}
