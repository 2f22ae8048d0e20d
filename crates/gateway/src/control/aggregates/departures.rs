//! Departures of engines. The host that receives an announcement reports it, and the coordinator
//! publishes it to all.

use std::sync::Arc;

use reelreel_core::fleet::departures::DepartureReport;

use crate::{
    control::{
        aggregates::{AggregateContext, FleetAggregate},
        domain::RemovedSubscriber,
    },
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        departure_messages::DepartureMessage,
    },
};

/// Departures of engines; each host keeps them in a registry of its own.
pub struct DepartureAggregate {
    shared: Arc<SharedState>,
}

impl DepartureAggregate {
    /// Uses the host's registry.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn receive_messages(&self, messages: &[DepartureMessage], context: &AggregateContext<'_>) {
        if !messages.is_empty() {
            self.shared.departures().receive(&reports(messages), context.now);
            self.shared.wake_control.notify_one();
        }
    }
}

fn reports(messages: &[DepartureMessage]) -> Vec<DepartureReport> {
    messages.iter().map(Into::into).collect()
}

fn messages(reports: &[DepartureReport]) -> Vec<DepartureMessage> {
    reports.iter().map(Into::into).collect()
}

impl FleetAggregate for DepartureAggregate {
    fn start_coordinating(&mut self, _: &AggregateContext<'_>) {
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {}

    fn resend_all(&mut self) {
        self.shared.departures().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        frame.departures = messages(&self.shared.departures().take_pending(context.now));
        !frame.departures.is_empty()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            self.shared.departures().resend(&reports(&frame.departures));
        }
    }

    fn add_report(
        &mut self,
        _: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        self.receive_messages(&frame.departures, context);
    }

    fn snapshot(
        &mut self,
        _: &Arc<str>,
        frame: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    ) {
        frame.departures = messages(&self.shared.departures().snapshot(context.now));
    }

    fn handle_unsubscribe(&mut self, _: &RemovedSubscriber, _: &AggregateContext<'_>) {}

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &AggregateContext<'_>) {
        frame.departures = messages(&self.shared.departures().take_unpublished(context.now));
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        self.receive_messages(&frame.departures, context);
    }
}
