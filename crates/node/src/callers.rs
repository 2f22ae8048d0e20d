//! The callers' HTTP server, with one thread for each connection.
//!
//! It parses heads with `httparse` on plain sockets: `rouille` buffers streamed chunks, and
//! `tiny_http` has no timeout for slow senders (docs/DESIGN.md, "HTTP towards callers"). The
//! operators' endpoints need neither and use `rouille`.

mod connection;
mod events;
mod exchange;
mod open_body;
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

/// Stack size of a connection thread.
const CONNECTION_STACK_BYTES: usize = 256 << 10;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by all connections.
pub struct CallerServer {
    host: HostId,
    incarnation: Incarnation,
    counter: AtomicU32,
    open_connections: AtomicUsize,
    /// Requests being handled now.
    active_requests: AtomicUsize,
    limits: CallerLimits,
    control: ControlSender,
    clock: Arc<dyn ClockSource>,
    backends: ureq::Agent,
}

impl CallerServer {
    /// Creates the server of a host.
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

    /// Waits until no request is being handled; returns false on timeout.
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

    /// Returns whether a dispatch is too old to be sent, as after a pause of this process.
    fn is_expired(&self, dispatch: &RequestDispatch) -> bool {
        self.clock.now().since(dispatch.issued_at) > MAX_DISPATCH_DELAY
    }

    fn next_request_id(&self) -> RequestId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        request_id(self.host, self.incarnation, counter)
    }
}

/// Decrements the number of open connections when dropped.
struct ConnectionGuard(Arc<CallerServer>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts accepting connections on a bound listener.
///
/// # Errors
/// Returns why the listener has no address or the thread could not be started.
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
