//! What all hosts grant of the organisations' quotas.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::routes::{ConfigRevision, RouteTable},
    organisation::{
        ledger::QuotaLedger,
        share::{QuotaLevel, QuotaUsage},
    },
};

use crate::{
    control::{
        domain::RemovedSubscriber,
        sums::{FleetSum, SumContext},
    },
    host::SharedState,
    peers::aggregate_frames::{AggregateFrame, HostReportFrame, QuotaLevelsMessage},
    profile::OperatorBounds,
};

/// How often a host tells the ledger anything, so that its silence shows when it is cut off.
const LEDGER_WORD: Duration = Duration::from_millis(250);

/// The least time between two words on quotas while an organisation has little left: with the 50 ms after which
/// hosts tell what they granted, a word is 110 ms old at most when the next one comes.
const QUOTA_PAUSE: Duration = Duration::from_millis(60);

/// The ledger with the configuration whose limits it has.
struct KeptLedger {
    quotas: QuotaLedger,
    revision: Option<ConfigRevision>,
}

impl KeptLedger {
    /// Begins a ledger, whose accounts open full where its host may.
    fn new(bounds: &OperatorBounds, opens_full: bool) -> Self {
        let silent_serves = bounds.max_revocation_delay.unwrap_or(bounds.quota_tolerance.window);
        let quotas = QuotaLedger::new(bounds.quota_tolerance, silent_serves, opens_full);
        Self { quotas, revision: None }
    }

    /// Takes the limits of the configuration in force.
    fn follow(&mut self, routes: Option<&RouteTable>, now: ClockMillis) {
        let revision = routes.map(RouteTable::revision);
        if self.revision == revision {
            return;
        }
        self.revision = revision;
        if let Some(organisations) = routes.and_then(RouteTable::organisations) {
            self.quotas.set_limits(organisations, now);
        }
    }
}

/// What all hosts grant of the organisations' quotas: the ledger, on the host that adds up, and this host's part.
pub struct QuotaSum {
    shared: Arc<SharedState>,
    ledger: Option<KeptLedger>,
    /// When the ledger was last told anything.
    told: ClockMillis,
    /// When all hosts were last told which organisations have little left.
    spread: ClockMillis,
}

impl QuotaSum {
    /// Starts without a ledger.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let never = ClockMillis::default();
        Self { shared, ledger: None, told: never, spread: never }
    }
}

/// Returns whether anybody has a quota.
fn has_quotas(context: &SumContext<'_>) -> bool {
    context.routes.is_some_and(|routes| routes.organisations().is_some())
}

impl FleetSum for QuotaSum {
    fn begin(&mut self, _: &SumContext<'_>) {
        let opens_full = self.shared.quotas().opens_full();
        self.ledger = Some(KeptLedger::new(&self.shared.profile.bounds, opens_full));
    }

    fn end(&mut self) {
        self.ledger = None;
    }

    fn resend_all(&mut self) {}

    fn report(&mut self, frame: &mut HostReportFrame, context: &SumContext<'_>) -> bool {
        if !has_quotas(context) {
            return false;
        }
        frame.usage = self.shared.quotas().unreported().iter().map(Into::into).collect();
        let due = !frame.usage.is_empty() || context.now.since(self.told) >= LEDGER_WORD;
        if due {
            self.told = context.now;
        }
        due
    }

    fn acknowledge(&mut self, frame: &HostReportFrame, sent: bool) {
        if sent {
            let told: Vec<QuotaUsage> = frame.usage.iter().map(Into::into).collect();
            self.shared.quotas().acknowledge(&told);
        }
    }

    fn count(&mut self, host: &Arc<str>, frame: &HostReportFrame, context: &SumContext<'_>) {
        if let Some(ledger) = &mut self.ledger {
            let used: Vec<QuotaUsage> = frame.usage.iter().map(Into::into).collect();
            ledger.quotas.record_usage(host, &used, context.now);
        }
    }

    fn snapshot(&mut self, host: &Arc<str>, _: &mut AggregateFrame, context: &SumContext<'_>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.quotas.mark_reachable(host, context.now);
        }
    }

    fn unsubscribed(&mut self, listener: &RemovedSubscriber, context: &SumContext<'_>) {
        let Some(ledger) = &mut self.ledger else { return };
        match listener.silent_among {
            // It may go on serving: what it grants is set aside.
            Some(hosts) => ledger.quotas.mark_unreachable(&listener.host, hosts, context.now),
            None => ledger.quotas.remove_host(&listener.host),
        }
    }

    fn publish(&mut self, frame: &mut AggregateFrame, due: bool, context: &SumContext<'_>) {
        let Some(ledger) = self.ledger.as_mut().filter(|_| has_quotas(context)) else { return };
        ledger.follow(context.routes, context.now);
        let named = ledger.quotas.low_levels(context.now);
        self.shared.quotas().apply_ledger_levels(&named, context.now);
        let soon = !named.is_empty() && context.now.since(self.spread) >= QUOTA_PAUSE;
        if due || soon {
            self.spread = context.now;
            frame.quotas =
                Some(QuotaLevelsMessage { levels: named.iter().map(Into::into).collect() });
        }
    }

    fn receive(&mut self, frame: &AggregateFrame, context: &SumContext<'_>) {
        if let Some(quotas) = &frame.quotas {
            let words: Vec<QuotaLevel> = quotas.levels.iter().map(Into::into).collect();
            self.shared.quotas().apply_ledger_levels(&words, context.now);
        }
    }
}
