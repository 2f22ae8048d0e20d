//! A store that loses its last records.
//!
//! Their offsets are assigned again in a new era. Hosts must not take later records for older ones
//! because of their offsets.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::site::{TestHost, TestSite, wait_until};

/// Time within which an acknowledged write must be in force on hosts that reach the store.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

fn serves_late_route(host: &TestHost) -> bool {
    host.get("/late/a", "X-Request: late\r\n").starts_with("HTTP/1.1 200")
}

/// Returns whether a condition becomes true within [`APPLY_LIMIT`].
fn holds_in_time(condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < APPLY_LIMIT {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Writes records and lets `host` read them, then stops the store and removes them from it.
fn lose_records(site: &TestSite, host: &TestHost, topic: &str, key: &str, value: &str) {
    for _ in 0..4 {
        site.store.put(topic, key, value);
    }
    // Engine entries are read in batches.
    thread::sleep(Duration::from_secs(1));
    assert!(host.is_ready());
    site.store.refuse(true);
    thread::sleep(Duration::from_millis(300));
    site.store.roll_back(topic, 4);
}

#[test]
fn a_change_after_a_store_rollback_applies() {
    let site = TestSite::start();
    let host = site.host("older-change");
    lose_records(&site, &host, "configuration", "routes", "1");
    site.store.refuse(false);
    wait_until("the store is read again", || host.shared.metrics.store_era.get() == 1);
    site.store.put("configuration", "routes", "2");
    assert!(holds_in_time(|| serves_late_route(&host)), "not in force in {APPLY_LIMIT:?}");
}

#[test]
fn an_engine_that_leaves_after_a_store_rollback_is_dropped() {
    let site = TestSite::start();
    let host = site.host("older-leaving");
    lose_records(&site, &host, "engines", "plain-1", &site.plain.entry("plain", false));
    site.store.refuse(false);
    wait_until("the store is read again", || host.shared.metrics.store_era.get() == 1);
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    let is_dropped = || host.shared.table.borrow().ready_engines("plain").next().is_none();
    assert!(holds_in_time(is_dropped), "not dropped in {APPLY_LIMIT:?}");
}

/// If the topic has grown past the host's read position, no response tells that records are gone.
#[test]
fn a_change_below_the_read_offset_applies() {
    let site = TestSite::start();
    let host = site.host("older-below");
    lose_records(&site, &host, "configuration", "other", "1");
    site.store.put("configuration", "routes", "2");
    for _ in 0..4 {
        site.store.put("configuration", "other", "1");
    }
    site.store.refuse(false);
    assert!(holds_in_time(|| serves_late_route(&host)), "not in force in {APPLY_LIMIT:?}");
}
