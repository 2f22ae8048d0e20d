//! Checks between the choice of an engine and the send: quarantine and key may change while a
//! request waits for its adapter.

use std::{
    thread,
    time::{Duration, Instant},
};

use reelreel_core::fleet::{
    prompt::PromptMetadata,
    quarantine::{InterruptedRun, RequestIdentity, RequestMark, RequestTraits},
};

use crate::{
    engine::{EngineBehaviour, StandInEngine},
    organisations::site_with_organisations,
    site::{MODEL_NAME, REVOKED_KEY_REVISION, TestHost, TestSite, wait_until},
};

/// Time within which a waiting request is refused after the change.
const REFUSAL_LIMIT: Duration = Duration::from_millis(400);

/// Starts a host and waits until it places adapters.
fn start_placer(site: &TestSite, name: &str, key: &str) -> TestHost {
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    let host = site.host(name);
    // A host that joins before it knows the configuration joins again, and nobody holds the lease
    // meanwhile.
    wait_until("the host holds the lease under its last name", || {
        let members = site.store.members();
        members.len() == 1 && members[0].contains('/') && host.shared.metrics.leases.get() == 1
    });
    wait_until("an adapter is served", || {
        send(&host, "early", key, "first").starts_with("HTTP/1.1 200")
    });
    host
}

fn send(host: &TestHost, adapter: &str, key: &str, body: &str) -> String {
    let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n{key}");
    host.post("/stream/a", &fields, body)
}

/// Sends a request whose adapter has to be loaded first, and calls `change` while it waits. Returns
/// the response and the time from the change to it.
fn send_and_change(
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
        let request = scope.spawn(|| send(host, "late", key, body));
        while !ordered() {
            thread::sleep(Duration::from_millis(1));
        }
        let changed = Instant::now();
        change();
        let response = request.join().expect("a response");
        (response, changed.elapsed())
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

/// Reports two engine crashes under a request to the host.
fn quarantine_request(host: &TestHost, mark: RequestMark) {
    let now = host.shared.clock.now();
    for incarnation in 1..=2 {
        let run = InterruptedRun {
            traits: RequestTraits::new(mark, "assist", &PromptMetadata::default()),
            organisation: None,
            began: now,
            version: 0,
            has_answered: false,
        };
        host.shared.quarantine().record_crash(incarnation, &[run], now);
    }
}

#[test]
fn a_waiting_request_that_is_quarantined_is_not_sent() {
    let site = TestSite::start();
    let host = start_placer(&site, "held-waiting", "");
    let quarantine = || quarantine_request(&host, mark("deadly"));
    let (response, time) = send_and_change(&site, &host, "", "deadly", quarantine);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("Retry-After: "), "{response}");
    assert_eq!(arrivals(&site, "deadly"), 0);
    assert!(time <= REFUSAL_LIMIT, "refused only after {time:?}");
}

#[test]
fn a_waiting_request_whose_key_is_revoked_is_not_sent() {
    let site = site_with_organisations();
    let key = "X-Key: key-n1\r\n";
    let host = start_placer(&site, "key-waiting", key);
    let revoke = || site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    let (response, _) = send_and_change(&site, &host, key, "withdrawn", revoke);
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert_eq!(arrivals(&site, "withdrawn"), 0);
    // Another key of the organisation must still be accepted.
    let other = send(&host, "late", "X-Key: key-n2\r\n", "other");
    assert!(other.starts_with("HTTP/1.1 200"), "{other}");
}
