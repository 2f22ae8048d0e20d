//! The fake site: hosts and fakes driven by a queue of timed events.

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

mod lifecycle;
mod messages;
mod queue;
mod config;

pub use config::{CallerRequest, SiteAction, SiteConfig, SiteMutation};
use queue::QueueEntry;
pub(crate) use queue::{FaultTarget, SiteEvent};

/// The wall clock at time zero, in milliseconds since the Unix epoch.
pub(crate) const WALL_CLOCK_START_MS: u64 = 1_800_000_000_000;

/// The interval between the ticks of a host's control thread, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// The interval at which a host polls the log and the host list, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// The delay of a message within a hall, in milliseconds.
pub(crate) const HALL_DELAY_MS: u64 = 1;

/// The delay of a message between halls, in milliseconds.
pub(crate) const INTER_HALL_DELAY_MS: u64 = 2;

/// A fake server of a plain service.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) hall: HallId,
    pub(crate) running: BTreeMap<RequestId, usize>,
}

/// The number of active faults of each kind.
#[derive(Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) load_fails: u32,
    pub(crate) order_answer_lost: u32,
    pub(crate) order_late: u32,
    pub(crate) order_abandoned: u32,
    pub(crate) store_unavailable: u32,
    pub(crate) store_slow: u32,
    pub(crate) log_unavailable: u32,
    pub(crate) log_slow: u32,
    pub(crate) append_answer_lost: u32,
    pub(crate) host_list_stale: u32,
    pub(crate) message_duplicated: u32,
    pub(crate) message_late: u32,
    pub(crate) message_out_of_order: u32,
    pub(crate) message_lost: u32,
    pub(crate) partitioned_halls: Vec<HallId>,
}

/// A site of hosts, engines, plain servers, a log and a weight store.
pub struct FakeSite {
    /// The simulated time since the start, in milliseconds.
    pub now: u64,
    pub(crate) config: SiteConfig,
    pub(crate) rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    entry_count: u64,
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
    /// The records of what happened.
    pub evidence: Evidence,
    /// The settings that the log holds, with which those of the hosts are compared.
    pub reference: SettingsFold,
    /// Requests and orders that arrived at engines, if `trace_enabled` is set.
    pub trace: Vec<String>,
    /// Whether to record `trace`.
    pub trace_enabled: bool,
    /// Returns the size of a message between hosts, in bytes.
    pub measure: Option<fn(&PeerMessage) -> u64>,
    /// The data halls of the site.
    pub(crate) halls: BTreeSet<HallId>,
}

impl FakeSite {
    /// Creates a site and starts its hosts.
    pub fn new(config: SiteConfig, plan: FaultPlan) -> Self {
        let mut site = Self {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            queue: BinaryHeap::new(),
            entry_count: 0,
            hosts: config
                .hosts
                .iter()
                .map(|(host, hall)| (*host, FakeHost::new(*host, *hall)))
                .collect(),
            engines: config
                .engines
                .iter()
                .map(|engine| (engine.engine, FakeEngine::new(engine.clone())))
                .collect(),
            servers: config
                .servers
                .iter()
                .map(|(server, hall)| {
                    let running = BTreeMap::new();
                    (*server, FakeServer { hall: *hall, running })
                })
                .collect(),
            log: FakeLog::default(),
            store: FakeStore::new(config.loads_per_second),
            store_loads: BTreeMap::new(),
            host_changes: Vec::new(),
            plan,
            active: ActiveFaults::default(),
            evidence: Evidence::default(),
            reference: SettingsFold::default(),
            measure: None,
            trace: Vec::new(),
            trace_enabled: false,
            halls: config.hosts.iter().map(|(_, hall)| *hall).collect(),
            config,
        };
        site.publish_initial_host_list();
        let hosts: Vec<HostId> = site.hosts.keys().copied().collect();
        for host in hosts {
            site.start_host(host);
        }
        site
    }

