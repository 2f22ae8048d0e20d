//! Hosts whose reading of the store has stalled, and their followers.
//!
//! A reader whose group calls succeed while its read of the configuration hangs must not pass for a
//! working reader: its followers would stop reading the store themselves and miss changes.

use std::{
    thread,
    time::{Duration, Instant},
};

use reelreel_core::placement::HostCapacity;

use crate::site::{TestHost, TestSite, wait_until};

const WEAK_CAPACITY: HostCapacity = HostCapacity { cpu_share: 0.1, bandwidth_mbps: 10.0 };

/// Time within which an acknowledged configuration must be in force on hosts that reach the store.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

fn serves_late_route(host: &TestHost, id: &str) -> bool {
    host.get("/late/a", &format!("X-Request: {id}\r\n")).starts_with("HTTP/1.1 200")
}

/// Publishes a configuration and returns the time until it is in force; `None` after
/// [`APPLY_LIMIT`].
fn time_until_applied(site: &TestSite, host: &TestHost) -> Option<Duration> {
    let began = Instant::now();
    site.store.put("configuration", "routes", "2");
    while began.elapsed() < APPLY_LIMIT {
        if serves_late_route(host, "late") {
            return Some(began.elapsed());
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

#[test]
fn a_change_reaches_followers_of_a_reader_that_can_not_read_it() {
    let site = TestSite::start();
    let endpoint = site.store.open_endpoint("configuration");
    // A group of three needs no weak member.
    let readers =
        ["one", "two", "three"].map(|name| TestHost::start_with_store(name, endpoint.address));
    let follower = site.start_host_with_capacity("follower", Vec::new(), WEAK_CAPACITY);
    follower.wait_ready();
    wait_until("the host follows", || follower.shared.metrics.following.get() == 1);
    endpoint.hang();
    // Group calls and reads of the engines still succeed; the hanging reads have timed out by then.
    thread::sleep(Duration::from_secs(4));
    assert!(readers.iter().all(TestHost::is_ready));
    assert!(time_until_applied(&site, &follower).is_some(), "not in force in {APPLY_LIMIT:?}");
}

/// A connection that goes silent without a reset must not hide changes until the long poll on it
/// times out.
#[test]
fn a_change_reaches_a_host_whose_store_connection_went_silent() {
    let site = TestSite::start();
    let host = site.host("silent");
    site.store.await_long_poll("configuration");
    site.store.silence_connections();
    assert!(time_until_applied(&site, &host).is_some(), "not in force in {APPLY_LIMIT:?}");
}

/// The same for engine entries, which are read in batches at longer intervals.
#[test]
fn a_leaving_engine_is_dropped_though_the_store_connection_went_silent() {
    let site = TestSite::start();
    let host = site.host("silent");
    site.store.await_long_poll("engines");
    site.store.silence_connections();
    let began = Instant::now();
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    wait_until("the leaving engine is dropped", || {
        host.shared.table.borrow().ready_engines("plain").next().is_none()
    });
    assert!(began.elapsed() <= APPLY_LIMIT, "dropped only after {:?}", began.elapsed());
}
