//! A bounded queue that serves organisations by weight, whatever their demand.

use std::collections::{BTreeMap, VecDeque};

use crate::id::OrganisationId;

/// The virtual time that one item of weight 1 takes.
const UNIT_COST: f64 = 1.0;

/// What a fair queue needs to know of an item.
pub trait QueuedItem {
    /// Returns the organisation of the item.
    fn organisation(&self) -> OrganisationId;

    /// Returns the organisation's weight; a larger one gets a larger share of the service.
    fn weight(&self) -> f64;
}

/// The organisation has as many items queued as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "{queued} requests of this organisation wait already; raise `queue_limit` or come back later"
)]
pub struct QueueFull {
    /// The number of queued items.
    pub queued: usize,
}

#[derive(Debug)]
struct Flow<T> {
    items: VecDeque<T>,
    /// The virtual time at which the flow's first item finishes.
    finish: f64,
}

/// Start-time fair queueing (Goyal et al., 1996) with one flow per organisation.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<OrganisationId, Flow<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<T: QueuedItem> FairQueue<T> {
    /// Returns the number of queued items.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item to its organisation's flow.
    ///
    /// # Errors
    /// Returns the item if `limit` items of the flow are queued already.
    pub fn push(&mut self, item: T, limit: u32) -> Result<(), (T, QueueFull)> {
        let organisation = item.organisation();
        let queued = self.flows.get(&organisation).map_or(0, |flow| flow.items.len());
        if queued >= limit as usize {
            return Err((item, QueueFull { queued }));
        }
        let virtual_cost = UNIT_COST / item.weight().max(f64::MIN_POSITIVE);
        let start = self.virtual_time;
        let flow = self
            .flows
            .entry(organisation)
            .or_insert_with(|| Flow { items: VecDeque::new(), finish: start });
        if flow.items.is_empty() {
            // An idle organisation accumulates no credit: it starts at the current virtual time.
            flow.finish = flow.finish.max(start) + virtual_cost;
        }
        flow.items.push_back(item);
        self.len += 1;
        Ok(())
    }

    /// Removes the next item of those that are ready.
    pub fn pop_ready(&mut self, is_ready: impl Fn(&T) -> bool) -> Option<T> {
        let next = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.items.iter().any(&is_ready))
            .min_by(|left, right| left.1.finish.total_cmp(&right.1.finish))
            .map(|(organisation, _)| *organisation)?;
        let flow = self.flows.get_mut(&next)?;
        let index = flow.items.iter().position(&is_ready)?;
        let item = flow.items.remove(index)?;
        let virtual_cost = UNIT_COST / item.weight().max(f64::MIN_POSITIVE);
        self.virtual_time = self.virtual_time.max(flow.finish - virtual_cost);
        if flow.items.is_empty() {
            // The flow's finish time is kept only while it is ahead of the virtual time.
            if flow.finish <= self.virtual_time {
                self.flows.remove(&next);
            }
        } else {
            flow.finish += virtual_cost;
        }
        self.len -= 1;
        Some(item)
    }

    /// Removes all items that `should_drain` selects.
    pub fn drain_where(&mut self, should_drain: impl Fn(&T) -> bool) -> Vec<T> {
        let mut drained = Vec::new();
        for flow in self.flows.values_mut() {
            let items = std::mem::take(&mut flow.items);
            for item in items {
                if should_drain(&item) {
                    drained.push(item);
                } else {
                    flow.items.push_back(item);
                }
            }
        }
        let now = self.virtual_time;
        self.flows.retain(|_, flow| !flow.items.is_empty() || flow.finish > now);
        self.len -= drained.len();
        drained
    }

    /// Iterates over all items, flow by flow.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.flows.values().flat_map(|flow| &flow.items)
    }
}
