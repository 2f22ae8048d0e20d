//! One adapter version's stay on one engine.

use std::time::Duration;

use crate::{
    chart::{ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::policy::AdapterUsage,
    id::FenceToken,
    popularity::DecayedRate,
};

/// No report proves anything before the fence has been raised again.
pub(super) const NOT_PROVABLE: u64 = u64::MAX;

/// One adapter version as the owner of an engine sees it.
#[derive(Debug, Clone)]
pub struct Residency {
    /// Where its life stands.
    pub state: ResidencyState,
    /// Permits that are out.
    pub permits_in_use: u32,
    /// Whether nothing can run there but under those permits.
    pub proven_idle: bool,
    /// The token of the latest doubt: only a raise above it settles the doubt.
    pub(super) uncertain_token: FenceToken,
    /// The first engine sequence whose report can prove that.
    pub(super) provable_from: u64,
    /// The first engine sequence whose report must show it, once resident.
    pub(super) reported_from: u64,
    /// Whether the answer to its load order was lost.
    pub(super) order_unconfirmed: bool,
    /// Loads that failed in a row.
    pub(super) failures: u32,
    /// When its state was entered.
    pub(super) entered_at: ClockMillis,
    /// When something last ran on it.
    pub(super) last_used: ClockMillis,
    /// Not to be asked for before.
    pub(super) retry_at: ClockMillis,
    /// Worth asked for lately.
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

    /// Moves on by the chart; says whether the state changed.
    pub(super) fn step(&mut self, event: ResidencyEvent, now: ClockMillis) -> bool {
        let state = self.state.after(event);
        if state == self.state {
            return false;
        }
        self.state = state;
        self.entered_at = now;
        true
    }

    /// Notes that something not counted here may run on it or still arrive.
    ///
    /// `token` is the highest token under which it can have been sent.
    pub(super) const fn mark_uncertain(&mut self, token: FenceToken) {
        self.proven_idle = false;
        self.uncertain_token = token;
        self.provable_from = NOT_PROVABLE;
    }

    /// Says whether a raise is needed before a report can prove anything about it.
    pub(super) const fn needs_raise(&self) -> bool {
        !self.proven_idle && self.provable_from == NOT_PROVABLE
    }

    /// Says whether it takes up a slot, or soon will.
    pub(super) const fn holds_slot(&self) -> bool {
        matches!(
            self.state,
            ResidencyState::Loading
                | ResidencyState::Resident
                | ResidencyState::Draining
                | ResidencyState::Unloading
        )
    }

    /// Says whether it needs a slot and has none yet.
    pub(super) fn needs_turn(&self, now: ClockMillis) -> bool {
        let waits = matches!(self.state, ResidencyState::Absent | ResidencyState::Queued);
        waits && now >= self.retry_at && !self.needs_raise()
    }

    /// Says whether its slot may be taken now.
    pub(super) fn is_evictable(&self) -> bool {
        let there = matches!(self.state, ResidencyState::Resident | ResidencyState::Draining);
        there && self.permits_in_use == 0 && self.proven_idle
    }

    pub(super) fn usage(&self, now: ClockMillis, half_life: Duration) -> AdapterUsage {
        AdapterUsage {
            worth_per_second: self.demand.per_second(now, half_life),
            idle: now.since(self.last_used),
        }
    }
}

impl Residency {
    /// Says whether the adapter is on the engine or on its way there.
    pub fn is_present_or_pending(&self) -> bool {
        !matches!(self.state, ResidencyState::Absent | ResidencyState::Failed)
    }
}
