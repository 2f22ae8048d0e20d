//! Adapters that are asked for come, through whichever host holds the lease.

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
        // The first request may be refused while the lease is dealt; its client comes back.
        wait_until("the adapter is served", || {
            let fields =
                format!("X-Request: a{number}\r\nX-Model: {MODEL_NAME}/adapter-{number}\r\n");
            host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
        });
    }
    let tokens = tokens(&site);
    let holders: BTreeSet<&String> = tokens.iter().map(|(holder, _)| holder).collect();
    let different: BTreeSet<u64> = tokens.iter().map(|(_, token)| *token).collect();
    assert!(!tokens.is_empty());
    assert_eq!(different.len(), tokens.len(), "one token for each holder: {tokens:?}");
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

/// A placer that has just begun hears from nobody yet. Its count went to all hosts, which took up to a whole budget each by it:
/// "`hosts_counted` 1, 5, 4, 3, 6" within 0.3 s.
#[test]
fn the_host_count_stays_stable_while_another_host_becomes_the_placer() {
    let site = TestSite::start();
    let mut hosts: Vec<_> = ["one", "two", "three", "four"].map(|name| site.host(name)).into();
    let counted = |host: &TestHost| host.shared.table.borrow().hosts;
    wait_until("all are counted", || hosts.iter().all(|host| counted(host) == 4));
    // The group may deal the lease to another member while the last host is being counted.
    let index = || hosts.iter().position(|host| host.shared.metrics.leases.get() == 1);
    wait_until("one of them places", || index().is_some());
    let placer = index().expect("a placer");
    let placer = hosts.swap_remove(placer);
    placer.shared.stop();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        for host in &hosts {
            assert!(counted(host) >= 3, "{} hosts after {:?}", counted(host), began.elapsed());
        }
        thread::sleep(Duration::from_millis(1));
    }
    assert!(hosts.iter().any(|host| host.shared.metrics.leases.get() == 1), "nobody places");
    placer.stop();
}

/// The hosts asked who holds which partition once, as the group changed. A partition passes on a little later, and the group's
/// generation does not tell: 50 of 72 hosts took another host for the placer until the lease moved half a minute later; each wrote
/// some four lines with "`adapter_absent`" a second, the other 22 none, and none of the 50 heard a word on quotas.
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
