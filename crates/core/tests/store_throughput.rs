//! Estimation of the weight store's throughput from observations of a store simulated in steps of
//! one millisecond.

use std::{collections::HashMap, sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    placement::{LoadObservation, StoreThroughput, ThroughputEstimator},
};

/// Assumed age of the state in a report. Unit: milliseconds.
const TYPICAL_REPORT_AGE_MS: u64 = 100;

/// Maximum deviation from that age.
const REPORT_AGE_UNCERTAINTY: Duration = Duration::from_millis(40);

/// Uncertainty of the time at which an engine refused a request.
const RESPONSE_TIME_UNCERTAINTY: Duration = Duration::from_millis(8);

/// Number of engines.
const ENGINES: usize = 12;

/// Ratio of ordered loads to the parallel loads of the store, as in the planner.
const STORE_OVERCOMMIT: f64 = 1.5;

/// A load of the simulated store.
struct SimulatedLoad {
    order_id: u64,
    /// Remaining work. Unit: milliseconds at full speed.
    remaining_ms: f64,
    started_at: u64,
    /// When the load completed.
    completed_at: Option<u64>,
    /// When the next report is requested from the engine, or zero before the due time.
    next_report_at: u64,
    /// When a waiting request is sent to the engine, or zero before the due time.
    next_request_at: u64,
    /// Whether the load never completes because of its engine.
    is_stuck: bool,
}

/// A simulated store, and a placer that orders as many loads as the estimate allows.
struct SimulatedStore {
    parallel_loads: f64,
    load_ms: f64,
    /// Number of engines whose loads never complete.
    stuck_engines: usize,
    /// Maximum number of pending loads wanted.
    max_wanted: usize,
    estimator: ThroughputEstimator,
    loads: Vec<SimulatedLoad>,
    now: u64,
    last_order_id: u64,
    rng: Pcg64Mcg,
}

