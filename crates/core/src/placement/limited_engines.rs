//! Engines that announced a request limit or a cooldown, as far as placement is concerned.
//!
//! A limited engine can serve hardly any requests. Its copies do not count for waiting requests, so
//! another copy may be loaded elsewhere, and it gets no further loads. Its copies count again once
//! the limit ends. If all engines of a domain are limited, orders and report requests are sent as
//! far as the limits allow.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, limits::limit::RequestLimit},
    placement::{EngineInventory, PlacementPlanner},
};

/// Fraction of a limit available for orders and report requests when all engines are limited. The
/// rest is left for requests.
const CONTROL_SHARE: f64 = 0.5;

/// Maximum interval between orders or report requests, so that an engine that accepts no requests
/// is still asked for reports.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(10);

/// Engines of a domain with a limit or cooldown.
#[derive(Debug, Clone, Default)]
pub(super) struct LimitedEngines {
    limits: HashMap<EngineName, RequestLimit>,
    /// Whether all engines of the domain are limited.
    all_limited: bool,
    /// Engines that currently accept no calls from this host.
    in_cooldown: HashSet<EngineName>,
}

impl PlacementPlanner {
    /// Sets the engines' current request limits.
    pub fn set_limits(&mut self, limits: HashMap<EngineName, RequestLimit>) {
        let mut engines = self.engines.values().filter(|inventory| !inventory.entry.leaving);
        let all_limited = !limits.is_empty()
            && engines.all(|inventory| limits.contains_key(&inventory.entry.name));
        (self.limited_engines.limits, self.limited_engines.all_limited) = (limits, all_limited);
    }

    /// Sets the engines that currently accept no calls from this host. They get neither orders nor
    /// report requests, and their copies do not count for waiting requests.
    pub fn set_cooldowns(&mut self, in_cooldown: HashSet<EngineName>) {
        self.limited_engines.in_cooldown = in_cooldown;
    }

    /// Returns whether the engine's copies count as available for requests.
    pub(super) fn counts_as_serving(&self, inventory: &EngineInventory) -> bool {
        let engine = &inventory.entry.name;
        let limited =
            !self.limited_engines.all_limited && self.limited_engines.limits.contains_key(engine);
        !limited && !self.limited_engines.in_cooldown.contains(engine)
    }
}

impl LimitedEngines {
    /// Returns whether an order or report request may be sent to the engine.
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
