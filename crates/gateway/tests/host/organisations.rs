//! Organisations: which key may run what, and what engines see of it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    codec::{KEY, ORGANISATION, PRIORITY, REQUEST},
    engine::{EngineBehaviour, StandInEngine},
    site::{
        MODEL_NAME, ORGANISATIONS_REVISION, REVOKED_KEY_REVISION, TestHost, TestSite, raw_exchange,
        wait_until,
    },
};

pub(crate) fn site_with_organisations() -> TestSite {
    let site = TestSite::without_configuration();
    site.store.put("configuration", "routes", &ORGANISATIONS_REVISION.to_string());
    site
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

/// The key and organisation fields of a request, and the expected outcome.
struct KeyCase {
    name: &'static str,
    path: &'static str,
    fields: &'static str,
    status: &'static str,
    /// The organisation and priority that the engine receives.
    forwarded: Option<(Option<&'static str>, &'static str)>,
}

const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        name: "a key",
        path: "/single/a",
        fields: "X-Key: key-n1\r\n",
        status: "200",
        forwarded: Some((Some("north"), "4")),
    },
    KeyCase {
        name: "another key of the same organisation, the field's name in odd case",
        path: "/single/a",
        fields: "x-KEY: key-n2\r\n",
        status: "200",
        forwarded: Some((Some("north"), "4")),
    },
    KeyCase {
        name: "an organisation without a priority gets the route's",
        path: "/single/a",
        fields: "X-Key: key-s\r\n",
        status: "200",
        forwarded: Some((Some("south"), "1")),
    },
    KeyCase {
        name: "whitespace around the key",
        path: "/single/a",
        fields: "X-Key: \t key-s \r\n",
        status: "200",
        forwarded: Some((Some("south"), "1")),
    },
    KeyCase {
        name: "a forged organisation beside a key",
        path: "/single/a",
        fields: "X-Organisation: north\r\nX-Key: key-s\r\nx-organisation: west\r\n",
        status: "200",
        forwarded: Some((Some("south"), "1")),
    },
    KeyCase {
        name: "a key that is also named by Connection",
        path: "/single/a",
        fields: "Connection: X-Key, X-Organisation\r\nX-Key: key-s\r\n",
        status: "200",
        forwarded: Some((Some("south"), "1")),
    },
    KeyCase { name: "no key", path: "/single/a", fields: "", status: "401", forwarded: None },
    KeyCase {
        name: "a forged organisation without a key",
        path: "/single/a",
        fields: "X-Organisation: north\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "an unknown key",
        path: "/single/a",
        fields: "X-Key: key-x\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "a key in another case",
        path: "/single/a",
        fields: "X-Key: KEY-N1\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "an empty key",
        path: "/single/a",
        fields: "X-Key:\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "two keys in two fields",
        path: "/single/a",
        fields: "X-Key: key-n1\r\nX-Key: key-n1\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "two keys in one field",
        path: "/single/a",
        fields: "X-Key: key-n1, key-n2\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "a prefix before the key",
        path: "/single/a",
        fields: "X-Key: Bearer key-n1\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "a key that two organisations list",
        path: "/single/a",
        fields: "X-Key: key-both\r\n",
        status: "401",
        forwarded: None,
    },
    KeyCase {
        name: "a public route without a key",
        path: "/open/a",
        fields: "",
        status: "200",
        forwarded: Some((None, "1")),
    },
    KeyCase {
        name: "a public route with a key, which is ignored",
        path: "/open/a",
        fields: "X-Key: key-x\r\nX-Organisation: north\r\n",
        status: "200",
        forwarded: Some((None, "1")),
    },
    KeyCase {
        name: "no such route",
        path: "/nowhere/a",
        fields: "X-Key: key-n1\r\n",
        status: "404",
        forwarded: None,
    },
];

#[test]
fn a_request_runs_only_for_the_organisation_that_owns_its_key() {
    let site = site_with_organisations();
    let host = site.host("keys");
    for (number, case) in KEY_CASES.iter().enumerate() {
        let id = format!("k{number}");
        let response = host.get(case.path, &format!("X-Request: {id}\r\n{}", case.fields));
        assert_eq!(status(&response), case.status, "{}: {response}", case.name);
        let arrivals = site.plain.arrivals();
        let arrived =
            arrivals.iter().find(|arrival| arrival.head.fields.text(REQUEST) == Some(&id));
        let forwarded = arrived.map(|arrival| {
            let fields = &arrival.head.fields;
            assert_eq!(fields.values(KEY).count(), 0, "{}: an engine received the key", case.name);
            assert!(fields.values(ORGANISATION).count() <= 1, "{}", case.name);
            (fields.text(ORGANISATION), fields.text(PRIORITY).unwrap_or_default())
        });
        assert_eq!(forwarded, case.forwarded, "{}", case.name);
    }
}

