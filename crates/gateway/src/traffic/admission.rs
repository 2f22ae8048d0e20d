//! Load shedding for services without models, and the handling of full backend servers.
//!
//! Where timeouts are tight, all hosts share the limit of a service that the coordinator publishes;
//! elsewhere, and without a published limit, each host decides by its own answers.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry, ServiceName,
    admission::AdmissionSignal,
    service_share::{ShareDecision, report_interval, spread_retry_after},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    availability::EngineAvailability,
    host::SharedState,
    metrics::ServiceDecision,
    traffic::{
        TrafficState,
        exchange::{ConnectionAction, Exchange, RETRY_DELAY},
        local_response::LocalResponse,
        pick::EnginePick,
    },
};

/// Minimum and maximum retry time of a request that is not admitted.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(5));

/// Counts an admitted request as open at a plain service while it exists.
pub struct ServiceOpenGuard {
    shared: Arc<SharedState>,
    service: ServiceName,
}

impl ServiceOpenGuard {
    fn new(shared: &Arc<SharedState>, service: &ServiceName) -> Self {
        shared.service_shares().record_admitted(service);
        Self { shared: Arc::clone(shared), service: Arc::clone(service) }
    }
}

impl Drop for ServiceOpenGuard {
    fn drop(&mut self) {
        self.shared.service_shares().record_end(&self.service);
    }
}

impl TrafficState {
    /// Returns whether all hosts share the limit of a service.
    fn shares_limit(&self, service: &str) -> bool {
        let table = self.table();
        let tight = table.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts());
        tight && self.has_no_models(service)
    }
}

