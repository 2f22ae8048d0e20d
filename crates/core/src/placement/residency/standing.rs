//! The policy that compares every load with every adapter that it could displace.

use crate::{
    clock::ClockMillis,
    placement::{
        PlacementPlanner, PlannedOrder, residency::ResidencyPolicy, round_totals::RoundTotals,
    },
};

/// Maximum number of orders issued per planning round.
const MAX_ORDERS_PER_ROUND: usize = 16;

/// Loads whatever is worth more than the adapter it displaces, by waiting and expected requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandingResidency;

impl ResidencyPolicy for StandingResidency {
    fn assumed_parallel_loads(&self, loads_per_second: f64, _engines: usize) -> f64 {
        loads_per_second
    }

    fn plan_orders(&self, planner: &mut PlacementPlanner, now: ClockMillis) -> Vec<PlannedOrder> {
        planner.totals = RoundTotals::compute(planner, now);
        let mut candidates = planner.load_candidates(now);
        candidates.sort_by(|left, right| {
            right.value.total_cmp(&left.value).then_with(|| left.key.cmp(&right.key))
        });
        let mut orders = Vec::new();
        planner.load_queue.clear();
        for candidate in candidates {
            if orders.len() >= MAX_ORDERS_PER_ROUND {
                break;
            }
            let already_ordered =
                orders.iter().any(|order: &PlannedOrder| order.key == candidate.key);
            if already_ordered && candidate.engine.is_none() {
                continue;
            }
            match planner.order_for(&candidate, now) {
                Some(order) => orders.push(order),
                None => planner.load_queue.push(candidate.key),
            }
        }
        orders
    }
}