#[test]
fn an_oversized_key_is_refused() {
    let site = site_with_organisations();
    let host = site.host("long-key");
    let key = "k".repeat(300);
    let response = host.get("/single/a", &format!("X-Request: l1\r\nX-Key: {key}\r\n"));
    assert_eq!(status(&response), "401", "{response}");
}

/// A path on which a request reaches engines more than once.
struct RetryCase {
    path: &'static str,
    behaviours: &'static [EngineBehaviour],
}

const RETRY_CASES: &[RetryCase] = &[
    RetryCase { path: "/safe/a", behaviours: &[EngineBehaviour::NotRun, EngineBehaviour::Echo] },
    RetryCase {
        path: "/stream/a",
        behaviours: &[EngineBehaviour::NotRun, EngineBehaviour::Stream(3)],
    },
    RetryCase {
        path: "/resumable/a",
        behaviours: &[EngineBehaviour::TruncateStream(2), EngineBehaviour::Stream(4)],
    },
];

fn send_with_forged_organisation(host: &TestHost, path: &str, id: &str) -> String {
    let model =
        if path == "/safe/a" { String::new() } else { format!("X-Model: {MODEL_NAME}\r\n") };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request: {id}\r\n{model}\
         X-Key: key-n1\r\nX-Organisation: west\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    raw_exchange(host.client_address, request.as_bytes())
}

#[test]
fn retries_and_resumed_streams_carry_the_same_organisation_and_no_key() {
    for case in RETRY_CASES {
        let site = site_with_organisations();
        let host = site.host("repeats");
        for engine in site.engines.iter().chain([&site.plain]) {
            engine.set_behaviours(case.behaviours);
        }
        send_with_forged_organisation(&host, case.path, "r1");
        let engines = site.engines.iter().chain([&site.plain]);
        let arrivals: Vec<_> = engines.flat_map(StandInEngine::arrivals).collect();
        assert!(arrivals.len() >= 2, "{}: sent {} times", case.path, arrivals.len());
        for arrival in arrivals {
            let fields = &arrival.head.fields;
            let organisations: Vec<&[u8]> = fields.values(ORGANISATION).collect();
            assert_eq!(organisations, [b"north"], "{}", case.path);
            assert_eq!(fields.values(KEY).count(), 0, "{}", case.path);
        }
    }
}

#[test]
fn a_revoked_key_runs_nothing_once_the_configuration_applies() {
    let site = site_with_organisations();
    let host = site.host("withdrawn");
    let send = |id: &str, key: &str| {
        host.get("/single/a", &format!("X-Request: {id}\r\nX-Key: {key}\r\n"))
    };
    assert_eq!(status(&send("w1", "key-n1")), "200");
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    wait_until("the new configuration is in force", || {
        let table = host.shared.table.borrow().clone();
        table.routes.as_ref().is_some_and(|routes| routes.revision() == REVOKED_KEY_REVISION)
    });
    assert_eq!(status(&send("w2", "key-n1")), "401");
    assert_eq!(status(&send("w3", "key-n2")), "200");
}

/// How long a revoked key may be served in these tests.
const REVOCATION_BOUND: Duration = Duration::from_millis(1500);

fn request_status(host: &TestHost, id: &str, path: &str, key: &str) -> String {
    let response = host.get(path, &format!("X-Request: {id}\r\nX-Key: {key}\r\n"));
    status(&response).to_owned()
}

#[test]
fn a_host_that_can_not_learn_of_revocations_serves_no_keys_after_the_bound() {
    let site = site_with_organisations();
    let host = site.host_with_revocation_bound("deaf", REVOCATION_BOUND, true);
    assert_eq!(request_status(&host, "d1", "/single/a", "key-n1"), "200");
    site.store.refuse(true);
    let outage_began = Instant::now();
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    thread::sleep(REVOCATION_BOUND / 4);
    assert_eq!(
        request_status(&host, "d2", "/single/a", "key-n2"),
        "200",
        "keys stay valid during a short outage"
    );
    thread::sleep(REVOCATION_BOUND.saturating_sub(outage_began.elapsed()));
    assert_eq!(request_status(&host, "d3", "/single/a", "key-n1"), "503");
    assert_eq!(
        request_status(&host, "d4", "/single/a", "key-n2"),
        "503",
        "no key is confirmed any more"
    );
    assert_eq!(
        request_status(&host, "d5", "/open/a", "key-n2"),
        "200",
        "a public route needs no key"
    );
    assert!(!host.is_ready(), "the host must not be ready");
    let arrived_at_engine = |id: &str| {
        site.plain.arrivals().iter().any(|arrival| arrival.head.fields.text(REQUEST) == Some(id))
    };
    assert!(
        !arrived_at_engine("d3") && !arrived_at_engine("d4"),
        "a refused request reached the engine"
    );
    site.store.refuse(false);
    host.wait_ready();
    assert_eq!(request_status(&host, "d6", "/single/a", "key-n1"), "401");
    assert_eq!(request_status(&host, "d7", "/single/a", "key-n2"), "200");
}

