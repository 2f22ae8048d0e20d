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
const CONTROL_SHARE: f64 = 0.5;

/// The longest pause between two such calls: an engine that takes nothing at all is still asked what it holds.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(10);

/// The engines of a domain that have named a limit.
#[derive(Debug, Clone, Default)]
pub(super) struct LimitedEngines {
    limits: HashMap<EngineName, RequestLimit>,
    /// Whether no engine of the domain is without a limit.
    all_limited: bool,
    /// Engines that want nothing from this host for a while.
    in_cooldown: HashSet<EngineName>,
}

impl PlacementPlanner {
    /// Takes which engines have named a limit.
    pub fn set_limits(&mut self, limits: HashMap<EngineName, RequestLimit>) {
        let mut engines = self.engines.values().filter(|inventory| !inventory.entry.leaving);
        let all_limited = !limits.is_empty()
            && engines.all(|inventory| limits.contains_key(&inventory.entry.name));
        (self.limited_engines.limits, self.limited_engines.all_limited) = (limits, all_limited);
    }

    /// Takes which engines want nothing from this host for a while: neither orders nor reports, and their copies count as none
    /// for requests that wait.
    pub fn set_cooldowns(&mut self, in_cooldown: HashSet<EngineName>) {
        self.limited_engines.in_cooldown = in_cooldown;
    }

    /// Returns whether what an engine holds counts as there for requests.
    pub(super) fn counts_as_serving(&self, inventory: &EngineInventory) -> bool {
        let engine = &inventory.entry.name;
        let limited =
            !self.limited_engines.all_limited && self.limited_engines.limits.contains_key(engine);
        !limited && !self.limited_engines.in_cooldown.contains(engine)
    }
}

impl LimitedEngines {
    /// Returns whether an engine may get an order, or be asked for a report.
    pub(super) fn may_call(&self, inventory: &EngineInventory, now: ClockMillis) -> bool {
        if self.in_cooldown.contains(&inventory.entry.name) {
            return false;
        }
        let Some(limit) = self.limits.get(&inventory.entry.name) else { return true };
        let rate = limit.per_second() * CONTROL_SHARE;
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_CALL_INTERVAL);
        let last_call_at = inventory.last_order_activity_at.max(inventory.report_requested_at);
        self.all_limited && now.since(last_call_at) >= interval.min(MAX_CALL_INTERVAL)
    }
}
