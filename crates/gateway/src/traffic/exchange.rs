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
        quarantine::{EndedRun, RequestMark},
        routes::{ConfigRevision, RouteEntry},
    },
    organisation::OrganisationEntry,
};
use reelreel_http::{HttpStream, RequestHead};
use tokio::time::Instant;

use crate::{
    border::RequestFacts,
    engines::EngineResponse,
    traffic::{
        TrafficState,
        deadline::RequestDeadline,
        local_response::{DEADLINE_EXCEEDED, ENGINE_FAILED},
        permit::PermitWait,
        pick::{CoolingEngines, EnginePick, EngineRequirements, pick_engine},
        preflight::SendRejection,
        prepare::{PreparedRequest, prepare, refuse_early},
        wait::WaitOutcome,
    },
};

/// How many bytes a client may send ahead while its request runs.
pub const READ_AHEAD_LIMIT: usize = 16 * 1024;

/// The pause before an engine that refused is asked again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// How many engines may be silent when they are connected to for one request: each of them costs it a part of its target.
const SLOW_CONNECT_LIMIT: u32 = 4;

/// How many engines are connected to for one request at all. One that is gone refuses at once and costs nothing, and many
/// may go at the same moment.
const CONNECT_FAILURE_LIMIT: u32 = 32;

/// How long a connection takes at least that was not refused at once.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(20);

/// How often one request is sent at all.
const SEND_LIMIT: u32 = 6;

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
pub enum ConnectionAction {
    /// It serves the next request.
    Keep,
    /// It is closed after the answer.
    Close,
    /// It is reset, so that nobody takes the answer for whole.
    Reset,
}

/// How one send ended.
pub enum SendOutcome {
    /// The client has its answer, or is gone.
    Finished(ConnectionAction, &'static str),
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
    FirstByteTimeout,
    /// It may have run, and the client has got nothing.
    Failed,
    /// The engine answered with an error of its own, which is whole.
    ErrorResponse(Box<EngineResponse>, Bytes),
    /// The time is over.
    DeadlineExceeded,
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
    pub facts: RequestFacts,
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
    pub first_byte_ms: u64,
    /// When it was sent the last time. Unit: milliseconds after the arrival.
    pub last_sent_ms: u64,
    /// The run under way, as it is known if its engine ends.
    pub current_run: Option<EndedRun>,
    /// What its engine had to read before its prompt when it was sent the last time. Unit: tokens.
    pub prefill_ahead: u64,
    /// The longest pause between two events that were passed on.
    pub longest_event_gap: Duration,
    /// How often it was sent.
    pub sends: u32,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// How long it waited for an adapter.
    pub waited: Duration,
    /// Engines that are not asked again: out of reach, full, or tried in vain.
    pub(super) excluded_engines: Vec<EngineName>,
    failed_connects: u32,
    slow_connects: u32,
    /// Its wait for a permit of an engine that has named a limit.
    pub(super) permit_wait: Option<PermitWait>,
    /// The engine whose permit it last waited for.
    pub limited_by: Option<EngineName>,
    /// The engines that could run it and whose cooldowns it waits for.
    pub(super) cooling_engines: Option<CoolingEngines>,
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
) -> ConnectionAction {
    let _open = OpenRequestGuard::new(traffic);
    match prepare(traffic, &request) {
        Ok(prepared) => {
            let mut exchange = Exchange::new(traffic, client, request, prepared);
            let (action, outcome) = exchange.run().await;
            exchange.log(outcome);
            exchange.refund_unused_quota();
            action
        }
        Err(refusal) => refuse_early(traffic, client, &request, refusal).await,
    }
}

/// Counts an open request for as long as it lives.
struct OpenRequestGuard<'traffic>(&'traffic TrafficState);

impl<'traffic> OpenRequestGuard<'traffic> {
    fn new(traffic: &'traffic TrafficState) -> Self {
        traffic.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        traffic.shared.metrics.open_requests.inc();
        Self(traffic)
    }
}

