//! Metrics of engines that ended, and of the quarantine that follows.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Labels of counters of runs that ends of engines interrupted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InterruptedRunLabels {
    /// Whether the first event had arrived.
    begun: bool,
}

/// Metrics of engines that ended, and of the quarantine that follows.
#[derive(Debug, Default)]
pub struct QuarantineMetrics {
    /// Engines that crashed while this host had requests at them.
    pub engines_ended: Counter,
    /// Runs that the ends of engines interrupted.
    interrupted_runs: Family<InterruptedRunLabels, Counter>,
    /// Requests and prompt parts during which engines crashed since they last succeeded.
    pub suspects: Gauge,
    /// Requests in quarantine because engines crashed during them.
    pub held_requests: Gauge,
    /// Prompt parts whose requests are in quarantine.
    pub held_parts: Gauge,
}

impl QuarantineMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Engines that ended while this host had runs at them";
        registry.register("engines_ended", help, self.engines_ended.clone());
        let help = "Runs that ends of engines interrupted, by whether their first event had come";
        registry.register("interrupted_runs", help, self.interrupted_runs.clone());
        let help = "Requests and prompt parts under which engines ended since they last succeeded";
        registry.register("suspects", help, self.suspects.clone());
        let help = "Requests that are held back since engines ended under them";
        registry.register("held_requests", help, self.held_requests.clone());
        let help = "Prompt parts whose requests are held back since engines ended under them";
        registry.register("held_prompt_parts", help, self.held_parts.clone());
    }

    /// Counts runs that the end of an engine interrupted, after and before their first event.
    pub fn count_interrupted_runs(&self, begun: usize, waiting: usize) {
        for (begun, runs) in [(true, begun), (false, waiting)] {
            self.interrupted_runs
                .get_or_create(&InterruptedRunLabels { begun })
                .inc_by(runs as u64);
        }
    }
}
