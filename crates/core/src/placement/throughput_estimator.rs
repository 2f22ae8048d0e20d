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
        slow_engines::SlowEngines,
        store_model::{LoadCompletion, StoreModel},
        store_throughput::{FASTEST_INDEX, MIN_LOAD_TIME, MIN_PARALLEL_LOADS},
    },
    popularity::DecayedRate,
};

/// After how many further reports an earlier one counts half: about two seconds of a burst.
const OBSERVATION_HALF_LIFE: f64 = 100.0;

/// After what time an earlier report counts half, where few come.
const TIME_HALF_LIFE: Duration = Duration::from_secs(3);

/// After how many loads in time what spoke against more at a time counts half: they are tried again.
const ON_TIME_HALF_LIFE: f64 = 40.0;

/// After what time it counts half how many loads were tried at a time.
const TESTED_RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// How many reports the pace that a learner starts with counts as, against a model that is twice as fast or slow.
const PRIOR_WEIGHT: f64 = 0.5;

/// How much faster the store may be taken to be than what was tried: one step up at a time.
const MAX_GROWTH_OVER_TESTED: f64 = 2.0;

/// The half-life of the rate at which loads come: two load times.
const COMPLETION_RATE_HALF_LIFE: Duration = Duration::from_millis(500);

/// By how much more the store is taken to carry at a time: two models' difference.
const MAX_RAISE_FACTOR: f64 = 1.42;

/// The time between two such steps: so long it takes until the first loads after a step were seen.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(400);

/// How long a load is remembered of which no report tells.
const LOAD_RECORD_TTL: Duration = Duration::from_secs(10);

/// What was seen of a load that was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadObservation {
    /// The order.
    pub load: OrderId,
    /// Whether it was there; it was still on its way otherwise.
    pub completed: bool,
    /// When that was so.
    pub observed_at: ClockMillis,
    /// By how much that time may be wrong either way.
    pub uncertainty: Duration,
}

impl LoadObservation {
    /// Returns how far a predicted end is from what was seen: one for a miss that can not be chance. Unit of `end`:
    /// milliseconds of the clock.
    fn prediction_error(&self, predicted_end: f64) -> f64 {
        let observed_at = self.observed_at.as_millis() as f64;
        let uncertainty = self.uncertainty.as_secs_f64() * 1000.0;
        let error =
            if self.completed { predicted_end - observed_at } else { observed_at - predicted_end };
        ((error - uncertainty) / uncertainty.max(1.0)).clamp(0.0, 1.0)
    }
}

/// Learns the pace of the weight store.
#[derive(Debug, Clone)]
pub struct ThroughputEstimator {
    models: Vec<StoreModel>,
    /// The loads that were not seen to end.
    loads: BTreeMap<OrderId, LoadRecord>,
    /// How many reports count; earlier ones count for less.
    observations: f64,
    /// The most loads a second that came lately.
    tested_rate: f64,
    /// How many come.
    completion_rate: DecayedRate,
    /// The most loads lately that were on their way at a time.
    max_concurrent_loads: f64,
    /// Up to when the models have served their loads.
    advanced_to: ClockMillis,
    /// The model that is taken for true.
    selected: usize,
    /// When another model was last taken for true that carries more.
    raised_at: ClockMillis,
    /// When a load was last seen.
    last_observed_at: ClockMillis,
    slow_engines: SlowEngines,
}

/// A load that was not seen to end.
#[derive(Debug, Clone)]
struct LoadRecord {
    started_at: ClockMillis,
    /// How many were on their way when it began, itself included: those at least that no store could have ended.
    concurrent_loads: usize,
    /// When it ends, by each model.
    completions: Vec<LoadCompletion>,
    engine: EngineName,
    /// When it was last seen on its way.
    last_pending: Option<LoadObservation>,
}

/// A sight with what it tells.
#[derive(Debug, Clone, Copy)]
struct WeightedObservation {
    observation: LoadObservation,
    /// When the same load was seen on its way before.
    last_pending: Option<LoadObservation>,
    /// By how much a miss counts.
    weight: f64,
    /// How many reports it counts as.
    count: f64,
    /// The part that is left of what earlier sights told.
    retention: f64,
    /// The part that is left of what spoke against more at a time.
    untested_retention: f64,
}

