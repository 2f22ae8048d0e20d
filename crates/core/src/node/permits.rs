//! Permit asks to engine owners on behalf of this host's callers.

use std::time::Duration;

use crate::{
    chart::RequestEvent,
    id::{AdapterKey, EngineId, HallId, HostId, RequestId},
    message::{
        PeerMessage, PermitAsk, PermitCheck, PermitDone, PermitGranted, PermitQueued,
        PermitRefusal, PermitRefused,
    },
    node::{
        NodeAction, NodeCore, RequestDispatch,
        backends::EngineView,
        open_request::{OpenRequest, PermitAskState, RequestRoute},
    },
    owner::{OwnedRole, rendezvous, role_key},
    request::{PermitRequest, RefusalKind, RequestRefusal},
    routing::{RouteCandidate, RouteChoice, choose_route},
};

/// The retry delay reported to callers when no backend server is available.
const BACKEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The upper bound of the factor by which the reroute delay grows with each attempt.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// The maximum number of permit asks and dispatches of one request.
pub(super) const MAX_ATTEMPTS: u32 = 24;

impl NodeCore {
    /// Routes a request that is not at a backend server, or ends it if it is out of time or
    /// attempts.
    pub(super) fn route_request(&mut self, id: RequestId) {
        let now = self.now();
        let Some(entry) = self.open_requests.get(&id) else { return };
        if !entry.state.is_asking() {
            return;
        }
        if now >= entry.deadline {
            let message = "the deadline passed before the request could be sent";
            let refusal = RequestRefusal::not_run(RefusalKind::DeadlinePassed, message);
            self.end_not_run(id, refusal);
            return;
        }
        if entry.attempt >= MAX_ATTEMPTS {
            let message = format!("gave up after {MAX_ATTEMPTS} attempts");
            let refusal = RequestRefusal::not_run(RefusalKind::RetriesSpent, message);
            self.end_not_run(id, refusal.retry_after(BACKEND_RETRY_AFTER));
            return;
        }
        match &entry.route {
            RequestRoute::Plain => self.dispatch_plain(id),
            RequestRoute::Adapter { adapter, .. } => {
                let adapter = *adapter;
                self.send_permit_ask(id, adapter);
            }
        }
    }

    fn send_permit_ask(&mut self, id: RequestId, adapter: AdapterKey) {
        let Some(choice) = self.choose_engine(id, adapter) else {
            let message = "no engine of the service is known and live";
            let refusal = RequestRefusal::not_run(RefusalKind::NoBackend, message);
            self.end_not_run(id, refusal.retry_after(BACKEND_RETRY_AFTER));
            return;
        };
        let (engine, may_load, replica) = match choice {
            RouteChoice::Holder(engine) => (engine, false, false),
            RouteChoice::Home(engine) => (engine, true, false),
            RouteChoice::Replica(engine) => (engine, true, true),
        };
        let Some(owner) = self.owner_of(engine) else {
            self.reroute_later(id);
            return;
        };
        self.withdraw_permit_ask(id);
        let now = self.now();
        let permit_ask_timeout = self.config.times.permit_ask_timeout;
        let Some(entry) = self.open_requests.get_mut(&id) else { return };
        entry.attempt += 1;
        entry.ask_state = PermitAskState::Sent;
        entry.engine = Some(engine);
        entry.owner = Some(owner);
        entry.may_load = may_load;
        let ask = permit_ask(entry, engine, adapter, replica, entry.deadline.since(now));
        self.set_timer(id, Some(now + permit_ask_timeout));
        self.send(owner, PeerMessage::PermitAsk(ask));
    }

    /// Withdraws the outstanding ask of a request, so that its owner loads nothing for it.
    pub(super) fn withdraw_permit_ask(&mut self, id: RequestId) {
        let Some(entry) = self.open_requests.get(&id) else { return };
        let (attempt, ask_outstanding) =
            (entry.attempt, entry.ask_state != PermitAskState::Backoff);
        if let (true, Some(engine), Some(owner)) = (ask_outstanding, entry.engine, entry.owner) {
            let done = PermitDone { request: id, attempt, engine, clean: true };
            self.send(owner, PeerMessage::PermitDone(done));
        }
    }

