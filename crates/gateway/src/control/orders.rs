//! Carrying out what the planner wants: orders and reports, each as a task of its own.

use std::{collections::HashMap, io::ErrorKind, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, EngineName, ServiceName},
    id::FenceToken,
    placement::{OrderAnswer, OrderKind, PlacementAction, PlannedOrder},
};

use crate::{
    call::{CallClient, CallError},
    codec::CallResponse,
    control::SharedControl,
    events::HostEvent,
    gate::GateVerdict,
    host::{ResponseKind, SharedState},
    metrics::{EngineCallKind, OrderLabels},
};

/// How long an order may take: a lost answer must not hold up the next load.
const ORDER_PATIENCE: Duration = Duration::from_millis(250);

/// How long a report may take.
const REPORT_PATIENCE: Duration = Duration::from_millis(500);

/// Kept connections to the control side of engines.
#[derive(Debug, Default)]
pub struct OrderClients {
    clients: HashMap<EngineName, CallClient>,
}

impl OrderClients {
    fn take(&mut self, engine: &EngineEntry) -> CallClient {
        self.clients.remove(&engine.name).unwrap_or_else(|| CallClient::new(engine.address))
    }

    fn keep(&mut self, engine: &EngineName, client: CallClient) {
        self.clients.insert(Arc::clone(engine), client);
    }

    /// Closes the connection to an engine.
    pub fn close(&mut self, engine: &EngineName) {
        self.clients.remove(engine);
    }

    /// Closes connections to engines that are listed no more.
    pub fn retain(&mut self, listed: impl Fn(&EngineName) -> bool) {
        self.clients.retain(|engine, _| listed(engine));
    }
}

/// Starts what the planner of a service wants done.
pub fn start_actions(
    state: &SharedControl,
    service: &ServiceName,
    token: FenceToken,
    actions: Vec<PlacementAction>,
) {
    for action in actions {
        let (state, service) = (Rc::clone(state), Arc::clone(service));
        match action {
            PlacementAction::SendOrder(order) => {
                tokio::task::spawn_local(send_order(state, service, token, order));
            }
            PlacementAction::RequestReport(engine) => {
                tokio::task::spawn_local(ask_report(state, service, engine));
            }
        }
    }
}

async fn send_order(
    state: SharedControl,
    service: ServiceName,
    token: FenceToken,
    order: PlannedOrder,
) {
    let shared = Arc::clone(state.borrow().shared());
    let dialect = &shared.codecs.engine;
    if shared.gate().own_verdict(&order.engine) != GateVerdict::Open {
        let now = shared.clock.now();
        state.borrow_mut().order_answered(&service, token, &order, OrderAnswer::NotSent, now);
        return;
    }
    let mut client = state.borrow_mut().order_clients().take(&order.engine);
    let call = dialect.encode_order(&order, &shared.profile.name, token);
    let began = shared.clock.now();
    shared.count_engine_call(&order.engine.name, EngineCallKind::Order);
    let answer = match client.call(&call, ORDER_PATIENCE).await {
        Ok(answer) => {
            note_announcements(&shared, &order.engine, &answer, began);
            dialect.decode_order_response(&answer)
        }
        Err(CallError::NotSent(_)) => OrderAnswer::NotSent,
        Err(CallError::NoAnswer(_) | CallError::TimedOut) => OrderAnswer::Unknown,
    };
    let now = shared.clock.now();
    let mut state = state.borrow_mut();
    state.order_clients().keep(&order.engine.name, client);
    state.order_answered(&service, token, &order, answer, now);
    let kind = kind_name(order.kind);
    let labels = OrderLabels { kind: kind.to_owned(), answer: format!("{answer:?}") };
    shared.metrics.orders.get_or_create(&labels).inc();
    shared.events.write(HostEvent::Order {
        engine: order.engine.name.to_string(),
        kind: kind.to_owned(),
        key: order.key.to_string(),
        sequence: order.expected_sequence,
        token,
        worth: order.value,
        waiting: order.waiting,
        answer: format!("{answer:?}"),
        millis: u64::try_from(now.since(began).as_millis()).unwrap_or(u64::MAX),
    });
}

const fn kind_name(kind: OrderKind) -> &'static str {
    match kind {
        OrderKind::Load { from_store: true } => "load",
        OrderKind::Load { from_store: false } => "bring_back",
        OrderKind::Unload => "unload",
    }
}

/// Takes what the answer to an order or for a report announces of its engine.
fn note_announcements(
    shared: &SharedState,
    engine: &EngineEntry,
    answer: &CallResponse,
    sent: ClockMillis,
) {
    let announcements = shared.codecs.request.decode_announcements(&answer.head);
    shared.record_announcements(engine, &announcements, sent, ResponseKind::Other);
}

async fn ask_report(state: SharedControl, service: ServiceName, engine: Arc<EngineEntry>) {
    let shared = Arc::clone(state.borrow().shared());
    let dialect = &shared.codecs.engine;
    if shared.gate().own_verdict(&engine) != GateVerdict::Open {
        if let Some(planner) = state.borrow_mut().planner(&service) {
            planner.handle_report_failure(&engine.name, false);
        }
        return;
    }
    let mut client = state.borrow_mut().order_clients().take(&engine);
    let asked = shared.clock.now();
    let call = dialect.encode_report_request(&engine.name);
    shared.count_engine_call(&engine.name, EngineCallKind::Report);
    let answer = client.call(&call, REPORT_PATIENCE).await;
    if let Ok(answer) = &answer {
        note_announcements(&shared, &engine, answer, asked);
    }
    // A process that has ended refuses; whatever else fails may be this host's own doing, or its link's.
    let refused = matches!(&answer, Err(CallError::NotSent(error)) if error.kind() == ErrorKind::ConnectionRefused);
    let report = answer.ok().and_then(|answer| dialect.decode_report(&answer).ok());
    let mut state = state.borrow_mut();
    state.order_clients().keep(&engine.name, client);
    let Some(planner) = state.planner(&service) else { return };
    match report {
        Some(report) => planner.handle_report(&engine.name, &report, asked),
        None => planner.handle_report_failure(&engine.name, refused),
    }
}
