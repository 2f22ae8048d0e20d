//! Tracks adapters whose loads may crash engines.
//!
//! A crashed engine stays listed for seconds, during which the placer could order the same load on
//! several others. So a missing report after the load's due time already counts as a failure. One
//! more load is then allowed, because most crashes have other causes.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineEntry, EngineIncarnation, EngineName, ModelKey, WeightVersion,
        quarantine::{CRASHES_UNTIL_QUARANTINED, QuarantinePeriod},
    },
    placement::inventory::PendingLoad,
};

/// How long an adapter is remembered after a single failure.
const SUSPECT_TTL: Duration = Duration::from_mins(10);

/// A load after which its engine did not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedLoad {
    incarnation: EngineIncarnation,
    version: WeightVersion,
    started_at: ClockMillis,
    recorded_at: ClockMillis,
    /// Whether the engine was delisted or restarted.
    engine_ended: bool,
}

/// An adapter that is temporarily not loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedLoad {
    /// Quarantined adapter.
    pub key: ModelKey,
    /// Number of consecutive engine failures during or after loads of the adapter.
    pub engine_failures: usize,
    /// Duration of the quarantine.
    pub quarantine: Duration,
}

/// Adapters whose loads may have crashed engines.
#[derive(Debug, Clone, Default)]
pub struct LoadSuspects {
    by_key: HashMap<ModelKey, BTreeMap<EngineName, FailedLoad>>,
    new_quarantines: Vec<QuarantinedLoad>,
}

impl LoadSuspects {
    /// Records that an engine did not report after a load was due, or was delisted or restarted.
    pub fn record_failure(
        &mut self,
        engine: &EngineEntry,
        load: &PendingLoad,
        engine_ended: bool,
        now: ClockMillis,
    ) {
        let loads = self.by_key.entry(Arc::clone(&load.key)).or_default();
        if let Some(existing) = loads
            .get_mut(&engine.name)
            .filter(|existing| existing.incarnation == engine.incarnation)
        {
            existing.engine_ended |= engine_ended;
            return;
        }
        let (incarnation, version, started_at) =
            (engine.incarnation, load.version, load.started_at);
        let failed =
            FailedLoad { incarnation, version, started_at, recorded_at: now, engine_ended };
        loads.insert(Arc::clone(&engine.name), failed);
        let engine_failures = consecutive_failures(loads);
        if let Some(period) = QuarantinePeriod::after(engine_failures, CRASHES_UNTIL_QUARANTINED) {
            let (key, quarantine) = (Arc::clone(&load.key), period.duration(false));
            self.new_quarantines.push(QuarantinedLoad { key, engine_failures, quarantine });
        }
    }

    /// Records that an engine is alive, which clears failures recorded for its missing reports.
    pub fn record_engine_alive(&mut self, engine: &str, incarnation: EngineIncarnation) {
        for loads in self.by_key.values_mut() {
            let known = loads.get(engine);
            if known.is_some_and(|load| load.incarnation == incarnation && !load.engine_ended) {
                loads.remove(engine);
            }
        }
    }

    /// Records that a live engine holds the adapter.
    pub fn record_success(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Returns whether a load of `key` has failed and no engine has held it since.
    pub fn is_suspect(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Returns the remaining quarantine of an adapter, if any. `version` is its latest version.
    pub fn remaining_quarantine(
        &self,
        key: &str,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<Duration> {
        let loads = self.by_key.get(key)?;
        let period =
            QuarantinePeriod::after(consecutive_failures(loads), CRASHES_UNTIL_QUARANTINED)?;
        let last = loads.values().max_by_key(|load| load.recorded_at)?;
        let until = last.recorded_at + period.duration(version > last.version);
        (now < until).then(|| until.since(now))
    }

    /// Drops adapters without recent failures.
    pub fn drop_expired(&mut self, now: ClockMillis) {
        self.by_key.retain(|_, loads| {
            let period =
                QuarantinePeriod::after(consecutive_failures(loads), CRASHES_UNTIL_QUARANTINED);
            let retention = period.map_or(SUSPECT_TTL, QuarantinePeriod::retention);
            loads.values().any(|load| now.since(load.recorded_at) < retention)
        });
    }

    /// Returns the adapters that were quarantined since the last call.
    pub fn take_new_quarantines(&mut self) -> Vec<QuarantinedLoad> {
        std::mem::take(&mut self.new_quarantines)
    }
}

/// Counts consecutive failures. Loads that were pending at the same time count once, because a
/// common cause is more likely than the adapter.
fn consecutive_failures(loads: &BTreeMap<EngineName, FailedLoad>) -> usize {
    let mut by_time: Vec<&FailedLoad> = loads.values().collect();
    by_time.sort_by_key(|load| load.started_at);
    let mut count = 0;
    let mut last: Option<ClockMillis> = None;
    for load in by_time {
        if last.is_none_or(|recorded_at| load.started_at >= recorded_at) {
            count += 1;
            last = Some(load.recorded_at);
        }
    }
    count
}
