//! What a host learns from its own settings, and the times it goes by.

use std::{sync::Arc, time::Duration};

use crate::{
    engine::{EngineTimes, ResidencyPolicy, ValuePolicy},
    id::{HallId, HostId, Incarnation},
    member::MemberTimeouts,
};

/// The times a host goes by. The defaults suit halls a few milliseconds apart.
#[derive(Debug, Clone, Copy)]
pub struct NodeTimes {
    /// How often heartbeats go out.
    pub heartbeat: Duration,
    /// To how many hosts each time.
    pub fanout: usize,
    /// How long the answer to a heartbeat may take.
    pub ack_timeout: Duration,
    /// How long a suspected host has to refute.
    pub suspicion_timeout: Duration,
    /// How long a dead host is remembered.
    pub dead_retention: Duration,
    /// How long an owner may take to answer an ask for a permit.
    pub ask_within: Duration,
    /// How often a request that waits at an owner makes sure that it still does.
    pub ask_again: Duration,
    /// How long to wait before asking again after an owner said that it is none.
    pub reroute_after: Duration,
    /// The least time between two appends of claims.
    pub claim_interval: Duration,
    /// How long a backend server that refused a connection is not tried again.
    pub avoid_for: Duration,
    /// How often an owned engine is asked for its report.
    pub report_every: Duration,
    /// A gap between two ticks above this means that the process was paused.
    pub pause_limit: Duration,
    /// How long a stopping host keeps engines that no other host has taken over.
    pub handover_limit: Duration,
    /// How long a host that has just started listens before it owns anything, so that hosts that
    /// start together do not each take over what belongs to others.
    pub join_wait: Duration,
    /// How many log records a snapshot may lie behind.
    pub snapshot_every: u64,
    /// How long a snapshot may lie behind at all.
    pub snapshot_after: Duration,
    /// How long before a snapshot is written anew although nothing changed: the log forgets it too.
    pub snapshot_renew: Duration,
    /// How long a new owner of an engine without fence waits for the earlier one to stop.
    pub handover_wait: Duration,
    /// How long bytes already sent may take to reach an engine without fence.
    pub quiet: Duration,
    /// How long to wait after a fence was lost before taking it again.
    pub retake_wait: Duration,
}

impl Default for NodeTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            fanout: 3,
            ack_timeout: Duration::from_millis(800),
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_mins(10),
            ask_within: Duration::from_millis(500),
            ask_again: Duration::from_secs(2),
            reroute_after: Duration::from_millis(100),
            claim_interval: Duration::from_millis(100),
            avoid_for: Duration::from_secs(2),
            report_every: Duration::from_secs(2),
            pause_limit: Duration::from_secs(2),
            handover_limit: Duration::from_secs(8),
            join_wait: Duration::from_millis(1_500),
            snapshot_every: 64,
            snapshot_after: Duration::from_mins(30),
            snapshot_renew: Duration::from_hours(6),
            handover_wait: Duration::from_secs(10),
            quiet: Duration::from_secs(10),
            retake_wait: Duration::from_secs(2),
        }
    }
}

impl NodeTimes {
    pub(super) const fn member(&self) -> MemberTimeouts {
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
            retake_wait: self.retake_wait,
            half_life,
            usual_load: Duration::from_millis(340),
        }
    }
}

/// What a host is told at its start.
#[derive(Clone)]
pub struct NodeConfig {
    /// The host.
    pub host: HostId,
    /// Its life: when it started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Its data hall.
    pub hall: HallId,
    /// Where peers reach it, as `ip:port`.
    pub peer_address: String,
    /// Where some peers are reached, for a start while the platform is away.
    pub seeds: Vec<String>,
    /// Seeds the choice of peers and the jitter of pauses.
    pub seed: u64,
    /// The times it goes by.
    pub times: NodeTimes,
    /// How loads and stays are valued.
    pub policy: Arc<dyn ResidencyPolicy>,
}

impl NodeConfig {
    /// Makes the settings of a host with the usual times and policy.
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

    /// Sets where peers reach the host.
    #[must_use]
    pub fn peer_address(mut self, address: impl Into<String>) -> Self {
        self.peer_address = address.into();
        self
    }

    /// Names where some peers are reached.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<String>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the times it goes by.
    #[must_use]
    pub const fn times(mut self, times: NodeTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets how loads and stays are valued.
    #[must_use]
    pub fn policy(mut self, policy: Arc<dyn ResidencyPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Seeds the host's random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
