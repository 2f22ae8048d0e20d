//! Whether an engine takes a request of this host now, by what the engine has announced.
//!
//! The choice of an engine, the preflight check of a send, orders and reports all ask here.

use std::{sync::MutexGuard, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry,
        cooldown::{CooldownState, CooldownTable},
        departures::DepartureRegistry,
        limits::share::{LimitShare, LimitStanding, PermitUse},
    },
};

use crate::host::SharedState;

/// Whether an engine takes a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It does.
    Available,
    /// It takes only so many requests from all hosts together, and this host has no permit.
    Limited,
    /// It wants no requests from this host, and is expected to take some again after this time.
    Cooling(Duration),
    /// It is leaving.
    Departing,
}

/// What engines have announced, locked for some verdicts.
pub struct AvailabilityView<'host> {
    limits: MutexGuard<'host, LimitShare>,
    departures: MutexGuard<'host, DepartureRegistry>,
    cooldowns: MutexGuard<'host, CooldownTable>,
    now: ClockMillis,
}

impl SharedState {
    /// Locks what engines have announced for a moment.
    pub fn availability(&self) -> AvailabilityView<'_> {
        let (limits, departures, cooldowns) = (self.limits(), self.departures(), self.cooldowns());
        AvailabilityView { limits, departures, cooldowns, now: self.clock.now() }
    }
}

impl AvailabilityView<'_> {
    /// Returns whether an engine takes a request that wants a permit for some use.
    pub fn for_request(
        &mut self,
        entry: &EngineEntry,
        permit_use: PermitUse,
    ) -> EngineAvailability {
        let availability = self.without_limit(entry);
        if availability != EngineAvailability::Available {
            return availability;
        }
        match self.limits.standing(&entry.name, permit_use, self.now) {
            LimitStanding::Used => EngineAvailability::Limited,
            LimitStanding::Free | LimitStanding::Permitted => EngineAvailability::Available,
        }
    }

    /// Returns whether an engine takes a call, its limit aside: an order, a question for a report, or a request that holds a
    /// permit.
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
