//! Checks right before a send: decisions made on arrival may no longer hold.

use reelreel_core::fleet::{EngineEntry, WeightVersion, quarantine::QuarantinedTrait};

use crate::{
    availability::EngineAvailability,
    metrics::EngineCallKind,
    traffic::{
        exchange::{ConnectionAction, Exchange},
        forward::ForwardedRequest,
        local_response::{
            DEADLINE_EXCEEDED, ENGINE_FAILED, KEY_VALIDITY_UNKNOWN, LocalResponse, UNKNOWN_KEY,
        },
        permit::HeldPermit,
    },
};

/// Why a request is not sent to the chosen engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRejection {
    /// Engines terminated while running the request, or others with a part of its prompt.
    Quarantined(QuarantinedTrait),
    /// The key no longer belongs to the organisation that the request was accepted for.
    KeyRejected,
    /// This host can't tell whether the key is still valid.
    KeyValidityUnknown,
    /// The engine is leaving, is gone, or is another incarnation.
    EngineChanged,
    /// The engine is within a cooldown.
    EngineCooling,
    /// The engine has a limit, and this host has no permit.
    NoPermit,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

impl Exchange<'_> {
    /// Checks and records a send right before its first byte; returns the request to send.
    ///
    /// Every send goes through here: a request may have waited for a permit or a connection since
    /// its engine was chosen.
    ///
    /// # Errors
    /// Returns why the request is not sent.
    pub(super) fn begin_send(
        &mut self,
        entry: &EngineEntry,
        version: Option<WeightVersion>,
        resume_after: Option<&str>,
        permit: &mut HeldPermit,
    ) -> Result<ForwardedRequest, SendRejection> {
        if let Some(rejection) = self.request_rejection() {
            return Err(rejection);
        }
        if !self.traffic.table().accepts_work(entry) {
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

    /// Returns why the request must not be sent to any engine now.
    pub(super) fn request_rejection(&self) -> Option<SendRejection> {
        if self.deadline.remaining().is_zero() {
            return Some(SendRejection::DeadlineExceeded);
        }
        if let Some(quarantined) = self.quarantined_trait() {
            return Some(SendRejection::Quarantined(quarantined));
        }
        let organisation = self.organisation.as_ref()?;
        if !self.traffic.shared.serves_keys(self.traffic.now()) {
            return Some(SendRejection::KeyValidityUnknown);
        }
        let table = self.traffic.table();
        let routes = table.routes.as_ref().filter(|routes| routes.revision() != self.revision)?;
        let holds = match routes.identify(&self.route, &self.metadata.key) {
            Ok(holder) => holder.is_none_or(|holder| holder.name == organisation.name),
            Err(_) => false,
        };
        (!holds).then_some(SendRejection::KeyRejected)
    }

    /// Refuses the request if it must not be sent to any engine.
    pub(super) async fn refuse_if_rejected(&mut self) -> Option<(ConnectionAction, &'static str)> {
        let rejection = self.request_rejection()?;
        self.handle_rejection(rejection).await
    }

    /// Handles a rejected send; returns `None` if another engine may take the request.
    pub(super) async fn handle_rejection(
        &mut self,
        rejection: SendRejection,
    ) -> Option<(ConnectionAction, &'static str)> {
        let (response, outcome) = match rejection {
            SendRejection::EngineChanged
            | SendRejection::EngineCooling
            | SendRejection::NoPermit => return None,
            SendRejection::Quarantined(quarantined) => {
                self.held_by = Some(quarantined.suspect.mark);
                (LocalResponse::quarantined(quarantined), "held_back")
            }
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
