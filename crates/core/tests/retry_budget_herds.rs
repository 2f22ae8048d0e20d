//! The retry budget while one host gets most requests: retries must not run out there, and all hosts together
//! must stay within the budget.

mod random;

use std::time::Duration;

use random::Random;
use reelreel_core::{
    ClockMillis,
    fleet::retry_share::{RetryPolicy, RetryShare},
};

/// Unit: milliseconds.
const WINDOW: u64 = 10_000;

const POLICY: RetryPolicy =
    RetryPolicy { ratio: 0.2, burst: 50.0, window: Duration::from_millis(WINDOW) };

/// When nine in ten of all requests begin to arrive at one host. Unit: milliseconds.
const HERD_START: u64 = 40_000;

/// Time for which they arrive at one host, before they do at the next. Unit: milliseconds.
const HERD_TIME: u64 = 4000;

/// Time from which requests must be served as before. Unit: milliseconds.
const CONTACT_TIME: u64 = 3000;

/// Unit: milliseconds.
const END: u64 = HERD_START + 2 * HERD_TIME;

/// Least ratio of the served fractions in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.75;

/// Requests over all hosts, of which engines refuse a part at the first send.
struct HerdCase {
    hosts: usize,
    /// Unit: requests per second.
    rate: f64,
    /// Factor on the rate during the herd.
    surge: f64,
    /// Fraction of the first sends that engines refuse; a second one is accepted.
    refused: f64,
}

const CASES: &[HerdCase] = &[
    HerdCase { hosts: 6, rate: 100.0, surge: 1.0, refused: 0.15 },
    HerdCase { hosts: 6, rate: 100.0, surge: 1.5, refused: 0.3 },
    HerdCase { hosts: 6, rate: 10.0, surge: 1.0, refused: 0.4 },
    HerdCase { hosts: 60, rate: 100.0, surge: 1.0, refused: 0.4 },
    HerdCase { hosts: 60, rate: 300.0, surge: 1.5, refused: 0.4 },
    HerdCase { hosts: 60, rate: 5.0, surge: 1.5, refused: 0.6 },
    HerdCase { hosts: 370, rate: 300.0, surge: 1.0, refused: 0.6 },
    HerdCase { hosts: 370, rate: 20.0, surge: 1.0, refused: 0.6 },
];

/// Requests of one time, and those of them that were served.
#[derive(Debug, Default, Clone, Copy)]
struct ServedCount {
    requests: f64,
    served: f64,
}

impl ServedCount {
    fn add(&mut self, served: bool) {
        self.requests += 1.0;
        self.served += f64::from(u8::from(served));
    }

    fn fraction(self) -> f64 {
        self.served / self.requests
    }
}

struct HerdOutcome {
    before: ServedCount,
    herd: ServedCount,
    /// The most retries in a window beyond what the operator allows.
    excess: f64,
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

fn simulate(case: &HerdCase, seed: u64) -> HerdOutcome {
    let mut random = Random(seed);
    let mut shares = vec![RetryShare::with_full_credit(); case.hosts];
    let hosts = u32::try_from(case.hosts).expect("a few hosts");
    let (mut before, mut herd) = (ServedCount::default(), ServedCount::default());
    let (mut requests, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for now in 0..END {
        let surge = if now >= HERD_START { case.surge } else { 1.0 };
        if random.next() >= case.rate * surge / 1000.0 {
            continue;
        }
        let share = &mut shares[draw_host(case, &mut random, now)];
        let at = ClockMillis::from_millis(now);
        share.record_request(at);
        requests.push(now);
        let refused = random.next() < case.refused;
        let sent_again = refused && share.try_spend(&POLICY, hosts, at);
        if sent_again {
            retries.push(now);
        }
        let served = !refused || sent_again;
        if now >= HERD_START + CONTACT_TIME {
            herd.add(served);
        } else if (HERD_START / 2..HERD_START).contains(&now) {
            before.add(served);
        }
    }
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + WINDOW).contains(*time)).count()
    };
    let excess = (0..END).step_by(100).map(|from| {
        let starts = [0, WINDOW / 2, WINDOW].map(|earlier| from.saturating_sub(earlier));
        let requests = starts.map(|from| count(&requests, from)).into_iter().max();
        let allowed = POLICY.ratio * requests.unwrap_or_default() as f64 + POLICY.burst;
        count(&retries, from) as f64 - allowed
    });
    HerdOutcome { before, herd, excess: excess.fold(f64::MIN, f64::max) }
}

/// Guards against retries that run out at the host that gets most requests, since a part of the budget is divided by
/// the number of hosts.
#[test]
fn a_host_that_gets_most_requests_retries_as_often_as_all_did() {
    let mut failures = Vec::new();
    for case in CASES {
        for seed in 1..=3 {
            let HerdOutcome { before, herd, excess } = simulate(case, seed);
            let HerdCase { hosts, rate, surge, refused } = *case;
            let (before, herd) = (before.fraction(), herd.fraction());
            let line = format!(
                "{hosts} hosts, {rate} a second, times {surge}, {refused} refused, seed {seed}: \
                 {before:.3} before, {herd:.3} in the herd, excess {excess:.0}"
            );
            println!("{line}");
            if herd < MIN_SERVED_RATIO * before || excess > 0.0 {
                failures.push(line);
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
