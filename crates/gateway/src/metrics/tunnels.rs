//! Metrics of this host's links to engines, and of tunnels.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::peers::tunnel_messages::TunnelOutcome;

/// Labels of counters of tunnels.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TunnelLabels {
    /// Whether the tunnel was opened, or why not.
    outcome: &'static str,
}

/// Metrics of this host's links to engines, and of tunnels.
#[derive(Debug, Clone)]
pub struct TunnelMetrics {
    /// Tunnels that this host asked others for.
    opened: Family<TunnelLabels, Counter>,
    /// Tunnels that others asked this host for.
    requested: Family<TunnelLabels, Counter>,
    /// Tunnels that this host serves.
    pub served: Gauge,
    /// Time until a tunnel was opened.
    pub open_time: Histogram,
    /// Whether this host can't connect to any engine.
    pub isolated: Gauge,
    /// Hosts that can't connect to any engine, as known to the coordinator.
    pub isolated_hosts: Gauge,
    /// Requests sent through tunnels.
    pub sends: Counter,
}

impl Default for TunnelMetrics {
    fn default() -> Self {
        Self {
            opened: Family::default(),
            requested: Family::default(),
            served: Gauge::default(),
            open_time: Histogram::new(exponential_buckets(0.001, 2.0, 10)),
            isolated: Gauge::default(),
            isolated_hosts: Gauge::default(),
            sends: Counter::default(),
        }
    }
}

impl TunnelMetrics {
    /// Counts a tunnel that this host asked another one for.
    pub fn count_open(&self, outcome: TunnelOutcome) {
        self.opened.get_or_create(&TunnelLabels { outcome: outcome.name() }).inc();
    }

    /// Counts a tunnel that another host asked this one for.
    pub fn count_request(&self, outcome: TunnelOutcome) {
        self.requested.get_or_create(&TunnelLabels { outcome: outcome.name() }).inc();
    }

    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Tunnels that this host asked others for, by outcome";
        registry.register("tunnels_opened", help, self.opened.clone());
        let help = "Tunnels that other hosts asked this one for, by outcome";
        registry.register("tunnels_requested", help, self.requested.clone());
        let help = "Open tunnels that this host serves";
        registry.register("tunnels_served", help, self.served.clone());
        let help = "Time until a tunnel was opened, in seconds";
        registry.register("tunnel_open_seconds", help, self.open_time.clone());
        let help = "Whether this host can connect to no engine";
        registry.register("isolated", help, self.isolated.clone());
        let help = "Hosts that can connect to no engine, where this host coordinates";
        registry.register("isolated_hosts", help, self.isolated_hosts.clone());
        let help = "Requests that this host sent through tunnels";
        registry.register("tunnel_sends", help, self.sends.clone());
    }
}
