//! The traffic thread: client connections, requests, and the way of each to an engine.
//!
//! Read [`connection`] for one client connection, [`prepare`] and [`exchange`] for one request,
//! [`pick`] for where it goes, [`wait`] for what happens until its adapter is there, [`attempt`] for
//! one send, [`admission`] for services that carry less than they are asked for, [`refusal`] for how it ends without an engine's answer, [`quarantine`] for requests under which engines ended, [`relay`] for how an answer is
//! passed on, and [`stream`] for answers in events.

pub mod local_response;
pub mod attempt;
pub mod preflight;
pub mod connection;
pub mod deadline;
pub mod exchange;
pub mod forward;
pub mod relay;
pub mod permit;
pub mod pick;
pub mod admission;
pub mod prepare;
pub mod probe;
pub mod quarantine;
pub mod request_log;
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
    engines::{EnginePool, end_detection::EndDetector},
    host::SharedState,
    table::ServingTable,
};

/// How often connections that rested too long are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// How often the work at engines is counted for the placers: a fifth of what an adapter takes to load,
/// so that a place whose last run has ended is soon used again.
const WORK_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait before an address is listened on again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How often listening is tried before the process gives up.
const BIND_RETRY_LIMIT: u32 = 30;

/// How long a stopping host stays for clients that the balancer still sends.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2600);

/// What a planned stop leaves of the operator's grace.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// How often a stopping host looks whether it may end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an engine's word that it does not hold something is believed against the table.
const ABSENCE_TTL: Duration = Duration::from_millis(120);

/// What the traffic thread's tasks share.
pub struct TrafficState {
    /// What the host's threads share.
    pub shared: Arc<SharedState>,
    /// Connections to engines.
    pub pool: Rc<RefCell<EnginePool>>,
    /// Runs that broke off, until it is known whether their engine ended.
    pub end_detector: RefCell<EndDetector>,
    /// The share of each service's retry budget.
    retry_shares: RefCell<HashMap<ServiceName, RetryShare>>,
    /// How much of what it is asked for this host sends on to each plain service.
    pub admissions: RefCell<HashMap<ServiceName, AdmissionController>>,
    /// What engines said that they do not hold, and when.
    absent_copies: RefCell<HashMap<(EngineName, ModelKey), ClockMillis>>,
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
            end_detector: RefCell::default(),
            retry_shares: RefCell::default(),
            admissions: RefCell::default(),
            absent_copies: RefCell::default(),
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
    pub fn serves_all_routes(&self) -> bool {
        let serves_keys = self.shared.serves_keys(self.now());
        let table = self.table();
        let has_keyed_routes =
            table.routes.as_ref().is_some_and(|routes| routes.organisations().is_some());
        table.is_complete() && (serves_keys || !has_keyed_routes)
    }

    /// Returns a receiver that tells when the host believes something else.
    pub fn table_changes(&self) -> watch::Receiver<Arc<ServingTable>> {
        let mut changes = self.table.clone();
        changes.mark_unchanged();
        changes
    }

    /// Takes that an engine gave a first event so long after a send, with so much to read before it.
    pub fn record_prefill_time(
        &self,
        service: &ServiceName,
        prompt_tokens: u64,
        tokens_ahead: u64,
        time: Duration,
    ) {
        let mut speeds = self.shared.reading();
        speeds.entry(Arc::clone(service)).or_default().record(prompt_tokens, tokens_ahead, time);
    }

    /// Returns how long an engine of a service takes to read so many tokens.
    pub fn prefill_time_for(&self, service: &str, tokens: u64) -> Duration {
        let speeds = self.shared.reading();
        speeds.get(service).map_or(Duration::ZERO, |speed| speed.time_for(tokens))
    }

    /// Takes an engine's word that it does not hold a model or adapter, and has the placer told.
    pub fn record_absence(&self, service: &ServiceName, engine: &EngineName, key: &ModelKey) {
        let copy = (Arc::clone(engine), Arc::clone(key));
        let now = self.now();
        self.absent_copies.borrow_mut().insert(copy, now);
        self.shared.demand().said_absent(service, engine, key, now);
        self.shared.wake_control.notify_one();
    }

    /// Has the placer told that no connection to an engine came about, unless this host is held up itself.
    pub fn record_unreachable(&self, service: &ServiceName, engine: &EngineName) {
        if self.pool.borrow().connects_quickly() {
            self.shared.demand().not_reached(service, engine);
            self.shared.wake_control.notify_one();
        }
    }

    /// Returns whether an engine said just now that it does not hold a model or adapter.
    pub fn is_absent(&self, engine: &EngineName, key: &ModelKey) -> bool {
        let copy = (Arc::clone(engine), Arc::clone(key));
        let reported_at = self.absent_copies.borrow().get(&copy).copied();
        reported_at.is_some_and(|reported_at| self.now().since(reported_at) < ABSENCE_TTL)
    }