#[test]
fn followers_serve_keys_only_while_their_reader_reaches_the_store() {
    let site = site_with_organisations();
    let reader = site.host_with_revocation_bound("reader", REVOCATION_BOUND, true);
    let host = site.host_with_revocation_bound("follower", REVOCATION_BOUND, false);
    wait_until("the host follows", || host.shared.metrics.following.get() == 1);
    // Longer than the bound: keys stay valid only because the reader confirms them.
    thread::sleep(REVOCATION_BOUND * 2);
    assert_eq!(host.shared.metrics.following.get(), 1);
    assert_eq!(request_status(&host, "f1", "/single/a", "key-n1"), "200");
    site.store.refuse(true);
    thread::sleep(REVOCATION_BOUND);
    for host in [&reader, &host] {
        assert_eq!(request_status(host, "f2", "/single/a", "key-n1"), "503");
    }
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    site.store.refuse(false);
    for host in [&reader, &host] {
        host.wait_ready();
        assert_eq!(request_status(host, "f3", "/single/a", "key-n1"), "401");
        assert_eq!(request_status(host, "f4", "/single/a", "key-n2"), "200");
    }
}

#[test]
fn an_unreadable_configuration_ends_the_validity_of_keys() {
    let site = site_with_organisations();
    let host = site.host_with_revocation_bound("unreadable", REVOCATION_BOUND, true);
    site.store.put("configuration", "routes", "no number");
    thread::sleep(REVOCATION_BOUND / 3);
    assert_eq!(
        request_status(&host, "u1", "/single/a", "key-n1"),
        "200",
        "the last valid configuration is still in force"
    );
    thread::sleep(REVOCATION_BOUND);
    assert_eq!(request_status(&host, "u2", "/single/a", "key-n1"), "503");
    site.store.put("configuration", "routes", &REVOKED_KEY_REVISION.to_string());
    host.wait_ready();
    assert_eq!(request_status(&host, "u3", "/single/a", "key-n1"), "401");
}

/// Sends requests to `hosts` in turn with the key of the organisation that has a quota; returns how
/// many were granted.
fn count_granted(hosts: &[&TestHost], attempts: usize) -> usize {
    let granted = (0..attempts).filter(|number| {
        let host = hosts[number % hosts.len()];
        let response = host.get("/single/a", &format!("X-Request: q{number}\r\nX-Key: key-q\r\n"));
        match status(&response) {
            "200" => true,
            "429" => {
                assert!(response.contains("Retry-After: "), "{response}");
                false
            }
            other => panic!("status {other}: {response}"),
        }
    });
    granted.count()
}

#[test]
fn hosts_share_one_quota_without_affecting_other_organisations() {
    let site = site_with_organisations();
    let hosts = ["one", "two", "three"].map(|name| site.host(name));
    let all_receive_ledger = || hosts.iter().all(|host| host.shared.quotas().has_received_ledger());
    wait_until("all hosts receive the quota ledger", all_receive_ledger);
    let began = Instant::now();
    let all: Vec<&TestHost> = hosts.iter().collect();
    let mut granted = 0;
    while began.elapsed() < Duration::from_secs(4) {
        granted += count_granted(&all, 6);
        thread::sleep(Duration::from_millis(30));
    }
    let seconds = began.elapsed().as_secs_f64();
    // The quota over that time, plus the configured tolerance of one window.
    let limit = 4.0f64.mul_add(seconds, 10.0);
    let max_granted = (4.0f64.mul_add(8.0, 10.0)).mul_add(0.1, limit) + 20.0;
    assert!(
        granted as f64 <= max_granted,
        "{granted} granted within {seconds:.1} s, {max_granted:.0} allowed"
    );
    assert!(granted as f64 >= limit * 0.9, "{granted} granted within {seconds:.1} s of {limit:.0}");
    assert_eq!(request_status(&hosts[0], "other", "/single/a", "key-s"), "200");
}

