//! Learns how fast the weight store serves adapters from when they are seen to arrive.
//!
//! The store carries so many adapters at a time at full speed; beyond that all of them share it. How many that is,
//! and how long one takes, is told to nobody and differs by deployment. So a number of models of the store, each with
//! another pace, predict when every load ends. Reports of engines, and engines' refusals to hosts, say what is still on
//! its way and what is there: a model is doubted by how far that is from what it predicted. One sight can not count
//! for much, so that a slow engine or a late answer moves nothing by itself, and doubts fade, so that a change is
//! followed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::EngineName,
    placement::{
        OrderId, StoreThroughput,
        slow_engines::OddEngines,
        store_model::{LoadEnd, StoreModel},
        store_throughput::{FASTEST, MIN_LOAD_TIME, MIN_PARALLEL_LOADS},
    },
    popularity::DecayedRate,
};

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

/// How much faster the store may be taken to be than what was tried: one step up at a time.
const GROWTH: f64 = 2.0;

/// The half-life of the rate at which loads come: two load times.
const DELIVERY_HALF_LIFE: Duration = Duration::from_millis(500);

/// By how much more the store is taken to carry at a time: two models' difference.
const MOST_RAISE: f64 = 1.42;

/// The time between two such steps: so long it takes until the first loads after a step were seen.
const RAISE_PAUSE: Duration = Duration::from_millis(400);

/// How long a load is remembered of which no report tells.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// What was seen of a load that was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadObservation {
    /// The order.
    pub load: OrderId,
    /// Whether it was there; it was still on its way otherwise.
    pub there: bool,
    /// When that was so.
    pub at: ClockMillis,
    /// By how much that time may be wrong either way.
    pub blur: Duration,
}

