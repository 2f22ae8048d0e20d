//! The host's metrics in the `OpenMetrics` text format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use reelreel_core::node::{NodeCounters, NodeStatus};

use crate::peers::PeerCounters;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    kind: String,
}

fn register_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter: Counter = Counter::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: usize) {
    let gauge: Gauge = Gauge::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}

/// Returns all metrics as `OpenMetrics` text.
///
/// The control thread owns the counters; each scrape copies them into a new registry.
///
/// # Panics
/// Never: writing to a string does not fail.
pub fn metrics_text(counters: &NodeCounters, status: &NodeStatus, peers: &PeerCounters) -> String {
    use std::sync::atomic::Ordering::Relaxed;
    let mut registry = Registry::with_prefix("reelreel");
    let registry_mut = &mut registry;
    let counter_values: [(&str, &str, u64); 16] = [
        ("requests_arrived", "Requests that arrived well formed", counters.arrived),
        ("requests_answered", "Requests answered whole", counters.answered),
        ("requests_unknown", "Requests whose outcome is unknown", counters.unknown),
        ("requests_stalled", "Requests that waited for an adapter load", counters.stalled),
        ("requests_retried", "Requests sent to a backend server again", counters.retries),
        ("permits_granted", "Permits given for engines owned here", counters.permits_granted),
        ("permit_asks_repeated", "Asks for permits that were repeated", counters.asks_repeated),
        ("loads_ended", "Adapter loads that ended", counters.loads_ended),
        ("loads_failed", "Adapter loads that failed", counters.loads_failed),
        ("takeovers", "Take-overs of engines begun", counters.takeovers),
        ("messages_sent", "Messages sent to peers", counters.messages_sent),
        ("messages_received", "Messages received from peers", counters.messages_received),
        ("messages_dropped", "Messages that could not be sent", peers.dropped.load(Relaxed)),
        ("pauses", "Pauses of this process that it noticed", counters.pauses),
        ("log_appends", "Appends to the platform's log", counters.appends),
        ("snapshots_refused", "Settings snapshots refused", counters.snapshots_refused),
    ];
    for (name, help, value) in counter_values {
        register_counter(registry_mut, name, help, value);
    }
    let refusals = Family::<RefusalLabel, Counter>::default();
    for (kind, count) in &counters.refused {
        let kind = serde_json::to_value(kind).ok();
        let kind = kind.and_then(|kind| kind.as_str().map(str::to_owned)).unwrap_or_default();
        refusals.get_or_create(&RefusalLabel { kind }).inc_by(*count);
    }
    registry_mut.register("requests_refused", "Requests not answered, by kind", refusals);
    let revision = usize::try_from(status.revision).unwrap_or(usize::MAX);
    register_gauge(registry_mut, "settings_revision", "Settings revision in force", revision);
    register_gauge(registry_mut, "requests_open", "Requests open now", status.open_requests);
    register_gauge(
        registry_mut,
        "engines_owned",
        "Engines owned by this host",
        status.engines.len(),
    );
    register_gauge(registry_mut, "keys_remembered", "Idempotency keys remembered", status.keys);
    register_gauge(
        registry_mut,
        "ready",
        "Whether callers may be sent here",
        usize::from(status.ready),
    );
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string does not fail");
    text
}
