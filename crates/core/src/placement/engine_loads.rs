//! How many requests each engine has open, summed over all hosts.
//!
//! An engine's report lags and costs a call; a host knows only its own requests. So each host tells
//! the placer what it has open at each engine, and the placer tells all of them the sums.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{clock::ClockMillis, fleet::EngineName};

/// How long a host's word holds without being renewed.
const WORD_HOLDS: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Default)]
struct EngineLoad {
    hosts: HashMap<Arc<str>, (u32, ClockMillis)>,
    told: u32,
}

impl EngineLoad {
    fn total(&self) -> u32 {
        self.hosts.values().map(|(open, _)| open).sum()
    }
}

/// Open requests by engine.
#[derive(Debug, Clone, Default)]
pub struct LoadBook {
    engines: HashMap<EngineName, EngineLoad>,
}

impl LoadBook {
    /// Takes how many requests `host` has open at an engine.
    pub fn note(&mut self, host: &Arc<str>, engine: &EngineName, open: u32, now: ClockMillis) {
        let load = self.engines.entry(Arc::clone(engine)).or_default();
        if open == 0 {
            load.hosts.remove(host);
        } else {
            load.hosts.insert(Arc::clone(host), (open, now));
        }
    }

    /// Forgets the word of hosts that did not renew it.
    pub fn forget_old(&mut self, now: ClockMillis) {
        self.engines.retain(|_, load| {
            load.hosts.retain(|_, (_, at)| now.since(*at) < WORD_HOLDS);
            !load.hosts.is_empty() || load.told > 0
        });
    }

    /// Returns how many requests an engine has open.
    pub fn total(&self, engine: &str) -> u32 {
        self.engines.get(engine).map_or(0, EngineLoad::total)
    }

    /// Returns the sums that have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(EngineName, u32)> {
        let mut changed = Vec::new();
        for (engine, load) in &mut self.engines {
            let total = load.total();
            if std::mem::replace(&mut load.told, total) != total {
                changed.push((Arc::clone(engine), total));
            }
        }
        changed
    }
}
