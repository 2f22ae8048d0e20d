//! Connection pool of the engines, with this host's view of their health and work.

mod connect;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis, ClockSource,
    chart::LinkState,
    fleet::{
        EngineEntry, EngineName, HallName, ModelKey, ServiceName,
        engine_links::ConnectFailure,
        engine_pace::{EnginePace, ServicePace},
        health::{EngineHealth, EngineOutcome},
        reachability::{ConnectTimeEstimator, HallReachability},
        work::EngineWork,
    },
};
use reelreel_http::{ByteCounter, HttpStream};

use crate::{
    codec::AddressResolver,
    engines::{open_request::OpenRequest, sent_ids::SentIds, tunnel::TunnelClient},
    links::{HostLinks, TunnelGuard},
    timer::sleep_until,
};

/// How long a peer may leave data or keep-alive probes unacknowledged before its connection fails.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long an idle connection is kept if the engine announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Fraction of the engine's keep-alive time after which a connection is not reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Maximum idle time of a connection for a request that must not run twice.
const RECENT_IDLE_LIMIT: Duration = Duration::from_millis(1500);

/// How long a connection, and all others to engines, must have been silent, on a host that is
/// isolated, for the connection to count as lost.
///
/// Longer than the pauses of busy engines: a response that goes on must not be interrupted, since its
/// client would lose what the engine still sends.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Interval at which a silent connection is looked at again while others bring bytes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of idle connections to one engine.
const IDLE_CONNECTION_LIMIT: usize = 16;

/// How a connection reaches its engine.
#[derive(Debug)]
struct ConnectionPath {
    opened_at: ClockMillis,
    /// The tunnel, if the connection leads through another host.
    tunnel: Option<TunnelGuard>,
}

/// A connection to an engine that is not counted.
struct OpenedStream {
    stream: HttpStream,
    path: ConnectionPath,
    sent_ids: SentIds,
}

impl OpenedStream {
    /// Creates a connection that has carried no requests.
    fn new(stream: HttpStream, path: ConnectionPath) -> Self {
        Self { stream, path, sent_ids: SentIds::default() }
    }
}

struct IdleConnection {
    opened: OpenedStream,
    idle_since: ClockMillis,
    expires_at: ClockMillis,
}

#[derive(Default)]
struct EngineState {
    idle: Vec<IdleConnection>,
    health: EngineHealth,
    pace: EnginePace,
    /// Why the last connect failed, if it did.
    connect_failure: Option<ConnectFailure>,
    /// The engine's data hall, known after the first connect.
    hall: Option<HallName>,
    /// This host's work at the engine.
    work: EngineWork,
    /// Number of this host's open requests at the engine, by model or adapter.
    requests_by_model: BTreeMap<ModelKey, u32>,
    /// Whether this host's work has changed since it was last reported.
    work_changed: bool,
}

/// Connection pool of the engines, with this host's view of their health and work.
pub struct EnginePool {
    addresses: Arc<dyn AddressResolver>,
    links: Arc<HostLinks>,
    tunnels: TunnelClient,
    engines: HashMap<EngineName, EngineState>,
    halls: HashMap<HallName, HallReachability>,
    /// What is usual for the streams of each service.
    paces: HashMap<ServiceName, ServicePace>,
    connect_time: ConnectTimeEstimator,
    /// When failures were last found to be due to this host's links.
    links_at_fault_until: ClockMillis,
    /// Bytes of direct connections to engines.
    link_bytes: ByteCounter,
}

/// A connection to an engine, counted as an open request while it exists.
pub struct EngineConnection {
    request_count: RequestCountGuard,
    /// The engine.
    pub entry: Arc<EngineEntry>,
    /// The connection.
    pub stream: HttpStream,
    path: ConnectionPath,
    /// Whether the connection was used before.
    pub reused: bool,
    sent_ids: SentIds,
    /// Counts the request that was sent as open at the engine.
    open_request: Option<OpenRequest>,
    /// When the request was sent, or bytes of its response were last received.
    active_at: Rc<Cell<ClockMillis>>,
}

impl EnginePool {
    /// Creates an empty pool.
    pub fn new(
        addresses: Arc<dyn AddressResolver>,
        tunnels: TunnelClient,
        link_bytes: ByteCounter,
    ) -> Self {
        Self {
            addresses,
            links: Arc::clone(&tunnels.links),
            tunnels,
            engines: HashMap::new(),
            halls: HashMap::new(),
            paces: HashMap::new(),
            connect_time: ConnectTimeEstimator::default(),
            links_at_fault_until: ClockMillis::default(),
            link_bytes,
        }
    }

