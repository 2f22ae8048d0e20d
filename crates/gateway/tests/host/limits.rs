//! Engines that announce a limit: the number of requests per second they accept from all hosts
//! together.
//!
//! The limit holds across all hosts and can be below one request per window for each of them.
//! Orders and state reports count as calls, too.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::fleet::TestFleet;

/// Window over which calls to an engine are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time within which all hosts respect an announced limit.
const LIMIT_SPREAD_TIME: Duration = Duration::from_secs(1);

/// Returns the calls an engine may get in a [`WINDOW`]: its limit, and one call at each end of the
/// window.
fn max_calls(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() + 2.0
}

/// Guards against hosts that ignore an announced limit.
#[test]
fn all_hosts_together_respect_an_announced_engine_limit() {
    let fleet = TestFleet::start("assist", 6, 3);
    let limited = &fleet.engines[0];
    limited.announce_limit(Some("1.7"));
    let announced_at = Instant::now();
    let (served, sent) = fleet.run_load(20, Duration::from_secs(6));
    let calls = limited.max_calls_within(WINDOW, announced_at + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(1.7), "{calls} calls within {WINDOW:?}");
    assert!(limited.calls_since(announced_at) >= 6, "the limit is not used");
    assert_eq!(served, sent, "the other engines have room for all requests");
    drop(fleet.site);
}

/// A replica that accepts 1.5 requests per second can't serve a load of twenty, so another one must
/// be loaded.
#[test]
fn an_adapter_loaded_only_on_a_limited_engine_is_loaded_elsewhere() {
    let mut fleet = TestFleet::start("assist", 3, 3);
    let holder = fleet.load_rare_adapter();
    let hosts = &fleet.hosts;
    fleet.engines[holder].announce_limit(Some("1.5"));
    // The first response announces the limit.
    fleet.serves(&hosts[0], "names");
    let announced_at = Instant::now();
    let (served, sent) = fleet.run_load(6, Duration::from_secs(5));
    let calls = fleet.engines[holder].max_calls_within(WINDOW, announced_at + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(1.5), "{calls} calls within {WINDOW:?}");
    let loaded_engines = fleet.engines.iter().filter(|engine| !engine.orders().is_empty()).count();
    assert!(loaded_engines >= 2, "no other replica was loaded");
    // Requests that arrive while the other replica is loaded may be refused.
    assert!(served * 20 >= sent * 19, "{served} of {sent} are served");
}

/// When every engine has a limit, the limits must be used up and all other requests refused
/// immediately.
#[test]
fn limits_of_all_engines_are_used_and_excess_requests_refused_immediately() {
    let fleet = TestFleet::start("assist", 2, 3);
    for engine in &fleet.engines {
        engine.announce_limit(Some("3"));
    }
    let announced_at = Instant::now();
    let (served, sent) = fleet.run_load(10, Duration::from_secs(6));
    for engine in &fleet.engines {
        let calls = engine.max_calls_within(WINDOW, announced_at + LIMIT_SPREAD_TIME);
        assert!(calls as f64 <= max_calls(3.0), "{calls} calls within {WINDOW:?}");
    }
    // Six per second for six seconds; the limit may be unknown during the first one.
    assert!((30..=60).contains(&served), "{served} of {sent} are served");
    let host = &fleet.hosts[0];
    let timed_request = |number| {
        let began = Instant::now();
        let fields = format!("X-Request: late-{number}\r\n{}", fleet.fields);
        (host.post(fleet.path, &fields, "{}"), began.elapsed())
    };
    let responses: Vec<(String, Duration)> = thread::scope(|scope| {
        let sent: Vec<_> =
            (0..30).map(|number| scope.spawn(move || timed_request(number))).collect();
        sent.into_iter().map(|sent| sent.join().expect("a response")).collect()
    });
    let refused = responses.iter().filter(|(response, _)| response.starts_with("HTTP/1.1 503"));
    let refused: Vec<&(String, Duration)> = refused.collect();
    assert!(refused.len() >= 15, "{} of 30 are refused", refused.len());
    for (response, time) in refused {
        assert!(response.contains("Retry-After: "), "{response}");
        // The route's latency target is 500 ms: a request that would wait longer is refused
        // earlier.
        assert!(*time < Duration::from_millis(500), "refused after {time:?}");
    }
}

/// After the permit-granting host stops, its successor starts without accumulated permits and
/// grants up to the limit.
#[test]
fn the_limit_holds_while_another_host_starts_granting_permits() {
    let mut fleet = TestFleet::start("assist", 6, 4);
    let limited = fleet.engines[0].clone();
    limited.announce_limit(Some("2"));
    let announced_at = Instant::now();
    fleet.run_load(15, Duration::from_secs(2));
    let lease_holder = fleet.hosts.iter().position(|host| host.shared.metrics.leases.get() > 0);
    let stopped = fleet.hosts.remove(lease_holder.expect("one host holds the lease"));
    thread::scope(|scope| {
        scope.spawn(|| stopped.stop());
        fleet.run_load(15, Duration::from_secs(8));
    });
    let calls = limited.max_calls_within(WINDOW, announced_at + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(2.0), "{calls} calls within {WINDOW:?}");
    let late = limited.calls_since(announced_at + Duration::from_secs(7));
    assert!(late >= 3, "{late} calls in the last 3 s");
}

/// Once an engine announces no limit, its load must return to normal without a burst.
#[test]
fn an_engine_whose_need_is_over_returns_by_steps() {
    let fleet = TestFleet::start("assist", 2, 2);
    let limited = &fleet.engines[0];
    limited.announce_limit(Some("1"));
    fleet.run_load(20, Duration::from_secs(3));
    limited.announce_limit(None);
    let ended = Instant::now();
    fleet.run_load(30, Duration::from_secs(5));
    let later = limited.calls_since(ended + Duration::from_secs(1));
    let first_second = limited.calls_since(ended) - later;
    assert!((1..=10).contains(&first_second), "{first_second} in the first second");
    let last = limited.calls_since(ended + Duration::from_secs(4));
    assert!(last >= 15, "{last} of about 60 calls in the last second");
    for host in &fleet.hosts {
        assert_eq!(
            host.shared.limits().limited_count(),
            0,
            "a host still counts the engine as limited"
        );
    }
}

/// Guards against treating a malformed limit as a limit.
#[test]
fn an_unreadable_limit_has_no_effect() {
    let fleet = TestFleet::start("assist", 2, 1);
    fleet.engines[0].announce_limit(Some("few"));
    let (served, sent) = fleet.run_load(20, Duration::from_secs(2));
    assert_eq!(served, sent);
    assert_eq!(fleet.hosts[0].shared.limits().limited_count(), 0);
}

/// No models are placed on a plain service; its limits must hold nevertheless.
#[test]
fn all_hosts_together_respect_the_limit_of_a_plain_server() {
    let fleet = TestFleet::start("plain", 3, 3);
    let limited = &fleet.engines[0];
    limited.announce_limit(Some("2"));
    let announced_at = Instant::now();
    let (served, sent) = fleet.run_load(20, Duration::from_secs(6));
    let calls = limited.max_calls_within(WINDOW, announced_at + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(2.0), "{calls} calls within {WINDOW:?}");
    assert!(limited.calls_since(announced_at) >= 6, "the limit is not used");
    assert_eq!(served, sent, "the other engines have room for all requests");
}