impl Exchange<'_> {
    /// Returns the retry time if the service is overloaded and this request, which has not been sent,
    /// is not admitted.
    pub(super) fn admission_retry_after(&mut self) -> Option<Duration> {
        if !self.traffic.has_no_models(&self.service) {
            return None;
        }
        if self.traffic.shares_limit(&self.service) {
            return self.shared_limit_retry_after();
        }
        // The smaller the admitted fraction, the longer it takes to serve the clients that retry.
        let (shortest, longest) = RETRY_AFTER_RANGE;
        self.own_refused_fraction().map(|fraction| shortest.div_f64(fraction).min(longest))
    }

    /// Returns the fraction that this host admits by its own answers if this request is refused.
    fn own_refused_fraction(&self) -> Option<f64> {
        let mut admissions = self.traffic.admissions.borrow_mut();
        let admission = admissions.entry(Arc::clone(&self.service)).or_default();
        let now = self.traffic.now();
        (!admission.try_admit(now)).then(|| admission.admitted_fraction(now))
    }

    /// Returns the fraction that this host admits by its own answers.
    fn own_admitted_fraction(&self) -> f64 {
        let (admissions, now) = (self.traffic.admissions.borrow(), self.traffic.now());
        admissions.get(&self.service).map_or(1.0, |own| own.admitted_fraction(now))
    }

    /// Returns the retry time if the limit that all hosts share does not admit the request.
    fn shared_limit_retry_after(&mut self) -> Option<Duration> {
        let shared = &self.traffic.shared;
        let (now, returning) = (self.traffic.now(), self.client_retried());
        let decision = shared.service_shares().try_admit(&self.service, returning, now);
        let refused_fraction = match decision {
            ShareDecision::Admitted => None,
            ShareDecision::Refused(fraction) => Some(fraction),
            ShareDecision::NoLimit => self.own_refused_fraction(),
        };
        let Some(fraction) = refused_fraction else {
            shared.metrics.count_service_decision(&self.service, ServiceDecision::Admitted);
            self.open_at_service = Some(ServiceOpenGuard::new(shared, &self.service));
            return None;
        };
        shared.metrics.count_service_decision(&self.service, ServiceDecision::Refused);
        Some(self.spread_retry_after(fraction))
    }

    /// Returns the time after which the service is expected to have capacity, spread over the clients.
    fn spread_retry_after(&self, fraction: f64) -> Duration {
        let interval = report_interval(self.traffic.table().hosts);
        let spread = xxh3_64(self.metadata.id.as_bytes()) as f64 / u64::MAX as f64;
        spread_retry_after(fraction, interval, self.deadline.remaining(), spread)
    }

    /// Refuses a request that is not admitted.
    pub(super) async fn refuse_unadmitted(
        &mut self,
        retry_after: Duration,
    ) -> (ConnectionAction, &'static str) {
        let text = "the service carries no more now; come back after the time in Retry-After";
        self.respond(LocalResponse::refusal(text, retry_after), "service_full").await
    }

    /// Records the outcome of a request to a service without models for its admission control.
    pub(super) fn record_admission(&self, signal: AdmissionSignal) {
        let target = self.route.latency_target;
        if self.traffic.is_overloaded() && !signal.counts_while_overloaded(target) {
            return;
        }
        if self.traffic.has_no_models(&self.service) {
            let mut admissions = self.traffic.admissions.borrow_mut();
            let admission = admissions.entry(Arc::clone(&self.service)).or_default();
            admission.record(signal, target, self.traffic.now());
        }
        if let AdmissionSignal::Answered(_) = signal {
            self.record_load(signal);
        }
    }

    /// Records the outcome of a send for the limit that all hosts share.
    fn record_load(&self, signal: AdmissionSignal) {
        if !self.traffic.shares_limit(&self.service) {
            return;
        }
        let (shared, now) = (&self.traffic.shared, self.traffic.now());
        let target = self.route.latency_target;
        let begins = shared.service_shares().record_signal(&self.service, signal, target, now);
        if begins {
            shared.wake_control.notify_one();
        }
        if signal == AdmissionSignal::ServerFull {
            shared.metrics.count_service_decision(&self.service, ServiceDecision::ServerFull);
        }
    }

    /// Handles the refusal of a full backend server; returns `None` if another send may follow.
    ///
    /// Another server is tried at once. If there is none, the same server is tried once more after
    /// a delay; further tries would only use up the retry budget. Where all hosts share the limit and
    /// the service is short of capacity, the same server is not tried again: it is often still full,
    /// and the delay uses up much of a short latency target.
    pub(super) async fn handle_full_server(
        &mut self,
        entry: &EngineEntry,
    ) -> Option<(ConnectionAction, &'static str)> {
        self.record_load(AdmissionSignal::ServerFull);
        self.excluded_engines.push(Arc::clone(&entry.name));
        let other_available = matches!(self.pick(), EnginePick::Engine(..));
        if other_available && self.try_spend_resend() {
            return None;
        }
        let shares_limit = self.traffic.shares_limit(&self.service);
        let limited = shares_limit && self.is_limited();
        if shares_limit {
            self.record_admission(AdmissionSignal::ServerFull);
        }
        let available = self.traffic.shared.availability().without_limit(entry)
            == EngineAvailability::Available;
        if !limited && self.sends == 1 && available && self.try_spend_resend() {
            self.excluded_engines.pop();
            tokio::time::sleep(RETRY_DELAY).await;
            return None;
        }
        if !shares_limit {
            self.record_admission(AdmissionSignal::ServerFull);
        }
        self.excluded_engines.pop();
        if shares_limit && available && !self.may_have_run {
            return Some(self.refuse_after_full_server().await);
        }
        Some(self.give_up("not_run").await)
    }

    /// Returns whether the service is short of capacity, by the shared limit or this host's answers.
    fn is_limited(&self) -> bool {
        let (shares, now) = (self.traffic.shared.service_shares(), self.traffic.now());
        shares.is_limited(&self.service, now) || self.own_admitted_fraction() < 1.0
    }

    /// Refuses a request that full servers have refused, with a retry time within its remaining time.
    async fn refuse_after_full_server(&mut self) -> (ConnectionAction, &'static str) {
        let time = self.spread_retry_after(self.own_admitted_fraction());
        let text = "the servers are full; come back after the time in Retry-After";
        self.respond(LocalResponse::refusal(text, time), "not_run").await
    }
}
