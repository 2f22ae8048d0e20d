//! Load shedding for services without models, and the handling of full backend servers.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{EngineEntry, admission::AdmissionSignal};

use crate::{
    availability::EngineAvailability,
    traffic::{
        exchange::{ConnectionAction, Exchange, RETRY_DELAY},
        local_response::LocalResponse,
        pick::EnginePick,
    },
};

/// Minimum and maximum retry time of a request that is not admitted.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(5));

impl Exchange<'_> {
    /// Returns the retry time if the service is overloaded and this request is not admitted.
    pub(super) fn admission_retry_after(&self) -> Option<Duration> {
        if !self.traffic.has_no_models(&self.service) {
            return None;
        }
        let mut admissions = self.traffic.admissions.borrow_mut();
        let admission = admissions.entry(Arc::clone(&self.service)).or_default();
        let now = self.traffic.now();
        if admission.try_admit(now) {
            return None;
        }
        // The smaller the admitted fraction, the longer it takes to serve the clients that retry.
        let (shortest, longest) = RETRY_AFTER_RANGE;
        Some(shortest.div_f64(admission.admitted_fraction(now)).min(longest))
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
        if self.traffic.has_no_models(&self.service) {
            let mut admissions = self.traffic.admissions.borrow_mut();
            let admission = admissions.entry(Arc::clone(&self.service)).or_default();
            admission.record(signal, self.route.latency_target, self.traffic.now());
        }
    }

    /// Handles the refusal of a full backend server; returns `None` if another send may follow.
    ///
    /// Another server is tried at once. If there is none, the same server is tried once more after
    /// a delay; further tries would only use up the retry budget.
    pub(super) async fn handle_full_server(
        &mut self,
        entry: &EngineEntry,
    ) -> Option<(ConnectionAction, &'static str)> {
        self.excluded_engines.push(Arc::clone(&entry.name));
        let other_available = matches!(self.pick(), EnginePick::Engine(..));
        if other_available && self.try_spend_resend() {
            return None;
        }
        let available = self.traffic.shared.availability().without_limit(entry)
            == EngineAvailability::Available;
        if self.sends == 1 && available && self.try_spend_resend() {
            self.excluded_engines.pop();
            tokio::time::sleep(RETRY_DELAY).await;
            return None;
        }
        self.record_admission(AdmissionSignal::ServerFull);
        self.excluded_engines.pop();
        Some(self.give_up("not_run").await)
    }
}
