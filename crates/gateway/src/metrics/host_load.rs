//! Metrics of the use of the host's own processor, link and descriptors.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use reelreel_core::fleet::host_load::HostLoad;

/// Why a client's connection was closed before anything was read from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum UnreadCloseCause {
    /// The maximum number of client connections is open.
    ConnectionLimit,
}

/// Labels of the counter of connections that were closed unread.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnreadCloseLabels {
    /// Why the connection was closed.
    cause: UnreadCloseCause,
}

/// Metrics of the use of the host's own resources.
#[derive(Debug)]
pub struct HostLoadMetrics {
    /// How late the event loop ran a task that was due.
    pub loop_delay: Histogram,
    /// Used part of the link in the busier direction.
    link_use: Gauge<f64, AtomicU64>,
    /// Use of the resource that is closest to its limit, relative to what may be used of it.
    pressure: Gauge<f64, AtomicU64>,
    /// Client connections that were closed before anything was read from them, by cause.
    unread_closes: Family<UnreadCloseLabels, Counter>,
}

impl Default for HostLoadMetrics {
    fn default() -> Self {
        Self {
            loop_delay: Histogram::new(exponential_buckets(0.001, 2.0, 11)),
            link_use: Gauge::default(),
            pressure: Gauge::default(),
            unread_closes: Family::default(),
        }
    }
}

impl HostLoadMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "How late the event loop ran a task that was due, in seconds";
        registry.register("event_loop_delay_seconds", help, self.loop_delay.clone());
        let help = "Used part of the host's link, in the busier direction";
        registry.register("link_use", help, self.link_use.clone());
        let help = "Use of the host's scarcest resource, relative to what may be used of it";
        registry.register("host_pressure", help, self.pressure.clone());
        let help = "Client connections closed before anything was read from them, by cause";
        registry.register("connections_closed_unread", help, self.unread_closes.clone());
    }

    /// Sets the gauges.
    pub fn set(&self, load: &HostLoad) {
        self.link_use.set(load.link_use());
        self.pressure.set(load.pressure().use_ratio);
    }

    /// Counts a client connection that was closed before anything was read from it.
    pub fn count_unread_close(&self, cause: UnreadCloseCause) {
        self.unread_closes.get_or_create(&UnreadCloseLabels { cause }).inc();
    }
}
