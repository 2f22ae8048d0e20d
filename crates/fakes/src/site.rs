//! Several hosts against the fakes, moved on from one entry of a queue to the next.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis, NodeConfig, NodeCore, NodeEvent, NodeOrder,
    clock::HybridStamp,
    engine::{EngineOrder, OrderResult, ResidencyPolicy, ValuePolicy},
    id::{EngineId, HallId, HostId, RequestId},
    message::PeerMessage,
    node::{
        HostChange, HostEntry, HostKind, LogStream, NodeReading, NodeTimes, ServerFacts, ServerId,
    },
    settings::{ChangeRecord, SettingsFold, fold::LogRecord},
};

use crate::{
    engine::{EngineShape, FakeEngine},
    evidence::Evidence,
    fault::{FaultPlan, PlannedFault, StepKind},
    host::{FakeHost, HostInput},
    log::FakeLog,
    store::{FakeStore, StoreLoad},
};

/// The wall clock at time zero, in milliseconds since the Unix epoch.
pub(crate) const WALL_START: u64 = 1_800_000_000_000;

/// How often a host's control thread is told that time has passed, in milliseconds.
const TICK: u64 = 100;

/// How often a host asks the log and the host list, in milliseconds.
const POLL: u64 = 500;

/// How long a message takes within a hall and between halls, in milliseconds.
pub(crate) const NEAR: u64 = 1;
pub(crate) const FAR: u64 = 2;

/// A call by a caller.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// The host it goes to; the balancer picks a ready one where it is `None`.
    pub host: Option<HostId>,
    /// The adapter as service/organisation/adapter; empty for the plain service.
    pub adapter: String,
    /// The version, where the caller names one.
    pub version: Option<u32>,
    /// The idempotency key.
    pub key: Option<String>,
    /// What the caller says of repeating it.
    pub repeatable: Option<bool>,
    /// How long it waits for the first token, in milliseconds.
    pub patience: u64,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// A switch that breaks one mechanism, to show that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteMutation {
    /// Engines do not check tokens although the host list says that they do, and holders report
    /// every end as clean.
    IgnoreFence,
    /// A broken exchange is taken for one that never began.
    BrokenMeansNotRun,
    /// Every host reads its own claims first.
    OwnClaimsFirst,
    /// Nobody shows that a backend server is leaving.
    HideLeaving,
    /// A stopping host exits at once.
    ExitAtOnce,
    /// Hosts read the settings stream in different orders.
    ShuffleSettings,
    /// An answer goes to whichever request waits first, instead of the one it is for.
    AnswerFirstWaiting,
    /// Requests are run on another version than the one they named.
    WrongVersion,
}

/// What a site is made of.
#[derive(Clone)]
pub struct SiteShape {
    /// Hosts and their halls.
    pub hosts: Vec<(HostId, HallId)>,
    /// Engines.
    pub engines: Vec<EngineShape>,
    /// Plain servers and their halls.
    pub servers: Vec<(ServerId, HallId)>,
    /// The service of the plain servers.
    pub plain_service: String,
    /// Loads a second of the weight store.
    pub loads_per_second: f64,
    /// The hosts' times.
    pub times: NodeTimes,
    /// How loads are valued.
    pub policy: Arc<dyn ResidencyPolicy>,
    /// Seeds everything.
    pub seed: u64,
    /// Whether messages between hosts take time at all; policies are measured without.
    pub mutation: Option<SiteMutation>,
}

impl SiteShape {
    /// Makes a shape with nothing in it.
    pub fn new(seed: u64) -> Self {
        Self {
            hosts: Vec::new(),
            engines: Vec::new(),
            servers: Vec::new(),
            plain_service: String::from("orders"),
            loads_per_second: 3.0,
            times: NodeTimes::default(),
            policy: Arc::new(ValuePolicy),
            seed,
            mutation: None,
        }
    }
}

/// A plain server.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) hall: HallId,
    pub(crate) running: BTreeMap<RequestId, usize>,
}

/// What the site's scripts do.
#[derive(Debug, Clone)]
pub enum SiteAction {
    /// Publishes a change.
    Publish(ChangeRecord),
    /// Begins a host's planned stop; it comes back 15 s after it ended.
    DrainHost(HostId),
    /// Begins an engine's planned stop; it comes back 10 s after it ended.
    LeaveEngine(EngineId),
    /// Kills a host; it comes back after that many milliseconds.
    KillHost(HostId, u64),
    /// Restarts an engine with nothing loaded.
    RestartEngine(EngineId),
    /// Switches the store off for that many milliseconds.
    StoreAway(u64),
}

