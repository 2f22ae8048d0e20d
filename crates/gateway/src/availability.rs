//! Whether an engine accepts requests of this host, by its announced limit, cooldown and departure.
//!
//! Used by the selection of engines, the preflight check of sends, orders and reports.

use std::{sync::MutexGuard, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry,
        cooldown::{CooldownState, CooldownTable},
        departures::DepartureRegistry,
        limits::share::{LimitShare, LimitStatus, PermitUse},
    },
};

use crate::host::SharedState;

/// Whether an engine accepts a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It accepts the request.
    Available,
    /// It has a limit for all hosts together, and this host has no permit.
    Limited,
    /// It is within a cooldown, and is expected to accept requests of this host after this time.
    Cooling(Duration),
    /// It is leaving.
    Departing,
}

/// Locked announcements of the engines. Hold it briefly.
pub struct AvailabilityView<'host> {
    limits: MutexGuard<'host, LimitShare>,
    departures: MutexGuard<'host, DepartureRegistry>,
    cooldowns: MutexGuard<'host, CooldownTable>,
    now: ClockMillis,
}

impl SharedState {
    /// Locks the announcements of the engines.
    pub fn availability(&self) -> AvailabilityView<'_> {
        let (limits, departures, cooldowns) = (self.limits(), self.departures(), self.cooldowns());
        AvailabilityView { limits, departures, cooldowns, now: self.clock.now() }
    }
}

impl AvailabilityView<'_> {
    /// Returns whether an engine accepts a request that takes a permit for `permit_use`.
    pub fn for_request(
        &mut self,
        entry: &EngineEntry,
        permit_use: PermitUse,
    ) -> EngineAvailability {
        let availability = self.without_limit(entry);
        if availability != EngineAvailability::Available {
            return availability;
        }
        match self.limits.limit_status(&entry.name, permit_use, self.now) {
            LimitStatus::Exhausted => EngineAvailability::Limited,
            LimitStatus::Unlimited | LimitStatus::Permitted => EngineAvailability::Available,
        }
    }

    /// Returns whether an engine accepts a call without regard to its limit: an order, a report
    /// call, or a request that holds a permit.
    pub fn without_limit(&self, entry: &EngineEntry) -> EngineAvailability {
        if self.departures.is_departing(&entry.name, entry.incarnation) {
            return EngineAvailability::Departing;
        }
        match self.cooldowns.state(&entry.name, entry.incarnation, self.now) {
            CooldownState::Available => EngineAvailability::Available,
            CooldownState::Unavailable(time) => EngineAvailability::Cooling(time),
        }
    }
}
