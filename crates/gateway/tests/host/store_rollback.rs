//! A store that comes back from an older copy of itself.
//!
//! It was away for two and a half seconds and came back without the last records that it had taken; their offsets were given out
//! again. Hosts took what was written next for older than what they had read before. Three configurations in a row were acknowledged
//! and came into force nowhere, while every host held its own for new: "`store_regained` configuration" at 18.54 s, "reading true,
//! age 42" at 18.56 s, nothing of the changes at 21.83, 23.03 and 24.53 s, and "`configuration_in_force`" on all seven hosts at
//! 26.02 s with the fourth, when the topic had grown past where it had been. An engine that said at 49.81 s that it leaves was
//! written by no host as "`engine_leaving`" and got requests 2.9 s later.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::site::{TestHost, TestSite, wait_until};

/// Within which time what the store has acknowledged is in force on hosts that reach it; operators give two to three seconds.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

fn serves_late_route(host: &TestHost) -> bool {
    host.get("/late/a", "X-Request: late\r\n").starts_with("HTTP/1.1 200")
}

/// Returns whether something comes about within [`APPLY_LIMIT`].
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

/// Lets `host` read some more records, then takes the store away and back without them.
fn lose_records(site: &TestSite, host: &TestHost, topic: &str, key: &str, value: &str) {
    for _ in 0..4 {
        site.store.put(topic, key, value);
    }
    // Engines' entries are read in batches.
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
    let left = || host.shared.table.borrow().ready_engines("plain").next().is_none();
    assert!(holds_in_time(left), "not left in {APPLY_LIMIT:?}");
}

/// Where the topic has grown past the place from which a host reads on, no answer says that anything is gone.
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