    pub(crate) fn publish_initial_host_list(&mut self) {
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
                service: self.config.plain_service.clone(),
                address: format!("server-{server}"),
                incarnation: 1,
            };
            entries.push(HostEntry { kind: HostKind::Server(info), leaving: false });
        }
        self.change_host_list(HostListChange { entries, ..HostListChange::default() });
    }

    /// Adds a change to the host list; hosts see it after a lag.
    pub(crate) fn change_host_list(&mut self, change: HostListChange) {
        const HOST_LIST_LAG_MS: u64 = 1_500;
        let visible_at = if self.now == 0 { 0 } else { self.now + HOST_LIST_LAG_MS };
        self.host_changes.push((visible_at, change));
    }

    /// Schedules an event `delay` milliseconds from now.
    pub(crate) fn push(&mut self, delay: u64, event: SiteEvent) {
        self.entry_count += 1;
        let entry = QueueEntry { at: self.now + delay, sequence: self.entry_count, event };
        self.queue.push(Reverse(entry));
    }

    /// Schedules a request from a caller, in milliseconds since the start.
    pub fn schedule_request(&mut self, at: u64, request: CallerRequest) {
        self.push(at.saturating_sub(self.now), SiteEvent::CallerRequest(request));
    }

    /// Schedules an action, in milliseconds since the start.
    pub fn schedule_action(&mut self, at: u64, action: SiteAction) {
        self.push(at.saturating_sub(self.now), SiteEvent::Action(action));
    }

    /// Processes all events up to a time, in milliseconds since the start.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(entry)) = self.queue.peek() {
            if entry.at > end {
                break;
            }
            let Some(Reverse(entry)) = self.queue.pop() else { break };
            self.now = entry.at;
            self.process_event(entry.event);
        }
        self.now = end;
    }

    pub(crate) fn process_event(&mut self, event: SiteEvent) {
        match event {
            SiteEvent::Tick(host, generation) => self.tick(host, generation),
            SiteEvent::Poll(host, generation) => self.poll(host, generation),
            SiteEvent::ReadLog(host, generation, stream) => self.read_log(host, generation, stream),
            SiteEvent::Input(host, generation, input) => {
                self.deliver_input(host, generation, input);
            }
            SiteEvent::Peer { from, to, stamp, message } => {
                self.deliver_message(from, to, stamp, message);
            }
            SiteEvent::Order { host, generation, order } => {
                self.engine_order(host, generation, order);
            }
            SiteEvent::FetchReport { host, generation, engine } => {
                self.engine_report(host, generation, engine);
            }
            SiteEvent::Request { host, generation, dispatch } => {
                self.backend_request(host, generation, &dispatch);
            }
            SiteEvent::FirstToken { backend, incarnation, request } => {
                self.record_first_token(backend, incarnation, request);
            }
            SiteEvent::Finish { backend, incarnation, request } => {
                self.complete_request(backend, incarnation, request);
            }
            SiteEvent::StoreCheck => self.complete_loads(),
            SiteEvent::Append { host, generation, stream, payload, ticket } => {
                self.append(host, generation, stream, payload, ticket);
            }
            SiteEvent::CallerRequest(request) => self.submit_request(request),
            SiteEvent::Action(action) => self.execute_action(action),
            SiteEvent::EndFault(planned, target) => self.end_fault(planned, target),
            SiteEvent::StartHost(host) => self.start_host(host),
            SiteEvent::RemoveEngine(engine) => self.remove_drained_engine(engine),
            SiteEvent::ReturnEngine(engine) => self.return_engine(engine),
        }
    }

    pub(crate) fn clock_reading(&self, host: HostId) -> ClockReading {
        let skew = self.hosts.get(&host).map_or(0, |host| host.wall_skew);
        ClockReading {
            now: ClockMillis::from_millis(self.now + 1),
            wall_millis: (WALL_CLOCK_START_MS + self.now).saturating_add_signed(skew),
        }
    }

    /// Passes an event to a host's core and executes the resulting actions.
    pub(crate) fn handle_core_event(&mut self, id: HostId, event: NodeEvent) {
        let reading = self.clock_reading(id);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some(core) = host.core.as_mut() else { return };
        let actions = core.handle(reading, event);
        self.record_revision_change(id);
        self.execute_core_actions(id, actions);
    }

    pub(crate) fn record_revision_change(&mut self, id: HostId) {
        let at = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some(core) = host.core.as_ref() else { return };
        let revision = core.settings().revision();
        if revision != host.last_revision {
            host.last_revision = revision;
            let generation = host.generation;
            self.evidence.revision_changes.push(crate::evidence::RevisionChange {
                host: id,
                generation,
                revision,
                at,
            });
        }
    }

    pub(crate) fn deliver_input(&mut self, id: HostId, generation: u64, input: HostInput) {
        let Some(host) = self.hosts.get_mut(&id).filter(|host| host.generation == generation)
        else {
            return;
        };
        if host.frozen {
            host.queued_inputs.push_back(input);
            return;
        }
        match input {
            HostInput::Event(event) => self.handle_core_event(id, event),
            HostInput::Send(dispatch) => self.send_request(id, dispatch),
        }
    }

    /// Unfreezes a host. The pending writes of its traffic threads are processed before its events.
    pub(crate) fn unfreeze_host(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if !host.frozen {
            return;
        }
        host.frozen = false;
        let generation = host.generation;
        let (sends, events): (Vec<HostInput>, Vec<HostInput>) =
            std::mem::take(&mut host.queued_inputs)
                .into_iter()
                .partition(|input| matches!(input, HostInput::Send(_)));
        for input in sends.into_iter().chain(events) {
            self.deliver_input(id, generation, input);
        }
    }

    /// Counts an occurrence of a step and injects the faults planned for it.
    pub(crate) fn record_step(
        &mut self,
        kind: StepKind,
        host: Option<HostId>,
        engine: Option<EngineId>,
        request: Option<RequestId>,
    ) {
        let count = self.evidence.step_counts.entry(kind).or_default();
        *count += 1;
        let count = *count;
        for planned in self.plan.take_due_faults(kind, count) {
            let hall = host.and_then(|host| self.hosts.get(&host)).map(|host| host.hall);
            self.begin_fault(planned, FaultTarget { host, engine, request, hall });
        }
    }

    pub(crate) fn execute_core_actions(&mut self, id: HostId, actions: Vec<NodeAction>) {
        let Some(host) = self.hosts.get(&id) else { return };
        let generation = host.generation;
        for action in actions {
            self.execute_core_action(id, generation, action);
        }
    }

    pub(crate) fn execute_core_action(&mut self, id: HostId, generation: u64, action: NodeAction) {
        match action {
            NodeAction::SendMessage { to, stamp, message, .. } => {
                self.send_message(id, to, stamp, message);
            }
            NodeAction::Dispatch(dispatch) => {
                self.push(0, SiteEvent::Input(id, generation, HostInput::Send(dispatch)));
            }
            NodeAction::Refuse { request, refusal } => self.record_refusal(request, &refusal),
            NodeAction::SendOrder { order, .. } if self.active.order_abandoned > 0 => {
                let result = OrderResult::NoAnswer;
                let event = NodeEvent::OrderEnded { order: order.clone(), result };
                self.push(1_000, SiteEvent::Input(id, generation, HostInput::Event(event)));
                let delay = self.rng.random_range(1..5_000);
                // The generation 0 matches no host, so the answer is dropped.
                self.push(delay, SiteEvent::Order { host: id, generation: 0, order });
            }
            NodeAction::SendOrder { order, .. } => {
                self.evidence.orders += 1;
                let extra_delay = if self.active.order_late > 0 { 3_000 } else { 0 };
                self.push(
                    HALL_DELAY_MS + extra_delay,
                    SiteEvent::Order { host: id, generation, order },
                );
            }
            NodeAction::FetchReport { engine, .. } => {
                self.evidence.report_fetches += 1;
                self.push(HALL_DELAY_MS, SiteEvent::FetchReport { host: id, generation, engine });
            }
            NodeAction::Append { stream, payload, ticket } => {
                self.evidence.appends += 1;
                let delay = if self.active.log_slow > 0 { 2_500 } else { 2 };
                self.push(
                    delay,
                    SiteEvent::Append { host: id, generation, stream, payload, ticket },
                );
            }
            NodeAction::Follow { stream, from } => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.read_offsets.insert(stream, from);
                }
                self.push(1, SiteEvent::ReadLog(id, generation, stream));
            }
            NodeAction::Unfollow { stream } => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.read_offsets.remove(&stream);
                }
            }
            NodeAction::Stopped => self.host_stopped(id),
        }
    }

    /// Picks a random ready host, as the load balancer does.
    pub(crate) fn ready_host(&mut self) -> Option<HostId> {
        let ready: Vec<HostId> = self
            .hosts
            .values()
            .filter(|host| host.core.as_ref().is_some_and(NodeCore::is_ready))
            .map(|host| host.host)
            .collect();
        ready.choose(&mut self.rng).copied()
    }

    /// Returns the cores of the hosts that have not been killed.
    pub fn cores(&self) -> impl Iterator<Item = (HostId, &NodeCore)> {
        self.hosts.values().filter_map(|host| Some((host.host, host.core.as_ref()?)))
    }

    /// Appends a line to the trace, if it is enabled.
    pub(crate) fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if self.trace_enabled {
            let line = format!("{} {}", self.now, line());
            self.trace.push(line);
        }
    }

    /// Returns whether all planned faults have been injected.
    pub fn all_faults_injected(&self) -> bool {
        self.plan.injected.len() >= self.plan.faults.len()
    }

    /// Converts a duration to milliseconds.
    pub fn millis(duration: Duration) -> u64 {
        reelreel_core::clock::duration_millis(duration)
    }
}
