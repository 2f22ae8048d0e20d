//! Runs the planner's orders and report requests, each as a task of its own.

use std::{
    collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, EngineName, ServiceName},
    id::FenceToken,
    placement::{OrderAnswer, OrderKind, PlacementAction, PlannedOrder},
};

use crate::{
    availability::EngineAvailability,
    call::{CallClient, CallError},
    codec::{AddressResolver, CallResponse},
    control::SharedControl,
    events::HostEvent,
    host::{ResponseKind, SharedState},
    metrics::{EngineCallKind, OrderLabels},
};

/// Timeout of an order; a lost response must not delay the next load.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// The same where refused clients have little time to retry: several round trips, and a third of
/// the time that a load from the weight store takes.
const TIGHT_ORDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of an engine's response to an order or a report request. Unit: bytes.
const RESPONSE_LIMIT: usize = 64 * 1024;

/// Timeout of a report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client of an engine's control interface.
#[derive(Debug)]
struct EngineClient {
    calls: CallClient,
    /// The answer to the last order over the open connection.
    last_answer: Option<OrderAnswer>,
}

impl EngineClient {
    fn new(address: SocketAddr) -> Self {
        let calls = CallClient::new(address).with_body_limit(RESPONSE_LIMIT);
        Self { calls, last_answer: None }
    }

    fn close(&mut self) {
        self.calls.close();
        self.last_answer = None;
    }

    /// Closes the connection if a duplicate of the last answer could pass for that to an order of this
    /// kind.
    fn prepare_order(&mut self, kind: OrderKind) {
        if self.last_answer.is_some_and(|answer| !answer.may_precede(kind)) {
            self.close();
        }
    }
}

/// Open connections to the control interface of engines.
#[derive(Debug, Default)]
pub struct OrderClients {
    clients: HashMap<EngineName, EngineClient>,
}

impl OrderClients {
    fn take(&mut self, engine: &EngineEntry, addresses: &dyn AddressResolver) -> EngineClient {
        let new = || EngineClient::new(addresses.engine_address(engine));
        self.clients.remove(&engine.name).unwrap_or_else(new)
    }

    fn put_back(&mut self, engine: &EngineName, client: EngineClient) {
        self.clients.insert(Arc::clone(engine), client);
    }

    /// Closes the connection to an engine.
    pub fn close(&mut self, engine: &EngineName) {
        self.clients.remove(engine);
    }

    /// Closes connections to engines that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&EngineName) -> bool) {
        self.clients.retain(|engine, _| listed(engine));
    }
}

/// Spawns a task for each action of a service's planner.
pub fn spawn_actions(
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
                tokio::task::spawn_local(request_report(state, service, engine));
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
    let (codec, addresses) = (&shared.codecs.engine, &*shared.codecs.addresses);
    if shared.availability().without_limit(&order.engine) != EngineAvailability::Available {
        let now = shared.clock.now();
        state.borrow_mut().handle_order_answer(&service, token, &order, OrderAnswer::NotSent, now);
        return;
    }
    let mut client = state.borrow_mut().order_clients().take(&order.engine, addresses);
    let call = codec.encode_order(&order, &shared.profile.name, token);
    let sent_at = shared.clock.now();
    shared.count_engine_call(&order.engine.name, EngineCallKind::Order);
    shared.links.monitor().record_send(&order.engine.name, sent_at);
    let timeout =
        if state.borrow().has_tight_timeouts() { TIGHT_ORDER_TIMEOUT } else { ORDER_TIMEOUT };
    client.prepare_order(order.kind);
    let response = client.calls.call(&call, timeout).await;
    record_link_result(&shared, &order.engine, &response);
    let answer = match response {
        Ok(response) => {
            record_announcements(&shared, &order.engine, &response, sent_at);
            codec.decode_order_response(&response)
        }
        Err(CallError::NotSent(_)) => OrderAnswer::NotSent,
        Err(_) => OrderAnswer::Unknown,
    };
    client.last_answer = Some(answer);
    let now = shared.clock.now();
    let mut state = state.borrow_mut();
    state.order_clients().put_back(&order.engine.name, client);
    state.handle_order_answer(&service, token, &order, answer, now);
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
        millis: u64::try_from(now.since(sent_at).as_millis()).unwrap_or(u64::MAX),
    });
}

const fn kind_name(kind: OrderKind) -> &'static str {
    match kind {
        OrderKind::Load { from_store: true } => "load",
        OrderKind::Load { from_store: false } => "bring_back",
        OrderKind::Unload => "unload",
    }
}

/// Records what a call shows of this host's links to engines.
fn record_link_result(
    shared: &SharedState,
    engine: &EngineEntry,
    response: &Result<CallResponse, CallError>,
) {
    let now = shared.clock.now();
    match response {
        // When the connection was opened is not known, so nothing is said about new ones.
        Ok(_) => shared.links.record_received(ClockMillis::default(), now),
        Err(error) => {
            if let Some(error) = error.connect_error() {
                shared.links.record_failure(&engine.name, error.into(), now);
            }
        }
    }
}

/// Records the announcements in an engine's response to an order or report request.
fn record_announcements(
    shared: &SharedState,
    engine: &EngineEntry,
    response: &CallResponse,
    sent_at: ClockMillis,
) {
    let announcements = shared.codecs.request.decode_announcements(&response.head);
    shared.record_announcements(engine, &announcements, sent_at, ResponseKind::Other);
}

async fn request_report(state: SharedControl, service: ServiceName, engine: Arc<EngineEntry>) {
    let shared = Arc::clone(state.borrow().shared());
    let (codec, addresses) = (&shared.codecs.engine, &*shared.codecs.addresses);
    if shared.availability().without_limit(&engine) != EngineAvailability::Available {
        if let Some(planner) = state.borrow_mut().planner(&service) {
            planner.handle_report_failure(&engine.name, false);
        }
        return;
    }
    let mut client = state.borrow_mut().order_clients().take(&engine, addresses);
    let sent_at = shared.clock.now();
    let call = codec.encode_report_request(&engine.name);
    shared.count_engine_call(&engine.name, EngineCallKind::Report);
    shared.links.monitor().record_send(&engine.name, sent_at);
    let response = client.calls.call(&call, REPORT_TIMEOUT).await;
    record_link_result(&shared, &engine, &response);
    if let Ok(response) = &response {
        record_announcements(&shared, &engine, response, sent_at);
    }
    // Only a refused connection shows that the process has ended; other errors may be caused by
    // this host or its network.
    let refused = matches!(&response, Err(CallError::NotSent(error)) if error.kind() == ErrorKind::ConnectionRefused);
    let process_ended = refused && shared.links.confirm_refusal(shared.clock.now()).await;
    let report = response.ok().and_then(|response| codec.decode_report(&response).ok());
    if report.is_none() {
        // What was read may be a duplicate of an order's answer, and the report may still arrive.
        client.close();
    }
    let mut state = state.borrow_mut();
    state.order_clients().put_back(&engine.name, client);
    let Some(planner) = state.planner(&service) else { return };
    match report {
        Some(report) => planner.handle_report(&engine.name, &report, sent_at),
        None => planner.handle_report_failure(&engine.name, process_ended),
    }
}
