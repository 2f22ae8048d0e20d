//! One client connection: requests one after the other, each read whole before it goes anywhere.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use reelreel_core::fleet::routes::ClientLimits;
use reelreel_http::{
    BodyDecoder, BodyError, BodyFraming, HeadError, HttpStream, ReadError, RequestHead,
};
use tokio::net::{TcpListener, TcpStream};

use crate::entry::{
    TrafficState,
    answer::OwnAnswer,
    exchange::{ClientRequest, ExchangeEnd, run_exchange},
};

/// How long to wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a refused client is listened to, so that it reads the answer before the close.
const LINGER: Duration = Duration::from_millis(500);

/// How long a resting connection stays open once a planned stop has begun.
const STOP_REST: Duration = Duration::from_millis(500);

/// Where a client's request could not be read.
enum RequestFailure {
    /// The client is gone, or never said anything.
    Silent,
    /// It is answered and the connection closed.
    Answered(OwnAnswer),
}

impl From<ReadError> for RequestFailure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Head(error) => Self::Answered(head_answer(error)),
            ReadError::Body(BodyError::Chunk) => Self::Answered(OwnAnswer::new(
                400,
                "a chunk is malformed; write its size in hexadecimal and end lines with CRLF",
            )),
            ReadError::Closed
            | ReadError::HeadCut
            | ReadError::Body(BodyError::Cut)
            | ReadError::Socket(_) => Self::Silent,
        }
    }
}

fn head_answer(error: HeadError) -> OwnAnswer {
    match error {
        HeadError::TooLarge => {
            OwnAnswer::new(431, "the head is longer than the limit; send fewer or shorter fields")
        }
        HeadError::Malformed => {
            OwnAnswer::new(400, "the head is malformed; end lines with CRLF and use plain fields")
        }
        HeadError::AmbiguousLength => OwnAnswer::new(
            400,
            "the body's length is ambiguous; send one Content-Length or chunked coding",
        ),
        HeadError::Host => OwnAnswer::new(400, "a request must carry exactly one Host field"),
        HeadError::Coding => OwnAnswer::new(400, "only the chunked transfer coding is known"),
    }
}

/// Takes client connections for ever.
pub async fn accept_clients(traffic: Rc<TrafficState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if traffic.connections.get() < traffic.shared.profile.max_connections {
                    tokio::task::spawn_local(serve_client(Rc::clone(&traffic), socket));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Counts a connection for as long as it lives.
struct ConnectionCount(Rc<TrafficState>);

impl ConnectionCount {
    fn new(traffic: &Rc<TrafficState>) -> Self {
        traffic.connections.set(traffic.connections.get() + 1);
        traffic.shared.metrics.connections.inc();
        Self(Rc::clone(traffic))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.shared.metrics.connections.dec();
    }
}

/// Counts the bytes of a body for as long as it is held.
pub struct BodyHold {
    traffic: Rc<TrafficState>,
    bytes: usize,
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let held = self.traffic.body_bytes.get();
        self.traffic.body_bytes.set(held.saturating_sub(self.bytes));
    }
}

async fn serve_client(traffic: Rc<TrafficState>, socket: TcpStream) {
    let _count = ConnectionCount::new(&traffic);
    let Ok(mut client) = HttpStream::new(socket) else { return };
    loop {
        let limits = client_limits(&traffic);
        if !wait_for_bytes(&traffic, &mut client, &limits).await {
            return;
        }
        let (request, hold) = match read_request(&traffic, &mut client, &limits).await {
            Ok(request) => request,
            Err(RequestFailure::Silent) => return,
            Err(RequestFailure::Answered(answer)) => {
                let bytes = answer.write(&*traffic.shared.codecs.request, None, true);
                if client.write(&bytes).await.is_ok() {
                    client.finish(LINGER).await;
                }
                return;
            }
        };
        let end = run_exchange(&traffic, &mut client, request).await;
        drop(hold);
        match end {
            ExchangeEnd::Keep => client.release_buffer(),
            ExchangeEnd::Close => return client.finish(LINGER).await,
            ExchangeEnd::Reset => return client.reset(),
        }
    }
}

fn client_limits(traffic: &TrafficState) -> ClientLimits {
    traffic.table().routes.as_ref().map(|routes| *routes.limits()).unwrap_or_default()
}

/// Waits for the first byte of a request; false when the connection is to be closed.
async fn wait_for_bytes(
    traffic: &TrafficState,
    client: &mut HttpStream,
    limits: &ClientLimits,
) -> bool {
    if client.has_unused_bytes() {
        return true;
    }
    let mut stopping = traffic.shared.stopping.subscribe();
    let stopped = async {
        // The sender lives as long as the shared state, so waiting can not fail.
        let _ = stopping.wait_for(|stopping| *stopping).await;
        tokio::time::sleep(STOP_REST).await;
    };
    tokio::select! {
        biased;
        read = client.fill() => matches!(read, Ok(count) if count > 0),
        () = tokio::time::sleep(limits.idle_timeout) => false,
        () = stopped => false,
    }
}

async fn read_request(
    traffic: &Rc<TrafficState>,
    client: &mut HttpStream,
    limits: &ClientLimits,
) -> Result<(ClientRequest, BodyHold), RequestFailure> {
    let arrived = traffic.now();
    let reading = client.read_request_head(limits.head_bytes);
    let Ok(head) = tokio::time::timeout(limits.head_timeout, reading).await else {
        let text = "the head took too long; send it at once";
        return Err(RequestFailure::Answered(OwnAnswer::new(408, text)));
    };
    let head = head?;
    let framing = BodyFraming::of_request(&head).map_err(ReadError::from)?;
    let (body, hold) = read_body(traffic, client, &head, framing, limits).await?;
    Ok((ClientRequest { head, body, arrived }, hold))
}

async fn read_body(
    traffic: &Rc<TrafficState>,
    client: &mut HttpStream,
    head: &RequestHead,
    framing: BodyFraming,
    limits: &ClientLimits,
) -> Result<(Bytes, BodyHold), RequestFailure> {
    let too_long = OwnAnswer::new(413, "the body is longer than the limit; send a shorter one");
    let announced = match framing {
        BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    };
    if announced > limits.body_bytes {
        return Err(RequestFailure::Answered(too_long));
    }
    let mut hold = hold_body(traffic, announced)?;
    if framing != BodyFraming::Empty && head.fields.lists("expect", "100-continue") {
        client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(ReadError::from)?;
    }
    let mut decoder = BodyDecoder::new(framing);
    let reading = client.read_whole_body(&mut decoder, limits.body_bytes);
    let Ok(body) = tokio::time::timeout(limits.idle_timeout, reading).await else {
        let text = "the body took too long; send it without pauses";
        return Err(RequestFailure::Answered(OwnAnswer::new(408, text)));
    };
    let Some(body) = body? else {
        return Err(RequestFailure::Answered(too_long));
    };
    if body.len() > hold.bytes {
        drop(hold);
        hold = hold_body(traffic, body.len())?;
    }
    Ok((body, hold))
}

fn hold_body(traffic: &Rc<TrafficState>, bytes: usize) -> Result<BodyHold, RequestFailure> {
    let held = traffic.body_bytes.get() + bytes;
    if held > traffic.shared.profile.max_body_bytes {
        let text = "this host holds too many bodies; come back shortly";
        let answer = OwnAnswer::refusal(text, Duration::from_millis(500));
        return Err(RequestFailure::Answered(answer));
    }
    traffic.body_bytes.set(held);
    Ok(BodyHold { traffic: Rc::clone(traffic), bytes })
}
