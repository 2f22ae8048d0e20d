//! How recently this host's configuration was known to be the latest, for itself and its followers.

use reelreel_core::{ClockMillis, clock::duration_millis};

use crate::{
    control::state::ControlState,
    events::HostEvent,
    peers::state_frames::{ClockMessage, StateFrame},
};

impl ControlState {
    /// Records that the configuration was the latest at a time of this host's clock.
    ///
    /// Must be called only after everything up to that time has been published. A store that was
    /// restored confirms nothing to a host whose state is not verified.
    pub(super) fn confirm_configuration(&mut self, confirmed_at: ClockMillis) {
        if !self.verification.is_confirmed_by_read(confirmed_at) {
            return;
        }
        self.freshness.confirm(confirmed_at, self.shared.clock.now());
        self.shared.accept_keys_until(self.freshness.keys_valid_until());
        self.update_freshness();
    }

    /// Updates the freshness state, and logs when keys start or stop being served.
    pub(super) fn update_freshness(&mut self) {
        let now = self.shared.clock.now();
        self.freshness.tick(now);
        let state = self.freshness.state();
        if std::mem::replace(&mut self.logged_freshness, state) == state {
            return;
        }
        let age = self
            .freshness
            .confirmed_at()
            .map(|confirmed_at| duration_millis(now.since(confirmed_at)));
        self.shared.events.write(HostEvent::Freshness { state: state.name().into(), age });
    }

    /// Returns the latest time, by this host's clock, at which the configuration was known to be
    /// the latest.
    pub fn confirmed_at(&self) -> Option<ClockMillis> {
        self.freshness.confirmed_at()
    }

    /// Returns a frame with the freshness of the configuration that this host passes on.
    pub fn freshness_frame(&self) -> StateFrame {
        let confirmed = self.confirmed_at().map_or(0, ClockMillis::as_millis);
        let verified = self.verification.verifies_others();
        StateFrame { confirmed_at: confirmed, verified, ..self.era_frame() }
    }

    /// Returns a frame with nothing but the newest known era of the store.
    fn era_frame(&self) -> StateFrame {
        StateFrame { era: self.eras.current(), ..StateFrame::default() }
    }

    /// Returns the response to a peer's request for this host's clock, without configuration.
    pub fn clock_frame(&self, requested_at: u64) -> StateFrame {
        StateFrame { clock: Some(self.clock_message(requested_at)), ..self.era_frame() }
    }

    /// Returns this host's clock reading as a response to a peer's request.
    pub fn clock_message(&self, requested_at: u64) -> ClockMessage {
        ClockMessage { requested_at, now: self.shared.clock.now().as_millis() }
    }
}
