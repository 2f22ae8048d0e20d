//! The last look before a request goes to an engine: what was decided when it arrived may hold no longer.

use std::time::Duration;

use bytes::Bytes;
use reelreel_core::fleet::{EngineEntry, WeightVersion};

use crate::{
    entry::{
        answer::{ENGINE_FAILED, KEYS_IN_DOUBT, NO_ORGANISATION, OwnAnswer, TIME_OVER},
        exchange::{Exchange, ExchangeEnd},
        permit::HeldPermit,
    },
    metrics::EngineCallKind,
};

/// Why a request is not sent to the engine that was chosen for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendBar {
    /// Engines ended under it; it is held back for so long.
    HeldBack(Duration),
    /// No organisation holds its key any more.
    KeyRefused,
    /// This host can not tell whether its key still holds.
    KeysInDoubt,
    /// The engine leaves, is gone, or lives another life.
    EngineChanged,
    /// The engine has named a limit, and this host has no permit.
    LimitUsed,
    /// Its time is over.
    TimeOver,
}

impl Exchange<'_> {
    /// Begins a send to an engine: every way to one goes through here, right before the first byte. Returns what the engine gets.
    ///
    /// Without it a request that waited for its adapter, a place or a connection ended one engine more after it had been held back, ran
    /// with a withdrawn key, or went to an engine that had said that it leaves.
    ///
    /// # Errors
    /// Returns why the request is not sent.
    pub(super) fn begin_send(
        &mut self,
        entry: &EngineEntry,
        version: Option<WeightVersion>,
        resume_after: Option<&str>,
        permit: &mut HeldPermit,
    ) -> Result<Bytes, SendBar> {
        if let Some(bar) = self.request_bar() {
            return Err(bar);
        }
        if !self.traffic.table().takes_work(entry) {
            return Err(SendBar::EngineChanged);
        }
        if !permit.use_up(self.permit_use()) {
            return Err(SendBar::LimitUsed);
        }
        let request = self.engine_request(entry, version, resume_after);
        let kind = match (resume_after, self.sends) {
            (Some(_), _) => EngineCallKind::Resume,
            (None, 0) => EngineCallKind::Request,
            (None, _) => EngineCallKind::Repeat,
        };
        self.traffic.shared.count_engine_call(&entry.name, kind);
        self.count_send(entry);
        Ok(request)
    }

    /// Returns why the request is not sent to any engine now.
    pub(super) fn request_bar(&self) -> Option<SendBar> {
        if self.deadline.remaining().is_zero() {
            return Some(SendBar::TimeOver);
        }
        if let Some(time) = self.held_back() {
            return Some(SendBar::HeldBack(time));
        }
        let organisation = self.organisation.as_ref()?;
        if !self.traffic.shared.serves_keys(self.traffic.now()) {
            return Some(SendBar::KeysInDoubt);
        }
        let table = self.traffic.table();
        let routes = table.routes.as_ref().filter(|routes| routes.revision() != self.revision)?;
        let holds = match routes.identify(&self.route, &self.facts.key) {
            Ok(holder) => holder.is_none_or(|holder| holder.name == organisation.name),
            Err(_) => false,
        };
        (!holds).then_some(SendBar::KeyRefused)
    }

    /// Refuses the request at once where it would not be sent.
    pub(super) async fn refuse_barred(&mut self) -> Option<(ExchangeEnd, &'static str)> {
        let bar = self.request_bar()?;
        self.barred(bar).await
    }

    /// Ends a request that is not sent; `None` when another engine may take it.
    pub(super) async fn barred(&mut self, bar: SendBar) -> Option<(ExchangeEnd, &'static str)> {
        let (answer, outcome) = match bar {
            SendBar::EngineChanged | SendBar::LimitUsed => return None,
            SendBar::HeldBack(time) => (OwnAnswer::held_back(time), "held_back"),
            SendBar::KeyRefused => (NO_ORGANISATION, "key_refused"),
            SendBar::KeysInDoubt => (KEYS_IN_DOUBT, "keys_in_doubt"),
            SendBar::TimeOver if self.may_have_run => (TIME_OVER, "time_over"),
            SendBar::TimeOver => return Some(self.give_up("time_over").await),
        };
        let unknown = self.may_have_run && bar != SendBar::TimeOver;
        let answer = if unknown { ENGINE_FAILED } else { answer };
        Some(self.answer(answer, outcome).await)
    }
}
