//! Residency policies: which adapters are loaded, on which engines, and which give way.

mod affinity;
mod engine_places;
mod run_time;
mod standing;

use std::fmt::Debug;

use crate::{
    clock::ClockMillis,
    placement::{PlacementPlanner, PlannedOrder},
};

pub use affinity::AffinityResidency;
pub use run_time::RunTimeEstimator;
pub use standing::StandingResidency;

/// Chooses the orders of a planning round.
pub trait ResidencyPolicy: Debug + Sync {
    /// Returns the number of parallel loads that the weight store is assumed to serve at full speed
    /// until it is measured.
    fn assumed_parallel_loads(&self, loads_per_second: f64, engines: usize) -> f64;

    /// Issues the orders of one round and records which requested keys got none.
    fn plan_orders(&self, planner: &mut PlacementPlanner, now: ClockMillis) -> Vec<PlannedOrder>;
}
