//! One send of a request to one engine.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, WeightVersion, adapter_name,
        admission::AdmissionSignal,
        announcement::{Declared, EngineAnnouncements},
        health::EngineOutcome,
        limits::share::PermitUse,
    },
};

use crate::{
    codec::ForwardMetadata,
    engines::{ConnectTerms, EngineAnswer, EngineLease, EnginePool, send_request},
    entry::{
        exchange::{Exchange, ExchangeEnd, SENT_AHEAD, SendEnd},
        forward::forwarded_request,
        pick::{EngineNeed, EnginePick, pick_engine},
        preflight::SendRejection,
    },
    host::ResponseKind,
};

/// What an engine gets beyond the deadline to say itself that the time is over.
const DEADLINE_SLACK: Duration = Duration::from_millis(120);

/// How many targets an engine may take for the first byte before it counts as overdue.
const OVERDUE_TARGETS: u32 = 2;

impl Exchange<'_> {
    /// Waits until the first byte is overdue and the request may go to another engine that could
    /// run it; takes the further send from the budgets.
    fn overdue(&self, entry: &EngineEntry) -> impl Future<Output = ()> + use<> {
        let possible = self.route.kind.is_retryable() && self.has_other_engine();
        // What may have ended an engine does not run at two at a time.
        let possible = possible && self.sends_are_left() && !self.is_suspect();
        let (traffic, service) = (Rc::clone(self.traffic), Arc::clone(&self.service));
        let (key, id) = (self.facts.model.clone(), self.facts.id.clone());
        let (patience, excluded) =
            (self.route.latency_target * OVERDUE_TARGETS, [Arc::clone(&entry.name)]);
        async move {
            if possible {
                tokio::time::sleep(patience).await;
                let key = key.as_ref();
                let wanted = PermitUse::New;
                let need =
                    EngineNeed { service: &service, key, excluded: &excluded, id: &id, wanted };
                let other = pick_engine(&traffic, &need);
                if matches!(other, EnginePick::Engine(..)) && traffic.take_retry(&service) {
                    return;
                }
            }
            std::future::pending::<()>().await;
        }
    }

    /// Sends the request and passes on what comes.
    pub async fn send(
        &mut self,
        entry: &Arc<EngineEntry>,
        version: Option<WeightVersion>,
    ) -> SendEnd {
        let now = self.traffic.now();
        let wanted = self.permit_use();
        let Some(mut permit) = self.hold_permit(entry, wanted) else {
            return SendEnd::Rejected(SendRejection::LimitUsed);
        };
        self.permit_wait = None;
        let terms = self.connect_terms(!self.route.kind.is_retryable());
        let connecting = EnginePool::connect(&self.traffic.pool, entry, terms, now);
        let connected = tokio::select! {
            biased;
            connected = connecting => connected,
            () = self.client.closed(SENT_AHEAD) => {
                return SendEnd::Over(ExchangeEnd::Reset, "client_gone");
            }
        };
        let Ok(mut lease) = connected else {
            self.note(entry, EngineOutcome::Unreachable);
            self.traffic.note_unreached(&self.service, &entry.name);
            return SendEnd::NotSent;
        };
        if !lease.reused {
            self.traffic.shared.metrics.engine_connects.inc();
        }
        let request = match self.begin_send(entry, version, None, &mut permit) {
            Ok(request) => request,
            Err(rejection) => {
                lease.close();
                return SendEnd::Rejected(rejection);
            }
        };
        let began = self.traffic.now();
        let dialect = Arc::clone(&self.traffic.shared.codecs.request);
        let time_over = self.deadline.clone().over(DEADLINE_SLACK);
        let overdue = self.overdue(entry);
        let sending = send_request(
            &mut lease,
            &*dialect,
            &request,
            &self.request.head.method,
            &self.facts.id,
        );
        let answer = tokio::select! {
            biased;
            answer = sending => answer,
            () = self.client.closed(SENT_AHEAD) => {
                lease.close();
                self.may_have_run = true;
                if self.traffic.now().since(began) > self.route.latency_target * OVERDUE_TARGETS {
                    self.note(entry, EngineOutcome::FirstByteTimeout);
                }
                return SendEnd::Over(ExchangeEnd::Reset, "client_gone");
            }
            () = overdue => {
                lease.close();
                self.may_have_run = true;
                self.note(entry, EngineOutcome::FirstByteTimeout);
                return SendEnd::Overdue;
            }
            () = time_over => {
                lease.close();
                self.may_have_run = true;
                return SendEnd::TimeOver;
            }
        };
        let Ok(answer) = answer else {
            lease.close();
            self.may_have_run = true;
            self.broke_off(entry).await;
            return SendEnd::Failed;
        };
        self.note_announcements(entry, &answer, began);
        self.take_answer(lease, answer, began, version).await
    }

    async fn take_answer(
        &mut self,
        mut lease: EngineLease,
        mut answer: EngineAnswer,
        began: ClockMillis,
        version: Option<WeightVersion>,
    ) -> SendEnd {
        let entry = Arc::clone(&lease.entry);
        if answer.facts.not_run || answer.facts.misdirected {
            if !answer.facts.misdirected {
                self.note(&entry, EngineOutcome::Refused);
            }
            let absent = answer.facts.misdirected;
            self.drain_and_keep(lease, answer).await;
            return SendEnd::NotRun { absent };
        }
        self.may_have_run = true;
        let promises = matches!(answer.head.status, 408 | 421 | 429 | 503);
        let success = (200..300).contains(&answer.head.status);
        let other = self.ran_on_other(&entry, &answer, version);
        if promises || (success && (!answer.facts.signed || other)) {
            // The status would promise, or claim, what the engine did not, or the answer is of other weights.
            lease.close();
            self.note(&entry, EngineOutcome::Failed);
            return SendEnd::Failed;
        }
        if success && self.route.kind.is_stream() {
            return self.pass_stream(lease, answer, began).await;
        }
        let whole = self.read_whole(&mut lease, &mut answer).await;
        let body = match whole {
            Ok(body) => body,
            Err(end) => {
                lease.close();
                if matches!(end, SendEnd::Failed) {
                    self.broke_off(&entry).await;
                }
                return end;
            }
        };
        self.ran_whole();
        let delay = self.traffic.now().since(began);
        self.keep_or_close(lease, &answer);
        if answer.head.status >= 500 {
            self.note(&entry, EngineOutcome::ErrorResponse);
            return SendEnd::Erred(Box::new(answer), body);
        }
        self.note(&entry, EngineOutcome::Answered(delay));
        self.note_admission(AdmissionSignal::Answered(delay));
        let end = self.pass_whole(&answer, &body).await;
        SendEnd::Over(end, "answered")
    }

    /// Returns whether an engine ran a request for a base model on another version than it was asked to.
    pub(super) fn ran_on_other(
        &self,
        entry: &EngineEntry,
        answer: &EngineAnswer,
        asked: Option<WeightVersion>,
    ) -> bool {
        let names_adapter =
            self.facts.model.as_ref().is_some_and(|key| adapter_name(key).is_some());
        let ran = answer.facts.version.value().filter(|_| !names_adapter);
        let (Some(asked), Some(ran)) = (asked, ran) else { return false };
        if asked != ran {
            self.traffic.shared.metrics.other_versions.inc();
            log::warn!("{} ran version {ran} where {asked} was asked for; dropped", entry.name);
        }
        asked != ran
    }

    /// Returns what the request asks of a connection; `fresh` for one that was used just now or is new.
    pub fn connect_terms(&self, fresh: bool) -> ConnectTerms {
        ConnectTerms { fresh, key: self.facts.model.clone(), unread: self.facts.prompt.tokens() }
    }

    /// Counts a send, and the engine among those that the request was sent to.
    pub(super) fn count_send(&mut self, entry: &EngineEntry) {
        self.sends += 1;
        self.count_further_run();
        self.sent = self.elapsed();
        self.run_begins();
        self.ahead = self.unread_before(entry);
        if !self.sent_to.contains(&entry.name) {
            self.sent_to.push(Arc::clone(&entry.name));
        }
        if self.sends == 1 {
            self.traffic.note_request(&self.service);
        }
    }

    /// Counts a further send of a request that may have run against the organisation's quota: engines may run it
    /// twice, and each run counts.
    fn count_further_run(&self) {
        if let Some(organisation) = self.organisation.as_ref().filter(|_| self.may_have_run) {
            let now = self.traffic.now();
            self.traffic.shared.quotas().charge_retry(&organisation.name, self.quota_cost, now);
        }
    }

    /// Returns what an engine has to read before a request that would be sent there now. Unit: tokens.
    pub fn unread_at(&self, entry: &EngineEntry) -> u64 {
        let told = self.traffic.shared.shared_work().at(&entry.name).pending_prefill_tokens;
        let (_, own) = self.traffic.pool.borrow().view(&entry.name);
        told.max(own.pending_prefill_tokens)
    }

    /// Returns what an engine has to read before this request's prompt, which counts there already.
    fn unread_before(&self, entry: &EngineEntry) -> u64 {
        let told = self.traffic.shared.shared_work().at(&entry.name).pending_prefill_tokens;
        let (_, own) = self.traffic.pool.borrow().view(&entry.name);
        told.max(own.pending_prefill_tokens.saturating_sub(self.facts.prompt.tokens()))
    }

    /// Takes what a response that has just begun announces of its engine; the request was sent at `sent`.
    pub(super) fn note_announcements(
        &self,
        entry: &EngineEntry,
        answer: &EngineAnswer,
        sent: ClockMillis,
    ) {
        let shared = &self.traffic.shared;
        if answer.stray != EngineAnnouncements::default() {
            // When the request that it belongs to was sent is not known, so that its silence on a matter means nothing.
            shared.record_announcements(entry, &answer.stray, sent, ResponseKind::Other);
        }
        let facts = &answer.facts;
        let ran = facts.signed && !facts.not_run && !facts.misdirected;
        let kind = if ran { ResponseKind::Accepted } else { ResponseKind::Rejected };
        shared.record_announcements(entry, &facts.announcements, sent, kind);
        if facts.not_run {
            let cooldown = matches!(facts.announcements.cooldown, Declared::Present(_));
            shared.metrics.count_rejection(self.sends > 1, cooldown);
        }
    }

    /// Counts how a send to an engine ended.
    pub fn note(&self, entry: &EngineEntry, outcome: EngineOutcome) {
        self.traffic.pool.borrow_mut().note(&entry.name, outcome, self.traffic.now());
    }

    /// Writes the request as the engine gets it.
    pub(super) fn engine_request(
        &self,
        entry: &EngineEntry,
        version: Option<WeightVersion>,
        resume_after: Option<&str>,
    ) -> Bytes {
        let terms = ForwardMetadata {
            engine: &entry.name,
            remaining: self.deadline.remaining(),
            priority: self.priority(),
            organisation: self.organisation.as_ref().map(|organisation| &*organisation.name),
            version,
            resume_after,
        };
        let dialect = &*self.traffic.shared.codecs.request;
        forwarded_request(dialect, &self.request, &terms)
    }
}
