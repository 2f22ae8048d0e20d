//! The traffic thread: accepts client connections and routes each request to an engine.
//!
//! - [`connection`]: one client connection.
//! - [`prepare`], [`exchange`]: one request.
//! - [`buffer_budget`]: memory for buffered bodies.
//! - [`pick`]: selection of an engine; [`first_event`]: by its expected time to the first event.
//! - [`wait`]: waiting for an adapter, a permit or the end of a cooldown.
//! - [`attempt`]: one send to an engine, after the checks of [`preflight`].
//! - [`admission`]: load shedding for services without models.
//! - [`resend`]: after an engine's error response.
//! - [`resume`]: resuming interrupted streams; [`resumed_stream`]: streams that clients resume.
//! - [`priority`]: admission by priority and by fair share.
//! - [`refusal`]: responses without an engine.
//! - [`quarantine`]: requests whose engines terminated.
//! - [`host_load`]: this host's own load.
//! - [`links`]: checks of this host's links to engines; [`tunnels`]: connections for other hosts.
//! - [`relay`], [`stream`]: passing responses and event streams to the client.
//! - [`body_end`]: how the body of an engine's response ended.

pub mod links;
pub mod local_response;
pub mod attempt;
pub mod body_end;
pub mod buffer_budget;
pub mod preflight;
pub mod connection;
pub mod deadline;
pub mod exchange;
pub mod first_event;
pub mod forward;
pub mod host_load;
pub mod relay;
pub mod permit;
pub mod pick;
pub mod admission;
pub mod prepare;
pub mod priority;
pub mod probe;
pub mod quarantine;
pub mod request_log;
pub mod refusal;
pub mod resend;
pub mod resume;
pub mod resumed_stream;
pub mod stream;
pub mod load_wait;
pub mod tunnels;
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
        concurrency_limit::ConcurrencyLimit, connection_share::ConnectionShare,
        host_load::HostLoad, priority_admission::PriorityAdmission, quarantine::TraitKind,
        retry_share::RetryShare,
    },
};
use reelreel_http::ByteCounter;
use tokio::{net::TcpListener, runtime::Builder, sync::watch, task::LocalSet};

use crate::{
    engines::{EnginePool, end_detection::EndDetector, tunnel::TunnelClient},
    host::SharedState,
    table::ServingTable,
    traffic::buffer_budget::BufferBudget,
};

/// Interval at which expired idle connections and stale state are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which this host's work at engines is reported to the placers.
///
/// Well below the load time of an adapter, so that a slot whose last run has ended is soon reused.
const WORK_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before binding to an address in use is retried.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of retries of a bind.
const BIND_RETRY_LIMIT: u32 = 30;

/// Minimum time that a stopping host keeps serving, for clients that the balancer still sends.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2600);

/// Part of the operator's grace period that is not spent on draining.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// Interval at which a stopping host checks whether it has drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an engine's report that it lacks a model or adapter overrides the serving table.
const ABSENCE_TTL: Duration = Duration::from_millis(120);

/// State shared by the tasks of the traffic thread.
pub struct TrafficState {
    /// State shared by the host's threads.
    pub shared: Arc<SharedState>,
    /// The connections to engines.
    pub pool: Rc<RefCell<EnginePool>>,
    /// Interrupted runs, until it is known whether their engine terminated.
    pub end_detector: RefCell<EndDetector>,
    /// This host's share of each service's retry budget.
    retry_shares: RefCell<HashMap<ServiceName, RetryShare>>,
    /// This host's shares of the connections to engines.
    pub connection_shares: RefCell<HashMap<EngineName, ConnectionShare>>,
    /// Admission control of each service without models.
    pub admissions: RefCell<HashMap<ServiceName, AdmissionController>>,
    /// Admission by priority of each service with models.
    pub priorities: RefCell<HashMap<ServiceName, PriorityAdmission>>,
    /// Models and adapters that engines reported as not loaded, with the time of the report.
    absent_copies: RefCell<HashMap<(EngineName, ModelKey), ClockMillis>>,
    /// Memory for the buffered request bodies.
    pub request_buffers: Rc<BufferBudget>,
    /// Memory for the buffered response bodies. Apart from that of requests, which hold theirs until
    /// their responses are complete and would otherwise wait for each other.
    pub response_buffers: Rc<BufferBudget>,
    /// Number of open client connections.
    pub connections: Cell<usize>,
    /// Bytes of connections to clients and engines.
    pub link_bytes: ByteCounter,
    /// The use of this host's own resources.
    host_load: RefCell<HostLoad>,
    /// Limits the open requests while these are used up.
    concurrency_limit: RefCell<ConcurrencyLimit>,
    /// When the load was last logged.
    load_logged_at: Cell<ClockMillis>,
    /// Number of client connections that have a request, or are new.
    busy_connections: Cell<usize>,
    /// Number of tunnels served for other hosts.
    pub tunnels: Cell<usize>,
    table: watch::Receiver<Arc<ServingTable>>,
}

