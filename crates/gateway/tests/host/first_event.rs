//! Engines chosen by their expected time to the first event, and requests that they fail.

use std::time::{Duration, Instant};

use crate::{
    engine::EngineBehaviour,
    fleet::TestFleet,
    site::{LOOSE_TIMEOUTS_REVISION, MODEL_NAME, TestSite},
};

struct RevisionCase {
    revision: u64,
    /// Whether engines are chosen by the expected time to the first event.
    by_first_event: bool,
}

const REVISION_CASES: &[RevisionCase] = &[
    RevisionCase { revision: 1, by_first_event: true },
    RevisionCase { revision: LOOSE_TIMEOUTS_REVISION, by_first_event: false },
];

/// Guards against an effect on configurations without tight timeouts.
#[test]
fn engines_are_chosen_by_the_first_event_where_timeouts_are_tight() {
    for case in REVISION_CASES {
        let site = TestSite::without_configuration();
        site.store.put("configuration", "routes", &case.revision.to_string());
        let host = site.host(&format!("revision-{}", case.revision));
        for engine in &site.engines {
            engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
        }
        for number in 0..20 {
            let fields = format!("X-Request: r{number}\r\nX-Model: {MODEL_NAME}\r\n");
            let response = host.post("/stream/a", &fields, "{}");
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let text = host.shared.metrics.encode();
        let counted = text.lines().any(|line| line.contains("first_event_choices_total{"));
        assert_eq!(counted, case.by_first_event, "revision {}", case.revision);
    }
}

struct OnlyCopyCase {
    name: &'static str,
    path: &'static str,
    behaviours: &'static [EngineBehaviour],
    status_line: &'static str,
    /// Requests that reach the engine.
    sends: usize,
    /// Whether the response comes well before another copy could be loaded.
    in_time: bool,
}

/// Below the load time of an adapter.
const LOAD_TIME: Duration = Duration::from_millis(300);

const ONLY_COPY_CASES: &[OnlyCopyCase] = &[
    OnlyCopyCase {
        name: "one error",
        path: "/resumable/a",
        behaviours: &[EngineBehaviour::Error, EngineBehaviour::Stream(2)],
        status_line: "HTTP/1.1 200",
        sends: 2,
        in_time: true,
    },
    OnlyCopyCase {
        name: "at most one run",
        path: "/stream/a",
        behaviours: &[EngineBehaviour::Error, EngineBehaviour::Stream(2)],
        status_line: "HTTP/1.1 500",
        sends: 1,
        in_time: true,
    },
    OnlyCopyCase {
        name: "two errors, then a copy at another engine",
        path: "/resumable/a",
        behaviours: &[EngineBehaviour::Error],
        status_line: "HTTP/1.1 200",
        sends: 2,
        in_time: false,
    },
];

/// Guards against a late answer by another copy of an adapter whose only engine fails a part of
/// its requests, and against a second run of a request that may run once.
#[test]
fn an_engine_with_the_only_copy_gets_a_failed_request_once_more() {
    let mut fleet = TestFleet::start("assist", 2, 1);
    let holder = fleet.load_rare_adapter();
    for case in ONLY_COPY_CASES {
        let engine = &fleet.engines[holder];
        engine.set_behaviours(case.behaviours);
        let before = engine.arrivals().len();
        let began = Instant::now();
        let fields = format!("X-Request: {}\r\n{}", case.sends, fleet.fields);
        let response = fleet.hosts[0].post(case.path, &fields, "{}");
        assert!(response.starts_with(case.status_line), "{}: {response}", case.name);
        assert_eq!(engine.arrivals().len() - before, case.sends, "{}", case.name);
        let elapsed = began.elapsed();
        assert!(!case.in_time || elapsed < LOAD_TIME, "{}: {elapsed:?}", case.name);
    }
}
