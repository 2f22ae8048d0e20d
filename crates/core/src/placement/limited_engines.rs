//! Engines that have named a limit, as far as placement goes.
//!
//! Such an engine serves next to nothing of what it holds: a copy there is none for requests that wait, so that another one is
//! worth a load elsewhere, and nothing more is brought there. When the limit ends its copies count again. Where every engine of a
//! domain has named one there is no elsewhere: then they are ordered and asked as far as their limits bear it.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, limits::limit::RequestLimit},
    placement::{EngineInventory, PlacementPlanner},
};

/// The part of a limit that orders and reports may take where every engine has one: the rest is for requests.
const CONTROL_PART: f64 = 0.5;

/// The longest pause between two such calls: an engine that takes nothing at all is still asked what it holds.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// The engines of a domain that have named a limit.
#[derive(Debug, Clone, Default)]
pub(super) struct LimitedEngines {
    limits: HashMap<EngineName, RequestLimit>,
    /// Whether no engine of the domain is without a limit.
    everywhere: bool,
    /// Engines that want nothing from this host for a while.
    cooling: HashSet<EngineName>,
}

impl PlacementPlanner {
    /// Takes which engines have named a limit.
    pub fn set_limits(&mut self, limits: HashMap<EngineName, RequestLimit>) {
        let mut ready = self.engines.values().filter(|inventory| !inventory.entry.leaving);
        let everywhere =
            !limits.is_empty() && ready.all(|inventory| limits.contains_key(&inventory.entry.name));
        (self.limited.limits, self.limited.everywhere) = (limits, everywhere);
    }

    /// Takes which engines want nothing from this host for a while: neither orders nor reports, and their copies count as none
    /// for requests that wait.
    pub fn set_cooldowns(&mut self, cooling: HashSet<EngineName>) {
        self.limited.cooling = cooling;
    }

    /// Returns whether what an engine holds counts as there for requests.
    pub(super) fn bears_requests(&self, inventory: &EngineInventory) -> bool {
        let engine = &inventory.entry.name;
        let limited = !self.limited.everywhere && self.limited.limits.contains_key(engine);
        !limited && !self.limited.cooling.contains(engine)
    }
}

impl LimitedEngines {
    /// Returns whether an engine may get an order, or be asked for a report.
    pub(super) fn may_call(&self, inventory: &EngineInventory, now: ClockMillis) -> bool {
        if self.cooling.contains(&inventory.entry.name) {
            return false;
        }
        let Some(limit) = self.limits.get(&inventory.entry.name) else { return true };
        let rate = limit.per_second() * CONTROL_PART;
        let pause = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST_PAUSE);
        let called = inventory.ordered.max(inventory.asked);
        self.everywhere && now.since(called) >= pause.min(LONGEST_PAUSE)
    }
}
