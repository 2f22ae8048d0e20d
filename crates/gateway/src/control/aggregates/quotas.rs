//! Usage of the organisations' quotas by all hosts.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::routes::{ConfigRevision, RouteTable},
    organisation::{
        ledger::QuotaLedger,
        share::{OpeningLevel, QuotaLevel, QuotaUsage},
    },
};

use crate::{
    control::{
        aggregates::{AggregateContext, FleetAggregate},
        domain::RemovedSubscriber,
    },
    host::SharedState,
    peers::aggregate_frames::{AggregateFrame, HostReportFrame, QuotaLevelsMessage},
    profile::OperatorBounds,
};

/// Interval at which a host reports to the ledger even without usage, so that a disconnected host
/// is noticed.
const LEDGER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two frames with quota levels while an organisation's quota is nearly used
/// up. Hosts report usage within 50 ms, so the levels are at most 110 ms old when the next frame
/// arrives.
const MIN_LOW_LEVEL_INTERVAL: Duration = Duration::from_millis(60);

/// The ledger, with the revision of the configuration that its limits are from.
struct ConfiguredLedger {
    quotas: QuotaLedger,
    revision: Option<ConfigRevision>,
}

impl ConfiguredLedger {
    /// Creates a ledger whose accounts open at this level.
    fn new(bounds: &OperatorBounds, opening_level: OpeningLevel) -> Self {
        let unreachable_serving_time =
            bounds.max_revocation_delay.unwrap_or(bounds.quota_tolerance.window);
        let tolerance = bounds.quota_tolerance;
        let quotas = QuotaLedger::opening_at(opening_level, tolerance, unreachable_serving_time);
        Self { quotas, revision: None }
    }

    /// Applies the limits of the configuration in force.
    fn update_limits(&mut self, routes: Option<&RouteTable>, now: ClockMillis) {
        let revision = routes.map(RouteTable::revision);
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        if routes.is_some_and(RouteTable::has_tight_timeouts) {
            self.quotas.limit_windows();
        }
        if let Some(organisations) = routes.and_then(RouteTable::organisations) {
            self.quotas.set_limits(organisations, now);
        }
    }
}

/// Usage of the organisations' quotas: the ledger on the coordinator, and this host's part.
pub struct QuotaAggregate {
    shared: Arc<SharedState>,
    ledger: Option<ConfiguredLedger>,
    /// When this host last reported to the ledger.
    reported_at: ClockMillis,
    /// When low quota levels were last published.
    published_at: ClockMillis,
}

impl QuotaAggregate {
    /// Starts without a ledger.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let never = ClockMillis::default();
        Self { shared, ledger: None, reported_at: never, published_at: never }
    }
}

/// Returns whether any organisation may have a quota.
fn has_quotas(context: &AggregateContext<'_>) -> bool {
    context.routes.is_some_and(|routes| routes.organisations().is_some())
}

impl FleetAggregate for QuotaAggregate {
    fn start_coordinating(&mut self, context: &AggregateContext<'_>) {
        let opening_level = self.shared.quotas().opening_level();
        let mut ledger = ConfiguredLedger::new(&self.shared.profile.bounds, opening_level);
        // The accounts must exist before this host reports its levels to them.
        ledger.update_limits(context.routes, context.now);
        self.ledger = Some(ledger);
        self.resend_all();
    }

    fn stop_coordinating(&mut self) {
        self.ledger = None;
    }

    fn resend_all(&mut self) {
        self.shared.quotas().resend_levels(self.shared.clock.now());
    }

    fn report(&mut self, frame: &mut HostReportFrame, context: &AggregateContext<'_>) -> bool {
        if !has_quotas(context) {
            return false;
        }
        frame.usage = self.shared.quotas().unreported().iter().map(Into::into).collect();
        let due = !frame.usage.is_empty()
            || context.now.since(self.reported_at) >= LEDGER_HEARTBEAT_INTERVAL;
        if due {
            self.reported_at = context.now;
        }
        due
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if sent {
            let reported: Vec<QuotaUsage> = frame.usage.iter().map(Into::into).collect();
            self.shared.quotas().acknowledge(&reported);
        }
    }

    fn add_report(
        &mut self,
        host: &Arc<str>,
        frame: &HostReportFrame,
        context: &AggregateContext<'_>,
    ) {
        if let Some(ledger) = &mut self.ledger {
            let usage: Vec<QuotaUsage> = frame.usage.iter().map(Into::into).collect();
            ledger.quotas.record_usage(host, &usage, context.now);
        }
    }

    fn snapshot(
        &mut self,
        host: &Arc<str>,
        _: &mut AggregateFrame,
        context: &AggregateContext<'_>,
    ) {
        if let Some(ledger) = &mut self.ledger {
            ledger.quotas.mark_reachable(host, context.now);
        }
    }

    fn handle_unsubscribe(
        &mut self,
        subscriber: &RemovedSubscriber,
        context: &AggregateContext<'_>,
    ) {
        let Some(ledger) = &mut self.ledger else { return };
        match subscriber.unreachable_among {
            // The host may still be serving, so its share is reserved.
            Some(hosts) => ledger.quotas.mark_unreachable(&subscriber.host, hosts, context.now),
            None => ledger.quotas.remove_host(&subscriber.host),
        }
    }

    fn publish(&mut self, frame: &mut AggregateFrame, due: bool, context: &AggregateContext<'_>) {
        let Some(ledger) = self.ledger.as_mut().filter(|_| has_quotas(context)) else { return };
        ledger.update_limits(context.routes, context.now);
        let low_levels = ledger.quotas.low_levels(context.now);
        self.shared.quotas().apply_ledger_levels(&low_levels, context.now);
        let levels_due = !low_levels.is_empty()
            && context.now.since(self.published_at) >= MIN_LOW_LEVEL_INTERVAL;
        if due || levels_due {
            self.published_at = context.now;
            frame.quotas =
                Some(QuotaLevelsMessage { levels: low_levels.iter().map(Into::into).collect() });
        }
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &AggregateContext<'_>) {
        if let Some(quotas) = &frame.quotas {
            let low_levels: Vec<QuotaLevel> = quotas.levels.iter().map(Into::into).collect();
            self.shared.quotas().apply_ledger_levels(&low_levels, context.now);
        }
    }
}
