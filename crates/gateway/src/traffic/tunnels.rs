//! Serves tunnels: connects to engines for hosts that can't, and forwards bytes in both directions.

use std::{
    cell::Cell,
    io::ErrorKind,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, is_same_incarnation},
};
use reelreel_http::set_dead_peer_timeout;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{TcpStream, tcp::ReadHalf, tcp::WriteHalf},
    sync::mpsc,
    time::sleep,
};

use crate::{
    availability::EngineAvailability,
    engines::{EnginePool, pool::UNRESPONSIVE_TIMEOUT},
    peers::{
        PeerStream,
        frame::FrameBody,
        tunnel_messages::{TunnelOutcome, TunnelRequestFrame, TunnelResponseFrame},
    },
    traffic::TrafficState,
};

/// Size of the buffer of each direction. Unit: bytes.
const BUFFER_BYTES: usize = 4096;

/// Divides the maximum number of client connections to get that of tunnels.
const TUNNEL_DIVISOR: usize = 4;

/// How long a tunnel without bytes stays open while this host stops, if a response has begun: more
/// than the usual pauses of a stream.
const STOPPING_IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Interval at which an open tunnel of a stopping host is checked.
const STOPPING_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a reset may follow the end of an engine's connection: more than a round trip.
const RESET_WAIT: Duration = Duration::from_millis(10);

/// A request for a tunnel, handed over by the control thread.
pub struct TunnelSocket {
    /// The connection to the requesting host.
    pub socket: std::net::TcpStream,
    /// The request.
    pub request: TunnelRequestFrame,
}

/// Serves tunnels until the channel is closed.
pub async fn serve_tunnels(traffic: Rc<TrafficState>, mut sockets: mpsc::Receiver<TunnelSocket>) {
    while let Some(TunnelSocket { socket, request }) = sockets.recv().await {
        let Ok(socket) = TcpStream::from_std(socket) else { continue };
        tokio::task::spawn_local(serve_tunnel(Rc::clone(&traffic), socket, request));
    }
}

/// Counts a tunnel while it exists.
struct TunnelCountGuard(Rc<TrafficState>);

impl TunnelCountGuard {
    fn new(traffic: &Rc<TrafficState>) -> Self {
        traffic.tunnels.set(traffic.tunnels.get() + 1);
        traffic.shared.metrics.tunnels.served.inc();
        Self(Rc::clone(traffic))
    }
}

impl Drop for TunnelCountGuard {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
        self.0.shared.metrics.tunnels.served.dec();
    }
}

async fn serve_tunnel(traffic: Rc<TrafficState>, socket: TcpStream, request: TunnelRequestFrame) {
    let _count = TunnelCountGuard::new(&traffic);
    let mut stream = PeerStream::new(socket, traffic.shared.metrics.peer_sent_bytes.clone());
    let (outcome, engine) = match connect_to_engine(&traffic, &request).await {
        Ok(engine) => (TunnelOutcome::Opened, Some(engine)),
        Err(outcome) => (outcome, None),
    };
    traffic.shared.metrics.tunnels.count_request(outcome);
    let response = TunnelResponseFrame { outcome: outcome.into() };
    if stream.send(FrameBody::TunnelResponse(response).encoded()).await.is_err() {
        return;
    }
    let (Some(host), Some(engine)) = (stream.into_socket(), engine) else { return };
    if set_dead_peer_timeout(&host, UNRESPONSIVE_TIMEOUT).is_ok() {
        forward(&traffic, host, engine).await;
    }
}

/// Connects to the engine of a request.
async fn connect_to_engine(
    traffic: &Rc<TrafficState>,
    request: &TunnelRequestFrame,
) -> Result<TcpStream, TunnelOutcome> {
    let shared = &traffic.shared;
    let limit = shared.profile.max_connections / TUNNEL_DIVISOR;
    if shared.links.is_isolated() || shared.is_stopping() || traffic.tunnels.get() > limit {
        return Err(TunnelOutcome::Unavailable);
    }
    let entry = find_engine(traffic, request).ok_or(TunnelOutcome::EngineChanged)?;
    match EnginePool::open_direct(&traffic.pool, &entry, traffic.now()).await {
        Ok(stream) => stream.into_socket().ok_or(TunnelOutcome::EngineUnreachable),
        Err(error) => {
            shared.metrics.count_connect_failure((&error).into());
            if error.kind() != ErrorKind::ConnectionRefused {
                return Err(failure_outcome(traffic));
            }
            let confirmed = shared.links.confirm_refusal(traffic.now()).await;
            Err(if confirmed { TunnelOutcome::EngineRefused } else { failure_outcome(traffic) })
        }
    }
}

/// Returns the outcome after a failed connect: this host may just have found that it is isolated.
fn failure_outcome(traffic: &TrafficState) -> TunnelOutcome {
    if traffic.shared.links.is_isolated() {
        TunnelOutcome::Unavailable
    } else {
        TunnelOutcome::EngineUnreachable
    }
}

