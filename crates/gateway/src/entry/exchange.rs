//! One request, from its arrival to its final answer.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{
        EngineEntry, EngineName, ServiceName, WeightVersion,
        quarantine::{InterruptedRun, RequestMark},
        routes::{ConfigRevision, RouteEntry},
    },
    organisation::OrganisationEntry,
};
use reelreel_http::{HttpStream, RequestHead};
use tokio::time::Instant;

use crate::{
    codec::RequestMetadata,
    engines::EngineAnswer,
    entry::{
        TrafficState,
        answer::{ENGINE_FAILED, TIME_OVER},
        deadline::RequestDeadline,
        permit::PermitWait,
        pick::{CoolingHolders, EngineNeed, EnginePick, pick_engine},
        preflight::SendRejection,
        prepare::{PreparedRequest, prepare, refuse_early},
        wait::WaitEnd,
    },
};

/// How many bytes a client may send ahead while its request runs.
pub const SENT_AHEAD: usize = 16 * 1024;

/// The pause before an engine that refused is asked again.
pub(super) const REPEAT_PAUSE: Duration = Duration::from_millis(60);

/// How many engines may be silent when they are connected to for one request: each of them costs it a part of its target.
const MOST_SILENT: u32 = 4;

/// How many engines are connected to for one request at all. One that is gone refuses at once and costs nothing, and many
/// may go at the same moment.
const MOST_CONNECTS: u32 = 32;

/// How long a connection takes at least that was not refused at once.
const SILENT_CONNECT: Duration = Duration::from_millis(20);

/// How often one request is sent at all.
const MOST_SENDS: u32 = 6;

/// A client's request, read whole.
#[derive(Debug)]
pub struct ClientRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// When its first byte was read.
    pub arrived: ClockMillis,
}

/// What becomes of the client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// It serves the next request.
    Keep,
    /// It is closed after the answer.
    Close,
    /// It is reset, so that nobody takes the answer for whole.
    Reset,
}

/// How one send ended.
pub enum SendEnd {
    /// The client has its answer, or is gone.
    Over(ExchangeEnd, &'static str),
    /// It was not sent, since what had been decided holds no longer.
    Rejected(SendRejection),
    /// Nothing reached the engine.
    NotSent,
    /// The engine promises that it did not run the request; `absent` when it lacks the adapter.
    NotRun {
        /// Whether it does not hold what was named, or is another engine.
        absent: bool,
    },
    /// It gave no first byte in time; a further send was taken from the budgets.
    Overdue,
    /// It may have run, and the client has got nothing.
    Failed,
    /// The engine answered with an error of its own, which is whole.
    Erred(Box<EngineAnswer>, Bytes),
    /// The time is over.
    TimeOver,
}

/// One request on its way.
pub struct Exchange<'client> {
    /// What the thread's tasks share.
    pub traffic: &'client Rc<TrafficState>,
    /// The client's connection.
    pub client: &'client mut HttpStream,
    /// The request.
    pub request: ClientRequest,
    /// What it says.
    pub facts: RequestMetadata,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that runs it.
    pub service: ServiceName,
    /// Who asks; absent where its route asks for no key.
    pub organisation: Option<Arc<OrganisationEntry>>,
    /// By what it is known again when it comes back.
    pub mark: RequestMark,
    /// What was taken of the organisation's quota for it.
    pub quota_cost: u64,
    /// Until when an answer is worth anything.
    pub deadline: RequestDeadline,
    /// The engines that it was sent to.
    pub sent_to: Vec<EngineName>,
    /// The status that the client got.
    pub status: u16,
    /// When the first byte of the answer went out. Unit: milliseconds after the arrival.
    pub first: u64,
    /// When it was sent the last time. Unit: milliseconds after the arrival.
    pub sent: u64,
    /// The run under way, as it is known if its engine ends.
    pub run: Option<InterruptedRun>,
    /// What its engine had to read before its prompt when it was sent the last time. Unit: tokens.
    pub ahead: u64,
    /// The longest pause between two events that were passed on.
    pub longest_pause: Duration,
    /// How often it was sent.
    pub sends: u32,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// How long it waited for an adapter.
    pub waited: Duration,
    /// Engines that are not asked again: out of reach, full, or tried in vain.
    pub(super) unreached: Vec<EngineName>,
    connects: u32,
    silent_connects: u32,
    /// Its wait for a permit of an engine that has named a limit.
    pub(super) permit_wait: Option<PermitWait>,
    /// The engine whose permit it last waited for.
    pub limited_by: Option<EngineName>,
    /// The engines that could run it and whose cooldowns it waits for.
    pub(super) cooling: Option<CoolingHolders>,
    /// The engine whose cooldown it last waited for.
    pub cooling_by: Option<EngineName>,
    /// The configuration that decided its route.
    pub revision: ConfigRevision,
}

