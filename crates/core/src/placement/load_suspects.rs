//! Adapters under whose loads engines end.
//!
//! An engine that ends under a load is listed for seconds more, so that its end alone would be known too late: by then its placer has
//! ordered the same load at several others. An engine that gives no report once the load is due is the first sign; one load more is
//! risked on it, since most engines end of something else.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineEntry, EngineName, ModelKey, WeightVersion,
        quarantine::{ENDS_UNTIL_HELD, Hold},
    },
    placement::inventory::PendingLoad,
};

/// How long an adapter is remembered under whose load one engine ended.
const SUSPECT_TTL: Duration = Duration::from_mins(10);

/// A load after which its engine gave no sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedLoad {
    born: EngineBirth,
    version: WeightVersion,
    started_at: ClockMillis,
    recorded_at: ClockMillis,
    /// Whether the engine is gone, or has started again.
    engine_ended: bool,
}

/// An adapter that is not loaded for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedLoad {
    /// The adapter.
    pub key: ModelKey,
    /// How many engines ended in a row while they loaded it, or gave no sign of life since.
    pub engine_failures: usize,
    /// For how long it is not loaded.
    pub quarantine: Duration,
}

/// What is known of adapters under whose loads engines ended.
#[derive(Debug, Clone, Default)]
pub struct LoadSuspects {
    by_key: HashMap<ModelKey, BTreeMap<EngineName, FailedLoad>>,
    new_quarantines: Vec<QuarantinedLoad>,
}

impl LoadSuspects {
    /// Takes that an engine gave no report after a load was due, or has ended.
    pub fn record_failure(
        &mut self,
        engine: &EngineEntry,
        load: &PendingLoad,
        engine_ended: bool,
        now: ClockMillis,
    ) {
        let loads = self.by_key.entry(Arc::clone(&load.key)).or_default();
        if let Some(existing) =
            loads.get_mut(&engine.name).filter(|existing| existing.born == engine.born)
        {
            existing.engine_ended |= engine_ended;
            return;
        }
        let (born, version, started_at) = (engine.born, load.version, load.started_at);
        let failed = FailedLoad { born, version, started_at, recorded_at: now, engine_ended };
        loads.insert(Arc::clone(&engine.name), failed);
        let engine_failures = consecutive_failures(loads);
        if let Some(hold) = Hold::after(engine_failures, ENDS_UNTIL_HELD) {
            let (key, quarantine) = (Arc::clone(&load.key), hold.time(false));
            self.new_quarantines.push(QuarantinedLoad { key, engine_failures, quarantine });
        }
    }

    /// Takes that an engine lives: its silence was something else.
    pub fn record_engine_alive(&mut self, engine: &str, born: EngineBirth) {
        for loads in self.by_key.values_mut() {
            let known = loads.get(engine);
            if known.is_some_and(|load| load.born == born && !load.engine_ended) {
                loads.remove(engine);
            }
        }
    }

    /// Takes that an engine holds an adapter and lives.
    pub fn record_success(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Returns whether an engine gave no sign of life since it was to load an adapter, and none has held it since.
    pub fn is_suspect(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Returns for how long an adapter is not to be loaded, if it is held back; `version` is the one that is named now.
    pub fn remaining_quarantine(
        &self,
        key: &str,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<Duration> {
        let loads = self.by_key.get(key)?;
        let hold = Hold::after(consecutive_failures(loads), ENDS_UNTIL_HELD)?;
        let last = loads.values().max_by_key(|load| load.recorded_at)?;
        let until = last.recorded_at + hold.time(version > last.version);
        (now < until).then(|| until.since(now))
    }

    /// Forgets adapters of which nothing was seen for long.
    pub fn drop_expired(&mut self, now: ClockMillis) {
        self.by_key.retain(|_, loads| {
            let hold = Hold::after(consecutive_failures(loads), ENDS_UNTIL_HELD);
            let retention = hold.map_or(SUSPECT_TTL, Hold::remembered);
            loads.values().any(|load| now.since(load.recorded_at) < retention)
        });
    }

    /// Takes which adapters were held back since the last call.
    pub fn take_new_quarantines(&mut self) -> Vec<QuarantinedLoad> {
        std::mem::take(&mut self.new_quarantines)
    }
}

/// Counts engines one after the other: of loads that were under way at the same time one counts, since whatever ended their engines
/// together was not them.
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
