//! Hosts that restart must not exceed the common retry budget: what a process has spent is lost
//! when it ends, so a new one must not start with full credit.

mod random;

use std::time::Duration;

use random::Random;
use reelreel_core::{
    ClockMillis,
    fleet::retry_share::{RetryPolicy, RetryShare},
};

const HOSTS: usize = 6;

/// Time between two requests over all hosts. Unit: milliseconds.
const REQUEST_INTERVAL: u64 = 7;

/// Time until a refused request is retried. Unit: milliseconds.
const RETRY_DELAY: u64 = 60;

/// Per request.
const MAX_RETRIES: u32 = 5;

/// Fraction of requests that engines refuse.
const REFUSED_FRACTION: f64 = 0.8;

/// Unit: milliseconds.
const LOAD_END: u64 = 40_000;

/// Unit: milliseconds.
const WINDOW: u64 = 10_000;

const POLICY: RetryPolicy =
    RetryPolicy { ratio: 0.2, burst: 52.0, window: Duration::from_millis(WINDOW) };

/// Restarts of hosts during a load.
struct RestartCase {
    name: &'static str,
    /// Times in milliseconds, with the hosts that restart at that time.
    restarts: &'static [(u64, &'static [usize])],
    /// Time from which engines refuse requests. Unit: milliseconds.
    refused_from: u64,
}

const RESTART_CASES: &[RestartCase] = &[
    RestartCase { name: "none", restarts: &[], refused_from: 13_000 },
    RestartCase { name: "none, refusals from the start", restarts: &[], refused_from: 0 },
    RestartCase {
        name: "five hosts at the same time",
        restarts: &[(15_500, &[0, 1, 2, 3, 4])],
        refused_from: 13_000,
    },
    RestartCase {
        name: "all hosts when the refusals begin",
        restarts: &[(13_400, &[0, 1, 2, 3, 4, 5])],
        refused_from: 13_000,
    },
    RestartCase {
        name: "all hosts in turn",
        restarts: &[
            (13_000, &[0]),
            (14_000, &[1]),
            (15_000, &[2]),
            (16_000, &[3]),
            (17_000, &[4]),
            (18_000, &[5]),
        ],
        refused_from: 12_000,
    },
    RestartCase {
        name: "one host repeatedly",
        restarts: &[(14_000, &[2]), (16_500, &[2]), (19_000, &[2]), (21_500, &[2])],
        refused_from: 13_000,
    },
    RestartCase {
        name: "all hosts three times",
        restarts: &[
            (14_000, &[0, 1, 2, 3, 4, 5]),
            (17_000, &[0, 1, 2, 3, 4, 5]),
            (20_000, &[0, 1, 2, 3, 4, 5]),
        ],
        refused_from: 13_000,
    },
];

/// Times of requests and of retries.
#[derive(Default)]
struct BudgetLog {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn count_in_window(times: &[u64], begin: u64) -> usize {
    times.iter().filter(|time| (begin..begin + WINDOW).contains(*time)).count()
}

impl BudgetLog {
    /// Returns the maximum excess of retries over the budget in any window.
    ///
    /// The budget is based on the requests of the window, of the previous one, or of the one that
    /// begins half a window earlier, whichever has the most.
    fn max_excess(&self) -> f64 {
        let windows = (0..LOAD_END).step_by(100);
        let excess = windows.map(|begin: u64| {
            let windows = [0, WINDOW / 2, WINDOW].map(|before| begin.saturating_sub(before));
            let requests =
                windows.map(|begin| count_in_window(&self.requests, begin)).into_iter().max();
            let allowed = POLICY.ratio * requests.unwrap_or_default() as f64 + POLICY.burst;
            count_in_window(&self.retries, begin) as f64 - allowed
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// A refused request that waits to be retried.
#[derive(Clone, Copy)]
struct RefusedRequest {
    /// Time of the retry. Unit: milliseconds.
    due: u64,
    host: usize,
    /// Incarnation of the host; the request is lost when the host restarts.
    incarnation: u32,
    retries: u32,
}

/// Simulates a case; a request is retried until it is accepted, reaches [`MAX_RETRIES`], loses its
/// host, or finds no retry credit.
fn simulate(case: &RestartCase, seed: u64) -> BudgetLog {
    let mut random = Random(seed);
    let mut shares = vec![RetryShare::with_full_credit(); HOSTS];
    let hosts = u32::try_from(HOSTS).expect("a few hosts");
    let mut incarnations = [0_u32; HOSTS];
    let mut log = BudgetLog::default();
    let mut waiting: Vec<RefusedRequest> = Vec::new();
    for now in 0..LOAD_END {
        for (_, hosts) in case.restarts.iter().filter(|(at, _)| *at == now) {
            for host in *hosts {
                shares[*host] = RetryShare::default();
                incarnations[*host] += 1;
            }
        }
        let at = ClockMillis::from_millis(now);
        let mut sent: Vec<(usize, u32)> = Vec::new();
        if now % REQUEST_INTERVAL == 0 {
            let position = random.next() * HOSTS as f64;
            let host = (0..HOSTS).rfind(|host| *host as f64 <= position).unwrap_or_default();
            shares[host].record_request(at);
            log.requests.push(now);
            sent.push((host, 0));
        }
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|it| it.due <= now);
        waiting = later;
        for request in due {
            let host = request.host;
            if incarnations[host] == request.incarnation
                && shares[host].try_spend(&POLICY, hosts, at)
            {
                log.retries.push(now);
                sent.push((host, request.retries + 1));
            }
        }
        for (host, retries) in sent {
            let refused = now >= case.refused_from && random.next() < REFUSED_FRACTION;
            if refused && retries < MAX_RETRIES {
                let (due, incarnation) = (now + RETRY_DELAY, incarnations[host]);
                waiting.push(RefusedRequest { due, host, incarnation, retries });
            }
        }
    }
    log
}

#[test]
fn hosts_that_start_again_keep_the_retry_budget() {
    let runs = RESTART_CASES.iter().flat_map(|case| (1..=4).map(move |seed| (case, seed)));
    let violations = runs.filter_map(|(case, seed)| {
        let excess = simulate(case, seed).max_excess();
        (excess > 0.0)
            .then(|| format!("{}, seed {seed}: {excess:.0} retries beyond the budget", case.name))
    });
    let violations: Vec<String> = violations.collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
