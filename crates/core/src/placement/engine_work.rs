//! Work of each engine, summed over all hosts.
//!
//! An engine's report lags behind and costs a call, and a host knows only its own requests. So each
//! host reports its open requests per engine and adapter to the placer, which evicts only adapters
//! without open requests and publishes the totals per engine to all hosts.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, work::EngineWork},
};

/// How long a host's report stays valid without renewal. Hosts renew theirs every second.
const HOST_WORK_TTL: Duration = Duration::from_secs(3);

/// Number of open requests from one host on an engine for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenRequestsEntry {
    /// Engine that has the requests.
    pub engine: EngineName,
    /// Model or adapter.
    pub key: ModelKey,
    /// Number of open requests. Zero clears an earlier entry.
    pub open: u32,
}

/// An engine's denial, sent to a host, that it holds a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbsentEntry {
    /// Engine that sent the denial.
    pub engine: EngineName,
    /// Model or adapter.
    pub key: ModelKey,
    /// Time since the denial.
    pub age: Duration,
}

/// Changes in the work of one host on engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostWork {
    /// All open requests of the host per engine.
    pub engines: Vec<(EngineName, EngineWork)>,
    /// Open requests of the host per engine and per model or adapter.
    pub open_requests: Vec<OpenRequestsEntry>,
    /// Denials by engines of holding a model or adapter.
    pub absent: Vec<AbsentEntry>,
    /// Engines that the host could not connect to.
    pub unreachable: Vec<EngineName>,
}

impl HostWork {
    /// Returns whether there are no changes to report.
    pub const fn is_empty(&self) -> bool {
        let Self { engines, open_requests, absent, unreachable } = self;
        engines.is_empty()
            && open_requests.is_empty()
            && absent.is_empty()
            && unreachable.is_empty()
    }
}

/// Latest value reported by each host, with the time of the report.
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

/// Work of one engine.
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

/// Work of all engines of a domain.
#[derive(Debug, Clone, Default)]
pub struct WorkTracker {
    engines: HashMap<EngineName, EngineWorkTotals>,
}

impl WorkTracker {
    /// Records the work reported by `host`.
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

    /// Drops reports that hosts did not renew.
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

    /// Returns the total work of an engine.
    pub fn total(&self, engine: &str) -> EngineWork {
        self.engines.get(engine).map(EngineWorkTotals::total).unwrap_or_default()
    }

    /// Returns the number of open requests on an engine for a model or adapter.
    pub fn open_requests(&self, engine: &str, key: &str) -> u32 {
        let requests = self
            .engines
            .get(engine)
            .and_then(|engine_totals| engine_totals.open_requests_by_key.get(key));
        requests.map_or(0, |requests| requests.values().sum())
    }

    /// Returns the totals that have changed noticeably since they were last returned.
    /// `min_prefill_change` is the change in unread prompt tokens below which the choice of an
    /// engine is not affected.
    pub fn take_changed(&mut self, min_prefill_change: u64) -> Vec<(EngineName, EngineWork)> {
        let mut changed = Vec::new();
        for (engine, engine_totals) in &mut self.engines {
            let total = engine_totals.total();
            if total.differs_significantly(&engine_totals.published, min_prefill_change) {
                engine_totals.published = total;
                changed.push((Arc::clone(engine), total));
            }
        }
        changed
    }
}