    /// Returns an engine's health and this host's work there.
    pub fn health_and_work(&self, engine: &str) -> (EngineHealth, EngineWork) {
        self.engines.get(engine).map(|state| (state.health.clone(), state.work)).unwrap_or_default()
    }

    /// Returns by how much an engine presently takes longer than usual.
    pub fn slowness(&self, engine: &str, now: ClockMillis) -> f64 {
        self.engines.get(engine).map_or(1.0, |state| state.pace.slowness(now))
    }

    /// Returns the mean time of a service's streams from the first event to the end, or zero if it
    /// is unknown.
    pub fn mean_run(&self, service: &str) -> Duration {
        self.paces.get(service).map_or(Duration::ZERO, ServicePace::mean_run)
    }

    /// Records a pause in a stream, in which this host waited for the engine for `waited`.
    pub fn record_pause(
        &mut self,
        entry: &EngineEntry,
        pause: Duration,
        waited: Duration,
        now: ClockMillis,
    ) {
        let service = self.paces.entry(Arc::clone(&entry.service)).or_default();
        if let Some(state) = self.engines.get_mut(&entry.name) {
            state.pace.record_pause(pause, waited, service, now);
        }
    }

    /// Records the time of a complete stream from the first event to the end.
    pub fn record_run(&mut self, service: &ServiceName, time: Duration) {
        self.paces.entry(Arc::clone(service)).or_default().record_run(time);
    }

    /// Returns this host's work, with its open requests by model or adapter, at the engines where
    /// it has changed since the last call.
    pub fn take_changed_work(&mut self) -> Vec<(EngineName, EngineWork, BTreeMap<ModelKey, u32>)> {
        let mut changed = Vec::new();
        for (engine, state) in &mut self.engines {
            if std::mem::take(&mut state.work_changed) {
                changed.push((Arc::clone(engine), state.work, state.requests_by_model.clone()));
            }
        }
        changed
    }

    /// Records the outcome of a send for an engine's health.
    pub fn record_outcome(
        &mut self,
        engine: &EngineName,
        outcome: EngineOutcome,
        now: ClockMillis,
    ) {
        let state = self.engines.entry(Arc::clone(engine)).or_default();
        state.health.record(outcome, now);
        let responded = matches!(
            outcome,
            EngineOutcome::Answered(_) | EngineOutcome::ErrorResponse | EngineOutcome::Refused
        );
        if responded
            && let Some(hall) = &state.hall
            && let Some(reachability) = self.halls.get_mut(hall)
        {
            reachability.record_success();
        }
    }

    /// Returns whether an engine's data hall appears to be unreachable from this host.
    pub fn is_hall_unreachable(&self, entry: &EngineEntry, now: ClockMillis) -> bool {
        self.halls.get(&entry.hall).is_some_and(|reachability| reachability.is_in_backoff(now))
    }

    /// Returns whether connects are quick in general, so that a failed one indicates a fault of its
    /// engine.
    pub fn connects_quickly(&self) -> bool {
        self.connect_time.is_quick()
    }

    fn record_connect(&mut self, entry: &EngineEntry, time: Duration) {
        self.connect_time.record(time);
        self.set_connect_failure(&entry.name, None);
        self.halls.entry(Arc::clone(&entry.hall)).or_default().record_success();
    }

    fn record_connect_failure(
        &mut self,
        entry: &EngineEntry,
        error: &std::io::Error,
        now: ClockMillis,
    ) {
        let failure = ConnectFailure::from(error);
        self.set_connect_failure(&entry.name, Some(failure));
        if self.links.is_isolated() {
            return;
        }
        if failure == ConnectFailure::TimedOut {
            self.connect_time.record_timeout();
            self.halls.entry(Arc::clone(&entry.hall)).or_default().record_timeout(&entry.name, now);
        }
    }

    /// Forgets connect times, so that connects over a slow link get the maximum timeout.
    pub fn forget_connect_times(&mut self) {
        self.connect_time = ConnectTimeEstimator::default();
    }

    /// Records that a connect, begun at `began`, failed. One that was begun before this host's links were found to be at fault
    /// says nothing of the engine.
    pub fn record_unreachable(
        &mut self,
        engine: &EngineName,
        began: ClockMillis,
        now: ClockMillis,
    ) {
        if began >= self.links_at_fault_until {
            self.record_outcome(engine, EngineOutcome::Unreachable, now);
        }
    }

    /// Forgets failures that were due to this host's links.
    pub fn forget_link_failures(&mut self, now: ClockMillis) {
        self.links_at_fault_until = now;
        self.halls.clear();
        self.engines.values_mut().for_each(|state| state.health.forget_failures());
    }

    fn set_connect_failure(&mut self, engine: &EngineName, failure: Option<ConnectFailure>) {
        let state = self.engines.entry(Arc::clone(engine)).or_default();
        state.connect_failure = failure;
    }

