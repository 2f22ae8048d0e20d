//! Freshness of a host's configuration, which bounds how long keys are accepted.
//!
//! Operators revoke a key by publishing a new configuration. A host that can not learn of it must
//! stop accepting keys before the operator's staleness bound is over. The bound counts from when
//! the store was asked, not from when it answered: the answer may be delayed on its way, or read
//! late because the host was suspended. After the bound, requests with keys are refused as not run.

use std::time::Duration;

use crate::{
    chart::{FreshnessEvent, FreshnessState},
    clock::ClockMillis,
};

/// How much earlier than the bound a host stops accepting keys: covers the drift between two
/// monotonic clocks and rounding to milliseconds. A drift of 100 parts in a million over half a
/// minute is 3 ms.
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// Tracks until when a host's configuration is known to have been the newest.
#[derive(Debug, Clone)]
pub struct ConfigurationFreshness {
    /// How long a revoked key may still be accepted; unbounded if absent.
    max_staleness: Option<Duration>,
    state: FreshnessState,
    confirmed_at: Option<ClockMillis>,
}

impl ConfigurationFreshness {
    /// Creates a state without any confirmation.
    pub fn new(max_staleness: Option<Duration>) -> Self {
        Self { max_staleness, state: FreshnessState::initial(), confirmed_at: None }
    }

    /// Records that the configuration was the newest one at `moment`, the time at which the store
    /// or a peer was asked. Ignored if a later moment is known.
    pub fn confirm(&mut self, moment: ClockMillis, now: ClockMillis) {
        if self.state == FreshnessState::Superseded {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(moment));
        if self.serves_keys(now) {
            self.state = self.state.after(FreshnessEvent::Confirmed);
        }
    }

    /// Records that a newer configuration exists but can not be read; from now on confirmations are
    /// ignored.
    pub fn newer_unreadable(&mut self) {
        self.state = self.state.after(FreshnessEvent::Unreadable);
    }

    /// Records that a new configuration is in force.
    pub fn configuration_replaced(&mut self) {
        self.state = self.state.after(FreshnessEvent::Replaced);
    }

    /// Updates the state to the current time.
    pub fn tick(&mut self, now: ClockMillis) {
        if !self.serves_keys(now) {
            self.state = self.state.after(FreshnessEvent::Aged);
        }
    }

    /// Returns the state, for logs.
    pub const fn state(&self) -> FreshnessState {
        self.state
    }

    /// Returns the latest moment at which the configuration is known to have been the newest.
    pub const fn confirmed_at(&self) -> Option<ClockMillis> {
        self.confirmed_at
    }

    /// Returns the latest arrival time at which requests with keys are accepted.
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

/// Converts a peer's clock readings to the local clock without ever being too late.
///
/// The peer read `peer` after this host asked at `local`. An event at a later reading of the peer's
/// clock was therefore at least as much later than `local`, however long the answer took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    /// Local time at which the peer was asked.
    pub local: ClockMillis,
    /// The peer's clock reading in its answer.
    pub peer: ClockMillis,
}

impl PeerClock {
    /// Returns a local time that is never later than the given time on the peer's clock.
    pub fn to_local(&self, moment: ClockMillis) -> ClockMillis {
        if moment >= self.peer {
            self.local + moment.since(self.peer)
        } else {
            self.local - self.peer.since(moment)
        }
    }
}
