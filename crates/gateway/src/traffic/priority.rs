//! Admission by priority and by fair share while engines are short.
//!
//! Only in force where timeouts are tight: elsewhere a refused client has time for more attempts,
//! and the queues of engines decide alone.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry,
    priority_admission::{
        EngineWait, PriorityArrival, PriorityCause, PriorityDecision, priority_weight,
    },
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    metrics::ServiceLabels,
    traffic::{
        exchange::{ConnectionAction, Exchange},
        local_response::LocalResponse,
        pick::EnginePick,
    },
};

/// A refusal by priority or by fair share.
#[derive(Debug, Clone, Copy)]
pub(super) struct PriorityRefusal {
    outcome: &'static str,
    response: LocalResponse,
}

impl PriorityRefusal {
    const fn new(cause: PriorityCause, retry_after: Duration) -> Self {
        let (outcome, text) = match cause {
            PriorityCause::PriorityLevel => (
                "priority_level",
                "the engines have time for more urgent requests only; come back after the time in Retry-After",
            ),
            PriorityCause::FairShare => (
                "fair_share",
                "your organisation takes more than its share of the engines; come back after the time in Retry-After",
            ),
        };
        Self { outcome, response: LocalResponse::refusal(text, retry_after) }
    }
}

impl Exchange<'_> {
    /// Returns the refusal if capacity is short and the request is not admitted.
    ///
    /// Decides once for a request, when its engine is first picked: a request that has been sent
    /// may have run, and one that has waited for its adapter is not refused afterwards.
    pub(super) fn priority_refusal(&mut self, picked: &EnginePick) -> Option<PriorityRefusal> {
        let engine = match picked {
            EnginePick::Engine(entry, _) => Some(entry),
            EnginePick::ColdStart => None,
            EnginePick::Limited(_) | EnginePick::Cooling(_) | EnginePick::Unavailable => {
                return None;
            }
        };
        let decided = std::mem::replace(&mut self.priority_decided, true);
        if decided || self.sends > 0 || !self.admits_by_priority() {
            return None;
        }
        let prompt_tokens = self.metadata.prompt.tokens();
        let arrival = PriorityArrival {
            priority: self.priority(),
            organisation: self.organisation.as_ref().map(|organisation| &organisation.name),
            tokens: self.metadata.tokens.unwrap_or(prompt_tokens),
            latency_target: self.route.latency_target,
            remaining: self.deadline.remaining(),
            engine_wait: engine
                .map_or_else(|| self.shortest_wait(), |entry| Some(self.wait_at(entry))),
            loaded: engine.is_some(),
            returning: self.client_retried(),
            hash: xxh3_64(self.metadata.id.as_bytes()),
        };
        let mut priorities = self.traffic.priorities.borrow_mut();
        let admission = priorities.entry(Arc::clone(&self.service)).or_default();
        let decision = admission.decide(&arrival, self.traffic.now());
        let level = admission.level();
        drop(priorities);
        let labels = ServiceLabels { service: self.service.to_string() };
        self.traffic.shared.metrics.admission_level.get_or_create(&labels).set(level);
        match decision {
            PriorityDecision::Admit => None,
            PriorityDecision::Refuse { cause, retry_after } => {
                // Two digits are enough for a log line.
                self.refused_at_level = Some((level * 100.0).round() / 100.0);
                Some(PriorityRefusal::new(cause, retry_after))
            }
        }
    }

    /// Refuses a request by priority or by fair share.
    pub(super) async fn refuse_by_priority(
        &mut self,
        refusal: PriorityRefusal,
    ) -> (ConnectionAction, &'static str) {
        self.respond(refusal.response, refusal.outcome).await
    }

    /// Records for how long an answered request took a slot of its engine.
    pub(super) fn record_slot_time(&self, outcome: &'static str) {
        if outcome == "answered" && self.route.kind.is_stream() && self.admits_by_priority() {
            let time = self.elapsed_ms().saturating_sub(self.first_byte_ms);
            let mut priorities = self.traffic.priorities.borrow_mut();
            let admission = priorities.entry(Arc::clone(&self.service)).or_default();
            admission.record_run(Duration::from_millis(time));
        }
    }

    /// Returns the value of the request while it waits for its adapter, by its priority.
    pub(super) fn weighted_worth(&self, worth: f64) -> f64 {
        if self.admits_by_priority() { worth * priority_weight(self.priority()) } else { worth }
    }

    /// Returns whether requests of the service are admitted by priority: it has models, and most
    /// timeouts are tight.
    fn admits_by_priority(&self) -> bool {
        let table = self.traffic.table();
        table.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts())
            && self.metadata.model.is_some()
            && !self.traffic.has_no_models(&self.service)
    }

    /// Returns the expected wait at the least busy engine of the service while the level is below
    /// one; otherwise nothing depends on it.
    fn shortest_wait(&self) -> Option<EngineWait> {
        let priorities = self.traffic.priorities.borrow();
        let admission = priorities.get(&self.service);
        admission.filter(|admission| admission.level() < 1.0)?;
        let table = self.traffic.table();
        let waits = table.ready_engines(&self.service).map(|entry| self.wait_at(entry));
        waits.min_by_key(|wait| (wait.open, wait.pending_prefill_time))
    }

    fn wait_at(&self, entry: &EngineEntry) -> EngineWait {
        let reported = self.traffic.shared.shared_work().get(&entry.name);
        let (_, local) = self.traffic.pool.borrow().health_and_work(&entry.name);
        let pending_tokens = reported.pending_prefill_tokens.max(local.pending_prefill_tokens);
        EngineWait {
            pending_prefill_time: self.traffic.prefill_time_for(&self.service, pending_tokens),
            open: reported.open.max(local.open),
            slots: entry.slots,
        }
    }
}
