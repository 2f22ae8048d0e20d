//! How a request ends without an engine's answer: what it is told, and when it may come back.

use std::time::Duration;

use reelreel_core::fleet::{EngineEntry, EngineName, queue_admission::QueueCandidate};

use crate::entry::{
    answer::{ENGINE_FAILED, OwnAnswer},
    exchange::{Exchange, ExchangeEnd},
    pick::{CoolingHolders, EnginePick},
};

/// The part of the route's time below which a deadline shows that the client came back.
const RETURNED_PART: f64 = 0.985;

/// The part of its time for which a client waits before it comes back, at most.
const RETURN_PART: u32 = 3;

/// When a client refused for want of an engine comes back.
const NO_ENGINE_PAUSE: Duration = Duration::from_millis(500);

/// When a client comes back whose adapter is about to be loaded.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// When a client refused by full engines comes back.
const FULL_PAUSE: Duration = Duration::from_millis(250);

impl Exchange<'_> {
    /// Returns after what time the client should come back where the best engine's queue is too long.
    ///
    /// What was sent before goes on: it may have run.
    pub(super) fn queue_refusal(&self, entry: &EngineEntry) -> Option<Duration> {
        if self.sends > 0 || self.facts.model.is_none() {
            return None;
        }
        let ahead = self.unread_at(entry);
        let request = QueueCandidate {
            elapsed: self.traffic.now().since(self.request.arrived),
            latency_target: self.route.latency_target,
            remaining: self.deadline.remaining(),
            pending_prefill_time: self.traffic.reading_time(&self.service, ahead),
            prefill_time: self.traffic.reading_time(&self.service, self.facts.prompt.tokens()),
            client_retried: self.is_returned(),
        };
        request.refusal_retry_after()
    }

    /// Returns whether the client seems to have been refused before and to have come back: it has less time than its route
    /// gives.
    pub(super) fn is_returned(&self) -> bool {
        let deadline = self.facts.deadline.unwrap_or(self.route.timeout);
        deadline < self.route.timeout.mul_f64(RETURNED_PART)
    }

    /// Refuses a request whose engines have too much to read before it.
    pub(super) async fn refuse_queued(
        &mut self,
        retry_after: Duration,
    ) -> (ExchangeEnd, &'static str) {
        let text = "the engines have too much to do; come back after the time in Retry-After";
        self.answer(OwnAnswer::refusal(text, retry_after), "queue_too_long").await
    }

    /// Refuses a request for which there was no engine in time.
    pub(super) async fn refuse_waiting(
        &mut self,
        retry_after: Duration,
    ) -> (ExchangeEnd, &'static str) {
        if let Some(permit) = self.permit_return().filter(|_| !self.may_have_run) {
            self.traffic.shared.metrics.limit_refused.inc();
            // Whichever comes first: a copy elsewhere, or this client's turn, as long as it stays within its own time.
            let load = self.expects_load().then_some(retry_after);
            let time = load.map_or(permit, |load| load.min(permit));
            let longest = (self.deadline.remaining() / RETURN_PART).max(FULL_PAUSE);
            let text =
                "the engines take only so many requests; come back after the time in Retry-After";
            let answer = OwnAnswer::refusal(text, time.clamp(FULL_PAUSE, longest));
            return self.answer(answer, "limit_used").await;
        }
        if let Some(holders) = self.cooling.take().filter(|_| !self.may_have_run) {
            return self.refuse_cooling(&holders).await;
        }
        if self.may_have_run {
            return self.answer(ENGINE_FAILED, "adapter_absent").await;
        }
        let text = "the adapter is not loaded yet; come back after the time in Retry-After";
        self.answer(OwnAnswer::refusal(text, retry_after), "adapter_absent").await
    }

    /// Refuses a request whose engines want none for a while.
    async fn refuse_cooling(&mut self, holders: &CoolingHolders) -> (ExchangeEnd, &'static str) {
        self.traffic.shared.metrics.cooldown_refused.inc();
        self.cooling_by = holders.engines.first().cloned();
        let time = self.next_attempt_time().max(FULL_PAUSE);
        let text =
            "the engines want no requests for a while; come back after the time in Retry-After";
        self.answer(OwnAnswer::refusal(text, time), "engines_cooling").await
    }

    /// Returns after what time another attempt of the client is expected to find an engine. It may go to engines that this one
    /// may not, having used up those of its route.
    fn next_attempt_time(&self) -> Duration {
        let now = self.traffic.now();
        let holders = match self.fresh_pick() {
            EnginePick::Cooling(holders) => holders,
            EnginePick::Engine(..) | EnginePick::Limited(_) => return FULL_PAUSE,
            EnginePick::Cold => return LOAD_PAUSE,
            EnginePick::Nowhere => return NO_ENGINE_PAUSE,
        };
        let turn =
            |engine: &EngineName| self.traffic.shared.cooldowns().next_retry_after(engine, now);
        let turn = holders.engines.first().and_then(turn);
        let turn = turn.unwrap_or_else(|| holders.until.since(now));
        let load = holders.loadable.then(|| self.expected_load().unwrap_or(LOAD_PAUSE));
        load.map_or(turn, |load| load.min(turn))
    }

    /// Ends a request that was not run with the time to come back, any other as unknown.
    pub(super) async fn give_up(&mut self, cause: &'static str) -> (ExchangeEnd, &'static str) {
        if self.may_have_run {
            return self.answer(ENGINE_FAILED, cause).await;
        }
        if cause == "not_run"
            && let EnginePick::Cooling(holders) = self.pick()
        {
            return self.refuse_cooling(&holders).await;
        }
        let answer = match cause {
            "not_run" => OwnAnswer::refusal("the engines are full; come back later", FULL_PAUSE),
            _ => OwnAnswer::refusal("no engine takes work now; come back later", NO_ENGINE_PAUSE),
        };
        self.answer(answer, cause).await
    }

    /// Answers the client; returns what becomes of its connection.
    pub(super) async fn answer(
        &mut self,
        answer: OwnAnswer,
        outcome: &'static str,
    ) -> (ExchangeEnd, &'static str) {
        let keep = self.keeps_client();
        let dialect = &*self.traffic.shared.codecs.request;
        let bytes = answer.write(dialect, Some(&self.facts.id), !keep);
        self.status = answer.status;
        let sent = self.client.write(&bytes).await.is_ok();
        let end = if keep && sent { ExchangeEnd::Keep } else { ExchangeEnd::Close };
        (end, outcome)
    }
}
