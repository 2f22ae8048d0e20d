//! A bounded queue that serves organisations by weight, however much each of them asks.

use std::collections::{BTreeMap, VecDeque};

use crate::id::OrganisationId;

/// Virtual time that one served item of weight 1 takes.
const UNIT: f64 = 1.0;

/// What a fair queue needs to know of an item.
pub trait QueuedItem {
    /// Returns the organisation the item is served for.
    fn organisation(&self) -> OrganisationId;

    /// Returns the organisation's weight; more is served sooner.
    fn share(&self) -> f64;
}

/// The organisation already has as many items waiting as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "{waiting} requests of this organisation wait already; raise `queue_limit` or come back later"
)]
pub struct QueueFull {
    /// How many wait.
    pub waiting: usize,
}

#[derive(Debug)]
struct Lane<T> {
    items: VecDeque<T>,
    /// Virtual time at which the lane's first item ends.
    finish: f64,
}

/// Start-time fair queueing (Goyal et al., 1996) with one lane per organisation.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: BTreeMap<OrganisationId, Lane<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lanes: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<T: QueuedItem> FairQueue<T> {
    /// Returns how many items wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Says whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item to its organisation's lane.
    ///
    /// # Errors
    /// Hands the item back when `limit` of them wait there already.
    pub fn push(&mut self, item: T, limit: u32) -> Result<(), (T, QueueFull)> {
        let organisation = item.organisation();
        let waiting = self.lanes.get(&organisation).map_or(0, |lane| lane.items.len());
        if waiting >= limit as usize {
            return Err((item, QueueFull { waiting }));
        }
        let step = UNIT / item.share().max(f64::MIN_POSITIVE);
        let start = self.virtual_time;
        let lane = self
            .lanes
            .entry(organisation)
            .or_insert_with(|| Lane { items: VecDeque::new(), finish: start });
        if lane.items.is_empty() {
            // An idle organisation saves nothing up: it starts at the present virtual time.
            lane.finish = lane.finish.max(start) + step;
        }
        lane.items.push_back(item);
        self.len += 1;
        Ok(())
    }

    /// Takes the item that is due next among those that `ready` lets through.
    pub fn pop_ready(&mut self, ready: impl Fn(&T) -> bool) -> Option<T> {
        let due = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.items.iter().any(&ready))
            .min_by(|left, right| left.1.finish.total_cmp(&right.1.finish))
            .map(|(organisation, _)| *organisation)?;
        let lane = self.lanes.get_mut(&due)?;
        let place = lane.items.iter().position(&ready)?;
        let item = lane.items.remove(place)?;
        let step = UNIT / item.share().max(f64::MIN_POSITIVE);
        self.virtual_time = self.virtual_time.max(lane.finish - step);
        if lane.items.is_empty() {
            // The lane's finish time is kept only while it lies ahead of the virtual time.
            if lane.finish <= self.virtual_time {
                self.lanes.remove(&due);
            }
        } else {
            lane.finish += step;
        }
        self.len -= 1;
        Some(item)
    }

    /// Takes out all items that `leaves` picks.
    pub fn drain_where(&mut self, leaves: impl Fn(&T) -> bool) -> Vec<T> {
        let mut drained = Vec::new();
        for lane in self.lanes.values_mut() {
            let items = std::mem::take(&mut lane.items);
            for item in items {
                if leaves(&item) {
                    drained.push(item);
                } else {
                    lane.items.push_back(item);
                }
            }
        }
        let now = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.items.is_empty() || lane.finish > now);
        self.len -= drained.len();
        drained
    }

    /// Looks at all items, lane by lane.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.lanes.values().flat_map(|lane| &lane.items)
    }
}