    /// Returns whether a service is plain: its engines hold no models.
    pub fn has_no_models(&self, service: &str) -> bool {
        let table = self.table();
        let entry = table.routes.as_ref().and_then(|routes| routes.service(service));
        entry.is_some_and(|entry| entry.hosting.is_none())
    }

    /// Takes a further send to a service from this host's share of the retry budget.
    pub fn try_spend_retry(&self, service: &ServiceName) -> bool {
        let allowance = &self.shared.profile.bounds.retries;
        let hosts = self.table().hosts;
        let spent = self.retry_share(service).try_spend(allowance, hosts, self.now());
        let metrics = &self.shared.metrics;
        let counter = if spent { &metrics.retries } else { &metrics.retries_refused };
        counter.inc();
        spent
    }

    /// Returns this host's share of the retry budget of a service.
    fn retry_share(&self, service: &ServiceName) -> RefMut<'_, RetryShare> {
        let first_start = self.shared.profile.first_start;
        let new =
            || if first_start { RetryShare::with_full_credit() } else { RetryShare::default() };
        RefMut::map(self.retry_shares.borrow_mut(), |shares| {
            shares.entry(Arc::clone(service)).or_insert_with(new)
        })
    }

    /// Counts a request's first send, which earns a part of a further one.
    pub fn record_request(&self, service: &ServiceName) {
        self.retry_share(service).record_request(self.now());
    }

    /// Counts what this host has at the engines that hold models, for their placers.
    fn report_work(&self) {
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
    fn update_suspect_metrics(&self, now: ClockMillis) {
        let mut quarantine = self.shared.quarantine();
        quarantine.forget_old(now);
        let (suspects, held) = quarantine.counts();
        drop(quarantine);
        let metrics = &self.shared.metrics;
        metrics.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
        metrics.held_requests.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    fn clean_up(&self) {
        let (table, now) = (self.table(), self.now());
        let entries = table.engines.values().flatten();
        let entries: HashMap<&str, &EngineEntry> =
            entries.map(|entry| (&*entry.name, &**entry)).collect();
        let listed = |engine: &str| entries.contains_key(engine);
        let takes_requests = |engine: &str| entries.get(engine).is_some_and(|entry| !entry.leaving);
        self.pool.borrow_mut().clean_up(listed, takes_requests, now);
        self.absent_copies
            .borrow_mut()
            .retain(|_, reported_at| now.since(*reported_at) < ABSENCE_TTL);
        self.update_suspect_metrics(now);
        let allowance = &self.shared.profile.bounds.retries;
        for share in self.retry_shares.borrow_mut().values_mut() {
            share.expire_requests(allowance, now);
        }
    }
}

/// Carries the traffic until the planned stop has ended.
///
/// # Errors
/// Returns that an address can not be listened on.
pub fn run_traffic(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(shared))
}

async fn run(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let traffic = Rc::new(TrafficState::new(Arc::clone(shared)));
    let clients = bind_with_retry(shared.profile.clients).await?;
    let readiness = bind_with_retry(shared.profile.readiness).await?;
    match bind_with_retry(shared.profile.metrics).await {
        Ok(metrics) => {
            tokio::task::spawn_local(probe::serve_metrics(Rc::clone(&traffic), metrics));
        }
        // Requests matter more than what is counted of them.
        Err(error) => log::warn!("no metrics at {}: {error}", shared.profile.metrics),
    }
    shared.events.write(crate::events::HostEvent::Started {
        clients: clients.local_addr()?,
        peers: shared.profile.peers,
    });
    tokio::task::spawn_local(connection::accept_clients(Rc::clone(&traffic), clients));
    tokio::task::spawn_local(probe::serve_readiness(Rc::clone(&traffic), readiness));
    tokio::task::spawn_local(clean_up_periodically(Rc::clone(&traffic)));
    tokio::task::spawn_local(report_work_periodically(Rc::clone(&traffic)));
    let mut stopping = shared.stopping.subscribe();
    // The sender lives as long as the shared state, so waiting can not fail.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    drain(&traffic).await;
    Ok(())
}

async fn bind_with_retry(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse && attempts < BIND_RETRY_LIMIT =>
            {
                attempts += 1;
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            outcome => return outcome,
        }
    }
}

async fn report_work_periodically(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(WORK_REPORT_INTERVAL).await;
        traffic.report_work();
    }
}

async fn clean_up_periodically(traffic: Rc<TrafficState>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        traffic.clean_up();
    }
}

/// Waits until all requests have ended, at most as long as the operator gives.
async fn drain(traffic: &TrafficState) {
    let max_wait = traffic.shared.profile.bounds.stop_grace.saturating_sub(SHUTDOWN_RESERVE);
    let started_at = traffic.now();
    loop {
        let waited = traffic.now().since(started_at);
        let open = traffic.shared.open_requests.load(Ordering::Relaxed);
        if waited >= max_wait || (waited >= MIN_DRAIN_TIME && open == 0) {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
