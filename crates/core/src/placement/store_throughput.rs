//! How fast the weight store serves adapters, and the paces that a learner tells apart.

use std::time::Duration;

/// How long an adapter takes at least. Source: the users' pages, which say so of every deployment; what takes longer
/// is learnt.
pub const MIN_LOAD_TIME: Duration = Duration::from_millis(250);

/// How many adapters come at full speed at least. Source: the least of the users' deployments.
pub const MIN_PARALLEL_LOADS: f64 = 8.0;

/// How the load times of two neighbouring models differ: two of them are a third of a doubling apart.
const LOAD_TIME_STEPS_PER_DOUBLING: f64 = 3.0;

/// How many load times there are models of: up to 1.26 s.
const LOAD_TIME_STEPS: u32 = 8;

/// How the full speeds of two neighbouring models differ: two of them are a quarter of a doubling apart.
const PARALLEL_LOADS_STEPS_PER_DOUBLING: f64 = 4.0;

/// How many full speeds there are models of: from 8 to 512.
const PARALLEL_LOADS_STEPS: u32 = 25;

/// How much less doubt a model needs whose loads take twice as long, in whole misses for each report.
const SHORT_LOAD_TIME_PREFERENCE: f64 = 0.15;

/// How much less doubt a model needs that carries half as many, in whole misses for each report.
const PARALLELISM_PREFERENCE: f64 = 0.03;

/// How fast the weight store serves adapters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreThroughput {
    /// How many come at a time without slowing one another down.
    pub parallel_loads: f64,
    /// How long one of these takes.
    pub load_time: Duration,
}

impl StoreThroughput {
    /// Returns what is assumed of a store of which nothing was seen, but how many base models it serves a second: one
    /// that serves more of these carries more adapters.
    pub const fn assumed(loads_per_second: f64) -> Self {
        let parallel_loads = loads_per_second.max(MIN_PARALLEL_LOADS);
        Self { parallel_loads, load_time: MIN_LOAD_TIME }
    }

    /// Returns the paces that are told apart, the fastest last but for its load time.
    pub(super) fn grid() -> impl Iterator<Item = Self> {
        let parallelism = (0..PARALLEL_LOADS_STEPS).map(|step| {
            MIN_PARALLEL_LOADS * (f64::from(step) / PARALLEL_LOADS_STEPS_PER_DOUBLING).exp2()
        });
        parallelism.flat_map(|parallel_loads| {
            (0..LOAD_TIME_STEPS).map(move |step| {
                let factor = (f64::from(step) / LOAD_TIME_STEPS_PER_DOUBLING).exp2();
                Self { parallel_loads, load_time: MIN_LOAD_TIME.mul_f64(factor) }
            })
        })
    }

    /// Returns the pace within the bounds of what can be learnt.
    #[must_use]
    pub fn clamped(self) -> Self {
        let max_parallel_loads = MIN_PARALLEL_LOADS
            * (f64::from(PARALLEL_LOADS_STEPS - 1) / PARALLEL_LOADS_STEPS_PER_DOUBLING).exp2();
        let parallel_loads = self.parallel_loads.max(MIN_PARALLEL_LOADS).min(max_parallel_loads);
        Self { parallel_loads, load_time: self.load_time.max(MIN_LOAD_TIME) }
    }

    /// Returns what a pace must explain more than a faster one to be taken for true, in whole misses for each report.
    pub(super) fn prior_penalty(&self) -> f64 {
        let load_time_ratio = self.load_time.as_secs_f64() / MIN_LOAD_TIME.as_secs_f64();
        SHORT_LOAD_TIME_PREFERENCE * load_time_ratio.log2()
            - PARALLELISM_PREFERENCE * self.parallel_loads.log2()
    }

    /// Returns how far apart two paces are: one where they differ by a factor of two.
    pub(super) fn distance(&self, other: &Self) -> f64 {
        let parallel_loads_ratio = self.parallel_loads / other.parallel_loads;
        let load_time_ratio = self.load_time.as_secs_f64() / other.load_time.as_secs_f64();
        parallel_loads_ratio.log2().abs() + load_time_ratio.log2().abs()
    }
}

/// The place of the fastest pace among all of them.
pub(super) const FASTEST_INDEX: usize = ((PARALLEL_LOADS_STEPS - 1) * LOAD_TIME_STEPS) as usize;
