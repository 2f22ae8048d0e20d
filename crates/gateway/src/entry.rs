//! The traffic thread: client connections, requests, and the way of each to an engine.
//!
//! Read [`connection`] for one client connection, [`prepare`] and [`exchange`] for one request,
//! [`pick`] for where it goes, [`wait`] for what happens until its adapter is there, [`attempt`] for
//! one send, [`plain`] for services that carry less than they are asked for, [`refusal`] for how it ends without an engine's answer, [`quarantine`] for requests under which engines ended, [`pass`] for how an answer is
//! passed on, and [`stream`] for answers in events.

pub mod answer;
pub mod attempt;
pub mod preflight;
pub mod connection;
pub mod deadline;
pub mod exchange;
pub mod forward;
pub mod pass;
pub mod permit;
pub mod pick;
pub mod plain;
pub mod prepare;
pub mod probe;
pub mod quarantine;
pub mod record;
pub mod refusal;
pub mod stream;
pub mod wait;

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, ModelKey, ServiceName, admission::AdmissionController,
        retry_share::RetryShare,
    },
};
use tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet};

use crate::{
    engines::{EnginePool, ends::EndWatch},
    host::SharedState,
    table::ServingTable,
};

/// How often connections that rested too long are closed.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);

/// How often the work at engines is counted for the placers: a fifth of what an adapter takes to load,
/// so that a place whose last run has ended is soon used again.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait before an address is listened on again.
const LISTEN_PAUSE: Duration = Duration::from_millis(100);

/// How often listening is tried before the process gives up.
const LISTEN_TRIES: u32 = 30;

/// How long a stopping host stays for clients that the balancer still sends.
const LEAST_STOP: Duration = Duration::from_millis(2600);

/// What a planned stop leaves of the operator's grace.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// How often a stopping host looks whether it may end.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// How long an engine's word that it does not hold something is believed against the table.
const ABSENCE_HOLDS: Duration = Duration::from_millis(120);

/// What the traffic thread's tasks share.
pub struct TrafficState {
    /// What the host's threads share.
    pub shared: Arc<SharedState>,
    /// Connections to engines.
    pub pool: Rc<RefCell<EnginePool>>,
    /// Runs that broke off, until it is known whether their engine ended.
    pub ends: RefCell<EndWatch>,
    /// The share of each service's retry budget.
    retries: RefCell<HashMap<ServiceName, RetryShare>>,
    /// How much of what it is asked for this host sends on to each plain service.
    pub admissions: RefCell<HashMap<ServiceName, AdmissionController>>,
    /// What engines said that they do not hold, and when.
    absences: RefCell<HashMap<(EngineName, ModelKey), ClockMillis>>,
    /// Bytes of request bodies that are held.
    pub body_bytes: Cell<usize>,
    /// Client connections that are open.
    pub connections: Cell<usize>,
    table: watch::Receiver<Arc<ServingTable>>,
}

impl TrafficState {
    fn new(shared: Arc<SharedState>) -> Self {
        let table = shared.table.subscribe();
        Self {
            shared,
            pool: Rc::default(),
            ends: RefCell::default(),
            retries: RefCell::default(),
            admissions: RefCell::default(),
            absences: RefCell::default(),
            body_bytes: Cell::new(0),
            connections: Cell::new(0),
            table,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> ClockMillis {
        self.shared.clock.now()
    }

    /// Returns what the host believes now.
    pub fn table(&self) -> Arc<ServingTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Returns whether the host serves more than public routes; where it does not, the balancer has others.
    pub fn serves_most_routes(&self) -> bool {
        let serves_keys = self.shared.serves_keys(self.now());
        let table = self.table();
        let asks_for_keys =
            table.routes.as_ref().is_some_and(|routes| routes.organisations().is_some());
        table.is_complete() && (serves_keys || !asks_for_keys)
    }

    /// Returns a receiver that tells when the host believes something else.
    pub fn table_changes(&self) -> watch::Receiver<Arc<ServingTable>> {
        let mut changes = self.table.clone();
        changes.mark_unchanged();
        changes
    }

    /// Takes that an engine gave a first event so long after a send, with so much to read before it.
    pub fn note_reading(&self, service: &ServiceName, prompt: u64, ahead: u64, time: Duration) {
        let mut reading = self.shared.prefill_speeds();
        reading.entry(Arc::clone(service)).or_default().record(prompt, ahead, time);
    }

    /// Returns how long an engine of a service takes to read so many tokens.
    pub fn reading_time(&self, service: &str, tokens: u64) -> Duration {
        let reading = self.shared.prefill_speeds();
        reading.get(service).map_or(Duration::ZERO, |speed| speed.time_for(tokens))
    }

    /// Takes an engine's word that it does not hold a model or adapter, and has the placer told.
    pub fn note_absence(&self, service: &ServiceName, engine: &EngineName, key: &ModelKey) {
        let place = (Arc::clone(engine), Arc::clone(key));
        let now = self.now();
        self.absences.borrow_mut().insert(place, now);
        self.shared.demand().said_absent(service, engine, key, now);
        self.shared.wake_control.notify_one();
    }

    /// Has the placer told that no connection to an engine came about, unless this host is held up itself.
    pub fn note_unreached(&self, service: &ServiceName, engine: &EngineName) {
        if self.pool.borrow().connects_quickly() {
            self.shared.demand().not_reached(service, engine);
            self.shared.wake_control.notify_one();
        }
    }

    /// Returns whether an engine said just now that it does not hold a model or adapter.
    pub fn is_absent(&self, engine: &EngineName, key: &ModelKey) -> bool {
        let place = (Arc::clone(engine), Arc::clone(key));
        let said = self.absences.borrow().get(&place).copied();
        said.is_some_and(|said| self.now().since(said) < ABSENCE_HOLDS)
    }

    /// Returns whether a service is plain: its engines hold no models.
    pub fn is_plain(&self, service: &str) -> bool {
        let table = self.table();
        let entry = table.routes.as_ref().and_then(|routes| routes.service(service));
        entry.is_some_and(|entry| entry.hosting.is_none())
    }

    /// Takes a further send to a service from this host's share of the retry budget.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let allowance = &self.shared.profile.bounds.retry_policy;
        let hosts = self.table().hosts;
        let taken = self.retry_share(service).try_spend(allowance, hosts, self.now());
        let metrics = &self.shared.metrics;
        let counter = if taken { &metrics.retries } else { &metrics.retries_refused };
        counter.inc();
        taken
    }

    /// Returns this host's share of the retry budget of a service.
    fn retry_share(&self, service: &ServiceName) -> RefMut<'_, RetryShare> {
        let first_start = self.shared.profile.first_start;
        let new =
            || if first_start { RetryShare::with_full_credit() } else { RetryShare::default() };
        RefMut::map(self.retries.borrow_mut(), |retries| {
            retries.entry(Arc::clone(service)).or_insert_with(new)
        })
    }