/// Runs one request to its final answer.
pub async fn run_exchange(
    traffic: &Rc<TrafficState>,
    client: &mut HttpStream,
    request: ClientRequest,
) -> ExchangeEnd {
    let _open = OpenRequest::new(traffic);
    match prepare(traffic, &request) {
        Ok(prepared) => {
            let mut exchange = Exchange::new(traffic, client, request, prepared);
            let (end, outcome) = exchange.run().await;
            exchange.log(outcome);
            exchange.settle_quota();
            end
        }
        Err(refusal) => refuse_early(traffic, client, &request, refusal).await,
    }
}

/// Counts an open request for as long as it lives.
struct OpenRequest<'traffic>(&'traffic TrafficState);

impl<'traffic> OpenRequest<'traffic> {
    fn new(traffic: &'traffic TrafficState) -> Self {
        traffic.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        traffic.shared.metrics.open_requests.inc();
        Self(traffic)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.shared.metrics.open_requests.dec();
    }
}

impl<'client> Exchange<'client> {
    fn new(
        traffic: &'client Rc<TrafficState>,
        client: &'client mut HttpStream,
        request: ClientRequest,
        prepared: PreparedRequest,
    ) -> Self {
        let PreparedRequest { facts, route, service, organisation, mark, quota_cost, revision } =
            prepared;
        let allowed = facts.deadline.unwrap_or(route.timeout).min(route.timeout);
        Self {
            traffic,
            client,
            deadline: RequestDeadline::new(&traffic.shared.clock, request.arrived, allowed),
            request,
            facts,
            route,
            service,
            organisation,
            mark,
            quota_cost,
            sent_to: Vec::new(),
            status: 0,
            first: 0,
            sent: 0,
            run: None,
            ahead: 0,
            longest_pause: Duration::ZERO,
            unreached: Vec::new(),
            sends: 0,
            connects: 0,
            silent_connects: 0,
            permit_wait: None,
            limited_by: None,
            cooling: None,
            cooling_by: None,
            may_have_run: false,
            waited: Duration::ZERO,
            revision,
        }
    }

    async fn run(&mut self) -> (ExchangeEnd, &'static str) {
        if let Some(key) = &self.facts.model {
            let tokens = self.facts.prompt.tokens();
            self.traffic.shared.demand().asked(&self.service, key, tokens);
        }
        // What is held back ends engines with everything that they run, and its body is known already.
        if let Some(end) = self.refuse_rejected().await {
            return end;
        }
        if let Some(time) = self.plain_refusal() {
            return self.refuse_plain(time).await;
        }
        loop {
            match self.pick() {
                EnginePick::Engine(entry, version) => {
                    if let Some(time) = self.queue_refusal(&entry) {
                        return self.refuse_queued(time).await;
                    }
                    if let Some(end) = self.try_engine(&entry, version).await {
                        return end;
                    }
                }
                EnginePick::Cold | EnginePick::Limited(_) | EnginePick::Cooling(_) => {
                    match self.wait_for_engine().await {
                        WaitEnd::Changed => self.cooling = None,
                        WaitEnd::Rejected(rejection) => {
                            if let Some(end) = self.rejected(rejection).await {
                                return end;
                            }
                        }
                        WaitEnd::ClientGone => return (ExchangeEnd::Reset, "client_gone"),
                        WaitEnd::Refused(time) => return self.refuse_waiting(time).await,
                    }
                }
                EnginePick::Nowhere => return self.give_up("no_engine").await,
            }
        }
    }

    /// Returns where the request may go now.
    pub fn pick(&self) -> EnginePick {
        let mut excluded = self.unreached.clone();
        // Once the route's engines are used up, only those that were asked may be asked again.
        let used_up = self.sent_to.len() >= self.route.attempt_limit.max(1) as usize;
        if used_up {
            let table = self.traffic.table();
            let others = table.ready_engines(&self.service);
            let others = others.filter(|entry| !self.sent_to.contains(&entry.name));
            excluded.extend(others.map(|entry| Arc::clone(&entry.name)));
        }
        self.pick_but(&excluded)
    }

