//! Handling of a store that was restored from an older copy.

use std::{collections::BTreeSet, net::SocketAddr};

use reelreel_core::{
    ClockMillis, StorePosition,
    clock::duration_millis,
    fleet::{stale_listing::REWRITE_GRACE_PERIOD, state_verification::StateAge},
    id::StoreEra,
};

use crate::{
    control::state::ControlState,
    events::HostEvent,
    peers::state_frames::{FollowFrame, StateFrame},
    store::era::{EraStatus, EraTracker},
};

/// Maximum number of verified followers that are kept until one of them has been asked.
const MAX_VERIFIED_FOLLOWERS: usize = 4;

impl ControlState {
    /// Returns the newest known era of the store.
    pub const fn eras(&self) -> &EraTracker {
        &self.eras
    }

    /// Updates the metrics of how far this host has read the store's topics.
    pub(super) fn update_position_metrics(&self) {
        let metrics = &self.shared.metrics;
        let offset = |end: StorePosition| i64::try_from(end.offset).unwrap_or(i64::MAX);
        metrics.configuration_read_to.set(offset(self.configuration.end()));
        metrics.engines_read_to.set(offset(self.engine_records.end()));
    }

    /// Sets whether this host may serve by what it has read from the store; it is never reset.
    ///
    /// The state of a host that has just started must be verified first if it has keys, since a
    /// restored store may list revoked ones. Without keys, the state of any peer is sufficient.
    pub(super) fn update_may_serve(&mut self, now: ClockMillis) {
        self.handle_new_era();
        if !self.is_complete() {
            return;
        }
        self.verification.tick(now);
        if self.may_serve {
            return;
        }
        let has_keys = self.routes.as_ref().is_some_and(|routes| routes.organisations().is_some());
        let unverified_peer = self.peer_state_source.filter(|_| !has_keys);
        let (cause, peer) = match (self.verification.source(), unverified_peer) {
            (Some(source), _) => (source.name(), source.peer()),
            (None, Some(peer)) => ("unverified_peer", Some(peer)),
            (None, None) => return,
        };
        self.may_serve = true;
        self.table_changed = true;
        let age = duration_millis(now.since(self.started_at));
        self.shared.events.write(HostEvent::ServingStarted { cause: cause.into(), peer, age });
    }

    /// Records that a verified peer has sent its complete state in the current era.
    pub(super) fn record_verified_peer(&mut self, peer: SocketAddr) {
        self.verification.record_verified_peer(peer);
        self.compared_era = self.eras.current();
        self.verified_followers.clear();
    }

    /// Records that the followed reader, which has sent its complete state and each change since, has
    /// a verified state.
    pub fn verify_by_reader(&mut self, frame: &StateFrame, reader: SocketAddr) {
        if self.eras.observe(frame.era, reader.to_string()) == EraStatus::Current {
            self.handle_new_era();
            self.record_verified_peer(reader);
        }
    }

    /// Records a follower; one whose state is verified can verify this host's.
    pub fn record_follower(&mut self, follow: &FollowFrame) {
        if self.verification.verifies_others()
            || self.verified_followers.len() >= MAX_VERIFIED_FOLLOWERS
        {
            return;
        }
        if let Ok(address) = follow.verified_address.parse() {
            self.verified_followers.insert(address);
        }
    }

    /// Returns the followers that can verify this host's state.
    pub const fn verified_followers(&self) -> &BTreeSet<SocketAddr> {
        &self.verified_followers
    }

    /// Returns this host's address for peers if its state can verify that of others, or an empty
    /// string.
    pub fn verified_address(&self) -> String {
        if self.verification.verifies_others() {
            self.shared.profile.peer_address.to_string()
        } else {
            String::new()
        }
    }

    /// Returns whether this host's state is verified.
    pub const fn is_verified(&self) -> bool {
        self.verification.is_verified()
    }

    /// Returns whether to look for a peer with a verified state.
    ///
    /// Followers learn from their reader. A reader does so once an era even if its state is verified:
    /// it may have missed a change shortly before the restore.
    pub fn needs_verified_peer(&self) -> bool {
        let era = self.eras.current();
        if era == 0 || self.verification.is_settled(self.shared.clock.now()) {
            return false;
        }
        if self.is_assigned_reader() {
            return self.compared_era < era;
        }
        !self.verification.verifies_others() && !*self.following.borrow()
    }

    /// Returns whether the store's restore record could verify this host's state.
    pub fn needs_restore_record(&self) -> bool {
        let follows = *self.following.borrow() && !self.is_assigned_reader();
        self.eras.current() > 0 && !self.is_verified() && !follows
    }

    /// Returns whether this host should write the restore record of the current era: everything
    /// that the restore has lost is in the store again.
    pub fn should_write_restore_record(&self) -> bool {
        let era = self.eras.current();
        era > self.recorded_era
            && self.is_reader()
            && self.routes_era == era
            && self.verification.is_settled(self.shared.clock.now())
    }

    /// Applies the era of the store's restore record, which was requested at `asked_at`.
    pub fn apply_restore_record(&mut self, recorded_era: StoreEra, asked_at: ClockMillis) {
        self.handle_new_era();
        self.recorded_era = self.recorded_era.max(recorded_era);
        if recorded_era == self.eras.current() {
            self.verification.record_restore_record(asked_at);
            self.publish();
        }
    }

    /// Returns how up to date this host's state is when it learns of a restore.
    ///
    /// A host that verifies others may have missed a revocation since its configuration was last
    /// confirmed. That time and the time until the operator has written again must not exceed the
    /// bound for revocations.
    fn state_age(&self, now: ClockMillis) -> StateAge {
        let Some(confirmed_at) = self.confirmed_at() else { return StateAge::Outdated };
        let bound = self.shared.profile.bounds.max_revocation_delay;
        let recent_limit =
            bound.map_or(REWRITE_GRACE_PERIOD, |bound| bound.saturating_sub(REWRITE_GRACE_PERIOD));
        let unconfirmed_time = now.since(confirmed_at);
        if unconfirmed_time <= recent_limit {
            StateAge::Recent
        } else if unconfirmed_time < bound.unwrap_or(REWRITE_GRACE_PERIOD) {
            StateAge::Unconfirmed
        } else {
            StateAge::Outdated
        }
    }

    /// Handles an era of the store that became known since the last call.
    pub(super) fn handle_new_era(&mut self) {
        let newest = self.eras.current_with_source();
        if newest.era == self.last_known_era {
            return;
        }
        let from = std::mem::replace(&mut self.last_known_era, newest.era);
        let now = self.shared.clock.now();
        self.verification.begin_era(newest.era, self.state_age(now), now);
        let age = self.confirmed_at().map(|confirmed_at| duration_millis(now.since(confirmed_at)));
        self.shared.metrics.store_era.set(i64::try_from(newest.era).unwrap_or(i64::MAX));
        let (to, teller) = (newest.era, newest.source);
        self.shared.events.write(HostEvent::StoreEra { from, to, teller, age });
    }
}