impl WeightedObservation {
    /// Returns by how much more a predicted end is wrong than was told before. Unit of `end`: milliseconds of the clock.
    fn added_error(&self, predicted_end: f64) -> f64 {
        let already_counted =
            self.last_pending.map_or(0.0, |pending| pending.prediction_error(predicted_end));
        self.weight * (self.observation.prediction_error(predicted_end) - already_counted).max(0.0)
    }
}

impl ThroughputEstimator {
    /// Starts with a pace that is assumed, or that was learnt before.
    pub fn new(start: StoreThroughput) -> Self {
        let models = StoreThroughput::grid().map(|throughput| {
            let initial_error = PRIOR_WEIGHT * throughput.distance(&start).min(1.0);
            StoreModel::new(throughput, initial_error)
        });
        let mut estimator = Self {
            models: models.collect(),
            loads: BTreeMap::new(),
            observations: 0.0,
            tested_rate: start.parallel_loads
                / MAX_GROWTH_OVER_TESTED
                / start.load_time.as_secs_f64(),
            completion_rate: DecayedRate::default(),
            max_concurrent_loads: 1.0,
            advanced_to: ClockMillis::default(),
            selected: FASTEST_INDEX,
            last_observed_at: ClockMillis::default(),
            raised_at: ClockMillis::default(),
            slow_engines: SlowEngines::default(),
        };
        estimator.select_model(ClockMillis::default());
        estimator
    }

    /// Returns the pace as far as it is known.
    pub fn throughput(&self) -> StoreThroughput {
        self.models[self.selected].throughput
    }

    /// Returns when each load on its way is expected to end, by the pace that is taken for true.
    pub fn due_times(&mut self, now: ClockMillis) -> Vec<(OrderId, ClockMillis)> {
        self.advance_models(now);
        self.models[self.selected].due_times(self.advanced_to)
    }

    /// Takes that an engine began to load an adapter from the store.
    pub fn load_started(&mut self, load: OrderId, engine: &EngineName, now: ClockMillis) {
        self.advance_models(now);
        self.drop_expired(now);
        let completions = self.models.iter_mut().map(|model| model.start_load(load)).collect();
        let concurrent_loads = self.models[FASTEST_INDEX].pending_loads();
        let engine = Arc::clone(engine);
        let record = LoadRecord {
            started_at: now,
            concurrent_loads,
            completions,
            engine,
            last_pending: None,
        };
        self.loads.insert(load, record);
    }

    /// Takes what was seen of a load, as was told at `now`.
    pub fn load_observed(&mut self, observation: &LoadObservation, now: ClockMillis) {
        self.advance_models(now);
        let Some(mut record) = self.loads.remove(&observation.load) else { return };
        let is_relevant = observation.observed_at > record.started_at;
        if is_relevant {
            self.apply_observation(observation, &mut record, now);
        }
        if !(is_relevant && observation.completed) {
            self.loads.insert(observation.load, record);
        }
    }

    fn apply_observation(
        &mut self,
        observation: &LoadObservation,
        record: &mut LoadRecord,
        now: ClockMillis,
    ) {
        let last_pending = record.last_pending;
        if !observation.completed {
            record.last_pending = Some(*observation);
        }
        if last_pending.is_none() {
            self.slow_engines.record(&record.engine, record.last_pending.is_some());
        }
        let weighted = self.weigh(observation, last_pending, record, now);
        self.record_tested_rate(observation, record, now);
        if !self.slow_engines.is_slow(&record.engine) {
            self.update_model_errors(&weighted, record);
        }
        self.select_model(now);
    }

    /// Returns what a sight tells, and by how much what was seen before fades for it.
    fn weigh(
        &self,
        observation: &LoadObservation,
        last_pending: Option<LoadObservation>,
        record: &LoadRecord,
        now: ClockMillis,
    ) -> WeightedObservation {
        // Few at a time show little of how many the store carries: what more of them have shown stays.
        let weight = (record.concurrent_loads as f64 / self.max_concurrent_loads).min(1.0);
        // A load counts once, by the sight that tells most.
        let count = if last_pending.is_some() { 0.0 } else { weight };
        let half_lives = self.seconds_since_observation(now) / TIME_HALF_LIFE.as_secs_f64();
        let retention = (-count / OBSERVATION_HALF_LIFE - half_lives).exp2();
        let on_time = observation.completed && record.last_pending.is_none();
        let untested_retention = if on_time { (-weight / ON_TIME_HALF_LIFE).exp2() } else { 1.0 };
        WeightedObservation {
            observation: *observation,
            last_pending,
            weight,
            count,
            retention,
            untested_retention,
        }
    }

