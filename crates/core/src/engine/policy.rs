//! What a load is worth and what an adapter's stay is worth.

use std::time::Duration;

/// What is known of an adapter that is wanted and not there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadDemand {
    /// Worth of the requests that wait for it, each times its stall weight.
    pub waiting_worth: f64,
    /// How long the first of them has waited.
    pub oldest_wait: Duration,
    /// Worth asked for per second lately, decayed.
    pub worth_per_second: f64,
}

/// What is known of an adapter that is there and idle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterUsage {
    /// Worth asked for per second lately, decayed.
    pub worth_per_second: f64,
    /// How long nothing has run on it.
    pub idle: Duration,
}

/// Decides which load goes first and which adapter gives up its slot.
pub trait ResidencyPolicy: Send + Sync {
    /// Returns what a load is worth; the highest goes first.
    fn load_value(&self, demand: &LoadDemand) -> f64;

    /// Returns what keeping an idle adapter is worth; the lowest goes first, and only for a load
    /// that is worth more.
    fn retention_value(&self, usage: &AdapterUsage) -> f64;

    /// Says whether a request whose load can not come in time is refused at once.
    fn refuses_early(&self) -> bool;
}

/// How far ahead, in seconds, recent demand is taken to go on.
const DEMAND_HORIZON_SECONDS: f64 = 10.0;

/// How much of its value a load loses as its first caller waits on.
const AGE_DISCOUNT: f64 = 0.2;

/// Values loads by the worth that waits and the worth to be expected. The default.
#[derive(Debug, Clone, Copy, Default)]
pub struct ValuePolicy;

impl ResidencyPolicy for ValuePolicy {
    fn load_value(&self, demand: &LoadDemand) -> f64 {
        let worth = demand.waiting_worth + DEMAND_HORIZON_SECONDS * demand.worth_per_second;
        // Among loads of like worth the latest goes first: it has most of its patience left. When
        // the store can not keep up, oldest first has every load arrive as its callers give up.
        let age = demand.oldest_wait.as_secs_f64() / DEMAND_HORIZON_SECONDS;
        worth * (1.0 - AGE_DISCOUNT * age.min(1.0))
    }

    fn retention_value(&self, usage: &AdapterUsage) -> f64 {
        DEMAND_HORIZON_SECONDS * usage.worth_per_second
    }

    fn refuses_early(&self) -> bool {
        true
    }
}

/// First come, first loaded; least recently used, first unloaded. The baseline for measurements.
#[derive(Debug, Clone, Copy, Default)]
pub struct FifoLruPolicy;

impl ResidencyPolicy for FifoLruPolicy {
    fn load_value(&self, demand: &LoadDemand) -> f64 {
        demand.oldest_wait.as_secs_f64()
    }

    fn retention_value(&self, usage: &AdapterUsage) -> f64 {
        -1.0 - usage.idle.as_secs_f64()
    }

    fn refuses_early(&self) -> bool {
        false
    }
}
