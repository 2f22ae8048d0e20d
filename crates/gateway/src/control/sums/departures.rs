//! Departures of engines: the host that receives an announcement reports it, and the coordinator publishes it to all.

use std::sync::Arc;

use reelreel_core::fleet::departures::DepartureReport;

use crate::{
    control::{
        domain::GoneListener,
        sums::{FleetSum, SumContext},
    },
    host::SharedState,
    peers::{
        departure_lines::DepartureLine,
        sum_frames::{CountFrame, SumFrame},
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

    fn receive(&self, lines: &[DepartureLine], context: &SumContext<'_>) {
        if !lines.is_empty() {
            self.shared.departures().receive(&reports(lines), context.now);
            self.shared.wake_control.notify_one();
        }
    }
}

fn reports(lines: &[DepartureLine]) -> Vec<DepartureReport> {
    lines.iter().map(Into::into).collect()
}

fn lines(reports: &[DepartureReport]) -> Vec<DepartureLine> {
    reports.iter().map(Into::into).collect()
}

impl FleetSum for DepartureSum {
    fn begin(&mut self, _: &SumContext<'_>) {
        self.tell_again();
    }

    fn end(&mut self) {}

    fn tell_again(&mut self) {
        self.shared.departures().resend_all();
    }

    fn tell(&mut self, frame: &mut CountFrame, context: &SumContext<'_>) -> bool {
        frame.departures = lines(&self.shared.departures().take_pending(context.now));
        !frame.departures.is_empty()
    }

    fn was_told(&mut self, frame: &CountFrame, sent: bool) {
        if !sent {
            self.shared.departures().resend(&reports(&frame.departures));
        }
    }

    fn count(&mut self, _: &Arc<str>, frame: &CountFrame, context: &SumContext<'_>) {
        self.receive(&frame.departures, context);
    }

    fn greet(&mut self, _: &Arc<str>, frame: &mut SumFrame, context: &SumContext<'_>) {
        frame.departures = lines(&self.shared.departures().snapshot(context.now));
    }

    fn left(&mut self, _: &GoneListener, _: &SumContext<'_>) {}

    fn spread(&mut self, frame: &mut SumFrame, _: bool, context: &SumContext<'_>) {
        frame.departures = lines(&self.shared.departures().take_unpublished(context.now));
    }

    fn hear(&mut self, frame: &SumFrame, context: &SumContext<'_>) {
        self.receive(&frame.departures, context);
    }
}
