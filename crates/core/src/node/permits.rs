//! Asking owners for permits, on behalf of the callers of this host.

use std::time::Duration;

use crate::{
    chart::RequestEvent,
    id::{AdapterKey, EngineId, HallId, HostId, RequestId},
    message::{
        PeerMessage, PermitAsk, PermitCheck, PermitDone, PermitGranted, PermitQueued,
        PermitRefusal, PermitRefused,
    },
    node::{
        DispatchOrder, NodeCore, NodeOrder,
        open::{AskState, OpenRequest, RequestRoute},
        table::EngineView,
    },
    owner::{OwnedRole, rendezvous, role_key},
    request::{PermitRequest, RefusalKind, RequestRefusal},
    routing::{RouteCandidate, RouteChoice, choose_route},
};

/// How soon to come back when no backend server is there.
const BACKEND_BACK_SOON: Duration = Duration::from_secs(2);

/// A rest grows up to this many times the first one.
const MOST_PAUSES: u32 = 8;

/// Asks and sendings of one request at most.
pub(super) const MOST_ATTEMPTS: u32 = 24;

impl NodeCore {
    /// Takes the next step of a request that no backend server has.
    pub(super) fn send_on(&mut self, id: RequestId) {
        let now = self.now();
        let Some(open) = self.open.get(&id) else { return };
        if !open.state.is_asking() {
            return;
        }
        if now >= open.deadline {
            let message = "the deadline passed before the request could be sent";
            let refusal = RequestRefusal::not_run(RefusalKind::DeadlinePassed, message);
            self.end_not_run(id, refusal);
            return;
        }
        if open.attempt >= MOST_ATTEMPTS {
            let message = format!("gave up after {MOST_ATTEMPTS} attempts");
            let refusal = RequestRefusal::not_run(RefusalKind::RetriesSpent, message);
            self.end_not_run(id, refusal.retry_after(BACKEND_BACK_SOON));
            return;
        }
        match &open.route {
            RequestRoute::Plain => self.dispatch_plain(id),
            RequestRoute::Adapter { adapter, .. } => {
                let adapter = *adapter;
                self.ask_permit(id, adapter);
            }
        }
    }

    fn ask_permit(&mut self, id: RequestId, adapter: AdapterKey) {
        let Some(choice) = self.choose_engine(id, adapter) else {
            let message = "no engine of the service is known and live";
            let refusal = RequestRefusal::not_run(RefusalKind::NoBackend, message);
            self.end_not_run(id, refusal.retry_after(BACKEND_BACK_SOON));
            return;
        };
        let (engine, may_load, replica) = match choice {
            RouteChoice::Holder(engine) => (engine, false, false),
            RouteChoice::Home(engine) => (engine, true, false),
            RouteChoice::Replica(engine) => (engine, true, true),
        };
        let Some(owner) = self.owner_of(engine) else {
            self.pause(id);
            return;
        };
        self.withdraw_ask(id);
        let now = self.now();
        let ask_within = self.config.times.ask_within;
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempt += 1;
        open.ask = AskState::Sent;
        open.engine = Some(engine);
        open.owner = Some(owner);
        open.may_load = may_load;
        let ask = permit_ask(open, engine, adapter, replica, open.deadline.since(now));
        self.set_timer(id, Some(now + ask_within));
        self.send(owner, PeerMessage::PermitAsk(ask));
    }

    /// Tells the owner of an ask that still stands that it is not waited for any more, so that
    /// nothing is loaded for it there.
    pub(super) fn withdraw_ask(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (attempt, asked) = (open.attempt, open.ask != AskState::Paused);
        if let (true, Some(engine), Some(owner)) = (asked, open.engine, open.owner) {
            let done = PermitDone { request: id, attempt, engine, clean: true };
            self.send(owner, PeerMessage::PermitDone(done));
        }
    }

    /// Asks the same owner again under the same attempt, which it answers as before.
    pub(super) fn ask_again(&mut self, id: RequestId) {
        let now = self.now();
        let Some(open) = self.open.get(&id) else { return };
        let (Some(engine), Some(owner)) = (open.engine, open.owner) else { return };
        let RequestRoute::Adapter { adapter, .. } = &open.route else { return };
        if self.owner_of(engine) != Some(owner) {
            self.counters.asks_repeated += 1;
            self.send_on(id);
            return;
        }
        let ask = permit_ask(open, engine, *adapter, false, open.deadline.since(now));
        if let Some(open) = self.open.get_mut(&id) {
            open.ask = AskState::Sent;
        }
        let ask_within = self.config.times.ask_within;
        self.set_timer(id, Some(now + ask_within));
        self.send(owner, PeerMessage::PermitAsk(ask));
    }

