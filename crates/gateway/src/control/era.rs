//! What this host does when the store comes back from an older copy of itself.

use reelreel_core::{
    ClockMillis, StorePosition, clock::duration_millis, fleet::stale_listing::REWRITE_GRACE_PERIOD,
};

use crate::{control::state::ControlState, events::HostEvent, store::era::EraTracker};

impl ControlState {
    /// Returns the newest era of the store that this host has heard of.
    pub const fn eras(&self) -> &EraTracker {
        &self.eras
    }

    /// Shows how far this host knows the store's topics.
    pub(super) fn show_positions(&self) {
        let metrics = &self.shared.metrics;
        let offset = |end: StorePosition| i64::try_from(end.offset).unwrap_or(i64::MAX);
        metrics.configuration_read_to.set(offset(self.configuration.end()));
        metrics.engines_read_to.set(offset(self.engine_records.end()));
    }

    /// Takes note whether this host may serve by what it has read from the store; once it may it always may.
    ///
    /// A store that ever came back from an older copy may have done so just now, and then lists keys and routes that were withdrawn
    /// since. A host that has just started can not know; any peer can, or the operator, who writes again within some seconds. Where the
    /// store never fell, and where a peer answers, nothing is waited for.
    pub(super) fn note_trust(&mut self, now: ClockMillis) {
        let fell = self.eras.current() > 0;
        let waited = now.since(self.started) >= REWRITE_GRACE_PERIOD;
        if !self.trusted && self.is_complete() && (!fell || self.has_heard_peer() || waited) {
            self.trusted = true;
            self.changed = true;
        }
    }

    /// Takes into account an era of the store that was heard of since the last call.
    pub(super) fn note_era(&mut self) {
        let heard = self.eras.current_with_source();
        if heard.era == self.noted_era {
            return;
        }
        let from = std::mem::replace(&mut self.noted_era, heard.era);
        let now = self.shared.clock.now();
        let age = self.confirmed_at().map(|moment| duration_millis(now.since(moment)));
        self.shared.metrics.store_era.set(i64::try_from(heard.era).unwrap_or(i64::MAX));
        let (to, teller) = (heard.era, heard.source);
        self.shared.events.write(HostEvent::StoreEra { from, to, teller, age });
    }
}
