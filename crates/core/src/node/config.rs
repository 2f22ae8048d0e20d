//! Configuration of a host core, with its intervals and timeouts.

use std::{sync::Arc, time::Duration};

use crate::{
    engine::{EngineTimes, ResidencyPolicy, ValuePolicy},
    id::{HallId, HostId, Incarnation},
    member::MemberTimeouts,
};

/// Intervals and timeouts of a host. The defaults suit data halls a few milliseconds apart.
#[derive(Debug, Clone, Copy)]
pub struct NodeTimes {
    /// The interval between heartbeats.
    pub heartbeat: Duration,
    /// The number of hosts that each heartbeat goes to.
    pub fanout: usize,
    /// How long a host may take to answer a heartbeat before it is suspected.
    pub ack_timeout: Duration,
    /// How long a suspected host has to refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// How long a dead host is kept in the member table.
    pub dead_retention: Duration,
    /// How long an owner may take to answer a permit ask.
    pub permit_ask_timeout: Duration,
    /// The interval at which a queued permit ask is repeated to check that it is still queued.
    pub queued_recheck_interval: Duration,
    /// The delay before a request is routed again; it grows with each attempt.
    pub reroute_delay: Duration,
    /// The minimum time between two appends of claims.
    pub claim_interval: Duration,
    /// How long a backend server that was full or refused a connection is avoided.
    pub avoid_duration: Duration,
    /// The interval at which an owned engine's report is fetched.
    pub report_every: Duration,
    /// The gap between two ticks above which the process counts as paused.
    pub pause_threshold: Duration,
    /// How long a stopping host waits for other hosts to take over its engines.
    pub handover_timeout: Duration,
    /// How long a host listens after its start before it owns engines, so that hosts that start
    /// together learn of each other first.
    pub join_delay: Duration,
    /// The number of records after which a new snapshot is written.
    pub snapshot_record_limit: u64,
    /// The age after which a snapshot that lacks any record is replaced.
    pub snapshot_max_lag: Duration,
    /// The age after which a snapshot is rewritten unchanged, before the log's retention drops it.
    pub snapshot_renewal_interval: Duration,
    /// How long a new owner of an engine without a fence waits for the previous owner to stop.
    pub handover_wait: Duration,
    /// How long bytes already sent may take to reach an engine without a fence.
    pub quiet: Duration,
    /// The delay before a lost fence is taken again.
    pub retake_delay: Duration,
}

impl Default for NodeTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            fanout: 3,
            ack_timeout: Duration::from_millis(800),
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_mins(10),
            permit_ask_timeout: Duration::from_millis(500),
            queued_recheck_interval: Duration::from_secs(2),
            reroute_delay: Duration::from_millis(100),
            claim_interval: Duration::from_millis(100),
            avoid_duration: Duration::from_secs(2),
            report_every: Duration::from_secs(2),
            pause_threshold: Duration::from_secs(2),
            handover_timeout: Duration::from_secs(8),
            join_delay: Duration::from_millis(1_500),
            snapshot_record_limit: 64,
            snapshot_max_lag: Duration::from_mins(30),
            snapshot_renewal_interval: Duration::from_hours(6),
            handover_wait: Duration::from_secs(10),
            quiet: Duration::from_secs(10),
            retake_delay: Duration::from_secs(2),
        }
    }
}

impl NodeTimes {
    pub(super) const fn member_timeouts(&self) -> MemberTimeouts {
        MemberTimeouts {
            ack_timeout: self.ack_timeout,
            suspicion_timeout: self.suspicion_timeout,
            dead_retention: self.dead_retention,
        }
    }

    pub(super) const fn engine(&self, half_life: Duration) -> EngineTimes {
        EngineTimes {
            handover_wait: self.handover_wait,
            quiet: self.quiet,
            retake_delay: self.retake_delay,
            half_life,
            initial_load_duration: Duration::from_millis(340),
        }
    }
}

/// The configuration of a host.
#[derive(Clone)]
pub struct NodeConfig {
    /// The host's ID.
    pub host: HostId,
    /// The process's incarnation: its start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Its data hall.
    pub hall: HallId,
    /// Its address for peers, as `ip:port`.
    pub peer_address: String,
    /// Addresses of some peers, used while the platform's host list is unavailable at startup.
    pub seeds: Vec<String>,
    /// The seed of the host's random choices.
    pub seed: u64,
    /// Its intervals and timeouts.
    pub times: NodeTimes,
    /// The policy that ranks loads and evictions.
    pub policy: Arc<dyn ResidencyPolicy>,
}

impl NodeConfig {
    /// Creates a configuration with the default times and policy.
    pub fn new(host: HostId, hall: HallId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            hall,
            peer_address: String::new(),
            seeds: Vec::new(),
            seed: u64::from(host),
            times: NodeTimes::default(),
            policy: Arc::new(ValuePolicy),
        }
    }

    /// Sets the host's address for peers.
    #[must_use]
    pub fn peer_address(mut self, address: impl Into<String>) -> Self {
        self.peer_address = address.into();
        self
    }

    /// Sets the seed addresses.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<String>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the intervals and timeouts.
    #[must_use]
    pub const fn times(mut self, times: NodeTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets the policy that ranks loads and evictions.
    #[must_use]
    pub fn policy(mut self, policy: Arc<dyn ResidencyPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the seed of the host's random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
