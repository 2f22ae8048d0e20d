//! A host's work reports to a placer contain what changed and what ended, and are renewed
//! periodically.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::{ClockMillis, fleet::work::EngineWork, placement::WorkTracker};
use reelreel_gateway::demand::DemandCollector;

/// The work at one engine at a given time, and the expected size of the report.
struct ReportStep {
    name: &'static str,
    at_ms: u64,
    /// Open requests by adapter; absent if unchanged since the last step.
    open_requests: Option<&'static [(&'static str, u32)]>,
    /// Whether the service has a new placer.
    placer_changed: bool,
    engine_entries: usize,
    request_entries: usize,
}

const STEPS: &[ReportStep] = &[
    ReportStep {
        name: "two adapters",
        at_ms: 1010,
        open_requests: Some(&[("m/a", 2), ("m/b", 1)]),
        placer_changed: false,
        engine_entries: 1,
        request_entries: 2,
    },
    ReportStep {
        name: "unchanged",
        at_ms: 1060,
        open_requests: None,
        placer_changed: false,
        engine_entries: 0,
        request_entries: 0,
    },
    ReportStep {
        name: "one ended, one started",
        at_ms: 1110,
        open_requests: Some(&[("m/a", 2), ("m/c", 1)]),
        placer_changed: false,
        engine_entries: 0,
        request_entries: 2,
    },
    ReportStep {
        name: "new placer",
        at_ms: 1160,
        open_requests: None,
        placer_changed: true,
        engine_entries: 1,
        request_entries: 2,
    },
    ReportStep {
        name: "renewed",
        at_ms: 2020,
        open_requests: None,
        placer_changed: false,
        engine_entries: 1,
        request_entries: 2,
    },
    ReportStep {
        name: "change shortly before the renewal",
        at_ms: 2900,
        open_requests: Some(&[("m/a", 2), ("m/c", 1), ("m/b", 1)]),
        placer_changed: false,
        engine_entries: 1,
        request_entries: 1,
    },
    ReportStep {
        name: "second renewal",
        at_ms: 3030,
        open_requests: Some(&[("m/a", 2), ("m/c", 1)]),
        placer_changed: false,
        engine_entries: 1,
        request_entries: 3,
    },
    ReportStep {
        name: "all ended",
        at_ms: 3100,
        open_requests: Some(&[]),
        placer_changed: false,
        engine_entries: 1,
        request_entries: 2,
    },
    ReportStep {
        name: "nothing left to renew",
        at_ms: 9000,
        open_requests: None,
        placer_changed: false,
        engine_entries: 0,
        request_entries: 0,
    },
];

#[test]
fn reports_contain_every_change_and_are_renewed() {
    let (service, engine) = (Arc::from("assist"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let mut tracker = WorkTracker::default();
    let mut current: BTreeMap<&str, u32> = BTreeMap::new();
    for step in STEPS {
        let now = ClockMillis::from_millis(step.at_ms);
        if let Some(open_requests) = step.open_requests {
            current = open_requests.iter().copied().collect();
            let open = current.values().sum();
            let open_requests =
                current.iter().map(|(key, open)| (Arc::from(*key), *open)).collect();
            collector.set_engine_work(
                &service,
                &engine,
                EngineWork { open, pending_prefill_tokens: 0 },
                open_requests,
            );
        }
        if step.placer_changed {
            collector.resend_all(&service);
        }
        let report = collector.drain(now).remove(&service).unwrap_or_default();
        assert_eq!(report.work.engines.len(), step.engine_entries, "{}: engines", step.name);
        assert_eq!(
            report.work.open_requests.len(),
            step.request_entries,
            "{}: requests",
            step.name
        );
        tracker.record(&Arc::from("host"), &report.work, now);
        tracker.drop_expired(now);
        for key in ["m/a", "m/b", "m/c"] {
            let expected = current.get(key).copied().unwrap_or_default();
            assert_eq!(tracker.open_requests(&engine, key), expected, "{}: {key}", step.name);
        }
    }
}

#[test]
fn work_at_a_delisted_engine_is_not_renewed() {
    let (service, engine) = (Arc::from("assist"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let open_requests = BTreeMap::from([(Arc::from("m/a"), 1)]);
    collector.set_engine_work(
        &service,
        &engine,
        EngineWork { open: 1, pending_prefill_tokens: 5 },
        open_requests,
    );
    assert_eq!(collector.drain(ClockMillis::from_millis(10)).len(), 1);
    collector.forget_engine(&engine);
    assert!(collector.drain(ClockMillis::from_millis(5000)).is_empty());
}

#[test]
fn work_of_an_unresponsive_host_expires() {
    let (host, engine) = (Arc::from("host"), Arc::from("e1"));
    let mut collector = DemandCollector::default();
    let open_requests = BTreeMap::from([(Arc::from("m/a"), 3)]);
    let service = Arc::from("assist");
    collector.set_engine_work(
        &service,
        &engine,
        EngineWork { open: 3, pending_prefill_tokens: 900 },
        open_requests,
    );
    let report = collector.drain(ClockMillis::from_millis(10)).remove(&service).expect("a report");
    let mut tracker = WorkTracker::default();
    tracker.record(&host, &report.work, ClockMillis::from_millis(10));
    assert_eq!(tracker.total(&engine), EngineWork { open: 3, pending_prefill_tokens: 900 });
    tracker.drop_expired(ClockMillis::from_millis(4000));
    assert_eq!(tracker.total(&engine), EngineWork::default());
    assert_eq!(tracker.open_requests(&engine, "m/a"), 0);
}
