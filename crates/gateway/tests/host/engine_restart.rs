//! An engine that restarts under the same name keeps no state of its previous incarnation.

use crate::{
    engine::{EngineBehaviour, FIRST_INCARNATION},
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

fn send(host: &TestHost, adapter: &str) -> String {
    let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
    host.post("/stream/a", &fields, "{}")
}

/// Guards against taking the next incarnation of a departed server for the departed one.
#[test]
fn a_server_that_left_is_used_again_after_a_restart() {
    let site = TestSite::start();
    let host = site.host("left-again");
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    let send_plain = || host.post("/single/a", "X-Request: l\r\n", "body");
    wait_until("the server is dropped", || send_plain().starts_with("HTTP/1.1 503"));
    site.plain.restart(&[], FIRST_INCARNATION + 1);
    site.store.put("engines", "plain-1", &site.plain.entry("plain", false));
    wait_until("the next incarnation is used", || send_plain().starts_with("HTTP/1.1 200"));
}

/// Hosts must drop what the placer told them about adapters of the previous incarnation.
#[test]
fn adapters_of_an_earlier_incarnation_do_not_count_as_loaded() {
    let site = TestSite::start();
    let hosts = [site.host("held-1"), site.host("held-2")];
    site.store.put("engines", "engine-2", "");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(3)]);
    }
    let is_served = |response: &str| response.starts_with("HTTP/1.1 200");
    for host in &hosts {
        wait_until("the adapter is served", || is_served(&send(host, "early")));
    }
    let engine = &site.engines[0];
    engine.restart(&[MODEL_NAME], FIRST_INCARNATION + 1);
    site.store.put("engines", "engine-1", &engine.entry("assist", false));
    wait_until("the hosts know that the engine has no adapters", || {
        let knows = |host: &TestHost| {
            !host.shared.table.borrow().copies.contains_key(&*format!("{MODEL_NAME}/early"))
        };
        hosts.iter().all(knows)
    });
    for host in &hosts {
        wait_until("the adapter is served by the next incarnation", || {
            is_served(&send(host, "early"))
        });
        wait_until("another adapter is served by the next incarnation", || {
            is_served(&send(host, "later"))
        });
    }
    let refused = engine.arrivals().len() - engine.runs().len();
    assert_eq!(refused, 0, "requests for adapters that the next incarnation has not loaded");
    let orders = engine.orders();
    assert_eq!(
        orders[0]["sequence"].as_u64(),
        Some(0),
        "order numbers do not restart at zero: {orders:?}"
    );
}
