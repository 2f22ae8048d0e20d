//! Resumes interrupted streams after the last complete event, at another engine or the same one.
//!
//! Like a first send, a resume waits for an engine if one is expected in time: for the load of its
//! adapter, a permit, or the end of a cooldown or backoff.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, WeightVersion, cold_start::client_event_timeout,
        engine_links::ConnectFailure, health::EngineOutcome, limits::share::PermitUse,
        resume_wait::ResumeWait,
    },
};

use crate::{
    availability::EngineAvailability,
    engines::{EngineConnection, EnginePool, EngineResponse, send_request},
    traffic::{
        exchange::{Exchange, READ_AHEAD_LIMIT, RETRY_DELAY},
        permit::PermitWait,
        pick::EnginePick,
        preflight::SendRejection,
        wait::{RECHECK_INTERVAL, WaitGuard},
    },
};

/// Delay before an engine is picked again after a check right before the send failed.
const REPICK_DELAY: Duration = Duration::from_millis(10);

/// How long an interrupted stream waits for the retry budget.
const RETRY_BUDGET_WAIT: Duration = Duration::from_millis(400);

/// Interval at which it asks for the budget meanwhile.
const RETRY_BUDGET_INTERVAL: Duration = Duration::from_millis(50);

/// Why an interrupted stream was not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeFailure {
    /// The route allows no resume.
    NotResumable,
    /// The stream was resumed as often as one may be.
    ResumeLimit,
    /// The route's limit of engines for one request is reached.
    AttemptLimit,
    /// The request was sent as often as one may be.
    SendLimit,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// The deadline, or what clients wait for an event, leaves no time.
    Deadline,
    /// The request is quarantined.
    Held,
    /// No engine holds the adapter.
    NoCopy,
    /// Only engines that have interrupted the stream, or to which it can't be sent, could run it.
    Excluded,
    /// No engine of the stream's software version accepts work.
    NoEngine,
    /// The engines have limits or cooldowns, and none of them ended in time.
    NoPermit,
    /// A check right before the send failed.
    Rejected,
    /// The client disconnected.
    ClientGone,
}

impl ResumeFailure {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotResumable => "not_resumable",
            Self::ResumeLimit => "resume_limit",
            Self::AttemptLimit => "attempt_limit",
            Self::SendLimit => "send_limit",
            Self::RetryBudget => "retry_budget",
            Self::Deadline => "deadline",
            Self::Held => "held",
            Self::NoCopy => "no_copy",
            Self::Excluded => "excluded",
            Self::NoEngine => "no_engine",
            Self::NoPermit => "no_permit",
            Self::Rejected => "rejected",
            Self::ClientGone => "client_gone",
        }
    }

    /// Returns the outcome of the request for logs and metrics.
    pub const fn outcome(self) -> &'static str {
        match self {
            Self::ClientGone => "client_gone",
            Self::Deadline => "time_over",
            _ => "stream_broken",
        }
    }
}

impl From<SendRejection> for ResumeFailure {
    fn from(rejection: SendRejection) -> Self {
        match rejection {
            SendRejection::Quarantined(_) => Self::Held,
            SendRejection::DeadlineExceeded => Self::Deadline,
            SendRejection::NoPermit | SendRejection::EngineCooling => Self::NoPermit,
            SendRejection::KeyRejected
            | SendRejection::KeyValidityUnknown
            | SendRejection::EngineChanged => Self::Rejected,
        }
    }
}

/// A response that continues a stream, and when its request was sent.
pub(super) type ResumedSegment = (EngineConnection, EngineResponse, ClockMillis);

/// Outcome of sending an interrupted stream to an engine.
enum ResumeSend {
    /// The engine continues the stream.
    Resumed(Box<ResumedSegment>),
    /// Nothing reached the engine.
    NotSent,
    /// The engine does not continue the stream.
    NotContinued,
}

/// What an interrupted stream goes on after.
struct ResumePoint<'stream> {
    /// The id of the last relayed event, if it had one.
    last_id: Option<&'stream str>,
    /// When the last event was relayed.
    last_event: ClockMillis,
    /// When the stream was interrupted.
    interrupted_at: ClockMillis,
}

