//! Decides which engine holds which adapter. Each placement domain has one placer, the host that
//! holds the domain's lease.
//!
//! A placement domain consists of the engines of one service. Only the placer issues orders there
//! and spends the weight store's load rate. [`tenure`] tells whether this host is the placer,
//! [`demand`] aggregates demand over all hosts, [`inventory`] tracks what each engine holds despite
//! lost and delayed answers, [`load_rate_limiter`] limits the rate of base model loads, and
//! [`planner`] chooses the next orders.

pub mod candidacy;
pub mod graded_group;
mod load_candidates;
pub mod demand;
mod unanswered_orders;
mod load_timing;
pub mod load_schedule;
pub mod inventory;
mod limited_engines;
pub mod load_suspects;
mod engine_weight_cache;
mod slow_engines;
pub mod order;
pub mod throughput_estimator;
pub mod planner;
mod store_model;
mod engine_reports;
pub mod store_throughput;
mod load_target;
pub mod tenure;
mod round_totals;
pub mod load_rate_limiter;
pub mod engine_work;
pub mod residency;

pub use candidacy::HostCapacity;
pub use demand::{DemandEntry, DemandTracker};
pub use engine_weight_cache::EngineWeightCache;
pub use engine_work::{AbsentEntry, HostWork, OpenRequestsEntry, WorkTracker};
pub use inventory::{EngineInventory, EngineReport};
pub use load_rate_limiter::LoadRateLimiter;
pub use load_schedule::{ActiveLoads, LoadSchedule};
pub use order::{OrderAnswer, OrderId, OrderKind, PlacementAction, PlannedOrder};
pub use planner::PlacementPlanner;
pub use store_throughput::StoreThroughput;
pub use tenure::{LeaseRules, PlacerTenure};
pub use throughput_estimator::{LoadObservation, ThroughputEstimator};
