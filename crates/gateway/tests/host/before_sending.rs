//! What changes between the choice of an engine and the send: a request that waited is not sent by what was known before.
//!
//! After an engine's end its adapter has to be loaded elsewhere, so that the same request waits on other hosts while the verdict on it
//! falls. Whether it is held back, and whether its key holds, was asked when it arrived; when its adapter came it was sent, and ended one
//! engine more.

use std::{
    thread,
    time::{Duration, Instant},
};

use reelreel_core::fleet::quarantine::{InterruptedRun, RequestIdentity, RequestMark};

use crate::{
    engine::{EngineMood, StandInEngine},
    organisations::site_with_keys,
    site::{KEY_WITHDRAWN, MODEL_NAME, TestHost, TestSite, wait_until},
};

/// Within which time a request is told that it will not be sent.
const AT_ONCE: Duration = Duration::from_millis(400);

/// Starts a host that places adapters.
fn placing_host(site: &TestSite, name: &str, key: &str) -> TestHost {
    for engine in &site.engines {
        engine.treat(&[EngineMood::Stream(3)]);
    }
    let host = site.host(name);
    wait_until("an adapter is served", || {
        ask(&host, "early", key, "first").starts_with("HTTP/1.1 200")
    });
    host
}

fn ask(host: &TestHost, adapter: &str, key: &str, body: &str) -> String {
    let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n{key}");
    host.post("/stream/a", &fields, body)
}

/// Asks for an adapter that has to be loaded first; while the request waits for it, `change` happens. Returns the answer, and how long
/// after the change it came.
fn ask_while(
    site: &TestSite,
    host: &TestHost,
    key: &str,
    body: &str,
    change: impl FnOnce(),
) -> (String, Duration) {
    let ordered = || {
        let orders = site.engines.iter().flat_map(StandInEngine::orders);
        orders.into_iter().any(|order| order["key"] == format!("{MODEL_NAME}/late"))
    };
    thread::scope(|scope| {
        let request = scope.spawn(|| ask(host, "late", key, body));
        while !ordered() {
            thread::sleep(Duration::from_millis(1));
        }
        let changed = Instant::now();
        change();
        let answer = request.join().expect("an answer");
        (answer, changed.elapsed())
    })
}

fn arrivals(site: &TestSite, body: &str) -> usize {
    let arrived = site.engines.iter().flat_map(StandInEngine::arrivals);
    arrived.into_iter().filter(|request| request.body == body.as_bytes()).count()
}

fn mark(body: &str) -> RequestMark {
    let model = format!("{MODEL_NAME}/late");
    let request = RequestIdentity {
        organisation: None,
        method: "POST",
        host: "site.example",
        target: "/stream/a",
        model: Some(&model),
        body: body.as_bytes(),
    };
    request.mark()
}

/// Lets two engines end under a request, as this host hears of it.
fn hold_back(host: &TestHost, mark: RequestMark) {
    let now = host.shared.clock.now();
    for life in 1..=2 {
        let run = InterruptedRun { mark, organisation: None, began: now, version: 0 };
        host.shared.quarantine().record_crash(life, &[run], now);
    }
}

#[test]
fn a_request_that_waits_while_it_is_held_back_is_not_sent() {
    let site = TestSite::start();
    let host = placing_host(&site, "held-waiting", "");
    let hold = || hold_back(&host, mark("deadly"));
    let (answer, time) = ask_while(&site, &host, "", "deadly", hold);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("Retry-After: "), "{answer}");
    assert_eq!(arrivals(&site, "deadly"), 0);
    assert!(time <= AT_ONCE, "told only after {time:?}");
}

#[test]
fn a_request_whose_key_is_withdrawn_while_it_waits_is_not_sent() {
    let site = site_with_keys();
    let key = "X-Key: key-n1\r\n";
    let host = placing_host(&site, "key-waiting", key);
    let withdraw = || site.store.put("configuration", "routes", &KEY_WITHDRAWN.to_string());
    let (answer, _) = ask_while(&site, &host, key, "withdrawn", withdraw);
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert_eq!(arrivals(&site, "withdrawn"), 0);
    // Another key of the organisation serves on.
    let other = ask(&host, "late", "X-Key: key-n2\r\n", "other");
    assert!(other.starts_with("HTTP/1.1 200"), "{other}");
}
