//! Up to which moment a host's configuration is known to have been the newest, and until when keys may
//! be served by it.
//!
//! The operator withdraws a key by a new configuration; a host that does not hear of it must stop serving
//! keys before the operator's bound is over. What counts is when the store was asked, not when it
//! answered: an answer may be held up on its way, or lie unread while the host stands still. Once the
//! bound has passed, requests with keys are refused as not run; until then they are served, since in most
//! outages no key is withdrawn.

use std::time::Duration;

use crate::{
    chart::{FreshnessEvent, FreshnessState},
    clock::ClockMillis,
};

/// How much earlier than the operator's bound a host stops: what two monotonic clocks may run apart between two
/// comparisons (100 parts in a million for half a minute), rounding to milliseconds, and as much again.
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// Up to which moment a host's configuration is known to have been the newest.
#[derive(Debug, Clone)]
pub struct ConfigurationFreshness {
    /// How long after its withdrawal a key may be served; absent where nothing bounds it.
    max_staleness: Option<Duration>,
    state: FreshnessState,
    confirmed_at: Option<ClockMillis>,
}

impl ConfigurationFreshness {
    /// Starts with nothing known; `bound` is how long a withdrawn key may be served.
    pub fn new(max_staleness: Option<Duration>) -> Self {
        Self { max_staleness, state: FreshnessState::initial(), confirmed_at: None }
    }

    /// Takes that the configuration was the newest one at `moment`, when the store or a peer was asked.
    ///
    /// Earlier moments than known ones change nothing.
    pub fn confirm(&mut self, moment: ClockMillis, now: ClockMillis) {
        if self.state == FreshnessState::Superseded {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(moment));
        if self.serves_keys(now) {
            self.state = self.state.after(FreshnessEvent::Confirmed);
        }
    }

    /// Takes that a newer configuration exists and can not be read: nothing confirms the old one any more.
    pub fn newer_unreadable(&mut self) {
        self.state = self.state.after(FreshnessEvent::Unreadable);
    }

    /// Takes that a configuration came into force.
    pub fn configuration_replaced(&mut self) {
        self.state = self.state.after(FreshnessEvent::Replaced);
    }

    /// Moves on with the time.
    pub fn tick(&mut self, now: ClockMillis) {
        if !self.serves_keys(now) {
            self.state = self.state.after(FreshnessEvent::Aged);
        }
    }

    /// Returns the state, for logs.
    pub const fn state(&self) -> FreshnessState {
        self.state
    }

    /// Returns the moment up to which the configuration is known to have been the newest.
    pub const fn confirmed_at(&self) -> Option<ClockMillis> {
        self.confirmed_at
    }

    /// Returns until when requests with keys may arrive and be served.
    pub fn keys_valid_until(&self) -> ClockMillis {
        let Some(max_staleness) = self.max_staleness else {
            return ClockMillis::from_millis(u64::MAX);
        };
        let served_for = max_staleness.saturating_sub(CLOCK_MARGIN);
        self.confirmed_at.map_or(ClockMillis::default(), |moment| moment + served_for)
    }

    fn serves_keys(&self, now: ClockMillis) -> bool {
        now <= self.keys_valid_until()
    }
}

/// A peer's clock as a host can tell it: never later than it truly was.
///
/// The peer read `peer` after the host had asked at `own`. What happened at a later reading of the peer's clock
/// thus happened at least as much later than `own`, however long the answer took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// When the host asked, by its own clock.
    pub local: ClockMillis,
    /// What the peer's clock showed when it answered.
    pub peer: ClockMillis,
}

impl PeerClock {
    /// Returns the latest moment of the own clock that is sure not to lie after a moment of the peer's clock.
    pub fn to_local(&self, moment: ClockMillis) -> ClockMillis {
        if moment >= self.peer {
            self.local + moment.since(self.peer)
        } else {
            self.local - self.peer.since(moment)
        }
    }
}
