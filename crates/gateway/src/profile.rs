//! What a host is told about itself when it starts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use reelreel_core::{
    fleet::{HallName, retry_share::RetryPolicy},
    organisation::quota::QuotaTolerance,
    placement::HostCapacity,
};

/// Times and amounts that the operator binds the host to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OperatorBounds {
    /// How long a stopped host has before it is killed.
    pub stop_grace: Duration,
    /// Within which time a configuration that the store has taken is in force.
    pub max_configuration_delay: Duration,
    /// Within which time after the store has taken that an engine leaves it gets nothing new.
    pub max_leaving_delay: Duration,
    /// How long a holder of a lease waits out the holder before.
    pub handover_wait: Duration,
    /// Whether engines refuse the orders of earlier holders.
    pub engines_enforce_fencing: bool,
    /// Within which time nothing may begin on an older version of an adapter.
    pub max_version_delay: Duration,
    /// Further sends over all hosts.
    pub retry_policy: RetryPolicy,
    /// The window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// How far loads may exceed the store's rate within a window.
    pub load_overage: f64,
    /// How long after its withdrawal a key may be served, also by a host that can not hear of it; absent where
    /// nothing bounds it.
    pub max_revocation_delay: Option<Duration>,
    /// How far the sum of what all hosts grant may exceed an organisation's quota.
    pub quota_tolerance: QuotaTolerance,
}

/// What a host is told about itself when it starts.
#[derive(Debug, Clone)]
pub struct HostProfile {
    /// The host's name.
    pub name: Arc<str>,
    /// The data hall that it stands in.
    pub hall: HallName,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether the host takes requests.
    pub readiness_address: SocketAddr,
    /// Where other hosts of the system connect.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Addresses at which other hosts of the system may be found.
    pub seeds: Vec<SocketAddr>,
    /// The most client connections at a time.
    pub max_connections: usize,
    /// The most bytes of request bodies held at a time.
    pub max_body_bytes: usize,
    /// Where the platform's store is.
    pub store_address: SocketAddr,
    /// How many partitions the store deals to a group.
    pub partitions: u32,
    /// The shortest time to live that the store takes for a member of a group.
    pub min_membership_ttl: Duration,
    /// What the host has to work with.
    pub capacity: HostCapacity,
    /// Whether this is the very first start of the whole system, before which nothing was spent of any budget.
    pub first_start: bool,
    /// Times and amounts that the operator binds the host to.
    pub bounds: OperatorBounds,
}
