//! One client connection: reads requests completely and processes them one after the other.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use reelreel_core::fleet::routes::ClientLimits;
use reelreel_http::{
    BodyDecoder, BodyError, BodyFraming, HeadError, HttpStream, ReadError, RequestHead,
};
use tokio::net::{TcpListener, TcpStream};

use crate::traffic::{
    TrafficState,
    exchange::{ClientRequest, ConnectionAction, run_exchange},
    local_response::LocalResponse,
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long input is discarded before a close, so that the client can read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection stays open after a planned stop has begun.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a client's request could not be read.
enum ReadFailure {
    /// The client disconnected.
    Disconnected,
    /// The request is invalid or refused: respond and close the connection.
    Respond(LocalResponse),
}

impl From<ReadError> for ReadFailure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Head(error) => Self::Respond(head_error_response(error)),
            ReadError::Body(BodyError::MalformedChunk) => Self::Respond(LocalResponse::new(
                400,
                "a chunk is malformed; write its size in hexadecimal and end lines with CRLF",
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
pub async fn accept_clients(traffic: Rc<TrafficState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if traffic.connections.get() < traffic.shared.profile.max_connections {
                    tokio::task::spawn_local(serve_client(Rc::clone(&traffic), socket));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
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

/// Reserves memory for a request body while it exists.
pub struct BodyReservation {
    traffic: Rc<TrafficState>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = self.traffic.body_bytes.get();
        self.traffic.body_bytes.set(reserved.saturating_sub(self.bytes));
    }
}

async fn serve_client(traffic: Rc<TrafficState>, socket: TcpStream) {
    let _count = ConnectionGuard::new(&traffic);
    let Ok(mut client) = HttpStream::new(socket) else { return };
    loop {
        let limits = client_limits(&traffic);
        if !wait_for_request(&traffic, &mut client, &limits).await {
            return;
        }
        let (request, reservation) = match read_request(&traffic, &mut client, &limits).await {
            Ok(request) => request,
            Err(ReadFailure::Disconnected) => return,
            Err(ReadFailure::Respond(response)) => {
                let bytes = response.write(&*traffic.shared.codecs.request, None, true);
                if client.write(&bytes).await.is_ok() {
                    client.close_gracefully(LINGER_TIMEOUT).await;
                }
                return;
            }
        };
        let action = run_exchange(&traffic, &mut client, request).await;
        drop(reservation);
        match action {
            ConnectionAction::Keep => client.release_buffer(),
            ConnectionAction::Close => return client.close_gracefully(LINGER_TIMEOUT).await,
            ConnectionAction::Reset => return client.reset(),
        }
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
) -> bool {
    if client.has_buffered_bytes() {
        return true;
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
) -> Result<(ClientRequest, BodyReservation), ReadFailure> {
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
) -> Result<(Bytes, BodyReservation), ReadFailure> {
    let too_large =
        LocalResponse::new(413, "the body is longer than the limit; send a shorter one");
    let announced = match framing {
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    };
    if announced > limits.body_bytes {
        return Err(ReadFailure::Respond(too_large));
    }
    let mut reservation = reserve_body(traffic, announced)?;
    if framing != BodyFraming::Empty && head.fields.has_token("expect", "100-continue") {
        client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(ReadError::from)?;
    }
    let mut decoder = BodyDecoder::new(framing);
    let reading = client.read_full_body(&mut decoder, limits.body_bytes);
    let Ok(body) = tokio::time::timeout(limits.idle_timeout, reading).await else {
        let text = "the body took too long; send it without pauses";
        return Err(ReadFailure::Respond(LocalResponse::new(408, text)));
    };
    let Some(body) = body? else {
        return Err(ReadFailure::Respond(too_large));
    };
    if body.len() > reservation.bytes {
        drop(reservation);
        reservation = reserve_body(traffic, body.len())?;
    }
    Ok((body, reservation))
}

fn reserve_body(traffic: &Rc<TrafficState>, bytes: usize) -> Result<BodyReservation, ReadFailure> {
    let reserved = traffic.body_bytes.get() + bytes;
    if reserved > traffic.shared.profile.max_body_bytes {
        let text = "this host holds too many bodies; come back shortly";
        let response = LocalResponse::refusal(text, Duration::from_millis(500));
        return Err(ReadFailure::Respond(response));
    }
    traffic.body_bytes.set(reserved);
    Ok(BodyReservation { traffic: Rc::clone(traffic), bytes })
}
