//! Random histories of declarations, engine restarts, host failures, partitions and ledger handovers, on the real
//! shares and ledgers.

use std::{collections::VecDeque, time::Duration};

use proptest::{prelude::*, strategy::ValueTree, test_runner::RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    fleet::limits::{bucket::TokenBucket, limit::RequestLimit},
};

use crate::{
    fleet::{FleetMutation, PERMIT_TIMEOUT, PermitFleet},
    simulation::{LimitStrategy, STEP, WINDOW, sample_events},
};

/// The number of hosts.
const HOSTS: usize = 7;

/// How long faults occur.
const FAULT_PERIOD: Duration = Duration::from_secs(20);

/// How long no fault occurs afterwards: longer than a lease handover and the next probe of an engine that had
/// declared almost nothing, and the measured period.
const QUIET_PERIOD: Duration = Duration::from_secs(15);

/// How much of the quiet period is measured, at its end.
const MEASURED_PERIOD: Duration = Duration::from_secs(5);

/// How long hosts may act on an earlier declaration, including permits in flight.
const DECLARATION_LAG: Duration = Duration::from_millis(900);

/// When a holder that cannot renew its lease gives it up, and when the next holder starts.
const LEASE_TTL: Duration = Duration::from_secs(2);
const LEASE_HANDOVER: Duration = Duration::from_millis(2600);

/// An event of a history.
#[derive(Debug, Clone, Copy)]
enum LimitEvent {
    /// The engine declares another limit, in tenths of a request per second, or none.
    Declare(Option<u32>),
    /// The engine restarts and declares the same limit.
    Restart,
    /// A host is killed and restarts; `on_ledger` picks the ledger's host.
    Kill { on_ledger: bool, host: usize, millis: u64 },
    /// A host is paused and resumes.
    Pause { on_ledger: bool, host: usize, millis: u64 },
    /// A host is partitioned from the others.
    Partition { on_ledger: bool, host: usize, millis: u64 },
    /// The ledger moves to another host without a failure.
    HandOver,
}

fn any_event() -> impl Strategy<Value = (u64, LimitEvent)> {
    let host = || (any::<bool>(), 0..HOSTS, 100u64..5000);
    let event = prop_oneof![
        2 => proptest::option::weighted(0.8, 0u32..80).prop_map(LimitEvent::Declare),
        1 => Just(LimitEvent::Restart),
        2 => host().prop_map(|(on_ledger, host, millis)| LimitEvent::Kill { on_ledger, host, millis }),
        2 => host().prop_map(|(on_ledger, host, millis)| LimitEvent::Pause { on_ledger, host, millis }),
        2 => host().prop_map(|(on_ledger, host, millis)| LimitEvent::Partition { on_ledger, host, millis }),
        1 => Just(LimitEvent::HandOver),
    ];
    (0..u64::try_from(FAULT_PERIOD.as_millis()).unwrap_or(u64::MAX), event)
}

/// A random history.
#[derive(Debug, Clone)]
struct LimitHistory {
    events: Vec<(u64, LimitEvent)>,
    /// The requests to the engine. Unit: requests per second.
    demand: f64,
    single_host: bool,
    seed: u64,
}

fn any_history() -> impl Strategy<Value = LimitHistory> {
    let events = proptest::collection::vec(any_event(), 0..14);
    (events, 4u32..40, any::<bool>(), any::<u64>()).prop_map(
        |(mut events, demand, single_host, seed)| {
            events.sort_by_key(|(at, _)| *at);
            LimitHistory { events, demand: f64::from(demand), single_host, seed }
        },
    )
}

/// The engine's view.
struct SimEngine {
    limit: Option<RequestLimit>,
    /// When each limit was first declared.
    declared: Vec<(ClockMillis, Option<RequestLimit>)>,
    /// When each request reached the engine.
    received: Vec<ClockMillis>,
    responses: VecDeque<(ClockMillis, ClockMillis, usize, Option<RequestLimit>, u64)>,
}

