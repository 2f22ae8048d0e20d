//! Quota levels while another aggregate publishes often.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::{
    engine::EngineBehaviour,
    organisations::site_with_organisations,
    service_limits::has_limit,
    site::{MODEL_NAME, TestHost, wait_until},
};

/// Interval of requests to the plain service at each host, short enough that its limit stays in
/// force.
const PLAIN_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of requests to the plain service at each host, so that a failed test ends.
const MAX_PLAIN_REQUESTS: usize = 500;

/// Interval of requests with a quota: three per second, of the four that the quota allows.
const QUOTA_INTERVAL: Duration = Duration::from_millis(333);

/// Requests with a quota: some seven seconds of them, well beyond the time after which hosts decide
/// without the ledger.
const QUOTA_REQUESTS: usize = 21;

/// Time in which the lease moves to the host that keeps it.
const LEASE_SETTLING_TIME: Duration = Duration::from_secs(2);

/// Requests of the burst that precedes them, half of what the quota allows.
const BURST_REQUESTS: usize = 5;

fn post_with_quota(host: &TestHost, id: &str) -> String {
    let fields = format!("X-Request: {id}\r\nX-Key: key-q\r\nX-Model: {MODEL_NAME}\r\n");
    host.post("/stream/a", &fields, "{}")
}

/// Guards against hosts that lose the ledger because the limit of a plain service, published every
/// 100 ms, postpones the heartbeat with the quota levels. They then refuse requests within a quota.
#[test]
fn requests_within_a_quota_are_served_while_a_plain_service_is_short_of_capacity() {
    let site = site_with_organisations();
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(2)]);
    }
    let hosts = ["one", "two", "three"].map(|name| site.host(name));
    let all_receive_ledger = || hosts.iter().all(|host| host.shared.quotas().has_received_ledger());
    wait_until("all hosts receive the quota ledger", all_receive_ledger);
    let is_coordinator = |host: &&TestHost| host.shared.metrics.leases.get() > 0;
    thread::sleep(LEASE_SETTLING_TIME);
    wait_until("a host coordinates", || hosts.iter().any(|host| is_coordinator(&host)));
    for number in 0..BURST_REQUESTS {
        let coordinator = hosts.iter().find(is_coordinator).expect("a host coordinates");
        let response = post_with_quota(coordinator, &format!("b{number}"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    site.plain.set_behaviours(&[EngineBehaviour::NotRun]);
    let done = AtomicBool::new(false);
    let send_to_plain_service = |host: &TestHost| {
        for number in 0..MAX_PLAIN_REQUESTS {
            if done.load(Ordering::Relaxed) {
                break;
            }
            host.get("/safe/a", &format!("X-Request: p{number}\r\nX-Key: key-n1\r\n"));
            thread::sleep(PLAIN_INTERVAL);
        }
    };
    let refused: Vec<String> = thread::scope(|scope| {
        for host in &hosts {
            scope.spawn(move || send_to_plain_service(host));
        }
        wait_until("all hosts have the limit", || hosts.iter().all(has_limit));
        let mut responses = Vec::new();
        for number in 0..QUOTA_REQUESTS {
            let follower = hosts.iter().find(|host| !is_coordinator(host));
            let follower = follower.expect("a host follows");
            responses.push(post_with_quota(follower, &format!("q{number}")));
            thread::sleep(QUOTA_INTERVAL);
        }
        let limited = hosts.iter().all(has_limit);
        done.store(true, Ordering::Relaxed);
        assert!(limited, "the limit ended before the last request");
        responses.retain(|response| !response.starts_with("HTTP/1.1 200"));
        responses
    });
    assert!(refused.is_empty(), "{} refused, the first with {}", refused.len(), refused[0]);
}
