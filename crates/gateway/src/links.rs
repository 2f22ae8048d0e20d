//! This host's links to engines, shared by its threads.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    chart::LinkState,
    fleet::{
        EngineName, HallName,
        engine_links::{ConnectFailure, LinkChange, LinkMonitor},
        tunnel_hosts::TunnelHosts,
    },
};
use tokio::sync::{Notify, watch};

/// Maximum time to wait for the result of a check: longer than a connect may take.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(500);

/// This host's links to engines.
#[derive(Debug)]
pub struct HostLinks {
    /// This host's data hall.
    pub hall: HallName,
    /// The host's name, for other hosts.
    pub host: Arc<str>,
    monitor: Mutex<LinkMonitor>,
    tunnel_hosts: Mutex<TunnelHosts>,
    state: watch::Sender<LinkState>,
    /// Changes that have not been logged.
    changes: Mutex<Vec<LinkChange>>,
    /// Engines to which connects failed while others succeeded, until they are reported.
    engines_at_fault: Mutex<Vec<EngineName>>,
    /// Notified when a check may be due, or there is something to log or report.
    pub updated: Notify,
}

impl HostLinks {
    /// Creates the links of a host that has not tried any.
    pub fn new(host: Arc<str>, hall: HallName) -> Self {
        Self {
            hall,
            host,
            monitor: Mutex::default(),
            tunnel_hosts: Mutex::default(),
            state: watch::Sender::new(LinkState::initial()),
            changes: Mutex::default(),
            engines_at_fault: Mutex::default(),
            updated: Notify::new(),
        }
    }

    /// Locks the monitor.
    pub fn monitor(&self) -> MutexGuard<'_, LinkMonitor> {
        lock(&self.monitor)
    }

    /// Locks the hosts through which an isolated host reaches engines.
    pub fn tunnel_hosts(&self) -> MutexGuard<'_, TunnelHosts> {
        lock(&self.tunnel_hosts)
    }

    /// Returns whether no engine can be connected to from this host.
    pub fn is_isolated(&self) -> bool {
        *self.state.borrow() == LinkState::Isolated
    }

    /// Returns whether this host may be able to send requests to engines, itself or through other
    /// hosts.
    pub fn reaches_engines(&self, now: ClockMillis) -> bool {
        !self.monitor().has_lost_open_connections(now) || self.tunnel_hosts().is_available(now)
    }

    /// Returns a receiver of the state.
    pub fn state_changes(&self) -> watch::Receiver<LinkState> {
        self.state.subscribe()
    }

    /// Records a failed connect, or a new connection that failed before it was of use.
    pub fn record_failure(&self, engine: &EngineName, failure: ConnectFailure, now: ClockMillis) {
        let change = self.monitor().record_failure(engine, failure, now);
        self.publish(change);
    }

    /// Records bytes received on a direct connection that was opened at `opened_at`.
    pub fn record_received(&self, opened_at: ClockMillis, now: ClockMillis) {
        let (change, at_fault) = self.monitor().record_received(opened_at, now);
        self.publish(change);
        self.report_at_fault(at_fault);
    }

    /// Returns whether a refused connect shows that its engine's process has ended, after other
    /// engines were tried.
    ///
    /// A host whose links are cut can be refused by all engines.
    pub async fn confirm_refusal(&self, now: ClockMillis) -> bool {
        let change = self.monitor().suspect(now);
        self.publish(change);
        self.verdict().await == LinkState::Connected
    }

    /// Returns the state, after the end of a check that is under way.
    pub async fn verdict(&self) -> LinkState {
        let mut changes = self.state.subscribe();
        let decided = changes.wait_for(|state| *state != LinkState::Suspected);
        match tokio::time::timeout(VERDICT_TIMEOUT, decided).await {
            Ok(Ok(state)) => *state,
            Ok(Err(_)) | Err(_) => LinkState::Suspected,
        }
    }

    /// Publishes a change of the monitor's state.
    pub fn publish(&self, change: Option<LinkChange>) {
        let Some(change) = change else { return };
        self.state.send_replace(change.state);
        lock(&self.changes).push(change);
        self.updated.notify_one();
    }

    /// Queues engines that are at fault themselves to be reported to their placers.
    pub fn report_at_fault(&self, engines: Vec<EngineName>) {
        if !engines.is_empty() {
            lock(&self.engines_at_fault).extend(engines);
            self.updated.notify_one();
        }
    }

    /// Takes the changes to log.
    pub fn take_changes(&self) -> Vec<LinkChange> {
        std::mem::take(&mut *lock(&self.changes))
    }

    /// Takes the engines to report.
    pub fn take_engines_at_fault(&self) -> Vec<EngineName> {
        std::mem::take(&mut *lock(&self.engines_at_fault))
    }
}

/// Counts a tunnel at the host that it leads through while it exists.
#[derive(Debug)]
pub struct TunnelGuard {
    links: Arc<HostLinks>,
    /// The address of the host that the tunnel leads through.
    pub address: SocketAddr,
}

impl TunnelGuard {
    /// Counts an opened tunnel.
    pub fn new(links: &Arc<HostLinks>, address: SocketAddr) -> Self {
        links.tunnel_hosts().record_opened(address);
        Self { links: Arc::clone(links), address }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.links.tunnel_hosts().record_closed(self.address);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
