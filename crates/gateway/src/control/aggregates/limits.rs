//! Permits for engines with a declared limit.

use std::{collections::BTreeMap, sync::Arc};

use reelreel_core::{
    ClockMillis,
    fleet::limits::{
        events::LimitEvent, ledger::LimitLedger, limit::RequestLimit, report::PermitGrant,
        share::LimitUpdate,
    },
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
        limit_messages::decode_limits,
    },
};

/// Permits for engines with a declared limit: the ledger on the coordinator, and this host's share.
pub struct LimitAggregate {
    shared: Arc<SharedState>,
    ledger: Option<LimitLedger>,
    /// Grants not yet sent, by host.
    unsent_grants: BTreeMap<Arc<str>, Vec<PermitGrant>>,
}

impl LimitAggregate {
    /// Starts without a ledger.
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared, ledger: None, unsent_grants: BTreeMap::new() }
    }
}

/// Decodes a host's report to the ledger.
fn update(frame: &HostReportFrame) -> LimitUpdate {
    LimitUpdate {
        reports: decode_limits(&frame.limits),
        demands: frame.permit_demands.iter().map(Into::into).collect(),
    }
}

impl FleetAggregate for LimitAggregate {
    fn start_coordinating(&mut self, _: &AggregateContext<'_>) {
        self.ledger = Some(LimitLedger::default());
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {
        self.ledger = None;
        self.unsent_grants.clear();
    }

    fn resend_all(&mut self) {
        self.shared.limits().resend_all();
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        let update = self.shared.limits().take_pending(context.now);
        frame.limits = update.reports.iter().map(Into::into).collect();
        frame.permit_demands = update.demands.iter().map(Into::into).collect();
        update != LimitUpdate::default()
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if !sent {
            self.shared.limits().resend(&update(frame));
        }
    }

    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        let Some(ledger) = &mut self.ledger else { return };
        let LimitUpdate { reports, demands } = update(frame);
        for report in &reports {
            ledger.receive(report, context.now);
        }
        for (engine, demand) in &demands {
            ledger.receive_demand(host, engine, demand, context.now);
        }
    }

    fn snapshot(
        &mut self,
        host: &Arc<str>,
        frame: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    ) {
        if let Some(ledger) = &mut self.ledger {
            ledger.reset_host(host);
            frame.limits = ledger.snapshot(context.now).iter().map(Into::into).collect();
        }
    }

    fn handle_unsubscribe(&mut self, subscriber: &RemovedSubscriber, _: &AggregateContext<'_>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.reset_host(&subscriber.host);
        }
        self.unsent_grants.remove(&subscriber.host);
    }

    fn publish(&mut self, frame: &mut AggregateFrame, _: bool, context: &AggregateContext<'_>) {
        let Some(ledger) = &mut self.ledger else { return };
        let now = context.now;
        ledger.retain(|engine| context.active_incarnation(engine), now);
        ledger.set_confirmed(context.confirmed);
        let limit_changes = ledger.take_changes(now);
        frame.limits = limit_changes.iter().map(Into::into).collect();
        let mut granted = ledger.grant_permits(now);
        let own_grants = granted.remove(context.host).unwrap_or_default();
        self.unsent_grants.append(&mut granted);
        let mut share = self.shared.limits();
        share.record_ledger_frame(now);
        for report in &limit_changes {
            share.receive(report, now);
        }
        let has_updates = share.receive_grants(&own_grants, now) || !limit_changes.is_empty();
        drop(share);
        if has_updates {
            self.shared.permits_changed();
        }
    }

    fn replies(&mut self) -> Vec<(Arc<str>, AggregateFrame)> {
        let granted = std::mem::take(&mut self.unsent_grants).into_iter();
        let frame = |grants: Vec<PermitGrant>| AggregateFrame {
            grants: grants.iter().map(Into::into).collect(),
            ..AggregateFrame::default()
        };
        granted.map(|(host, grants)| (host, frame(grants))).collect()
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        let grants: Vec<PermitGrant> = frame.grants.iter().map(Into::into).collect();
        let mut share = self.shared.limits();
        share.record_ledger_frame(context.now);
        for report in decode_limits(&frame.limits) {
            share.receive(&report, context.now);
        }
        let changed = share.receive_grants(&grants, context.now) || !frame.limits.is_empty();
        drop(share);
        if changed {
            self.shared.permits_changed();
        }
    }

    fn tick(&mut self, context: &AggregateContext<'_>) {
        let mut share = self.shared.limits();
        share.retain(|engine| context.active_incarnation(engine), context.now);
        let changed = share
            .grant_fallback_permits(|engine| context.is_fallback_coordinator(engine), context.now);
        let limited_count = i64::try_from(share.limited_count()).unwrap_or(i64::MAX);
        let events = share.take_events(context.now);
        drop(share);
        self.shared.metrics.limited_engines.set(limited_count);
        for event in events {
            self.shared.events.write(event.into());
        }
        if changed {
            self.shared.permits_changed();
        }
    }

    fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        self.ledger.as_ref()?.next_due(now)
    }
}

impl From<LimitEvent> for HostEvent {
    fn from(event: LimitEvent) -> Self {
        match event {
            LimitEvent::Limited { engine, incarnation, limit, previous } => Self::EngineLimited {
                engine: engine.to_string(),
                incarnation,
                limit: limit.rate(),
                max_open: limit.max_open(),
                before: previous.and_then(RequestLimit::rate),
            },
            LimitEvent::Ended { engine, limit } => {
                let (limit, max_open) = (limit.rate(), limit.max_open());
                Self::LimitEnded { engine: engine.to_string(), limit, max_open }
            }
            LimitEvent::Unreadable { engine, responses } => {
                Self::LimitUnreadable { engine: engine.to_string(), answers: responses }
            }
        }
    }
}
