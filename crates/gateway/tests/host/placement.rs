//! Requested adapters are loaded by whichever host holds the lease.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::EngineBehaviour,
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

fn tokens(site: &TestSite) -> BTreeSet<(String, u64)> {
    let orders = site.engines.iter().flat_map(crate::engine::StandInEngine::orders);
    orders
        .map(|order| {
            let holder = order["holder"].as_str().unwrap_or_default().to_owned();
            (holder, order["token"].as_u64().unwrap_or_default())
        })
        .collect()
}

#[test]
fn a_requested_adapter_is_loaded_and_served() {
    let site = TestSite::start();
    let hosts = [site.host("one"), site.host("two")];
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    for (number, host) in hosts.iter().enumerate() {
        // The first request may be refused while the lease is being assigned.
        wait_until("the adapter is served", || {
            let fields =
                format!("X-Request: a{number}\r\nX-Model: {MODEL_NAME}/adapter-{number}\r\n");
            host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
        });
    }
    let tokens = tokens(&site);
    let holders: BTreeSet<&String> = tokens.iter().map(|(holder, _)| holder).collect();
    let distinct: BTreeSet<u64> = tokens.iter().map(|(_, token)| *token).collect();
    assert!(!tokens.is_empty());
    assert_eq!(distinct.len(), tokens.len(), "holders share a token: {tokens:?}");
    assert!(holders.len() <= 2);
}

#[test]
fn a_stopped_placer_hands_over_its_lease() {
    let site = TestSite::start();
    let (first, second) = (site.host("first"), site.host("second"));
    let send = |host: &TestHost, adapter: &str| {
        let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
        host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
    };
    wait_until("the first adapter is served", || send(&second, "early"));
    first.stop();
    wait_until("an adapter is served after the stop", || send(&second, "later"));
    second.stop();
}

/// Guards against a new placer that spreads its still incomplete host count, by which each host
/// would take too large a share of a budget.
#[test]
fn the_host_count_stays_stable_while_another_host_becomes_the_placer() {
    let site = TestSite::start();
    let mut hosts: Vec<_> = ["one", "two", "three", "four"].map(|name| site.host(name)).into();
    let host_count = |host: &TestHost| host.shared.table.borrow().hosts;
    wait_until("all hosts are counted", || hosts.iter().all(|host| host_count(host) == 4));
    // The group may assign the lease to another member while the last host is being counted.
    let placer_index = || hosts.iter().position(|host| host.shared.metrics.leases.get() == 1);
    wait_until("one host holds the lease", || placer_index().is_some());
    let placer = placer_index().expect("a placer");
    let placer = hosts.swap_remove(placer);
    placer.shared.stop();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        for host in &hosts {
            assert!(
                host_count(host) >= 3,
                "{} hosts after {:?}",
                host_count(host),
                began.elapsed()
            );
        }
        thread::sleep(Duration::from_millis(1));
    }
    assert!(
        hosts.iter().any(|host| host.shared.metrics.leases.get() == 1),
        "no host holds the lease"
    );
    placer.stop();
}

/// A partition moves later than the group's generation changes. Guards against hosts that look up
/// the owners only once and address the wrong placer.
#[test]
fn every_host_finds_the_placer_when_partitions_move_after_a_group_change() {
    let site = TestSite::start();
    site.store.delay_owners(Duration::from_millis(300));
    let hosts = ["one", "two", "three"].map(|name| site.start_host(name, Vec::new()));
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    for (number, host) in hosts.iter().enumerate() {
        host.wait_ready();
        wait_until("an adapter is served", || {
            let fields =
                format!("X-Request: p{number}\r\nX-Model: {MODEL_NAME}/adapter-{number}\r\n");
            host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
        });
    }
}
