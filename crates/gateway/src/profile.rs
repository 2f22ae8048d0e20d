//! The configuration with which a host starts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use reelreel_core::{
    fleet::{HallName, retry_share::RetryPolicy},
    organisation::quota::QuotaTolerance,
    placement::HostCapacity,
};

/// Limits that the operator sets for the host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OperatorBounds {
    /// Grace period of a planned stop, after which the host is killed.
    pub stop_grace: Duration,
    /// Maximum time from the store's acceptance of a configuration until it is in force.
    pub max_configuration_delay: Duration,
    /// Maximum time from the store's acceptance of an engine's departure until the engine gets no new requests.
    pub max_leaving_delay: Duration,
    /// How long a new lease holder waits for the previous holder to stop.
    pub handover_wait: Duration,
    /// Whether engines reject orders with the fencing token of an earlier lease holder.
    pub engines_enforce_fencing: bool,
    /// Maximum time from the publication of an adapter version until no request starts on an older one.
    pub max_version_delay: Duration,
    /// Retry budget, shared by all hosts.
    pub retry_policy: RetryPolicy,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// How far loads may exceed the weight store's rate within a window.
    pub load_overage: f64,
    /// Maximum time that a revoked key is still served, also by a host that is cut off from updates; absent for no
    /// bound.
    pub max_revocation_delay: Option<Duration>,
    /// How far the sum of all hosts' grants may exceed an organisation's quota.
    pub quota_tolerance: QuotaTolerance,
}

/// The configuration with which a host starts.
#[derive(Debug, Clone)]
pub struct HostProfile {
    /// The host's name.
    pub name: Arc<str>,
    /// The host's data hall.
    pub hall: HallName,
    /// Listening address for clients.
    pub client_address: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Listening address for other hosts.
    pub peer_address: SocketAddr,
    /// Listening address for metrics.
    pub metrics_address: SocketAddr,
    /// Peer addresses of hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of concurrent client connections.
    pub max_connections: usize,
    /// Maximum total size of buffered request bodies. Unit: bytes.
    pub max_body_bytes: usize,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Number of partitions that the store assigns to the members of a group.
    pub partitions: u32,
    /// Minimum time to live that the store accepts for a group member.
    pub min_membership_ttl: Duration,
    /// CPU and network capacity of the host.
    pub capacity: HostCapacity,
    /// Whether this is the first start of the whole system, so that all quotas are unspent.
    pub first_start: bool,
    /// Limits that the operator sets for the host.
    pub bounds: OperatorBounds,
}