#[derive(Debug, Clone)]
pub(crate) enum Arrival {
    Tick(HostId, u64),
    Poll(HostId, u64),
    ReadLog(HostId, u64, LogStream),
    Input(HostId, u64, HostInput),
    Peer { from: HostId, to: HostId, stamp: HybridStamp, message: PeerMessage },
    Order { host: HostId, life: u64, order: EngineOrder },
    AskReport { host: HostId, life: u64, engine: EngineId },
    Request { host: HostId, life: u64, order: reelreel_core::node::DispatchOrder },
    FirstToken { backend: u32, incarnation: u64, request: RequestId },
    Finish { backend: u32, incarnation: u64, request: RequestId },
    StoreCheck,
    Append { host: HostId, life: u64, stream: LogStream, payload: Vec<u8>, ticket: u64 },
    Call(CallerCall),
    Act(SiteAction),
    EndFault(PlannedFault, FaultTarget),
    Return(HostId),
    EngineGone(EngineId),
    EngineBack(EngineId),
}

/// Whom a fault struck.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultTarget {
    pub(crate) host: Option<HostId>,
    pub(crate) engine: Option<EngineId>,
    pub(crate) request: Option<RequestId>,
    pub(crate) hall: Option<HallId>,
}

#[derive(Debug)]
struct QueueEntry {
    at: u64,
    order: u64,
    arrival: Arrival,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Faults that hold now; several of a kind may overlap.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) load_fails: u32,
    pub(crate) order_answer_lost: u32,
    pub(crate) order_late: u32,
    pub(crate) order_given_up: u32,
    pub(crate) store_away: u32,
    pub(crate) store_slow: u32,
    pub(crate) log_away: u32,
    pub(crate) log_slow: u32,
    pub(crate) append_lost: u32,
    pub(crate) hosts_stale: u32,
    pub(crate) doubled: u32,
    pub(crate) late: u32,
    pub(crate) disorder: u32,
    pub(crate) lossy: u32,
    pub(crate) cut_halls: Vec<HallId>,
}

/// Hosts, engines, servers, log and store in one queue of what comes next.
pub struct FakeSite {
    /// Milliseconds since the start.
    pub now: u64,
    pub(crate) shape: SiteShape,
    pub(crate) rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    entries: u64,
    pub(crate) hosts: BTreeMap<HostId, FakeHost>,
    /// The engines.
    pub engines: BTreeMap<EngineId, FakeEngine>,
    pub(crate) servers: BTreeMap<ServerId, FakeServer>,
    /// The log.
    pub log: FakeLog,
    /// The weight store.
    pub store: FakeStore,
    pub(crate) store_loads: BTreeMap<StoreLoad, (HostId, u64, EngineOrder)>,
    host_changes: Vec<(u64, HostChange)>,
    pub(crate) plan: FaultPlan,
    pub(crate) active: ActiveFaults,
    /// What was seen.
    pub evidence: Evidence,
    /// The fold over the log, against which hosts are judged.
    pub reference: SettingsFold,
    /// What arrived at engines, line by line, once `keep_trace` is set.
    pub trace: Vec<String>,
    /// Whether `trace` is kept.
    pub keep_trace: bool,
    /// Measures a message on its way, in bytes.
    pub measure: Option<fn(&PeerMessage) -> u64>,
    /// Halls that are part of the site.
    pub(crate) halls: BTreeSet<HallId>,
}

