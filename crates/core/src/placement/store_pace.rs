//! How fast the weight store serves adapters, learnt from when they are seen to arrive.
//!
//! The store carries so many adapters at a time at full speed; beyond that all of them share it. How many that is,
//! and how long one takes, is told to nobody and differs by deployment. So a number of models of the store, each with
//! another pace, predict when every load ends. Reports of engines say what is still on its way and what is there: a
//! model is doubted by how far that is from what it predicted. One report can not count for much, so that a slow
//! engine or a late answer moves nothing by itself, and doubts fade, so that a change is followed.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::EngineName,
    placement::{
        OrderId,
        store_model::{LoadEnd, StoreModel},
    },
    popularity::DecayedRate,
};

/// How long an adapter takes at least. Source: the users' pages, which say so of every deployment; what takes longer
/// is learnt.
pub const LEAST_LOAD_TIME: Duration = Duration::from_millis(250);

/// How many adapters come at full speed at least. Source: the least of the users' deployments.
pub const LEAST_FULL_SPEED: f64 = 8.0;

/// How the load times of two neighbouring models differ: two of them are a third of a doubling apart.
const TIMES_PER_DOUBLING: f64 = 3.0;

/// How many load times there are models of: up to 1.26 s.
const TIME_STEPS: u32 = 8;

/// How the full speeds of two neighbouring models differ: two of them are a quarter of a doubling apart.
const SPEEDS_PER_DOUBLING: f64 = 4.0;

/// How many full speeds there are models of: from 8 to 512.
const SPEED_STEPS: u32 = 25;

/// After how many further reports an earlier one counts half: about two seconds of a burst.
const HALF_LIFE: f64 = 100.0;

/// After what time an earlier report counts half, where few come.
const TIME_HALF_LIFE: Duration = Duration::from_secs(3);

/// After how many loads in time what spoke against more at a time counts half: they are tried again.
const PROVING_HALF_LIFE: f64 = 40.0;

/// After what time it counts half how many loads were tried at a time.
const TRIED_HALF_LIFE: Duration = Duration::from_secs(5);

/// How many reports the pace that a learner starts with counts as, against a model that is twice as fast or slow.
const START_WEIGHT: f64 = 0.5;

/// How much less doubt a model needs whose loads take twice as long, in whole misses for each report.
const TIME_PREFERENCE: f64 = 0.15;

/// How much less doubt a model needs that carries half as many, in whole misses for each report.
const SPEED_PREFERENCE: f64 = 0.03;

/// How much faster the store may be taken to be than what was tried: one step up at a time.
const GROWTH: f64 = 2.0;

/// The half-life of the rate at which loads come: two load times.
const DELIVERY_HALF_LIFE: Duration = Duration::from_millis(500);

/// The model of the fastest pace.
const FASTEST: usize = ((SPEED_STEPS - 1) * TIME_STEPS) as usize;

/// How many loads in a row an engine may have late before it counts as odd.
const MOST_LATE_IN_A_ROW: u32 = 2;

/// The part of all loads that may be late for an engine to count as odd; beyond that the store is slow.
const MOST_LATE_PART: f64 = 0.5;

/// Over how many loads the late ones are counted.
const LATE_PART_LOADS: f64 = 20.0;

/// By how much more the store is taken to carry at a time: two models' difference.
const MOST_RAISE: f64 = 1.42;

/// The time between two such steps: so long it takes until the first loads after a step were seen.
const RAISE_PAUSE: Duration = Duration::from_millis(400);

/// How long a load is remembered of which no report tells.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// How fast the weight store serves adapters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StorePace {
    /// How many come at a time without slowing one another down.
    pub full_speed: f64,
    /// How long one of these takes.
    pub load_time: Duration,
}

impl StorePace {
    /// Returns what is assumed of a store of which nothing was seen, but how many base models it serves a second: one
    /// that serves more of these carries more adapters.
    pub const fn assumed(loads_per_second: f64) -> Self {
        let full_speed = loads_per_second.max(LEAST_FULL_SPEED);
        Self { full_speed, load_time: LEAST_LOAD_TIME }
    }

    /// Returns the pace within the bounds of what can be learnt.
    #[must_use]
    pub fn checked(self) -> Self {
        let fastest = LEAST_FULL_SPEED * (f64::from(SPEED_STEPS - 1) / SPEEDS_PER_DOUBLING).exp2();
        let full_speed = self.full_speed.max(LEAST_FULL_SPEED).min(fastest);
        Self { full_speed, load_time: self.load_time.max(LEAST_LOAD_TIME) }
    }

    /// Returns what a pace must explain more than a faster one to be taken for true, in whole misses for each report.
    fn slowness(&self) -> f64 {
        let times = self.load_time.as_secs_f64() / LEAST_LOAD_TIME.as_secs_f64();
        TIME_PREFERENCE * times.log2() - SPEED_PREFERENCE * self.full_speed.log2()
    }

