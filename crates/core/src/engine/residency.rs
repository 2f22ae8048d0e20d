//! The residency of an adapter version on an engine.

use std::time::Duration;

use crate::{
    chart::{ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::policy::AdapterUsage,
    id::FenceToken,
    popularity::DecayedRate,
};

/// The `provable_from` of a residency that no report can prove idle before the next raise.
pub(super) const NOT_PROVABLE: u64 = u64::MAX;

/// The residency of an adapter version, as seen by the engine's owner.
#[derive(Debug, Clone)]
pub struct Residency {
    /// Its state.
    pub state: ResidencyState,
    /// The number of permits in use.
    pub permits_in_use: u32,
    /// Whether no request can run on it except under those permits.
    pub proven_idle: bool,
    /// The highest token under which uncounted requests may have been sent; only a raise above it
    /// cuts them off.
    pub(super) uncertain_token: FenceToken,
    /// The first engine sequence whose report can prove it idle.
    pub(super) provable_from: u64,
    /// The first engine sequence whose report must list it, once resident.
    pub(super) reported_from: u64,
    /// Whether no answer arrived to its last load or unload order.
    pub(super) order_unconfirmed: bool,
    /// The number of consecutive failed loads.
    pub(super) failures: u32,
    /// When its state was entered.
    pub(super) entered_at: ClockMillis,
    /// When a permit for it was last granted or returned, or it was loaded.
    pub(super) last_used: ClockMillis,
    /// No load is requested before this time.
    pub(super) retry_at: ClockMillis,
    /// The decayed rate of requested worth.
    pub(super) demand: DecayedRate,
}

impl Residency {
    pub(super) fn new(now: ClockMillis) -> Self {
        Self {
            state: ResidencyState::initial(),
            permits_in_use: 0,
            proven_idle: true,
            uncertain_token: 0,
            provable_from: 0,
            reported_from: 0,
            order_unconfirmed: false,
            failures: 0,
            entered_at: now,
            last_used: now,
            retry_at: ClockMillis::default(),
            demand: DecayedRate::default(),
        }
    }

    /// Applies an event to the state chart; returns whether the state changed.
    pub(super) fn step(&mut self, event: ResidencyEvent, now: ClockMillis) -> bool {
        let state = self.state.after(event);
        if state == self.state {
            return false;
        }
        self.state = state;
        self.entered_at = now;
        true
    }

    /// Marks that uncounted requests or orders may run on it or still arrive.
    ///
    /// `token` is the highest token under which they may have been sent.
    pub(super) const fn mark_uncertain(&mut self, token: FenceToken) {
        self.proven_idle = false;
        self.uncertain_token = token;
        self.provable_from = NOT_PROVABLE;
    }

    /// Returns whether the fence must be raised before a report can prove it idle.
    pub(super) const fn needs_raise(&self) -> bool {
        !self.proven_idle && self.provable_from == NOT_PROVABLE
    }

    /// Returns whether it occupies a slot.
    pub(super) const fn holds_slot(&self) -> bool {
        matches!(
            self.state,
            ResidencyState::Loading
                | ResidencyState::Resident
                | ResidencyState::Draining
                | ResidencyState::Unloading
        )
    }

    /// Returns whether a load turn may be requested for it now.
    pub(super) fn needs_turn(&self, now: ClockMillis) -> bool {
        let waits = matches!(self.state, ResidencyState::Absent | ResidencyState::Queued);
        waits && now >= self.retry_at && !self.needs_raise()
    }

    /// Returns whether it may be unloaded now.
    pub(super) fn is_evictable(&self) -> bool {
        let on_engine = matches!(self.state, ResidencyState::Resident | ResidencyState::Draining);
        on_engine && self.permits_in_use == 0 && self.proven_idle
    }

    pub(super) fn usage(&self, now: ClockMillis, half_life: Duration) -> AdapterUsage {
        AdapterUsage {
            worth_per_second: self.demand.per_second(now, half_life),
            idle: now.since(self.last_used),
        }
    }
}

impl Residency {
    /// Returns whether the adapter is on the engine or a load is queued or running.
    pub fn is_present_or_pending(&self) -> bool {
        !matches!(self.state, ResidencyState::Absent | ResidencyState::Failed)
    }
}
