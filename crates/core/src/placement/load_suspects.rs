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
        EngineEntry, EngineIncarnation, EngineName, ModelKey, WeightVersion,
        quarantine::{ENDS_UNTIL_HELD, Hold},
    },
    placement::inventory::PendingLoad,
};

/// How long an adapter is remembered under whose load one engine ended.
const KEPT: Duration = Duration::from_mins(10);

/// A load after which its engine gave no sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SilentLoad {
    born: EngineIncarnation,
    version: WeightVersion,
    began: ClockMillis,
    noted: ClockMillis,
    /// Whether the engine is gone, or has started again.
    ended: bool,
}

/// An adapter that is not loaded for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLoad {
    /// The adapter.
    pub key: ModelKey,
    /// How many engines ended in a row while they loaded it, or gave no sign of life since.
    pub ends: usize,
    /// For how long it is not loaded.
    pub time: Duration,
}

/// What is known of adapters under whose loads engines ended.
#[derive(Debug, Clone, Default)]
pub struct LoadSuspects {
    by_key: HashMap<ModelKey, BTreeMap<EngineName, SilentLoad>>,
    news: Vec<HeldLoad>,
}

impl LoadSuspects {
    /// Takes that an engine gave no report after a load was due, or has ended.
    pub fn silent(
        &mut self,
        engine: &EngineEntry,
        load: &PendingLoad,
        ended: bool,
        now: ClockMillis,
    ) {
        let loads = self.by_key.entry(Arc::clone(&load.key)).or_default();
        if let Some(known) =
            loads.get_mut(&engine.name).filter(|known| known.born == engine.incarnation)
        {
            known.ended |= ended;
            return;
        }
        let (born, version, began) = (engine.incarnation, load.version, load.began);
        let silent = SilentLoad { born, version, began, noted: now, ended };
        loads.insert(Arc::clone(&engine.name), silent);
        let ends = ends_in_a_row(loads);
        if let Some(hold) = Hold::after(ends, ENDS_UNTIL_HELD) {
            let (key, time) = (Arc::clone(&load.key), hold.time(false));
            self.news.push(HeldLoad { key, ends, time });
        }
    }

    /// Takes that an engine lives: its silence was something else.
    pub fn engine_lives(&mut self, engine: &str, born: EngineIncarnation) {
        for loads in self.by_key.values_mut() {
            let known = loads.get(engine);
            if known.is_some_and(|load| load.born == born && !load.ended) {
                loads.remove(engine);
            }
        }
    }

    /// Takes that an engine holds an adapter and lives.
    pub fn loaded(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Returns whether an engine gave no sign of life since it was to load an adapter, and none has held it since.
    pub fn is_suspect(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Returns for how long an adapter is not to be loaded, if it is held back; `version` is the one that is named now.
    pub fn held(&self, key: &str, version: WeightVersion, now: ClockMillis) -> Option<Duration> {
        let loads = self.by_key.get(key)?;
        let hold = Hold::after(ends_in_a_row(loads), ENDS_UNTIL_HELD)?;
        let last = loads.values().max_by_key(|load| load.noted)?;
        let until = last.noted + hold.time(version > last.version);
        (now < until).then(|| until.since(now))
    }

    /// Forgets adapters of which nothing was seen for long.
    pub fn forget_old(&mut self, now: ClockMillis) {
        self.by_key.retain(|_, loads| {
            let hold = Hold::after(ends_in_a_row(loads), ENDS_UNTIL_HELD);
            let remembered = hold.map_or(KEPT, Hold::remembered);
            loads.values().any(|load| now.since(load.noted) < remembered)
        });
    }

    /// Takes which adapters were held back since the last call.
    pub fn take_events(&mut self) -> Vec<HeldLoad> {
        std::mem::take(&mut self.news)
    }
}

/// Counts engines one after the other: of loads that were under way at the same time one counts, since whatever ended their engines
/// together was not them.
fn ends_in_a_row(loads: &BTreeMap<EngineName, SilentLoad>) -> usize {
    let mut by_time: Vec<&SilentLoad> = loads.values().collect();
    by_time.sort_by_key(|load| load.began);
    let mut count = 0;
    let mut last: Option<ClockMillis> = None;
    for load in by_time {
        if last.is_none_or(|noted| load.began >= noted) {
            count += 1;
            last = Some(load.noted);
        }
    }
    count
}
