//! What each engine works on, summed over all hosts.
//!
//! An engine's report lags and costs a call; a host knows only its own requests. So each host tells
//! the placer what it has open at each engine and for which adapter. The placer drops only adapters
//! without a run, and tells all hosts the sums by engine.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, work::EngineWork},
};

/// How long a host's word holds without being renewed; hosts renew theirs every second.
const WORD_HOLDS: Duration = Duration::from_secs(3);

/// The requests of one host that an engine has for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEntry {
    /// The engine.
    pub engine: EngineName,
    /// The model or adapter.
    pub key: ModelKey,
    /// Requests that are open; none ends an earlier word.
    pub open: u32,
}

/// An engine's word to a host that it does not hold something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbsentEntry {
    /// The engine.
    pub engine: EngineName,
    /// The model or adapter.
    pub key: ModelKey,
    /// How long ago it said so.
    pub age: Duration,
}

/// What one host has at engines, where it changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostWork {
    /// All of its requests at an engine.
    pub engines: Vec<(EngineName, EngineWork)>,
    /// Its requests at an engine by model or adapter.
    pub runs: Vec<RunEntry>,
    /// What engines said that they do not hold.
    pub absent: Vec<AbsentEntry>,
    /// Engines to which no connection came about.
    pub unreached: Vec<EngineName>,
}

impl HostWork {
    /// Returns whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        let Self { engines, runs, absent, unreached } = self;
        engines.is_empty() && runs.is_empty() && absent.is_empty() && unreached.is_empty()
    }
}

/// The last word of each host on something.
#[derive(Debug, Clone)]
struct HostWords<Word> {
    hosts: HashMap<Arc<str>, (Word, ClockMillis)>,
}

impl<Word> Default for HostWords<Word> {
    fn default() -> Self {
        Self { hosts: HashMap::new() }
    }
}

impl<Word: Copy> HostWords<Word> {
    fn note(&mut self, host: &Arc<str>, word: Option<Word>, now: ClockMillis) {
        match word {
            Some(word) => self.hosts.insert(Arc::clone(host), (word, now)),
            None => self.hosts.remove(host),
        };
    }

    fn forget_old(&mut self, now: ClockMillis) {
        self.hosts.retain(|_, (_, at)| now.since(*at) < WORD_HOLDS);
    }

    fn words(&self) -> impl Iterator<Item = Word> {
        self.hosts.values().map(|(word, _)| *word)
    }
}

/// The work at one engine.
#[derive(Debug, Clone, Default)]
struct EngineSum {
    work: HostWords<EngineWork>,
    runs: HashMap<ModelKey, HostWords<u32>>,
    told: EngineWork,
}

impl EngineSum {
    fn total(&self) -> EngineWork {
        self.work.words().fold(EngineWork::default(), |sum, work| sum + work)
    }
}

/// What engines work on.
#[derive(Debug, Clone, Default)]
pub struct WorkBook {
    engines: HashMap<EngineName, EngineSum>,
}

impl WorkBook {
    /// Takes what `host` has at engines.
    pub fn note(&mut self, host: &Arc<str>, told: &HostWork, now: ClockMillis) {
        for (engine, work) in &told.engines {
            let sum = self.engines.entry(Arc::clone(engine)).or_default();
            sum.work.note(host, (work.open > 0).then_some(*work), now);
        }
        for run in &told.runs {
            let sum = self.engines.entry(Arc::clone(&run.engine)).or_default();
            let runs = sum.runs.entry(Arc::clone(&run.key)).or_default();
            runs.note(host, (run.open > 0).then_some(run.open), now);
        }
    }

    /// Forgets the word of hosts that did not renew it.
    pub fn forget_old(&mut self, now: ClockMillis) {
        self.engines.retain(|_, sum| {
            sum.work.forget_old(now);
            sum.runs.retain(|_, runs| {
                runs.forget_old(now);
                !runs.hosts.is_empty()
            });
            !sum.work.hosts.is_empty() || sum.told.open > 0 || !sum.runs.is_empty()
        });
    }

    /// Returns what an engine works on.
    pub fn total(&self, engine: &str) -> EngineWork {
        self.engines.get(engine).map(EngineSum::total).unwrap_or_default()
    }

    /// Returns how many requests an engine has for a model or adapter.
    pub fn runs(&self, engine: &str, key: &str) -> u32 {
        let runs = self.engines.get(engine).and_then(|sum| sum.runs.get(key));
        runs.map_or(0, |runs| runs.words().sum())
    }

    /// Returns the sums that have moved enough since they were last returned to be told again; `step` is how many
    /// unread tokens make no difference to anyone who chooses an engine.
    pub fn take_changed(&mut self, step: u64) -> Vec<(EngineName, EngineWork)> {
        let mut changed = Vec::new();
        for (engine, sum) in &mut self.engines {
            let total = sum.total();
            if total.differs_significantly(&sum.told, step) {
                sum.told = total;
                changed.push((Arc::clone(engine), total));
            }
        }
        changed
    }
}
