//! The connections that an engine accepts, shared by hosts of which one gets most requests.

mod random;

use std::{collections::VecDeque, ops::Range, time::Duration};

use random::Random;
use reelreel_core::{
    ClockMillis,
    fleet::{
        connection_share::{ConnectionShare, ConnectionUse},
        work::EngineWork,
    },
};

/// Unit: milliseconds.
const STEP: u64 = 5;

/// Time for which a request is open, at least and at most. Unit: milliseconds.
const RUN_TIME: Range<u64> = 300..900;

/// Interval of the hosts' reports. Unit: milliseconds.
const REPORT_INTERVAL: u64 = 50;

/// Time of a message. Unit: milliseconds.
const MESSAGE_TIME: u64 = 30;

/// When nine in ten of all requests begin to arrive at one host. Unit: milliseconds.
const HERD_START: u64 = 6000;

/// Time for which they arrive at one host, before they do at the next. Unit: milliseconds.
const HERD_TIME: u64 = 4000;

/// Time from which requests must be served as before. Unit: milliseconds.
const CONTACT_TIME: u64 = 3000;

/// Unit: milliseconds.
const END: u64 = HERD_START + 2 * HERD_TIME;

/// Least ratio of the served fractions in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// How connections are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Division {
    /// By the number of hosts.
    Equal,
    /// By the production rule.
    Lent,
}

/// Requests for one engine.
#[derive(Debug, Clone, Copy)]
struct ShareCase {
    hosts: usize,
    limit: u32,
    slots: u32,
    /// Mean number of requests that are open if all are.
    open: f64,
    /// Factor on the requests during the herd.
    surge: f64,
    /// Interval at which totals are published. Unit: milliseconds.
    publish_interval: u64,
    /// Whether most requests arrive at one host.
    is_herd: bool,
    /// Number of hosts that are cut off from the reports during the herd.
    cut_off: usize,
}

const HERD: ShareCase = ShareCase {
    hosts: 72,
    limit: 360,
    slots: 64,
    open: 45.0,
    surge: 1.0,
    publish_interval: 250,
    is_herd: true,
    cut_off: 0,
};

const HERD_CASES: &[ShareCase] = &[
    HERD,
    ShareCase { surge: 1.5, ..HERD },
    ShareCase { publish_interval: 500, ..HERD },
    ShareCase { hosts: 10, limit: 200, ..HERD },
    ShareCase { hosts: 6, limit: 360, ..HERD },
    ShareCase { limit: 100, slots: 12, open: 8.4, ..HERD },
    ShareCase { hosts: 300, slots: 12, open: 8.4, ..HERD },
];

/// Loads far beyond the connections, at all hosts or at one.
const FULL_CASES: &[ShareCase] = &[
    ShareCase { surge: 20.0, is_herd: false, ..HERD },
    ShareCase { surge: 20.0, ..HERD },
    ShareCase { surge: 20.0, is_herd: false, publish_interval: 500, ..HERD },
    ShareCase { surge: 20.0, is_herd: false, cut_off: 24, ..HERD },
    ShareCase { surge: 20.0, cut_off: 24, ..HERD },
    ShareCase { hosts: 10, limit: 200, surge: 20.0, is_herd: false, ..HERD },
    ShareCase { hosts: 10, limit: 200, surge: 20.0, cut_off: 3, ..HERD },
    ShareCase { limit: 100, slots: 12, open: 8.4, surge: 50.0, is_herd: false, ..HERD },
    ShareCase { hosts: 300, slots: 12, open: 8.4, surge: 100.0, ..HERD },
    ShareCase { hosts: 10, limit: 100, slots: 64, surge: 20.0, ..HERD },
];

#[derive(Debug, Default)]
struct ShareOutcome {
    /// Served fractions before the herd and in it.
    before: f64,
    herd: f64,
    /// The most requests that were open at a time.
    max_open: usize,
}

#[derive(Default, Clone)]
struct SimHost {
    share: ConnectionShare,
    /// When its open requests end.
    open: Vec<u64>,
    /// The last total that it received, and when it was last confirmed.
    total: u32,
    confirmed_at: Option<u64>,
}

impl SimHost {
    fn own_open(&self) -> u32 {
        u32::try_from(self.open.len()).expect("a few requests")
    }

    /// Handles a request; returns whether it is served.
    fn serve(
        &mut self,
        case: &ShareCase,
        division: Division,
        random: &mut Random,
        now: u64,
    ) -> bool {
        let report_age = self.confirmed_at.map(|at| Duration::from_millis(now - at));
        let connections = ConnectionUse {
            limit: case.limit,
            hosts: u32::try_from(case.hosts).expect("a few hosts"),
            slots: case.slots,
            own_open: self.own_open(),
            reported_open: self.total,
            report_age,
        };
        let allowed = match division {
            Division::Equal => connections.own_open < connections.equal_share(),
            Division::Lent => {
                self.share.allows(&connections, ClockMillis::from_millis(60_000 + now))
            }
        };
        if allowed {
            let time = random.next() * (RUN_TIME.end - RUN_TIME.start) as f64;
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short")]
            self.open.push(now + RUN_TIME.start + time as u64);
        }
        allowed
    }
}

