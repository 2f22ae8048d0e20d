//! How the pace of the weight store is learnt from reports, against a store that is played millisecond by millisecond.

use std::{collections::HashMap, sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{
    ClockMillis,
    placement::{LoadObservation, StoreThroughput, ThroughputEstimator},
};

/// How old the state in a report is taken to be. Unit: milliseconds.
const TYPICAL_REPORT_AGE: u64 = 100;

/// How wrong that may be.
const REPORT_AGE_UNCERTAINTY: Duration = Duration::from_millis(40);

/// By how much the time of a refused send may be wrong.
const RESPONSE_TIME_UNCERTAINTY: Duration = Duration::from_millis(8);

/// How many engines there are.
const ENGINES: usize = 12;

/// How far beyond full speed loads are ordered, as the planner does.
const OVERLOAD: f64 = 1.5;

/// A load on its way in the played store.
struct PlayedLoad {
    number: u64,
    /// What is left of it. Unit: milliseconds at full speed.
    left: f64,
    began: u64,
    /// When it was there.
    ended: Option<u64>,
    /// When the next report of its engine is asked for.
    next_report: u64,
    /// When a waiting request is sent for it.
    next_send: u64,
    /// Whether its engine is so slow that it is never there in time.
    stuck: bool,
}

/// A store that carries so many adapters at full speed, and a placer that orders as many as it takes to be good.
struct PlayedStore {
    parallel_loads: f64,
    load_time: f64,
    /// How many engines are far too slow.
    stuck: usize,
    /// How many loads are wanted at a time at most.
    wanted: usize,
    learner: ThroughputEstimator,
    loads: Vec<PlayedLoad>,
    now: u64,
    number: u64,
    random: Pcg64Mcg,
}

impl PlayedStore {
    fn new(parallel_loads: f64, load_time: f64, start: StoreThroughput, seed: u64) -> Self {
        Self {
            parallel_loads,
            load_time,
            stuck: 0,
            wanted: 1000,
            learner: ThroughputEstimator::new(start),
            loads: Vec::new(),
            now: 1000,
            number: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Plays so many seconds, each half of which wants as many loads as `demand` says in turn.
    fn play(&mut self, seconds: usize, demand: Demand) {
        for wanted in demand.iter().cycle().take(2 * seconds) {
            self.wanted = *wanted;
            for _ in 0..500 {
                self.now += 1;
                self.serve();
                self.report();
                self.order();
            }
        }
    }

    fn on_their_way(&self) -> usize {
        self.loads.iter().filter(|load| load.ended.is_none() && !load.stuck).count()
    }

    fn serve(&mut self) {
        let speed = (self.parallel_loads / self.on_their_way().max(1) as f64).min(1.0);
        for load in self.loads.iter_mut().filter(|load| load.ended.is_none()) {
            load.left -= speed;
            if load.left <= 0.0 && !load.stuck {
                load.ended = Some(self.now);
            }
        }
    }

    /// Asks an engine some time after its load is due, and takes what it said a moment ago.
    fn report(&mut self) {
        let now = self.now;
        let mut seen = Vec::new();
        let due: HashMap<u64, ClockMillis> =
            self.learner.due_times(ClockMillis::from_millis(now)).into_iter().collect();
        for load in self.loads.iter_mut().filter(|load| load.next_send == 0) {
            if !due.contains_key(&load.number) {
                load.next_send = now + self.random.random_range(5..25);
                load.next_report = now + self.random.random_range(120..370);
            }
        }
        for load in &mut self.loads {
            if load.next_send != 0 && load.next_send <= now {
                load.next_send = u64::MAX;
                if load.ended.is_none() {
                    let at = now.saturating_sub(self.random.random_range(0..8));
                    seen.push((load.number, false, at, RESPONSE_TIME_UNCERTAINTY));
                }
            }
            if load.next_report != 0 && load.next_report <= now {
                let age = self.random.random_range(60..140);
                let there = load.ended.is_some_and(|ended| ended <= now - age);
                seen.push((load.number, there, now - TYPICAL_REPORT_AGE, REPORT_AGE_UNCERTAINTY));
                load.next_report = if there { u64::MAX } else { now + 250 };
            }
        }
        self.loads.retain(|load| load.next_report != u64::MAX && now - load.began < 5000);
        let now = ClockMillis::from_millis(now + 3);
        for (load, there, at, blur) in seen {
            let at = ClockMillis::from_millis(at);
            self.learner.load_observed(
                &LoadObservation { load, completed: there, observed_at: at, uncertainty: blur },
                now,
            );
        }
    }

    fn order(&mut self) {
        let pace = self.learner.throughput();
        let most = (OVERLOAD * pace.parallel_loads).round();
        // The placer counts what it expects to be on its way.
        let under_way = self.learner.due_times(ClockMillis::from_millis(self.now)).len();
        if under_way as f64 >= most || under_way >= self.wanted {
            return;
        }
        self.number += 1;
        let engine = self.random.random_range(0..ENGINES);
        let name = Arc::from(format!("engine-{engine}"));
        self.learner.load_started(self.number, &name, ClockMillis::from_millis(self.now));
        let stuck = engine < self.stuck;
        self.loads.push(PlayedLoad {
            number: self.number,
            left: self.load_time,
            began: self.now,
            ended: None,
            next_send: 0,
            next_report: 0,
            stuck,
        });
    }
}

/// How many loads are wanted at a time, half second by half second.
type Demand = &'static [usize];

const FULL: Demand = &[1000];
const WAVES: Demand = &[1000, 6, 20];
const LITTLE: Demand = &[6];

/// A store and what is learnt of it.
struct PaceCase {
    name: &'static str,
    parallel_loads: f64,
    load_millis: f64,
    /// How many are assumed to come at full speed at the start.
    start: f64,
    demand: Demand,
    /// How many engines of twelve are far too slow.
    stuck: usize,
    seconds: usize,
    /// The least and the most that may be taken to come at full speed then.
    learnt: (f64, f64),
}

const CASES: &[PaceCase] = &[
    PaceCase {
        name: "as assumed",
        parallel_loads: 8.0,
        load_millis: 250.0,
        start: 8.0,
        demand: FULL,
        stuck: 0,
        seconds: 4,
        learnt: (6.0, 12.0),
    },
    PaceCase {
        name: "more than assumed",
        parallel_loads: 40.0,
        load_millis: 250.0,
        start: 8.0,
        demand: FULL,
        stuck: 0,
        seconds: 5,
        learnt: (30.0, 55.0),
    },
    PaceCase {
        name: "more, in waves",
        parallel_loads: 40.0,
        load_millis: 250.0,
        start: 8.0,
        demand: WAVES,
        stuck: 0,
        seconds: 6,
        learnt: (30.0, 65.0),
    },
    PaceCase {
        name: "far more",
        parallel_loads: 150.0,
        load_millis: 250.0,
        start: 22.0,
        demand: FULL,
        stuck: 0,
        seconds: 6,
        learnt: (105.0, 220.0),
    },
    PaceCase {
        name: "less than assumed",
        parallel_loads: 32.0,
        load_millis: 250.0,
        start: 64.0,
        demand: FULL,
        stuck: 0,
        seconds: 3,
        learnt: (24.0, 46.0),
    },
    PaceCase {
        name: "far less",
        parallel_loads: 8.0,
        load_millis: 250.0,
        start: 64.0,
        demand: FULL,
        stuck: 0,
        seconds: 6,
        learnt: (6.0, 12.0),
    },
    PaceCase {
        name: "never tried",
        parallel_loads: 40.0,
        load_millis: 250.0,
        start: 22.0,
        demand: LITTLE,
        stuck: 0,
        seconds: 6,
        learnt: (8.0, 46.0),
    },
    PaceCase {
        name: "one engine stuck",
        parallel_loads: 32.0,
        load_millis: 250.0,
        start: 22.0,
        demand: WAVES,
        stuck: 1,
        seconds: 6,
        learnt: (22.0, 65.0),
    },
    PaceCase {
        name: "slower loads",
        parallel_loads: 32.0,
        load_millis: 400.0,
        start: 22.0,
        demand: WAVES,
        stuck: 0,
        seconds: 6,
        learnt: (15.0, 46.0),
    },
];

#[test]
fn the_pace_is_learnt_within_seconds() {
    for case in CASES {
        let start = StoreThroughput::assumed(case.start);
        let mut store = PlayedStore::new(case.parallel_loads, case.load_millis, start, 1);
        store.stuck = case.stuck;
        store.play(case.seconds, case.demand);
        let pace = store.learner.throughput();
        let (least, most) = case.learnt;
        assert!((least..=most).contains(&pace.parallel_loads), "{}: {pace:?}", case.name);
    }
}

#[test]
fn the_time_of_a_load_is_learnt_where_few_are_on_their_way() {
    for load_millis in [250.0, 400.0, 800.0] {
        let mut store = PlayedStore::new(40.0, load_millis, StoreThroughput::assumed(22.0), 1);
        store.play(6, &[12, 4]);
        let learnt = store.learner.throughput().load_time.as_secs_f64() * 1000.0;
        assert!((0.75..1.35).contains(&(learnt / load_millis)), "{load_millis}: {learnt}");
    }
}

/// After fourteen seconds without demand a placer took the store to carry sixteen, whatever it had known.
#[test]
fn nothing_is_forgotten_while_nothing_is_loaded() {
    let mut store = PlayedStore::new(32.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.play(6, FULL);
    let before = store.learner.throughput().parallel_loads;
    store.play(14, &[0]);
    store.play(1, &[12]);
    let after = store.learner.throughput().parallel_loads;
    assert!(after >= before / 1.2, "{before} before, {after} after the rest");
}

#[test]
fn a_change_is_followed() {
    let mut store = PlayedStore::new(40.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.play(5, FULL);
    for (parallel_loads, seconds) in [(12.0, 5), (60.0, 10)] {
        store.parallel_loads = parallel_loads;
        store.play(seconds, FULL);
        let learnt = store.learner.throughput().parallel_loads;
        assert!((0.6..1.6).contains(&(learnt / parallel_loads)), "{parallel_loads}: {learnt}");
    }
}

#[test]
fn one_late_load_moves_nothing() {
    let mut store = PlayedStore::new(32.0, 250.0, StoreThroughput::assumed(22.0), 1);
    store.play(5, FULL);
    let before = store.learner.throughput();
    let (began, load) = (store.now, u64::MAX);
    store.learner.load_started(load, &Arc::from("engine-0"), ClockMillis::from_millis(began));
    let at = ClockMillis::from_millis(began + 3000);
    store.learner.load_observed(
        &LoadObservation {
            load,
            completed: false,
            observed_at: at,
            uncertainty: RESPONSE_TIME_UNCERTAINTY,
        },
        at,
    );
    assert_eq!(store.learner.throughput(), before);
}

#[test]
fn a_pace_that_was_told_wrong_is_put_within_bounds() {
    for parallel_loads in [f64::NAN, -1.0, 0.0, 1e9, f64::INFINITY] {
        let pace = StoreThroughput { parallel_loads, load_time: Duration::ZERO }.clamped();
        assert!(pace.parallel_loads >= 4.0 && pace.parallel_loads <= 600.0, "{pace:?}");
        assert!(
            ThroughputEstimator::new(pace).throughput().load_time >= Duration::from_millis(250)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(26), ..ProptestConfig::default() })]

    /// Any store that carries what the users' stores carry is known within eight seconds, whatever was assumed.
    #[test]
    fn any_store_is_known_within_seconds(parallel_loads in 8.0..100.0_f64, start in 8.0..64.0_f64, seed in 0..1000_u64) {
        let mut store = PlayedStore::new(parallel_loads, 250.0, StoreThroughput::assumed(start), seed);
        store.play(8, &[1000, 1000, 8]);
        let learnt = store.learner.throughput().parallel_loads / parallel_loads;
        prop_assert!((0.55..1.8).contains(&learnt), "{learnt} of {parallel_loads}");
    }
}
