//! One machine: its two threads and what they share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use reelreel_core::{
    ClockMillis, ClockSource, MonotonicClock,
    fleet::{EngineName, ModelKey, ServiceName},
    placement::DemandEntry,
};
use tokio::sync::{Notify, watch};

use crate::{
    border::BorderDialects,
    control::run_control,
    entry::run_entry,
    events::{EventLog, MachineEvent},
    metrics::MachineMetrics,
    profile::MachineProfile,
    table::ServingTable,
};

/// The control thread's stack. Unit: bytes.
const CONTROL_STACK: usize = 512 * 1024;

/// For how long a stopping machine begins new requests, until the balancer sends none any more.
const STOP_SERVES: Duration = Duration::from_millis(2400);

/// What a stopping machine leaves between the end of its last request and the operator's grace.
const STOP_MARGIN: Duration = Duration::from_millis(1500);

/// How long waiting demand stays unsaid before it is said again.
const DEMAND_RENEWAL: Duration = Duration::from_secs(1);

/// Demand for one model or adapter since it was last told.
#[derive(Debug, Clone, Default)]
struct DemandCount {
    asked: u32,
    waiting: u32,
    waiting_worth: f64,
    changed: bool,
    told: ClockMillis,
}

/// Open requests at one engine since they were last told.
#[derive(Debug, Clone, Default)]
struct OpenCount {
    open: u32,
    changed: bool,
    told: ClockMillis,
}

/// What a machine tells the placer of one service.
#[derive(Debug, Clone, Default)]
pub struct ToldDemand {
    /// What it is asked for.
    pub entries: Vec<DemandEntry>,
    /// Its open requests at engines.
    pub loads: Vec<(EngineName, u32)>,
}

/// Open requests of all machines by engine, as the placers say.
#[derive(Debug, Default)]
pub struct EngineLoads {
    open: HashMap<EngineName, u32>,
}

impl EngineLoads {
    /// Takes what a placer says.
    pub fn take(&mut self, loads: Vec<(EngineName, u32)>) {
        for (engine, open) in loads {
            if open == 0 {
                self.open.remove(&engine);
            } else {
                self.open.insert(engine, open);
            }
        }
    }

    /// Forgets everything, since nobody keeps it up to date.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Returns the open requests at an engine, none where nobody told any.
    pub fn at(&self, engine: &str) -> u32 {
        self.open.get(engine).copied().unwrap_or_default()
    }
}

/// Demand that the traffic thread sees and the control thread tells.
#[derive(Debug, Default)]
pub struct DemandCollector {
    services: HashMap<ServiceName, HashMap<ModelKey, DemandCount>>,
    engines: HashMap<ServiceName, HashMap<EngineName, OpenCount>>,
}

impl DemandCollector {
    fn count(&mut self, service: &ServiceName, key: &ModelKey) -> &mut DemandCount {
        let keys = self.services.entry(Arc::clone(service)).or_default();
        let count = keys.entry(Arc::clone(key)).or_default();
        count.changed = true;
        count
    }

    /// Counts a request.
    pub fn asked(&mut self, service: &ServiceName, key: &ModelKey) {
        self.count(service, key).asked += 1;
    }

    /// Counts a request that begins to wait.
    pub fn wait_began(&mut self, service: &ServiceName, key: &ModelKey, worth: f64) {
        let count = self.count(service, key);
        count.waiting += 1;
        count.waiting_worth += worth;
    }

    /// Counts a request that waits no longer.
    pub fn wait_ended(&mut self, service: &ServiceName, key: &ModelKey, worth: f64) {
        let count = self.count(service, key);
        count.waiting = count.waiting.saturating_sub(1);
        count.waiting_worth = (count.waiting_worth - worth).max(0.0);
    }

    /// Takes how many requests are open at an engine.
    pub fn engine_open(&mut self, service: &ServiceName, engine: &EngineName, open: u32) {
        let engines = self.engines.entry(Arc::clone(service)).or_default();
        if open == 0 && !engines.contains_key(engine) {
            return;
        }
        let count = engines.entry(Arc::clone(engine)).or_default();
        count.changed |= count.open != open;
        count.open = open;
    }

    /// Takes what must be told now, by service.
    pub fn drain(&mut self, now: ClockMillis) -> HashMap<ServiceName, ToldDemand> {
        let mut drained = self.drain_loads(now);
        for (service, keys) in &mut self.services {
            let mut entries = Vec::new();
            for (key, count) in keys.iter_mut() {
                let renew = count.waiting > 0 && now.since(count.told) >= DEMAND_RENEWAL;
                if !count.changed && !renew {
                    continue;
                }
                entries.push(DemandEntry {
                    key: Arc::clone(key),
                    asked: std::mem::take(&mut count.asked),
                    waiting: count.waiting,
                    waiting_worth: count.waiting_worth,
                });
                count.changed = false;
                count.told = now;
            }
            keys.retain(|_, count| count.waiting > 0 || count.changed);
            if !entries.is_empty() {
                drained.entry(Arc::clone(service)).or_default().entries = entries;
            }
        }
        drained
    }