impl TrafficState {
    fn new(shared: Arc<SharedState>) -> Self {
        let table = shared.table.subscribe();
        let buffer_limit = shared.profile.max_body_bytes;
        let tunnels = TunnelClient {
            links: Arc::clone(&shared.links),
            metrics: shared.metrics.tunnels.clone(),
            sent_bytes: shared.metrics.peer_sent_bytes.clone(),
        };
        let link_bytes = ByteCounter::default();
        let addresses = Arc::clone(&shared.codecs.addresses);
        let pool = EnginePool::new(addresses, tunnels, link_bytes.clone());
        let link_mbps = shared.profile.capacity.bandwidth_mbps;
        let host_load = HostLoad::new(link_mbps, shared.profile.max_connections);
        Self {
            shared,
            pool: Rc::new(RefCell::new(pool)),
            end_detector: RefCell::default(),
            retry_shares: RefCell::default(),
            connection_shares: RefCell::default(),
            admissions: RefCell::default(),
            priorities: RefCell::default(),
            absent_copies: RefCell::default(),
            request_buffers: BufferBudget::new(buffer_limit),
            response_buffers: BufferBudget::new(buffer_limit),
            connections: Cell::new(0),
            link_bytes,
            host_load: RefCell::new(host_load),
            concurrency_limit: RefCell::default(),
            load_logged_at: Cell::default(),
            busy_connections: Cell::new(0),
            tunnels: Cell::new(0),
            table,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> ClockMillis {
        self.shared.clock.now()
    }

    /// Returns the current serving table.
    pub fn table(&self) -> Arc<ServingTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Returns whether the host can serve every route, including those that require a key, and
    /// reaches engines.
    ///
    /// A host that can't reports itself as not ready, so that the balancer uses other hosts.
    pub fn serves_all_routes(&self) -> bool {
        let serves_keys = self.shared.serves_keys(self.now());
        let table = self.table();
        let has_keyed_routes =
            table.routes.as_ref().is_some_and(|routes| routes.organisations().is_some());
        table.is_complete()
            && (serves_keys || !has_keyed_routes)
            && self.shared.links.reaches_engines(self.now())
    }

    /// Returns whether what slow readers make this host hold is bounded by its memory.
    pub fn bounds_slow_readers(&self) -> bool {
        let table = self.table();
        table.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts())
    }

    /// Returns a receiver that is notified of the next serving table.
    pub fn table_changes(&self) -> watch::Receiver<Arc<ServingTable>> {
        let mut changes = self.table.clone();
        changes.mark_unchanged();
        changes
    }

    /// Records the time from a send to the first event, for a prompt with other tokens queued
    /// before it.
    pub fn record_prefill_time(
        &self,
        service: &ServiceName,
        prompt_tokens: u64,
        tokens_ahead: u64,
        time: Duration,
    ) {
        let mut speeds = self.shared.prefill_speeds();
        speeds.entry(Arc::clone(service)).or_default().record(prompt_tokens, tokens_ahead, time);
    }

    /// Returns the estimated prefill time of a number of tokens at an engine of a service.
    pub fn prefill_time_for(&self, service: &str, tokens: u64) -> Duration {
        let speeds = self.shared.prefill_speeds();
        speeds.get(service).map_or(Duration::ZERO, |speed| speed.time_for(tokens))
    }

    /// Records that an engine reported not to have loaded a model or adapter, and reports it to the
    /// placer.
    pub fn record_absence(&self, service: &ServiceName, engine: &EngineName, key: &ModelKey) {
        let copy = (Arc::clone(engine), Arc::clone(key));
        let now = self.now();
        self.absent_copies.borrow_mut().insert(copy, now);
        self.shared.demand().record_absence(service, engine, key, now);
        self.shared.wake_control.notify_one();
    }

    /// Reports to its placer that an engine could not be connected to, while others could.
    ///
    /// Not reported while connecting is slow in general: the cause may then be this host.
    pub fn report_unreachable(&self, engine: &EngineName) {
        if !self.pool.borrow().connects_quickly() {
            return;
        }
        let table = self.table();
        let service = table.engines.keys().find(|service| table.serves(service, engine));
        if let Some(service) = service {
            self.shared.demand().record_unreachable(service, engine);
            self.shared.wake_control.notify_one();
        }
    }

    /// Returns whether an engine recently reported not to have loaded a model or adapter.
    pub fn is_absent(&self, engine: &EngineName, key: &ModelKey) -> bool {
        !self.absence_remaining(engine, key).is_zero()
    }

    /// Returns for how long an engine's report that it lacks a model or adapter still holds; zero
    /// if there is none.
    pub fn absence_remaining(&self, engine: &EngineName, key: &ModelKey) -> Duration {
        let copy = (Arc::clone(engine), Arc::clone(key));
        let reported_at = self.absent_copies.borrow().get(&copy).copied();
        reported_at.map_or(Duration::ZERO, |reported_at| {
            ABSENCE_TTL.saturating_sub(self.now().since(reported_at))
        })
    }

    /// Returns whether the engines of a service are backend servers without models.
    pub fn has_no_models(&self, service: &str) -> bool {
        let table = self.table();
        let entry = table.routes.as_ref().and_then(|routes| routes.service(service));
        entry.is_some_and(|entry| entry.hosting.is_none())
    }

    /// Spends one retry from this host's share of a service's retry budget.
    ///
    /// Returns false if none is left.
    pub fn try_spend_retry(&self, service: &ServiceName) -> bool {
        let allowance = &self.shared.profile.bounds.retry_policy;
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

    /// Records the first send of a request, which earns a fraction of a retry.
    pub fn record_request(&self, service: &ServiceName) {
        self.retry_share(service).record_request(self.now());
    }

    /// Reports this host's work at engines with models to their placers.
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
                Some(service) => demand.set_engine_work(&service.name, &engine, work, runs),
                None => demand.forget_engine(&engine),
            }
        }
    }

    /// Drops expired suspects and updates the metrics of the remaining ones.
    fn update_suspect_metrics(&self, now: ClockMillis) {
        let mut quarantine = self.shared.quarantine();
        quarantine.evict_expired(now);
        let (suspects, _) = quarantine.counts();
        let held_requests = quarantine.quarantined_count(TraitKind::Request);
        let held_parts = quarantine.quarantined_count(TraitKind::PromptPart);
        drop(quarantine);
        let metrics = &self.shared.metrics.quarantine;
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        metrics.suspects.set(count(suspects));
        metrics.held_requests.set(count(held_requests));
        metrics.held_parts.set(count(held_parts));
    }

    fn update_buffer_metrics(&self) {
        let held = self.request_buffers.held() + self.response_buffers.held();
        self.shared.metrics.buffered_bytes.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    fn clean_up(&self) {
        let (table, now) = (self.table(), self.now());
        let entries = table.engines.values().flatten();
        let entries: HashMap<&str, &EngineEntry> =
            entries.map(|entry| (&*entry.name, &**entry)).collect();
        let listed = |engine: &str| entries.contains_key(engine);
        let accepts_requests =
            |engine: &str| entries.get(engine).is_some_and(|entry| !entry.leaving);
        let mut pool = self.pool.borrow_mut();
        pool.clean_up(listed, accepts_requests, now);
        let unconnected = i64::try_from(pool.unconnected_engines()).unwrap_or(i64::MAX);
        drop(pool);
        self.connection_shares.borrow_mut().retain(|engine, _| listed(engine));
        self.shared.metrics.unconnected_engines.set(unconnected);
        self.absent_copies
            .borrow_mut()
            .retain(|_, reported_at| now.since(*reported_at) < ABSENCE_TTL);
        self.update_suspect_metrics(now);
        self.update_buffer_metrics();
        let allowance = &self.shared.profile.bounds.retry_policy;
        for share in self.retry_shares.borrow_mut().values_mut() {
            share.expire_requests(allowance, now);
        }
    }
}

