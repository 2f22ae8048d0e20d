//! Callers, backend servers, orders, the log's appends, and faults: what arrives at the fakes.

use reelreel_core::{
    CallerOutcome, NodeEvent, RequestRefusal,
    engine::{EngineOrder, OrderAction, OrderResult},
    id::{AdapterKey, EngineId, HostId, RequestId, request_id},
    node::{
        AppendResult, DispatchEnding, DispatchOrder, HostChange, HostEntry, HostKind, LogStream,
        NotRunReason, SEND_WITHIN,
    },
    request::{ArrivedRequest, IdempotencyKey, RequestTarget},
    settings::{ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsPath},
};

use crate::{
    engine::{FakeSlot, RunningRequest},
    evidence::{CallerRecord, RunRecord, SERVER_BASE},
    fault::{FaultKind, PlannedFault, StepKind},
    host::{HostInput, OpenExchange},
    site::{
        Arrival, CallerCall, FAR, FakeSite, FaultTarget, NEAR, SiteAction, SiteMutation, WALL_START,
    },
};

/// Milliseconds of one engine step, in which each running request gets a token.
const STEP_MILLIS: u64 = 10;

/// Milliseconds that a plain call runs.
const PLAIN_MILLIS: u64 = 40;

/// How long a host waits for a backend server that it can not reach.
const UNREACHED: u64 = 1_000;

impl FakeSite {
    pub(crate) fn call(&mut self, call: CallerCall) {
        let host = call.host.or_else(|| self.ready_host());
        let Some(id) = host else { return };
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.core.is_none() {
            return;
        }
        host.counter += 1;
        let life = host.life;
        let request = request_id(id, host.incarnation, host.counter);
        let plain = call.adapter.is_empty();
        let model = match call.version {
            Some(version) => format!("{}@{version}", call.adapter),
            None => call.adapter.clone(),
        };
        let organisation = call.adapter.split('/').nth(1).unwrap_or_default().to_owned();
        let path = SettingsPath::parse(&call.adapter).unwrap_or_default();
        let settings = self.reference.tree().effective(&path);
        let keyed = call.key.is_some() && call.repeatable != Some(true);
        let repeatable = !keyed && call.repeatable.unwrap_or(settings.repeatable && !plain);
        self.evidence.callers.insert(
            request,
            CallerRecord {
                request,
                host: id,
                adapter: model.clone(),
                key: call.key.clone().filter(|_| keyed),
                repeatable,
                worth: settings.worth,
                organisation,
                arrived: self.now,
                patience: call.patience,
                first_token: None,
                told: None,
                refusal: None,
                hung_up: false,
                sent: None,
            },
        );
        self.step(StepKind::RequestArrives, Some(id), None, Some(request));
        let target = if plain {
            RequestTarget::Path(String::from("/orders/new"))
        } else {
            RequestTarget::Model(model)
        };
        let arrived = ArrivedRequest {
            id: request,
            target,
            patience: Some(std::time::Duration::from_millis(call.patience)),
            repeatable: call.repeatable,
            key: call.key.map(|text| IdempotencyKey { text, created_millis: None }),
            max_tokens: Some(call.tokens),
        };
        self.input(id, life, HostInput::Event(NodeEvent::Arrived(arrived)));
    }

