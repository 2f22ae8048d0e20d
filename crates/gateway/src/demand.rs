//! Demand that the traffic thread records and the control thread sends to placers: requests by
//! model or adapter, and this host's work at engines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineName, ModelKey, ServiceName, SoftwareVersion, work::EngineWork},
    placement::{AbsentEntry, DemandEntry, HostWork, OpenRequestsEntry},
};

/// How long an unchanged value stays unsent before it is renewed. Placers drop values that were not
/// renewed for three times as long.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Age from which the reported work of the engines is stale: the usual interval of the placers'
/// reports, 250 ms, and time for their transfer. Of simulated reports every 500 ms, those older than
/// this made more requests late than no reports.
const MAX_WORK_AGE: Duration = Duration::from_millis(350);

/// Demand for one model or adapter since it was last sent.
#[derive(Debug, Clone, Default)]
struct PendingDemand {
    new_requests: u32,
    new_prompt_tokens: u64,
    waiting: u32,
    waiting_prompt_tokens: u64,
    waiting_value: f64,
    /// Until when every copy is at an engine that accepts no requests from this host.
    copies_unavailable_until: ClockMillis,
    /// The software version that a waiting request needs, and until when.
    needed_software: Option<(SoftwareVersion, ClockMillis)>,
    changed: bool,
    sent_at: ClockMillis,
}

/// This host's work at one engine, and what was last sent of it.
#[derive(Debug, Clone, Default)]
struct EngineWorkState {
    work: EngineWork,
    open_requests: BTreeMap<ModelKey, u32>,
    /// Open requests as last sent. The next report must also contain those that have ended since.
    sent_open_requests: BTreeMap<ModelKey, u32>,
    sent_work: EngineWork,
    /// When all of it was last sent, even if unchanged.
    renewed_at: ClockMillis,
}

impl EngineWorkState {
    /// Appends what is due: the changes, or everything if it must be renewed.
    fn append_to(&mut self, engine: &EngineName, now: ClockMillis, report: &mut HostWork) {
        let due = self.work.open > 0 && now.since(self.renewed_at) >= RENEWAL_INTERVAL;
        if due || self.work != self.sent_work {
            report.engines.push((Arc::clone(engine), self.work));
        }
        for (key, open) in &self.open_requests {
            if due || self.sent_open_requests.get(key) != Some(open) {
                let (engine, key) = (Arc::clone(engine), Arc::clone(key));
                report.open_requests.push(OpenRequestsEntry { engine, key, open: *open });
            }
        }
        for key in
            self.sent_open_requests.keys().filter(|key| !self.open_requests.contains_key(*key))
        {
            let (engine, key) = (Arc::clone(engine), Arc::clone(key));
            report.open_requests.push(OpenRequestsEntry { engine, key, open: 0 });
        }
        if due {
            self.renewed_at = now;
        }
        self.sent_work = self.work;
        self.sent_open_requests.clone_from(&self.open_requests);
    }
}

/// A host's report to the placer of one service.
#[derive(Debug, Clone, Default)]
pub struct DemandReport {
    /// Demand by model or adapter.
    pub entries: Vec<DemandEntry>,
    /// The host's work at engines.
    pub work: HostWork,
}

/// An engine's response to this host that it does not have a model or adapter.
#[derive(Debug, Clone)]
struct AbsenceReport {
    engine: EngineName,
    key: ModelKey,
    reported_at: ClockMillis,
}

/// Demand recorded by the traffic thread until the control thread sends it.
#[derive(Debug, Default)]
pub struct DemandCollector {
    demand: HashMap<ServiceName, HashMap<ModelKey, PendingDemand>>,
    engine_work: HashMap<ServiceName, HashMap<EngineName, EngineWorkState>>,
    absent: HashMap<ServiceName, Vec<AbsenceReport>>,
    unreachable: HashMap<ServiceName, BTreeSet<EngineName>>,
}

