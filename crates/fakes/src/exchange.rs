//! Requests from callers and their execution on backend servers.

use reelreel_core::{
    CallerOutcome, NodeEvent, RequestRefusal,
    id::{EngineId, HostId, RequestId, request_id},
    node::{DispatchResult, MAX_DISPATCH_DELAY, NotRunReason, RequestDispatch},
    request::{ArrivedRequest, IdempotencyKey, RequestTarget},
    settings::SettingsPath,
};

use crate::{
    engine::{FakeSlot, RunningRequest},
    evidence::{CallerRecord, RunRecord, SERVER_NUMBER_OFFSET},
    fault::StepKind,
    host::{HostInput, OpenExchange},
    site::{CallerRequest, FakeSite, HALL_DELAY_MS, SiteEvent, SiteMutation},
};

/// The duration of an engine step, which produces one token per request, in milliseconds.
const ENGINE_STEP_MS: u64 = 10;

/// How long a request runs on a plain server, in milliseconds.
const PLAIN_RUN_MS: u64 = 40;

/// When a host gives up on a backend server that it cannot reach, in milliseconds.
pub(crate) const CONNECT_TIMEOUT_MS: u64 = 1_000;

impl FakeSite {
    pub(crate) fn submit_request(&mut self, caller_request: CallerRequest) {
        let host = caller_request.host.or_else(|| self.ready_host());
        let Some(id) = host else { return };
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.core.is_none() {
            return;
        }
        host.request_count += 1;
        let generation = host.generation;
        let request = request_id(id, host.incarnation, host.request_count);
        let plain = caller_request.adapter.is_empty();
        let model = match caller_request.version {
            Some(version) => format!("{}@{version}", caller_request.adapter),
            None => caller_request.adapter.clone(),
        };
        let organisation = caller_request.adapter.split('/').nth(1).unwrap_or_default().to_owned();
        let path = SettingsPath::parse(&caller_request.adapter).unwrap_or_default();
        let settings = self.reference.tree().effective(&path);
        let keyed = caller_request.key.is_some() && caller_request.repeatable != Some(true);
        let repeatable =
            !keyed && caller_request.repeatable.unwrap_or(settings.repeatable && !plain);
        self.evidence.callers.insert(
            request,
            CallerRecord {
                request,
                host: id,
                adapter: model.clone(),
                key: caller_request.key.clone().filter(|_| keyed),
                repeatable,
                worth: settings.worth,
                organisation,
                arrived_at: self.now,
                max_wait_ms: caller_request.max_wait_ms,
                first_token_at: None,
                outcome: None,
                refusal: None,
                disconnected: false,
                first_run_at: None,
            },
        );
        self.record_step(StepKind::RequestArrives, Some(id), None, Some(request));
        let target = if plain {
            RequestTarget::Path(String::from("/orders/new"))
        } else {
            RequestTarget::Model(model)
        };
        let arrived = ArrivedRequest {
            id: request,
            target,
            max_wait: Some(std::time::Duration::from_millis(caller_request.max_wait_ms)),
            repeatable: caller_request.repeatable,
            key: caller_request.key.map(|text| IdempotencyKey { text, created_millis: None }),
            max_tokens: Some(caller_request.tokens),
        };
        self.deliver_input(id, generation, HostInput::Event(NodeEvent::RequestArrived(arrived)));
    }

