//! An engine that starts again under the name that it had: it holds and knows nothing of before.

use crate::{
    engine::{EngineBehaviour, FIRST_INCARNATION},
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

fn send(host: &TestHost, adapter: &str) -> String {
    let fields = format!("X-Request: {adapter}\r\nX-Model: {MODEL_NAME}/{adapter}\r\n");
    host.post("/stream/a", &fields, "{}")
}

/// A plain server was left for good once it had said that it leaves: its next life has the same name and was taken for the
/// one before.
#[test]
fn a_server_that_left_is_used_again_after_a_restart() {
    let site = TestSite::start();
    let host = site.host("left-again");
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    let single = || host.post("/single/a", "X-Request: l\r\n", "body");
    wait_until("it is left", || single().starts_with("HTTP/1.1 503"));
    site.plain.restart(&[], FIRST_INCARNATION + 1);
    site.store.put("engines", "plain-1", &site.plain.entry("plain", false));
    wait_until("its next life is used", || single().starts_with("HTTP/1.1 200"));
}

/// What an engine held in the life before is gone with it, and hosts that are told of its holdings by the placer must not
/// go on with what they were told.
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
    wait_until("hosts know that it holds nothing", || {
        let knows = |host: &TestHost| {
            !host.shared.table.borrow().copies.contains_key(&*format!("{MODEL_NAME}/early"))
        };
        hosts.iter().all(knows)
    });
    for host in &hosts {
        wait_until("the adapter is served by the next life", || is_served(&send(host, "early")));
        wait_until("and one that it never held", || is_served(&send(host, "later")));
    }
    let refused = engine.arrivals().len() - engine.runs().len();
    assert_eq!(refused, 0, "requests for what the next life does not hold");
    let orders = engine.orders();
    assert_eq!(orders[0]["sequence"].as_u64(), Some(0), "its count begins anew: {orders:?}");
}
