//! Configuration and engine entries: a host serves nothing before it knows them, and keeps them
//! during outages.

use std::{thread, time::Duration};

use crate::site::{TestSite, wait_until};

#[test]
fn without_configuration_the_host_is_not_ready_and_refuses() {
    let site = TestSite::without_configuration();
    let host = site.start_host("cold", Vec::new());
    wait_until("the host listens", || {
        host.get("/single/a", "X-Request: a1\r\n").starts_with("HTTP/1.1")
    });
    assert!(!host.is_ready());
    let response = host.get("/single/a", "X-Request: a2\r\n");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("Retry-After"), "{response}");
    site.store.put("configuration", "routes", "1");
    host.wait_ready();
    let response = host.get("/single/a", "X-Request: a3\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn a_new_configuration_applies_within_a_second_and_is_never_replaced_by_an_older_one() {
    let site = TestSite::start();
    let host = site.host("newer");
    let response = host.get("/late/a", "X-Request: n1\r\n");
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    site.store.put("configuration", "routes", "2");
    thread::sleep(Duration::from_millis(700));
    let response = host.get("/late/a", "X-Request: n2\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    site.store.put("configuration", "routes", "1");
    thread::sleep(Duration::from_millis(700));
    let response = host.get("/late/a", "X-Request: n3\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "an older configuration came back: {response}");
}

#[test]
fn a_host_keeps_serving_from_known_state_while_the_store_refuses() {
    let site = TestSite::start();
    let host = site.host("outage");
    site.store.refuse(true);
    let before = site.store.calls();
    for number in 0..20 {
        let response = host.post("/single/a", &format!("X-Request: o{number}\r\n"), "body");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        thread::sleep(Duration::from_millis(100));
    }
    assert!(host.is_ready());
    let calls = site.store.calls() - before;
    assert!(calls < 40, "{calls} calls within 2 s to a store that refuses");
}

/// Guards against hosts that call an unavailable store at full rate.
#[test]
fn an_unavailable_store_is_called_rarely_and_read_soon_after_recovery() {
    let site = TestSite::start();
    let host = site.host("patient");
    site.store.refuse(true);
    thread::sleep(Duration::from_millis(2500));
    let before = site.store.calls();
    thread::sleep(Duration::from_secs(8));
    let calls = site.store.calls() - before;
    assert!(calls <= 18, "{calls} calls within 8 s to a store that refuses");
    site.store.put("configuration", "routes", "2");
    site.store.refuse(false);
    thread::sleep(Duration::from_millis(2700));
    let response = host.get("/late/a", "X-Request: s1\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn a_host_that_the_store_refuses_gets_its_state_from_a_peer() {
    let site = TestSite::start();
    let first = site.host("first");
    let seed = first.shared.profile.peer_address;
    site.store.refuse(true);
    let second = site.start_host("second", vec![seed]);
    second.wait_ready();
    let response = second.post("/single/a", "X-Request: p1\r\n", "body");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Pages of a complete read are not a snapshot: incremental reading must resume at a position that
/// includes changes between two pages.
#[test]
fn a_change_between_two_pages_of_the_initial_read_is_not_missed() {
    let site = TestSite::without_configuration();
    site.store.put("configuration", "a", "1");
    site.store.put("configuration", "b", "1");
    site.store.put_between_pages("configuration", "a", "2");
    let host = site.host("pages");
    wait_until("the change is in force", || {
        host.get("/late/a", "X-Request: g1\r\n").starts_with("HTTP/1.1 200")
    });
}

/// Malformed entries must not affect other engines; the engine's next valid entry lists it again.
#[test]
fn malformed_engine_entries_list_no_engine_and_leave_the_others() {
    let site = TestSite::start();
    let host = site.host("writers");
    let ready = || host.shared.table.borrow().ready_engines("assist").count();
    assert_eq!(ready(), 2);
    for (key, value) in [("nobody", "{}"), ("bytes", "\u{1}\u{2}"), ("engine-1", "[7]")] {
        site.store.put("engines", key, value);
    }
    wait_until("one engine is no longer listed", || ready() == 1);
    let response = host.post("/stream/a", "X-Request: w1\r\nX-Model: base\r\n", "{}");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = host.post("/single/a", "X-Request: w2\r\n", "body");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    site.store.put("engines", "engine-1", &site.engines[0].entry("assist", false));
    wait_until("the engine is listed again", || ready() == 2);
    // A host that starts must come to the same result.
    site.store.put("engines", "engine-2", "null");
    let late = site.host("writers-late");
    let late_ready = || late.shared.table.borrow().ready_engines("assist").count();
    wait_until("a new host lists one engine", || late_ready() == 1 && ready() == 1);
}
