//! One client connection: reads requests completely and processes them one after the other.

use std::{future::poll_fn, net::SocketAddr, rc::Rc, task::Poll, time::Duration};

use bytes::Bytes;
use reelreel_core::{clock::duration_millis, fleet::routes::ClientLimits};
use reelreel_http::{
    BodyDecoder, BodyError, BodyFraming, HeadError, HttpStream, ReadError, RequestHead,
};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    events::{HostEvent, RequestEvent},
    metrics::IntakePauseCause,
    traffic::{
        TrafficState, bind_with_retry,
        buffer_budget::{BudgetedBody, BufferReservation, OverflowPolicy, read_budgeted_body},
        exchange::{ClientRequest, ConnectionAction, run_exchange},
        local_response::LocalResponse,
    },
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a host that does not listen checks whether it has room again.
const INTAKE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a new connection counts as busy before its first byte arrives.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(200);

/// How long input is discarded before a close, so that the client can read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection stays open after a planned stop has begun.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the system's buffer for output that a client has not read. Unit: bytes.
///
/// Takes 5 ms of a link of 200 Mbit/s; the system's own limit of some MB would let a hundred
/// clients that do not read exceed a host's memory.
const OUTPUT_BUFFER_BYTES: usize = 128 * 1024;

/// Time after which a connection fails if its client reads nothing of the output.
///
/// Also ends connections that the host has closed; longer than tight timeouts are.
const UNREAD_OUTPUT_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum time for writing a response of the host itself.
const LOCAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a client may repeat a request that was refused for lack of memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Divides the time of a request to get its maximum retry time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Why a client's request could not be read.
enum ReadFailure {
    /// The client disconnected.
    Disconnected,
    /// The request is invalid or refused: respond and close the connection.
    Respond(LocalResponse),
    /// The request with this id is refused: respond and close the connection.
    RespondTo(String, LocalResponse),
}

impl From<ReadError> for ReadFailure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Head(error) => Self::Respond(head_error_response(error)),
            ReadError::Body(BodyError::MalformedChunk) => Self::Respond(LocalResponse::new(
                400,
                "a chunk is malformed; write its size in hexadecimal and end lines with CRLF",
            )),
            ReadError::Body(BodyError::TooMuchFraming) => Self::Respond(LocalResponse::new(
                400,
                "chunk extensions and trailer fields are longer than the limit; leave them out",
            )),
            ReadError::Closed
            | ReadError::TruncatedHead
            | ReadError::Body(BodyError::Truncated)
            | ReadError::Socket(_) => Self::Disconnected,
        }
    }
}

fn head_error_response(error: HeadError) -> LocalResponse {
    match error {
        HeadError::TooLarge => LocalResponse::new(
            431,
            "the head is longer than the limit; send fewer or shorter fields",
        ),
        HeadError::Malformed => LocalResponse::new(
            400,
            "the head is malformed; end lines with CRLF and use plain fields",
        ),
        HeadError::AmbiguousLength => LocalResponse::new(
            400,
            "the body's length is ambiguous; send one Content-Length or chunked coding",
        ),
        HeadError::InvalidHost => {
            LocalResponse::new(400, "a request must carry exactly one Host field")
        }
        HeadError::UnsupportedCoding => {
            LocalResponse::new(400, "only the chunked transfer coding is known")
        }
    }
}