impl Exchange<'_> {
    /// Records why an interrupted stream was not resumed, in the metrics and for the log event of
    /// the request.
    pub(super) fn record_resume_failure(&mut self, failure: ResumeFailure) {
        self.resume_failure = Some(failure);
        self.traffic.shared.metrics.streams.count_resume_failure(failure);
    }

    /// Records that an engine interrupted the request, or that its response was of no use.
    ///
    /// One that lives on holds the adapter and often the prompt, so it may get the request once
    /// more. A server without models is left to other requests, unless a stream goes on.
    pub(super) fn record_interruption(&mut self, engine: &EngineName, has_ended: bool) {
        let may_return = self.metadata.model.is_some() || self.first_byte_ms > 0;
        if has_ended || !may_return || self.interrupted_by.contains(engine) {
            self.interrupted_by.retain(|name| name != engine);
            self.failed_engines.push(Arc::clone(engine));
        } else {
            self.interrupted_by.push(Arc::clone(engine));
        }
    }

    /// Resumes an interrupted stream after the event with the id `last_id`, relayed at `last_event`;
    /// waits for an engine as long as one is expected in time.
    ///
    /// # Errors
    /// Returns why the stream is not resumed.
    pub(super) async fn resume(
        &mut self,
        last_id: Option<&str>,
        last_event: ClockMillis,
    ) -> Result<ResumedSegment, ResumeFailure> {
        let interrupted_at = self.traffic.now();
        let point = ResumePoint { last_id, last_event, interrupted_at };
        let mut is_paid = false;
        loop {
            if !self.within_send_limits() {
                return Err(self.resend_failure());
            }
            let (entry, version) = self.wait_to_resume(&point).await?;
            if !is_paid && !self.try_spend_resend() {
                self.await_retry_budget(&point).await?;
                continue;
            }
            is_paid = true;
            match self.send_to_resume(&entry, version, &point).await? {
                ResumeSend::Resumed(segment) => return Ok(*segment),
                ResumeSend::NotContinued => is_paid = false,
                ResumeSend::NotSent => {}
            }
        }
    }

    /// Waits a moment for the retry budget, which requests refill.
    ///
    /// # Errors
    /// Returns why the stream is given up: the budget was not refilled in time, or no further send
    /// is allowed.
    async fn await_retry_budget(&mut self, point: &ResumePoint<'_>) -> Result<(), ResumeFailure> {
        let failure = self.resend_failure();
        let waited = self.traffic.now().since(point.interrupted_at);
        if failure != ResumeFailure::RetryBudget || waited >= RETRY_BUDGET_WAIT {
            return Err(failure);
        }
        self.delay_repick(RETRY_BUDGET_INTERVAL).await
    }

    /// Waits until an engine can resume the stream.
    ///
    /// The stream counts as waiting for its adapter meanwhile, so that the placer loads it.
    async fn wait_to_resume(
        &mut self,
        point: &ResumePoint<'_>,
    ) -> Result<(Arc<EngineEntry>, Option<WeightVersion>), ResumeFailure> {
        let mut changes = self.traffic.table_changes();
        let mut permits = self.traffic.shared.permits.subscribe();
        let (mut permit_wait, mut guard) = (None, None);
        let started_at = self.traffic.now();
        let outcome = loop {
            if let Some(rejection) = self.request_rejection() {
                break Err(rejection.into());
            }
            if self.traffic.now().since(point.last_event) > self.client_event_timeout() {
                break Err(ResumeFailure::Deadline);
            }
            let picked = match self.pick_to_resume() {
                EnginePick::Engine(entry, version) => break Ok((entry, version)),
                picked => picked,
            };
            self.update_resume_permit(&picked, &mut permit_wait);
            let wait = self.resume_wait(&picked, permit_wait.as_ref(), point);
            let Some(time) = wait.decide() else {
                break Err(self.absence_failure(&picked));
            };
            self.count_waiting_stream(&wait, &mut guard);
            tokio::select! {
                biased;
                () = self.client.wait_closed(READ_AHEAD_LIMIT) => {
                    break Err(ResumeFailure::ClientGone);
                }
                change = changes.changed() => if change.is_err() {
                    break Err(ResumeFailure::NoEngine);
                },
                _ = permits.changed() => {}
                () = tokio::time::sleep(time.min(RECHECK_INTERVAL)) => {}
            }
        };
        self.waited += self.traffic.now().since(started_at);
        outcome
    }

    /// Returns how long the client waits for the next event.
    fn client_event_timeout(&self) -> Duration {
        client_event_timeout(self.route.latency_target, self.route.max_event_gap)
    }

    /// Waits before an engine is picked again.
    ///
    /// # Errors
    /// Returns an error if the client disconnects.
    async fn delay_repick(&mut self, delay: Duration) -> Result<(), ResumeFailure> {
        tokio::select! {
            biased;
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => Err(ResumeFailure::ClientGone),
            () = tokio::time::sleep(delay) => Ok(()),
        }
    }

    /// Picks an engine for an interrupted stream: one that has not interrupted it if possible.
    fn pick_to_resume(&self) -> EnginePick {
        let unusable = self.unusable_engines();
        let excluded = [&unusable[..], &self.interrupted_by].concat();
        let picked = self.pick_for_resume(&excluded, &[]);
        if matches!(picked, EnginePick::Engine(..)) || self.interrupted_by.is_empty() {
            return picked;
        }
        self.pick_for_resume(&unusable, &self.interrupted_by)
    }

    /// Returns what the decision about a wait depends on while no engine can be picked.
    fn resume_wait(
        &self,
        picked: &EnginePick,
        permit_wait: Option<&PermitWait>,
        point: &ResumePoint<'_>,
    ) -> ResumeWait {
        let now = self.traffic.now();
        let available_in = match picked {
            EnginePick::Limited(_) => permit_wait.and_then(PermitWait::expected_wait),
            EnginePick::Cooling(cooling) => Some(cooling.available_at.since(now)),
            EnginePick::ColdStart => self.copy_available_in(now),
            EnginePick::Engine(..) | EnginePick::Unavailable => None,
        };
        ResumeWait {
            silence: now.since(point.last_event),
            waited: now.since(point.interrupted_at),
            latency_target: self.route.latency_target,
            max_event_gap: self.route.max_event_gap,
            remaining: self.deadline.remaining(),
            prefill_time: self
                .traffic
                .prefill_time_for(&self.service, self.metadata.prompt.tokens()),
            available_in,
            loadable: self.has_candidate(&self.unusable_engines()),
            schedule: self.load_schedule(),
            now,
        }
    }

    /// Returns whether an engine that may get the stream accepts requests, or will once it has
    /// loaded the adapter.
    fn has_candidate(&self, unusable: &[EngineName]) -> bool {
        let table = self.traffic.table();
        let availability = self.traffic.shared.availability();
        table.ready_engines(&self.service).any(|entry| {
            !unusable.contains(&entry.name)
                && self.allows_software(entry)
                && availability.without_limit(entry) != EngineAvailability::Departing
        })
    }

    /// Counts the stream as waiting for its adapter, and reports that it needs another copy unless
    /// one becomes available.
    fn count_waiting_stream(&self, wait: &ResumeWait, guard: &mut Option<WaitGuard>) {
        let Some(key) = &self.metadata.model else { return };
        // The copies are of use to other hosts, and to this one through them.
        let is_isolated = self.traffic.shared.links.is_isolated();
        if !wait.expects_copy() && !is_isolated {
            self.report_needed_copy();
        }
        let worth = self.weighted_worth(wait.worth());
        if let Some(guard) = guard {
            guard.update_worth(worth);
        } else {
            let tokens = self.metadata.prompt.tokens();
            *guard = Some(WaitGuard::new(self.traffic, &self.service, key, tokens, worth));
        }
    }

    /// Sends an interrupted stream to an engine.
    ///
    /// # Errors
    /// Returns why the stream is not resumed, if no other engine may be tried.
    async fn send_to_resume(
        &mut self,
        entry: &Arc<EngineEntry>,
        version: Option<WeightVersion>,
        point: &ResumePoint<'_>,
    ) -> Result<ResumeSend, ResumeFailure> {
        let Some(mut permit) = self.acquire_permit(entry, PermitUse::Resumed) else {
            self.delay_repick(REPICK_DELAY).await?;
            return Ok(ResumeSend::NotSent);
        };
        let now = self.traffic.now();
        let options = self.connect_options(true);
        let connecting = EnginePool::connect(&self.traffic.pool, entry, options, now);
        let connected = tokio::select! {
            biased;
            connected = connecting => connected,
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => {
                return Err(ResumeFailure::ClientGone);
            }
        };
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                self.record_connect_failure(ConnectFailure::from(&error));
                self.record_unreachable(entry, now);
                self.exclude_unconnected(entry);
                return Ok(ResumeSend::NotSent);
            }
        };
        let request = match self.begin_send(entry, version, point.last_id, &mut permit) {
            Ok(request) => request,
            Err(rejection) => {
                connection.close();
                if let Some(failure) = final_rejection(rejection) {
                    return Err(failure);
                }
                self.delay_repick(REPICK_DELAY).await?;
                return Ok(ResumeSend::NotSent);
            }
        };
        self.traffic.shared.metrics.streams.resumes.inc();
        let sent_at = self.traffic.now();
        self.record_path(&mut connection, sent_at);
        let shared = Arc::clone(&self.traffic.shared);
        let (method, id) = (self.request.head.method.clone(), self.metadata.id.clone());
        let sending = send_request(&mut connection, &shared, &request, &method, &id);
        let head_timeout =
            self.client_event_timeout().saturating_sub(sent_at.since(point.last_event));
        let response = tokio::select! {
            biased;
            response = sending => Ok(response),
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => Err(ResumeFailure::ClientGone),
            () = self.deadline.clone().expired(Duration::ZERO) => Err(ResumeFailure::Deadline),
            () = tokio::time::sleep(head_timeout) => Err(ResumeFailure::Deadline),
        };
        match response {
            Ok(Ok(response)) => {
                connection.record_received(self.traffic.now());
                self.record_announcements(entry, &response, sent_at);
                self.accept_resumed(connection, response, version, sent_at).await
            }
            Ok(Err(_)) => {
                connection.close();
                let has_ended = self.handle_interrupted_run(entry).await;
                self.record_interruption(&entry.name, has_ended);
                Ok(ResumeSend::NotContinued)
            }
            Err(failure) => {
                connection.close();
                Err(failure)
            }
        }
    }

    /// Checks whether a response continues the stream.
    ///
    /// # Errors
    /// Returns an error if the client disconnects.
    async fn accept_resumed(
        &mut self,
        connection: EngineConnection,
        response: EngineResponse,
        version: Option<WeightVersion>,
        sent_at: ClockMillis,
    ) -> Result<ResumeSend, ResumeFailure> {
        let entry = Arc::clone(&connection.entry);
        if response.metadata.not_run || response.metadata.misdirected {
            self.current_run = None;
            self.record_not_run(&entry, &response);
            self.drain_and_keep(connection, response).await;
            let next = self.pick_to_resume();
            if matches!(next, EnginePick::Engine(next, _) if next.name == entry.name) {
                self.delay_repick(RETRY_DELAY).await?;
            }
            return Ok(ResumeSend::NotContinued);
        }
        if response.head.status == 200
            && response.metadata.signed
            && !self.ran_other_version(&entry, &response, version)
        {
            return Ok(ResumeSend::Resumed(Box::new((connection, response, sent_at))));
        }
        connection.close();
        self.record_outcome(&entry, EngineOutcome::Failed);
        self.record_interruption(&entry.name, false);
        Ok(ResumeSend::NotContinued)
    }

    /// Returns why no further send is allowed.
    fn resend_failure(&self) -> ResumeFailure {
        if self.quarantined_trait().is_some() {
            ResumeFailure::Held
        } else if !self.has_time_for_resend() {
            ResumeFailure::Deadline
        } else if self.within_send_limits() {
            ResumeFailure::RetryBudget
        } else {
            ResumeFailure::SendLimit
        }
    }

    /// Returns why no engine resumes the stream, after a pick that found none.
    fn absence_failure(&self, picked: &EnginePick) -> ResumeFailure {
        if matches!(picked, EnginePick::Limited(_) | EnginePick::Cooling(_)) {
            return ResumeFailure::NoPermit;
        }
        let table = self.traffic.table();
        let is_held = |engine: &EngineName| match &self.metadata.model {
            Some(key) => table.loaded_version(key, engine).is_some(),
            None => true,
        };
        if !self.may_try_other_engine() && self.has_candidate(&self.failed_engines) {
            ResumeFailure::AttemptLimit
        } else if self.unusable_engines().iter().any(is_held) {
            ResumeFailure::Excluded
        } else if matches!(picked, EnginePick::ColdStart) {
            ResumeFailure::NoCopy
        } else {
            ResumeFailure::NoEngine
        }
    }
}

/// Returns why a stream is not resumed after a rejected send, or `None` if another engine may be
/// tried.
fn final_rejection(rejection: SendRejection) -> Option<ResumeFailure> {
    match rejection {
        SendRejection::EngineChanged | SendRejection::EngineCooling | SendRejection::NoPermit => {
            None
        }
        SendRejection::Quarantined(_)
        | SendRejection::KeyRejected
        | SendRejection::KeyValidityUnknown
        | SendRejection::DeadlineExceeded => Some(rejection.into()),
    }
}
