//! Departures of engines: the host that receives an announcement reports it, and the coordinator publishes it to all.

use std::sync::Arc;

use reelreel_core::fleet::departures::DepartureReport;

use crate::{
    control::{
        domain::RemovedSubscriber,
        sums::{FleetSum, SumContext},
    },
    host::SharedState,
    peers::{
        aggregate_frames::{AggregateFrame, HostReportFrame},
        departure_messages::DepartureMessage,
    },
};

/// Departures of engines, which every host keeps in a registry of its own.
pub struct DepartureSum {
    shared: Arc<SharedState>,
}

impl DepartureSum {
    /// Starts with the host's registry.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn take_lines(&self, lines: &[DepartureMessage], context: &SumContext<'_>) {
        if !lines.is_empty() {
            self.shared.departures().receive(&reports(lines), context.now);
            self.shared.wake_control.notify_one();
        }
    }
}

fn reports(lines: &[DepartureMessage]) -> Vec<DepartureReport> {
    lines.iter().map(Into::into).collect()
}

fn lines(reports: &[DepartureReport]) -> Vec<DepartureMessage> {
    reports.iter().map(Into::into).collect()
}

impl FleetSum for DepartureSum {
    fn begin(&mut self, _: &SumContext<'_>) {
        self.resend_all();
    }

    fn end(&mut self) {}

    fn resend_all(&mut self) {
        self.shared.departures().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &SumContext<'_>) -> bool {
        frame.departures = lines(&self.shared.departures().take_pending(context.now));
        !frame.departures.is_empty()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            self.shared.departures().resend(&reports(&frame.departures));
        }
    }

    fn count(&mut self, _: &Arc<str>, frame: &HostReportFrame, context: &SumContext<'_>) {
        self.take_lines(&frame.departures, context);
    }

    fn snapshot(&mut self, _: &Arc<str>, frame: &mut AggregateFrame, context: &SumContext<'_>) {
        frame.departures = lines(&self.shared.departures().snapshot(context.now));
    }

    fn unsubscribed(&mut self, _: &RemovedSubscriber, _: &SumContext<'_>) {}

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &SumContext<'_>) {
        frame.departures = lines(&self.shared.departures().take_unpublished(context.now));
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &SumContext<'_>) {
        self.take_lines(&frame.departures, context);
    }
}
