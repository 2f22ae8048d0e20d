//! Requests under which engines ended, as all hosts add them up.

use std::sync::Arc;

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{QuarantineNews, shown_mark},
};

use crate::{
    control::{
        domain::GoneListener,
        sums::{FleetSum, SumContext},
    },
    events::HostEvent,
    host::SharedState,
    peers::{
        sum_frames::{CountFrame, SumFrame},
        suspect_lines::{read_suspects, write_suspects},
    },
};

/// Requests under which engines ended: every host keeps the same book, and the one that adds up tells all.
pub struct SuspectSum {
    shared: Arc<SharedState>,
}

impl SuspectSum {
    /// Starts with the host's book.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl FleetSum for SuspectSum {
    fn begin(&mut self, _: &SumContext<'_>) {
        self.tell_again();
    }

    fn end(&mut self) {}

    fn tell_again(&mut self) {
        self.shared.quarantine().tell_all_again();
    }

    fn tell(&mut self, frame: &mut CountFrame, context: &SumContext<'_>) -> bool {
        frame.suspects = write_suspects(&self.shared.quarantine().take_untold(context.now));
        !frame.suspects.is_empty()
    }

    fn was_told(&mut self, frame: &CountFrame, sent: bool) {
        if !sent {
            self.shared.quarantine().tell_again(&read_suspects(&frame.suspects));
        }
    }

    fn count(&mut self, host: &Arc<str>, frame: &CountFrame, context: &SumContext<'_>) {
        let mut book = self.shared.quarantine();
        if host == context.host {
            book.tell_again(&read_suspects(&frame.suspects));
        } else if !frame.suspects.is_empty() {
            book.heard(&read_suspects(&frame.suspects), true, context.now);
        }
    }

    fn greet(&mut self, _: &Arc<str>, frame: &mut SumFrame, context: &SumContext<'_>) {
        frame.suspects = write_suspects(&self.shared.quarantine().words_for_all(context.now));
    }

    fn left(&mut self, _: &GoneListener, _: &SumContext<'_>) {}

    fn spread(&mut self, frame: &mut SumFrame, _: bool, context: &SumContext<'_>) {
        let mut book = self.shared.quarantine();
        book.spread_own();
        frame.suspects = write_suspects(&book.take_unspread(context.now));
    }

    fn hear(&mut self, frame: &SumFrame, context: &SumContext<'_>) {
        if !frame.suspects.is_empty() {
            let words = read_suspects(&frame.suspects);
            self.shared.quarantine().heard(&words, false, context.now);
        }
    }

    fn tick(&mut self, _: &SumContext<'_>) {
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