impl SimEngine {
    /// Returns the most requests allowed in the window that ends at `until`; `None` if a part of the window has no
    /// limit.
    fn allowed(&self, until: ClockMillis) -> Option<f64> {
        let from = until - WINDOW;
        let mut max_rate: f64 = 0.0;
        for (index, (at, limit)) in self.declared.iter().enumerate() {
            let applies_until =
                self.declared.get(index + 1).map_or(until, |(next, _)| *next + DECLARATION_LAG);
            if applies_until <= from || *at >= until {
                continue;
            }
            // The first declaration binds no host until it has propagated.
            let binding_from = *at + DECLARATION_LAG;
            if binding_from > from && index == 0 {
                return None;
            }
            max_rate = max_rate.max((*limit)?.per_second());
        }
        Some(1.5 * max_rate * WINDOW.as_secs_f64() + 5.0)
    }

    /// Returns the first window with more requests than allowed.
    fn violation(&self) -> Option<(ClockMillis, usize, f64)> {
        self.received.iter().enumerate().find_map(|(index, until)| {
            let first = self.received.partition_point(|at| *at + WINDOW <= *until);
            let count = index + 1 - first;
            let allowed = self.allowed(*until)?;
            (count as f64 > allowed).then_some((*until, count, allowed))
        })
    }
}

struct HistoryOutcome {
    violation: Option<(ClockMillis, usize, f64)>,
    /// How many requests reached the engine in the measured period, and how many could have; `None` if the limit is
    /// too small to tell.
    used: Option<(usize, usize)>,
}

impl HistoryOutcome {
    /// Returns whether nine tenths of the limit are used, less one request at each edge.
    fn uses_limit(&self) -> bool {
        self.used.is_none_or(|(received, achievable_count)| {
            received as f64 >= 0.9 * achievable_count as f64 - 2.0
        })
    }
}

/// The time from a demand to its permit: two poll intervals and two messages.
const PERMIT_ROUND_TRIP: Duration = Duration::from_millis(115);

/// Returns how many of the requests from `measured_from` on a single host could send, with the same delay of
/// permits.
fn achievable_count(
    limit: RequestLimit,
    arrived: &[ClockMillis],
    measured_from: ClockMillis,
) -> usize {
    let mut bucket = TokenBucket::empty(measured_from - Duration::from_secs(2));
    let mut sent = 0;
    for arrived_at in arrived.iter().filter(|at| **at + PERMIT_TIMEOUT >= measured_from) {
        bucket.refill(limit.per_second(), *arrived_at);
        let wait = Duration::from_secs_f64(bucket.seconds_until(1.0, limit.per_second()));
        if wait <= PERMIT_TIMEOUT.saturating_sub(PERMIT_ROUND_TRIP) {
            bucket.charge(1.0, limit.per_second());
            sent += usize::from(*arrived_at >= measured_from);
        }
    }
    sent
}

fn run_history(history: &LimitHistory, mutation: Option<FleetMutation>) -> HistoryOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(history.seed);
    let mut fleet = PermitFleet::new(HOSTS, history.seed);
    fleet.mutation = mutation;
    let start = ClockMillis::from_millis(1);
    let first = RequestLimit::new(1.7);
    let mut engine = SimEngine {
        limit: first,
        declared: vec![(start, first)],
        received: Vec::new(),
        responses: VecDeque::new(),
    };
    let mut events = history.events.iter().peekable();
    let mut now = start;
    let end = start + FAULT_PERIOD + QUIET_PERIOD;
    let measured_from = end - MEASURED_PERIOD;
    let mut arrived = Vec::new();
    while now < end {
        while let Some((_, event)) =
            events.next_if(|(at, _)| start + Duration::from_millis(*at) <= now)
        {
            apply(*event, &mut fleet, &mut engine, now);
        }
        for _ in 0..sample_events(history.demand, STEP, &mut random) {
            let host = if history.single_host { 0 } else { random.random_range(0..HOSTS) };
            fleet.on_arrival(host, now);
            arrived.push(now);
        }
        while let Some((due, requested_at, host, limit, incarnation)) =
            engine.responses.front().copied()
            && due <= now
        {
            engine.responses.pop_front();
            fleet.receive_response(host, incarnation, limit, requested_at, now);
        }
        for host in fleet.hosts_to_send(now) {
            // Requests of a host that has received no declaration are not restricted.
            if fleet.is_limited(host) {
                engine.received.push(now);
            }
            let due = now + Duration::from_millis(100);
            engine.responses.push_back((due, now, host, engine.limit, fleet.incarnation));
        }
        now = now + STEP;
    }
    let used = engine.limit.filter(|limit| limit.per_second() >= 1.0).map(|limit| {
        let received = engine.received.iter().filter(|at| **at >= measured_from).count();
        (received, achievable_count(limit, &arrived, measured_from))
    });
    HistoryOutcome { violation: engine.violation(), used }
}

