//! Routes, published versions, cold requests and the retry budget.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        cold_start::{ColdDecision, ColdRequest, CoolingEngine, LATE_WORTH},
        engine_choice::PublishedVersions,
        retry_share::{RetryPolicy, RetryShare},
        routes::{ClientLimits, RouteEntry, RouteKind, RouteTable, WeightedBackend},
    },
};

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct VersionCase {
    name: &'static str,
    loaded: u64,
    published_for: u64,
    allowed: bool,
}

const VERSION_CASES: &[VersionCase] = &[
    VersionCase { name: "the published version", loaded: 2, published_for: 60_000, allowed: true },
    VersionCase { name: "a later version", loaded: 3, published_for: 60_000, allowed: true },
    VersionCase {
        name: "an older version shortly after publication",
        loaded: 1,
        published_for: 900,
        allowed: true,
    },
    // A request may wait in an engine's queue for more than three seconds before it begins.
    VersionCase {
        name: "an older version some time after publication",
        loaded: 1,
        published_for: 1100,
        allowed: false,
    },
];

#[test]
fn an_older_version_is_used_for_a_short_time_only() {
    for case in VERSION_CASES {
        let mut published = PublishedVersions::default();
        published.publish(2, at(1000));
        let now = at(1000 + case.published_for);
        assert_eq!(published.allows(case.loaded, millis(5000), now), case.allowed, "{}", case.name);
    }
}

/// A copy of a version while a third one is published before the second is loaded everywhere.
struct SuccessiveVersionCase {
    name: &'static str,
    loaded: u64,
    now: u64,
    allowed: bool,
}

const SUCCESSIVE_VERSION_CASES: &[SuccessiveVersionCase] = &[
    SuccessiveVersionCase {
        name: "the first, shortly after the second is published",
        loaded: 1,
        now: 1500,
        allowed: true,
    },
    SuccessiveVersionCase {
        name: "the first, until the time of the second is over",
        loaded: 1,
        now: 1990,
        allowed: true,
    },
    SuccessiveVersionCase {
        name: "the first, shortly after the third is published",
        loaded: 1,
        now: 2100,
        allowed: false,
    },
    SuccessiveVersionCase {
        name: "the second, until the time of the third is over",
        loaded: 2,
        now: 2700,
        allowed: true,
    },
    SuccessiveVersionCase {
        name: "the second, some time after the third is published",
        loaded: 2,
        now: 2900,
        allowed: false,
    },
    SuccessiveVersionCase { name: "the third", loaded: 3, now: 60_000, allowed: true },
];

