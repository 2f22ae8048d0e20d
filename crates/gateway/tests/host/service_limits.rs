//! Limits of plain services that several hosts learn together.

use std::time::Duration;

use crate::{
    engine::EngineBehaviour,
    fleet::TestFleet,
    site::{TestHost, wait_until},
};

/// A third of the timeout of the test's route, in seconds.
const MAX_RETRY_AFTER: f64 = 0.5;

pub(crate) fn has_limit(host: &TestHost) -> bool {
    let now = host.shared.clock.now();
    let shares = host.shared.service_shares();
    shares.limits(now).any(|(_, limit)| limit.is_some_and(|limit| limit.measured))
}

fn retry_after(response: &str) -> Option<f64> {
    let line = response.lines().find_map(|line| line.strip_prefix("Retry-After: "))?;
    line.parse().ok()
}

/// Guards against hosts that each learn of a full server by their own requests, and against a limit
/// that outlasts the shortage.
#[test]
fn a_full_server_that_one_host_finds_limits_all_hosts_until_it_accepts_again() {
    let fleet = TestFleet::start("plain", 1, 3);
    let server = &fleet.engines[0];
    assert!(!fleet.hosts.iter().any(has_limit), "a limit although nothing is short");
    server.set_behaviours(&[EngineBehaviour::NotRun]);
    let refused = fleet.post(&fleet.hosts[0], "full-0");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    wait_until("all hosts have the limit", || fleet.hosts.iter().all(has_limit));
    let arrivals = server.arrivals().len();
    let results = fleet.measure_load(40, Duration::from_secs(2));
    let sent = server.arrivals().len() - arrivals;
    assert_eq!(results.served, 0);
    assert!(sent * 4 < results.sent, "{sent} of {} reached the full server", results.sent);
    assert!(results.mean_refusal_time < Duration::from_millis(100), "{results:?}");
    for number in 0..20 {
        let response = fleet.post(&fleet.hosts[number % 3], &format!("refused-{number}"));
        let time = retry_after(&response).unwrap_or_else(|| panic!("no retry time: {response}"));
        assert!(time <= MAX_RETRY_AFTER, "told to wait {time} s");
    }
    let metrics = fleet.hosts[1].shared.metrics.encode();
    assert!(metrics.contains(r#"decision="Refused""#), "{metrics}");
    server.set_behaviours(&[EngineBehaviour::Echo]);
    wait_until("the limit ends", || {
        fleet.run_load(20, Duration::from_secs(1));
        !fleet.hosts.iter().any(has_limit)
    });
    let results = fleet.measure_load(20, Duration::from_secs(1));
    assert_eq!(results.served, results.sent, "refused although nothing is short");
}
