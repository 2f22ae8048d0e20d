//! The control thread, the only owner of the host's state.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use reelreel_core::{
    ClockSource, NodeAction, NodeCore, NodeEvent, RequestRefusal,
    engine::{
        EngineOrder, EngineReport, OrderAction, OrderResult, ReportedAdapter,
        ReportedUnknownAdapter,
    },
    id::{EngineId, RequestId},
    node::{ClockReading, NodeCounters, NodeStatus, RequestDispatch},
    request::ArrivedRequest,
    settings::{ChangeVerdict, SettingsSnapshot},
    timeline::TimelineEvent,
};
use tokio::sync::mpsc::UnboundedSender;

use crate::{
    clients::{EngineClient, NamedOrderAction, NamedReport},
    peers::OutgoingMessage,
    platform::{AppendRequest, FollowRequest},
};

/// Interval of [`NodeEvent::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Stack size of a thread that sends one order to an engine.
const ORDER_STACK_BYTES: usize = 192 << 10;

/// The control thread's decision on a request, sent to the request's connection thread.
#[derive(Debug)]
pub enum RequestDecision {
    /// Send it to a backend server, once.
    Dispatch(RequestDispatch),
    /// Respond to the caller with an error.
    Refuse(RequestRefusal),
}

/// A query to the control thread, with the channel for the reply.
pub enum ControlQuery {
    /// The host's state.
    Status(Sender<NodeStatus>),
    /// The timeline.
    Timeline(Sender<Vec<TimelineEvent>>),
    /// The names of all adapters.
    Models(Sender<Vec<String>>),
    /// The counters.
    Counters(Sender<NodeCounters>),
    /// The verdicts on the last settings changes.
    History(Sender<Vec<ChangeVerdict>>),
    /// The settings in force.
    Snapshot(Sender<SettingsSnapshot>),
}

/// An input of the control thread.
pub enum ControlInput {
    /// An event.
    Event(NodeEvent),
    /// A caller's request, with the channel to its connection thread.
    RequestArrived(ArrivedRequest, Sender<RequestDecision>),
    /// An engine's report, with adapter names.
    Report(EngineId, NamedReport),
    /// A query.
    Query(ControlQuery),
}

/// A sender to the control thread, which ends when all senders are dropped.
#[derive(Clone)]
pub struct ControlSender {
    sender: Sender<ControlInput>,
}

impl ControlSender {
    /// Sends an event.
    pub fn send_event(&self, event: NodeEvent) {
        self.send_input(ControlInput::Event(event));
    }

    /// Sends an input.
    pub fn send_input(&self, input: ControlInput) {
        // Fails only during shutdown: otherwise the control thread outlives all senders.
        drop(self.sender.send(input));
    }

    /// Sends a query and waits for the reply; `None` if there is none in time.
    pub fn query<T>(&self, query: impl FnOnce(Sender<T>) -> ControlQuery) -> Option<T> {
        let (sender, receiver) = mpsc::channel();
        self.send_input(ControlInput::Query(query(sender)));
        receiver.recv_timeout(Duration::from_secs(2)).ok()
    }
}

/// The channels and clients through which the control thread executes actions.
pub struct ControlOutputs {
    /// Messages to other entry hosts.
    pub peers: UnboundedSender<OutgoingMessage>,
    /// Appends to the log.
    pub appends: Sender<AppendRequest>,
    /// Changes of the offsets at which log streams are read.
    pub follows: Sender<FollowRequest>,
    /// Requests for engine reports.
    pub reports: Sender<(EngineId, String)>,
    /// The client that sends orders to engines.
    pub engines: Arc<dyn EngineClient>,
    /// Signals that a planned stop is complete.
    pub stopped: Sender<()>,
}

struct ControlThread {
    core: NodeCore,
    clock: Arc<dyn ClockSource>,
    outputs: ControlOutputs,
    decisions: HashMap<RequestId, Sender<RequestDecision>>,
    sender: ControlSender,
}

/// Creates the input channel of the control thread.
pub fn control_channel() -> (ControlSender, Receiver<ControlInput>) {
    let (sender, receiver) = mpsc::channel();
    (ControlSender { sender }, receiver)
}

/// Starts the control thread; it ends when `stop` is set or all senders are dropped.
///
/// # Panics
/// Panics if the thread can not be started.
pub fn start_control(
    core: NodeCore,
    clock: Arc<dyn ClockSource>,
    outputs: ControlOutputs,
    inputs: Receiver<ControlInput>,
    sender: ControlSender,
    stop: Arc<std::sync::atomic::AtomicBool>,
) -> JoinHandle<()> {
    let decisions = HashMap::new();
    let mut control = ControlThread { core, clock, outputs, decisions, sender };
    thread::Builder::new()
        .name(String::from("control"))
        .spawn(move || control.run(&inputs, &stop))
        .expect("control thread starts")
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or_default()
}