#[test]
fn versions_that_follow_each_other_are_each_judged_by_their_own_time() {
    let mut published = PublishedVersions::default();
    published.publish(2, at(1000));
    published.publish(3, at(1800));
    published.publish(2, at(1900));
    for case in SUCCESSIVE_VERSION_CASES {
        let allowed = published.allows(case.loaded, millis(5000), at(case.now));
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
    // Further versions must not extend the time of the first.
    for version in 4..40 {
        published.publish(version, at(2000 + version * 100));
    }
    assert!(!published.allows(1, millis(5000), at(6000)));
    assert_eq!(published.newest(), 39);
}

fn route(host: &str, prefix: &str, backends: &[(&str, u32)]) -> RouteEntry {
    let backend = |(service, weight): &(&str, u32)| WeightedBackend {
        service: Arc::from(*service),
        weight: *weight,
    };
    RouteEntry {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::AtMostOnce,
        timeout: millis(1000),
        latency_target: millis(100),
        max_event_gap: None,
        priority: 1,
        backends: backends.iter().map(backend).collect(),
        attempt_limit: 1,
        public: false,
    }
}

struct RouteCase {
    host: &'static str,
    target: &'static str,
    prefix: Option<&'static str>,
}

const ROUTE_CASES: &[RouteCase] = &[
    RouteCase { host: "a.example", target: "/x/1", prefix: Some("/x/") },
    RouteCase { host: "A.Example", target: "/x/1", prefix: Some("/x/") },
    RouteCase { host: "a.example:8080", target: "/x/y/1", prefix: Some("/x/y/") },
    RouteCase { host: "a.example", target: "/x/y/z/", prefix: Some("/x/y/") },
    RouteCase { host: "a.example", target: "/x", prefix: None },
    RouteCase { host: "a.example", target: "/xy/", prefix: None },
    RouteCase { host: "a.example", target: "/q?p=/x/", prefix: None },
    RouteCase { host: "b.example", target: "/x/1", prefix: None },
];

#[test]
fn the_longest_matching_prefix_selects_the_route() {
    let routes =
        vec![route("a.example", "/x/", &[("s", 1)]), route("a.example", "/x/y/", &[("t", 1)])];
    let table = RouteTable::new(1, ClientLimits::default(), routes, Vec::new());
    for case in ROUTE_CASES {
        let found = table.route(case.host, case.target).map(|route| route.prefix.as_str());
        assert_eq!(found, case.prefix, "{} {}", case.host, case.target);
    }
}

#[test]
fn requests_are_split_by_backend_weight() {
    let split = route("a.example", "/", &[("s", 90), ("t", 10), ("u", 0)]);
    let count = |name: &str| {
        (0..1000)
            .filter(|number| split.service(*number).map(|service| &**service) == Some(name))
            .count()
    };
    assert_eq!((count("s"), count("t"), count("u")), (900, 100, 0));
    assert_eq!(route("a.example", "/", &[("s", 0)]).service(7), None);
}

struct ColdCase {
    name: &'static str,
    elapsed: u64,
    estimate: Option<u64>,
    /// Unit: milliseconds.
    prefill_time: u64,
    /// Unit: milliseconds.
    event_gap: u64,
    client_retried: bool,
    decision: ColdDecision,
}

const COLD_CASES: &[ColdCase] = &[
    ColdCase {
        name: "waits for an estimate",
        elapsed: 2,
        estimate: None,
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Wait(millis(100)),
    },
    ColdCase {
        name: "refused without an estimate",
        elapsed: 102,
        estimate: None,
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    ColdCase {
        name: "waits for a load that is in time",
        elapsed: 10,
        estimate: Some(300),
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Wait(millis(2240)),
    },
    ColdCase {
        name: "refused if the prefill after the load is too long",
        elapsed: 10,
        estimate: Some(300),
        prefill_time: 240,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Refuse(millis(420)),
    },
    ColdCase {
        name: "a client waits for the first event as long as eight event gaps",
        elapsed: 10,
        estimate: Some(300),
        prefill_time: 40,
        event_gap: 500,
        client_retried: false,
        decision: ColdDecision::Wait(millis(3840)),
    },
    ColdCase {
        name: "refused if the load is too late",
        elapsed: 10,
        estimate: Some(900),
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Refuse(millis(1020)),
    },
    ColdCase {
        name: "a retried request waits as long as its client",
        elapsed: 10,
        estimate: Some(900),
        prefill_time: 40,
        event_gap: 250,
        client_retried: true,
        decision: ColdDecision::Wait(millis(2240)),
    },
    ColdCase {
        name: "the retry time is at most a third of the remaining time",
        elapsed: 10,
        estimate: Some(60_000),
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    ColdCase {
        name: "refused shortly before the client gives up",
        elapsed: 2250,
        estimate: Some(10),
        prefill_time: 40,
        event_gap: 250,
        client_retried: false,
        decision: ColdDecision::Refuse(millis(250)),
    },
];

#[test]
fn a_cold_request_waits_or_is_refused_at_once() {
    for case in COLD_CASES {
        let request = ColdRequest {
            elapsed: millis(case.elapsed),
            latency_target: millis(600),
            remaining: millis(9000),
            estimate: case.estimate.map(millis),
            cooling: None,
            prefill_time: millis(case.prefill_time),
            max_event_gap: Some(millis(case.event_gap)),
            client_retried: case.client_retried,
        };
        assert_eq!(request.decide(), case.decision, "{}", case.name);
    }
}

/// A request that may have run, with a latency target of 500 ms.
struct UnrefusableCase {
    name: &'static str,
    elapsed: u64,
    estimate: Option<u64>,
    cooling: Option<u64>,
    decision: ColdDecision,
}

/// Guards against a request that may have run and gets 502 because its adapter's load had not been announced at one moment.
#[test]
fn a_request_that_may_have_run_waits_for_any_engine_until_its_client_gives_up() {
    let no_news = UnrefusableCase {
        name: "no news of a load",
        elapsed: 10,
        estimate: None,
        cooling: None,
        decision: ColdDecision::Wait(millis(740)),
    };
    let cases = [
        UnrefusableCase {
            name: "when a first attempt stops waiting for an estimate",
            elapsed: 85,
            decision: ColdDecision::Wait(millis(665)),
            ..no_news
        },
        UnrefusableCase { name: "a late load", estimate: Some(700), ..no_news },
        UnrefusableCase {
            name: "a cooldown that is longer than the target",
            cooling: Some(600),
            decision: ColdDecision::Wait(millis(600)),
            ..no_news
        },
        UnrefusableCase {
            name: "the client is about to give up",
            elapsed: 760,
            decision: ColdDecision::Refuse(millis(250)),
            ..no_news
        },
        no_news,
    ];
    for UnrefusableCase { name, elapsed, estimate, cooling, decision } in cases {
        let engine = |time| CoolingEngine { available_in: millis(time), loadable_elsewhere: false };
        let request = ColdRequest {
            elapsed: millis(elapsed),
            latency_target: millis(500),
            remaining: millis(900 - elapsed),
            estimate: estimate.map(millis),
            cooling: cooling.map(engine),
            prefill_time: Duration::ZERO,
            max_event_gap: None,
            client_retried: false,
        };
        assert_eq!(request.decide_unrefusable(), decision, "{name}");
    }
}

proptest! {
    /// A refusal comes within a quarter of the latency target, or shortly before the client gives
    /// up.
    #[test]
    fn a_cold_request_is_refused_early_or_before_the_client_leaves(
        elapsed in 0u64..5000,
        latency_target in 100u64..2000,
        remaining in 0u64..15_000,
        estimate in proptest::option::of(0u64..9000),
        prefill_time in 0u64..3000,
        event_gap in proptest::option::of(1u64..1000),
        client_retried in any::<bool>(),
    ) {
        let request = ColdRequest {
            elapsed: millis(elapsed),
            latency_target: millis(latency_target),
            remaining: millis(remaining),
            estimate: estimate.map(millis),
            cooling: None,
            prefill_time: millis(prefill_time),
            max_event_gap: event_gap.map(millis),
            client_retried,
        };
        if let ColdDecision::Refuse(_) = request.decide() {
            let client_wait_limit = (latency_target * 4).max(2000).max(event_gap.unwrap_or_default() * 8);
            let client_wait_limit = client_wait_limit.min(elapsed + remaining).saturating_sub(150);
            prop_assert!(elapsed * 4 <= latency_target || elapsed >= client_wait_limit);
        }
    }

    /// In no window may the retries of all hosts exceed the budget.
    #[test]
    fn the_shares_of_all_hosts_keep_the_budget(
        hosts in 1u32..8,
        steps in proptest::collection::vec((0usize..8, 0u64..40, any::<bool>()), 1..600),
    ) {
        let policy = RetryPolicy { ratio: 0.2, burst: 54.0, window: millis(10_000) };
        let mut shares = vec![RetryShare::with_full_credit(); hosts as usize];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 1000;
        for (host, pause, is_retry) in steps {
            now += pause;
            let host = host % hosts as usize;
            if is_retry {
                if shares[host].try_spend(&policy, hosts, at(now)) {
                    retries.push(now);
                }
            } else {
                shares[host].record_request(at(now));
                requests.push(now);
            }
            let count_in_window = |times: &Vec<u64>| times.iter().filter(|time| **time + 10_000 >= now).count();
            let allowed = 0.2 * count_in_window(&requests) as f64 + 54.0;
            prop_assert!(count_in_window(&retries) as f64 <= allowed);
        }
    }
}

/// Worth of a cold request with a latency target of 600 ms.
struct WorthCase {
    name: &'static str,
    elapsed: u64,
    prefill_time: u64,
    client_retried: bool,
    worth: f64,
}

const WORTH_CASES: &[WorthCase] = &[
    WorthCase { name: "new", elapsed: 0, prefill_time: 50, client_retried: false, worth: 1.0 },
    WorthCase {
        name: "just in time",
        elapsed: 240,
        prefill_time: 50,
        client_retried: false,
        worth: 1.0,
    },
    WorthCase {
        name: "too late",
        elapsed: 241,
        prefill_time: 50,
        client_retried: false,
        worth: LATE_WORTH,
    },
    WorthCase {
        name: "long prefill",
        elapsed: 0,
        prefill_time: 300,
        client_retried: false,
        worth: LATE_WORTH,
    },
    WorthCase {
        name: "retried by the client",
        elapsed: 0,
        prefill_time: 50,
        client_retried: true,
        worth: LATE_WORTH,
    },
];

#[test]
fn a_cold_request_is_worth_less_if_it_misses_the_target() {
    for case in WORTH_CASES {
        let request = ColdRequest {
            elapsed: millis(case.elapsed),
            latency_target: millis(600),
            remaining: millis(9000),
            estimate: None,
            cooling: None,
            prefill_time: millis(case.prefill_time),
            max_event_gap: None,
            client_retried: case.client_retried,
        };
        assert!((request.worth() - case.worth).abs() < f64::EPSILON, "{}", case.name);
    }
}