fn find_engine(traffic: &TrafficState, request: &TunnelRequestFrame) -> Option<Arc<EngineEntry>> {
    let table = traffic.table();
    let mut ready = table.ready_engines(&request.service);
    let entry = ready.find(|entry| {
        *entry.name == *request.engine
            && is_same_incarnation(entry.incarnation, request.incarnation)
    })?;
    let availability = traffic.shared.availability().without_limit(entry);
    (availability != EngineAvailability::Departing).then(|| Arc::clone(entry))
}

/// What a tunnel has forwarded.
struct TunnelActivity {
    last_bytes: Cell<ClockMillis>,
    /// Whether the last bytes came from the requesting host, so that a response is pending.
    awaiting_response: Cell<bool>,
    /// Whether bytes of the requesting host are still to be written to the engine.
    has_unwritten_request: Cell<bool>,
}

/// How the forwarding of one direction ended.
enum ForwardEnd {
    /// The sending side closed its connection.
    Closed,
    /// The connection of the sending side failed.
    ReadFailed,
    /// The connection of the receiving side failed.
    WriteFailed,
}

/// Forwards bytes in both directions until either side closes its connection.
///
/// A response may end with its connection, so that the requesting host's one is closed in order
/// only if the engine's was, after all of the request that has arrived was written to it; it is reset
/// in all other cases, also when this process ends.
async fn forward(traffic: &TrafficState, mut host: TcpStream, mut engine: TcpStream) {
    let activity = TunnelActivity {
        last_bytes: Cell::new(traffic.now()),
        awaiting_response: Cell::new(false),
        has_unwritten_request: Cell::new(false),
    };
    let _ = (host.set_nodelay(true), engine.set_nodelay(true));
    if SockRef::from(&host).set_linger(Some(Duration::ZERO)).is_err() {
        return;
    }
    let (host_reader, host_writer) = host.split();
    let (engine_reader, engine_writer) = engine.split();
    let forward_request = async {
        let end = forward_direction(traffic, host_reader, engine_writer, &activity, true).await;
        if matches!(end, ForwardEnd::WriteFailed) {
            // A response that the engine sent before is still to be read.
            std::future::pending::<()>().await;
        }
    };
    let end = tokio::select! {
        biased;
        end = forward_direction(traffic, engine_reader, host_writer, &activity, false) => Some(end),
        // The requesting host cancels by closing its connection, which ends this function.
        () = forward_request => None,
        () = wait_until_stopped(traffic, &activity) => None,
    };
    let is_closed = matches!(end, Some(ForwardEnd::Closed));
    if is_closed && !activity.has_unwritten_request.get() && !is_reset_after_end(&engine).await {
        let _ = SockRef::from(&host).set_linger(None);
    }
}

/// Returns whether a connection is reset after its end: its peer had not received all that was sent.
async fn is_reset_after_end(socket: &TcpStream) -> bool {
    let _ = tokio::time::timeout(RESET_WAIT, socket.ready(Interest::ERROR)).await;
    !matches!(socket.take_error(), Ok(None))
}

async fn forward_direction(
    traffic: &TrafficState,
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    activity: &TunnelActivity,
    from_host: bool,
) -> ForwardEnd {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let count = match reader.read(&mut bytes).await {
            Ok(0) => return ForwardEnd::Closed,
            Ok(count) => count,
            Err(_) => return ForwardEnd::ReadFailed,
        };
        activity.last_bytes.set(traffic.now());
        activity.awaiting_response.set(from_host);
        activity.has_unwritten_request.set(from_host || activity.has_unwritten_request.get());
        if writer.write_all(&bytes[..count]).await.is_err() {
            return ForwardEnd::WriteFailed;
        }
        if from_host {
            activity.has_unwritten_request.set(false);
        }
    }
}

/// Counts a tunnel as an open request while it exists, so that a planned stop waits for it.
struct OpenTunnelGuard<'traffic>(&'traffic TrafficState);

impl<'traffic> OpenTunnelGuard<'traffic> {
    fn new(traffic: &'traffic TrafficState) -> Self {
        traffic.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(traffic)
    }
}

impl Drop for OpenTunnelGuard<'_> {
    fn drop(&mut self) {
        self.0.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Completes when this host stops and the tunnel has been idle for some time.
async fn wait_until_stopped(traffic: &TrafficState, activity: &TunnelActivity) {
    let mut stopping = traffic.shared.stopping.subscribe();
    // Can't fail: the shared state holds the sender.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    let _open = OpenTunnelGuard::new(traffic);
    loop {
        let idle = traffic.now().since(activity.last_bytes.get());
        if idle >= STOPPING_IDLE_LIMIT && !activity.awaiting_response.get() {
            return;
        }
        sleep(STOPPING_POLL_INTERVAL).await;
    }
}
