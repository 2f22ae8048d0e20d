//! Metrics of requests whose adapter no engine holds, where clients have little time to retry.

use std::time::Duration;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use reelreel_core::fleet::cold_decision::DecisionCause;

/// Labels of the histograms of announced retry times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnnouncedLabels {
    /// Whether the adapter was loaded at the announced time.
    kept: bool,
}

/// Labels of the counter of returned requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    /// Whether the adapter was loaded.
    loaded: bool,
}

/// Labels of the counter of requests that were held and then refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabels {
    /// The cause of the refusal.
    cause: &'static str,
}

/// Metrics of requests whose adapter no engine holds.
#[derive(Debug)]
pub struct ColdMetrics {
    announced: Family<AnnouncedLabels, Histogram, fn() -> Histogram>,
    returned: Family<ReturnLabels, Counter>,
    held_refused: Family<HeldLabels, Counter>,
}

/// Returns a histogram of retry times, from 50 ms up.
fn announced_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.05, 1.6, 10))
}

impl Default for ColdMetrics {
    fn default() -> Self {
        Self {
            announced: Family::new_with_constructor(announced_histogram),
            returned: Family::default(),
            held_refused: Family::default(),
        }
    }
}

impl ColdMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Retry times announced for absent adapters, in seconds, by whether the adapter was loaded then";
        registry.register("cold_retry_after_seconds", help, self.announced.clone());
        let help =
            "Requests of clients that were refused before, by whether their adapter was loaded";
        registry.register("cold_returns", help, self.returned.clone());
        let help = "Requests refused after a wait beyond a quarter of the latency target, by cause";
        registry.register("cold_held_refusals", help, self.held_refused.clone());
    }

    /// Records an announced retry time, and whether the adapter was loaded at that time.
    pub fn observe_announced(&self, retry_after: Duration, kept: bool) {
        let labels = AnnouncedLabels { kept };
        self.announced.get_or_create(&labels).observe(retry_after.as_secs_f64());
    }

    /// Counts a request of a client that was refused before.
    pub fn count_return(&self, loaded: bool) {
        self.returned.get_or_create(&ReturnLabels { loaded }).inc();
    }

    /// Counts a request that was held for long and then refused.
    pub fn count_held_refusal(&self, cause: DecisionCause) {
        self.held_refused.get_or_create(&HeldLabels { cause: cause.name() }).inc();
    }
}