impl DemandCollector {
    fn demand_entry(&mut self, service: &ServiceName, key: &ModelKey) -> &mut PendingDemand {
        let keys = self.demand.entry(Arc::clone(service)).or_default();
        let count = keys.entry(Arc::clone(key)).or_default();
        count.changed = true;
        count
    }

    /// Records a new request with a prompt of `tokens`.
    pub fn record_request(&mut self, service: &ServiceName, key: &ModelKey, tokens: u64) {
        let count = self.demand_entry(service, key);
        count.new_requests += 1;
        count.new_prompt_tokens += tokens;
    }

    /// Records a request that starts to wait.
    pub fn record_wait_start(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        value: f64,
    ) {
        let count = self.demand_entry(service, key);
        count.waiting += 1;
        count.waiting_prompt_tokens += tokens;
        count.waiting_value += value;
    }

    /// Changes the value of a waiting request.
    pub fn adjust_waiting_value(&mut self, service: &ServiceName, key: &ModelKey, difference: f64) {
        let count = self.demand_entry(service, key);
        count.waiting_value = (count.waiting_value + difference).max(0.0);
    }

    /// Records a request that no longer waits.
    pub fn record_wait_end(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        value: f64,
    ) {
        let count = self.demand_entry(service, key);
        count.waiting_prompt_tokens = count.waiting_prompt_tokens.saturating_sub(tokens);
        count.waiting = count.waiting.saturating_sub(1);
        count.waiting_value = (count.waiting_value - value).max(0.0);
    }

    /// Records that until a given time every copy is at an engine that accepts no requests from
    /// this host.
    pub fn set_copies_unavailable(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        until: ClockMillis,
    ) {
        self.demand_entry(service, key).copies_unavailable_until = until;
    }

    /// Records that until a given time a request waits for an engine of a software version.
    pub fn set_needed_software(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        software: &SoftwareVersion,
        until: ClockMillis,
    ) {
        let needed = Some((Arc::clone(software), until));
        self.demand_entry(service, key).needed_software = needed;
    }

    /// Sets this host's work at an engine.
    pub fn set_engine_work(
        &mut self,
        service: &ServiceName,
        engine: &EngineName,
        work: EngineWork,
        open_requests: BTreeMap<ModelKey, u32>,
    ) {
        let engines = self.engine_work.entry(Arc::clone(service)).or_default();
        let state = engines.entry(Arc::clone(engine)).or_default();
        (state.work, state.open_requests) = (work, open_requests);
    }

    /// Records an engine's response that it does not have a model or adapter.
    pub fn record_absence(
        &mut self,
        service: &ServiceName,
        engine: &EngineName,
        key: &ModelKey,
        now: ClockMillis,
    ) {
        let (engine, key) = (Arc::clone(engine), Arc::clone(key));
        let reports = self.absent.entry(Arc::clone(service)).or_default();
        reports.push(AbsenceReport { engine, key, reported_at: now });
    }

    /// Records that this host cannot use an engine: it cannot connect, or the engine accepts no
    /// requests from it.
    pub fn record_unreachable(&mut self, service: &ServiceName, engine: &EngineName) {
        let engines = self.unreachable.entry(Arc::clone(service)).or_default();
        engines.insert(Arc::clone(engine));
    }

    /// Drops an engine that is no longer listed or does not load models.
    pub fn forget_engine(&mut self, engine: &str) {
        for engines in self.engine_work.values_mut() {
            engines.remove(engine);
        }
    }

