//! Requests to plain services: how much of them is sent on, and what follows when a server is full.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{EngineEntry, admission::AdmissionSignal};

use crate::{
    availability::EngineAvailability,
    traffic::{
        exchange::{Exchange, ExchangeEnd, REPEAT_PAUSE},
        local_response::OwnAnswer,
        pick::EnginePick,
    },
};

/// The shortest and the longest time after which a client of a service without room is told to come back.
const RETURN_TIMES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

impl Exchange<'_> {
    /// Returns after what time the client should come back where the service carries less than it is asked for and this
    /// request is among those that are not sent on.
    pub(super) fn plain_refusal(&self) -> Option<Duration> {
        if !self.traffic.is_plain(&self.service) {
            return None;
        }
        let mut admissions = self.traffic.admissions.borrow_mut();
        let admission = admissions.entry(Arc::clone(&self.service)).or_default();
        let now = self.traffic.now();
        if admission.try_admit(now) {
            return None;
        }
        // The smaller the part, the longer until those are served who are asked to come back.
        let (shortest, longest) = RETURN_TIMES;
        Some(shortest.div_f64(admission.admitted_fraction(now)).min(longest))
    }

    /// Refuses a request that is not sent on.
    pub(super) async fn refuse_plain(
        &mut self,
        retry_after: Duration,
    ) -> (ExchangeEnd, &'static str) {
        let text = "the service carries no more now; come back after the time in Retry-After";
        self.answer(OwnAnswer::refusal(text, retry_after), "service_full").await
    }

    /// Takes how a request to a plain service ended, for the part that is sent on.
    pub(super) fn note_admission(&self, sign: AdmissionSignal) {
        if self.traffic.is_plain(&self.service) {
            let mut admissions = self.traffic.admissions.borrow_mut();
            let admission = admissions.entry(Arc::clone(&self.service)).or_default();
            admission.record(sign, self.route.latency_target, self.traffic.now());
        }
    }

    /// Takes that a server of a plain service was full; `None` when another send may follow.
    ///
    /// Another server is asked at once. Where there is none, the same one is asked once more after a pause: further
    /// knocks at a server that stays full help nobody and use up the retry budget.
    pub(super) async fn server_full(
        &mut self,
        entry: &EngineEntry,
    ) -> Option<(ExchangeEnd, &'static str)> {
        self.unreached.push(Arc::clone(&entry.name));
        let has_other = matches!(self.pick(), EnginePick::Engine(..));
        if has_other && self.may_send_again() {
            return None;
        }
        let open = self.traffic.shared.availability().without_limit(entry)
            == EngineAvailability::Available;
        if self.sends == 1 && open && self.may_send_again() {
            self.unreached.pop();
            tokio::time::sleep(REPEAT_PAUSE).await;
            return None;
        }
        self.note_admission(AdmissionSignal::ServerFull);
        self.unreached.pop();
        Some(self.give_up("not_run").await)
    }
}