    /// Returns the time since a load was last seen. What is known does not fade while nothing is loaded. Unit: seconds.
    fn seconds_since_observation(&self, now: ClockMillis) -> f64 {
        now.since(self.last_observed_at).min(MIN_LOAD_TIME).as_secs_f64()
    }

    /// Takes how many loads the store was tried with.
    fn record_tested_rate(
        &mut self,
        observation: &LoadObservation,
        record: &LoadRecord,
        now: ClockMillis,
    ) {
        let retention =
            (-self.seconds_since_observation(now) / TESTED_RATE_HALF_LIFE.as_secs_f64()).exp2();
        self.last_observed_at = now;
        self.max_concurrent_loads =
            (self.max_concurrent_loads * retention).max(record.concurrent_loads as f64);
        self.tested_rate *= retention;
        if observation.completed {
            self.completion_rate.add(1.0, now, COMPLETION_RATE_HALF_LIFE);
            let rate = self.completion_rate.per_second(now, COMPLETION_RATE_HALF_LIFE);
            self.tested_rate = self.tested_rate.max(rate);
        }
    }

    /// Doubts each model by how far its prediction was from what was seen, and corrects it.
    fn update_model_errors(&mut self, weighted: &WeightedObservation, record: &LoadRecord) {
        let selected = self.throughput();
        self.observations = self.observations * weighted.retention + weighted.count;
        for (model, completion) in self.models.iter_mut().zip(&record.completions) {
            let error = weighted.added_error(model.predicted_end(*completion, self.advanced_to));
            let untested = model.throughput.parallel_loads > selected.parallel_loads;
            let untested_retention = if untested { weighted.untested_retention } else { 1.0 };
            model.error = model.error * weighted.retention * untested_retention + error;
            if weighted.observation.completed {
                model.observe_completed(*completion);
            } else if weighted.last_pending.is_none() {
                model.observe_pending(*completion);
            }
        }
    }

    /// Takes the pace for true that what was seen speaks least against, faster ones first.
    ///
    /// A store that was never tried to its limit looks alike to all models above what was tried, and only a
    /// faster pace than the true one is ever put to the test: its loads are late.
    fn select_model(&mut self, now: ClockMillis) {
        let may_raise = now.since(self.raised_at) >= MIN_RAISE_INTERVAL;
        let current = self.throughput().parallel_loads;
        let max_parallel_loads = if may_raise { current * MAX_RAISE_FACTOR } else { current };
        let models = self.models.iter().enumerate();
        let reachable = models.filter(|(_, model)| {
            let tested_concurrency = self.tested_rate * model.throughput.load_time.as_secs_f64();
            let limit = (MAX_GROWTH_OVER_TESTED * tested_concurrency.max(MIN_PARALLEL_LOADS))
                .min(max_parallel_loads);
            model.throughput.parallel_loads <= limit
        });
        let scored = reachable.map(|(index, model)| {
            let mean_error = model.error / self.observations.max(1.0);
            (index, mean_error + model.throughput.prior_penalty())
        });
        let best = scored.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((index, _)) = best {
            self.selected = index;
        }
        if self.throughput().parallel_loads > current {
            self.raised_at = now;
        }
    }

    /// Lets every model serve its loads until `now`.
    fn advance_models(&mut self, now: ClockMillis) {
        if now <= self.advanced_to {
            return;
        }
        let loads = &mut self.loads;
        for (index, model) in self.models.iter_mut().enumerate() {
            model.advance(self.advanced_to, now, |load, completion| {
                if let Some(record) = loads.get_mut(&load) {
                    record.completions[index] = completion;
                }
            });
        }
        self.advanced_to = now;
    }

    fn drop_expired(&mut self, now: ClockMillis) {
        while let Some(oldest) = self.loads.first_entry()
            && now.since(oldest.get().started_at) >= LOAD_RECORD_TTL
        {
            oldest.remove();
        }
    }
}
