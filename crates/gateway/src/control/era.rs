//! Handling of a store that was restored from an older copy.

use reelreel_core::{
    ClockMillis, StorePosition, clock::duration_millis, fleet::stale_listing::REWRITE_GRACE_PERIOD,
};

use crate::{control::state::ControlState, events::HostEvent, store::era::EraTracker};

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
    /// A store that was ever restored may have been restored just now and then lists keys and
    /// routes that have been revoked since. A host that has just started cannot tell. It waits for
    /// the state of a peer, or for [`REWRITE_GRACE_PERIOD`], within which the operator writes
    /// again. If the store was never restored, it does not wait.
    pub(super) fn update_may_serve(&mut self, now: ClockMillis) {
        if self.may_serve || !self.is_complete() {
            return;
        }
        let waited = now.since(self.started_at);
        let (cause, peer) = if self.eras.current() == 0 {
            ("never_restored", None)
        } else if let Some(peer) = self.peer_state_source {
            ("peer_state", Some(peer))
        } else if waited >= REWRITE_GRACE_PERIOD {
            ("grace_period", None)
        } else {
            return;
        };
        self.may_serve = true;
        self.table_changed = true;
        let (cause, age) = (cause.into(), duration_millis(waited));
        self.shared.events.write(HostEvent::ServingStarted { cause, peer, age });
    }

    /// Handles an era of the store that became known since the last call.
    pub(super) fn handle_new_era(&mut self) {
        let newest = self.eras.current_with_source();
        if newest.era == self.last_known_era {
            return;
        }
        let from = std::mem::replace(&mut self.last_known_era, newest.era);
        let now = self.shared.clock.now();
        let age = self.confirmed_at().map(|confirmed_at| duration_millis(now.since(confirmed_at)));
        self.shared.metrics.store_era.set(i64::try_from(newest.era).unwrap_or(i64::MAX));
        let (to, teller) = (newest.era, newest.source);
        self.shared.events.write(HostEvent::StoreEra { from, to, teller, age });
    }
}
