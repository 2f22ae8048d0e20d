//! Requests under which engines ended, as all hosts add them up.

use std::sync::Arc;

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{QuarantineEvent, format_mark},
};

use crate::{
    control::{
        domain::RemovedSubscriber,
        sums::{FleetSum, SumContext},
    },
    events::HostEvent,
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        suspect_messages::{decode_suspects, encode_suspects},
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
        self.resend_all();
    }

    fn end(&mut self) {}

    fn resend_all(&mut self) {
        self.shared.quarantine().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &SumContext<'_>) -> bool {
        frame.suspects = encode_suspects(&self.shared.quarantine().take_pending(context.now));
        !frame.suspects.is_empty()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            self.shared.quarantine().resend(&decode_suspects(&frame.suspects));
        }
    }

    fn count(&mut self, host: &Arc<str>, frame: &HostReportFrame, context: &SumContext<'_>) {
        let mut book = self.shared.quarantine();
        if host == context.host {
            book.resend(&decode_suspects(&frame.suspects));
        } else if !frame.suspects.is_empty() {
            book.receive(&decode_suspects(&frame.suspects), true, context.now);
        }
    }

    fn snapshot(&mut self, _: &Arc<str>, frame: &mut AggregateFrame, context: &SumContext<'_>) {
        frame.suspects = encode_suspects(&self.shared.quarantine().snapshot(context.now));
    }

    fn unsubscribed(&mut self, _: &RemovedSubscriber, _: &SumContext<'_>) {}

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &SumContext<'_>) {
        let mut book = self.shared.quarantine();
        book.publish_own();
        frame.suspects = encode_suspects(&book.take_unpublished(context.now));
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &SumContext<'_>) {
        if !frame.suspects.is_empty() {
            let reports = decode_suspects(&frame.suspects);
            self.shared.quarantine().receive(&reports, false, context.now);
        }
    }

    fn tick(&mut self, _: &SumContext<'_>) {
        let news = self.shared.quarantine().take_events();
        for news in news {
            self.shared.events.write(match news {
                QuarantineEvent::Quarantined { mark, organisation, crashes, duration } => {
                    HostEvent::RequestHeld {
                        mark: format_mark(mark),
                        organisation: organisation.map(|name| name.to_string()),
                        ends: crashes,
                        millis: duration_millis(duration),
                    }
                }
                QuarantineEvent::Cleared { mark } => {
                    HostEvent::RequestCleared { mark: format_mark(mark) }
                }
            });
        }
    }
}
