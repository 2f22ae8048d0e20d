//! What has become of load orders that got no answer, told from the answer to a later one.

use std::sync::Arc;

use crate::{
    clock::ClockMillis,
    fleet::adapter_name,
    placement::{
        EngineInventory, LoadRateLimiter, OrderAnswer, OrderKind, PlannedOrder,
        inventory::DoubtedLoad,
    },
};

/// Returns whether an order counts against the weight store's rate: loads of base models do.
pub(super) fn counts_against_rate(kind: OrderKind, key: &str) -> bool {
    kind.loads_from_store() && adapter_name(key).is_none()
}

/// Settles what earlier orders without an answer have become, from the answer to a later one.
///
/// All of them named the same count of orders, so the engine carried out one of them at most. An
/// accepted order makes it refuse the earlier ones; a conflict shows that one of those was first.
pub(super) fn settle_doubts(
    inventory: &mut EngineInventory,
    window: &mut LoadRateLimiter,
    order: &PlannedOrder,
    answer: OrderAnswer,
) {
    let counted = counts_against_rate(order.kind, &order.key);
    let own = counted.then_some(inventory.noted);
    let mut refunded: Vec<ClockMillis> = Vec::new();
    match answer {
        OrderAnswer::Unknown => {
            inventory.note_unanswered(order);
            if let OrderKind::Load { .. } = order.kind {
                let key = Arc::clone(&order.key);
                inventory.doubted.push(DoubtedLoad { key, noted: own });
            }
        }
        OrderAnswer::Accepted => {
            refunded.extend(inventory.doubted.drain(..).filter_map(|load| load.noted));
        }
        OrderAnswer::Conflict | OrderAnswer::Done => {
            refunded.extend(own);
            refunded.extend(inventory.doubted.drain(..).skip(1).filter_map(|load| load.noted));
        }
        OrderAnswer::NotSent | OrderAnswer::Fenced | OrderAnswer::Rejected => refunded.extend(own),
        OrderAnswer::OtherEngine => inventory.doubted.clear(),
    }
    for noted in refunded {
        window.refund(noted);
    }
}