impl ControlThread {
    fn run(&mut self, inputs: &Receiver<ControlInput>, stop: &std::sync::atomic::AtomicBool) {
        let actions = self.core.start(self.read_clock());
        self.execute_all(actions);
        let mut next_tick = Instant::now();
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.handle(NodeEvent::Tick);
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn read_clock(&self) -> ClockReading {
        ClockReading { now: self.clock.now(), wall_millis: wall_millis() }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.handle(event),
            ControlInput::RequestArrived(request, decisions) => {
                self.decisions.insert(request.id, decisions);
                self.handle(NodeEvent::RequestArrived(request));
            }
            ControlInput::Report(engine, report) => {
                let report = self.resolve_report(report);
                self.handle(NodeEvent::EngineReported { engine, report });
            }
            ControlInput::Query(query) => self.answer_query(query),
        }
    }

    fn handle(&mut self, event: NodeEvent) {
        let finished = match &event {
            NodeEvent::DispatchEnded { request, .. } | NodeEvent::CallerGone(request) => {
                Some(*request)
            }
            _ => None,
        };
        let actions = self.core.handle(self.read_clock(), event);
        self.execute_all(actions);
        if let Some(request) = finished.filter(|request| !self.core.is_open(*request)) {
            self.decisions.remove(&request);
        }
    }

    fn answer_query(&self, query: ControlQuery) {
        // Sending fails if the requester has timed out, which is not an error.
        match query {
            ControlQuery::Status(reply) => drop(reply.send(self.core.status())),
            ControlQuery::Timeline(reply) => {
                drop(reply.send(self.core.timeline().events().cloned().collect()));
            }
            ControlQuery::Models(reply) => {
                let names = self.core.settings().tree().model_names();
                drop(reply.send(names.map(str::to_owned).collect()));
            }
            ControlQuery::Counters(reply) => drop(reply.send(self.core.counters().clone())),
            ControlQuery::History(reply) => {
                drop(reply.send(self.core.settings().verdicts().cloned().collect()));
            }
            ControlQuery::Snapshot(reply) => drop(reply.send(self.core.settings().snapshot())),
        }
    }

    fn execute_all(&mut self, actions: Vec<NodeAction>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: NodeAction) {
        match action {
            NodeAction::SendMessage { address, stamp, message, .. } => {
                drop(self.outputs.peers.send(OutgoingMessage { address, stamp, message }));
            }
            NodeAction::Dispatch(dispatch) => {
                if let Some(decisions) = self.decisions.get(&dispatch.request) {
                    drop(decisions.send(RequestDecision::Dispatch(dispatch)));
                }
            }
            NodeAction::Refuse { request, refusal } => {
                if let Some(decisions) = self.decisions.remove(&request) {
                    drop(decisions.send(RequestDecision::Refuse(refusal)));
                }
            }
            NodeAction::SendOrder { address, order } => self.send_order(address, order),
            NodeAction::FetchReport { engine, address } => {
                drop(self.outputs.reports.send((engine, address)));
            }
            NodeAction::Append { stream, payload, ticket } => {
                drop(self.outputs.appends.send(AppendRequest { stream, payload, ticket }));
            }
            NodeAction::Follow { stream, from } => {
                let _disconnected =
                    self.outputs.follows.send(FollowRequest { stream, from: Some(from) });
            }
            NodeAction::Unfollow { stream } => {
                let _disconnected = self.outputs.follows.send(FollowRequest { stream, from: None });
            }
            NodeAction::Stopped => drop(self.outputs.stopped.send(())),
        }
    }

    /// Sends an order to an engine on a thread of its own, since a load takes seconds.
    fn send_order(&self, address: String, order: EngineOrder) {
        let tree = self.core.settings().tree();
        let action = match &order.action {
            OrderAction::RaiseFence => Some(NamedOrderAction::Raise),
            OrderAction::Load(adapter) => tree.adapter_name(*adapter).map(NamedOrderAction::Load),
            OrderAction::Unload(adapter) => {
                tree.adapter_name(*adapter).map(NamedOrderAction::Unload)
            }
            OrderAction::UnloadUnknown(name) => Some(NamedOrderAction::Unload(name.clone())),
        };
        let sender = self.sender.clone();
        let Some(action) = action else {
            // The adapter has been removed from the settings meanwhile.
            let result = OrderResult::Failed;
            sender.send_event(NodeEvent::OrderEnded { order, result });
            return;
        };
        let engines = Arc::clone(&self.outputs.engines);
        let unsent = order.clone();
        let spawned = thread::Builder::new().stack_size(ORDER_STACK_BYTES).spawn(move || {
            let result = engines.send_order(&address, order.token, &action);
            sender.send_event(NodeEvent::OrderEnded { order, result });
        });
        if spawned.is_err() {
            let result = OrderResult::NotSent;
            self.sender.send_event(NodeEvent::OrderEnded { order: unsent, result });
        }
    }

    fn resolve_report(&self, report: NamedReport) -> EngineReport {
        let tree = self.core.settings().tree();
        let mut adapters = Vec::new();
        let mut unknown_adapters = Vec::new();
        for (name, running) in report.adapters {
            match tree.adapter_key(&name) {
                Some(adapter) => adapters.push(ReportedAdapter { adapter, running }),
                None => unknown_adapters.push(ReportedUnknownAdapter { name, running }),
            }
        }
        EngineReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
            token: report.token,
            leaving: report.leaving,
            adapters,
            loading: report.loading.iter().filter_map(|name| tree.adapter_key(name)).collect(),
            unknown_adapters,
        }
    }
}
