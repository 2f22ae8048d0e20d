//! Sends a request to an engine and handles the response.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, WeightVersion, adapter_name,
        admission::AdmissionSignal,
        announcement::{Declared, EngineAnnouncements},
        engine_links::ConnectFailure,
        health::EngineOutcome,
        limits::share::PermitUse,
    },
};

use reelreel_http::BodyFraming;

use crate::{
    codec::ForwardMetadata,
    engines::{
        ConnectOptions, EngineConnection, EnginePool, EngineResponse, OpenRequest, send_request,
    },
    host::ResponseKind,
    metrics::RepeatConnection,
    traffic::{
        exchange::{ConnectionAction, Exchange, READ_AHEAD_LIMIT, SendOutcome},
        forward::{ForwardedRequest, forwarded_request},
        pick::{EnginePick, EngineRequirements, pick_engine},
        preflight::SendRejection,
    },
};

/// Time beyond the deadline in which an engine may report the timeout itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(120);

/// Timeout of the first byte, in latency targets.
const FIRST_BYTE_TIMEOUT_TARGETS: u32 = 2;

impl Exchange<'_> {
    /// Completes once the first byte is overdue or the connection is lost, and another engine can
    /// take the request; the retry is then already spent from the budget. Never completes otherwise.
    fn first_byte_timeout<Lost: Future<Output = ()>>(
        &self,
        entry: &EngineEntry,
        connection_lost: Lost,
    ) -> impl Future<Output = ()> + use<Lost> {
        let may_retry = self.route.kind.is_retryable() && self.may_try_other_engine();
        // A request that may have terminated an engine must not run at two engines at a time.
        let may_retry = may_retry && self.within_send_limits() && !self.is_suspect();
        let (traffic, service) = (Rc::clone(self.traffic), Arc::clone(&self.service));
        let (key, id) = (self.metadata.model.clone(), self.metadata.id.clone());
        let (need, software) = (self.first_event_need(), self.needed_software().cloned());
        let (timeout, excluded) =
            (self.route.latency_target * FIRST_BYTE_TIMEOUT_TARGETS, [Arc::clone(&entry.name)]);
        async move {
            if may_retry {
                tokio::select! {
                    () = tokio::time::sleep(timeout) => {}
                    () = connection_lost => {}
                }
                let key = key.as_ref();
                let permit_use = PermitUse::New;
                let requirements = EngineRequirements {
                    service: &service,
                    key,
                    software: software.as_ref(),
                    excluded: &excluded,
                    ignores_backoff: &[],
                    id: &id,
                    permit_use,
                    retryable: true,
                    need,
                };
                let other = pick_engine(&traffic, &requirements);
                if matches!(other, EnginePick::Engine(..)) && traffic.try_spend_retry(&service) {
                    return;
                }
            }
            std::future::pending::<()>().await;
        }
    }

    /// Sends the request to an engine and relays the response.
    pub async fn send(
        &mut self,
        entry: &Arc<EngineEntry>,
        version: Option<WeightVersion>,
    ) -> SendOutcome {
        let now = self.traffic.now();
        let permit_use = self.permit_use();
        let Some(mut permit) = self.acquire_permit(entry, permit_use) else {
            return SendOutcome::Rejected(SendRejection::NoPermit);
        };
        self.permit_wait = None;
        let options = self.connect_options(!self.route.kind.is_retryable());
        let connecting = EnginePool::connect(&self.traffic.pool, entry, options, now);
        let connected = tokio::select! {
            biased;
            connected = connecting => connected,
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => {
                return SendOutcome::Finished(ConnectionAction::Reset, "client_gone");
            }
        };
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                self.record_connect_failure(ConnectFailure::from(&error));
                self.record_unreachable(entry, now);
                return SendOutcome::NotSent;
            }
        };
        if !connection.reused {
            self.traffic.shared.metrics.engine_connects.inc();
        }
        let request = match self.begin_send(entry, version, None, &mut permit) {
            Ok(request) => request,
            Err(rejection) => {
                connection.close();
                return SendOutcome::Rejected(rejection);
            }
        };
        let sent_at = self.traffic.now();
        self.record_path(&mut connection, sent_at);
        let shared = Arc::clone(&self.traffic.shared);
        let deadline_expired = self.deadline.clone().expired(DEADLINE_SLACK);
        let first_byte_timeout =
            self.first_byte_timeout(entry, connection.lost(&self.traffic.shared.clock));
        let part_quarantined = self.part_quarantined();
        let sending = send_request(
            &mut connection,
            &shared,
            &request,
            &self.request.head.method,
            &self.metadata.id,
        );
        let response = tokio::select! {
            biased;
            response = sending => response,
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => {
                connection.close();
                self.may_have_run = true;
                if self.traffic.now().since(sent_at)
                    > self.route.latency_target * FIRST_BYTE_TIMEOUT_TARGETS
                {
                    self.record_outcome(entry, EngineOutcome::FirstByteTimeout);
                }
                return SendOutcome::Finished(ConnectionAction::Reset, "client_gone");
            }
            () = first_byte_timeout => {
                connection.close();
                self.may_have_run = true;
                if !self.traffic.shared.links.is_isolated() {
                    self.record_outcome(entry, EngineOutcome::FirstByteTimeout);
                }
                return SendOutcome::FirstByteTimeout;
            }
            quarantined = part_quarantined => {
                connection.close();
                self.may_have_run = true;
                return SendOutcome::Rejected(SendRejection::Quarantined(quarantined));
            }
            () = deadline_expired => {
                connection.close();
                self.may_have_run = true;
                return SendOutcome::DeadlineExceeded;
            }
        };
        let Ok(response) = response else {
            connection.record_interrupted(self.traffic.now());
            connection.close();
            self.may_have_run = true;
            let has_ended = self.handle_interrupted_run(entry).await;
            self.record_interruption(&entry.name, has_ended);
            return SendOutcome::Failed;
        };
        connection.record_received(self.traffic.now());
        self.record_announcements(entry, &response, sent_at);
        self.handle_response(connection, response, sent_at, version).await
    }

    /// Records how the request is sent to its engine.
    pub(super) fn record_path(&mut self, connection: &mut EngineConnection, now: ClockMillis) {
        self.record_connection(connection);
        let open_request = OpenRequest::new(&self.traffic.shared, &connection.entry.name);
        connection.record_sent(&self.metadata.id, open_request, now);
        self.tunnel_host = connection.tunnel_host();
        if self.tunnel_host.is_some() {
            self.traffic.shared.metrics.tunnels.sends.inc();
        }
    }

    /// Records which connection a repeated request is sent over.
    fn record_connection(&mut self, connection: &EngineConnection) {
        if self.sends < 2 {
            return;
        }
        let kind = if connection.has_carried(&self.metadata.id) {
            self.same_connection += 1;
            RepeatConnection::Same
        } else if connection.reused {
            RepeatConnection::Other
        } else {
            RepeatConnection::New
        };
        self.traffic.shared.metrics.count_repeat(kind);
    }

    /// Records a failed connect in the metrics, and for the log event of the request.
    pub(super) fn record_connect_failure(&mut self, failure: ConnectFailure) {
        self.failed_connects += 1;
        self.connect_failure = Some(failure);
        self.traffic.shared.metrics.count_connect_failure(failure);
    }

    async fn handle_response(
        &mut self,
        mut connection: EngineConnection,
        mut response: EngineResponse,
        sent_at: ClockMillis,
        version: Option<WeightVersion>,
    ) -> SendOutcome {
        let entry = Arc::clone(&connection.entry);
        if response.metadata.not_run || response.metadata.misdirected {
            self.record_not_run(&entry, &response);
            let absent = response.metadata.misdirected;
            self.drain_and_keep(connection, response).await;
            return SendOutcome::NotRun { absent };
        }
        self.may_have_run = true;
        let claims_not_run = matches!(response.head.status, 408 | 421 | 429 | 503);
        let success = (200..300).contains(&response.head.status);
        let other_version = self.ran_other_version(&entry, &response, version);
        if claims_not_run || (success && (!response.metadata.signed || other_version)) {
            // Not relayed: the status would tell the client that the request did not run, the
            // success is unsigned, or the response was computed with other weights.
            connection.close();
            self.record_outcome(&entry, EngineOutcome::Failed);
            self.record_interruption(&entry.name, false);
            return SendOutcome::Failed;
        }
        if success && self.route.kind.is_stream() {
            return self.relay_stream(connection, response, sent_at).await;
        }
        let body_read = self.read_full_body(&mut connection, &mut response).await;
        let body = match body_read {
            Ok(body) => body,
            Err(outcome) => {
                connection.close();
                if matches!(outcome, SendOutcome::Failed) {
                    let has_ended = self.handle_interrupted_run(&entry).await;
                    self.record_interruption(&entry.name, has_ended);
                }
                return outcome;
            }
        };
        if response.framing == BodyFraming::UntilClose {
            let has_ended = self.ended_with_engine(&entry).await;
            if has_ended || connection.stream.has_failed() {
                connection.close();
                self.record_outcome(&entry, EngineOutcome::Failed);
                self.record_interruption(&entry.name, has_ended);
                return SendOutcome::Failed;
            }
        }
        self.record_complete_run();
        let delay = self.traffic.now().since(sent_at);
        self.keep_or_close(connection, &response);
        if response.head.status >= 500 {
            self.record_outcome(&entry, EngineOutcome::ErrorResponse);
            return SendOutcome::ErrorResponse(Box::new(response), body);
        }
        self.record_outcome(&entry, EngineOutcome::Answered(delay));
        self.record_admission(AdmissionSignal::Answered(delay));
        let action = self.relay_buffered(&response, &body).await;
        SendOutcome::Finished(action, "answered")
    }

    /// Records that an engine did not run a request.
    pub(super) fn record_not_run(&mut self, entry: &EngineEntry, response: &EngineResponse) {
        self.rejections += 1;
        if response.metadata.misdirected {
            if let Some(key) = &self.metadata.model {
                self.traffic.record_absence(&self.service, &entry.name, key);
            }
        } else {
            self.record_outcome(entry, EngineOutcome::Refused);
            self.traffic.shared.limits().record_rejection(&entry.name);
        }
    }

    /// Returns whether an engine ran a request for a base model on another version than requested.
    pub(super) fn ran_other_version(
        &self,
        entry: &EngineEntry,
        response: &EngineResponse,
        requested: Option<WeightVersion>,
    ) -> bool {
        let names_adapter =
            self.metadata.model.as_ref().is_some_and(|key| adapter_name(key).is_some());
        let ran = response.metadata.version.value().filter(|_| !names_adapter);
        let (Some(requested), Some(ran)) = (requested, ran) else { return false };
        if requested != ran {
            self.traffic.shared.metrics.other_versions.inc();
            log::warn!(
                "{} ran version {ran} instead of {requested}; response discarded",
                entry.name
            );
        }
        requested != ran
    }

    /// Returns the options of a connection for this request; `recent_only` excludes connections
    /// that have been idle for long.
    pub fn connect_options(&self, recent_only: bool) -> ConnectOptions {
        ConnectOptions {
            id: self.metadata.id.clone(),
            recent_only,
            key: self.metadata.model.clone(),
            prefill_tokens: self.metadata.prompt.tokens(),
        }
    }

    /// Records a send to an engine.
    pub(super) fn record_send(&mut self, entry: &EngineEntry) {
        self.sends += 1;
        self.longest_unread = Duration::ZERO;
        self.charge_repeated_run();
        self.last_sent_ms = self.elapsed_ms();
        self.record_run_start();
        self.prefill_ahead = self.pending_prefill_before(entry);
        if !self.sent_to.contains(&entry.name) {
            self.sent_to.push(Arc::clone(&entry.name));
        }
        if self.sends == 1 {
            self.traffic.record_request(&self.service);
        }
    }

    /// Charges a repeated send to the organisation's quota if an earlier one may have run: each run
    /// counts.
    fn charge_repeated_run(&self) {
        if let Some(organisation) = self.organisation.as_ref().filter(|_| self.may_have_run) {
            let now = self.traffic.now();
            self.traffic.shared.quotas().charge_retry(&organisation.name, self.quota_cost, now);
        }
    }

    /// Returns the number of tokens that an engine has to prefill before a request sent there now.
    pub fn pending_prefill_at(&self, entry: &EngineEntry) -> u64 {
        let reported = self.traffic.shared.shared_work().get(&entry.name).pending_prefill_tokens;
        let (_, local) = self.traffic.pool.borrow().health_and_work(&entry.name);
        reported.max(local.pending_prefill_tokens)
    }

    /// Returns the number of tokens that an engine has to prefill before this request's prompt,
    /// which is already included in the local count.
    fn pending_prefill_before(&self, entry: &EngineEntry) -> u64 {
        let reported = self.traffic.shared.shared_work().get(&entry.name).pending_prefill_tokens;
        let (_, local) = self.traffic.pool.borrow().health_and_work(&entry.name);
        reported.max(local.pending_prefill_tokens.saturating_sub(self.metadata.prompt.tokens()))
    }

    /// Records the announcements in a response's head; the request was sent at `sent_at`.
    pub(super) fn record_announcements(
        &self,
        entry: &EngineEntry,
        response: &EngineResponse,
        sent_at: ClockMillis,
    ) {
        let shared = &self.traffic.shared;
        // A limit or cooldown of a response to another request, whose send time is unknown, may be outdated.
        let departure = response.unrelated_announcements.departure;
        let unrelated = EngineAnnouncements { departure, ..EngineAnnouncements::default() };
        if unrelated != EngineAnnouncements::default() {
            shared.record_announcements(entry, &unrelated, sent_at, ResponseKind::Other);
        }
        let metadata = &response.metadata;
        let ran = metadata.signed && !metadata.not_run && !metadata.misdirected;
        let kind = if ran { ResponseKind::Accepted } else { ResponseKind::Rejected };
        shared.record_announcements(entry, &metadata.announcements, sent_at, kind);
        if metadata.not_run {
            let cooldown = matches!(metadata.announcements.cooldown, Declared::Present(_));
            let has_id = metadata.id.is_some();
            shared.metrics.count_rejection(self.sends > 1, cooldown, has_id);
        }
    }

    /// Records the outcome of a send for the engine's health.
    pub fn record_outcome(&self, entry: &EngineEntry, outcome: EngineOutcome) {
        self.traffic.pool.borrow_mut().record_outcome(&entry.name, outcome, self.traffic.now());
    }

    /// Records that a connect to an engine, begun at `began`, failed.
    pub(super) fn record_unreachable(&self, entry: &EngineEntry, began: ClockMillis) {
        let now = self.traffic.now();
        self.traffic.pool.borrow_mut().record_unreachable(&entry.name, began, now);
    }

    /// Serializes the request for an engine.
    pub(super) fn engine_request(
        &self,
        entry: &EngineEntry,
        version: Option<WeightVersion>,
        resume_after: Option<&str>,
    ) -> ForwardedRequest {
        let metadata = ForwardMetadata {
            engine: &entry.name,
            remaining: self.deadline.remaining(),
            priority: self.priority(),
            organisation: self.organisation.as_ref().map(|organisation| &*organisation.name),
            version,
            resume_after,
        };
        let codec = &*self.traffic.shared.codecs.request;
        forwarded_request(codec, &self.request, &metadata)
    }
}