    /// Counts a request's first send, which earns a part of a further one.
    pub fn note_request(&self, service: &ServiceName) {
        self.retry_share(service).record_request(self.now());
    }

    /// Counts what this host has at the engines that hold models, for their placers.
    fn count_work(&self) {
        let table = self.table();
        let Some(routes) = &table.routes else { return };
        let changed = self.pool.borrow_mut().take_changed_work();
        if changed.is_empty() {
            return;
        }
        let mut demand = self.shared.demand();
        for (engine, work, runs) in changed {
            let mut services = routes.services_with_models();
            let service = services.find(|service| table.serves(&service.name, &engine));
            match service {
                Some(service) => demand.engine_work(&service.name, &engine, work, runs),
                None => demand.forget_engine(&engine),
            }
        }
    }

    /// Forgets suspects that are old, and counts the others.
    fn count_suspects(&self, now: ClockMillis) {
        let mut book = self.shared.quarantine();
        book.evict_expired(now);
        let (suspects, held) = book.counts();
        drop(book);
        let metrics = &self.shared.metrics;
        metrics.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
        metrics.held_requests.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    fn clean(&self) {
        let (table, now) = (self.table(), self.now());
        let entries = table.engines.values().flatten();
        let entries: HashMap<&str, &EngineEntry> =
            entries.map(|entry| (&*entry.name, &**entry)).collect();
        let listed = |engine: &str| entries.contains_key(engine);
        let takes_requests = |engine: &str| entries.get(engine).is_some_and(|entry| !entry.leaving);
        self.pool.borrow_mut().clean(listed, takes_requests, now);
        self.absences.borrow_mut().retain(|_, said| now.since(*said) < ABSENCE_HOLDS);
        self.count_suspects(now);
        let allowance = &self.shared.profile.bounds.retry_policy;
        for share in self.retries.borrow_mut().values_mut() {
            share.expire_requests(allowance, now);
        }
    }
}

/// Carries the traffic until the planned stop has ended.
///
/// # Errors
/// Returns that an address can not be listened on.
pub fn run_entry(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, entry(shared))
}

async fn entry(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let traffic = Rc::new(TrafficState::new(Arc::clone(shared)));
    let clients = listen(shared.profile.client_address).await?;
    let readiness = listen(shared.profile.readiness_address).await?;
    match listen(shared.profile.metrics_address).await {
        Ok(metrics) => {
            tokio::task::spawn_local(probe::serve_metrics(Rc::clone(&traffic), metrics));
        }
        // Requests matter more than what is counted of them.
        Err(error) => log::warn!("no metrics at {}: {error}", shared.profile.metrics_address),
    }
    shared.events.write(crate::events::HostEvent::Started {
        clients: clients.local_addr()?,
        peers: shared.profile.peer_address,
    });
    tokio::task::spawn_local(connection::accept_clients(Rc::clone(&traffic), clients));
    tokio::task::spawn_local(probe::serve_readiness(Rc::clone(&traffic), readiness));
    tokio::task::spawn_local(clean_up(Rc::clone(&traffic)));
    tokio::task::spawn_local(tell_work(Rc::clone(&traffic)));
    let mut stopping = shared.stopping.subscribe();
    // The sender lives as long as the shared state, so waiting can not fail.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    finish(&traffic).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse && tries < LISTEN_TRIES => {
                tries += 1;
                tokio::time::sleep(LISTEN_PAUSE).await;
            }
            outcome => return outcome,
        }
    }
}

async fn tell_work(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        traffic.count_work();
    }
}

async fn clean_up(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(CLEAN_INTERVAL).await;
        traffic.clean();
    }
}

/// Waits until all requests have ended, at most as long as the operator gives.
async fn finish(traffic: &TrafficState) {
    let longest = traffic.shared.profile.bounds.stop_grace.saturating_sub(STOP_RESERVE);
    let began = traffic.now();
    loop {
        let waited = traffic.now().since(began);
        let open = traffic.shared.open_requests.load(Ordering::Relaxed);
        if waited >= longest || (waited >= LEAST_STOP && open == 0) {
            return;
        }
        tokio::time::sleep(STOP_LOOK).await;
    }
}