    /// Returns the number of engines to which the last connect failed.
    pub fn unconnected_engines(&self) -> usize {
        self.engines.values().filter(|state| state.connect_failure.is_some()).count()
    }

    /// Closes expired connections and those to engines that accept no more requests, and drops
    /// engines that are not listed.
    pub fn clean_up(
        &mut self,
        listed: impl Fn(&str) -> bool,
        accepts_requests: impl Fn(&str) -> bool,
        now: ClockMillis,
    ) {
        self.engines.retain(|engine, state| {
            let accepts = accepts_requests(engine);
            state
                .idle
                .retain(|idle| accepts && now < idle.expires_at && idle.opened.stream.is_idle());
            listed(engine) || state.work.open > 0 || state.work_changed
        });
    }

    fn take_idle(
        &mut self,
        engine: &str,
        options: &ConnectOptions,
        now: ClockMillis,
    ) -> Option<OpenedStream> {
        let isolated = self.links.is_isolated();
        let lost = isolated && self.links.monitor().has_lost_open_connections(now);
        let state = self.engines.get_mut(engine)?;
        let is_candidate = |idle: &IdleConnection| !idle.opened.sent_ids.contains(&options.id);
        while let Some(index) = state.idle.iter().rposition(is_candidate) {
            let idle = state.idle.remove(index);
            let idle_time = now.since(idle.idle_since);
            let usable =
                now < idle.expires_at && (!options.recent_only || idle_time < RECENT_IDLE_LIMIT);
            let by_usable_path = if idle.opened.path.tunnel.is_some() { isolated } else { !lost };
            if usable && by_usable_path && idle.opened.stream.is_idle() {
                return Some(idle.opened);
            }
        }
        None
    }

    fn keep_idle(
        &mut self,
        entry: &EngineEntry,
        opened: OpenedStream,
        time: Duration,
        now: ClockMillis,
    ) {
        let state = self.engines.entry(Arc::clone(&entry.name)).or_default();
        let has_room = state.idle.len() < IDLE_CONNECTION_LIMIT && !opened.sent_ids.is_full();
        if !entry.leaving && has_room {
            state.idle.push(IdleConnection { opened, idle_since: now, expires_at: now + time });
        }
    }

    /// Returns an idle connection to an engine that has not carried the request, or a new one.
    ///
    /// A request that must not run twice gets a recently used or a new connection: the engine might
    /// close one that has been idle for long at the moment of the send.
    ///
    /// # Errors
    /// Returns the error of a failed connect; nothing was sent.
    pub async fn connect(
        pool: &Rc<RefCell<Self>>,
        entry: &Arc<EngineEntry>,
        options: ConnectOptions,
        now: ClockMillis,
    ) -> std::io::Result<EngineConnection> {
        let idle = pool.borrow_mut().take_idle(&entry.name, &options, now);
        let hall = Some(Arc::clone(&entry.hall));
        pool.borrow_mut().engines.entry(Arc::clone(&entry.name)).or_default().hall = hall;
        let reused = idle.is_some();
        let request_count = RequestCountGuard::new(pool, &entry.name, options);
        let opened = match idle {
            Some(opened) => opened,
            None => Self::open(pool, entry, now).await?,
        };
        let OpenedStream { stream, path, sent_ids } = opened;
        Ok(EngineConnection {
            request_count,
            entry: Arc::clone(entry),
            stream,
            path,
            reused,
            sent_ids,
            open_request: None,
            active_at: Rc::new(Cell::new(now)),
        })
    }
}

/// Options of a connection for one request.
#[derive(Debug, Clone)]
pub struct ConnectOptions {
    /// The request's id, which a connection carries at most once.
    pub id: String,
    /// Whether an idle connection must have been used recently: for a request that must not run
    /// twice.
    pub recent_only: bool,
    /// The requested model or adapter.
    pub key: Option<ModelKey>,
    /// Number of prompt tokens that the engine is expected to prefill.
    pub prefill_tokens: u64,
}

/// Counts a request in the work of its engine while it exists.
struct RequestCountGuard {
    pool: Rc<RefCell<EnginePool>>,
    engine: EngineName,
    key: Option<ModelKey>,
    prefill_tokens: u64,
}

impl RequestCountGuard {
    fn new(pool: &Rc<RefCell<EnginePool>>, engine: &EngineName, options: ConnectOptions) -> Self {
        let mut locked = pool.borrow_mut();
        let state = locked.engines.entry(Arc::clone(engine)).or_default();
        state.work =
            state.work + EngineWork { open: 1, pending_prefill_tokens: options.prefill_tokens };
        if let Some(key) = &options.key {
            *state.requests_by_model.entry(Arc::clone(key)).or_default() += 1;
        }
        state.work_changed = true;
        drop(locked);
        Self {
            pool: Rc::clone(pool),
            engine: Arc::clone(engine),
            key: options.key,
            prefill_tokens: options.prefill_tokens,
        }
    }

