//! The border to callers: HTTP in, answers out, one thread for each connection.
//!
//! The brief's `rouille` holds streamed chunks back until its buffer is full, and its nearest kin
//! `tiny_http` gives no way to put a time limit on a slow sender, so heads are parsed by
//! `httparse` on plain sockets here (docs/DESIGN.md, "HTTP towards callers"). Operators' pages,
//! where neither matters, are served by `rouille`.

mod connection;
mod events;
mod exchange;
mod plain;
mod refusal;
mod request;
mod route;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use reelreel_core::{
    ClockSource,
    id::{HostId, Incarnation, RequestId, request_id},
    node::{MAX_DISPATCH_DELAY, RequestDispatch},
};

pub use connection::{HttpHead, HttpRequest};

use crate::{control::ControlSender, settings::CallerLimits};

/// The stack of a thread that serves one connection.
const CONNECTION_STACK_BYTES: usize = 256 << 10;

/// How long an accept that failed rests.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What all connections share.
pub struct CallerServer {
    host: HostId,
    incarnation: Incarnation,
    counter: AtomicU32,
    open_connections: AtomicUsize,
    /// Requests that are being answered now.
    active_requests: AtomicUsize,
    limits: CallerLimits,
    control: ControlSender,
    clock: Arc<dyn ClockSource>,
    backends: ureq::Agent,
}

impl CallerServer {
    /// Makes the border of a host.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        limits: CallerLimits,
        control: ControlSender,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        let backends = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_per_read(Some(limits.read_timeout))
            .input_buffer_size(16 << 10)
            .output_buffer_size(16 << 10)
            .build()
            .into();
        Self {
            host,
            incarnation,
            counter: AtomicU32::new(0),
            open_connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            limits,
            control,
            clock,
            backends,
        }
    }

    /// Waits until every answer that has begun is written; says whether that came to pass.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let deadline = Instant::now() + timeout;
        while self.active_requests.load(Ordering::Relaxed) > 0 {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Says whether an order is too old to be carried out, as after a pause of this process.
    fn is_expired(&self, dispatch: &RequestDispatch) -> bool {
        self.clock.now().since(dispatch.issued_at) > MAX_DISPATCH_DELAY
    }

    fn next_request_id(&self) -> RequestId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        request_id(self.host, self.incarnation, counter)
    }
}

/// Counts a connection as long as it lives.
struct ConnectionGuard(Arc<CallerServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts to accept callers on a bound listener.
///
/// # Errors
/// Returns why the listener has no address.
pub fn start_callers(
    server: Arc<CallerServer>,
    listener: TcpListener,
    stop: Arc<AtomicBool>,
) -> std::io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    thread::Builder::new().name(String::from("callers")).spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            let open_connections = server.open_connections.fetch_add(1, Ordering::Relaxed);
            let guard = ConnectionGuard(Arc::clone(&server));
            if open_connections >= server.limits.max_connections {
                connection::refuse_over_limit(stream);
                continue;
            }
            let spawned =
                thread::Builder::new().stack_size(CONNECTION_STACK_BYTES).spawn(move || {
                    connection::serve_connection(&guard.0, stream);
                });
            drop(spawned);
        }
    })?;
    Ok(address)
}