    /// Records that a caller received a refusal.
    pub(crate) fn record_refusal(&mut self, request: RequestId, refusal: &RequestRefusal) {
        let now = self.now;
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.outcome.get_or_insert((refusal.outcome, now));
            caller.refusal.get_or_insert(refusal.kind);
        }
        let host = self.evidence.callers.get(&request).map(|caller| caller.host);
        if let Some(host) = host.and_then(|host| self.hosts.get_mut(&host)) {
            host.exchanges.remove(&request);
        }
    }

    /// Writes a request to a backend server, as a traffic thread does.
    pub(crate) fn send_request(&mut self, id: HostId, dispatch: RequestDispatch) {
        self.record_step(StepKind::RequestSends, Some(id), None, Some(dispatch.request));
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let generation = host.generation;
        if host.core.is_none() {
            return;
        }
        if host.frozen {
            host.queued_inputs.push_back(HostInput::Send(dispatch));
            return;
        }
        let age = (self.now + 1).saturating_sub(dispatch.issued_at.as_millis());
        if age > Self::millis(MAX_DISPATCH_DELAY) {
            self.exchange_ended(
                id,
                generation,
                dispatch.request,
                DispatchResult::NotRun(NotRunReason::DispatchTooLate),
                0,
            );
            return;
        }
        let backend = backend_of(&dispatch.address);
        let exchange = OpenExchange { backend, run: None, first_token_received: false };
        host.exchanges.insert(dispatch.request, exchange);
        self.push(HALL_DELAY_MS, SiteEvent::Request { host: id, generation, dispatch });
    }

    /// Schedules the event that reports the result of an exchange to a host.
    pub(crate) fn exchange_ended(
        &mut self,
        id: HostId,
        generation: u64,
        request: RequestId,
        result: DispatchResult,
        delay: u64,
    ) {
        let result = match (self.config.mutation, result) {
            (Some(SiteMutation::InterruptedMeansNotRun), DispatchResult::Interrupted { .. }) => {
                DispatchResult::NotRun(NotRunReason::NoConnection)
            }
            (_, result) => result,
        };
        let event = NodeEvent::DispatchEnded { request, result };
        self.push(delay, SiteEvent::Input(id, generation, HostInput::Event(event)));
    }

    pub(crate) fn reaches_backend(&self, id: HostId, backend: u32) -> bool {
        let host = self.hosts.get(&id).map(|host| host.hall);
        let backend = if backend >= SERVER_NUMBER_OFFSET {
            self.servers.get(&(backend - SERVER_NUMBER_OFFSET)).map(|server| server.hall)
        } else {
            self.engines.get(&backend).map(|engine| engine.config.hall)
        };
        let partitioned = |hall| self.active.partitioned_halls.contains(hall);
        match (host, backend) {
            (Some(host), Some(backend)) => {
                host == backend || !(partitioned(&host) || partitioned(&backend))
            }
            _ => false,
        }
    }

    pub(crate) fn backend_request(
        &mut self,
        id: HostId,
        generation: u64,
        dispatch: &RequestDispatch,
    ) {
        let backend = backend_of(&dispatch.address);
        if !self.reaches_backend(id, backend) {
            let result = DispatchResult::NotRun(NotRunReason::NoConnection);
            self.exchange_ended(id, generation, dispatch.request, result, CONNECT_TIMEOUT_MS);
            return;
        }
        if backend >= SERVER_NUMBER_OFFSET {
            self.run_plain(id, dispatch, backend);
        } else {
            self.run_on_engine(id, generation, dispatch, backend);
        }
    }

    pub(crate) fn run_plain(&mut self, id: HostId, dispatch: &RequestDispatch, backend: u32) {
        self.record_run(id, dispatch.request, backend, String::new());
        self.push(
            PLAIN_RUN_MS,
            SiteEvent::Finish { backend, incarnation: 1, request: dispatch.request },
        );
        let run = self.evidence.runs.len() - 1;
        if let Some(server) = self.servers.get_mut(&(backend - SERVER_NUMBER_OFFSET)) {
            server.running.insert(dispatch.request, run);
        }
    }

    pub(crate) fn run_on_engine(
        &mut self,
        id: HostId,
        generation: u64,
        dispatch: &RequestDispatch,
        backend: u32,
    ) {
        let now = self.now;
        let key = self.reference.tree().adapter_key(&dispatch.adapter_name);
        let wrong = self.config.mutation == Some(SiteMutation::WrongVersion);
        let Some(engine) = self.engines.get_mut(&backend).filter(|engine| !engine.removed) else {
            let result = DispatchResult::NotRun(NotRunReason::NoConnection);
            self.exchange_ended(id, generation, dispatch.request, result, HALL_DELAY_MS);
            return;
        };
        let Some(key) = key else {
            let result = DispatchResult::NotRun(NotRunReason::NotResident);
            self.exchange_ended(id, generation, dispatch.request, result, HALL_DELAY_MS);
            return;
        };
        let refusal = engine.not_run_reason(key, dispatch.token, now);
        let token = engine.token;
        self.trace_line(|| {
            let (request, adapter) = (dispatch.request, &dispatch.adapter_name);
            format!(
                "request {request:x} from host {id} for {adapter} with token {:x} at engine {backend} \
                 (token {token:x}): {refusal:?}",
                dispatch.token
            )
        });
        let Some(engine) = self.engines.get_mut(&backend) else { return };
        if let Some(reason) = refusal {
            self.exchange_ended(
                id,
                generation,
                dispatch.request,
                DispatchResult::NotRun(reason),
                HALL_DELAY_MS,
            );
            return;
        }
        if let Some(leaving) = engine.leaving_since {
            self.evidence.received_while_leaving.push((dispatch.request, now - leaving));
        }
        let incarnation = engine.incarnation;
        if let Some(FakeSlot::Loaded { used }) = engine.slots.get_mut(&key) {
            *used = true;
        }
        let name = if wrong {
            dispatch.adapter_name.replace("@1", "@9")
        } else {
            dispatch.adapter_name.clone()
        };
        self.record_step(StepKind::RequestRuns, Some(id), Some(backend), Some(dispatch.request));
        self.record_run(id, dispatch.request, backend, name);
        let run = self.evidence.runs.len() - 1;
        self.record_busy_time(backend);
        let engine = self.engines.get_mut(&backend);
        if engine.as_ref().is_none_or(|engine| engine.incarnation != incarnation) {
            // A fault injected at the step may have restarted the engine.
            self.interrupt_requests(vec![dispatch.request]);
            return;
        }
        if let Some(engine) = engine {
            engine.running.insert(dispatch.request, RunningRequest { adapter: key, run });
            engine.record_change(now);
        }
        let (request, tokens) = (dispatch.request, u64::from(dispatch.max_tokens.max(1)));
        self.push(ENGINE_STEP_MS, SiteEvent::FirstToken { backend, incarnation, request });
        self.push(ENGINE_STEP_MS * tokens, SiteEvent::Finish { backend, incarnation, request });
    }

    pub(crate) fn record_run(
        &mut self,
        id: HostId,
        request: RequestId,
        backend: u32,
        adapter: String,
    ) {
        let started_at = self.now;
        self.evidence.runs.push(RunRecord {
            request,
            backend,
            adapter,
            started_at,
            completed_at: None,
        });
        let run = self.evidence.runs.len() - 1;
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.first_run_at.get_or_insert(started_at);
        }
        let host = self.hosts.get_mut(&id);
        if let Some(exchange) = host.and_then(|host| host.exchanges.get_mut(&request)) {
            exchange.run = Some(run);
        }
    }

    /// Accounts the running requests of an engine since its last change.
    pub(crate) fn record_busy_time(&mut self, engine: EngineId) {
        let now = self.now as f64;
        let Some(fake) = self.engines.get(&engine) else { return };
        let running = fake.running.len() as f64;
        let busy = self.evidence.busy_time.entry(engine).or_default();
        let since = self.evidence.busy_updated_at.insert(engine, now).unwrap_or(now);
        if running > 0.0 {
            busy.0 += running * (now - since);
            busy.1 += now - since;
        }
    }

    pub(crate) fn record_first_token(
        &mut self,
        backend: u32,
        incarnation: u64,
        request: RequestId,
    ) {
        let runs = self.engines.get(&backend).is_some_and(|engine| {
            engine.incarnation == incarnation && engine.running.contains_key(&request)
        });
        if !runs {
            return;
        }
        let now = self.now;
        let Some(caller) = self.evidence.callers.get_mut(&request) else { return };
        let host = caller.host;
        let exchange = self.hosts.get_mut(&host).filter(|host| host.is_running());
        if let Some(exchange) = exchange.and_then(|host| host.exchanges.get_mut(&request)) {
            exchange.first_token_received = true;
            caller.first_token_at.get_or_insert(now);
        }
    }

    pub(crate) fn complete_request(&mut self, backend: u32, incarnation: u64, request: RequestId) {
        let now = self.now;
        let run = if backend >= SERVER_NUMBER_OFFSET {
            let server = self.servers.get_mut(&(backend - SERVER_NUMBER_OFFSET));
            server.and_then(|server| server.running.remove(&request))
        } else {
            self.record_busy_time(backend);
            let engine = self.engines.get_mut(&backend);
            let engine = engine.filter(|engine| engine.incarnation == incarnation);
            engine.and_then(|engine| {
                let running = engine.running.remove(&request)?;
                engine.record_change(now);
                Some(running.run)
            })
        };
        let Some(run) = run else { return };
        self.evidence.runs[run].completed_at = Some(now);
        let Some(caller) = self.evidence.callers.get(&request) else { return };
        let host = caller.host;
        self.record_step(StepKind::RequestEnds, Some(host), Some(backend), Some(request));
        self.deliver_answer(host, request, run, backend);
    }

    /// Delivers an answer to the caller and reports the end of the exchange to its host.
    pub(crate) fn deliver_answer(
        &mut self,
        id: HostId,
        request: RequestId,
        run: usize,
        backend: u32,
    ) {
        let reached = self.reaches_backend(id, backend);
        let now = self.now;
        let first_waiting = self.config.mutation == Some(SiteMutation::AnswerFirstWaiting);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let generation = host.generation;
        let mut waiting = host.exchanges.iter().filter(|(_, open)| open.backend == backend);
        let first = waiting.next().map(|(first, _)| *first);
        let request = first.filter(|_| first_waiting).unwrap_or(request);
        let Some(exchange) = host.exchanges.get(&request) else { return };
        let (token_received, own) = (exchange.first_token_received, exchange.run == Some(run));
        if !own && !first_waiting {
            return;
        }
        if !reached {
            let result = DispatchResult::Interrupted { answer_started: token_received };
            self.exchange_ended(id, generation, request, result, CONNECT_TIMEOUT_MS);
            return;
        }
        host.exchanges.remove(&request);
        if !own {
            self.evidence.misdelivered.push(request);
        }
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.first_token_at.get_or_insert(now);
            if !caller.disconnected {
                caller.outcome.get_or_insert((CallerOutcome::Answered, now + HALL_DELAY_MS));
            }
        }
        self.exchange_ended(id, generation, request, DispatchResult::Answered, HALL_DELAY_MS);
    }

    /// Reports requests that an engine stopped running as interrupted.
    pub(crate) fn interrupt_requests(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            let Some(caller) = self.evidence.callers.get(&request) else { continue };
            let id = caller.host;
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            let generation = host.generation;
            let Some(exchange) = host.exchanges.remove(&request) else { continue };
            let result =
                DispatchResult::Interrupted { answer_started: exchange.first_token_received };
            self.exchange_ended(id, generation, request, result, HALL_DELAY_MS);
        }
    }
}

/// Returns the backend server at an address, numbered as in [`RunRecord::backend`].
fn backend_of(address: &str) -> u32 {
    let number = |text: &str| text.parse().unwrap_or(0);
    match address.split_once('-') {
        Some(("server", id)) => SERVER_NUMBER_OFFSET + number(id),
        Some((_, id)) => number(id),
        None => 0,
    }
}