impl FakeSite {
    /// Makes a site and starts its hosts.
    pub fn new(shape: SiteShape, plan: FaultPlan) -> Self {
        let mut site = Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(shape.seed),
            queue: BinaryHeap::new(),
            entries: 0,
            hosts: shape
                .hosts
                .iter()
                .map(|(host, hall)| (*host, FakeHost::new(*host, *hall)))
                .collect(),
            engines: shape
                .engines
                .iter()
                .map(|engine| (engine.engine, FakeEngine::new(engine.clone())))
                .collect(),
            servers: shape
                .servers
                .iter()
                .map(|(server, hall)| {
                    let running = BTreeMap::new();
                    (*server, FakeServer { hall: *hall, running })
                })
                .collect(),
            log: FakeLog::default(),
            store: FakeStore::new(shape.loads_per_second),
            store_loads: BTreeMap::new(),
            host_changes: Vec::new(),
            plan,
            active: ActiveFaults::default(),
            evidence: Evidence::default(),
            reference: SettingsFold::default(),
            measure: None,
            trace: Vec::new(),
            keep_trace: false,
            halls: shape.hosts.iter().map(|(_, hall)| *hall).collect(),
            shape,
        };
        site.first_host_list();
        let hosts: Vec<HostId> = site.hosts.keys().copied().collect();
        for host in hosts {
            site.start_host(host);
        }
        site
    }

    fn first_host_list(&mut self) {
        let mut entries = Vec::new();
        for host in self.hosts.values() {
            let (id, hall) = (host.host, host.hall);
            let kind = HostKind::Entry { host: id, hall, address: format!("host-{id}") };
            entries.push(HostEntry { kind, leaving: false });
        }
        for engine in self.engines.values() {
            entries.push(HostEntry { kind: HostKind::Engine(engine.facts()), leaving: false });
        }
        for (server, fake) in &self.servers {
            let facts = ServerFacts {
                server: *server,
                hall: fake.hall,
                service: self.shape.plain_service.clone(),
                address: format!("server-{server}"),
                incarnation: 1,
            };
            entries.push(HostEntry { kind: HostKind::Server(facts), leaving: false });
        }
        self.change_hosts(HostChange { entries, ..HostChange::default() });
    }

    /// Changes the host list, which shows it some time later.
    pub(crate) fn change_hosts(&mut self, change: HostChange) {
        const LAG: u64 = 1_500;
        let shown = if self.now == 0 { 0 } else { self.now + LAG };
        self.host_changes.push((shown, change));
    }

    /// Puts something into the queue, `delay` milliseconds from now.
    pub(crate) fn push(&mut self, delay: u64, arrival: Arrival) {
        self.entries += 1;
        let entry = QueueEntry { at: self.now + delay, order: self.entries, arrival };
        self.queue.push(Reverse(entry));
    }

    /// Has a caller call at a time.
    pub fn call_at(&mut self, at: u64, call: CallerCall) {
        self.push(at.saturating_sub(self.now), Arrival::Call(call));
    }

    /// Has something done at a time.
    pub fn act_at(&mut self, at: u64, action: SiteAction) {
        self.push(at.saturating_sub(self.now), Arrival::Act(action));
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(entry)) = self.queue.peek() {
            if entry.at > end {
                break;
            }
            let Some(Reverse(entry)) = self.queue.pop() else { break };
            self.now = entry.at;
            self.take(entry.arrival);
        }
        self.now = end;
    }

    fn take(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Tick(host, life) => self.tick(host, life),
            Arrival::Poll(host, life) => self.poll(host, life),
            Arrival::ReadLog(host, life, stream) => self.read_log(host, life, stream),
            Arrival::Input(host, life, input) => self.input(host, life, input),
            Arrival::Peer { from, to, stamp, message } => {
                self.deliver(from, to, stamp, message);
            }
            Arrival::Order { host, life, order } => self.engine_order(host, life, order),
            Arrival::AskReport { host, life, engine } => self.engine_report(host, life, engine),
            Arrival::Request { host, life, order } => self.backend_request(host, life, &order),
            Arrival::FirstToken { backend, incarnation, request } => {
                self.first_token(backend, incarnation, request);
            }
            Arrival::Finish { backend, incarnation, request } => {
                self.finish(backend, incarnation, request);
            }
            Arrival::StoreCheck => self.store_check(),
            Arrival::Append { host, life, stream, payload, ticket } => {
                self.append(host, life, stream, payload, ticket);
            }
            Arrival::Call(call) => self.call(call),
            Arrival::Act(action) => self.act(action),
            Arrival::EndFault(planned, target) => self.end_fault(planned, target),
            Arrival::Return(host) => self.start_host(host),
            Arrival::EngineGone(engine) => self.engine_gone(engine),
            Arrival::EngineBack(engine) => self.engine_back(engine),
        }
    }

    pub(crate) fn reading(&self, host: HostId) -> NodeReading {
        let skew = self.hosts.get(&host).map_or(0, |host| host.wall_skew);
        NodeReading {
            now: ClockMillis::from_millis(self.now + 1),
            wall_millis: (WALL_START + self.now).saturating_add_signed(skew),
        }
    }

    /// Starts a host's next life.
    pub(crate) fn start_host(&mut self, id: HostId) {
        let reading = self.reading(id);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.core.is_some() {
            return;
        }
        host.life += 1;
        host.best_revision = host.best_revision.max(host.last_revision);
        host.last_revision = 0;
        host.frozen = false;
        host.drained = false;
        host.waiting.clear();
        host.exchanges.clear();
        host.follows.clear();
        host.hosts_version = 0;
        let incarnation = WALL_START + self.now + 1;
        let config = NodeConfig::new(id, host.hall, incarnation)
            .peer_address(format!("host-{id}"))
            .seed(self.shape.seed ^ u64::from(id) ^ (host.life << 32))
            .times(self.shape.times)
            .policy(Arc::clone(&self.shape.policy));
        host.incarnation = incarnation;
        let life = host.life;
        let mut core = NodeCore::new(config);
        let orders = core.start(reading);
        host.core = Some(core);
        self.carry_out(id, orders);
        let jitter = self.rng.random_range(0..TICK);
        self.push(jitter, Arrival::Tick(id, life));
        self.push(jitter / 2, Arrival::Poll(id, life));
    }

    /// Ends a host's life at once. Callers and backend servers see their connections close.
    pub(crate) fn kill_host(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.core = None;
        host.frozen = false;
        host.exchanges.clear();
        host.waiting.clear();
        for caller in self.evidence.callers.values_mut() {
            if caller.host == id && caller.told.is_none() {
                caller.hung_up = true;
            }
        }
    }

    fn tick(&mut self, id: HostId, life: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.life == life) else { return };
        if host.core.is_none() {
            return;
        }
        let runs = host.runs();
        self.push(TICK, Arrival::Tick(id, life));
        if runs {
            self.handle(id, NodeEvent::Tick);
        }
    }

    fn poll(&mut self, id: HostId, life: u64) {
        let Some(host) = self.hosts.get(&id).filter(|host| host.life == life) else { return };
        if host.core.is_none() {
            return;
        }
        self.push(POLL, Arrival::Poll(id, life));
        for stream in LogStream::ALL {
            self.read_log(id, life, stream);
        }
        self.read_hosts(id, life);
    }

    /// Says whether a host reaches the platform.
    pub(crate) fn reaches_platform(&self, id: HostId) -> bool {
        let hall = self.hosts.get(&id).map(|host| host.hall);
        hall.is_some_and(|hall| !self.active.cut_halls.contains(&hall))
    }

    fn read_log(&mut self, id: HostId, life: u64, stream: LogStream) {
        let slow = if self.active.log_slow > 0 { 2_500 } else { 1 };
        let away = self.active.log_away > 0 || !self.reaches_platform(id);
        let mutation = self.shape.mutation;
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.life == life) else { return };
        let Some(from) = host.follows.get(&stream).copied() else { return };
        if away {
            let event = NodeEvent::LogAway(stream);
            self.push(1, Arrival::Input(id, life, HostInput::Event(event)));
            return;
        }
        let (mut records, end) = self.log.read(stream, from);
        if let Some(last) = records.last() {
            host.follows.insert(stream, last.offset + 1);
        }
        if mutation == Some(SiteMutation::ShuffleSettings) && stream == LogStream::Settings {
            swap_payloads(&mut records, id);
        }
        if mutation == Some(SiteMutation::OwnClaimsFirst) && stream == LogStream::Claims {
            own_claims_only(&mut records, id);
        }
        if !records.is_empty() {
            match stream {
                LogStream::Claims => self.step(StepKind::ClaimReads, Some(id), None, None),
                LogStream::Settings => self.step(StepKind::PublicationReads, Some(id), None, None),
                LogStream::Snapshots => {}
            }
        }
        let first = self.log.first(stream);
        let event = NodeEvent::LogRead { stream, first, records, end };
        self.push(slow, Arrival::Input(id, life, HostInput::Event(event)));
    }

    fn read_hosts(&mut self, id: HostId, life: u64) {
        if self.active.hosts_stale > 0 || !self.reaches_platform(id) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let shown = self.host_changes.iter().take_while(|(at, _)| *at <= now).count();
        let fresh: Vec<HostChange> = self.host_changes[host.hosts_version.min(shown)..shown]
            .iter()
            .map(|(_, change)| change.clone())
            .collect();
        host.hosts_version = shown;
        for change in fresh {
            let event = NodeEvent::Hosts(change);
            self.push(1, Arrival::Input(id, life, HostInput::Event(event)));
        }
    }

    /// Hands a host an event and carries out what follows.
    pub(crate) fn handle(&mut self, id: HostId, event: NodeEvent) {
        let reading = self.reading(id);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some(core) = host.core.as_mut() else { return };
        let orders = core.handle(reading, event);
        self.note_revision(id);
        self.carry_out(id, orders);
    }

    fn note_revision(&mut self, id: HostId) {
        let at = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some(core) = host.core.as_ref() else { return };
        let revision = core.settings().revision();
        if revision != host.last_revision {
            host.last_revision = revision;
            let life = host.life;
            self.evidence.forced.push(crate::evidence::ForceRecord {
                host: id,
                life,
                revision,
                at,
            });
        }
    }

    pub(crate) fn input(&mut self, id: HostId, life: u64, input: HostInput) {
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.life == life) else { return };
        if host.frozen {
            host.waiting.push_back(input);
            return;
        }
        match input {
            HostInput::Event(event) => self.handle(id, event),
            HostInput::Send(order) => self.send_request(id, order),
        }
    }

    /// Wakes a frozen host. What its traffic threads were about to write leaves first.
    pub(crate) fn thaw(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if !host.frozen {
            return;
        }
        host.frozen = false;
        let life = host.life;
        let (sends, events): (Vec<HostInput>, Vec<HostInput>) = std::mem::take(&mut host.waiting)
            .into_iter()
            .partition(|input| matches!(input, HostInput::Send(_)));
        for input in sends.into_iter().chain(events) {
            self.input(id, life, input);
        }
    }

    /// Counts a step, and strikes with what is planned for it.
    pub(crate) fn step(
        &mut self,
        kind: StepKind,
        host: Option<HostId>,
        engine: Option<EngineId>,
        request: Option<RequestId>,
    ) {
        let count = self.evidence.steps.entry(kind).or_default();
        *count += 1;
        let count = *count;
        for planned in self.plan.strike(kind, count) {
            let hall = host.and_then(|host| self.hosts.get(&host)).map(|host| host.hall);
            self.begin_fault(planned, FaultTarget { host, engine, request, hall });
        }
    }

    fn carry_out(&mut self, id: HostId, orders: Vec<NodeOrder>) {
        let Some(host) = self.hosts.get(&id) else { return };
        let life = host.life;
        for order in orders {
            self.carry_out_one(id, life, order);
        }
    }

    fn carry_out_one(&mut self, id: HostId, life: u64, order: NodeOrder) {
        match order {
            NodeOrder::Send { to, stamp, message, .. } => self.post(id, to, stamp, message),
            NodeOrder::Dispatch(order) => {
                self.push(0, Arrival::Input(id, life, HostInput::Send(order)));
            }
            NodeOrder::Refuse { request, refusal } => self.told(request, &refusal),
            NodeOrder::Order { order, .. } if self.active.order_given_up > 0 => {
                let result = OrderResult::Lost;
                let event = NodeEvent::OrderEnded { order: order.clone(), result };
                self.push(1_000, Arrival::Input(id, life, HostInput::Event(event)));
                let delay = self.rng.random_range(1..5_000);
                // Nobody waits for the answer any more.
                self.push(delay, Arrival::Order { host: id, life: 0, order });
            }
            NodeOrder::Order { order, .. } => {
                self.evidence.orders += 1;
                let late = if self.active.order_late > 0 { 3_000 } else { 0 };
                self.push(NEAR + late, Arrival::Order { host: id, life, order });
            }
            NodeOrder::AskReport { engine, .. } => {
                self.evidence.reports += 1;
                self.push(NEAR, Arrival::AskReport { host: id, life, engine });
            }
            NodeOrder::Append { stream, payload, ticket } => {
                self.evidence.appends += 1;
                let slow = if self.active.log_slow > 0 { 2_500 } else { 2 };
                self.push(slow, Arrival::Append { host: id, life, stream, payload, ticket });
            }
            NodeOrder::Follow { stream, from } => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.follows.insert(stream, from);
                }
                self.push(1, Arrival::ReadLog(id, life, stream));
            }
            NodeOrder::Stopped => self.host_stopped(id),
        }
    }

    /// Puts a message between hosts on its way.
    fn post(&mut self, from: HostId, to: HostId, stamp: HybridStamp, message: PeerMessage) {
        self.evidence.messages += 1;
        self.evidence.message_bytes += self.measure.map_or(0, |measure| measure(&message));
        if self.active.lossy > 0 && self.rng.random_range(0..3) == 0 {
            return;
        }
        let hall = |site: &Self, id: HostId| site.hosts.get(&id).map(|host| host.hall);
        let near = hall(self, from) == hall(self, to);
        let mut delay = if near { NEAR } else { FAR };
        if self.active.late > 0 {
            delay += 2_000;
        }
        if self.active.disorder > 0 {
            delay += self.rng.random_range(0..800);
        }
        if self.active.doubled > 0 {
            let again = delay + self.rng.random_range(0..2_000);
            let message = message.clone();
            self.push(again, Arrival::Peer { from, to, stamp, message });
        }
        self.push(delay, Arrival::Peer { from, to, stamp, message });
    }

    fn deliver(&mut self, from: HostId, to: HostId, stamp: HybridStamp, message: PeerMessage) {
        let (Some(sender), Some(receiver)) = (self.hosts.get(&from), self.hosts.get(&to)) else {
            return;
        };
        let crosses = sender.hall != receiver.hall;
        let cut = |hall: &HallId| self.active.cut_halls.contains(hall);
        if sender.mute > 0 || receiver.deaf > 0 {
            return;
        }
        if crosses && (cut(&sender.hall) || cut(&receiver.hall)) {
            return;
        }
        let life = receiver.life;
        self.step_of_message(to, &message);
        let event = NodeEvent::Peer { from, stamp, message };
        self.input(to, life, HostInput::Event(event));
    }

    fn step_of_message(&mut self, to: HostId, message: &PeerMessage) {
        let (kind, engine, request) = match message {
            PeerMessage::PermitAsk(ask) => {
                (StepKind::AskArrives, Some(ask.engine), Some(ask.request.request))
            }
            PeerMessage::PermitGranted(granted) => {
                (StepKind::GrantArrives, Some(granted.engine), Some(granted.request))
            }
            PeerMessage::PermitDone(done) => {
                (StepKind::DoneArrives, Some(done.engine), Some(done.request))
            }
            PeerMessage::LoadAsk(ask) => (StepKind::TurnAsked, Some(ask.engine), None),
            PeerMessage::LoadGrant(turn) => (StepKind::TurnArrives, Some(turn.engine), None),
            PeerMessage::Heartbeat(_) => (StepKind::HeartbeatArrives, None, None),
            _ => return,
        };
        self.step(kind, Some(to), engine, request);
    }

    /// Picks a host that says it is ready, as the balancer does.
    pub(crate) fn ready_host(&mut self) -> Option<HostId> {
        let ready: Vec<HostId> = self
            .hosts
            .values()
            .filter(|host| host.core.as_ref().is_some_and(NodeCore::is_ready))
            .map(|host| host.host)
            .collect();
        ready.choose(&mut self.rng).copied()
    }

    /// Returns the cores of the hosts that are there.
    pub fn cores(&self) -> impl Iterator<Item = (HostId, &NodeCore)> {
        self.hosts.values().filter_map(|host| Some((host.host, host.core.as_ref()?)))
    }

    /// Keeps a line of what arrived at the fakes, if lines are kept.
    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        if self.keep_trace {
            let line = format!("{} {}", self.now, line());
            self.trace.push(line);
        }
    }

    /// Says whether all planned faults struck.
    pub fn all_struck(&self) -> bool {
        self.plan.struck.len() >= self.plan.faults.len()
    }

    /// Returns a duration as the fakes count it.
    pub fn millis(duration: Duration) -> u64 {
        reelreel_core::clock::duration_millis(duration)
    }
}

/// Gives every other host a stream in which neighbours changed places.
fn swap_payloads(records: &mut [LogRecord], host: HostId) {
    if host.is_multiple_of(2) {
        return;
    }
    for pair in records.chunks_exact_mut(2) {
        let (left, right) = pair.split_at_mut(1);
        std::mem::swap(&mut left[0].payload, &mut right[0].payload);
    }
}

/// Leaves a host nothing but its own claims.
fn own_claims_only(records: &mut [LogRecord], host: HostId) {
    let own = format!("\"request\":\"{host:x}");
    for record in records {
        let text = String::from_utf8_lossy(&record.payload).into_owned();
        if !text.contains(&own) {
            record.payload = b"{\"format\":1}".to_vec();
        }
    }
}
