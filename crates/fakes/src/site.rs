//! Several hosts against the fakes, moved on from one entry of a queue to the next.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis, NodeAction, NodeCore, NodeEvent,
    engine::{EngineOrder, OrderResult},
    id::{EngineId, HallId, HostId, RequestId},
    message::PeerMessage,
    node::{ClockReading, HostEntry, HostKind, HostListChange, ServerId, ServerInfo},
    settings::SettingsFold,
};

use crate::{
    engine::FakeEngine,
    evidence::Evidence,
    fault::{FaultPlan, StepKind},
    host::{FakeHost, HostInput},
    log::FakeLog,
    store::{FakeStore, StoreLoad},
};

mod lives;
mod post;
mod queue;
mod shape;

use queue::QueueEntry;
pub(crate) use queue::{Arrival, FaultTarget};
pub use shape::{CallerRequest, SiteAction, SiteConfig, SiteMutation};

/// The wall clock at time zero, in milliseconds since the Unix epoch.
pub(crate) const WALL_START: u64 = 1_800_000_000_000;

/// How often a host's control thread is told that time has passed, in milliseconds.
const TICK: u64 = 100;

/// How often a host asks the log and the host list, in milliseconds.
const POLL: u64 = 500;

/// How long a message takes within a hall and between halls, in milliseconds.
pub(crate) const NEAR: u64 = 1;
pub(crate) const FAR: u64 = 2;

/// A plain server.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) hall: HallId,
    pub(crate) running: BTreeMap<RequestId, usize>,
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
    pub(crate) shape: SiteConfig,
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
    host_changes: Vec<(u64, HostListChange)>,
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
    pub fn new(shape: SiteConfig, plan: FaultPlan) -> Self {
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

    pub(crate) fn first_host_list(&mut self) {
        let mut entries = Vec::new();
        for host in self.hosts.values() {
            let (id, hall) = (host.host, host.hall);
            let kind = HostKind::Entry { host: id, hall, address: format!("host-{id}") };
            entries.push(HostEntry { kind, leaving: false });
        }
        for engine in self.engines.values() {
            entries.push(HostEntry { kind: HostKind::Engine(engine.info()), leaving: false });
        }
        for (server, fake) in &self.servers {
            let info = ServerInfo {
                server: *server,
                hall: fake.hall,
                service: self.shape.plain_service.clone(),
                address: format!("server-{server}"),
                incarnation: 1,
            };
            entries.push(HostEntry { kind: HostKind::Server(info), leaving: false });
        }
        self.change_hosts(HostListChange { entries, ..HostListChange::default() });
    }

    /// Changes the host list, which shows it some time later.
    pub(crate) fn change_hosts(&mut self, change: HostListChange) {
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
    pub fn schedule_request(&mut self, at: u64, call: CallerRequest) {
        self.push(at.saturating_sub(self.now), Arrival::Call(call));
    }

    /// Has something done at a time.
    pub fn schedule_action(&mut self, at: u64, action: SiteAction) {
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

    pub(crate) fn take(&mut self, arrival: Arrival) {
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
                self.record_first_token(backend, incarnation, request);
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

    pub(crate) fn reading(&self, host: HostId) -> ClockReading {
        let skew = self.hosts.get(&host).map_or(0, |host| host.wall_skew);
        ClockReading {
            now: ClockMillis::from_millis(self.now + 1),
            wall_millis: (WALL_START + self.now).saturating_add_signed(skew),
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

    pub(crate) fn note_revision(&mut self, id: HostId) {
        let at = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some(core) = host.core.as_ref() else { return };
        let revision = core.settings().revision();
        if revision != host.last_revision {
            host.last_revision = revision;
            let life = host.life;
            self.evidence.revision_changes.push(crate::evidence::RevisionChange {
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
        let count = self.evidence.step_counts.entry(kind).or_default();
        *count += 1;
        let count = *count;
        for planned in self.plan.strike(kind, count) {
            let hall = host.and_then(|host| self.hosts.get(&host)).map(|host| host.hall);
            self.begin_fault(planned, FaultTarget { host, engine, request, hall });
        }
    }

    pub(crate) fn carry_out(&mut self, id: HostId, orders: Vec<NodeAction>) {
        let Some(host) = self.hosts.get(&id) else { return };
        let life = host.life;
        for order in orders {
            self.carry_out_one(id, life, order);
        }
    }

    pub(crate) fn carry_out_one(&mut self, id: HostId, life: u64, order: NodeAction) {
        match order {
            NodeAction::SendMessage { to, stamp, message, .. } => self.post(id, to, stamp, message),
            NodeAction::Dispatch(order) => {
                self.push(0, Arrival::Input(id, life, HostInput::Send(order)));
            }
            NodeAction::Refuse { request, refusal } => self.record_refusal(request, &refusal),
            NodeAction::SendOrder { order, .. } if self.active.order_given_up > 0 => {
                let result = OrderResult::NoAnswer;
                let event = NodeEvent::OrderEnded { order: order.clone(), result };
                self.push(1_000, Arrival::Input(id, life, HostInput::Event(event)));
                let delay = self.rng.random_range(1..5_000);
                // Nobody waits for the answer any more.
                self.push(delay, Arrival::Order { host: id, life: 0, order });
            }
            NodeAction::SendOrder { order, .. } => {
                self.evidence.orders += 1;
                let late = if self.active.order_late > 0 { 3_000 } else { 0 };
                self.push(NEAR + late, Arrival::Order { host: id, life, order });
            }
            NodeAction::FetchReport { engine, .. } => {
                self.evidence.report_fetches += 1;
                self.push(NEAR, Arrival::AskReport { host: id, life, engine });
            }
            NodeAction::Append { stream, payload, ticket } => {
                self.evidence.appends += 1;
                let slow = if self.active.log_slow > 0 { 2_500 } else { 2 };
                self.push(slow, Arrival::Append { host: id, life, stream, payload, ticket });
            }
            NodeAction::Follow { stream, from } => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.follows.insert(stream, from);
                }
                self.push(1, Arrival::ReadLog(id, life, stream));
            }
            NodeAction::Unfollow { stream } => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.follows.remove(&stream);
                }
            }
            NodeAction::Stopped => self.host_stopped(id),
        }
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
    pub fn all_faults_injected(&self) -> bool {
        self.plan.struck.len() >= self.plan.faults.len()
    }

    /// Returns a duration as the fakes count it.
    pub fn millis(duration: Duration) -> u64 {
        reelreel_core::clock::duration_millis(duration)
    }
}