    /// Repeats the outstanding ask. The attempt number is unchanged, so the owner repeats its
    /// answer.
    pub(super) fn repeat_permit_ask(&mut self, id: RequestId) {
        let now = self.now();
        let Some(entry) = self.open_requests.get(&id) else { return };
        let (Some(engine), Some(owner)) = (entry.engine, entry.owner) else { return };
        let RequestRoute::Adapter { adapter, .. } = &entry.route else { return };
        if self.owner_of(engine) != Some(owner) {
            self.counters.asks_repeated += 1;
            self.route_request(id);
            return;
        }
        let ask = permit_ask(entry, engine, *adapter, false, entry.deadline.since(now));
        if let Some(entry) = self.open_requests.get_mut(&id) {
            entry.ask_state = PermitAskState::Sent;
        }
        let permit_ask_timeout = self.config.times.permit_ask_timeout;
        self.set_timer(id, Some(now + permit_ask_timeout));
        self.send(owner, PeerMessage::PermitAsk(ask));
    }

    fn choose_engine(&mut self, id: RequestId, adapter: AdapterKey) -> Option<RouteChoice> {
        let now = self.now();
        let entry = self.open_requests.get_mut(&id)?;
        if let Some(preferred_engine) = entry.preferred_engine.take() {
            let known = self.backends.engines.get(&preferred_engine);
            if known.is_some_and(|view| view.accepts_requests(now)) {
                return Some(RouteChoice::Holder(preferred_engine));
            }
        }
        let entry = self.open_requests.get(&id)?;
        let full = entry.full_engine;
        let usable = |view: &&EngineView| {
            view.accepts_requests(now)
                && Some(view.info.engine) != full
                && self.members.hall_reachable(view.info.hall)
        };
        let candidate = |view: &EngineView| RouteCandidate {
            engine: view.info.engine,
            hall: view.info.hall,
            fill: view.estimated_fill(),
        };
        let view = |engine: &EngineId| self.backends.engines.get(engine);
        let holders: Vec<RouteCandidate> = self
            .backends
            .holders(adapter)
            .iter()
            .filter_map(view)
            .filter(usable)
            .filter(|view| view.digest.as_ref().is_some_and(|digest| digest.serving))
            .map(candidate)
            .collect();
        let has_room = holders.iter().any(|holder| holder.fill < 100);
        let engines: Vec<RouteCandidate> = if has_room {
            Vec::new()
        } else {
            let service = self.backends.by_service.get(&entry.service_name);
            let engines = service.into_iter().flatten().filter_map(view);
            engines.filter(usable).map(candidate).collect()
        };
        let choice = choose_route(adapter, &holders, &engines, self.config.hall)?;
        // The known holder was overloaded or did not hold the adapter: load it on a further engine.
        let load_replica = full.is_some() || entry.misrouted;
        match choice {
            RouteChoice::Home(engine) if load_replica => Some(RouteChoice::Replica(engine)),
            choice => Some(choice),
        }
    }

    /// Returns the owner of an engine according to this host's member table.
    pub(super) fn owner_of(&self, engine: EngineId) -> Option<HostId> {
        let hall = self.backends.engines.get(&engine)?.info.hall;
        self.owner_in(engine, hall)
    }

    pub(super) fn owner_in(&self, engine: EngineId, hall: HallId) -> Option<HostId> {
        let key = role_key(OwnedRole::Engine, u64::from(engine));
        rendezvous(key, self.members.eligible_owners(Some(hall)))
    }

    /// Schedules a request to be routed again after a delay that grows with each attempt.
    ///
    /// A take-over lasts seconds; the attempts must not run out before it ends.
    pub(super) fn reroute_later(&mut self, id: RequestId) {
        let attempts = self
            .open_requests
            .get(&id)
            .map_or(1, |entry| entry.attempt.clamp(1, MAX_BACKOFF_FACTOR));
        let delay = self.jitter(self.config.times.reroute_delay * attempts);
        let at = self.now() + delay;
        if let Some(entry) = self.open_requests.get_mut(&id) {
            entry.ask_state = PermitAskState::Backoff;
            self.set_timer(id, Some(at));
        }
    }

    pub(super) fn handle_permit_queued(&mut self, queued: PermitQueued) {
        let recheck_interval = self.config.times.queued_recheck_interval;
        let at = self.now() + recheck_interval;
        let Some(entry) = self.open_requests.get_mut(&queued.request) else { return };
        if entry.attempt == queued.attempt && entry.ask_state == PermitAskState::Sent {
            entry.ask_state = PermitAskState::Queued;
            self.set_timer(queued.request, Some(at));
        }
    }

    pub(super) fn handle_permit_granted(&mut self, from: HostId, granted: PermitGranted) {
        if let Some(view) = self.backends.engines.get_mut(&granted.engine) {
            view.fill = granted.fill;
        }
        let current = self.open_requests.get(&granted.request).filter(|entry| {
            entry.attempt == granted.attempt && entry.engine == Some(granted.engine)
        });
        let state = current.map(|entry| (entry.state, entry.ask_state));
        match state {
            Some((state, PermitAskState::Sent | PermitAskState::Queued)) if state.is_asking() => {
                self.dispatch_permitted(from, granted);
            }
            // A duplicate of the grant in use.
            Some((state, _)) if state.is_dispatched() => {}
            // An earlier grant of this permit may have been used, so the return is not clean.
            _ => {
                let PermitGranted { request, attempt, engine, .. } = granted;
                let done = PermitDone { request, attempt, engine, clean: false };
                self.send(from, PeerMessage::PermitDone(done));
            }
        }
    }