/// Guards against a new coordinator that opens an account full although the hosts know that it is
/// used up.
#[test]
fn hosts_keep_one_quota_while_the_coordinator_changes() {
    let site = site_with_organisations();
    let names = ["one", "two", "three", "four", "five", "six"];
    let mut hosts: Vec<TestHost> = names.map(|name| site.host(name)).into();
    let all_receive_ledger = || hosts.iter().all(|host| host.shared.quotas().has_received_ledger());
    wait_until("all hosts receive the quota ledger", all_receive_ledger);
    let window = Duration::from_secs(8);
    let began = Instant::now();
    let mut granted_at = Vec::new();
    let mut stopping = Vec::new();
    for phase in 0..5 {
        while began.elapsed() < Duration::from_millis(1200) * (phase + 1) {
            for host in &hosts {
                let fields = format!("X-Request: h{}\r\nX-Key: key-q\r\n", granted_at.len());
                if status(&host.get("/single/a", &fields)) == "200" {
                    granted_at.push(began.elapsed());
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        let coordinator = hosts.iter().position(|host| host.shared.metrics.leases.get() > 0);
        let stopped = hosts.swap_remove(coordinator.expect("one host holds the lease"));
        stopped.shared.stop();
        stopping.push(stopped);
        let has_successor = || hosts.iter().any(|host| host.shared.metrics.leases.get() > 0);
        wait_until("another host holds the lease", has_successor);
    }
    let max_granted = 4.0f64.mul_add(window.as_secs_f64(), 10.0).mul_add(1.1, 20.0);
    let within_window = |start: Duration| {
        granted_at.iter().filter(|at| (start..start + window).contains(*at)).count()
    };
    let granted = granted_at.iter().map(|start| within_window(*start)).max();
    let granted = granted.expect("some requests are granted");
    assert!(
        granted as f64 <= max_granted,
        "{granted} granted within {window:?}, {max_granted:.0} allowed"
    );
}

#[test]
fn quota_of_requests_that_did_not_run_is_refunded() {
    let site = site_with_organisations();
    let host = site.host("given-back");
    wait_until("the host receives the quota ledger", || host.shared.quotas().has_received_ledger());
    site.plain.set_behaviours(&[EngineBehaviour::NotRun]);
    for number in 0..300 {
        let response = request_status(&host, &format!("g{number}"), "/single/a", "key-q");
        assert_eq!(response, "503", "request {number}");
    }
    // More than burst and tolerance: rejected requests must not count against the quota.
    assert!(site.plain.arrivals().len() > 20, "{} arrivals", site.plain.arrivals().len());
    site.plain.set_behaviours(&[EngineBehaviour::Echo]);
    // The host sends only a part of the requests to a server that was overloaded just before.
    thread::sleep(Duration::from_millis(3100));
    assert_eq!(count_granted(&[&host], 8), 8);
}

/// Guards against long retry backoff after an outage in which the store did not respond.
#[test]
fn keys_are_served_again_soon_after_the_store_stops_hanging() {
    let site = site_with_organisations();
    let host = site.host_with_revocation_bound("silent", REVOCATION_BOUND, true);
    site.store.hang(true);
    // Long enough for the retry backoffs to reach their maximum.
    thread::sleep(Duration::from_millis(6500));
    assert_eq!(request_status(&host, "s1", "/single/a", "key-n1"), "503");
    site.store.hang(false);
    let recovered_at = Instant::now();
    wait_until("keys are served", || request_status(&host, "s2", "/single/a", "key-n1") == "200");
    let elapsed = recovered_at.elapsed();
    assert!(elapsed < Duration::from_millis(800), "served only after {} ms", elapsed.as_millis());
}

#[test]
fn organisations_are_counted_by_name_and_no_key_is_in_logs_or_metrics() {
    let site = site_with_organisations();
    let host = site.host("counted");
    assert_eq!(request_status(&host, "c1", "/single/a", "key-n1"), "200");
    assert_eq!(request_status(&host, "c2", "/single/a", "key-secret-x"), "401");
    for number in 0..100 {
        host.shared.metrics.count_organisation(&format!("o{number}"), "answered");
    }
    let text = host.shared.metrics.encode();
    assert!(text.contains(r#"organisation="north",outcome="answered""#), "{text}");
    assert!(text.contains(r#"organisation="others",outcome="answered"} 37"#), "{text}");
    assert!(!text.contains("key-"), "a key in the metrics: {text}");
    let routes = host.shared.table.borrow().routes.clone();
    assert!(!format!("{routes:?}").contains("key-"), "a key in the debug output of the routes");
}
