//! How new this host's configuration is known to be, for its own traffic and for those that follow it.

use reelreel_core::{ClockMillis, clock::duration_millis};

use crate::{
    control::state::ControlState,
    events::HostEvent,
    peers::state_frames::{ClockMessage, StateFrame},
};

impl ControlState {
    /// Takes that the configuration was the newest one at a moment of this host's clock.
    ///
    /// Called only after what was published holds everything up to that moment.
    pub(super) fn configuration_confirmed(&mut self, moment: ClockMillis) {
        self.freshness.confirm(moment, self.shared.clock.now());
        self.shared.accept_keys_until(self.freshness.keys_valid_until());
        self.tell_freshness();
    }

    /// Logs when keys begin or cease to be served, and keeps the state up to date.
    pub(super) fn tell_freshness(&mut self) {
        let now = self.shared.clock.now();
        self.freshness.tick(now);
        let state = self.freshness.state();
        if std::mem::replace(&mut self.told_freshness, state) == state {
            return;
        }
        let age = self.freshness.confirmed_at().map(|moment| duration_millis(now.since(moment)));
        self.shared.events.write(HostEvent::Freshness { state: state.name().into(), age });
    }

    /// Returns the moment up to which the configuration is known to have been the newest, by this host's clock.
    pub fn confirmed_at(&self) -> Option<ClockMillis> {
        self.freshness.confirmed_at()
    }

    /// Returns how new the configuration is that this host passes on.
    pub fn fresh_frame(&self) -> StateFrame {
        let confirmed = self.confirmed_at().map_or(0, ClockMillis::as_millis);
        StateFrame { confirmed_at: confirmed, ..self.era_frame() }
    }

    /// Returns a frame that says nothing but which era of the store this host knows.
    fn era_frame(&self) -> StateFrame {
        StateFrame { era: self.eras.current(), ..StateFrame::default() }
    }

    /// Answers a peer's ask with what this host's clock shows, and nothing of the configuration.
    pub fn clock_frame(&self, asked: u64) -> StateFrame {
        StateFrame { clock: Some(self.clock_line(asked)), ..self.era_frame() }
    }

    /// Answers a peer's ask with what this host's clock shows.
    pub fn clock_line(&self, asked: u64) -> ClockMessage {
        ClockMessage { requested_at: asked, now: self.shared.clock.now().as_millis() }
    }
}
