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

/// Why the host takes on no further client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum IntakePauseCause {
    /// The maximum number of client connections is open.
    ConnectionLimit,
    /// The host's processor or link is used up.
    Overload,
}

/// Labels of the counter of times without new client connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct IntakePauseLabels {
    /// Why none was taken on.
    cause: IntakePauseCause,
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
    /// Maximum number of busy connections while the host is overloaded, or -1.
    concurrency_limit: Gauge<f64, AtomicU64>,
    /// Times at which the host stopped listening for clients, by cause.
    intake_pauses: Family<IntakePauseLabels, Counter>,
}

impl Default for HostLoadMetrics {
    fn default() -> Self {
        Self {
            loop_delay: Histogram::new(exponential_buckets(0.001, 2.0, 11)),
            link_use: Gauge::default(),
            pressure: Gauge::default(),
            concurrency_limit: Gauge::default(),
            intake_pauses: Family::default(),
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
        let help = "Maximum number of busy client connections while the host is overloaded, or -1";
        registry.register("concurrency_limit", help, self.concurrency_limit.clone());
        let help = "Times at which the host stopped listening for clients, by cause";
        registry.register("intake_pauses", help, self.intake_pauses.clone());
    }

    /// Sets the gauges.
    pub fn set(&self, load: &HostLoad, limit: Option<f64>) {
        self.concurrency_limit.set(limit.unwrap_or(-1.0));
        self.link_use.set(load.link_use());
        self.pressure.set(load.pressure().use_ratio);
    }

    /// Counts a time at which the host stopped listening for clients.
    pub fn count_pause(&self, cause: IntakePauseCause) {
        self.intake_pauses.get_or_create(&IntakePauseLabels { cause }).inc();
    }
}