    /// Notes what a caller was told.
    pub(crate) fn told(&mut self, request: RequestId, refusal: &RequestRefusal) {
        let now = self.now;
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.told.get_or_insert((refusal.outcome, now));
            caller.refusal.get_or_insert(refusal.kind);
        }
        let host = self.evidence.callers.get(&request).map(|caller| caller.host);
        if let Some(host) = host.and_then(|host| self.hosts.get_mut(&host)) {
            host.exchanges.remove(&request);
        }
    }

    /// A traffic thread writes a request to a backend server.
    pub(crate) fn send_request(&mut self, id: HostId, order: DispatchOrder) {
        self.step(StepKind::RequestSends, Some(id), None, Some(order.request));
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        if host.core.is_none() {
            return;
        }
        if host.frozen {
            host.waiting.push_back(HostInput::Send(order));
            return;
        }
        let age = (self.now + 1).saturating_sub(order.issued.as_millis());
        if age > Self::millis(SEND_WITHIN) {
            self.exchange_ended(
                id,
                life,
                order.request,
                DispatchEnding::NotRun(NotRunReason::Late),
                0,
            );
            return;
        }
        let backend = backend_of(&order.address);
        let exchange = OpenExchange { backend, run: None, first_token: false };
        host.exchanges.insert(order.request, exchange);
        self.push(NEAR, Arrival::Request { host: id, life, order });
    }

    /// Tells a host how an exchange ended.
    pub(crate) fn exchange_ended(
        &mut self,
        id: HostId,
        life: u64,
        request: RequestId,
        ending: DispatchEnding,
        delay: u64,
    ) {
        let ending = match (self.shape.mutation, ending) {
            (Some(SiteMutation::BrokenMeansNotRun), DispatchEnding::Broke { .. }) => {
                DispatchEnding::NotRun(NotRunReason::NoConnection)
            }
            (_, ending) => ending,
        };
        let event = NodeEvent::DispatchEnded { request, ending };
        self.push(delay, Arrival::Input(id, life, HostInput::Event(event)));
    }

    fn reaches(&self, id: HostId, backend: u32) -> bool {
        let host = self.hosts.get(&id).map(|host| host.hall);
        let backend = if backend >= SERVER_BASE {
            self.servers.get(&(backend - SERVER_BASE)).map(|server| server.hall)
        } else {
            self.engines.get(&backend).map(|engine| engine.shape.hall)
        };
        let cut = |hall| self.active.cut_halls.contains(hall);
        match (host, backend) {
            (Some(host), Some(backend)) => host == backend || !(cut(&host) || cut(&backend)),
            _ => false,
        }
    }

    pub(crate) fn backend_request(&mut self, id: HostId, life: u64, order: &DispatchOrder) {
        let backend = backend_of(&order.address);
        if !self.reaches(id, backend) {
            let ending = DispatchEnding::NotRun(NotRunReason::NoConnection);
            self.exchange_ended(id, life, order.request, ending, UNREACHED);
            return;
        }
        if backend >= SERVER_BASE {
            self.run_plain(id, order, backend);
        } else {
            self.run_on_engine(id, life, order, backend);
        }
    }

    fn run_plain(&mut self, id: HostId, order: &DispatchOrder, backend: u32) {
        self.note_run(id, order.request, backend, String::new());
        self.push(
            PLAIN_MILLIS,
            Arrival::Finish { backend, incarnation: 1, request: order.request },
        );
        let run = self.evidence.runs.len() - 1;
        if let Some(server) = self.servers.get_mut(&(backend - SERVER_BASE)) {
            server.running.insert(order.request, run);
        }
    }

    fn run_on_engine(&mut self, id: HostId, life: u64, order: &DispatchOrder, backend: u32) {
        let now = self.now;
        let key = self.reference.tree().adapter_key(&order.adapter_name);
        let wrong = self.shape.mutation == Some(SiteMutation::WrongVersion);
        let Some(engine) = self.engines.get_mut(&backend).filter(|engine| !engine.gone) else {
            let ending = DispatchEnding::NotRun(NotRunReason::NoConnection);
            self.exchange_ended(id, life, order.request, ending, NEAR);
            return;
        };
        let Some(key) = key else {
            let ending = DispatchEnding::NotRun(NotRunReason::NotResident);
            self.exchange_ended(id, life, order.request, ending, NEAR);
            return;
        };
        let refusal = engine.refusal(key, order.token, now);
        let token = engine.token;
        self.note(|| {
            let (request, adapter) = (order.request, &order.adapter_name);
            format!(
                "request {request:x} from host {id} for {adapter} with {:x} at engine {backend} \
                 ({token:x}): {refusal:?}",
                order.token
            )
        });
        let Some(engine) = self.engines.get_mut(&backend) else { return };
        if let Some(reason) = refusal {
            self.exchange_ended(id, life, order.request, DispatchEnding::NotRun(reason), NEAR);
            return;
        }
        if let Some(leaving) = engine.leaving {
            self.evidence.after_leaving.push((order.request, now - leaving));
        }
        let incarnation = engine.incarnation;
        if let Some(FakeSlot::Loaded { used }) = engine.slots.get_mut(&key) {
            *used = true;
        }
        let name =
            if wrong { order.adapter_name.replace("@1", "@9") } else { order.adapter_name.clone() };
        self.step(StepKind::RequestRuns, Some(id), Some(backend), Some(order.request));
        self.note_run(id, order.request, backend, name);
        let run = self.evidence.runs.len() - 1;
        self.note_busy(backend);
        let engine = self.engines.get_mut(&backend);
        if engine.as_ref().is_none_or(|engine| engine.incarnation != incarnation) {
            // The step restarted the engine with the request on it.
            self.cut(vec![order.request]);
            return;
        }
        if let Some(engine) = engine {
            engine.running.insert(order.request, RunningRequest { adapter: key, run });
            engine.changed(now);
        }
        let (request, tokens) = (order.request, u64::from(order.max_tokens.max(1)));
        self.push(STEP_MILLIS, Arrival::FirstToken { backend, incarnation, request });
        self.push(STEP_MILLIS * tokens, Arrival::Finish { backend, incarnation, request });
    }

    fn note_run(&mut self, id: HostId, request: RequestId, backend: u32, adapter: String) {
        let begun = self.now;
        self.evidence.runs.push(RunRecord { request, backend, adapter, begun, ended: None });
        let run = self.evidence.runs.len() - 1;
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.sent.get_or_insert(begun);
        }
        let host = self.hosts.get_mut(&id);
        if let Some(exchange) = host.and_then(|host| host.exchanges.get_mut(&request)) {
            exchange.run = Some(run);
        }
    }

    /// Adds up how full an engine was since its last change.
    fn note_busy(&mut self, engine: EngineId) {
        let now = self.now as f64;
        let Some(fake) = self.engines.get(&engine) else { return };
        let running = fake.running.len() as f64;
        let busy = self.evidence.busy.entry(engine).or_default();
        let since = self.evidence.busy_since.insert(engine, now).unwrap_or(now);
        if running > 0.0 {
            busy.0 += running * (now - since);
            busy.1 += now - since;
        }
    }

    pub(crate) fn first_token(&mut self, backend: u32, incarnation: u64, request: RequestId) {
        let runs = self.engines.get(&backend).is_some_and(|engine| {
            engine.incarnation == incarnation && engine.running.contains_key(&request)
        });
        if !runs {
            return;
        }
        let now = self.now;
        let Some(caller) = self.evidence.callers.get_mut(&request) else { return };
        let host = caller.host;
        let exchange = self.hosts.get_mut(&host).filter(|host| host.runs());
        if let Some(exchange) = exchange.and_then(|host| host.exchanges.get_mut(&request)) {
            exchange.first_token = true;
            caller.first_token.get_or_insert(now);
        }
    }

    pub(crate) fn finish(&mut self, backend: u32, incarnation: u64, request: RequestId) {
        let now = self.now;
        let run = if backend >= SERVER_BASE {
            let server = self.servers.get_mut(&(backend - SERVER_BASE));
            server.and_then(|server| server.running.remove(&request))
        } else {
            self.note_busy(backend);
            let engine = self.engines.get_mut(&backend);
            let engine = engine.filter(|engine| engine.incarnation == incarnation);
            engine.and_then(|engine| {
                let running = engine.running.remove(&request)?;
                engine.changed(now);
                Some(running.run)
            })
        };
        let Some(run) = run else { return };
        self.evidence.runs[run].ended = Some(now);
        let Some(caller) = self.evidence.callers.get(&request) else { return };
        let host = caller.host;
        self.step(StepKind::RequestEnds, Some(host), Some(backend), Some(request));
        self.answer(host, request, run, backend);
    }

    /// Brings an answer to the host, which has passed it on to the caller by then.
    fn answer(&mut self, id: HostId, request: RequestId, run: usize, backend: u32) {
        let reached = self.reaches(id, backend);
        let now = self.now;
        let first_waiting = self.shape.mutation == Some(SiteMutation::AnswerFirstWaiting);
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        let mut waiting = host.exchanges.iter().filter(|(_, open)| open.backend == backend);
        let first = waiting.next().map(|(first, _)| *first);
        let request = first.filter(|_| first_waiting).unwrap_or(request);
        let Some(exchange) = host.exchanges.get(&request) else { return };
        let (begun, own) = (exchange.first_token, exchange.run == Some(run));
        if !own && !first_waiting {
            return;
        }
        if !reached {
            let ending = DispatchEnding::Broke { answer_begun: begun };
            self.exchange_ended(id, life, request, ending, UNREACHED);
            return;
        }
        host.exchanges.remove(&request);
        if !own {
            self.evidence.crossed.push(request);
        }
        if let Some(caller) = self.evidence.callers.get_mut(&request) {
            caller.first_token.get_or_insert(now);
            if !caller.hung_up {
                caller.told.get_or_insert((CallerOutcome::Answered, now + NEAR));
            }
        }
        self.exchange_ended(id, life, request, DispatchEnding::Answered, NEAR);
    }

    /// Breaks off what ran on an engine.
    fn cut(&mut self, requests: Vec<RequestId>) {
        for request in requests {
            let Some(caller) = self.evidence.callers.get(&request) else { continue };
            let id = caller.host;
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            let life = host.life;
            let Some(exchange) = host.exchanges.remove(&request) else { continue };
            let ending = DispatchEnding::Broke { answer_begun: exchange.first_token };
            self.exchange_ended(id, life, request, ending, NEAR);
        }
    }

    pub(crate) fn engine_order(&mut self, id: HostId, life: u64, order: EngineOrder) {
        let now = self.now;
        if !self.reaches(id, order.engine) {
            self.order_result(id, life, order, OrderResult::NeverSent, UNREACHED);
            return;
        }
        let kind = match order.action {
            OrderAction::Raise => StepKind::RaiseArrives,
            OrderAction::Load(_) => StepKind::LoadBegins,
            OrderAction::Unload(_) | OrderAction::UnloadStranger(_) => StepKind::UnloadArrives,
        };
        self.note(|| format!("order from host {id}: {order:?}"));
        self.step(kind, Some(id), Some(order.engine), None);
        let unfenced = self.shape.mutation == Some(SiteMutation::IgnoreFence);
        let Some(engine) = self.engines.get_mut(&order.engine).filter(|engine| !engine.gone) else {
            self.order_result(id, life, order, OrderResult::NeverSent, NEAR);
            return;
        };
        if !unfenced && let Err(token) = engine.pass_fence(order.token, now) {
            self.order_result(id, life, order, OrderResult::Fenced { token }, NEAR);
            return;
        }
        match order.action {
            OrderAction::Raise => {
                let result = engine.done();
                self.order_result(id, life, order, result, NEAR);
            }
            OrderAction::Load(adapter) => self.begin_load(id, life, order, adapter),
            OrderAction::Unload(adapter) => self.unload(id, life, order, adapter),
            OrderAction::UnloadStranger(_) => {}
        }
    }

    fn order_result(
        &mut self,
        id: HostId,
        life: u64,
        order: EngineOrder,
        result: OrderResult,
        delay: u64,
    ) {
        let done = matches!(result, OrderResult::Done { .. } | OrderResult::Failed);
        let lost = done && self.active.order_answer_lost > 0;
        let (result, delay) = if lost { (OrderResult::Lost, 3_000) } else { (result, delay) };
        let event = NodeEvent::OrderEnded { order, result };
        self.push(delay, Arrival::Input(id, life, HostInput::Event(event)));
    }

    fn begin_load(&mut self, id: HostId, life: u64, order: EngineOrder, adapter: AdapterKey) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        match engine.slots.get(&adapter) {
            Some(FakeSlot::Loaded { .. }) => {
                let result = engine.done();
                self.order_result(id, life, order, result, NEAR);
                return;
            }
            Some(FakeSlot::Loading(_)) => {
                self.order_result(id, life, order, OrderResult::Failed, NEAR);
                return;
            }
            None => {}
        }
        if engine.slots.len() >= engine.shape.slots as usize {
            self.order_result(id, life, order, OrderResult::Failed, NEAR);
            return;
        }
        let load = self.store.begin(now);
        engine.slots.insert(adapter, FakeSlot::Loading(load));
        engine.changed(now);
        self.evidence.loads += 1;
        self.store_loads.insert(load, (id, life, order));
        self.plan_store_check();
    }

    pub(crate) fn plan_store_check(&mut self) {
        if let Some(at) = self.store.next_done() {
            self.push(at.saturating_sub(self.now), Arrival::StoreCheck);
        }
    }

    pub(crate) fn store_check(&mut self) {
        let now = self.now;
        let done = self.store.finish(now);
        let any = !done.is_empty();
        for load in done {
            self.load_done(load);
        }
        if any {
            self.plan_store_check();
        }
    }

    fn load_done(&mut self, load: u64) {
        let now = self.now;
        let Some((id, life, order)) = self.store_loads.remove(&load) else { return };
        let OrderAction::Load(adapter) = order.action else { return };
        self.step(StepKind::LoadEnds, Some(id), Some(order.engine), None);
        let fails = self.active.load_fails > 0;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        // The step may have restarted the engine, whose new life knows nothing of the load.
        if engine.slots.get(&adapter) != Some(&FakeSlot::Loading(load)) {
            self.order_result(id, life, order, OrderResult::Lost, NEAR);
            return;
        }
        let result = if fails {
            engine.slots.remove(&adapter);
            engine.changed(now);
            OrderResult::Failed
        } else {
            engine.slots.insert(adapter, FakeSlot::Loaded { used: false });
            engine.changed(now);
            engine.done()
        };
        self.order_result(id, life, order, result, NEAR);
    }

    fn unload(&mut self, id: HostId, life: u64, order: EngineOrder, adapter: AdapterKey) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        let slot = engine.slots.get(&adapter).copied();
        if let Some(FakeSlot::Loaded { used }) = slot {
            engine.slots.remove(&adapter);
            let on = |running: &RunningRequest| running.adapter == adapter;
            let cut: Vec<RequestId> = engine
                .running
                .iter()
                .filter(|(_, running)| on(running))
                .map(|(request, _)| *request)
                .collect();
            for request in &cut {
                engine.running.remove(request);
            }
            engine.changed(now);
            self.note(|| format!("engine {} unloads {adapter:?}, cuts {cut:x?}", order.engine));
            self.evidence.wasted_loads += u64::from(!used);
            self.evidence.cut_by_unload.extend(&cut);
            self.cut(cut);
        }
        let Some(engine) = self.engines.get(&order.engine) else { return };
        let result = engine.done();
        self.order_result(id, life, order, result, NEAR);
    }

    pub(crate) fn engine_report(&mut self, id: HostId, life: u64, engine: EngineId) {
        if !self.reaches(id, engine) {
            return;
        }
        let now = self.now;
        let hide = self.shape.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get(&engine).filter(|engine| !engine.gone) else { return };
        let mut report = fake.report(now);
        report.leaving &= !hide;
        let event = NodeEvent::Report { engine, report };
        self.push(NEAR, Arrival::Input(id, life, HostInput::Event(event)));
    }

    pub(crate) fn append(
        &mut self,
        id: HostId,
        life: u64,
        stream: LogStream,
        payload: Vec<u8>,
        ticket: u64,
    ) {
        let result = if self.active.log_away > 0 || !self.reaches_platform(id) {
            // The platform can not be reached at all, so nothing is written.
            AppendResult::Refused
        } else {
            if stream == LogStream::Claims {
                self.step(StepKind::ClaimAppends, Some(id), None, None);
            }
            self.log.append(stream, payload, WALL_START + self.now);
            self.wake_readers(stream);
            if self.active.append_lost > 0 { AppendResult::Lost } else { AppendResult::Written }
        };
        let delay = if result == AppendResult::Lost { 3_000 } else { 2 };
        let event = NodeEvent::AppendEnded { ticket, result };
        self.push(delay, Arrival::Input(id, life, HostInput::Event(event)));
    }

    /// Readers that wait at the end of a stream get new records at once.
    fn wake_readers(&mut self, stream: LogStream) {
        let readers: Vec<(HostId, u64)> =
            self.hosts.values().map(|host| (host.host, host.life)).collect();
        for (host, life) in readers {
            self.push(FAR, Arrival::ReadLog(host, life, stream));
        }
    }

    /// Publishes a change into the log.
    pub fn publish(&mut self, record: &ChangeRecord) {
        self.step(StepKind::PublicationAppends, None, None, None);
        let payload = serde_json::to_vec(record).unwrap_or_default();
        let before = self.reference.revision();
        self.log.append(LogStream::Settings, payload, WALL_START + self.now);
        let (records, _) = self.log.read(LogStream::Settings, self.reference.next_offset());
        for record in records {
            self.reference.fold(record);
        }
        let after = self.reference.revision();
        if after > before {
            self.evidence.accepted.insert(after, self.now);
        }
        self.wake_readers(LogStream::Settings);
    }

    pub(crate) fn act(&mut self, action: SiteAction) {
        match action {
            SiteAction::Publish(record) => self.publish(&record),
            SiteAction::DrainHost(id) => {
                self.step(StepKind::DrainBegins, Some(id), None, None);
                let life = self.hosts.get(&id).map_or(0, |host| host.life);
                if self.shape.mutation == Some(SiteMutation::ExitAtOnce) {
                    self.host_stopped(id);
                    return;
                }
                self.input(id, life, HostInput::Event(NodeEvent::StopAsked));
            }
            SiteAction::LeaveEngine(engine) => self.leave_engine(engine),
            SiteAction::KillHost(id, back) => {
                self.kill_host(id);
                self.push(back, Arrival::Return(id));
            }
            SiteAction::RestartEngine(engine) => self.restart_engine(engine),
            SiteAction::StoreAway(millis) => {
                let planned = PlannedFault {
                    fault: FaultKind::StoreAway,
                    step: StepKind::LoadBegins,
                    nth: 0,
                    lasts: millis,
                };
                self.begin_fault(planned, FaultTarget::default());
            }
        }
    }

    fn leave_engine(&mut self, engine: EngineId) {
        let now = self.now;
        let hide = self.shape.mutation == Some(SiteMutation::HideLeaving);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving.is_some() {
            return;
        }
        fake.leaving = Some(now);
        fake.changed(now);
        let kind = HostKind::Engine(fake.facts());
        self.step(StepKind::LeaveBegins, None, Some(engine), None);
        if !hide {
            let entries = vec![HostEntry { kind, leaving: true }];
            self.change_hosts(HostChange { entries, ..HostChange::default() });
        }
        self.push(6_000, Arrival::EngineGone(engine));
    }

    /// A leaving engine goes away once nothing runs on it.
    pub(crate) fn engine_gone(&mut self, engine: EngineId) {
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        if fake.leaving.is_none() {
            return;
        }
        if !fake.running.is_empty() {
            self.push(500, Arrival::EngineGone(engine));
            return;
        }
        fake.gone = true;
        let gone_engines = vec![engine];
        self.change_hosts(HostChange { gone_engines, ..HostChange::default() });
        self.push(10_000, Arrival::EngineBack(engine));
    }

    pub(crate) fn engine_back(&mut self, engine: EngineId) {
        self.restart_engine(engine);
        let Some(fake) = self.engines.get(&engine) else { return };
        let entries = vec![HostEntry { kind: HostKind::Engine(fake.facts()), leaving: false }];
        self.change_hosts(HostChange { entries, ..HostChange::default() });
    }

    pub(crate) fn restart_engine(&mut self, engine: EngineId) {
        let now = self.now;
        self.note_busy(engine);
        let Some(fake) = self.engines.get_mut(&engine) else { return };
        let (cut, loads) = fake.restart(now);
        for load in loads {
            self.store.drop_load(load, now);
            if let Some((id, life, order)) = self.store_loads.remove(&load) {
                self.order_result(id, life, order, OrderResult::Lost, NEAR);
            }
        }
        self.cut(cut);
    }

    pub(crate) fn host_stopped(&mut self, id: HostId) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.drained = true;
        let open: Vec<RequestId> = host
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.run.is_some())
            .map(|(request, _)| *request)
            .collect();
        let cut = open.into_iter().filter(|request| {
            self.evidence.callers.get(request).is_some_and(|caller| caller.told.is_none())
        });
        self.evidence.cut_by_stop.extend(cut);
        self.kill_host(id);
        self.push(15_000, Arrival::Return(id));
    }

    /// Lets a fault strike.
    pub(crate) fn begin_fault(&mut self, planned: PlannedFault, mut target: FaultTarget) {
        if target.host.is_none() {
            target.host = self.ready_host();
            target.hall = target.host.and_then(|id| self.hosts.get(&id)).map(|host| host.hall);
        }
        if target.engine.is_none_or(|engine| !self.engines.contains_key(&engine)) {
            target.engine = self.engines.keys().next().copied();
        }
        let over = Some(self.now + planned.lasts);
        self.evidence.last_fault_end = self.evidence.last_fault_end.max(over);
        self.switch_fault(planned.fault, target, true);
        self.push(planned.lasts, Arrival::EndFault(planned, target));
    }

    pub(crate) fn end_fault(&mut self, planned: PlannedFault, target: FaultTarget) {
        self.switch_fault(planned.fault, target, false);
    }

    fn switch_fault(&mut self, fault: FaultKind, target: FaultTarget, on: bool) {
        let count = |counter: &mut u32| {
            *counter = if on { *counter + 1 } else { counter.saturating_sub(1) };
        };
        match fault {
            FaultKind::HostKilled => self.switch_killed(target, on),
            FaultKind::HostFrozen => self.switch_frozen(target, on),
            FaultKind::EngineRestarted if on => {
                if let Some(engine) = target.engine {
                    self.restart_engine(engine);
                }
            }
            FaultKind::LoadFails => count(&mut self.active.load_fails),
            FaultKind::OrderAnswerLost => count(&mut self.active.order_answer_lost),
            FaultKind::OrderLate => count(&mut self.active.order_late),
            FaultKind::OrderGivenUp => count(&mut self.active.order_given_up),
            FaultKind::StoreAway => {
                count(&mut self.active.store_away);
                self.change_store();
            }
            FaultKind::StoreSlow => {
                count(&mut self.active.store_slow);
                self.change_store();
            }
            FaultKind::LogAway => count(&mut self.active.log_away),
            FaultKind::LogSlow => count(&mut self.active.log_slow),
            FaultKind::AppendAnswerLost => count(&mut self.active.append_lost),
            FaultKind::HostListStale => count(&mut self.active.hosts_stale),
            FaultKind::PeersCutOneWay | FaultKind::PeersCutBothWays => {
                let host = target.host.and_then(|id| self.hosts.get_mut(&id));
                if let Some(host) = host {
                    count(&mut host.deaf);
                    if fault == FaultKind::PeersCutBothWays {
                        count(&mut host.mute);
                    }
                }
            }
            FaultKind::HallCutOff => self.switch_hall(target, on),
            FaultKind::CallerGone if on => self.hang_up(target),
            FaultKind::MessageDoubled => count(&mut self.active.doubled),
            FaultKind::MessageLate => count(&mut self.active.late),
            FaultKind::MessageOutOfOrder => count(&mut self.active.disorder),
            FaultKind::MessageLost => count(&mut self.active.lossy),
            FaultKind::OperatorsRace if on => self.race_operators(),
            FaultKind::ClockJump => {
                const HOUR: i64 = 3_600_000;
                if let Some(host) = target.host.and_then(|id| self.hosts.get_mut(&id)) {
                    host.wall_skew += if on { HOUR } else { -HOUR };
                }
            }
            FaultKind::EngineRestarted | FaultKind::CallerGone | FaultKind::OperatorsRace => {}
        }
    }

    fn switch_killed(&mut self, target: FaultTarget, on: bool) {
        let Some(host) = target.host else { return };
        if on {
            self.kill_host(host);
        } else {
            self.start_host(host);
        }
    }

    fn switch_frozen(&mut self, target: FaultTarget, on: bool) {
        let Some(id) = target.host else { return };
        if on {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.frozen = host.core.is_some();
            }
        } else {
            self.thaw(id);
        }
    }

    fn switch_hall(&mut self, target: FaultTarget, on: bool) {
        let hall = target.hall.or_else(|| self.halls.first().copied());
        let Some(hall) = hall else { return };
        if on {
            self.active.cut_halls.push(hall);
        } else if let Some(place) = self.active.cut_halls.iter().position(|cut| *cut == hall) {
            self.active.cut_halls.remove(place);
        }
    }

    fn change_store(&mut self) {
        let (away, slow) = (self.active.store_away > 0, self.active.store_slow > 0);
        let now = self.now;
        self.store.change(now, |store| {
            store.away = away;
            store.slowness = if slow { 10.0 } else { 1.0 };
        });
        self.plan_store_check();
    }

    fn hang_up(&mut self, target: FaultTarget) {
        let Some(request) = target.request else { return };
        let Some(caller) = self.evidence.callers.get_mut(&request) else { return };
        if caller.told.is_some() {
            return;
        }
        caller.hung_up = true;
        let id = caller.host;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        let event = match host.exchanges.remove(&request) {
            Some(_) => NodeEvent::DispatchEnded { request, ending: DispatchEnding::CallerGone },
            None => NodeEvent::CallerGone(request),
        };
        self.push(NEAR, Arrival::Input(id, life, HostInput::Event(event)));
    }

    /// Two operators publish against the same revision, at the same place.
    fn race_operators(&mut self) {
        let base_revision = self.reference.revision();
        if base_revision == 0 {
            return;
        }
        for (index, worth) in [3.0, 4.0].into_iter().enumerate() {
            let path = SettingsPath::site().child("assist");
            let action = EditAction::Set(SettingKey::Worth, SettingValue::Fraction(worth));
            let record = ChangeRecord {
                format: 1,
                change_id: format!("race-{}-{index}", self.now),
                base_revision,
                author: format!("operator-{index}"),
                message: String::new(),
                edits: vec![SettingsEdit { path, action }],
            };
            self.push(u64::try_from(index).unwrap_or(0), Arrival::Act(SiteAction::Publish(record)));
        }
    }
}

/// Returns which backend server an address names.
fn backend_of(address: &str) -> u32 {
    let number = |text: &str| text.parse().unwrap_or(0);
    match address.split_once('-') {
        Some(("server", id)) => SERVER_BASE + number(id),
        Some((_, id)) => number(id),
        None => 0,
    }
}
