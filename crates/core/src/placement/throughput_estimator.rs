//! Estimates the weight store's throughput from the completion of adapter loads.
//!
//! The store serves a number of parallel loads at full speed and divides its throughput among them
//! beyond that. That number and the load time are not configured and differ between deployments. A
//! set of models, each with a different throughput, predicts the completion of every load. Engine
//! reports, and engines' refusals of requests for adapters that are still loading, show which loads
//! are pending or complete. Each model accumulates the error of its predictions. The error of a
//! single observation is bounded, so that a slow engine or a delayed answer has little effect, and
//! accumulated errors decay, so that the estimate follows changes.

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

/// Number of observations after which an error has decayed to half.
const OBSERVATION_HALF_LIFE: f64 = 100.0;

/// Time after which an error has decayed to half when there are few observations.
const TIME_HALF_LIFE: Duration = Duration::from_secs(3);

/// Number of on-time loads after which the errors of models with more parallel loads than selected
/// have decayed to half, so that these are tried again.
const ON_TIME_HALF_LIFE: f64 = 40.0;

/// Time after which the tested rate and concurrency have decayed to half.
const TESTED_RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Initial error, in observations, of a model whose throughput differs from the initial one by a
/// factor of two.
const PRIOR_WEIGHT: f64 = 0.5;

/// Maximum ratio of the estimated parallel loads to those tested so far.
const MAX_GROWTH_OVER_TESTED: f64 = 2.0;

/// Half-life of the completion rate.
const COMPLETION_RATE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Maximum factor of a single increase in parallel loads. It is slightly more than two grid steps.
const MAX_RAISE_FACTOR: f64 = 1.42;

/// Minimum time between two increases, so that loads started after the first one have been
/// observed.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(400);

/// How long a load without observed completion is kept.
const LOAD_RECORD_TTL: Duration = Duration::from_secs(10);

/// An observation of an ordered load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadObservation {
    /// Order that started the load.
    pub load: OrderId,
    /// Whether the load was complete. Otherwise it was pending.
    pub completed: bool,
    /// Time that the observation refers to.
    pub observed_at: ClockMillis,
    /// Maximum deviation from that time in either direction.
    pub uncertainty: Duration,
}

impl LoadObservation {
    /// Returns the error of a predicted completion time, from zero to one. One means that it is
    /// clearly outside the observation's uncertainty. Unit of `predicted_end`: clock milliseconds.
    fn prediction_error(&self, predicted_end: f64) -> f64 {
        let observed_at = self.observed_at.as_millis() as f64;
        let uncertainty = self.uncertainty.as_secs_f64() * 1000.0;
        let error =
            if self.completed { predicted_end - observed_at } else { observed_at - predicted_end };
        ((error - uncertainty) / uncertainty.max(1.0)).clamp(0.0, 1.0)
    }
}

/// Estimates the throughput of the weight store.
#[derive(Debug, Clone)]
pub struct ThroughputEstimator {
    models: Vec<StoreModel>,
    /// Loads that have not been observed as complete.
    loads: BTreeMap<OrderId, LoadRecord>,
    /// Decayed number of observations.
    observations: f64,
    /// Highest recent completion rate. Unit: loads per second.
    tested_rate: f64,
    /// Current completion rate.
    completion_rate: DecayedRate,
    /// Highest recent number of concurrent loads.
    max_concurrent_loads: f64,
    /// Time up to which the models have been advanced.
    advanced_to: ClockMillis,
    /// Index of the selected model.
    selected: usize,
    /// When a model with more parallel loads was last selected.
    raised_at: ClockMillis,
    /// When a load was last observed.
    last_observed_at: ClockMillis,
    slow_engines: SlowEngines,
}

/// A load that has not been observed as complete.
#[derive(Debug, Clone)]
struct LoadRecord {
    started_at: ClockMillis,
    /// Number of pending loads when it started, including itself, according to the fastest model.
    /// The actual number was at least as high.
    concurrent_loads: usize,
    /// Completion according to each model.
    completions: Vec<LoadCompletion>,
    engine: EngineName,
    /// Last observation of the load as pending.
    last_pending: Option<LoadObservation>,
}

/// An observation with its weights.
#[derive(Debug, Clone, Copy)]
struct WeightedObservation {
    observation: LoadObservation,
    /// Previous observation of the load as pending.
    last_pending: Option<LoadObservation>,
    /// Weight of the prediction error.
    weight: f64,
    /// Number of observations that it counts as.
    count: f64,
    /// Factor by which earlier errors decay.
    retention: f64,
    /// Additional decay of the errors of models with more parallel loads than selected.
    untested_retention: f64,
}

impl WeightedObservation {
    /// Returns the weighted error of a predicted completion time, beyond the error of the load's
    /// previous observation. Unit of `predicted_end`: clock milliseconds.
    fn added_error(&self, predicted_end: f64) -> f64 {
        let already_counted =
            self.last_pending.map_or(0.0, |pending| pending.prediction_error(predicted_end));
        self.weight * (self.observation.prediction_error(predicted_end) - already_counted).max(0.0)
    }
}

impl ThroughputEstimator {
    /// Starts from an assumed or previously estimated throughput.
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

    /// Returns the estimated throughput.
    pub fn throughput(&self) -> StoreThroughput {
        self.models[self.selected].throughput
    }

    /// Returns whether a load was started or observed, so that the estimate is no mere assumption.
    pub fn has_loads(&self) -> bool {
        !self.loads.is_empty() || self.observations > 0.0
    }

    /// Returns the due time of each pending load according to the selected model.
    pub fn due_times(&mut self, now: ClockMillis) -> Vec<(OrderId, ClockMillis)> {
        self.advance_models(now);
        self.models[self.selected].due_times(self.advanced_to)
    }

    /// Records that an engine started loading an adapter from the weight store.
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

    /// Records an observation of a load that arrived at `now`.
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

    /// Returns an observation's weights and the decay that it causes.
    fn weigh(
        &self,
        observation: &LoadObservation,
        last_pending: Option<LoadObservation>,
        record: &LoadRecord,
        now: ClockMillis,
    ) -> WeightedObservation {
        // Observations at low concurrency say little about parallel loads and must not displace
        // those made at higher concurrency.
        let weight = (record.concurrent_loads as f64 / self.max_concurrent_loads).min(1.0);
        // Each load counts once.
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

    /// Returns the time since the last observation, limited so that estimates do not decay while
    /// nothing is loaded. Unit: seconds.
    fn seconds_since_observation(&self, now: ClockMillis) -> f64 {
        now.since(self.last_observed_at).min(MIN_LOAD_TIME).as_secs_f64()
    }

    /// Records the load rate and concurrency that the store was tested with.
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

    /// Adds the prediction error of each model and corrects the model's state.
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

    /// Selects the model with the lowest error, preferring high throughput.
    ///
    /// Models above the tested throughput cannot be distinguished while the store is not saturated.
    /// Only a selected throughput that is too high is ever tested, because its loads are late.
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

    /// Advances all models to `now`.
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
