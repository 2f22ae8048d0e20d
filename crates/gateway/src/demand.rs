//! What the traffic thread tells the control thread for the placers: what requests ask for, and what
//! they have at engines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineName, ModelKey, ServiceName, work::EngineWork},
    placement::{AbsentEntry, DemandEntry, HostWork, OpenRequestsEntry},
};

/// How long a word that still holds stays unsaid before it is said again; placers forget after three
/// times as long.
const WORD_RENEWAL: Duration = Duration::from_secs(1);

/// Demand for one model or adapter since it was last told.
#[derive(Debug, Clone, Default)]
struct DemandCount {
    asked: u32,
    asked_tokens: u64,
    waiting: u32,
    waiting_tokens: u64,
    waiting_worth: f64,
    /// Until when every copy is at an engine that takes no requests from this host.
    copies_closed_until: ClockMillis,
    changed: bool,
    told: ClockMillis,
}

/// What this host has at one engine.
#[derive(Debug, Clone, Default)]
struct WorkCount {
    work: EngineWork,
    runs: BTreeMap<ModelKey, u32>,
    /// Runs that were told last; those among them that are gone must be told too.
    told_runs: BTreeMap<ModelKey, u32>,
    told_work: EngineWork,
    /// When all of it was last told, changed or not.
    renewed: ClockMillis,
}

impl WorkCount {
    /// Appends what must be told now: what changed, or everything when it must be renewed.
    fn tell(&mut self, engine: &EngineName, now: ClockMillis, told: &mut HostWork) {
        let renew = self.work.open > 0 && now.since(self.renewed) >= WORD_RENEWAL;
        if renew || self.work != self.told_work {
            told.engines.push((Arc::clone(engine), self.work));
        }
        for (key, open) in &self.runs {
            if renew || self.told_runs.get(key) != Some(open) {
                let (engine, key) = (Arc::clone(engine), Arc::clone(key));
                told.open_requests.push(OpenRequestsEntry { engine, key, open: *open });
            }
        }
        for key in self.told_runs.keys().filter(|key| !self.runs.contains_key(*key)) {
            let (engine, key) = (Arc::clone(engine), Arc::clone(key));
            told.open_requests.push(OpenRequestsEntry { engine, key, open: 0 });
        }
        if renew {
            self.renewed = now;
        }
        self.told_work = self.work;
        self.told_runs.clone_from(&self.runs);
    }
}

/// What a host tells the placer of one service.
#[derive(Debug, Clone, Default)]
pub struct DemandReport {
    /// What it is asked for.
    pub entries: Vec<DemandEntry>,
    /// What it has at engines.
    pub work: HostWork,
}

/// An engine's word to this host that it does not hold something.
#[derive(Debug, Clone)]
struct AbsentWord {
    engine: EngineName,
    key: ModelKey,
    said: ClockMillis,
}

/// Demand that the traffic thread sees and the control thread tells.
#[derive(Debug, Default)]
pub struct DemandCollector {
    services: HashMap<ServiceName, HashMap<ModelKey, DemandCount>>,
    engines: HashMap<ServiceName, HashMap<EngineName, WorkCount>>,
    absent: HashMap<ServiceName, Vec<AbsentWord>>,
    unreached: HashMap<ServiceName, BTreeSet<EngineName>>,
}

impl DemandCollector {
    fn count(&mut self, service: &ServiceName, key: &ModelKey) -> &mut DemandCount {
        let keys = self.services.entry(Arc::clone(service)).or_default();
        let count = keys.entry(Arc::clone(key)).or_default();
        count.changed = true;
        count
    }

    /// Counts a request with a prompt of so many tokens.
    pub fn record_request(&mut self, service: &ServiceName, key: &ModelKey, tokens: u64) {
        let count = self.count(service, key);
        count.asked += 1;
        count.asked_tokens += tokens;
    }

    /// Counts a request that begins to wait.
    pub fn record_wait_start(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        worth: f64,
    ) {
        let count = self.count(service, key);
        count.waiting += 1;
        count.waiting_tokens += tokens;
        count.waiting_worth += worth;
    }

    /// Counts a waiting request with more or less worth than before.
    pub fn adjust_waiting_value(&mut self, service: &ServiceName, key: &ModelKey, difference: f64) {
        let count = self.count(service, key);
        count.waiting_worth = (count.waiting_worth + difference).max(0.0);
    }

    /// Counts a request that waits no longer.
    pub fn record_wait_end(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        tokens: u64,
        worth: f64,
    ) {
        let count = self.count(service, key);
        count.waiting_tokens = count.waiting_tokens.saturating_sub(tokens);
        count.waiting = count.waiting.saturating_sub(1);
        count.waiting_worth = (count.waiting_worth - worth).max(0.0);
    }