fn apply(event: LimitEvent, fleet: &mut PermitFleet, engine: &mut SimEngine, now: ClockMillis) {
    let until = |millis: u64| now + Duration::from_millis(millis);
    let next_host = |fleet: &PermitFleet| (fleet.ledger_host() + 1) % HOSTS;
    match event {
        LimitEvent::Declare(tenths) => {
            engine.limit = tenths.and_then(|tenths| RequestLimit::new(f64::from(tenths) / 10.0));
            engine.declared.push((now, engine.limit));
        }
        LimitEvent::Restart => fleet.incarnation += 1,
        LimitEvent::Kill { on_ledger, host, millis } => {
            let host = if on_ledger { fleet.ledger_host() } else { host };
            if host == fleet.ledger_host() {
                let next = next_host(fleet);
                fleet.end_ledger(now);
                fleet.start_ledger(next, now + LEASE_HANDOVER);
            }
            fleet.kill(host, until(millis));
        }
        LimitEvent::Pause { on_ledger, host, millis }
        | LimitEvent::Partition { on_ledger, host, millis } => {
            let host = if on_ledger { fleet.ledger_host() } else { host };
            let lease_millis = u64::try_from(LEASE_TTL.as_millis()).unwrap_or(u64::MAX);
            if host == fleet.ledger_host() && millis > lease_millis {
                let next = next_host(fleet);
                fleet.end_ledger(now + LEASE_TTL);
                fleet.start_ledger(next, now + LEASE_HANDOVER);
            }
            if matches!(event, LimitEvent::Pause { .. }) {
                fleet.pause(host, until(millis));
            } else {
                fleet.partition(host, until(millis));
            }
        }
        LimitEvent::HandOver => {
            let next = next_host(fleet);
            fleet.end_ledger(now);
            fleet.start_ledger(next, now);
        }
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(cases(400), 0x0011_4417))]

    #[test]
    fn no_fault_history_exceeds_the_limit_or_leaves_it_unused(history in any_history()) {
        let outcome = run_history(&history, None);
        prop_assert!(outcome.violation.is_none(), "{:?}", outcome.violation);
        prop_assert!(outcome.uses_limit(), "requests sent and possible in the measured period: {:?}", outcome.used);
    }
}

