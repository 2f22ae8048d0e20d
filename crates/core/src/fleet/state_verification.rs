//! Whether a host's state is known to include everything that the store had before it was restored.
//!
//! A store that was restored from an older copy lists revoked keys again until the operator has
//! written its last configuration once more. A host that starts in that time reads nothing else, so
//! it accepts no keys until its state is verified: by a peer that has the state from before the
//! restore, or by time. A peer that does not have that state can not verify it.

use std::{net::SocketAddr, time::Duration};

use crate::{clock::ClockMillis, fleet::stale_listing::REWRITE_GRACE_PERIOD, id::StoreEra};

/// Why a host's state is verified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerificationSource {
    /// The store was never restored, so it has all that it ever acknowledged.
    NeverRestored,
    /// A verified peer has sent its state.
    Peer(SocketAddr),
    /// The store contains a record that all lost records have been written again.
    RestoreRecord,
    /// The time in which lost records are written again is over.
    GracePeriod,
}

impl VerificationSource {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NeverRestored => "never_restored",
            Self::Peer(_) => "verified_peer",
            Self::RestoreRecord => "restore_record",
            Self::GracePeriod => "grace_period",
        }
    }

    /// Returns the address of the peer, if it is one.
    pub const fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Peer(address) => Some(address),
            _ => None,
        }
    }
}

/// How up to date a running host's state was when it learned that the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateAge {
    /// The configuration had been confirmed just before. The host can verify others.
    Recent,
    /// The configuration had not been confirmed for a while, so the host may have missed a change.
    /// It uses its state, but verifies no others.
    Unconfirmed,
    /// Keys were no longer accepted, or the host has just started. Its state is not verified.
    Outdated,
}

/// Whether a host's state includes all records from before the last restore of the store.
#[derive(Debug, Clone)]
pub struct StateVerification {
    era: StoreEra,
    /// When this host learned of the era.
    era_learned_at: ClockMillis,
    source: Option<VerificationSource>,
    /// Whether the state can verify that of other hosts, once it is verified itself.
    verifies_others: bool,
    /// Reads of the store before this time do not confirm its configuration.
    valid_from: ClockMillis,
}

impl StateVerification {
    /// Creates the state of a host that starts at `now`.
    pub fn new(now: ClockMillis) -> Self {
        Self {
            era: 0,
            era_learned_at: now,
            source: None,
            verifies_others: true,
            valid_from: ClockMillis::default(),
        }
    }

    /// Records that the store was restored, which began this era.
    pub fn begin_era(&mut self, era: StoreEra, age: StateAge, now: ClockMillis) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_learned_at = now;
        self.verifies_others &= age == StateAge::Recent;
        if age == StateAge::Outdated {
            self.source = None;
        }
    }

    /// Records that a complete state was received, while no restore of the store is known.
    pub fn record_complete_state(&mut self) {
        if self.era == 0 {
            self.verify(VerificationSource::NeverRestored, ClockMillis::default());
        }
    }

    /// Records that a verified peer has sent its complete state.
    pub fn record_verified_peer(&mut self, peer: SocketAddr) {
        self.verify(VerificationSource::Peer(peer), ClockMillis::default());
    }

    /// Records that, when the store was asked at `asked_at`, it contained a record that everything
    /// lost with the restore has been written again.
    pub fn record_restore_record(&mut self, asked_at: ClockMillis) {
        self.verify(VerificationSource::RestoreRecord, asked_at);
    }

    /// Updates the state to the current time.
    pub fn tick(&mut self, now: ClockMillis) {
        if self.time_in_era(now) >= REWRITE_GRACE_PERIOD {
            self.verify(VerificationSource::GracePeriod, now);
        }
    }

    fn verify(&mut self, source: VerificationSource, valid_from: ClockMillis) {
        self.verifies_others = true;
        if self.source.is_none() {
            self.source = Some(source);
            self.valid_from = valid_from;
        }
    }

    fn time_in_era(&self, now: ClockMillis) -> Duration {
        now.since(self.era_learned_at)
    }

    /// Returns why the state is verified, if it is.
    pub const fn source(&self) -> Option<VerificationSource> {
        self.source
    }

    /// Returns whether the state is verified.
    pub const fn is_verified(&self) -> bool {
        self.source.is_some()
    }

    /// Returns whether the state can verify that of other hosts.
    pub const fn verifies_others(&self) -> bool {
        self.is_verified() && self.verifies_others
    }

    /// Returns whether a read of the store that was requested at `requested_at` confirms that the
    /// host's configuration is the latest.
    pub fn is_confirmed_by_read(&self, requested_at: ClockMillis) -> bool {
        self.is_verified() && requested_at >= self.valid_from
    }

    /// Returns whether the state is verified and the time in which lost records are written again is
    /// over.
    pub fn is_settled(&self, now: ClockMillis) -> bool {
        self.is_verified() && self.time_in_era(now) >= REWRITE_GRACE_PERIOD
    }
}