impl LoadObservation {
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
pub struct ThroughputEstimator {
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
    /// When another model was last taken for true that carries more.
    raised: ClockMillis,
    /// When a load was last seen.
    seen: ClockMillis,
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
    on_its_way: Option<LoadObservation>,
}

/// A sight with what it tells.
#[derive(Debug, Clone, Copy)]
struct WeighedSight {
    sight: LoadObservation,
    /// When the same load was seen on its way before.
    before: Option<LoadObservation>,
    /// By how much a miss counts.
    weight: f64,
    /// How many reports it counts as.
    counts: f64,
    /// The part that is left of what earlier sights told.
    fading: f64,
    /// The part that is left of what spoke against more at a time.
    proving: f64,
}

impl WeighedSight {
    /// Returns by how much more a predicted end is wrong than was told before. Unit of `end`: milliseconds of the clock.
    fn miss(&self, end: f64) -> f64 {
        let told = self.before.map_or(0.0, |before| before.miss(end));
        self.weight * (self.sight.miss(end) - told).max(0.0)
    }
}

impl ThroughputEstimator {
    /// Starts with a pace that is assumed, or that was learnt before.
    pub fn new(start: StoreThroughput) -> Self {
        let models = StoreThroughput::all().map(|pace| {
            let doubt = START_WEIGHT * pace.distance(&start).min(1.0);
            StoreModel::new(pace, doubt)
        });
        let mut learner = Self {
            models: models.collect(),
            loads: BTreeMap::new(),
            reports: 0.0,
            tried: start.parallel_loads / GROWTH / start.load_time.as_secs_f64(),
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
    pub fn pace(&self) -> StoreThroughput {
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
    pub fn load_seen(&mut self, sight: &LoadObservation, now: ClockMillis) {
        self.serve_until(now);
        let Some(mut record) = self.loads.remove(&sight.load) else { return };
        let counts = sight.at > record.began;
        if counts {
            self.take_sight(sight, &mut record, now);
        }
        if !(counts && sight.there) {
            self.loads.insert(sight.load, record);
        }
    }

    fn take_sight(&mut self, sight: &LoadObservation, record: &mut LoadRecord, now: ClockMillis) {
        let before = record.on_its_way;
        if !sight.there {
            record.on_its_way = Some(*sight);
        }
        if before.is_none() {
            self.odd.note(&record.engine, record.on_its_way.is_some());
        }
        let weighed = self.weigh(sight, before, record, now);
        self.note_tried(sight, record, now);
        if !self.odd.is_odd(&record.engine) {
            self.doubt_models(&weighed, record);
        }
        self.choose(now);
    }

    /// Returns what a sight tells, and by how much what was seen before fades for it.
    fn weigh(
        &self,
        sight: &LoadObservation,
        before: Option<LoadObservation>,
        record: &LoadRecord,
        now: ClockMillis,
    ) -> WeighedSight {
        // Few at a time show little of how many the store carries: what more of them have shown stays.
        let weight = (record.among as f64 / self.most_among).min(1.0);
        // A load counts once, by the sight that tells most.
        let counts = if before.is_some() { 0.0 } else { weight };
        let passed = self.since_seen(now) / TIME_HALF_LIFE.as_secs_f64();
        let fading = (-counts / HALF_LIFE - passed).exp2();
        let in_time = sight.there && record.on_its_way.is_none();
        let proving = if in_time { (-weight / PROVING_HALF_LIFE).exp2() } else { 1.0 };
        WeighedSight { sight: *sight, before, weight, counts, fading, proving }
    }

    /// Returns the time since a load was last seen. What is known does not fade while nothing is loaded. Unit: seconds.
    fn since_seen(&self, now: ClockMillis) -> f64 {
        now.since(self.seen).min(MIN_LOAD_TIME).as_secs_f64()
    }

    /// Takes how many loads the store was tried with.
    fn note_tried(&mut self, sight: &LoadObservation, record: &LoadRecord, now: ClockMillis) {
        let forgetting = (-self.since_seen(now) / TRIED_HALF_LIFE.as_secs_f64()).exp2();
        self.seen = now;
        self.most_among = (self.most_among * forgetting).max(record.among as f64);
        self.tried *= forgetting;
        if sight.there {
            self.delivered.add(1.0, now, DELIVERY_HALF_LIFE);
            let rate = self.delivered.per_second(now, DELIVERY_HALF_LIFE);
            self.tried = self.tried.max(rate);
        }
    }

    /// Doubts each model by how far its prediction was from what was seen, and corrects it.
    fn doubt_models(&mut self, weighed: &WeighedSight, record: &LoadRecord) {
        let chosen = self.pace();
        self.reports = self.reports * weighed.fading + weighed.counts;
        for (model, end) in self.models.iter_mut().zip(&record.ends) {
            let miss = weighed.miss(model.end_time(*end, self.counted));
            let untried = model.pace.parallel_loads > chosen.parallel_loads;
            let proving = if untried { weighed.proving } else { 1.0 };
            model.doubt = model.doubt * weighed.fading * proving + miss;
            if weighed.sight.there {
                model.has_ended(*end);
            } else if weighed.before.is_none() {
                model.has_not_ended(*end);
            }
        }
    }

    /// Takes the pace for true that what was seen speaks least against, faster ones first.
    ///
    /// A store that was never tried to its limit looks alike to all models above what was tried, and only a
    /// faster pace than the true one is ever put to the test: its loads are late.
    fn choose(&mut self, now: ClockMillis) {
        let rested = now.since(self.raised) >= RAISE_PAUSE;
        let before = self.pace().parallel_loads;
        let highest = if rested { before * MOST_RAISE } else { before };
        let models = self.models.iter().enumerate();
        let reachable = models.filter(|(_, model)| {
            let tried = self.tried * model.pace.load_time.as_secs_f64();
            let most = (GROWTH * tried.max(MIN_PARALLEL_LOADS)).min(highest);
            model.pace.parallel_loads <= most
        });
        let scored = reachable.map(|(place, model)| {
            let mean_doubt = model.doubt / self.reports.max(1.0);
            (place, mean_doubt + model.pace.slowness())
        });
        let best = scored.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((place, _)) = best {
            self.chosen = place;
        }
        if self.pace().parallel_loads > before {
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