    /// Takes the reports that are due, by service.
    pub fn drain(&mut self, now: ClockMillis) -> HashMap<ServiceName, DemandReport> {
        let mut drained = self.drain_work(now);
        for (service, keys) in &mut self.demand {
            let mut entries = Vec::new();
            for (key, count) in keys.iter_mut() {
                let due = count.waiting > 0 && now.since(count.sent_at) >= RENEWAL_INTERVAL;
                if !count.changed && !due {
                    continue;
                }
                entries.push(DemandEntry {
                    key: Arc::clone(key),
                    new_requests: std::mem::take(&mut count.new_requests),
                    new_prompt_tokens: std::mem::take(&mut count.new_prompt_tokens),
                    waiting_prompt_tokens: count.waiting_prompt_tokens,
                    waiting: count.waiting,
                    waiting_value: count.waiting_value,
                    copies_unavailable: count.waiting > 0 && now < count.copies_unavailable_until,
                    needed_software: count
                        .needed_software
                        .as_ref()
                        .filter(|(_, until)| count.waiting > 0 && now < *until)
                        .map(|(software, _)| Arc::clone(software)),
                });
                count.changed = false;
                count.sent_at = now;
            }
            keys.retain(|_, count| count.waiting > 0 || count.changed);
            if !entries.is_empty() {
                drained.entry(Arc::clone(service)).or_default().entries = entries;
            }
        }
        for (service, reports) in self.absent.drain() {
            let reports = reports.into_iter().map(|report| {
                let age = now.since(report.reported_at);
                AbsentEntry { engine: report.engine, key: report.key, age }
            });
            drained.entry(service).or_default().work.absent = reports.collect();
        }
        for (service, engines) in self.unreachable.drain() {
            drained.entry(service).or_default().work.unreachable = engines.into_iter().collect();
        }
        drained
    }

    fn drain_work(&mut self, now: ClockMillis) -> HashMap<ServiceName, DemandReport> {
        let mut drained: HashMap<ServiceName, DemandReport> = HashMap::new();
        for (service, engines) in &mut self.engine_work {
            let mut work = HostWork::default();
            for (engine, state) in engines.iter_mut() {
                state.append_to(engine, now, &mut work);
            }
            engines.retain(|_, state| state.work.open > 0);
            if !work.is_empty() {
                drained.entry(Arc::clone(service)).or_default().work = work;
            }
        }
        drained
    }

    /// Marks everything as unsent, for a new placer of a service.
    pub fn resend_all(&mut self, service: &str) {
        for count in self.demand.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            count.changed = true;
        }
        for state in self.engine_work.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            state.sent_open_requests.clear();
            state.sent_work = EngineWork::default();
        }
    }
}

/// All hosts' work at engines, as reported by the placers.
#[derive(Debug, Default)]
pub struct SharedWork {
    engines: HashMap<EngineName, EngineWork>,
    /// When each placer last reported.
    confirmed_at: HashMap<ServiceName, ClockMillis>,
}

impl SharedWork {
    /// Applies a placer's report.
    pub fn update(&mut self, reports: Vec<(EngineName, EngineWork)>) {
        for (engine, work) in reports {
            if work.open == 0 {
                self.engines.remove(&engine);
            } else {
                self.engines.insert(engine, work);
            }
        }
    }

    /// Records that a service's placer has reported everything that has changed.
    pub fn confirm(&mut self, service: &ServiceName, now: ClockMillis) {
        self.confirmed_at.insert(Arc::clone(service), now);
    }

    /// Returns whether a service's placer has not reported for longer than its interval.
    pub fn is_stale(&self, service: &str, now: ClockMillis) -> bool {
        self.report_age(service, now).is_none_or(|age| age > MAX_WORK_AGE)
    }

    /// Returns how long ago a service's placer last reported everything that has changed.
    pub fn report_age(&self, service: &str, now: ClockMillis) -> Option<Duration> {
        self.confirmed_at.get(service).map(|at| now.since(*at))
    }

    /// Drops everything, because it is no longer updated.
    pub fn clear(&mut self) {
        self.confirmed_at.clear();
        self.engines.clear();
    }

    /// Returns the work at an engine, empty if none was reported.
    pub fn get(&self, engine: &str) -> EngineWork {
        self.engines.get(engine).copied().unwrap_or_default()
    }
}
