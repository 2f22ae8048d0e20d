//! Quotas while one host gets most requests.

use std::collections::VecDeque;

use crate::{
    random::Random,
    scenario::{REQUEST_COST, Scenario, TOLERANCE},
    simulation::limit_at,
    strategies::{GrantStrategy, LedgerQuotas, Network},
};

/// When nine in ten of all requests begin to arrive at one host. Unit: milliseconds.
const HERD_START: u64 = 12_000;

/// Time for which they arrive at one host, before they do at the next. Unit: milliseconds.
const HERD_TIME: u64 = 4000;

/// Time from which requests must be served as before. Unit: milliseconds.
const CONTACT_TIME: u64 = 3000;

/// Unit: milliseconds.
const STEP: u64 = 10;

/// Unit: milliseconds.
const END: u64 = HERD_START + 2 * HERD_TIME;

/// Window of the operator's bound. Unit: milliseconds.
const WINDOW: u64 = 8000;

/// Least ratio of the granted fractions in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// Requests of one organisation over all hosts.
struct HerdCase {
    hosts: usize,
    /// The rate of the quota. Unit: tokens per second.
    rate: f64,
    /// The demand as a fraction of the rate.
    load: f64,
    /// Factor on the demand during the herd.
    surge: f64,
    /// Whether another host takes over the ledger at the start of the herd, without its state.
    ledger_moves: bool,
}

const CASES: &[HerdCase] = &[
    HerdCase { hosts: 6, rate: 230_000.0, load: 0.6, surge: 1.5, ledger_moves: false },
    HerdCase { hosts: 72, rate: 230_000.0, load: 0.6, surge: 1.5, ledger_moves: false },
    HerdCase { hosts: 72, rate: 230_000.0, load: 0.95, surge: 1.0, ledger_moves: false },
    HerdCase { hosts: 72, rate: 230_000.0, load: 1.5, surge: 1.0, ledger_moves: false },
    HerdCase { hosts: 72, rate: 230_000.0, load: 0.8, surge: 1.0, ledger_moves: true },
    HerdCase { hosts: 370, rate: 230_000.0, load: 0.95, surge: 1.0, ledger_moves: false },
    HerdCase { hosts: 370, rate: 230_000.0, load: 1.5, surge: 1.0, ledger_moves: false },
    HerdCase { hosts: 370, rate: 20_000.0, load: 0.95, surge: 1.0, ledger_moves: false },
    HerdCase { hosts: 370, rate: 20_000.0, load: 0.6, surge: 1.5, ledger_moves: true },
];

/// Requests of one time, and those of them that were granted.
#[derive(Debug, Default, Clone, Copy)]
struct GrantCount {
    requests: f64,
    granted: f64,
}

impl GrantCount {
    fn add(&mut self, granted: bool) {
        self.requests += 1.0;
        self.granted += f64::from(u8::from(granted));
    }

    fn fraction(self) -> f64 {
        self.granted / self.requests
    }
}

struct HerdOutcome {
    before: GrantCount,
    herd: GrantCount,
    /// The most granted in a window, as a fraction of the operator's bound.
    worst_window: f64,
}

/// Returns the host of the next request.
fn draw_host(case: &HerdCase, random: &mut Random, now: u64) -> usize {
    if now >= HERD_START && random.next() < 0.9 {
        return usize::from(now >= HERD_START + HERD_TIME);
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below one")]
    let host = (random.next() * case.hosts as f64) as usize;
    host
}

fn simulate(case: &HerdCase, scenario: &Scenario, seed: u64) -> HerdOutcome {
    let mut random = Random(seed);
    let mut strategy = LedgerQuotas::new(case.hosts);
    let limit = limit_at(scenario, 0);
    let allowed = (limit.units_within(TOLERANCE.window) + limit.burst) * (1.0 + TOLERANCE.overage)
        + TOLERANCE.extra;
    let mut granted: VecDeque<u64> = VecDeque::new();
    let (mut before, mut herd) = (GrantCount::default(), GrantCount::default());
    let mut worst_window = 0.0_f64;
    for now in (0..END).step_by(usize::try_from(STEP).expect("a short step")) {
        let network = Network {
            hosts: case.hosts,
            is_partitioned: false,
            partition_noticed: false,
            ledger_lost: false,
            ledger_moves: case.ledger_moves && now == HERD_START,
            restarts: false,
        };
        strategy.tick(&limit, &network, now);
        let surge = if now >= HERD_START { case.surge } else { 1.0 };
        let demand = case.load * surge * case.rate / REQUEST_COST as f64;
        let mut expected = demand * STEP as f64 / 1000.0;
        while expected > random.next() {
            expected -= 1.0;
            let host = draw_host(case, &mut random, now);
            let is_granted = strategy.try_grant(host, &limit, now);
            if is_granted {
                granted.push_back(now);
            }
            if now >= HERD_START + CONTACT_TIME {
                herd.add(is_granted);
            } else if (HERD_START / 2..HERD_START).contains(&now) {
                before.add(is_granted);
            }
        }
        while granted.front().is_some_and(|when| now - when >= WINDOW) {
            granted.pop_front();
        }
        let used = granted.len() as f64 * REQUEST_COST as f64;
        worst_window = worst_window.max(used / allowed);
    }
    HerdOutcome { before, herd, worst_window }
}

/// Guards against quotas that are refused at the host that gets most requests, and against hosts that together
/// exceed the bound when the requests move.
#[test]
fn a_host_that_gets_most_requests_is_granted_as_much_as_all_were() {
    let mut failures = Vec::new();
    for case in CASES {
        let HerdCase { hosts, rate, load, surge, ledger_moves } = *case;
        let scenario = Scenario { hosts, rate, ..crate::scenario::BASELINE };
        for seed in crate::SEEDS {
            let HerdOutcome { before, herd, worst_window } = simulate(case, &scenario, seed);
            let (before, herd) = (before.fraction(), herd.fraction());
            let line = format!(
                "{hosts} hosts, {rate} tokens a second, load {load} times {surge}, ledger moves: \
                 {ledger_moves}: {before:.3} before, {herd:.3} in the herd, {worst_window:.2} of the bound"
            );
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before || worst_window > 1.0 {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
