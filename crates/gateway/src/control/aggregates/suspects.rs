//! Requests that may have crashed engines, aggregated over all hosts.

use std::sync::Arc;

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{QuarantineEvent, format_mark},
};

use crate::{
    control::{
        aggregates::{AggregateContext, FleetAggregate},
        domain::RemovedSubscriber,
    },
    events::HostEvent,
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        suspect_messages::{decode_suspects, encode_suspects},
    },
};

/// Requests that may have crashed engines. Every host keeps the same quarantine, and the
/// coordinator publishes changes to all.
pub struct SuspectAggregate {
    shared: Arc<SharedState>,
}

impl SuspectAggregate {
    /// Uses the host's quarantine.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl FleetAggregate for SuspectAggregate {
    fn start_coordinating(&mut self, _: &AggregateContext<'_>) {
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {}

    fn resend_all(&mut self) {
        self.shared.quarantine().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        frame.suspects = encode_suspects(&self.shared.quarantine().take_pending(context.now));
        !frame.suspects.is_empty()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            self.shared.quarantine().resend(&decode_suspects(&frame.suspects));
        }
    }

    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        let mut quarantine = self.shared.quarantine();
        if host == context.host {
            quarantine.resend(&decode_suspects(&frame.suspects));
        } else if !frame.suspects.is_empty() {
            quarantine.receive(&decode_suspects(&frame.suspects), true, context.now);
        }
    }

    fn snapshot(
        &mut self,
        _: &Arc<str>,
        frame: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    ) {
        frame.suspects = encode_suspects(&self.shared.quarantine().snapshot(context.now));
    }

    fn handle_unsubscribe(&mut self, _: &RemovedSubscriber, _: &AggregateContext<'_>) {}

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &AggregateContext<'_>) {
        let mut quarantine = self.shared.quarantine();
        quarantine.publish_own();
        frame.suspects = encode_suspects(&quarantine.take_unpublished(context.now));
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        if !frame.suspects.is_empty() {
            let reports = decode_suspects(&frame.suspects);
            self.shared.quarantine().receive(&reports, false, context.now);
        }
    }

    fn tick(&mut self, _: &AggregateContext<'_>) {
        let events = self.shared.quarantine().take_events();
        let is_quarantined = |event| matches!(event, &QuarantineEvent::Quarantined { .. });
        if events.iter().any(is_quarantined) {
            self.shared.quarantine_changes.send_replace(());
        }
        for event in events {
            self.shared.events.write(match event {
                QuarantineEvent::Quarantined { suspect, organisation, crashes, duration } => {
                    HostEvent::RequestHeld {
                        mark: format_mark(suspect.mark),
                        kind: suspect.kind.into(),
                        organisation: organisation.map(|name| name.to_string()),
                        ends: crashes,
                        millis: duration_millis(duration),
                    }
                }
                QuarantineEvent::Cleared { suspect } => HostEvent::RequestCleared {
                    mark: format_mark(suspect.mark),
                    kind: suspect.kind.into(),
                },
            });
        }
    }
}
