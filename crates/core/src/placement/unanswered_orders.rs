//! Infers the outcome of unanswered load orders from the answer to a later order.

use std::sync::Arc;

use crate::{
    clock::ClockMillis,
    fleet::adapter_name,
    placement::{
        EngineInventory, LoadRateLimiter, OrderAnswer, OrderKind, PlannedOrder,
        inventory::UnresolvedLoad,
    },
};

/// Returns whether an order counts toward the weight store's rate limit, as base model loads do.
pub(super) fn counts_toward_rate_limit(kind: OrderKind, key: &str) -> bool {
    kind.loads_from_store() && adapter_name(key).is_none()
}

/// Infers the outcome of earlier unanswered orders from the answer to a later one.
///
/// They all expected the same sequence number, so the engine executed at most one of them. If it
/// accepts an order, it refuses the earlier ones. A conflict shows that it executed one of them.
pub(super) fn resolve_unanswered_loads(
    inventory: &mut EngineInventory,
    load_rate_limiter: &mut LoadRateLimiter,
    order: &PlannedOrder,
    answer: OrderAnswer,
) {
    let counted = counts_toward_rate_limit(order.kind, &order.key);
    let start = counted.then_some(inventory.last_order_sent_at);
    let mut refunds: Vec<ClockMillis> = Vec::new();
    match answer {
        OrderAnswer::Unknown => {
            inventory.record_unanswered(order);
            if let OrderKind::Load { .. } = order.kind {
                let key = Arc::clone(&order.key);
                inventory.unresolved_loads.push(UnresolvedLoad { key, counted_at: start });
            }
        }
        OrderAnswer::Accepted => {
            refunds.extend(inventory.unresolved_loads.drain(..).filter_map(|load| load.counted_at));
        }
        OrderAnswer::Conflict | OrderAnswer::Done => {
            refunds.extend(start);
            refunds.extend(
                inventory.unresolved_loads.drain(..).skip(1).filter_map(|load| load.counted_at),
            );
        }
        OrderAnswer::NotSent | OrderAnswer::Fenced | OrderAnswer::Rejected => refunds.extend(start),
        OrderAnswer::OtherEngine => inventory.unresolved_loads.clear(),
    }
    for started_at in refunds {
        load_rate_limiter.refund(started_at);
    }
}