/// Runs the traffic thread until a planned stop has completed or the host has ended.
///
/// # Errors
/// Returns the error of an address that can't be bound.
pub fn run_traffic(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(shared))
}

async fn run(shared: &Arc<SharedState>) -> std::io::Result<()> {
    let traffic = Rc::new(TrafficState::new(Arc::clone(shared)));
    let clients = bind_with_retry(shared.profile.client_address).await?;
    let readiness = bind_with_retry(shared.profile.readiness_address).await?;
    match bind_with_retry(shared.profile.metrics_address).await {
        Ok(metrics) => {
            tokio::task::spawn_local(probe::serve_metrics(Rc::clone(&traffic), metrics));
        }
        // Requests are served without metrics too.
        Err(error) => {
            log::warn!("no metrics endpoint at {}: {error}", shared.profile.metrics_address);
        }
    }
    shared.events.write(crate::events::HostEvent::Started {
        clients: clients.local_addr()?,
        peers: shared.profile.peer_address,
    });
    tokio::task::spawn_local(connection::accept_clients(Rc::clone(&traffic), clients));
    tokio::task::spawn_local(probe::serve_readiness(Rc::clone(&traffic), readiness));
    tokio::task::spawn_local(clean_up_periodically(Rc::clone(&traffic)));
    tokio::task::spawn_local(report_work_periodically(Rc::clone(&traffic)));
    tokio::task::spawn_local(links::monitor_links(Rc::clone(&traffic)));
    tokio::task::spawn_local(host_load::monitor_load(Rc::clone(&traffic)));
    if let Some(sockets) = shared.take_tunnel_receiver() {
        tokio::task::spawn_local(tunnels::serve_tunnels(Rc::clone(&traffic), sockets));
    }
    tokio::select! {
        () = stop_gracefully(&traffic) => {}
        () = shared.wait_until_ended() => {}
    }
    Ok(())
}

/// Waits for a planned stop, and until it has completed.
async fn stop_gracefully(traffic: &TrafficState) {
    let mut stopping = traffic.shared.stopping.subscribe();
    // Can't fail: the shared state holds the sender.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    drain(traffic).await;
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

/// Waits until all requests have completed or the grace period is nearly over.
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