impl SimulatedStore {
    fn new(parallel_loads: f64, load_ms: f64, initial: StoreThroughput, seed: u64) -> Self {
        Self {
            parallel_loads,
            load_ms,
            stuck_engines: 0,
            max_wanted: 1000,
            estimator: ThroughputEstimator::new(initial),
            loads: Vec::new(),
            now: 1000,
            last_order_id: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs for `seconds` seconds, taking the number of wanted loads for each half second from
    /// `demand` in turn.
    fn run(&mut self, seconds: usize, demand: Demand) {
        for wanted in demand.iter().cycle().take(2 * seconds) {
            self.max_wanted = *wanted;
            for _ in 0..500 {
                self.now += 1;
                self.advance_loads();
                self.deliver_observations();
                self.start_load();
            }
        }
    }

    fn pending_loads(&self) -> usize {
        self.loads.iter().filter(|load| load.completed_at.is_none() && !load.is_stuck).count()
    }

    fn advance_loads(&mut self) {
        let speed = (self.parallel_loads / self.pending_loads().max(1) as f64).min(1.0);
        for load in self.loads.iter_mut().filter(|load| load.completed_at.is_none()) {
            load.remaining_ms -= speed;
            if load.remaining_ms <= 0.0 && !load.is_stuck {
                load.completed_at = Some(self.now);
            }
        }
    }

    /// Delivers refused requests and engine reports for loads after their due time.
    fn deliver_observations(&mut self) {
        let now = self.now;
        let mut observations = Vec::new();
        let due: HashMap<u64, ClockMillis> =
            self.estimator.due_times(ClockMillis::from_millis(now)).into_iter().collect();
        for load in self.loads.iter_mut().filter(|load| load.next_request_at == 0) {
            if !due.contains_key(&load.order_id) {
                load.next_request_at = now + self.rng.random_range(5..25);
                load.next_report_at = now + self.rng.random_range(120..370);
            }
        }
        for load in &mut self.loads {
            if load.next_request_at != 0 && load.next_request_at <= now {
                load.next_request_at = u64::MAX;
                if load.completed_at.is_none() {
                    let observed_at = now.saturating_sub(self.rng.random_range(0..8));
                    observations.push((
                        load.order_id,
                        false,
                        observed_at,
                        RESPONSE_TIME_UNCERTAINTY,
                    ));
                }
            }
            if load.next_report_at != 0 && load.next_report_at <= now {
                let age = self.rng.random_range(60..140);
                let completed =
                    load.completed_at.is_some_and(|completed_at| completed_at <= now - age);
                observations.push((
                    load.order_id,
                    completed,
                    now - TYPICAL_REPORT_AGE_MS,
                    REPORT_AGE_UNCERTAINTY,
                ));
                load.next_report_at = if completed { u64::MAX } else { now + 250 };
            }
        }
        self.loads.retain(|load| load.next_report_at != u64::MAX && now - load.started_at < 5000);
        let now = ClockMillis::from_millis(now + 3);
        for (load, completed, observed_at, uncertainty) in observations {
            let observed_at = ClockMillis::from_millis(observed_at);
            self.estimator
                .load_observed(&LoadObservation { load, completed, observed_at, uncertainty }, now);
        }
    }

    fn start_load(&mut self) {
        let throughput = self.estimator.throughput();
        let max_loads = (STORE_OVERCOMMIT * throughput.parallel_loads).round();
        // The placer counts the loads that it expects to be pending.
        let pending = self.estimator.due_times(ClockMillis::from_millis(self.now)).len();
        if pending as f64 >= max_loads || pending >= self.max_wanted {
            return;
        }
        self.last_order_id += 1;
        let engine = self.rng.random_range(0..ENGINES);
        let name = Arc::from(format!("engine-{engine}"));
        self.estimator.load_started(self.last_order_id, &name, ClockMillis::from_millis(self.now));
        let is_stuck = engine < self.stuck_engines;
        self.loads.push(SimulatedLoad {
            order_id: self.last_order_id,
            remaining_ms: self.load_ms,
            started_at: self.now,
            completed_at: None,
            next_request_at: 0,
            next_report_at: 0,
            is_stuck,
        });
    }
}

/// Number of loads wanted at a time, for each half second.
type Demand = &'static [usize];

const SATURATED: Demand = &[1000];
const VARYING: Demand = &[1000, 6, 20];
const LOW: Demand = &[6];

/// A store and the expected estimate.
struct ThroughputCase {
    name: &'static str,
    parallel_loads: f64,
    load_ms: f64,
    /// Initially assumed number of parallel loads.
    initial_parallel_loads: f64,
    demand: Demand,
    /// Number of engines whose loads never complete.
    stuck_engines: usize,
    seconds: usize,
    /// Minimum and maximum of the estimated parallel loads at the end.
    expected_range: (f64, f64),
}

const CASES: &[ThroughputCase] = &[
    ThroughputCase {
        name: "initial estimate is correct",
        parallel_loads: 8.0,
        load_ms: 250.0,
        initial_parallel_loads: 8.0,
        demand: SATURATED,
        stuck_engines: 0,
        seconds: 4,
        expected_range: (6.0, 12.0),
    },
    ThroughputCase {
        name: "store is faster",
        parallel_loads: 40.0,
        load_ms: 250.0,
        initial_parallel_loads: 8.0,
        demand: SATURATED,
        stuck_engines: 0,
        seconds: 5,
        expected_range: (30.0, 55.0),
    },
    ThroughputCase {
        name: "store is faster, varying demand",
        parallel_loads: 40.0,
        load_ms: 250.0,
        initial_parallel_loads: 8.0,
        demand: VARYING,
        stuck_engines: 0,
        seconds: 6,
        expected_range: (30.0, 65.0),
    },
    ThroughputCase {
        name: "store is much faster",
        parallel_loads: 150.0,
        load_ms: 250.0,
        initial_parallel_loads: 22.0,
        demand: SATURATED,
        stuck_engines: 0,
        seconds: 6,
        expected_range: (105.0, 220.0),
    },
    ThroughputCase {
        name: "store is slower",
        parallel_loads: 32.0,
        load_ms: 250.0,
        initial_parallel_loads: 64.0,
        demand: SATURATED,
        stuck_engines: 0,
        seconds: 3,
        expected_range: (24.0, 46.0),
    },
    ThroughputCase {
        name: "store is much slower",
        parallel_loads: 8.0,
        load_ms: 250.0,
        initial_parallel_loads: 64.0,
        demand: SATURATED,
        stuck_engines: 0,
        seconds: 6,
        expected_range: (6.0, 12.0),
    },
    ThroughputCase {
        name: "never saturated",
        parallel_loads: 40.0,
        load_ms: 250.0,
        initial_parallel_loads: 22.0,
        demand: LOW,
        stuck_engines: 0,
        seconds: 6,
        expected_range: (8.0, 46.0),
    },
    ThroughputCase {
        name: "one engine never completes loads",
        parallel_loads: 32.0,
        load_ms: 250.0,
        initial_parallel_loads: 22.0,
        demand: VARYING,
        stuck_engines: 1,
        seconds: 6,
        expected_range: (22.0, 65.0),
    },
    ThroughputCase {
        name: "longer load time",
        parallel_loads: 32.0,
        load_ms: 400.0,
        initial_parallel_loads: 22.0,
        demand: VARYING,
        stuck_engines: 0,
        seconds: 6,
        expected_range: (15.0, 46.0),
    },
];

#[test]
fn throughput_estimate_converges_within_seconds() {
    for case in CASES {
        let initial = StoreThroughput::assumed(case.initial_parallel_loads);
        let mut store = SimulatedStore::new(case.parallel_loads, case.load_ms, initial, 1);
        store.stuck_engines = case.stuck_engines;
        store.run(case.seconds, case.demand);
        let throughput = store.estimator.throughput();
        let (least, most) = case.expected_range;
        assert!(
            (least..=most).contains(&throughput.parallel_loads),
            "{}: {throughput:?}",
            case.name
        );
    }
}

#[test]
fn load_time_estimate_converges_with_few_pending_loads() {
    for load_ms in [250.0, 400.0, 800.0] {
        let mut store = SimulatedStore::new(40.0, load_ms, StoreThroughput::assumed(22.0), 1);
        store.run(6, &[12, 4]);
        let estimate = store.estimator.throughput().load_time.as_secs_f64() * 1000.0;
        assert!((0.75..1.35).contains(&(estimate / load_ms)), "{load_ms}: {estimate}");
    }
}

/// Guards against the estimate decaying while nothing is loaded.
#[test]
fn estimate_is_kept_while_nothing_loads() {
    let mut store = SimulatedStore::new(32.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.run(6, SATURATED);
    let parallel_loads_before = store.estimator.throughput().parallel_loads;
    store.run(14, &[0]);
    store.run(1, &[12]);
    let parallel_loads_after = store.estimator.throughput().parallel_loads;
    assert!(
        parallel_loads_after >= parallel_loads_before / 1.2,
        "{parallel_loads_before} parallel loads before, {parallel_loads_after} after idle period"
    );
}

#[test]
fn estimate_follows_changes() {
    let mut store = SimulatedStore::new(40.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.run(5, SATURATED);
    for (parallel_loads, seconds) in [(12.0, 5), (60.0, 10)] {
        store.parallel_loads = parallel_loads;
        store.run(seconds, SATURATED);
        let estimate = store.estimator.throughput().parallel_loads;
        assert!((0.6..1.6).contains(&(estimate / parallel_loads)), "{parallel_loads}: {estimate}");
    }
}

#[test]
fn single_late_load_does_not_change_the_estimate() {
    let mut store = SimulatedStore::new(32.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.run(5, SATURATED);
    let throughput_before = store.estimator.throughput();
    let (started_at, load) = (store.now, u64::MAX);
    store.estimator.load_started(
        load,
        &Arc::from("engine-0"),
        ClockMillis::from_millis(started_at),
    );
    let observed_at = ClockMillis::from_millis(started_at + 3000);
    store.estimator.load_observed(
        &LoadObservation {
            load,
            completed: false,
            observed_at,
            uncertainty: RESPONSE_TIME_UNCERTAINTY,
        },
        observed_at,
    );
    assert_eq!(store.estimator.throughput(), throughput_before);
}

#[test]
fn invalid_throughput_is_clamped() {
    for parallel_loads in [f64::NAN, -1.0, 0.0, 1e9, f64::INFINITY] {
        let throughput = StoreThroughput { parallel_loads, load_time: Duration::ZERO }.clamped();
        assert!(
            throughput.parallel_loads >= 4.0 && throughput.parallel_loads <= 600.0,
            "{throughput:?}"
        );
        assert!(
            ThroughputEstimator::new(throughput).throughput().load_time
                >= Duration::from_millis(250)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(26), ..ProptestConfig::default() })]

    /// The estimate converges within eight seconds from any initial value.
    #[test]
    fn any_store_throughput_is_estimated_within_seconds(parallel_loads in 8.0..100.0_f64, initial in 8.0..64.0_f64, seed in 0..1000_u64) {
        let mut store = SimulatedStore::new(parallel_loads, 250.0, StoreThroughput::assumed(initial), seed);
        store.run(8, &[1000, 1000, 8]);
        let estimate = store.estimator.throughput().parallel_loads / parallel_loads;
        prop_assert!((0.55..1.8).contains(&estimate), "{estimate} of {parallel_loads}");
    }
}
