//! The preflight check of a request: what was decided when it arrived may no longer hold when it is sent.

use std::time::Duration;

use bytes::Bytes;
use reelreel_core::fleet::{EngineEntry, WeightVersion};

use crate::{
    availability::EngineAvailability,
    metrics::EngineCallKind,
    traffic::{
        exchange::{ConnectionAction, Exchange},
        local_response::{
            DEADLINE_EXCEEDED, ENGINE_FAILED, KEY_VALIDITY_UNKNOWN, LocalResponse, UNKNOWN_KEY,
        },
        permit::HeldPermit,
    },
};

/// Why a request is not sent to the engine that was chosen for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRejection {
    /// Engines ended under it; it is held back for so long.
    Quarantined(Duration),
    /// No organisation holds its key any more.
    KeyRejected,
    /// This host can not tell whether its key still holds.
    KeyValidityUnknown,
    /// The engine is leaving, has ended, or is another incarnation.
    EngineChanged,
    /// The engine wants no requests from this host for a while.
    EngineCooling,
    /// The engine has named a limit, and this host has no permit.
    NoPermit,
    /// Its time is over.
    DeadlineExceeded,
}

impl Exchange<'_> {
    /// Begins a send to an engine, right before its first byte. Returns what the engine gets.
    ///
    /// Every send goes through here: a request may have waited for its adapter, a slot or a connection since its engine was
    /// chosen.
    ///
    /// # Errors
    /// Returns why the request is not sent.
    pub(super) fn begin_send(
        &mut self,
        entry: &EngineEntry,
        version: Option<WeightVersion>,
        resume_after: Option<&str>,
        permit: &mut HeldPermit,
    ) -> Result<Bytes, SendRejection> {
        if let Some(rejection) = self.request_rejection() {
            return Err(rejection);
        }
        if !self.traffic.table().takes_work(entry) {
            return Err(SendRejection::EngineChanged);
        }
        let shared = &self.traffic.shared;
        match shared.availability().without_limit(entry) {
            EngineAvailability::Available | EngineAvailability::Limited => {}
            EngineAvailability::Cooling(_) => return Err(SendRejection::EngineCooling),
            EngineAvailability::Departing => return Err(SendRejection::EngineChanged),
        }
        if !permit.consume(self.permit_use()) {
            return Err(SendRejection::NoPermit);
        }
        let request = self.engine_request(entry, version, resume_after);
        let kind = match (resume_after, self.sends) {
            (Some(_), _) => EngineCallKind::Resume,
            (None, 0) => EngineCallKind::Request,
            (None, _) => EngineCallKind::Repeat,
        };
        self.traffic.shared.count_engine_call(&entry.name, kind);
        self.traffic.shared.cooldowns().record_sent(
            &entry.name,
            entry.incarnation,
            self.traffic.now(),
        );
        self.record_send(entry);
        Ok(request)
    }

    /// Returns why no engine may be sent the request now.
    pub(super) fn request_rejection(&self) -> Option<SendRejection> {
        if self.deadline.remaining().is_zero() {
            return Some(SendRejection::DeadlineExceeded);
        }
        if let Some(time) = self.quarantine_time() {
            return Some(SendRejection::Quarantined(time));
        }
        let organisation = self.organisation.as_ref()?;
        if !self.traffic.shared.serves_keys(self.traffic.now()) {
            return Some(SendRejection::KeyValidityUnknown);
        }
        let table = self.traffic.table();
        let routes = table.routes.as_ref().filter(|routes| routes.revision() != self.revision)?;
        let holds = match routes.identify(&self.route, &self.facts.key) {
            Ok(holder) => holder.is_none_or(|holder| holder.name == organisation.name),
            Err(_) => false,
        };
        (!holds).then_some(SendRejection::KeyRejected)
    }

    /// Refuses a request that no engine may be sent.
    pub(super) async fn refuse_if_rejected(&mut self) -> Option<(ConnectionAction, &'static str)> {
        let rejection = self.request_rejection()?;
        self.handle_rejection(rejection).await
    }

    /// Ends a request that failed the preflight check; `None` when another engine may take it.
    pub(super) async fn handle_rejection(
        &mut self,
        rejection: SendRejection,
    ) -> Option<(ConnectionAction, &'static str)> {
        let (response, outcome) = match rejection {
            SendRejection::EngineChanged
            | SendRejection::EngineCooling
            | SendRejection::NoPermit => return None,
            SendRejection::Quarantined(time) => (LocalResponse::quarantined(time), "held_back"),
            SendRejection::KeyRejected => (UNKNOWN_KEY, "key_refused"),
            SendRejection::KeyValidityUnknown => (KEY_VALIDITY_UNKNOWN, "keys_in_doubt"),
            SendRejection::DeadlineExceeded if self.may_have_run => {
                (DEADLINE_EXCEEDED, "time_over")
            }
            SendRejection::DeadlineExceeded => return Some(self.give_up("time_over").await),
        };
        let unknown = self.may_have_run && rejection != SendRejection::DeadlineExceeded;
        let response = if unknown { ENGINE_FAILED } else { response };
        Some(self.respond(response, outcome).await)
    }
}
