//! The ledger of the organisations' quotas, on the host that keeps it, and what the others hear of it.
//!
//! The placer of the first service with models keeps it: all hosts tell that placer of their demand already. Where
//! no service holds models nobody keeps a ledger, and each host grants an equal part.

use std::sync::Arc;

use reelreel_core::{
    ClockMillis,
    fleet::{
        ServiceName,
        routes::{ConfigRevision, RouteTable},
    },
    organisation::{
        ledger::QuotaLedger,
        share::{QuotaUse, QuotaWord},
    },
};

use crate::{
    control::state::ControlState,
    peers::frame::{DemandFrame, PlanFrame},
    profile::OperatorBounds,
};

/// The ledger with the configuration whose limits it has.
pub struct KeptLedger {
    /// What all hosts granted.
    pub quotas: QuotaLedger,
    revision: Option<ConfigRevision>,
}

impl KeptLedger {
    fn new(bounds: &OperatorBounds, opens_full: bool) -> Self {
        let silent_serves = bounds.revocation.unwrap_or(bounds.quota.window);
        let quotas = QuotaLedger::new(bounds.quota, silent_serves, opens_full);
        Self { quotas, revision: None }
    }

    /// Takes what a host granted; `begins` says that it has just begun to listen.
    pub fn take_usage(
        &mut self,
        host: &Arc<str>,
        frame: &DemandFrame,
        begins: bool,
        now: ClockMillis,
    ) {
        let used: Vec<QuotaUse> = frame.usage.iter().map(Into::into).collect();
        self.quotas.host_used(host, &used, now);
        if begins {
            self.quotas.host_heard(host, now);
        }
    }
}

/// Begins a ledger with a tenure, which `opens_full` where its host may, and gives it the limits of the configuration in force.
pub fn keep_ledger(
    kept: &mut Option<KeptLedger>,
    routes: Option<&RouteTable>,
    bounds: &OperatorBounds,
    opens_full: bool,
    now: ClockMillis,
) {
    let ledger = kept.get_or_insert_with(|| KeptLedger::new(bounds, opens_full));
    let revision = routes.map(RouteTable::revision);
    if ledger.revision == revision {
        return;
    }
    ledger.revision = revision;
    if let Some(organisations) = routes.and_then(RouteTable::organisations) {
        ledger.quotas.limits_known(organisations, now);
    }
}

impl ControlState {
    /// Returns the service whose placer keeps the ledger of the organisations' quotas, where there are any.
    pub(super) fn ledger_service(&self) -> Option<ServiceName> {
        let routes = self.routes.as_ref()?;
        routes.organisations()?;
        let services = routes.hosting_services().map(|service| &service.name);
        services.min().map(Arc::clone)
    }

    /// Takes what the placer that keeps the ledger says of quotas, if this frame says anything.
    pub(super) fn take_quota_words(&self, frame: &PlanFrame, now: ClockMillis) {
        if let Some(quotas) = &frame.quotas {
            let words: Vec<QuotaWord> = quotas.named.iter().map(Into::into).collect();
            self.shared.quotas().ledger_heard(&words, now);
        }
    }
}