/// Accepts client connections until the task is dropped.
///
/// While the host has no room for further connections it does not listen: clients are refused before they send anything,
/// which takes nothing of the host's processor and link, and may go to another host at once.
pub async fn accept_clients(traffic: Rc<TrafficState>, mut listener: TcpListener) {
    loop {
        if let Some(cause) = traffic.intake_pause_cause() {
            if cause == IntakePauseCause::Overload {
                take_on_waiting(&traffic, &listener).await;
            }
            drop(listener);
            traffic.shared.metrics.host_load.count_pause(cause);
            while !traffic.may_resume_intake() {
                tokio::time::sleep(INTAKE_POLL_INTERVAL).await;
            }
            listener = listen_again(traffic.shared.profile.client_address).await;
        }
        match listener.accept().await {
            Ok((socket, _)) => take_on(&traffic, socket),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Listens for clients again after a pause. Retries until it succeeds: descriptors may be short for a moment.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match bind_with_retry(address).await {
            Ok(listener) => return listener,
            Err(error) => log::error!("failed to listen for clients on {address}: {error}"),
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

fn take_on(traffic: &Rc<TrafficState>, socket: TcpStream) {
    traffic.record_intake();
    let busy = BusyGuard::new(traffic);
    tokio::task::spawn_local(serve_client(Rc::clone(traffic), socket, busy));
}

/// Takes on some of the connections that wait to be accepted, whose requests have used the link already. The others
/// are reset when the listener is closed.
async fn take_on_waiting(traffic: &Rc<TrafficState>, listener: &TcpListener) {
    for _ in 0..traffic.intake_overshoot() {
        let waiting = poll_fn(|context| match listener.poll_accept(context) {
            Poll::Ready(accepted) => Poll::Ready(accepted.ok()),
            Poll::Pending => Poll::Ready(None),
        });
        let Some((socket, _)) = waiting.await else { return };
        take_on(traffic, socket);
    }
}

/// Counts a connection as open while it exists.
struct ConnectionGuard(Rc<TrafficState>);

impl ConnectionGuard {
    fn new(traffic: &Rc<TrafficState>) -> Self {
        traffic.connections.set(traffic.connections.get() + 1);
        traffic.shared.metrics.connections.inc();
        Self(Rc::clone(traffic))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.shared.metrics.connections.dec();
    }
}

/// Counts a connection as busy while it exists: from its arrival until it waits for a further request.
struct BusyGuard(Rc<TrafficState>);

impl BusyGuard {
    fn new(traffic: &Rc<TrafficState>) -> Self {
        traffic.busy_connections.set(traffic.busy_connections.get() + 1);
        Self(Rc::clone(traffic))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy_connections.set(self.0.busy_connections.get() - 1);
    }
}

async fn serve_client(traffic: Rc<TrafficState>, socket: TcpStream, busy: BusyGuard) {
    let _count = ConnectionGuard::new(&traffic);
    let mut busy = Some(busy);
    let Ok(mut client) = HttpStream::new(socket) else { return };
    client.count_bytes(&traffic.link_bytes);
    let mut output_bounded = false;
    loop {
        let limits = client_limits(&traffic);
        if !wait_for_request(&traffic, &mut client, &limits, &mut busy).await {
            return;
        }
        busy.get_or_insert_with(|| BusyGuard::new(&traffic));
        let (request, reservation) = match read_request(&traffic, &mut client, &limits).await {
            Ok(request) => request,
            Err(ReadFailure::Disconnected) => return,
            Err(ReadFailure::Respond(response)) => {
                return respond_and_close(&traffic, client, None, response).await;
            }
            Err(ReadFailure::RespondTo(id, response)) => {
                return respond_and_close(&traffic, client, Some(&id), response).await;
            }
        };
        if !output_bounded && traffic.bounds_slow_readers() {
            // If it fails, the socket is closed already.
            let _ = client.bound_output(OUTPUT_BUFFER_BYTES, UNREAD_OUTPUT_TIMEOUT);
            output_bounded = true;
        }
        let action = run_exchange(&traffic, &mut client, request).await;
        drop(reservation);
        match action {
            ConnectionAction::Keep => {
                client.release_buffer();
                busy = None;
            }
            ConnectionAction::Close => return client.close_gracefully(LINGER_TIMEOUT).await,
            ConnectionAction::Reset => return client.reset(),
        }
    }
}

async fn respond_and_close(
    traffic: &TrafficState,
    mut client: HttpStream,
    id: Option<&str>,
    response: LocalResponse,
) {
    let bytes = response.write(&*traffic.shared.codecs.request, id, true);
    if write_local_response(traffic, &mut client, &bytes).await {
        client.close_gracefully(LINGER_TIMEOUT).await;
    }
}

fn client_limits(traffic: &TrafficState) -> ClientLimits {
    traffic.table().routes.as_ref().map(|routes| *routes.limits()).unwrap_or_default()
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
async fn wait_for_request(
    traffic: &TrafficState,
    client: &mut HttpStream,
    limits: &ClientLimits,
    busy: &mut Option<BusyGuard>,
) -> bool {
    if client.has_buffered_bytes() {
        return true;
    }
    if busy.is_some() {
        let first_byte = tokio::time::timeout(FIRST_BYTE_GRACE, client.read_more()).await;
        if let Ok(read) = first_byte {
            return matches!(read, Ok(count) if count > 0);
        }
        *busy = None;
    }
    let mut stopping = traffic.shared.stopping.subscribe();
    let stopped = async {
        // Can't fail: the shared state holds the sender.
        let _ = stopping.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(SHUTDOWN_IDLE_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        read = client.read_more() => matches!(read, Ok(count) if count > 0),
        () = tokio::time::sleep(limits.idle_timeout) => false,
        () = stopped => false,
    }
}

async fn read_request(
    traffic: &Rc<TrafficState>,
    client: &mut HttpStream,
    limits: &ClientLimits,
) -> Result<(ClientRequest, BufferReservation), ReadFailure> {
    let arrived = traffic.now();
    let reading = client.read_request_head(limits.head_bytes);
    let Ok(head) = tokio::time::timeout(limits.head_timeout, reading).await else {
        let text = "the head took too long; send it at once";
        return Err(ReadFailure::Respond(LocalResponse::new(408, text)));
    };
    let head = head?;
    let framing = BodyFraming::of_request(&head).map_err(ReadError::from)?;
    let (body, reservation) = read_body(traffic, client, &head, framing, limits).await?;
    Ok((ClientRequest { head, body, arrived }, reservation))
}

async fn read_body(
    traffic: &Rc<TrafficState>,
    client: &mut HttpStream,
    head: &RequestHead,
    framing: BodyFraming,
    limits: &ClientLimits,
) -> Result<(Bytes, BufferReservation), ReadFailure> {
    let too_large =
        LocalResponse::new(413, "the body is longer than the limit; send a shorter one");
    let announced = match framing {
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    };
    if announced > limits.body_bytes {
        return Err(ReadFailure::Respond(too_large));
    }
    let mut reservation = traffic.request_buffers.reservation();
    if !reservation.try_reserve_by_size(announced) {
        return Err(refuse_for_memory(traffic, head));
    }
    if framing != BodyFraming::Empty && head.fields.has_token("expect", "100-continue") {
        client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(ReadError::from)?;
    }
    let mut decoder = BodyDecoder::new(framing);
    let reading = read_budgeted_body(
        client,
        &mut decoder,
        announced,
        limits.body_bytes,
        &mut reservation,
        OverflowPolicy::Refuse,
    );
    let time_limit = body_time_limit(traffic, head, limits);
    let Ok(body) = tokio::time::timeout(time_limit, reading).await else {
        let text = "the body took too long; send it without pauses";
        return Err(ReadFailure::Respond(LocalResponse::new(408, text)));
    };
    match body? {
        BudgetedBody::Complete(body) => Ok((body, reservation)),
        BudgetedBody::TooLarge => Err(ReadFailure::Respond(too_large)),
        BudgetedBody::NoMemory => Err(refuse_for_memory(traffic, head)),
    }
}

/// Returns the maximum time for a body: where timeouts are tight, no longer than the route's timeout.
/// A request can't be served after that, and its body takes memory meanwhile.
fn body_time_limit(traffic: &TrafficState, head: &RequestHead, limits: &ClientLimits) -> Duration {
    if !traffic.bounds_slow_readers() {
        return limits.idle_timeout;
    }
    route_timeout(traffic, head).map_or(limits.idle_timeout, |time| time.min(limits.idle_timeout))
}

fn route_timeout(traffic: &TrafficState, head: &RequestHead) -> Option<Duration> {
    let table = traffic.table();
    let host = head.fields.text("host").unwrap_or_default();
    table.routes.as_ref()?.route(host, &head.target).map(|route| route.timeout)
}

/// Refuses a request for whose body there is no memory.
fn refuse_for_memory(traffic: &TrafficState, head: &RequestHead) -> ReadFailure {
    let text = "this host holds too many bodies; come back shortly";
    let metadata = traffic.shared.codecs.request.decode_request(head).ok();
    let deadline = metadata.as_ref().and_then(|metadata| metadata.deadline);
    let time_limit = [deadline, route_timeout(traffic, head)].into_iter().flatten().min();
    let max_retry_after = time_limit.map_or(Duration::MAX, |time| time / RETRY_AFTER_DIVISOR);
    let retry_after = NO_MEMORY_RETRY_AFTER.min(max_retry_after);
    let id = metadata.map(|metadata| metadata.id);
    traffic.shared.metrics.buffers_refused.inc();
    traffic.shared.events.write(HostEvent::Request(Box::new(RequestEvent {
        id: id.clone().unwrap_or_default(),
        route: head.target.clone(),
        outcome: "buffers_full".into(),
        status: 503,
        retry_after: Some(duration_millis(retry_after)),
        ..RequestEvent::default()
    })));
    let response = LocalResponse::refusal(text, retry_after);
    match id {
        Some(id) => ReadFailure::RespondTo(id, response),
        None => ReadFailure::Respond(response),
    }
}

/// Writes a response of the host itself; returns whether the client's connection has taken it.
pub(super) async fn write_local_response(
    traffic: &TrafficState,
    client: &mut HttpStream,
    bytes: &[u8],
) -> bool {
    let writing = client.write(bytes);
    if !traffic.bounds_slow_readers() {
        return writing.await.is_ok();
    }
    matches!(tokio::time::timeout(LOCAL_WRITE_TIMEOUT, writing).await, Ok(Ok(())))
}
