//! Hosts that follow a reader of the store whose own reading of the configuration has stopped.
//!
//! The store came back after eight silent seconds. A host that reads it for others joined the group again at once, and by that answer
//! passed for a reader, while its reading of the configuration was still hanging in a call of the outage. The others followed it and
//! stopped reading the store themselves: "`store_regained` engines" at 26.14 s, "following" on four hosts from 26.03 s on,
//! "`configuration_in_force` 8" only at 29.41 s, 2.8 s after that configuration had been acknowledged, and in between a request was
//! refused with 404 on a route that it had added. The reader's line then says how old what it passes on may be: "reading
//! true, age 11102".

use std::{
    thread,
    time::{Duration, Instant},
};

use reelreel_core::placement::HostCapacity;

use crate::site::{TestHost, TestSite, wait_until};

const WEAK_CAPACITY: HostCapacity = HostCapacity { processor: 0.1, bandwidth: 10.0 };

/// Within which time a configuration that the store has taken is in force on hosts that reach it; operators give two
/// to three seconds.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

fn serves_late_route(host: &TestHost, id: &str) -> bool {
    host.get("/late/a", &format!("X-Request: {id}\r\n")).starts_with("HTTP/1.1 200")
}

/// Returns how long it takes until a configuration that is published now is in force; `None` where that is too long.
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
    // They go on joining the group and reading the engines; the calls that hang are given up by then.
    thread::sleep(Duration::from_secs(4));
    assert!(readers.iter().all(TestHost::is_ready));
    assert!(time_until_applied(&site, &follower).is_some(), "not in force in {APPLY_LIMIT:?}");
}

/// A connection that went silent without a reset hid every change for as long as the read that the store held on it was waited for:
/// 2.7 s, although new connections were served.
#[test]
fn a_change_reaches_a_host_whose_store_connection_went_silent() {
    let site = TestSite::start();
    let host = site.host("silent");
    site.store.await_long_poll("configuration");
    site.store.silence_connections();
    assert!(time_until_applied(&site, &host).is_some(), "not in force in {APPLY_LIMIT:?}");
}

/// The same for the engines' entries, of which the next read came a second later still: requests went to an engine for 3.8 s after
/// the store had taken that it leaves.
#[test]
fn a_leaving_engine_is_dropped_though_the_store_connection_went_silent() {
    let site = TestSite::start();
    let host = site.host("silent");
    site.store.await_long_poll("engines");
    site.store.silence_connections();
    let began = Instant::now();
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    wait_until("the engine is left", || {
        host.shared.table.borrow().ready_engines("plain").next().is_none()
    });
    assert!(began.elapsed() <= APPLY_LIMIT, "left only after {:?}", began.elapsed());
}
