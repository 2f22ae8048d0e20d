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
const HOST_WORK_TTL: Duration = Duration::from_secs(3);

/// The requests of one host that an engine has for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequestsEntry {
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
    pub open_requests: Vec<OpenRequestsEntry>,
    /// What engines said that they do not hold.
    pub absent: Vec<AbsentEntry>,
    /// Engines to which no connection came about.
    pub unreachable: Vec<EngineName>,
}

impl HostWork {
    /// Returns whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        let Self { engines, open_requests, absent, unreachable } = self;
        engines.is_empty()
            && open_requests.is_empty()
            && absent.is_empty()
            && unreachable.is_empty()
    }
}

/// The last word of each host on something.
#[derive(Debug, Clone)]
struct PerHost<Value> {
    by_host: HashMap<Arc<str>, (Value, ClockMillis)>,
}

impl<Value> Default for PerHost<Value> {
    fn default() -> Self {
        Self { by_host: HashMap::new() }
    }
}

impl<Value: Copy> PerHost<Value> {
    fn record(&mut self, host: &Arc<str>, value: Option<Value>, now: ClockMillis) {
        match value {
            Some(value) => self.by_host.insert(Arc::clone(host), (value, now)),
            None => self.by_host.remove(host),
        };
    }

    fn drop_expired(&mut self, now: ClockMillis) {
        self.by_host.retain(|_, (_, at)| now.since(*at) < HOST_WORK_TTL);
    }

    fn values(&self) -> impl Iterator<Item = Value> {
        self.by_host.values().map(|(value, _)| *value)
    }
}

/// The work at one engine.
#[derive(Debug, Clone, Default)]
struct EngineWorkTotals {
    work_by_host: PerHost<EngineWork>,
    open_requests_by_key: HashMap<ModelKey, PerHost<u32>>,
    published: EngineWork,
}

impl EngineWorkTotals {
    fn total(&self) -> EngineWork {
        self.work_by_host.values().fold(EngineWork::default(), |sum, work| sum + work)
    }
}

/// What engines work on.
#[derive(Debug, Clone, Default)]
pub struct WorkTracker {
    engines: HashMap<EngineName, EngineWorkTotals>,
}

impl WorkTracker {
    /// Takes what `host` has at engines.
    pub fn record(&mut self, host: &Arc<str>, host_work: &HostWork, now: ClockMillis) {
        for (engine, work) in &host_work.engines {
            let engine_totals = self.engines.entry(Arc::clone(engine)).or_default();
            engine_totals.work_by_host.record(host, (work.open > 0).then_some(*work), now);
        }
        for entry in &host_work.open_requests {
            let engine_totals = self.engines.entry(Arc::clone(&entry.engine)).or_default();
            let requests =
                engine_totals.open_requests_by_key.entry(Arc::clone(&entry.key)).or_default();
            requests.record(host, (entry.open > 0).then_some(entry.open), now);
        }
    }

    /// Forgets the word of hosts that did not renew it.
    pub fn drop_expired(&mut self, now: ClockMillis) {
        self.engines.retain(|_, engine_totals| {
            engine_totals.work_by_host.drop_expired(now);
            engine_totals.open_requests_by_key.retain(|_, requests| {
                requests.drop_expired(now);
                !requests.by_host.is_empty()
            });
            !engine_totals.work_by_host.by_host.is_empty()
                || engine_totals.published.open > 0
                || !engine_totals.open_requests_by_key.is_empty()
        });
    }

    /// Returns what an engine works on.
    pub fn total(&self, engine: &str) -> EngineWork {
        self.engines.get(engine).map(EngineWorkTotals::total).unwrap_or_default()
    }

    /// Returns how many requests an engine has for a model or adapter.
    pub fn open_requests(&self, engine: &str, key: &str) -> u32 {
        let requests = self
            .engines
            .get(engine)
            .and_then(|engine_totals| engine_totals.open_requests_by_key.get(key));
        requests.map_or(0, |requests| requests.values().sum())
    }

    /// Returns the sums that have moved enough since they were last returned to be told again; `min_prefill_change` is how many
    /// unread tokens make no difference to anyone who chooses an engine.
    pub fn take_changed(&mut self, min_prefill_change: u64) -> Vec<(EngineName, EngineWork)> {
        let mut changed = Vec::new();
        for (engine, engine_totals) in &mut self.engines {
            let total = engine_totals.total();
            if total.differs(&engine_totals.published, min_prefill_change) {
                engine_totals.published = total;
                changed.push((Arc::clone(engine), total));
            }
        }
        changed
    }
}