impl Drop for OpenRequestGuard<'_> {
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
        let time_limit = facts.deadline.unwrap_or(route.timeout).min(route.timeout);
        Self {
            traffic,
            client,
            deadline: RequestDeadline::new(&traffic.shared.clock, request.arrived, time_limit),
            request,
            facts,
            route,
            service,
            organisation,
            mark,
            quota_cost,
            sent_to: Vec::new(),
            status: 0,
            first_byte_ms: 0,
            last_sent_ms: 0,
            current_run: None,
            prefill_ahead: 0,
            longest_event_gap: Duration::ZERO,
            excluded_engines: Vec::new(),
            sends: 0,
            failed_connects: 0,
            slow_connects: 0,
            permit_wait: None,
            limited_by: None,
            cooling_engines: None,
            cooling_by: None,
            may_have_run: false,
            waited: Duration::ZERO,
            revision,
        }
    }

    async fn run(&mut self) -> (ConnectionAction, &'static str) {
        if let Some(key) = &self.facts.model {
            let tokens = self.facts.prompt.tokens();
            self.traffic.shared.demand().asked(&self.service, key, tokens);
        }
        // What is held back ends engines with everything that they run, and its body is known already.
        if let Some(result) = self.refuse_if_rejected().await {
            return result;
        }
        if let Some(time) = self.admission_retry_after() {
            return self.refuse_unadmitted(time).await;
        }
        loop {
            match self.pick() {
                EnginePick::Engine(entry, version) => {
                    if let Some(time) = self.queue_retry_after(&entry) {
                        return self.refuse_long_queue(time).await;
                    }
                    if let Some(result) = self.try_engine(&entry, version).await {
                        return result;
                    }
                }
                EnginePick::ColdStart | EnginePick::Limited(_) | EnginePick::Cooling(_) => {
                    match self.wait_for_engine().await {
                        WaitOutcome::PickAgain => self.cooling_engines = None,
                        WaitOutcome::Rejected(rejection) => {
                            if let Some(result) = self.handle_rejection(rejection).await {
                                return result;
                            }
                        }
                        WaitOutcome::ClientGone => return (ConnectionAction::Reset, "client_gone"),
                        WaitOutcome::Refused(time) => return self.refuse_after_wait(time).await,
                    }
                }
                EnginePick::Unavailable => return self.give_up("no_engine").await,
            }
        }
    }

    /// Returns where the request may go now.
    pub fn pick(&self) -> EnginePick {
        let mut excluded = self.excluded_engines.clone();
        // Once the route's engines are used up, only those that were asked may be asked again.
        let attempts_exhausted = self.sent_to.len() >= self.route.attempt_limit.max(1) as usize;
        if attempts_exhausted {
            let table = self.traffic.table();
            let others = table.ready_engines(&self.service);
            let others = others.filter(|entry| !self.sent_to.contains(&entry.name));
            excluded.extend(others.map(|entry| Arc::clone(&entry.name)));
        }
        self.pick_excluding(&excluded)
    }

    /// Returns where another attempt of the client might go now.
    pub(super) fn pick_without_exclusions(&self) -> EnginePick {
        self.pick_excluding(&[])
    }

    fn pick_excluding(&self, excluded: &[EngineName]) -> EnginePick {
        let requirements = EngineRequirements {
            service: &self.service,
            key: self.facts.model.as_ref(),
            excluded,
            id: &self.facts.id,
            permit_use: self.permit_use(),
        };
        pick_engine(self.traffic, &requirements)
    }

    /// Sends the request to one engine; `None` when another send may follow.
    async fn try_engine(
        &mut self,
        entry: &Arc<EngineEntry>,
        version: Option<WeightVersion>,
    ) -> Option<(ConnectionAction, &'static str)> {
        let started_at = Instant::now();
        match self.send(entry, version).await {
            SendOutcome::Finished(action, outcome) => Some((action, outcome)),
            SendOutcome::Rejected(rejection) => self.handle_rejection(rejection).await,
            SendOutcome::DeadlineExceeded if self.may_have_run => {
                Some(self.respond(DEADLINE_EXCEEDED, "time_over").await)
            }
            SendOutcome::DeadlineExceeded => Some(self.give_up("time_over").await),
            SendOutcome::NotSent => {
                self.excluded_engines.push(Arc::clone(&entry.name));
                self.failed_connects += 1;
                self.slow_connects += u32::from(started_at.elapsed() >= SLOW_CONNECT_TIME);
                if self.failed_connects < CONNECT_FAILURE_LIMIT
                    && self.slow_connects < SLOW_CONNECT_LIMIT
                {
                    return None;
                }
                Some(self.give_up("unreachable").await)
            }
            SendOutcome::NotRun { absent: false } if self.traffic.has_no_models(&self.service) => {
                self.handle_full_server(entry).await
            }
            SendOutcome::NotRun { absent } => {
                if absent && let Some(key) = &self.facts.model {
                    self.traffic.record_absence(&self.service, &entry.name, key);
                }
                if !self.try_spend_resend() {
                    return Some(self.give_up("not_run").await);
                }
                // Another engine is asked at once.
                if matches!(self.pick(), EnginePick::Engine(next, _) if next.name == entry.name) {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                None
            }
            SendOutcome::FirstByteTimeout => {
                self.excluded_engines.push(Arc::clone(&entry.name));
                None
            }
            SendOutcome::Failed => {
                let may_retry = self.route.kind.is_retryable() && self.may_try_other_engine();
                if may_retry && self.try_spend_resend() {
                    self.excluded_engines.push(Arc::clone(&entry.name));
                    return None;
                }
                Some(self.respond(ENGINE_FAILED, "engine_failed").await)
            }
            SendOutcome::ErrorResponse(response, body) => {
                let may_retry = self.route.kind.is_retryable() && self.may_try_other_engine();
                if may_retry && self.try_spend_resend() {
                    self.excluded_engines.push(Arc::clone(&entry.name));
                    return None;
                }
                let action = self.relay_buffered(&response, &body).await;
                Some((action, "engine_error"))
            }
        }
    }

    /// Returns whether the route allows another engine.
    pub fn may_try_other_engine(&self) -> bool {
        self.sent_to.len() < self.route.attempt_limit as usize
    }

    /// Returns whether the request may be sent once more as far as its own bounds go.
    pub fn within_send_limits(&self) -> bool {
        self.sends < SEND_LIMIT && self.deadline.remaining() > RETRY_DELAY
    }

    /// Takes one further send from the budgets that bound them.
    pub fn try_spend_resend(&self) -> bool {
        // A request under which two engines in a row ended is not sent to a third one.
        self.within_send_limits()
            && self.quarantine_time().is_none()
            && self.traffic.try_spend_retry(&self.service)
    }

    /// Gives back what was taken of the organisation's quota for a request that did not run.
    fn refund_unused_quota(&self) {
        let Some(organisation) = self.organisation.as_ref().filter(|_| self.quota_cost > 0) else {
            return;
        };
        if !self.may_have_run {
            let now = self.traffic.now();
            self.traffic.shared.quotas().give_back(&organisation.name, self.quota_cost, now);
        }
    }

    /// Returns the rank of the request at engines: its organisation's goes before its route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let organisation_priority = organisation.and_then(|organisation| organisation.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }

    /// Returns whether the client's connection serves another request after this one.
    pub fn keeps_client_connection(&self) -> bool {
        self.request.head.keeps_connection() && !self.traffic.shared.is_stopping()
    }

    /// Returns the milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        duration_millis(self.traffic.now().since(self.request.arrived))
    }
}