    /// Takes that every copy of what requests wait for is at an engine that takes no requests from this host until a time.
    pub fn set_copies_unavailable(
        &mut self,
        service: &ServiceName,
        key: &ModelKey,
        until: ClockMillis,
    ) {
        self.count(service, key).copies_closed_until = until;
    }

    /// Takes what this host has at an engine.
    pub fn set_engine_work(
        &mut self,
        service: &ServiceName,
        engine: &EngineName,
        work: EngineWork,
        runs: BTreeMap<ModelKey, u32>,
    ) {
        let engines = self.engines.entry(Arc::clone(service)).or_default();
        let count = engines.entry(Arc::clone(engine)).or_default();
        (count.work, count.runs) = (work, runs);
    }

    /// Takes an engine's word that it does not hold something.
    pub fn record_absence(
        &mut self,
        service: &ServiceName,
        engine: &EngineName,
        key: &ModelKey,
        now: ClockMillis,
    ) {
        let (engine, key) = (Arc::clone(engine), Arc::clone(key));
        let words = self.absent.entry(Arc::clone(service)).or_default();
        words.push(AbsentWord { engine, key, said: now });
    }

    /// Takes that this host can not use an engine now: no connection came about, or it wants no requests from this host.
    pub fn record_unreachable(&mut self, service: &ServiceName, engine: &EngineName) {
        let engines = self.unreached.entry(Arc::clone(service)).or_default();
        engines.insert(Arc::clone(engine));
    }

    /// Forgets an engine that is listed no more, or that holds no models.
    pub fn forget_engine(&mut self, engine: &str) {
        for engines in self.engines.values_mut() {
            engines.remove(engine);
        }
    }

    /// Takes what must be told now, by service.
    pub fn drain(&mut self, now: ClockMillis) -> HashMap<ServiceName, DemandReport> {
        let mut drained = self.drain_work(now);
        for (service, keys) in &mut self.services {
            let mut entries = Vec::new();
            for (key, count) in keys.iter_mut() {
                let renew = count.waiting > 0 && now.since(count.told) >= WORD_RENEWAL;
                if !count.changed && !renew {
                    continue;
                }
                entries.push(DemandEntry {
                    key: Arc::clone(key),
                    new_requests: std::mem::take(&mut count.asked),
                    new_prompt_tokens: std::mem::take(&mut count.asked_tokens),
                    waiting_prompt_tokens: count.waiting_tokens,
                    waiting: count.waiting,
                    waiting_value: count.waiting_worth,
                    copies_unavailable: count.waiting > 0 && now < count.copies_closed_until,
                });
                count.changed = false;
                count.told = now;
            }
            keys.retain(|_, count| count.waiting > 0 || count.changed);
            if !entries.is_empty() {
                drained.entry(Arc::clone(service)).or_default().entries = entries;
            }
        }
        for (service, words) in self.absent.drain() {
            let words = words.into_iter().map(|word| {
                let age = now.since(word.said);
                AbsentEntry { engine: word.engine, key: word.key, age }
            });
            drained.entry(service).or_default().work.absent = words.collect();
        }
        for (service, engines) in self.unreached.drain() {
            drained.entry(service).or_default().work.unreachable = engines.into_iter().collect();
        }
        drained
    }

    fn drain_work(&mut self, now: ClockMillis) -> HashMap<ServiceName, DemandReport> {
        let mut drained: HashMap<ServiceName, DemandReport> = HashMap::new();
        for (service, engines) in &mut self.engines {
            let mut work = HostWork::default();
            for (engine, count) in engines.iter_mut() {
                count.tell(engine, now, &mut work);
            }
            engines.retain(|_, count| count.work.open > 0);
            if !work.is_empty() {
                drained.entry(Arc::clone(service)).or_default().work = work;
            }
        }
        drained
    }

    /// Makes everything that holds be told again, to a new placer of a service.
    pub fn resend_all(&mut self, service: &str) {
        for count in self.services.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            count.changed = true;
        }
        for count in self.engines.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            count.told_runs.clear();
            count.told_work = EngineWork::default();
        }
    }
}

/// What all hosts have at engines, as the placers say.
#[derive(Debug, Default)]
pub struct SharedWork {
    engines: HashMap<EngineName, EngineWork>,
}

impl SharedWork {
    /// Takes what a placer says.
    pub fn update(&mut self, told: Vec<(EngineName, EngineWork)>) {
        for (engine, work) in told {
            if work.open == 0 {
                self.engines.remove(&engine);
            } else {
                self.engines.insert(engine, work);
            }
        }
    }

    /// Forgets everything, since nobody keeps it up to date.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Returns what an engine has to do, nothing where nobody told any.
    pub fn get(&self, engine: &str) -> EngineWork {
        self.engines.get(engine).copied().unwrap_or_default()
    }
}