    fn drain_loads(&mut self, now: ClockMillis) -> HashMap<ServiceName, ToldDemand> {
        let mut drained: HashMap<ServiceName, ToldDemand> = HashMap::new();
        for (service, engines) in &mut self.engines {
            for (engine, count) in engines.iter_mut() {
                let renew = count.open > 0 && now.since(count.told) >= DEMAND_RENEWAL;
                if count.changed || renew {
                    let told = drained.entry(Arc::clone(service)).or_default();
                    told.loads.push((Arc::clone(engine), count.open));
                    (count.changed, count.told) = (false, now);
                }
            }
            engines.retain(|_, count| count.open > 0);
        }
        drained
    }

    /// Makes the waiting demand of a service be told again, to a new placer.
    pub fn tell_again(&mut self, service: &str) {
        for count in self.services.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            count.changed = true;
        }
        for count in self.engines.get_mut(service).into_iter().flat_map(HashMap::values_mut) {
            count.changed = true;
        }
    }
}

/// What the two threads share.
pub struct SharedState {
    /// What the machine is told about itself.
    pub profile: MachineProfile,
    /// What is spoken at its borders.
    pub dialects: BorderDialects,
    /// The machine's clock.
    pub clock: MonotonicClock,
    /// What the control thread believes.
    pub table: watch::Sender<Arc<ServingTable>>,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Structured log lines.
    pub events: EventLog,
    /// Counters and histograms.
    pub metrics: MachineMetrics,
    /// Requests that are open.
    pub open_requests: AtomicUsize,
    stop_began: OnceLock<ClockMillis>,
    /// Wakes the control thread when there is something to tell at once.
    pub wake_control: Notify,
    demand: Mutex<DemandCollector>,
    engine_loads: Mutex<EngineLoads>,
}

impl SharedState {
    /// Starts with nothing known.
    pub fn new(profile: MachineProfile, dialects: BorderDialects, events: EventLog) -> Self {
        Self {
            profile,
            dialects,
            clock: MonotonicClock::new(),
            table: watch::Sender::new(Arc::default()),
            stopping: watch::Sender::new(false),
            events,
            metrics: MachineMetrics::default(),
            open_requests: AtomicUsize::new(0),
            stop_began: OnceLock::new(),
            wake_control: Notify::new(),
            demand: Mutex::default(),
            engine_loads: Mutex::default(),
        }
    }

    /// Locks the demand for a moment.
    pub fn demand(&self) -> MutexGuard<'_, DemandCollector> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the engines' loads for a moment.
    pub fn engine_loads(&self) -> MutexGuard<'_, EngineLoads> {
        self.engine_loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether a planned stop has gone so far that a request might not end in time.
    ///
    /// `longest` is how long the request may take, where that is known to be short.
    pub fn is_too_late_for(&self, longest: Option<Duration>) -> bool {
        let Some(began) = self.stop_began.get() else { return false };
        let stopping = self.clock.now().since(*began);
        let until = longest.map_or(STOP_SERVES, |longest| {
            let grace = self.profile.bounds.stop_grace;
            grace.saturating_sub(longest + STOP_MARGIN).max(STOP_SERVES)
        });
        stopping > until
    }

    /// Notes that the settings were read anew; what a running machine uses of them does not change.
    pub fn reloaded(&self, mistake: Option<impl std::fmt::Display>) {
        let mistake = mistake.map(|mistake| mistake.to_string());
        self.events.write(MachineEvent::Reloaded { mistake });
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        let open = self.open_requests.load(Ordering::Relaxed);
        self.stop_began.get_or_init(|| self.clock.now());
        let began = self.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
        if began {
            self.events.write(MachineEvent::Stopping { open });
        }
    }
}

/// Runs a machine until its planned stop has ended.
///
/// The calling thread carries the traffic; one more thread keeps what the machine believes.
///
/// # Errors
/// Returns that an address can not be listened on or a thread not be started.
pub fn run_machine(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let control = Arc::clone(shared);
    let thread = std::thread::Builder::new()
        .name(String::from("control"))
        .stack_size(CONTROL_STACK)
        .spawn(move || run_control(&control))?;
    run_entry(shared)?;
    let open = shared.open_requests.load(Ordering::Relaxed);
    shared.events.write(MachineEvent::Stopped { open });
    // The control thread leaves the group as soon as the stop begins; it is not waited for.
    drop(thread);
    Ok(())
}