    /// Returns how far apart two paces are: one where they differ by a factor of two.
    fn distance(&self, other: &Self) -> f64 {
        let speeds = self.full_speed / other.full_speed;
        let times = self.load_time.as_secs_f64() / other.load_time.as_secs_f64();
        speeds.log2().abs() + times.log2().abs()
    }
}

/// What was seen of a load that was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSight {
    /// The order.
    pub load: OrderId,
    /// Whether it was there; it was still on its way otherwise.
    pub there: bool,
    /// When that was so.
    pub at: ClockMillis,
    /// By how much that time may be wrong either way.
    pub blur: Duration,
}

impl LoadSight {
    /// Returns how far a predicted end is from what was seen: one for a miss that can not be chance. Unit of `end`:
    /// milliseconds of the clock.
    fn miss(&self, end: f64) -> f64 {
        let at = self.at.as_millis() as f64;
        let blur = self.blur.as_secs_f64() * 1000.0;
        let off = if self.there { end - at } else { at - end };
        ((off - blur) / blur.max(1.0)).clamp(0.0, 1.0)
    }
}

/// Learns the pace of the weight store.
#[derive(Debug, Clone)]
pub struct PaceLearner {
    models: Vec<StoreModel>,
    /// The loads that were not seen to end.
    loads: BTreeMap<OrderId, LoadRecord>,
    /// How many reports count; earlier ones count for less.
    reports: f64,
    /// The most loads a second that came lately.
    tried: f64,
    /// How many come.
    delivered: DecayedRate,
    /// The most loads lately that were on their way at a time.
    most_among: f64,
    /// Up to when the models have served their loads.
    counted: ClockMillis,
    /// The model that is taken for true.
    chosen: usize,
    /// When a load was last seen.
    seen: ClockMillis,
    /// When it was last one that carries more.
    raised: ClockMillis,
    odd: OddEngines,
}

/// A load that was not seen to end.
#[derive(Debug, Clone)]
struct LoadRecord {
    began: ClockMillis,
    /// How many were on their way when it began, itself included: those at least that no store could have ended.
    among: usize,
    /// When it ends, by each model.
    ends: Vec<LoadEnd>,
    engine: EngineName,
    /// When it was last seen on its way.
    on_its_way: Option<LoadSight>,
}

impl PaceLearner {
    /// Starts with a pace that is assumed, or that was learnt before.
    pub fn new(start: StorePace) -> Self {
        let mut models = Vec::new();
        for speed in 0..SPEED_STEPS {
            let full_speed = LEAST_FULL_SPEED * (f64::from(speed) / SPEEDS_PER_DOUBLING).exp2();
            for time in 0..TIME_STEPS {
                let factor = (f64::from(time) / TIMES_PER_DOUBLING).exp2();
                let load_time = LEAST_LOAD_TIME.mul_f64(factor);
                let pace = StorePace { full_speed, load_time };
                let doubt = START_WEIGHT * pace.distance(&start).min(1.0);
                models.push(StoreModel::new(pace, doubt));
            }
        }
        let mut learner = Self {
            models,
            loads: BTreeMap::new(),
            reports: 0.0,
            tried: start.full_speed / GROWTH / start.load_time.as_secs_f64(),
            delivered: DecayedRate::default(),
            most_among: 1.0,
            counted: ClockMillis::default(),
            chosen: FASTEST,
            seen: ClockMillis::default(),
            raised: ClockMillis::default(),
            odd: OddEngines::default(),
        };
        learner.choose(ClockMillis::default());
        learner
    }

    /// Returns the pace as far as it is known.
    pub fn pace(&self) -> StorePace {
        self.models[self.chosen].pace
    }

    /// Returns when each load on its way is expected to end, by the pace that is taken for true.
    pub fn due_times(&mut self, now: ClockMillis) -> Vec<(OrderId, ClockMillis)> {
        self.serve_until(now);
        self.models[self.chosen].due_times(self.counted)
    }

    /// Takes that an engine began to load an adapter from the store.
    pub fn load_began(&mut self, load: OrderId, engine: &EngineName, now: ClockMillis) {
        self.serve_until(now);
        self.forget_old(now);
        let ends = self.models.iter_mut().map(|model| model.begin(load)).collect();
        let among = self.models[FASTEST].under_way();
        let engine = Arc::clone(engine);
        let record = LoadRecord { began: now, among, ends, engine, on_its_way: None };
        self.loads.insert(load, record);
    }

