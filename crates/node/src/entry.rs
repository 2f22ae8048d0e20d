//! Starts the control thread and the I/O threads of an entry host.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver},
    },
    thread::JoinHandle,
    time::Duration,
};

use eyre::WrapErr;
use reelreel_core::{ClockSource, MonotonicClock, NodeConfig, NodeCore, NodeEvent};
use socket2::{Domain, Socket, Type};

use crate::{
    callers::{CallerServer, start_callers},
    clients::{EngineClient, EngineHttpClient, HostListClient, LogClient, PlatformHttpClient},
    control::{ControlOutputs, ControlSender, control_channel, start_control, wall_millis},
    operators::start_operators,
    peers::start_peers,
    platform::{start_appenders, start_host_list_poller, start_readers, start_report_fetchers},
    settings::NodeSettings,
};

/// A running entry host.
pub struct EntryHost {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    control: ControlSender,
    server: Arc<CallerServer>,
    thread: Option<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    stopped: Receiver<()>,
}

impl EntryHost {
    /// Starts an entry host.
    ///
    /// # Errors
    /// Returns which address could not be listened on and why, or that a thread could not be started.
    pub fn start(settings: &NodeSettings) -> eyre::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (control, inputs) = control_channel();
        let peer_listener = bind("peers", settings.peers)?;
        let peer_address = peer_listener.local_addr()?;
        let peers = start_peers(settings.host, peer_listener, control.clone())?;
        let platform = PlatformHttpClient::new(settings.platform.to_string());
        let log: Arc<dyn LogClient> = Arc::new(platform.clone());
        let hosts: Arc<dyn HostListClient> = Arc::new(platform);
        let engines: Arc<dyn EngineClient> = Arc::new(EngineHttpClient::new());
        let incarnation = wall_millis();
        let (stopped_sender, stopped) = mpsc::channel();
        let outputs = ControlOutputs {
            peers: peers.sender,
            appends: start_appenders(Arc::clone(&log), control.clone()),
            follows: start_readers(&log, &control, &stop),
            reports: start_report_fetchers(&engines, &control),
            engines,
            stopped: stopped_sender,
        };
        let config = NodeConfig::new(settings.host, settings.hall, incarnation)
            .peer_address(peer_address.to_string())
            .seeds(settings.seeds.clone())
            .seed(incarnation ^ u64::from(settings.host))
            .times(settings.times);
        let clock: Arc<dyn ClockSource> = Arc::new(MonotonicClock::new());
        let core = NodeCore::new(config);
        let thread = start_control(
            core,
            Arc::clone(&clock),
            outputs,
            inputs,
            control.clone(),
            Arc::clone(&stop),
        );
        start_host_list_poller(
            hosts,
            settings.host_list_interval,
            control.clone(),
            Arc::clone(&stop),
        );
        let operators = start_operators(
            settings.operators,
            control.clone(),
            peers.counters,
            Arc::clone(&stop),
        )?;
        let server =
            CallerServer::new(settings.host, incarnation, settings.limits, control.clone(), clock);
        let listener = bind("callers", settings.callers)?;
        let server = Arc::new(server);
        let callers = start_callers(Arc::clone(&server), listener, Arc::clone(&stop))?;
        log::info!("host {} listens for callers on {callers}", settings.host);
        Ok(Self {
            callers,
            peers: peer_address,
            operators,
            control,
            server,
            thread: Some(thread),
            stop,
            stopped,
        })
    }

    /// Returns the address for callers.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for peers.
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address for operators.
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Starts a planned stop.
    pub fn drain(&self) {
        self.control.send_event(NodeEvent::StopRequested);
    }

    /// Waits until the planned stop is complete and the last response is written; returns false on
    /// timeout.
    pub fn wait_until_stopped(&self, timeout: Duration) -> bool {
        const RESPONSES_TIMEOUT: Duration = Duration::from_secs(5);
        let stopped = self.stopped.recv_timeout(timeout).is_ok();
        stopped && self.server.wait_idle(RESPONSES_TIMEOUT)
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The accept thread blocks in `accept`; a connection makes it check the stop flag.
        drop(std::net::TcpStream::connect(self.callers));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn bind(purpose: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    listen(address).wrap_err_with(|| {
        format!("can not listen for {purpose} on {address}; choose a free address")
    })
}

/// Listens with a larger backlog than the standard library's 128 connections: in a burst the
/// connections beyond the backlog are dropped and retried by the client only after a second.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: i32 = 4096;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
