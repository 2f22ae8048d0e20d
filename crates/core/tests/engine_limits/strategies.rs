//! Strategies for keeping a limit, compared on the same workloads.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    fleet::limits::{bucket::TokenBucket, limit::RequestLimit},
};

use crate::{
    fleet::PermitFleet,
    simulation::{
        CONVERGENCE_TIME, DECLARED_AT, LimitStrategy, LimitWorkload, STEP, SentRequests, WINDOW,
        sample_events, simulate,
    },
};

/// Ignores the limit.
#[derive(Default)]
struct Unlimited(Vec<usize>);

impl LimitStrategy for Unlimited {
    fn on_arrival(&mut self, host: usize, _: ClockMillis) {
        self.0.push(host);
    }

    fn on_response(&mut self, _: usize, _: Option<RequestLimit>, _: ClockMillis, _: ClockMillis) {}

    fn hosts_to_send(&mut self, _: ClockMillis) -> Vec<usize> {
        std::mem::take(&mut self.0)
    }
}

/// A limit that reaches all hosts 100 ms after its first declaration.
#[derive(Default)]
struct PropagatedLimit(Option<(RequestLimit, ClockMillis)>);

impl PropagatedLimit {
    fn observe(&mut self, limit: Option<RequestLimit>, now: ClockMillis) {
        if let Some(limit) = limit {
            self.0.get_or_insert((limit, now + Duration::from_millis(100)));
        }
    }

    fn effective_limit(&self, now: ClockMillis) -> Option<RequestLimit> {
        self.0.filter(|(_, effective_at)| now >= *effective_at).map(|(limit, _)| limit)
    }
}

/// Divides the limit equally among some of the hosts, each with a bucket that starts full.
struct StaticShares {
    /// The number of hosts that share the limit.
    sharing_hosts: usize,
    propagated: PropagatedLimit,
    buckets: Vec<Option<TokenBucket>>,
    arrived: Vec<usize>,
}

impl StaticShares {
    fn new(hosts: usize, sharing_hosts: usize) -> Self {
        Self {
            sharing_hosts,
            propagated: PropagatedLimit::default(),
            buckets: vec![None; hosts],
            arrived: Vec::new(),
        }
    }
}

impl LimitStrategy for StaticShares {
    fn on_arrival(&mut self, host: usize, _: ClockMillis) {
        self.arrived.push(host);
    }

    fn on_response(
        &mut self,
        _: usize,
        limit: Option<RequestLimit>,
        _: ClockMillis,
        now: ClockMillis,
    ) {
        self.propagated.observe(limit, now);
    }

    fn hosts_to_send(&mut self, now: ClockMillis) -> Vec<usize> {
        let mut hosts_to_send = std::mem::take(&mut self.arrived);
        let Some(limit) = self.propagated.effective_limit(now) else { return hosts_to_send };
        let rate = limit.per_second() / self.sharing_hosts as f64;
        hosts_to_send.retain(|host| {
            let bucket = self.buckets[*host].get_or_insert_with(|| {
                let mut full = TokenBucket::empty(now);
                full.refund(1.0);
                full
            });
            bucket.refill(rate, now);
            *host < self.sharing_hosts && bucket.take()
        });
        hosts_to_send
    }
}

/// Admits each request with the probability of the limit over the recent demand.
struct RandomAdmission {
    propagated: PropagatedLimit,
    arrived: Vec<usize>,
    rate: f64,
    random: Pcg64Mcg,
}

impl LimitStrategy for RandomAdmission {
    fn on_arrival(&mut self, host: usize, _: ClockMillis) {
        self.arrived.push(host);
    }

    fn on_response(
        &mut self,
        _: usize,
        limit: Option<RequestLimit>,
        _: ClockMillis,
        now: ClockMillis,
    ) {
        self.propagated.observe(limit, now);
    }

    fn hosts_to_send(&mut self, now: ClockMillis) -> Vec<usize> {
        let mut hosts_to_send = std::mem::take(&mut self.arrived);
        let step = STEP.as_secs_f64();
        self.rate += step * (hosts_to_send.len() as f64 / step - self.rate);
        let Some(limit) = self.propagated.effective_limit(now) else { return hosts_to_send };
        let probability = limit.per_second() / self.rate.max(limit.per_second());
        hosts_to_send.retain(|_| self.random.random::<f64>() < probability);
        hosts_to_send
    }
}

const LIMITS: [f64; 5] = [0.3, 1.7, 5.0, 20.0, 0.0];

