//! Which engine holds which adapter: one placer per domain decides, as long as it holds the lease.
//!
//! A placement domain is the engines of one service. The placer alone gives orders there and spends
//! the weight store's rate; whether this host is the placer says [`tenure`]. [`demand`] sums up what
//! all hosts are asked for, [`inventory`] keeps what each engine holds in spite of lost and late
//! answers, [`window`] keeps loads below the store's ceiling, and [`planner`] picks the next order.

pub mod candidacy;
mod candidates;
pub mod demand;
mod doubts;
mod due;
pub mod inventory;
mod limited;
pub mod load_suspects;
mod memory;
mod odd_engines;
pub mod order;
pub mod pace_learner;
pub mod planner;
mod store_model;
mod signs;
pub mod store_pace;
mod target;
pub mod tenure;
mod totals;
pub mod window;
pub mod work;

pub use candidacy::HostCapacity;
pub use demand::{DemandBook, DemandEntry};
pub use inventory::{EngineInventory, EngineReport};
pub use memory::EngineMemory;
pub use order::{OrderAnswer, OrderId, OrderKind, PlacementAction, PlannedOrder};
pub use pace_learner::{LoadSight, PaceLearner};
pub use planner::PlacementPlanner;
pub use store_pace::StorePace;
pub use tenure::{LeaseRules, PlacerTenure};
pub use window::LoadWindow;
pub use work::{AbsentEntry, HostWork, RunEntry, WorkBook};