    fn choose_engine(&mut self, id: RequestId, adapter: AdapterKey) -> Option<RouteChoice> {
        let now = self.now();
        let open = self.open.get_mut(&id)?;
        if let Some(hint) = open.hint.take() {
            let known = self.backends.engines.get(&hint);
            if known.is_some_and(|view| view.open(now)) {
                return Some(RouteChoice::Holder(hint));
            }
        }
        let open = self.open.get(&id)?;
        let full = open.full;
        let usable = |view: &&EngineView| {
            view.open(now)
                && Some(view.facts.engine) != full
                && self.members.hall_reachable(view.facts.hall)
        };
        let candidate = |view: &EngineView| RouteCandidate {
            engine: view.facts.engine,
            hall: view.facts.hall,
            fill: view.expected_fill(),
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
        let roomy = holders.iter().any(|holder| holder.fill < 100);
        let engines: Vec<RouteCandidate> = if roomy {
            Vec::new()
        } else {
            let service = self.backends.by_service.get(&open.service_name);
            let engines = service.into_iter().flatten().filter_map(view);
            engines.filter(usable).map(candidate).collect()
        };
        let choice = choose_route(adapter, &holders, &engines, self.config.hall)?;
        // Where the only holder was full or is none, the next engine loads the adapter too.
        let alone = full.is_some() || open.astray;
        match choice {
            RouteChoice::Home(engine) if alone => Some(RouteChoice::Replica(engine)),
            choice => Some(choice),
        }
    }

    /// Returns the owner of an engine, as this host's view has it.
    pub(super) fn owner_of(&self, engine: EngineId) -> Option<HostId> {
        let hall = self.backends.engines.get(&engine)?.facts.hall;
        self.owner_in(engine, hall)
    }

    pub(super) fn owner_in(&self, engine: EngineId, hall: HallId) -> Option<HostId> {
        let key = role_key(OwnedRole::Engine, u64::from(engine));
        rendezvous(key, self.members.eligible_owners(Some(hall)))
    }

    /// Lets a request rest before it is routed again, longer with each attempt: a take-over takes
    /// seconds, and the attempts must last beyond it.
    pub(super) fn pause(&mut self, id: RequestId) {
        let attempts = self.open.get(&id).map_or(1, |open| open.attempt.clamp(1, MOST_PAUSES));
        let pause = self.jitter(self.config.times.reroute_after * attempts);
        let at = self.now() + pause;
        if let Some(open) = self.open.get_mut(&id) {
            open.ask = AskState::Paused;
            self.set_timer(id, Some(at));
        }
    }

    pub(super) fn take_queued(&mut self, queued: PermitQueued) {
        let again = self.config.times.ask_again;
        let at = self.now() + again;
        let Some(open) = self.open.get_mut(&queued.request) else { return };
        if open.attempt == queued.attempt && open.ask == AskState::Sent {
            open.ask = AskState::Queued;
            self.set_timer(queued.request, Some(at));
        }
    }

    pub(super) fn take_granted(&mut self, from: HostId, granted: PermitGranted) {
        if let Some(view) = self.backends.engines.get_mut(&granted.engine) {
            view.fill = granted.fill;
        }
        let current = self
            .open
            .get(&granted.request)
            .filter(|open| open.attempt == granted.attempt && open.engine == Some(granted.engine));
        let state = current.map(|open| (open.state, open.ask));
        match state {
            Some((state, AskState::Sent | AskState::Queued)) if state.is_asking() => {
                self.dispatch_permitted(from, granted);
            }
            // The grant came twice and the first is in use.
            Some((state, _)) if state.is_dispatched() => {}
            // Whether an earlier grant of this permit was used is not remembered, so not clean.
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
        let address = view.facts.address.clone();
        let Some(open) = self.open.get_mut(&granted.request) else { return };
        let RequestRoute::Adapter { name, .. } = &open.route else { return };
        open.owner = Some(from);
        open.state = open.state.after(RequestEvent::Permitted);
        self.counters.stalled += u64::from(granted.stalled);
        let order = DispatchOrder {
            request: granted.request,
            address,
            adapter_name: name.clone(),
            base_model: open.base_model.clone(),
            token: granted.token,
            priority: open.settings.priority,
            max_tokens: open.max_tokens,
            max_wait: open.deadline.since(now),
            issued: now,
        };
        self.set_timer(granted.request, None);
        self.orders.push(NodeOrder::Dispatch(order));
    }

    pub(super) fn take_refused(&mut self, refused: PermitRefused) {
        let PermitRefused { request, attempt, engine, reason, retry_after } = refused;
        let Some(open) = self.open.get_mut(&request) else { return };
        let awaited = open.attempt == attempt && open.state.is_asking();
        if !awaited || open.ask == AskState::Paused {
            return;
        }
        open.ask = AskState::Paused;
        match reason {
            PermitRefusal::NotOwner => self.pause(request),
            PermitRefusal::Leaving => {
                self.mark_leaving(engine);
                self.send_on(request);
            }
            PermitRefusal::Elsewhere(other) => {
                open.hint = Some(other);
                self.send_on(request);
            }
            PermitRefusal::NotResident => {
                if let RequestRoute::Adapter { adapter, .. } = &open.route {
                    let adapter = *adapter;
                    self.backends.forget_resident(engine, adapter);
                }
                if let Some(open) = self.open.get_mut(&request) {
                    open.astray = true;
                }
                self.send_on(request);
            }
            PermitRefusal::Final(RefusalKind::Overloaded) if open.full.is_none() => {
                open.full = Some(engine);
                self.send_on(request);
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

    pub(super) fn take_check(&mut self, from: HostId, check: PermitCheck) {
        let PermitCheck { engine, permits } = check;
        for PermitQueued { request, attempt } in permits {
            let in_use = self
                .open
                .get(&request)
                .is_some_and(|open| open.state.is_dispatched() && open.attempt == attempt);
            if !in_use {
                let done = PermitDone { request, attempt, engine, clean: false };
                self.send(from, PeerMessage::PermitDone(done));
            }
        }
    }
}

fn permit_ask(
    open: &OpenRequest,
    engine: EngineId,
    adapter: AdapterKey,
    replica: bool,
    max_wait: Duration,
) -> PermitAsk {
    PermitAsk {
        engine,
        attempt: open.attempt,
        max_wait,
        may_load: open.may_load,
        replica,
        request: PermitRequest {
            request: open.id,
            service: open.service,
            organisation: open.organisation,
            adapter,
            worth: open.settings.worth,
            share: open.settings.share,
            queue_limit: open.settings.queue_limit,
            stall_weight: open.settings.stall_weight,
            deadline: open.deadline,
        },
    }
}
