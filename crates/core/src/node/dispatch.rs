//! A request at a backend server, and the end of a request.

use crate::{
    chart::{RequestEvent, RequestState},
    engine::EngineControl,
    id::{EngineId, RequestId},
    message::{PeerMessage, PermitDone},
    node::{
        DispatchEnding, DispatchOrder, NodeCore, NodeOrder, NotRunReason, ServerId,
        open::{AskState, OpenRequest},
        table::ServerView,
    },
    request::{CallerOutcome, RefusalKind, RequestRefusal},
};

impl NodeCore {
    /// Sends a request to a plain server. No owner is asked: the host that a caller came to is the
    /// request's only dispatcher, and plain servers have no adapters to guard.
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
        let address = view.facts.address.clone();
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempt += 1;
        open.server = Some(server);
        open.state = open.state.after(RequestEvent::Permitted);
        let order = DispatchOrder {
            request: id,
            address,
            adapter_name: String::new(),
            base_model: String::new(),
            token: 0,
            priority: open.settings.priority,
            max_tokens: 0,
            max_wait: open.deadline.since(now),
            issued: now,
        };
        self.set_timer(id, None);
        self.orders.push(NodeOrder::Dispatch(order));
    }

    fn choose_server(&self, id: RequestId) -> Option<ServerId> {
        let now = self.now();
        let open = self.open.get(&id)?;
        let usable = |view: &&ServerView| {
            view.facts.service == open.service_name
                && !view.leave.holds()
                && now >= view.avoid_until
        };
        let cost = |view: &&ServerView| {
            let far = view.facts.hall != self.config.hall;
            (far, view.outstanding, view.facts.server)
        };
        let views = self.backends.servers.values();
        views.filter(usable).min_by_key(cost).map(|view| view.facts.server)
    }

    /// Takes the end of an exchange with a backend server.
    pub(super) fn dispatch_ended(&mut self, id: RequestId, ending: DispatchEnding) {
        let Some(open) = self.open.get(&id) else { return };
        if !open.state.is_dispatched() {
            return;
        }
        // The exchange is known to be over there only if the backend server itself ended it.
        let clean = matches!(
            ending,
            DispatchEnding::Answered | DispatchEnding::NotRun(_) | DispatchEnding::Errored
        );
        self.return_permit(id, clean);
        match ending {
            DispatchEnding::Answered => self.end_answered(id),
            DispatchEnding::NotRun(reason) => self.not_run_there(id, reason),
            DispatchEnding::Broke { answer_begun } => self.broke(id, answer_begun),
            DispatchEnding::Errored => {
                let message = "the backend server answered with an error";
                let refusal = RequestRefusal::unknown(RefusalKind::BackendError, message);
                self.end_dispatched(id, RequestEvent::Broke, refusal);
            }
            DispatchEnding::CallerGone => {
                let refusal = RequestRefusal::unknown(RefusalKind::CallerGone, "caller hung up");
                self.end_dispatched(id, RequestEvent::GivenUp, refusal);
            }
        }
    }

    /// Tells the owner that a permit is not used any more.
    fn return_permit(&mut self, id: RequestId, clean: bool) {
        let Some(open) = self.open.get(&id) else { return };
        let (attempt, owner) = (open.attempt, open.owner);
        if let Some(server) = open.server
            && let Some(view) = self.backends.servers.get_mut(&server)
        {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
        let Some(engine) = open.engine else { return };
        if let Some(view) = self.backends.engines.get_mut(&engine) {
            view.outstanding = view.outstanding.saturating_sub(1);
        }
        if let Some(owner) = owner {
            let done = PermitDone { request: id, attempt, engine, clean };
            self.send(owner, PeerMessage::PermitDone(done));
        }
    }

    fn not_run_there(&mut self, id: RequestId, reason: NotRunReason) {
        let avoid_until = self.now() + self.config.times.avoid_for;
        let Some(open) = self.open.get_mut(&id) else { return };
        open.state = open.state.after(RequestEvent::NeverRan);
        open.ask = AskState::Paused;
        let (engine, server, adapter) = (open.engine, open.server, open.adapter());
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
                    self.backends.forget_resident(engine, adapter);
                }
            }
            NotRunReason::StaleToken | NotRunReason::Late => {}
        }
        match reason {
            NotRunReason::NoConnection | NotRunReason::Leaving => self.send_on(id),
            _ => self.pause(id),
        }
    }

    fn broke(&mut self, id: RequestId, answer_begun: bool) {
        let now = self.now();
        let Some(open) = self.open.get(&id) else { return };
        let again = open.repeatable && !answer_begun && now < open.deadline;
        let share = open.settings.retry_share;
        if again && self.retries.take(share, now) {
            self.counters.retries += 1;
            if let Some(open) = self.open.get_mut(&id) {
                open.state = open.state.after(RequestEvent::Retried);
                open.ask = AskState::Paused;
            }
            self.pause(id);
            return;
        }
        let message = "the exchange with the backend server broke off";
        let refusal = RequestRefusal::unknown(RefusalKind::BackendBroke, message);
        self.end_dispatched(id, RequestEvent::Broke, refusal);
    }

    fn end_answered(&mut self, id: RequestId) {
        self.counters.answered += 1;
        self.book.keep_claimed(id);
        self.close(id, RequestEvent::AnswerEnded);
    }

    /// Ends a request that may have run.
    fn end_dispatched(&mut self, id: RequestId, event: RequestEvent, refusal: RequestRefusal) {
        self.book.keep_claimed(id);
        self.counters.unknown += 1;
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        self.close(id, event);
        self.orders.push(NodeOrder::Refuse { request: id, refusal });
    }

    /// Ends a request that no backend server has, and says so at once.
    ///
    /// When an earlier try may have run, the chart leads to unknown and the caller is told that.
    pub(super) fn end_not_run(&mut self, id: RequestId, mut refusal: RequestRefusal) {
        let Some(open) = self.open.get(&id) else { return };
        if open.state.after(RequestEvent::GivenUp) == RequestState::Unknown {
            refusal.outcome = CallerOutcome::Unknown;
        }
        self.withdraw_ask(id);
        self.book.give_up(id);
        *self.counters.refused.entry(refusal.kind).or_default() += 1;
        if refusal.outcome == CallerOutcome::Unknown {
            self.counters.unknown += 1;
        }
        self.close(id, RequestEvent::GivenUp);
        self.orders.push(NodeOrder::Refuse { request: id, refusal });
    }

    /// A caller hung up while its request waited; no backend server has it.
    pub(super) fn caller_gone(&mut self, id: RequestId) {
        let waits = self
            .open
            .get(&id)
            .is_some_and(|open| open.state == RequestState::Claiming || open.state.is_asking());
        if waits {
            let refusal = RequestRefusal::not_run(RefusalKind::CallerGone, "caller hung up");
            self.end_not_run(id, refusal);
        }
    }

    fn close(&mut self, id: RequestId, event: RequestEvent) {
        let Some(open) = self.open.remove(&id) else { return };
        self.timers.remove(&(open.timer, id));
        debug_assert!(open.state.after(event) != open.state, "{event:?} ends {:?}", open.state);
    }

    /// Takes any sign that an engine is leaving. It sticks until a later life of the engine.
    pub(super) fn mark_leaving(&mut self, engine: EngineId) {
        let known = self.controls.get(&engine).map_or(0, EngineControl::incarnation);
        let Some(view) = self.backends.engines.get_mut(&engine) else { return };
        let passed_on = view.digest.as_ref().map_or(0, |digest| digest.incarnation);
        if view.leave.mark(view.facts.incarnation, known.max(passed_on)) {
            self.note(format!("engine {engine}"), "seen leaving");
        }
        self.control(engine, EngineControl::leave_seen);
    }

    fn mark_server_leaving(&mut self, server: ServerId) {
        if let Some(view) = self.backends.servers.get_mut(&server) {
            view.leave.mark(view.facts.incarnation, 0);
        }
    }
}

impl OpenRequest {
    pub(super) const fn adapter(&self) -> Option<crate::id::AdapterKey> {
        match &self.route {
            super::open::RequestRoute::Adapter { adapter, .. } => Some(*adapter),
            super::open::RequestRoute::Plain => None,
        }
    }
}
