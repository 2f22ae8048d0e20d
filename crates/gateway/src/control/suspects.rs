//! What hosts tell each other of requests under which engines ended.
//!
//! The placer of the first service with models adds up what all hosts count: they tell it of their demand already, and it
//! tells them its plan. Where no service holds models each host counts for itself.

use std::sync::Arc;

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{
        ServiceName,
        quarantine::{QuarantineNews, shown_mark},
    },
};

use crate::{
    control::state::ControlState,
    events::HostEvent,
    peers::suspect_lines::{SuspectLine, read_suspects, write_suspects},
};

impl ControlState {
    /// Returns the service whose placer adds up under which requests engines ended.
    pub(super) fn suspects_service(&self) -> Option<ServiceName> {
        let services = self.routes.as_ref()?.hosting_services();
        services.map(|service| &service.name).min().map(Arc::clone)
    }

    /// Returns whether this host adds up what all hosts say.
    fn adds_up(&self) -> bool {
        let domain = self.suspects_service().and_then(|service| self.domains.get(&service));
        domain.is_some_and(|domain| domain.planner.is_some())
    }

    /// Tells the host that adds up, or all others where this one does.
    pub(super) fn tell_suspects(&mut self, now: ClockMillis) {
        let Some(service) = self.suspects_service() else { return };
        let shared = Arc::clone(&self.shared);
        let Some(domain) = self.domains.get_mut(&service) else { return };
        let mut book = shared.quarantine();
        if domain.planner.is_some() {
            book.spread_own();
            let words = book.take_unspread(now);
            domain.spread_suspects(write_suspects(&words), now);
            return;
        }
        let words = book.take_untold(now);
        if !domain.tell_suspects(&shared.profile.name, write_suspects(&words)) {
            book.tell_again(&words);
        }
    }

    /// Takes what another host says of requests under which engines ended.
    pub(super) fn suspects_heard(&self, lines: &[SuspectLine], now: ClockMillis) {
        if !lines.is_empty() {
            let adds_up = self.adds_up();
            self.shared.quarantine().heard(&read_suspects(lines), adds_up, now);
            self.shared.wake_control.notify_one();
        }
    }

    /// Returns what a host that begins to listen to a service's placer is told.
    pub(super) fn suspects_for_all(&self, service: &str, now: ClockMillis) -> Vec<SuspectLine> {
        let adds_up = self.suspects_service().is_some_and(|summing| &*summing == service);
        if !adds_up {
            return Vec::new();
        }
        write_suspects(&self.shared.quarantine().words_for_all(now))
    }

    /// Makes all suspects be told again where a service's placer is another one now.
    pub fn tell_suspects_again(&self, service: &str) {
        if self.suspects_service().is_some_and(|summing| &*summing == service) {
            self.shared.quarantine().tell_all_again();
        }
    }

    /// Logs what became of suspects.
    pub(super) fn log_suspects(&self) {
        let news = self.shared.quarantine().take_news();
        for news in news {
            self.shared.events.write(match news {
                QuarantineNews::Held { mark, organisation, ends, time } => HostEvent::RequestHeld {
                    mark: shown_mark(mark),
                    organisation: organisation.map(|name| name.to_string()),
                    ends,
                    millis: duration_millis(time),
                },
                QuarantineNews::Cleared { mark } => {
                    HostEvent::RequestCleared { mark: shown_mark(mark) }
                }
            });
        }
    }
}