const HOSTS: [usize; 3] = [7, 72, 300];

fn workloads() -> Vec<LimitWorkload> {
    let mut workloads = Vec::new();
    for hosts in HOSTS {
        for limit in LIMITS {
            for single_host in [false, true] {
                let demand = (limit * 2.5).max(2.0);
                workloads.push(LimitWorkload {
                    hosts,
                    limit,
                    demand,
                    single_host,
                    seconds: 42,
                    seed: 7,
                });
            }
        }
    }
    workloads
}

fn measured_from() -> ClockMillis {
    ClockMillis::from_millis(1) + DECLARED_AT + CONVERGENCE_TIME
}

fn measured_until(workload: &LimitWorkload) -> ClockMillis {
    ClockMillis::from_millis(1) + Duration::from_secs(workload.seconds)
}

/// Returns the largest number of requests in a window, and the used fraction of the limit.
fn measure(workload: &LimitWorkload, requests: &SentRequests) -> (usize, f64) {
    let seconds = measured_until(workload).since(measured_from()).as_secs_f64();
    let used = requests.count(measured_from(), measured_until(workload)) as f64
        / (workload.limit.max(0.01) * seconds);
    (requests.max_in_window(measured_from()), used)
}

/// Returns the most requests allowed in a window: the limit or the probe rate, a full bucket, and one request at
/// the edge.
fn allowed_in_window(limit: f64) -> f64 {
    let rate = limit.max(0.2);
    rate * WINDOW.as_secs_f64() + (rate * 0.25).max(2.0) + 1.0
}

#[test]
fn permits_enforce_every_limit_and_use_it_fully() {
    println!(
        "| hosts | limit | single host | allowed | unlimited | equal shares | one host | random admission | permits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for workload in workloads() {
        let mut strategies: Vec<Box<dyn LimitStrategy>> = vec![
            Box::new(Unlimited::default()),
            Box::new(StaticShares::new(workload.hosts, workload.hosts)),
            Box::new(StaticShares::new(workload.hosts, 1)),
            Box::new(RandomAdmission {
                propagated: PropagatedLimit::default(),
                arrived: Vec::new(),
                rate: workload.demand,
                random: Pcg64Mcg::seed_from_u64(3),
            }),
            Box::new(PermitFleet::new(workload.hosts, workload.seed)),
        ];
        let results: Vec<(usize, f64)> = strategies
            .iter_mut()
            .map(|strategy| measure(&workload, &simulate(&workload, &mut **strategy)))
            .collect();
        let cells: Vec<String> = results
            .iter()
            .map(|(max_in_window, used)| format!("{max_in_window}, {used:.2}"))
            .collect();
        let LimitWorkload { hosts, limit, single_host, .. } = workload;
        println!(
            "| {hosts} | {limit} | {single_host} | {:.1} | {} |",
            allowed_in_window(limit),
            cells.join(" | ")
        );
        let (max_in_window, used) = results[results.len() - 1];
        assert!(
            max_in_window as f64 <= allowed_in_window(limit),
            "{workload:?}: {max_in_window} in a window, allowed {}",
            allowed_in_window(limit)
        );
        if limit >= 0.3 {
            assert!(used >= 0.9, "{workload:?}: uses {used} of the limit");
        }
    }
}

/// A declaration reaches all hosts with one message to the ledger and one back.
#[test]
fn all_hosts_learn_a_limit_within_250_ms() {
    for hosts in HOSTS {
        let workload = LimitWorkload {
            hosts,
            limit: 5.0,
            demand: 20.0,
            single_host: false,
            seconds: 10,
            seed: 9,
        };
        let mut fleet = PermitFleet::new(hosts, 9);
        let requests = simulate(&workload, &mut fleet);
        let informed_hosts = (0..hosts).filter(|host| fleet.declares_limit(*host)).count();
        assert_eq!(informed_hosts, hosts);
        // Requests sent before the declaration has propagated are in flight until then; later ones need a permit.
        let declared_at = ClockMillis::from_millis(1) + DECLARED_AT + Duration::from_millis(100);
        let from = declared_at + Duration::from_millis(250);
        let sent = requests.count(from, from + Duration::from_secs(2));
        assert!(sent as f64 <= 5.0 * 2.0 + 3.0, "{hosts} hosts: {sent} in two seconds");
    }
}

#[test]
fn sampled_events_match_their_rate() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let count: usize = (0..20_000).map(|_| sample_events(10.0, STEP, &mut random)).sum();
    assert!((900..1100).contains(&count), "{count} in 100 s");
}
