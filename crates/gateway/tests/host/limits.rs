//! Engines that name a limit: how many requests a second they take from all hosts together.
//!
//! Engines in need said in each of their answers that they take 1.7, 1.6, 1.5 or 1.4 requests a second, and got up to 24 in four seconds.
//! Nobody read that: one got 2, 5, 5, 3, 6, 6, 8 and 6 requests in the seconds after it had said so, as many as before, the placer ordered
//! 13 more adapters there within five seconds, and no host wrote a line. Reading it is not enough: the limit holds for all hosts
//! together, and is less than one request a window for each of a few of them. What hosts ask an engine for themselves counts as
//! well: of the 16 calls that another one got in four seconds at most 8 were requests, and no order was given; reports were asked
//! for some four times in such a window, on average over all engines.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::fleet::TestFleet;

/// Over which time calls to an engine are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Within which time all hosts keep a limit that was named.
const LIMIT_SPREAD_TIME: Duration = Duration::from_secs(1);

/// What an engine may get in a [`WINDOW`]: its limit, and a request at each end of the window.
fn max_calls(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() + 2.0
}

/// An engine that said in each of its answers that it takes 1.7 requests a second from all hosts together got 18 and 24 in four
/// seconds, and went on getting its usual five a second: no host read the word.
#[test]
fn all_hosts_together_respect_an_announced_engine_limit() {
    let fleet = TestFleet::start("assist", 6, 3);
    let limited = &fleet.engines[0];
    limited.announce_limit(Some("1.7"));
    let named = Instant::now();
    let (served, sent) = fleet.run_load(20, Duration::from_secs(6));
    let calls = limited.max_calls_within(WINDOW, named + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(1.7), "{calls} calls within four seconds");
    assert!(limited.calls_since(named) >= 6, "what it takes is used");
    assert_eq!(served, sent, "the others have room for everything");
    drop(fleet.site);
}

/// An adapter that only the engine in need holds is loaded elsewhere, so that its callers are served: a copy that takes 1.5 requests a
/// second is none for twenty.
#[test]
fn an_adapter_loaded_only_on_a_limited_engine_is_loaded_elsewhere() {
    let mut fleet = TestFleet::start("assist", 3, 3);
    let holder = fleet.load_rare_adapter();
    let hosts = &fleet.hosts;
    fleet.engines[holder].announce_limit(Some("1.5"));
    // The first answer names it.
    fleet.serves(&hosts[0], "names");
    let named = Instant::now();
    let (served, sent) = fleet.run_load(6, Duration::from_secs(5));
    let calls = fleet.engines[holder].max_calls_within(WINDOW, named + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(1.5), "{calls} calls within four seconds");
    let others = fleet.engines.iter().filter(|engine| !engine.orders().is_empty()).count();
    assert!(others >= 2, "another copy is loaded");
    // What comes while the other copy is loaded may be told to come back.
    assert!(served * 20 >= sent * 19, "{served} of {sent} are served");
}

/// Where every engine has named a limit there is no elsewhere: what they take is used, the rest is told at once to come back.
#[test]
fn limits_of_all_engines_are_used_and_excess_requests_refused_immediately() {
    let fleet = TestFleet::start("assist", 2, 3);
    for engine in &fleet.engines {
        engine.announce_limit(Some("3"));
    }
    let named = Instant::now();
    let (served, sent) = fleet.run_load(10, Duration::from_secs(6));
    for engine in &fleet.engines {
        let calls = engine.max_calls_within(WINDOW, named + LIMIT_SPREAD_TIME);
        assert!(calls as f64 <= max_calls(3.0), "{calls} calls within four seconds");
    }
    // Six a second for six seconds, of which the first may pass before the word is known.
    assert!((30..=60).contains(&served), "{served} of {sent} are served");
    let host = &fleet.hosts[0];
    let ask = |number| {
        let began = Instant::now();
        let fields = format!("X-Request: late-{number}\r\n{}", fleet.fields);
        (host.post(fleet.path, &fields, "{}"), began.elapsed())
    };
    let responses: Vec<(String, Duration)> = thread::scope(|scope| {
        let sent: Vec<_> = (0..30).map(|number| scope.spawn(move || ask(number))).collect();
        sent.into_iter().map(|sent| sent.join().expect("an answer")).collect()
    });
    let refused = responses.iter().filter(|(response, _)| response.starts_with("HTTP/1.1 503"));
    let refused: Vec<&(String, Duration)> = refused.collect();
    assert!(refused.len() >= 15, "{} of 30 are refused", refused.len());
    for (response, time) in refused {
        assert!(response.contains("Retry-After: "), "{response}");
        // The route's target is half a second: who would wait longer is told before.
        assert!(*time < Duration::from_millis(500), "refused after {time:?}");
    }
}

/// The host that deals permits is stopped: the next one begins with nothing saved up, and the limit holds and is used on.
#[test]
fn the_limit_holds_while_another_host_starts_granting_permits() {
    let mut fleet = TestFleet::start("assist", 6, 4);
    let limited = fleet.engines[0].clone();
    limited.announce_limit(Some("2"));
    let named = Instant::now();
    fleet.run_load(15, Duration::from_secs(2));
    let dealer = fleet.hosts.iter().position(|host| host.shared.metrics.leases.get() > 0);
    let stopped = fleet.hosts.remove(dealer.expect("one host holds the lease"));
    thread::scope(|scope| {
        scope.spawn(|| stopped.stop());
        fleet.run_load(15, Duration::from_secs(8));
    });
    let calls = limited.max_calls_within(WINDOW, named + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(2.0), "{calls} calls within four seconds");
    let late = limited.calls_since(named + Duration::from_secs(7));
    assert!(late >= 3, "{late} calls in the last three seconds");
}

/// When it answers without a limit again it is used as any other, and not by a rush.
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
    assert!(last >= 15, "{last} of some 60 calls in the last second go there");
    for host in &fleet.hosts {
        assert_eq!(host.shared.limits().limited(), 0, "nobody counts it as limited");
    }
}

/// A word that can not be read changes nothing.
#[test]
fn an_unreadable_limit_has_no_effect() {
    let fleet = TestFleet::start("assist", 2, 1);
    fleet.engines[0].announce_limit(Some("few"));
    let (served, sent) = fleet.run_load(20, Duration::from_secs(2));
    assert_eq!(served, sent);
    assert_eq!(fleet.hosts[0].shared.limits().limited(), 0);
}

/// The same at a service whose engines hold no models: nobody places anything there, and the word holds as well.
#[test]
fn all_hosts_together_respect_the_limit_of_a_plain_server() {
    let fleet = TestFleet::start("plain", 3, 3);
    let limited = &fleet.engines[0];
    limited.announce_limit(Some("2"));
    let named = Instant::now();
    let (served, sent) = fleet.run_load(20, Duration::from_secs(6));
    let calls = limited.max_calls_within(WINDOW, named + LIMIT_SPREAD_TIME);
    assert!(calls as f64 <= max_calls(2.0), "{calls} calls within four seconds");
    assert!(limited.calls_since(named) >= 6, "what it takes is used");
    assert_eq!(served, sent, "the others have room for everything");
}