fn draw_host(case: &ShareCase, random: &mut Random, now: u64) -> usize {
    if case.is_herd && now >= HERD_START && random.next() < 0.9 {
        return usize::from(now >= HERD_START + HERD_TIME);
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below one")]
    let host = (random.next() * case.hosts as f64) as usize;
    host
}

fn simulate(case: &ShareCase, division: Division, seed: u64) -> ShareOutcome {
    let mut random = Random(seed);
    let mut hosts = vec![SimHost::default(); case.hosts];
    let mut reported: Vec<u32> = vec![0; case.hosts];
    let mut reports: VecDeque<(u64, usize, u32)> = VecDeque::new();
    let mut publications: VecDeque<(u64, Option<u32>)> = VecDeque::new();
    let mut published = EngineWork::default();
    let (mut before, mut herd) = ((0.0, 0.0), (0.0, 0.0));
    let mut max_open = 0;
    let mean_run = (RUN_TIME.start + RUN_TIME.end) as f64 / 2.0;
    for now in (0..END).step_by(usize::try_from(STEP).expect("a short step")) {
        let in_herd = now >= HERD_START;
        let is_cut = |host: usize| in_herd && host < case.cut_off;
        let surge = if in_herd { case.surge } else { 1.0 };
        let mut expected = case.open / mean_run * surge * STEP as f64;
        while expected > random.next() {
            expected -= 1.0;
            let host = draw_host(case, &mut random, now);
            let served = f64::from(u8::from(hosts[host].serve(case, division, &mut random, now)));
            let count = if now >= HERD_START + CONTACT_TIME { &mut herd } else { &mut before };
            if !in_herd || now >= HERD_START + CONTACT_TIME {
                *count = (count.0 + 1.0, count.1 + served);
            }
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            host.open.retain(|end| *end > now);
            if (now + index as u64 * STEP).is_multiple_of(REPORT_INTERVAL) && !is_cut(index) {
                reports.push_back((now + MESSAGE_TIME, index, host.own_open()));
            }
        }
        max_open = max_open.max(hosts.iter().map(|host| host.open.len()).sum());
        while reports.front().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, host, open)) = reports.pop_front() else { break };
            reported[host] = open;
        }
        if now.is_multiple_of(case.publish_interval) {
            // The placer forgets hosts that do not report.
            let forgets = now >= HERD_START + CONTACT_TIME;
            let known = reported.iter().enumerate().filter(|(host, _)| !(forgets && is_cut(*host)));
            let open = known.map(|(_, open)| *open).sum();
            let total = EngineWork { open, pending_prefill_tokens: 0 };
            let changed = total.differs_significantly(&published, u64::MAX);
            if changed {
                published = total;
            }
            publications.push_back((now + MESSAGE_TIME, changed.then_some(open)));
        }
        while publications.front().is_some_and(|(due, _)| *due <= now) {
            let Some((due, total)) = publications.pop_front() else { break };
            for (_, host) in hosts.iter_mut().enumerate().filter(|(host, _)| !is_cut(*host)) {
                host.total = total.unwrap_or(host.total);
                host.confirmed_at = Some(due);
            }
        }
    }
    ShareOutcome { before: before.1 / before.0, herd: herd.1 / herd.0, max_open }
}

/// Guards against a host that may open only an equal part of the connections.
#[test]
fn a_host_that_gets_most_requests_may_open_most_connections() {
    let mut failures = Vec::new();
    for case in HERD_CASES {
        for seed in 1..=3 {
            let ShareOutcome { before, herd, max_open } = simulate(case, Division::Lent, seed);
            let equal = simulate(case, Division::Equal, seed);
            let line = format!(
                "{before:.3} before, {herd:.3} in the herd, {max_open} open; divided equally {:.3} and {:.3}: {case:?}",
                equal.before, equal.herd
            );
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before || max_open > case.limit as usize {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against connections that are lent to several hosts at once.
#[test]
fn all_hosts_together_open_no_more_connections_than_an_engine_accepts() {
    let mut failures = Vec::new();
    for case in FULL_CASES {
        for seed in 1..=3 {
            let ShareOutcome { herd, max_open, .. } = simulate(case, Division::Lent, seed);
            let line = format!("{max_open} open, {herd:.3} served: {case:?}");
            println!("{line}");
            if max_open > case.limit as usize {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