    /// Removes the prompt from the engine's pending prefill.
    fn record_prefill_done(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if let Some(state) = self.pool.borrow_mut().engines.get_mut(&self.engine) {
            state.work.pending_prefill_tokens =
                state.work.pending_prefill_tokens.saturating_sub(prefill_tokens);
            state.work_changed |= prefill_tokens > 0;
        }
    }
}

impl Drop for RequestCountGuard {
    fn drop(&mut self) {
        self.record_prefill_done();
        let mut pool = self.pool.borrow_mut();
        let Some(state) = pool.engines.get_mut(&self.engine) else { return };
        state.work.open = state.work.open.saturating_sub(1);
        state.work_changed = true;
        let Some(key) = &self.key else { return };
        if let Some(open) = state.requests_by_model.get_mut(key) {
            *open -= 1;
            if *open == 0 {
                state.requests_by_model.remove(key);
            }
        }
    }
}

impl EngineConnection {
    /// Records that the prefill is done, when the first bytes of the response body have arrived.
    pub fn record_prefill_done(&mut self) {
        self.request_count.record_prefill_done();
    }

    /// Returns the host that the connection leads through, if it is a tunnel.
    pub fn tunnel_host(&self) -> Option<SocketAddr> {
        self.path.tunnel.as_ref().map(|tunnel| tunnel.address)
    }

    /// Returns whether the connection has carried a request with this id.
    pub fn has_carried(&self, id: &str) -> bool {
        self.sent_ids.contains(id)
    }

    /// Records that the request with this id is sent.
    pub fn record_sent(&mut self, id: &str, open_request: OpenRequest, now: ClockMillis) {
        self.sent_ids.record(id);
        self.open_request = Some(open_request);
        self.active_at.set(now);
        if self.path.tunnel.is_none() {
            let links = Arc::clone(&self.request_count.pool.borrow().links);
            links.monitor().record_send(&self.entry.name, now);
        }
    }

    /// Records that bytes of a response were received.
    pub fn record_received(&self, now: ClockMillis) {
        self.active_at.set(now);
        if self.path.tunnel.is_none() {
            let links = Arc::clone(&self.request_count.pool.borrow().links);
            links.record_received(self.path.opened_at, now);
        }
    }

    /// Records that the connection failed before a response; a new one that does is as useless as
    /// one that could not be opened.
    pub fn record_interrupted(&self, now: ClockMillis) {
        if self.path.tunnel.is_none() && !self.reused {
            let links = Arc::clone(&self.request_count.pool.borrow().links);
            links.record_failure(&self.entry.name, ConnectFailure::Reset, now);
        }
    }

    /// Completes when the connection has become useless: this host is isolated, and no connection to
    /// an engine has brought bytes for a second.
    pub fn lost(&self, clock: &Arc<dyn ClockSource>) -> impl Future<Output = ()> + use<> {
        let links = Arc::clone(&self.request_count.pool.borrow().links);
        let direct = self.path.tunnel.is_none();
        let (clock, active_at) = (Arc::clone(clock), Rc::clone(&self.active_at));
        async move {
            let mut changes = links.state_changes();
            // Waiting for a state can't fail: the links hold the sender.
            while direct && changes.wait_for(|state| *state == LinkState::Isolated).await.is_ok() {
                let silent_at = active_at.get() + SILENCE_LIMIT;
                tokio::select! {
                    () = sleep_until(&*clock, silent_at) => {}
                    _ = changes.wait_for(|state| *state != LinkState::Isolated) => continue,
                }
                let now = clock.now();
                if active_at.get() + SILENCE_LIMIT > now {
                    continue;
                }
                let monitor = links.monitor().clone();
                if monitor.has_lost_open_connections(now) && monitor.silence(now) >= SILENCE_LIMIT {
                    return;
                }
                // Other connections bring bytes.
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            std::future::pending::<()>().await;
        }
    }

    /// Returns the connection to the pool; `keep_alive` is the engine's announced keep-alive time.
    pub fn keep(self, keep_alive: Option<Duration>, now: ClockMillis) {
        let Self { request_count, entry, mut stream, path, sent_ids, .. } = self;
        stream.release_buffer();
        let time = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_FRACTION));
        let opened = OpenedStream { stream, path, sent_ids };
        request_count.pool.borrow_mut().keep_idle(&entry, opened, time, now);
    }

    /// Closes the connection, so that the engine cancels a running request.
    pub fn close(self) {
        drop(self);
    }
}
