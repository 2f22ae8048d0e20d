//! Resumes interrupted streams at another engine, after the last complete event.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, limits::share::PermitUse},
};

use crate::{
    engines::{EngineConnection, EnginePool, EngineResponse, send_request},
    traffic::{
        exchange::{Exchange, READ_AHEAD_LIMIT},
        permit::ResumePick,
        pick::EnginePick,
        preflight::SendRejection,
    },
};

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
    /// The deadline leaves no time.
    Deadline,
    /// The request is quarantined.
    Held,
    /// No engine holds the adapter.
    NoCopy,
    /// Only engines that have interrupted the stream could run it.
    Excluded,
    /// No engine of the stream's software version accepts work.
    NoEngine,
    /// The engines have limits or cooldowns, and none of them ended in time.
    NoPermit,
    /// The engine could not be connected to.
    ConnectFailed,
    /// A check right before the send failed.
    Rejected,
    /// The engine refused the request, or its response can't continue the stream.
    EngineRefused,
    /// The engine broke off before its response.
    Interrupted,
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
            Self::ConnectFailed => "connect_failed",
            Self::Rejected => "rejected",
            Self::EngineRefused => "engine_refused",
            Self::Interrupted => "interrupted",
            Self::ClientGone => "client_gone",
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

impl Exchange<'_> {
    /// Records why an interrupted stream was not resumed, in the metrics and for the log event of
    /// the request.
    pub(super) fn record_resume_failure(&mut self, failure: ResumeFailure) {
        self.resume_failure = Some(failure);
        self.traffic.shared.metrics.streams.count_resume_failure(failure);
    }

    /// Resumes an interrupted stream at another engine, after the event with the id `last_id`.
    ///
    /// # Errors
    /// Returns why the stream is not resumed.
    pub(super) async fn resume(
        &mut self,
        interrupted: &EngineEntry,
        last_id: Option<&str>,
    ) -> Result<ResumedSegment, ResumeFailure> {
        if self.sent_to.len() >= self.route.attempt_limit.max(1) as usize {
            return Err(ResumeFailure::AttemptLimit);
        }
        if !self.try_spend_resend() {
            return Err(self.resend_failure());
        }
        let excluded = [Arc::clone(&interrupted.name)];
        let pick = self.pick_for_resume(&excluded).await;
        let (entry, version) = match pick {
            ResumePick::Picked(EnginePick::Engine(entry, version)) => (entry, version),
            ResumePick::Picked(EnginePick::ColdStart) => {
                return Err(self.absence_failure(interrupted));
            }
            ResumePick::Picked(EnginePick::Limited(_) | EnginePick::Cooling(_))
            | ResumePick::TimedOut => return Err(ResumeFailure::NoPermit),
            ResumePick::Picked(EnginePick::Unavailable) => return Err(ResumeFailure::NoEngine),
        };
        let Some(mut permit) = self.acquire_permit(&entry, PermitUse::Resumed) else {
            return Err(ResumeFailure::NoPermit);
        };
        let now = self.traffic.now();
        let options = self.connect_options(true);
        let connecting = EnginePool::connect(&self.traffic.pool, &entry, options, now);
        let Ok(mut connection) = connecting.await else {
            return Err(ResumeFailure::ConnectFailed);
        };
        let request = match self.begin_send(&entry, version, last_id, &mut permit) {
            Ok(request) => request,
            Err(rejection) => {
                connection.close();
                return Err(rejection.into());
            }
        };
        self.traffic.shared.metrics.streams.resumes.inc();
        self.record_path(&mut connection, now);
        let codec = Arc::clone(&self.traffic.shared.codecs.request);
        let (method, id) = (self.request.head.method.clone(), self.metadata.id.clone());
        let sending = send_request(&mut connection, &*codec, &request, &method, &id);
        let response = tokio::select! {
            biased;
            response = sending => Ok(response),
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => Err(ResumeFailure::ClientGone),
            () = self.deadline.clone().expired(Duration::ZERO) => Err(ResumeFailure::Deadline),
        };
        if let Ok(Ok(response)) = &response {
            connection.record_received(self.traffic.now());
            self.record_announcements(&entry, response, now);
        }
        match response {
            Ok(Ok(response))
                if response.head.status == 200
                    && response.metadata.signed
                    && !self.ran_other_version(&entry, &response, version) =>
            {
                Ok((connection, response, now))
            }
            Ok(Err(_)) => {
                connection.close();
                self.handle_interrupted_run(&entry).await;
                Err(ResumeFailure::Interrupted)
            }
            Ok(Ok(_)) => {
                connection.close();
                Err(ResumeFailure::EngineRefused)
            }
            Err(failure) => {
                connection.close();
                Err(failure)
            }
        }
    }

    /// Returns why no further send is allowed.
    fn resend_failure(&self) -> ResumeFailure {
        if self.quarantine_time().is_some() {
            ResumeFailure::Held
        } else if !self.has_time_for_resend() {
            ResumeFailure::Deadline
        } else if self.within_send_limits() {
            ResumeFailure::RetryBudget
        } else {
            ResumeFailure::SendLimit
        }
    }

    /// Returns why no engine can run the request although some are of the stream's software version.
    fn absence_failure(&self, interrupted: &EngineEntry) -> ResumeFailure {
        let table = self.traffic.table();
        let key = self.metadata.model.as_ref();
        let is_held = key.is_some_and(|key| table.loaded_version(key, &interrupted.name).is_some());
        if is_held { ResumeFailure::Excluded } else { ResumeFailure::NoCopy }
    }
}
