//! Dispatch of requests to backend servers, and the end of requests.

use crate::{
    chart::{RequestEvent, RequestState},
    engine::EngineController,
    id::{EngineId, RequestId},
    message::{PeerMessage, PermitDone},
    node::{
        DispatchResult, NodeAction, NodeCore, NotRunReason, RequestDispatch, ServerId,
        backends::ServerView,
        open_request::{OpenRequest, PermitAskState},
    },
    request::{CallerOutcome, RefusalKind, RequestRefusal},
};

impl NodeCore {
    /// Dispatches a request to a plain server.
    ///
    /// Plain servers hold no adapters, so they have no owner and need no permit.
    pub(super) fn dispatch_plain(&mut self, id: RequestId) {
        let Some(server) = self.choose_server(id) else {
            let message = "no server of the service is known and live";
            let refusal = RequestRefusal::not_run(RefusalKind::NoBackend, message);
            self.end_not_run(id, refusal.retry_after(std::time::Duration::from_secs(2)));
            return;
        };
        let now = self.now();
        let Some(view) = self.backends.servers.get_mut(&server) else { return };
        view.outstanding += 1;
        let address = view.info.address.clone();
        let Some(entry) = self.open_requests.get_mut(&id) else { return };
        entry.attempt += 1;
        entry.server = Some(server);
        entry.state = entry.state.after(RequestEvent::Permitted);
        let dispatch = RequestDispatch {
            request: id,
            address,
            adapter_name: String::new(),
            base_model: String::new(),
            token: 0,
            priority: entry.settings.priority,
            max_tokens: 0,
            max_wait: entry.deadline.since(now),
            issued_at: now,
        };
        self.set_timer(id, None);
        self.actions.push(NodeAction::Dispatch(dispatch));
    }

    fn choose_server(&self, id: RequestId) -> Option<ServerId> {
        let now = self.now();
        let entry = self.open_requests.get(&id)?;
        let usable = |view: &&ServerView| {
            view.info.service == entry.service_name
                && !view.leaving_mark.is_set()
                && now >= view.avoid_until
        };
        let cost = |view: &&ServerView| {
            let remote = view.info.hall != self.config.hall;
            (remote, view.outstanding, view.info.server)
        };
        let views = self.backends.servers.values();
        views.filter(usable).min_by_key(cost).map(|view| view.info.server)
    }

    /// Handles the result of a dispatch.
    pub(super) fn finish_dispatch(&mut self, id: RequestId, result: DispatchResult) {
        let Some(entry) = self.open_requests.get(&id) else { return };
        if !entry.state.is_dispatched() {
            return;
        }
        // Only an exchange that the backend server itself ended is known to be over there.
        let clean = matches!(
            result,
            DispatchResult::Answered | DispatchResult::NotRun(_) | DispatchResult::BackendError
        );
        self.return_permit(id, clean);
        match result {
            DispatchResult::Answered => self.end_answered(id),
            DispatchResult::NotRun(reason) => self.handle_not_run(id, reason),
            DispatchResult::Interrupted { answer_started } => {
                self.handle_interrupted(id, answer_started);
            }
            DispatchResult::BackendError => {
                let message = "the backend server answered with an error";
                let refusal = RequestRefusal::unknown(RefusalKind::BackendError, message);
                self.end_dispatched(id, RequestEvent::Broke, refusal);
            }
            DispatchResult::CallerGone => {
                let refusal = RequestRefusal::unknown(RefusalKind::CallerGone, "caller hung up");
                self.end_dispatched(id, RequestEvent::GivenUp, refusal);
            }
        }
    }

