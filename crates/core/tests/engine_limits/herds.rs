//! Limits that engines declare while one host gets most requests.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{ClockMillis, fleet::limits::limit::RequestLimit};

use crate::{
    fleet::PermitFleet,
    simulation::{LimitStrategy, STEP, SentRequests, WINDOW, sample_events},
};

/// Time until the engine's response begins.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// When nine in ten of all requests begin to arrive at one host. The engine declares its limit from the start.
const HERD_START: Duration = Duration::from_secs(20);

/// Time for which they arrive at one host, before they do at the next.
const HERD_TIME: Duration = Duration::from_secs(4);

/// Time from which requests must be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Least ratio of the served fractions in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// Requests for an engine with a limit over all hosts.
struct HerdCase {
    hosts: usize,
    /// Unit: requests per second.
    limit: f64,
    /// The requests as a multiple of the limit.
    load: f64,
    /// Factor on the requests during the herd.
    surge: f64,
}

const CASES: &[HerdCase] = &[
    HerdCase { hosts: 6, limit: 20.0, load: 0.6, surge: 1.5 },
    HerdCase { hosts: 6, limit: 20.0, load: 0.9, surge: 1.0 },
    HerdCase { hosts: 72, limit: 20.0, load: 0.6, surge: 1.5 },
    HerdCase { hosts: 72, limit: 20.0, load: 2.5, surge: 1.0 },
    HerdCase { hosts: 72, limit: 5.0, load: 0.9, surge: 1.0 },
    HerdCase { hosts: 300, limit: 20.0, load: 0.9, surge: 1.0 },
    HerdCase { hosts: 300, limit: 5.0, load: 2.5, surge: 1.0 },
];

/// Requests by arrival, and those that were sent, of one time.
struct HerdOutcome {
    before: f64,
    herd: f64,
    max_in_window: usize,
}

/// Returns the host of the next request.
fn draw_host(case: &HerdCase, random: &mut Pcg64Mcg, elapsed: Duration) -> usize {
    if elapsed >= HERD_START && random.random::<f64>() < 0.9 {
        // The ledger's host is another one.
        return 1 + usize::from(elapsed >= HERD_START + HERD_TIME);
    }
    random.random_range(0..case.hosts)
}

fn simulate(case: &HerdCase, seed: u64) -> HerdOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = PermitFleet::new(case.hosts, seed);
    let limit = RequestLimit::new(case.limit);
    let mut responses: VecDeque<(ClockMillis, ClockMillis, usize)> = VecDeque::new();
    let mut sent = SentRequests::default();
    let mut arrivals = SentRequests::default();
    let start = ClockMillis::from_millis(1);
    let end = start + HERD_START + 2 * HERD_TIME;
    let mut now = start;
    while now < end {
        let elapsed = now.since(start);
        let surge = if elapsed >= HERD_START { case.surge } else { 1.0 };
        for _ in 0..sample_events(case.limit * case.load * surge, STEP, &mut random) {
            fleet.on_arrival(draw_host(case, &mut random, elapsed), now);
            arrivals.sent.push(now);
        }
        while let Some((due, requested_at, host)) = responses.front().copied()
            && due <= now
        {
            responses.pop_front();
            fleet.on_response(host, limit, requested_at, now);
        }
        for host in fleet.hosts_to_send(now) {
            sent.sent.push(now);
            responses.push_back((now + RESPONSE_TIME, now, host));
        }
        now = now + STEP;
    }
    let fraction = |from: ClockMillis, until: ClockMillis| {
        sent.count(from, until) as f64 / arrivals.count(from, until) as f64
    };
    let herd_start = start + HERD_START;
    HerdOutcome {
        before: fraction(start + HERD_START / 4, herd_start),
        herd: fraction(herd_start + CONTACT_TIME, end),
        max_in_window: sent.max_in_window(start + Duration::from_secs(2)),
    }
}

/// Guards against permits that stay with hosts which have few requests.
#[test]
fn a_host_that_gets_most_requests_gets_most_permits() {
    let mut failures = Vec::new();
    for case in CASES {
        for seed in 1..=3 {
            let HerdOutcome { before, herd, max_in_window } = simulate(case, seed);
            let HerdCase { hosts, limit, load, surge } = *case;
            let allowed = limit * WINDOW.as_secs_f64() + (limit * 0.25).max(2.0) + 1.0;
            let line = format!(
                "{hosts} hosts, limit {limit}, load {load} times {surge}, seed {seed}: {before:.3} before, \
                 {herd:.3} in the herd, {max_in_window} of {allowed:.1} in a window"
            );
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before || max_in_window as f64 > allowed {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