    /// Takes what was seen of a load, as was told at `now`.
    pub fn load_seen(&mut self, sight: &LoadSight, now: ClockMillis) {
        self.serve_until(now);
        let chosen = self.pace();
        let Some(record) = self.loads.get_mut(&sight.load) else { return };
        if sight.at <= record.began {
            return;
        }
        let before = record.on_its_way;
        if !sight.there {
            record.on_its_way = Some(*sight);
        }
        let late = record.on_its_way.is_some();
        // Few at a time show little of how many the store carries: what more of them have shown stays.
        let weight = (record.among as f64 / self.most_among).min(1.0);
        // A load counts once, by the sight that tells most.
        let counts = if before.is_some() { 0.0 } else { weight };
        // What is known does not fade while nothing is loaded.
        let passed = now.since(self.seen).min(LEAST_LOAD_TIME).as_secs_f64();
        self.seen = now;
        let fading = (-counts / HALF_LIFE - passed / TIME_HALF_LIFE.as_secs_f64()).exp2();
        let forgetting = (-passed / TRIED_HALF_LIFE.as_secs_f64()).exp2();
        self.most_among = (self.most_among * forgetting).max(record.among as f64);
        self.tried *= forgetting;
        if sight.there {
            self.delivered.add(1.0, now, DELIVERY_HALF_LIFE);
            let rate = self.delivered.per_second(now, DELIVERY_HALF_LIFE);
            self.tried = self.tried.max(rate);
        }
        if before.is_none() {
            self.odd.note(&record.engine, late);
        }
        if !self.odd.is_odd(&record.engine) {
            self.reports = self.reports * fading + counts;
            let in_time = sight.there && !late;
            let proving = if in_time { (-weight / PROVING_HALF_LIFE).exp2() } else { 1.0 };
            for (model, end) in self.models.iter_mut().zip(&record.ends) {
                let time = model.end_time(*end, self.counted);
                let told = before.map_or(0.0, |before| before.miss(time));
                let miss = weight * (sight.miss(time) - told).max(0.0);
                let untried = model.pace.full_speed > chosen.full_speed;
                let fading = if untried { fading * proving } else { fading };
                model.doubt = model.doubt * fading + miss;
                if sight.there {
                    model.has_ended(*end);
                } else if before.is_none() {
                    model.has_not_ended(*end);
                }
            }
        }
        if sight.there {
            self.loads.remove(&sight.load);
        }
        self.choose(now);
    }

    /// Takes the pace for true that what was seen speaks least against, faster ones first.
    ///
    /// A store that was never tried to its limit looks alike to all models above what was tried, and only a
    /// faster pace than the true one is ever put to the test: its loads are late.
    fn choose(&mut self, now: ClockMillis) {
        let rested = now.since(self.raised) >= RAISE_PAUSE;
        let before = self.pace().full_speed;
        let highest = if rested { before * MOST_RAISE } else { before };
        let models = self.models.iter().enumerate();
        let reachable = models.filter(|(_, model)| {
            let tried = self.tried * model.pace.load_time.as_secs_f64();
            let most = (GROWTH * tried.max(LEAST_FULL_SPEED)).min(highest);
            model.pace.full_speed <= most
        });
        let scored = reachable.map(|(place, model)| {
            let mean_doubt = model.doubt / self.reports.max(1.0);
            (place, mean_doubt + model.pace.slowness())
        });
        let best = scored.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((place, _)) = best {
            self.chosen = place;
        }
        if self.pace().full_speed > before {
            self.raised = now;
        }
    }

    /// Lets every model serve its loads until `now`.
    fn serve_until(&mut self, now: ClockMillis) {
        if now <= self.counted {
            return;
        }
        let loads = &mut self.loads;
        for (place, model) in self.models.iter_mut().enumerate() {
            model.serve(self.counted, now, |load, end| {
                if let Some(record) = loads.get_mut(&load) {
                    record.ends[place] = end;
                }
            });
        }
        self.counted = now;
    }

    fn forget_old(&mut self, now: ClockMillis) {
        while let Some(oldest) = self.loads.first_entry()
            && now.since(oldest.get().began) >= FORGOTTEN_AFTER
        {
            oldest.remove();
        }
    }
}

/// Engines that are late again and again while others are not: what they show is not the store's pace.
#[derive(Debug, Clone, Default)]
struct OddEngines {
    /// The part of the loads lately that were late.
    late_part: f64,
    /// How many loads in a row were late, by engine.
    in_a_row: HashMap<EngineName, u32>,
}

impl OddEngines {
    /// Takes whether a load was late.
    fn note(&mut self, engine: &EngineName, late: bool) {
        let in_a_row = self.in_a_row.entry(Arc::clone(engine)).or_default();
        *in_a_row = if late { *in_a_row + 1 } else { 0 };
        self.late_part += (f64::from(u8::from(late)) - self.late_part) / LATE_PART_LOADS;
    }

    /// Returns whether what an engine shows is not the store's pace.
    fn is_odd(&self, engine: &EngineName) -> bool {
        let in_a_row = self.in_a_row.get(engine).copied().unwrap_or_default();
        in_a_row > MOST_LATE_IN_A_ROW && self.late_part < MOST_LATE_PART
    }
}