    /// Returns a permit to the engine's owner.
    fn return_permit(&mut self, id: RequestId, clean: bool) {
        let Some(entry) = self.open_requests.get(&id) else { return };
        let (attempt, owner) = (entry.attempt, entry.owner);
        if let Some(server) = entry.server
            && let Some(view) = self.backends.servers.get_mut(&server)
        {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
        let Some(engine) = entry.engine else { return };
        if let Some(view) = self.backends.engines.get_mut(&engine) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
        if let Some(owner) = owner {
            let done = PermitDone { request: id, attempt, engine, clean };
            self.send(owner, PeerMessage::PermitDone(done));
        }
    }

    fn handle_not_run(&mut self, id: RequestId, reason: NotRunReason) {
        let avoid_until = self.now() + self.config.times.avoid_duration;
        let Some(entry) = self.open_requests.get_mut(&id) else { return };
        entry.state = entry.state.after(RequestEvent::NeverRan);
        entry.ask_state = PermitAskState::Backoff;
        let (engine, server, adapter) = (entry.engine, entry.server, entry.adapter());
        match reason {
            NotRunReason::NoConnection | NotRunReason::Full => {
                let engine = engine.and_then(|engine| self.backends.engines.get_mut(&engine));
                let server = server.and_then(|server| self.backends.servers.get_mut(&server));
                if let Some(view) = engine {
                    view.avoid_until = avoid_until;
                }
                if let Some(view) = server {
                    view.avoid_until = avoid_until;
                }
            }
            NotRunReason::Leaving => {
                if let Some(engine) = engine {
                    self.mark_leaving(engine);
                }
                if let Some(server) = server {
                    self.mark_server_leaving(server);
                }
            }
            NotRunReason::NotResident => {
                if let (Some(engine), Some(adapter)) = (engine, adapter) {
                    self.backends.remove_holder(engine, adapter);
                }
            }
            NotRunReason::StaleToken | NotRunReason::DispatchTooLate => {}
        }
        match reason {
            NotRunReason::NoConnection | NotRunReason::Leaving => self.route_request(id),
            _ => self.reroute_later(id),
        }
    }

    fn handle_interrupted(&mut self, id: RequestId, answer_started: bool) {
        let now = self.now();
        let Some(entry) = self.open_requests.get(&id) else { return };
        let retry = entry.repeatable && !answer_started && now < entry.deadline;
        let share = entry.settings.retry_share;
        if retry && self.retry_budget.take(share, now) {
            self.counters.retries += 1;
            if let Some(entry) = self.open_requests.get_mut(&id) {
                entry.state = entry.state.after(RequestEvent::Retried);
                entry.ask_state = PermitAskState::Backoff;
            }
            self.reroute_later(id);
            return;
        }
        let message = "the exchange with the backend server broke off";
        let refusal = RequestRefusal::unknown(RefusalKind::BackendBroke, message);
        self.end_dispatched(id, RequestEvent::Broke, refusal);
    }

    fn end_answered(&mut self, id: RequestId) {
        self.counters.answered += 1;
        self.claim_tracker.finish(id);
        self.close_request(id, RequestEvent::AnswerEnded);
    }

    /// Ends a request that may have run.
    fn end_dispatched(&mut self, id: RequestId, event: RequestEvent, refusal: RequestRefusal) {
        self.claim_tracker.finish(id);
        self.counters.unknown += 1;
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        self.close_request(id, event);
        self.actions.push(NodeAction::Refuse { request: id, refusal });
    }

    /// Ends a request that is not at a backend server and refuses it to the caller.
    ///
    /// If an earlier attempt may have run, the outcome reported to the caller is unknown.
    pub(super) fn end_not_run(&mut self, id: RequestId, mut refusal: RequestRefusal) {
        let Some(entry) = self.open_requests.get(&id) else { return };
        if entry.state.after(RequestEvent::GivenUp) == RequestState::Unknown {
            refusal.outcome = CallerOutcome::Unknown;
        }
        self.withdraw_permit_ask(id);
        self.claim_tracker.abandon(id);
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        if refusal.outcome == CallerOutcome::Unknown {
            self.counters.unknown += 1;
        }
        self.close_request(id, RequestEvent::GivenUp);
        self.actions.push(NodeAction::Refuse { request: id, refusal });
    }

    /// Ends a request whose caller disconnected before it was dispatched.
    pub(super) fn handle_caller_gone(&mut self, id: RequestId) {
        let waits = self
            .open_requests
            .get(&id)
            .is_some_and(|entry| entry.state == RequestState::Claiming || entry.state.is_asking());
        if waits {
            let refusal = RequestRefusal::not_run(RefusalKind::CallerGone, "caller hung up");
            self.end_not_run(id, refusal);
        }
    }

    fn close_request(&mut self, id: RequestId, event: RequestEvent) {
        let Some(entry) = self.open_requests.remove(&id) else { return };
        self.timers.remove(&(entry.timer_at, id));
        debug_assert!(
            entry.state.after(event) != entry.state,
            "{event:?} does not end a request in state {:?}",
            entry.state
        );
    }

    /// Marks an engine as leaving until a later incarnation of it serves.
    pub(super) fn mark_leaving(&mut self, engine: EngineId) {
        let known = self.controllers.get(&engine).map_or(0, EngineController::incarnation);
        let Some(view) = self.backends.engines.get_mut(&engine) else { return };
        let digest_incarnation = view.digest.as_ref().map_or(0, |digest| digest.incarnation);
        if view.leaving_mark.mark(view.info.incarnation, known.max(digest_incarnation)) {
            self.record_event(format!("engine {engine}"), "seen leaving");
        }
        self.with_controller(engine, EngineController::mark_leaving);
    }

    fn mark_server_leaving(&mut self, server: ServerId) {
        if let Some(view) = self.backends.servers.get_mut(&server) {
            view.leaving_mark.mark(view.info.incarnation, 0);
        }
    }
}

impl OpenRequest {
    pub(super) const fn adapter(&self) -> Option<crate::id::AdapterKey> {
        match &self.route {
            super::open_request::RequestRoute::Adapter { adapter, .. } => Some(*adapter),
            super::open_request::RequestRoute::Plain => None,
        }
    }
}
