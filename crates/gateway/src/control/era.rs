//! What this host does when the store comes back from an older copy of itself.

use reelreel_core::{StorePosition, clock::duration_millis};

use crate::{control::state::ControlState, events::HostEvent, store::eras::StoreEras};

impl ControlState {
    /// Returns the newest era of the store that this host has heard of.
    pub const fn eras(&self) -> &StoreEras {
        &self.eras
    }

    /// Shows how far this host knows the store's topics.
    pub(super) fn show_positions(&self) {
        let metrics = &self.shared.metrics;
        let offset = |end: StorePosition| i64::try_from(end.offset).unwrap_or(i64::MAX);
        metrics.configuration_read_to.set(offset(self.configuration.end()));
        metrics.engines_read_to.set(offset(self.engine_records.end()));
    }

    /// Takes into account an era of the store that was heard of since the last call.
    pub(super) fn note_era(&mut self) {
        let heard = self.eras.newest();
        if heard.era == self.noted_era {
            return;
        }
        let from = std::mem::replace(&mut self.noted_era, heard.era);
        let now = self.shared.clock.now();
        let age = self.confirmed_at().map(|moment| duration_millis(now.since(moment)));
        self.shared.metrics.store_era.set(i64::try_from(heard.era).unwrap_or(i64::MAX));
        let (to, teller) = (heard.era, heard.teller);
        self.shared.events.write(HostEvent::StoreEra { from, to, teller, age });
    }
}
