//! Policies that value loads and the retention of resident adapters.

use std::time::Duration;

/// The demand for an adapter that is not resident.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadDemand {
    /// The worth of the requests that wait for it, each multiplied by its stall weight.
    pub waiting_worth: f64,
    /// The longest wait among them.
    pub oldest_wait: Duration,
    /// The decayed rate of requested worth, per second.
    pub worth_per_second: f64,
}

/// The recent use of an adapter that is resident.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterUsage {
    /// The decayed rate of requested worth, per second.
    pub worth_per_second: f64,
    /// The time since it was last used.
    pub idle: Duration,
}

/// Ranks loads, and the adapters that are evicted for them.
pub trait ResidencyPolicy: Send + Sync {
    /// Returns the value of a load; the highest goes first.
    fn load_value(&self, demand: &LoadDemand) -> f64;

    /// Returns the value of keeping a resident adapter. The lowest is evicted first, and only for a
    /// load of higher value.
    fn retention_value(&self, usage: &AdapterUsage) -> f64;

    /// Returns whether a request is refused at once if it cannot be served before its deadline.
    fn refuses_early(&self) -> bool;
}

/// How long, in seconds, recent demand is assumed to continue.
const DEMAND_HORIZON_SECONDS: f64 = 10.0;

/// The fraction of its value that a load loses as its oldest request waits.
const AGE_DISCOUNT: f64 = 0.2;

/// The default: values loads by the worth of waiting and expected requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ValuePolicy;

impl ResidencyPolicy for ValuePolicy {
    fn load_value(&self, demand: &LoadDemand) -> f64 {
        let worth = demand.waiting_worth + DEMAND_HORIZON_SECONDS * demand.worth_per_second;
        // Among loads of similar worth, the newest goes first since its callers have the most time
        // left. Oldest first would complete every load at its deadline when the store is
        // overloaded.
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

/// The baseline for benchmarks: loads in order of arrival, evicts the least recently used.
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
