//! Responses to requests without an engine's response, and their retry times.

use std::time::Duration;

use reelreel_core::fleet::{EngineEntry, EngineName, queue_admission::QueueCandidate};

use crate::traffic::{
    connection::write_local_response,
    exchange::{ConnectionAction, Exchange},
    local_response::{ENGINE_FAILED, LocalResponse},
    pick::{CoolingEngines, EnginePick},
};

/// Fraction of the route's timeout below which a client's deadline counts as that of a retry.
const RETRIED_DEADLINE_FRACTION: f64 = 0.985;

/// Divides the remaining time of a request to get its maximum retry time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Retry time when no engine accepts work.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry time when the adapter is expected to be loaded soon.
const LOADING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry time when the engines are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Exchange<'_> {
    /// Returns the retry time if the queue of the picked engine is too long.
    ///
    /// Never refuses a request that has been sent before: it may have run.
    pub(super) fn queue_retry_after(&self, entry: &EngineEntry) -> Option<Duration> {
        if self.sends > 0 || self.metadata.model.is_none() {
            return None;
        }
        let ahead = self.pending_prefill_at(entry);
        let request = QueueCandidate {
            elapsed: self.traffic.now().since(self.request.arrived),
            latency_target: self.route.latency_target,
            remaining: self.deadline.remaining(),
            pending_prefill_time: self.traffic.prefill_time_for(&self.service, ahead),
            prefill_time: self
                .traffic
                .prefill_time_for(&self.service, self.metadata.prompt.tokens()),
            client_retried: self.client_retried(),
        };
        request.refusal_retry_after()
    }

    /// Returns whether the client appears to have retried: its deadline is below the route's
    /// timeout.
    pub(super) fn client_retried(&self) -> bool {
        let deadline = self.metadata.deadline.unwrap_or(self.route.timeout);
        deadline < self.route.timeout.mul_f64(RETRIED_DEADLINE_FRACTION)
    }

    /// Refuses a request because of a long queue at the engines.
    pub(super) async fn refuse_long_queue(
        &mut self,
        retry_after: Duration,
    ) -> (ConnectionAction, &'static str) {
        let text = "the engines have too much to do; come back after the time in Retry-After";
        self.respond(LocalResponse::refusal(text, retry_after), "queue_too_long").await
    }

    /// Refuses a request that waited for an engine in vain.
    pub(super) async fn refuse_after_wait(
        &mut self,
        retry_after: Duration,
    ) -> (ConnectionAction, &'static str) {
        if let Some(permit) = self.permit_retry_after().filter(|_| !self.may_have_run) {
            self.traffic.shared.metrics.limit_refused.inc();
            // The earlier of a load elsewhere and the client's permit, within its remaining time.
            let load = self.has_load_estimate().then_some(retry_after);
            let time = load.map_or(permit, |load| load.min(permit));
            let max_retry_after =
                (self.deadline.remaining() / RETRY_AFTER_DIVISOR).max(FULL_RETRY_AFTER);
            let text =
                "the engines take only so many requests; come back after the time in Retry-After";
            let response =
                LocalResponse::refusal(text, time.clamp(FULL_RETRY_AFTER, max_retry_after));
            return self.respond(response, "limit_used").await;
        }
        if let Some(cooling) = self.cooling_engines.take().filter(|_| !self.may_have_run) {
            return self.refuse_cooling(&cooling).await;
        }
        if self.may_have_run {
            return self.respond(ENGINE_FAILED, "adapter_absent").await;
        }
        let text = "the adapter is not loaded yet; come back after the time in Retry-After";
        self.respond(LocalResponse::refusal(text, retry_after), "adapter_absent").await
    }

    /// Refuses a request whose engines are within cooldowns.
    async fn refuse_cooling(
        &mut self,
        cooling: &CoolingEngines,
    ) -> (ConnectionAction, &'static str) {
        self.traffic.shared.metrics.cooldown_refused.inc();
        self.cooling_by = cooling.engines.first().cloned();
        let time = self.retry_after_cooldown().max(FULL_RETRY_AFTER);
        let text =
            "the engines want no requests for a while; come back after the time in Retry-After";
        self.respond(LocalResponse::refusal(text, time), "engines_cooling").await
    }

    /// Returns the time after which a new attempt of the client is expected to find an engine.
    ///
    /// A new attempt may use engines that are excluded for this one.
    fn retry_after_cooldown(&self) -> Duration {
        let now = self.traffic.now();
        let cooling = match self.pick_without_exclusions() {
            EnginePick::Cooling(cooling) => cooling,
            EnginePick::Engine(..) | EnginePick::Limited(_) => return FULL_RETRY_AFTER,
            EnginePick::ColdStart => return LOADING_RETRY_AFTER,
            EnginePick::Unavailable => return NO_ENGINE_RETRY_AFTER,
        };
        let cooldown =
            |engine: &EngineName| self.traffic.shared.cooldowns().next_retry_after(engine, now);
        let cooldown = cooling.engines.first().and_then(cooldown);
        let cooldown = cooldown.unwrap_or_else(|| cooling.available_at.since(now));
        let load =
            cooling.loadable_elsewhere.then(|| self.load_estimate().unwrap_or(LOADING_RETRY_AFTER));
        load.map_or(cooldown, |load| load.min(cooldown))
    }

    /// Refuses the request with a retry time, or with an unknown outcome if it may have run.
    pub(super) async fn give_up(
        &mut self,
        cause: &'static str,
    ) -> (ConnectionAction, &'static str) {
        if self.may_have_run {
            return self.respond(ENGINE_FAILED, cause).await;
        }
        if cause == "not_run"
            && let EnginePick::Cooling(cooling) = self.pick()
        {
            return self.refuse_cooling(&cooling).await;
        }
        let response = match cause {
            "not_run" => {
                LocalResponse::refusal("the engines are full; come back later", FULL_RETRY_AFTER)
            }
            _ => LocalResponse::refusal(
                "no engine takes work now; come back later",
                NO_ENGINE_RETRY_AFTER,
            ),
        };
        self.respond(response, cause).await
    }

    /// Sends a response of the host to the client.
    pub(super) async fn respond(
        &mut self,
        response: LocalResponse,
        outcome: &'static str,
    ) -> (ConnectionAction, &'static str) {
        let keep = self.keeps_client_connection();
        let codec = &*self.traffic.shared.codecs.request;
        let bytes = response.write(codec, Some(&self.metadata.id), !keep);
        self.status = response.status;
        self.retry_after = response.retry_after;
        let written = write_local_response(self.traffic, self.client, &bytes).await;
        let action = if keep && written { ConnectionAction::Keep } else { ConnectionAction::Close };
        (action, outcome)
    }
}
