//! The hosts through which an isolated host reaches engines.
//!
//! A tunnel is a connection to an engine through another host. The isolated host spreads its tunnels
//! over the hosts that can open them, and avoids hosts that could not. The coordinator knows which
//! hosts are isolated and sends each of these the addresses of a few hosts that are not.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{clock::ClockMillis, fleet::HallName};

/// Cost of a host in another data hall, in tunnels.
const OTHER_HALL_COST: u32 = 4;

/// Backoff after the first failure of a host.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A host that may open tunnels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelCandidate {
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Its data hall, if known.
    pub hall: Option<HallName>,
}

#[derive(Debug, Clone)]
struct TunnelHost {
    candidate: TunnelCandidate,
    /// Number of tunnels through it.
    tunnels: u32,
    consecutive_failures: u32,
    backoff_until: ClockMillis,
}

impl TunnelHost {
    const fn new(candidate: TunnelCandidate) -> Self {
        Self {
            candidate,
            tunnels: 0,
            consecutive_failures: 0,
            backoff_until: ClockMillis::from_millis(0),
        }
    }
}

/// The hosts through which an isolated host reaches engines.
#[derive(Debug, Clone, Default)]
pub struct TunnelHosts {
    hosts: Vec<TunnelHost>,
    selections: usize,
}

impl TunnelHosts {
    /// Replaces the candidates; what is known of those that remain is kept.
    pub fn set_candidates(&mut self, candidates: Vec<TunnelCandidate>) {
        let previous = std::mem::take(&mut self.hosts);
        let host = |candidate: TunnelCandidate| {
            let known = previous.iter().find(|host| host.candidate.address == candidate.address);
            known.map_or_else(
                || TunnelHost::new(candidate.clone()),
                |host| TunnelHost { candidate: candidate.clone(), ..host.clone() },
            )
        };
        self.hosts = candidates.into_iter().map(host).collect();
    }

    /// Returns the host for the next tunnel, if any is available; `hall` is that of this host.
    pub fn select(&mut self, hall: &str, now: ClockMillis) -> Option<SocketAddr> {
        if self.hosts.is_empty() {
            return None;
        }
        self.selections = self.selections.wrapping_add(1);
        let start = self.selections % self.hosts.len();
        let (later, earlier) = self.hosts.split_at(start);
        let in_turn = earlier.iter().chain(later);
        let available = in_turn.filter(|host| now >= host.backoff_until);
        let cost = |host: &&TunnelHost| {
            let in_own_hall = host.candidate.hall.as_deref() == Some(hall);
            host.tunnels + if in_own_hall { 0 } else { OTHER_HALL_COST }
        };
        available.min_by_key(cost).map(|host| host.candidate.address)
    }

    /// Returns whether a tunnel can be tried.
    pub fn is_available(&self, now: ClockMillis) -> bool {
        self.hosts.iter().any(|host| now >= host.backoff_until)
    }

    /// Records an opened tunnel.
    pub fn record_opened(&mut self, address: SocketAddr) {
        if let Some(host) = self.host(address) {
            host.tunnels += 1;
            host.consecutive_failures = 0;
        }
    }

    /// Records the end of an opened tunnel.
    pub fn record_closed(&mut self, address: SocketAddr) {
        if let Some(host) = self.host(address) {
            host.tunnels = host.tunnels.saturating_sub(1);
        }
    }

    /// Records that a host could not open a tunnel, for a reason of its own.
    pub fn record_failure(&mut self, address: SocketAddr, now: ClockMillis) {
        if let Some(host) = self.host(address) {
            let backoff = INITIAL_BACKOFF * 2u32.pow(host.consecutive_failures.min(4));
            host.consecutive_failures += 1;
            host.backoff_until = now + backoff.min(MAX_BACKOFF);
        }
    }

    fn host(&mut self, address: SocketAddr) -> Option<&mut TunnelHost> {
        self.hosts.iter_mut().find(|host| host.candidate.address == address)
    }
}

/// Number of hosts that an isolated host is told of.
const SELECTED_HOSTS: usize = 4;

/// Number of these that are in its own data hall if possible; the whole hall may become isolated.
const SELECTED_IN_OWN_HALL: usize = 3;

/// A host's report of its links to engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLinksReport {
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Whether it can't connect to any engine.
    pub isolated: bool,
}

/// The links of all hosts, as reported to the coordinator.
#[derive(Debug, Clone, Default)]
pub struct TunnelDirectory {
    hosts: BTreeMap<Arc<str>, HostLinksReport>,
}

impl TunnelDirectory {
    /// Records a host's report.
    pub fn record(&mut self, host: &Arc<str>, report: HostLinksReport) {
        self.hosts.insert(Arc::clone(host), report);
    }

    /// Forgets a host.
    pub fn remove(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Forgets all hosts.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }

    /// Returns the number of isolated hosts.
    pub fn isolated_hosts(&self) -> usize {
        self.hosts.values().filter(|report| report.isolated).count()
    }

    /// Returns the hosts through which `host` should reach engines. Different hosts get different
    /// ones, so that each carries a similar part.
    pub fn select_for(&self, host: &str) -> Vec<TunnelCandidate> {
        let hall = self.hosts.get(host).map(|report| &report.hall);
        let key = xxh3_64(host.as_bytes());
        let mut connected: Vec<(u64, &HostLinksReport)> = self
            .hosts
            .iter()
            .filter(|(name, report)| !report.isolated && &***name != host)
            .map(|(name, report)| (xxh3_64_with_seed(name.as_bytes(), key), report))
            .collect();
        connected.sort_by_key(|(weight, _)| *weight);
        let (own, other): (Vec<_>, Vec<_>) =
            connected.into_iter().partition(|(_, report)| Some(&report.hall) == hall);
        let (first, rest) = own.split_at(own.len().min(SELECTED_IN_OWN_HALL));
        let selected = first.iter().chain(&other).chain(rest).take(SELECTED_HOSTS);
        let candidate = |(_, report): &(u64, &HostLinksReport)| TunnelCandidate {
            address: report.address,
            hall: Some(Arc::clone(&report.hall)),
        };
        selected.map(candidate).collect()
    }
}