    fn dispatch_permitted(&mut self, from: HostId, granted: PermitGranted) {
        let now = self.now();
        let Some(view) = self.backends.engines.get_mut(&granted.engine) else { return };
        view.outstanding += 1;
        let address = view.info.address.clone();
        let Some(entry) = self.open_requests.get_mut(&granted.request) else { return };
        let RequestRoute::Adapter { name, .. } = &entry.route else { return };
        entry.owner = Some(from);
        entry.state = entry.state.after(RequestEvent::Permitted);
        self.counters.stalled += u64::from(granted.stalled);
        let dispatch = RequestDispatch {
            request: granted.request,
            address,
            adapter_name: name.clone(),
            base_model: entry.base_model.clone(),
            token: granted.token,
            priority: entry.settings.priority,
            max_tokens: entry.max_tokens,
            max_wait: entry.deadline.since(now),
            issued_at: now,
        };
        self.set_timer(granted.request, None);
        self.actions.push(NodeAction::Dispatch(dispatch));
    }

    pub(super) fn handle_permit_refused(&mut self, refused: PermitRefused) {
        let PermitRefused { request, attempt, engine, reason, retry_after } = refused;
        let Some(entry) = self.open_requests.get_mut(&request) else { return };
        let awaited = entry.attempt == attempt && entry.state.is_asking();
        if !awaited || entry.ask_state == PermitAskState::Backoff {
            return;
        }
        entry.ask_state = PermitAskState::Backoff;
        match reason {
            PermitRefusal::NotOwner => self.reroute_later(request),
            PermitRefusal::Leaving => {
                self.mark_leaving(engine);
                self.route_request(request);
            }
            PermitRefusal::Elsewhere(other) => {
                entry.preferred_engine = Some(other);
                self.route_request(request);
            }
            PermitRefusal::NotResident => {
                if let RequestRoute::Adapter { adapter, .. } = &entry.route {
                    let adapter = *adapter;
                    self.backends.remove_holder(engine, adapter);
                }
                if let Some(entry) = self.open_requests.get_mut(&request) {
                    entry.misrouted = true;
                }
                self.route_request(request);
            }
            PermitRefusal::Final(RefusalKind::Overloaded) if entry.full_engine.is_none() => {
                entry.full_engine = Some(engine);
                self.route_request(request);
            }
            PermitRefusal::Final(kind) => self.end_refused(request, kind, retry_after),
        }
    }

    fn end_refused(
        &mut self,
        request: RequestId,
        kind: RefusalKind,
        retry_after: Option<Duration>,
    ) {
        let message = match kind {
            RefusalKind::LoadTooLate => "the adapter can not be loaded before the deadline",
            RefusalKind::LoadFailed => "the adapter's last load failed",
            RefusalKind::Overloaded => "more waits for the engine than it can serve in time",
            RefusalKind::DeadlinePassed => "the deadline passed while the request waited",
            _ => "the engine's owner refused the request",
        };
        let mut refusal = RequestRefusal::not_run(kind, message);
        refusal.retry_after = retry_after;
        self.end_not_run(request, refusal);
    }

    pub(super) fn handle_permit_check(&mut self, from: HostId, check: PermitCheck) {
        let PermitCheck { engine, permits } = check;
        for PermitQueued { request, attempt } in permits {
            let in_use = self
                .open_requests
                .get(&request)
                .is_some_and(|entry| entry.state.is_dispatched() && entry.attempt == attempt);
            if !in_use {
                let done = PermitDone { request, attempt, engine, clean: false };
                self.send(from, PeerMessage::PermitDone(done));
            }
        }
    }
}

fn permit_ask(
    entry: &OpenRequest,
    engine: EngineId,
    adapter: AdapterKey,
    replica: bool,
    max_wait: Duration,
) -> PermitAsk {
    PermitAsk {
        engine,
        attempt: entry.attempt,
        max_wait,
        may_load: entry.may_load,
        replica,
        request: PermitRequest {
            request: entry.id,
            service: entry.service,
            organisation: entry.organisation,
            adapter,
            worth: entry.settings.worth,
            share: entry.settings.share,
            queue_limit: entry.settings.queue_limit,
            stall_weight: entry.settings.stall_weight,
            deadline: entry.deadline,
        },
    }
}