/// The number of histories; the variable `LIMIT_CASES` overrides it.
fn cases(default_cases: u32) -> u32 {
    std::env::var("LIMIT_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(default_cases)
}

/// Returns in how many histories a mutation breaks the bound.
fn count_violations(mutation: FleetMutation, histories: u64) -> usize {
    let mut runner = proptest::test_runner::TestRunner::new(config(1, 0x0044));
    let violations = (0..histories).filter(|_| {
        let history = any_history().new_tree(&mut runner).expect("a history").current();
        run_history(&history, Some(mutation)).violation.is_some()
    });
    violations.count()
}

#[test]
fn mutations_are_seen() {
    const HISTORIES: u64 = 200;
    for mutation in [
        FleetMutation::SkipsPermits,
        FleetMutation::LedgerStartsFull,
        FleetMutation::AllHostsFallback,
    ] {
        let violations = count_violations(mutation, HISTORIES);
        println!("{mutation:?}: {violations} of {HISTORIES}");
        assert!(violations >= 3, "{mutation:?}: detected in {violations} of {HISTORIES} histories");
    }
}

/// A history that failed before.
struct RegressionHistory {
    /// The cause of the failure.
    cause: &'static str,
    events: &'static [(u64, LimitEvent)],
    demand: f64,
    single_host: bool,
    seed: u64,
}

const REGRESSIONS: &[RegressionHistory] = &[
    RegressionHistory {
        cause: "the achievable count ignored the delay of permits",
        events: &[
            (116, LimitEvent::Kill { on_ledger: false, host: 1, millis: 100 }),
            (911, LimitEvent::Pause { on_ledger: false, host: 0, millis: 1656 }),
            (1371, LimitEvent::Declare(Some(74))),
        ],
        demand: 7.0,
        single_host: false,
        seed: 4_185_508_476_295_779_237,
    },
    RegressionHistory {
        cause: "a quiet period of ten seconds was too short for the probe of an engine that \
                had declared zero",
        events: &[
            (2491, LimitEvent::Declare(Some(0))),
            (5186, LimitEvent::Partition { on_ledger: true, host: 0, millis: 2001 }),
            (7211, LimitEvent::Declare(Some(41))),
            (10_991, LimitEvent::Kill { on_ledger: true, host: 0, millis: 3426 }),
            (18_631, LimitEvent::Kill { on_ledger: true, host: 0, millis: 100 }),
        ],
        demand: 11.0,
        single_host: true,
        seed: 1_624_332_032_915_806_871,
    },
    RegressionHistory {
        cause: "permits for requests that had given up stayed unused until they expired, while \
                other hosts waited",
        events: &[
            (6366, LimitEvent::Partition { on_ledger: false, host: 5, millis: 100 }),
            (11_846, LimitEvent::Partition { on_ledger: true, host: 0, millis: 906 }),
            (18_361, LimitEvent::Declare(Some(39))),
        ],
        demand: 7.0,
        single_host: false,
        seed: 2_389_485_265_816_039_151,
    },
    RegressionHistory {
        cause: "a new ledger had no account of a limit that had ended under the previous one, \
                and never reported it as lifted",
        events: &[
            (0, LimitEvent::Declare(Some(19))),
            (1851, LimitEvent::Kill { on_ledger: false, host: 0, millis: 2336 }),
            (7251, LimitEvent::Kill { on_ledger: false, host: 5, millis: 161 }),
            (12_906, LimitEvent::Declare(None)),
            (14_821, LimitEvent::HandOver),
            (15_526, LimitEvent::Declare(Some(10))),
        ],
        demand: 27.0,
        single_host: false,
        seed: 1_142_955_557_312_509_383,
    },
    RegressionHistory {
        cause: "a paused ledger raised the recovery rate for the whole pause and granted a \
                burst to an engine that had declared zero since",
        events: &[
            (721, LimitEvent::Declare(Some(39))),
            (821, LimitEvent::Pause { on_ledger: false, host: 4, millis: 4101 }),
            (3171, LimitEvent::Restart),
            (5411, LimitEvent::Kill { on_ledger: true, host: 0, millis: 1636 }),
            (7166, LimitEvent::Pause { on_ledger: false, host: 0, millis: 2841 }),
            (9661, LimitEvent::Kill { on_ledger: false, host: 3, millis: 2036 }),
            (11_116, LimitEvent::Restart),
            (11_266, LimitEvent::HandOver),
            (14_146, LimitEvent::Kill { on_ledger: true, host: 0, millis: 3006 }),
            (18_071, LimitEvent::Declare(None)),
            (18_316, LimitEvent::Declare(Some(0))),
            (18_561, LimitEvent::Pause { on_ledger: false, host: 3, millis: 1146 }),
        ],
        demand: 32.0,
        single_host: true,
        seed: 11_627_355_943_420_055_328,
    },
    RegressionHistory {
        cause: "a host that subscribed during recovery took the report for newer than it was \
                and ignored the later one that the limit was lifted",
        events: &[
            (2396, LimitEvent::Partition { on_ledger: true, host: 0, millis: 4636 }),
            (3671, LimitEvent::Declare(None)),
            (4751, LimitEvent::Restart),
            (5066, LimitEvent::Pause { on_ledger: false, host: 3, millis: 2616 }),
            (7666, LimitEvent::HandOver),
            (9821, LimitEvent::Declare(Some(10))),
        ],
        demand: 35.0,
        single_host: true,
        seed: 8_077_396_891_588_669_452,
    },
];

#[test]
fn histories_that_failed_once_hold() {
    for regression in REGRESSIONS {
        let RegressionHistory { cause, events, demand, single_host, seed } = *regression;
        let history = LimitHistory { events: events.to_vec(), demand, single_host, seed };
        let outcome = run_history(&history, None);
        assert!(outcome.violation.is_none(), "{:?}: {cause}", outcome.violation);
        assert!(outcome.uses_limit(), "{:?}: {cause}", outcome.used);
    }
}