    /// Returns where another attempt of the client might go now.
    pub(super) fn fresh_pick(&self) -> EnginePick {
        self.pick_but(&[])
    }

    fn pick_but(&self, excluded: &[EngineName]) -> EnginePick {
        let need = EngineNeed {
            service: &self.service,
            key: self.facts.model.as_ref(),
            excluded,
            id: &self.facts.id,
            wanted: self.permit_use(),
        };
        pick_engine(self.traffic, &need)
    }

    /// Sends the request to one engine; `None` when another send may follow.
    async fn try_engine(
        &mut self,
        entry: &Arc<EngineEntry>,
        version: Option<WeightVersion>,
    ) -> Option<(ExchangeEnd, &'static str)> {
        let began = Instant::now();
        match self.send(entry, version).await {
            SendEnd::Over(end, outcome) => Some((end, outcome)),
            SendEnd::Rejected(rejection) => self.rejected(rejection).await,
            SendEnd::TimeOver if self.may_have_run => {
                Some(self.answer(TIME_OVER, "time_over").await)
            }
            SendEnd::TimeOver => Some(self.give_up("time_over").await),
            SendEnd::NotSent => {
                self.unreached.push(Arc::clone(&entry.name));
                self.connects += 1;
                self.silent_connects += u32::from(began.elapsed() >= SILENT_CONNECT);
                if self.connects < MOST_CONNECTS && self.silent_connects < MOST_SILENT {
                    return None;
                }
                Some(self.give_up("unreachable").await)
            }
            SendEnd::NotRun { absent: false } if self.traffic.is_plain(&self.service) => {
                self.server_full(entry).await
            }
            SendEnd::NotRun { absent } => {
                if absent && let Some(key) = &self.facts.model {
                    self.traffic.note_absence(&self.service, &entry.name, key);
                }
                if !self.may_send_again() {
                    return Some(self.give_up("not_run").await);
                }
                // Another engine is asked at once.
                if matches!(self.pick(), EnginePick::Engine(next, _) if next.name == entry.name) {
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
                None
            }
            SendEnd::Overdue => {
                self.unreached.push(Arc::clone(&entry.name));
                None
            }
            SendEnd::Failed => {
                let repeat = self.route.kind.is_retryable() && self.has_other_engine();
                if repeat && self.may_send_again() {
                    self.unreached.push(Arc::clone(&entry.name));
                    return None;
                }
                Some(self.answer(ENGINE_FAILED, "engine_failed").await)
            }
            SendEnd::Erred(answer, body) => {
                let repeat = self.route.kind.is_retryable() && self.has_other_engine();
                if repeat && self.may_send_again() {
                    self.unreached.push(Arc::clone(&entry.name));
                    return None;
                }
                let end = self.pass_whole(&answer, &body).await;
                Some((end, "engine_error"))
            }
        }
    }

    /// Returns whether the route allows another engine.
    pub fn has_other_engine(&self) -> bool {
        self.sent_to.len() < self.route.attempt_limit as usize
    }

    /// Returns whether the request may be sent once more as far as its own bounds go.
    pub fn sends_are_left(&self) -> bool {
        self.sends < MOST_SENDS && self.deadline.remaining() > REPEAT_PAUSE
    }

    /// Takes one further send from the budgets that bound them.
    pub fn may_send_again(&self) -> bool {
        // A request under which two engines in a row ended is not sent to a third one.
        self.sends_are_left()
            && self.held_back().is_none()
            && self.traffic.take_retry(&self.service)
    }

    /// Gives back what was taken of the organisation's quota for a request that did not run.
    fn settle_quota(&self) {
        let Some(organisation) = self.organisation.as_ref().filter(|_| self.quota_cost > 0) else {
            return;
        };
        if !self.may_have_run {
            let now = self.traffic.now();
            self.traffic.shared.quotas().refund(&organisation.name, self.quota_cost, now);
        }
    }

    /// Returns the rank of the request at engines: its organisation's goes before its route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns whether the client's connection serves another request after this one.
    pub fn keeps_client(&self) -> bool {
        self.request.head.keeps_connection() && !self.traffic.shared.is_stopping()
    }

    /// Returns the milliseconds since the request arrived.
    pub fn elapsed(&self) -> u64 {
        duration_millis(self.traffic.now().since(self.request.arrived))
    }
}
