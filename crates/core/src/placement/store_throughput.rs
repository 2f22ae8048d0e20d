//! Throughput of the weight store for adapter loads, and the grid of throughputs that the estimator
//! distinguishes.

use std::time::Duration;

/// Minimum load time of an adapter.
pub const MIN_LOAD_TIME: Duration = Duration::from_millis(250);

/// Minimum number of adapters that load in parallel without slowing each other down.
pub const MIN_PARALLEL_LOADS: f64 = 8.0;

/// Number of load time steps per factor of two.
const LOAD_TIME_STEPS_PER_DOUBLING: f64 = 3.0;

/// Number of load times in the grid, which reach up to 1.26 s.
const LOAD_TIME_STEPS: u32 = 8;

/// Number of parallel load steps per factor of two.
const PARALLEL_LOADS_STEPS_PER_DOUBLING: f64 = 4.0;

/// Number of parallel load values in the grid, from 8 to 512.
const PARALLEL_LOADS_STEPS: u32 = 25;

/// Penalty for twice the load time, in full prediction errors per observation.
const SHORT_LOAD_TIME_PREFERENCE: f64 = 0.15;

/// Penalty for half the number of parallel loads, in full prediction errors per observation.
const PARALLELISM_PREFERENCE: f64 = 0.03;

/// Throughput of the weight store for adapter loads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreThroughput {
    /// Number of adapters that load in parallel without slowing each other down.
    pub parallel_loads: f64,
    /// Load time of an adapter up to that number of parallel loads.
    pub load_time: Duration,
}

impl StoreThroughput {
    /// Returns the throughput assumed before any observation, given the number of base models that
    /// the weight store serves per second.
    pub const fn assumed(loads_per_second: f64) -> Self {
        let parallel_loads = loads_per_second.max(MIN_PARALLEL_LOADS);
        Self { parallel_loads, load_time: MIN_LOAD_TIME }
    }

    /// Iterates over the grid. Parallel loads increase, and load times increase for each number of
    /// parallel loads.
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

    /// Returns the throughput limited to the range of the grid.
    #[must_use]
    pub fn clamped(self) -> Self {
        let max_parallel_loads = MIN_PARALLEL_LOADS
            * (f64::from(PARALLEL_LOADS_STEPS - 1) / PARALLEL_LOADS_STEPS_PER_DOUBLING).exp2();
        let parallel_loads = self.parallel_loads.max(MIN_PARALLEL_LOADS).min(max_parallel_loads);
        Self { parallel_loads, load_time: self.load_time.max(MIN_LOAD_TIME) }
    }

    /// Returns the penalty added to the mean prediction error, which favors high throughput.
    pub(super) fn prior_penalty(&self) -> f64 {
        let load_time_ratio = self.load_time.as_secs_f64() / MIN_LOAD_TIME.as_secs_f64();
        SHORT_LOAD_TIME_PREFERENCE * load_time_ratio.log2()
            - PARALLELISM_PREFERENCE * self.parallel_loads.log2()
    }

    /// Returns the distance between two throughputs: one for a factor of two.
    pub(super) fn distance(&self, other: &Self) -> f64 {
        let parallel_loads_ratio = self.parallel_loads / other.parallel_loads;
        let load_time_ratio = self.load_time.as_secs_f64() / other.load_time.as_secs_f64();
        parallel_loads_ratio.log2().abs() + load_time_ratio.log2().abs()
    }
}

/// Grid index of the highest throughput.
pub(super) const FASTEST_INDEX: usize = ((PARALLEL_LOADS_STEPS - 1) * LOAD_TIME_STEPS) as usize;
