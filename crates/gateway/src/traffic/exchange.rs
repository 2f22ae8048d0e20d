//! One request, from its arrival to its final response.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{
        EngineEntry, EngineName, ServiceName, SoftwareVersion, WeightVersion,
        cold_decision::DecisionCause,
        engine_links::ConnectFailure,
        quarantine::{InterruptedRun, RequestTraits, TraitMark},
        routes::{ConfigRevision, RouteEntry},
    },
    organisation::OrganisationEntry,
};
use reelreel_http::{HttpStream, RequestHead};
use tokio::time::Instant;

use crate::{
    codec::RequestMetadata,
    engines::EngineResponse,
    traffic::{
        TrafficState,
        admission::ServiceOpenGuard,
        body_end::ResponseEnd,
        buffer_budget::BufferReservation,
        deadline::RequestDeadline,
        local_response::{DEADLINE_EXCEEDED, ENGINE_FAILED, ISOLATED},
        permit::PermitWait,
        pick::{CoolingEngines, EnginePick, EngineRequirements, pick_engine},
        preflight::SendRejection,
        prepare::{PreparedRequest, prepare, refuse_early},
        resume::ResumeFailure,
        wait::WaitOutcome,
    },
};

/// Maximum number of pipelined bytes buffered from a client while its request runs.
pub const READ_AHEAD_LIMIT: usize = 16 * 1024;

/// Delay before a request is sent again to an engine that refused it.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of slow failed connects of one request: each uses up a part of its latency
/// target.
const SLOW_CONNECT_LIMIT: u32 = 4;

/// Maximum number of failed connects of one request. Higher than [`SLOW_CONNECT_LIMIT`] because
/// terminated engines refuse immediately, and many may terminate at once.
const CONNECT_FAILURE_LIMIT: u32 = 32;

/// Duration from which a failed connect counts as slow.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(20);

/// Maximum number of sends of one request.
const SEND_LIMIT: u32 = 6;

/// A client's request, fully read.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request line and header fields.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// When the first byte was read.
    pub arrived: ClockMillis,
}

/// What happens to the client's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep it for the next request.
    Keep,
    /// Close it after the response.
    Close,
    /// Reset it, so that the client does not take the response as complete.
    Reset,
}

/// Outcome of one send.
pub enum SendOutcome {
    /// The client has got its response or disconnected; with the outcome for logs and metrics.
    Finished(ConnectionAction, &'static str),
    /// Not sent: a check right before the send failed.
    Rejected(SendRejection),
    /// No connection: nothing reached the engine.
    NotSent,
    /// The engine guarantees that it did not run the request.
    NotRun {
        /// Whether the engine lacks the model or adapter, or is not the one addressed.
        absent: bool,
    },
    /// No first byte in time; a retry has been spent from the budget.
    FirstByteTimeout,
    /// The request may have run; the client has got nothing.
    Failed,
    /// The engine returned a complete error response.
    ErrorResponse(Box<EngineResponse>, Bytes),
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// One request in progress.
pub struct Exchange<'client> {
    /// State shared by the traffic thread's tasks.
    pub traffic: &'client Rc<TrafficState>,
    /// The client's connection.
    pub client: &'client mut HttpStream,
    /// The request.
    pub request: ClientRequest,
    /// Values read from its header fields.
    pub metadata: RequestMetadata,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that runs it.
    pub service: ServiceName,
    /// The requesting organisation; `None` if the route requires no key.
    pub organisation: Option<Arc<OrganisationEntry>>,
    /// The request's identity and the parts of its prompt, by which it may be quarantined.
    pub traits: RequestTraits,
    /// What was charged to the organisation's quota.
    pub quota_cost: u64,
    /// When the client stops waiting for a response.
    pub deadline: RequestDeadline,
    /// The engines that the request was sent to.
    pub sent_to: Vec<EngineName>,
    /// The status sent to the client.
    pub status: u16,
    /// The retry time sent to the client.
    pub(super) retry_after: Option<Duration>,
    /// Time from the arrival to the first byte sent to the client, in milliseconds.
    pub first_byte_ms: u64,
    /// Time from the arrival to the last send, in milliseconds.
    pub last_sent_ms: u64,
    /// The current run, reported if its engine terminates.
    pub current_run: Option<InterruptedRun>,
    /// Whether the current run probes a trait of the request after its quarantine.
    pub(super) is_probe: bool,
    /// The trait for which the request was refused.
    pub(super) held_by: Option<TraitMark>,
    /// Tokens that the engine had to prefill before this prompt at the last send.
    pub prefill_ahead: u64,
    /// The longest time between two relayed events.
    pub longest_event_gap: Duration,
    /// The longest time for which the current response of an engine was not read, because its client
    /// or the memory for bodies did not allow it.
    pub(super) longest_unread: Duration,
    /// Versions of the software of the engines whose events were relayed, without repetitions in a
    /// row.
    pub(super) software: Vec<SoftwareVersion>,
    /// The software version that began the stream which the client resumes.
    pub(super) required_software: Option<SoftwareVersion>,
    /// How the last response of an engine ended whose body was read.
    pub(super) response_end: Option<ResponseEnd>,
    /// Why the stream was not resumed after it had been interrupted.
    pub(super) resume_failure: Option<ResumeFailure>,
    /// Memory for the body of the engine's response.
    pub(super) response_memory: Option<BufferReservation>,
    /// Number of sends.
    pub sends: u32,
    /// Number of sends over a connection that had carried the request before.
    pub(super) same_connection: u32,
    /// Number of sends that engines rejected.
    pub(super) rejections: u32,
    /// Whether an engine may have run the request.
    pub may_have_run: bool,
    /// Total time spent waiting for an engine.
    pub waited: Duration,
    /// The cause of the last decision on a wait for a load, by the load's schedule.
    pub(super) cold_cause: Option<DecisionCause>,
    /// Engines that are not tried again: unreachable, full, or failed.
    pub(super) excluded_engines: Vec<EngineName>,
    /// Engines that ended while they ran the request, or interrupted it twice.
    pub(super) failed_engines: Vec<EngineName>,
    /// Engines that interrupted the request once and have not ended.
    pub(super) interrupted_by: Vec<EngineName>,
    /// Number of failed connects.
    pub(super) failed_connects: u32,
    /// Why the last failed connect failed.
    pub(super) connect_failure: Option<ConnectFailure>,
    slow_connects: u32,
    /// Engines that could not be connected to directly. They are tried again through other hosts.
    unconnected_engines: Vec<EngineName>,
    /// The host that the request was last sent through, if this one was isolated.
    pub(super) tunnel_host: Option<SocketAddr>,
    /// The wait for a permit of an engine with a limit.
    pub(super) permit_wait: Option<PermitWait>,
    /// The engine whose permit the request last waited for.
    pub limited_by: Option<EngineName>,
    /// The engines whose cooldowns the request waits for.
    pub(super) cooling_engines: Option<CoolingEngines>,
    /// The engine whose cooldown the request last waited for.
    pub cooling_by: Option<EngineName>,
    /// Counts the request as open at a plain service, once it is admitted.
    pub(super) open_at_service: Option<ServiceOpenGuard>,
    /// Whether admission by priority has been decided.
    pub(super) priority_decided: bool,
    /// The admission level at which the request was refused.
    pub refused_at_level: Option<f64>,
    /// The configuration revision that determined the route.
    pub revision: ConfigRevision,
}

/// Processes one request up to its final response.
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

/// Counts a request as open while it exists.
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
        let PreparedRequest {
            metadata,
            route,
            service,
            organisation,
            traits,
            quota_cost,
            revision,
        } = prepared;
        let time_limit = metadata.deadline.unwrap_or(route.timeout).min(route.timeout);
        Self {
            traffic,
            client,
            deadline: RequestDeadline::new(&traffic.shared.clock, request.arrived, time_limit),
            request,
            metadata,
            route,
            service,
            organisation,
            traits,
            quota_cost,
            sent_to: Vec::new(),
            status: 0,
            retry_after: None,
            first_byte_ms: 0,
            last_sent_ms: 0,
            current_run: None,
            is_probe: false,
            held_by: None,
            prefill_ahead: 0,
            longest_event_gap: Duration::ZERO,
            longest_unread: Duration::ZERO,
            software: Vec::new(),
            required_software: None,
            response_end: None,
            resume_failure: None,
            response_memory: None,
            excluded_engines: Vec::new(),
            failed_engines: Vec::new(),
            interrupted_by: Vec::new(),
            sends: 0,
            same_connection: 0,
            rejections: 0,
            failed_connects: 0,
            connect_failure: None,
            slow_connects: 0,
            unconnected_engines: Vec::new(),
            tunnel_host: None,
            permit_wait: None,
            limited_by: None,
            cooling_engines: None,
            cooling_by: None,
            priority_decided: false,
            refused_at_level: None,
            may_have_run: false,
            waited: Duration::ZERO,
            cold_cause: None,
            open_at_service: None,
            revision,
        }
    }

    async fn run(&mut self) -> (ConnectionAction, &'static str) {
        if self.route.kind.is_stream() && self.metadata.resumed.is_some() {
            self.traffic.shared.metrics.streams.client_resumes.inc();
        }
        if let Some(key) = &self.metadata.model {
            let tokens = self.metadata.prompt.tokens();
            self.traffic.shared.demand().record_request(&self.service, key, tokens);
        }
        self.await_end_check().await;
        // Checked before admission and before an engine is chosen: a quarantined request can
        // terminate an engine and everything that it runs.
        if let Some(result) = self.refuse_if_rejected().await {
            return result;
        }
        if let Some(time) = self.admission_retry_after() {
            return self.refuse_unadmitted(time).await;
        }
        if let Some(result) = self.find_required_software().await {
            return result;
        }
        loop {
            if !self.reaches_engines() {
                let response = if self.may_have_run { ENGINE_FAILED } else { ISOLATED };
                return self.respond(response, "isolated").await;
            }
            let picked = self.pick();
            if let Some(refusal) = self.priority_refusal(&picked) {
                return self.refuse_by_priority(refusal).await;
            }
            match picked {
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

    /// Picks an engine for the request.
    ///
    /// An engine that has interrupted it is picked only if no other can take it.
    pub fn pick(&self) -> EnginePick {
        let unusable = self.unusable_engines();
        if self.interrupted_by.is_empty() {
            return self.pick_excluding(&unusable, &[]);
        }
        let excluded = [&unusable[..], &self.interrupted_by].concat();
        match self.pick_excluding(&excluded, &[]) {
            EnginePick::Engine(entry, version) => EnginePick::Engine(entry, version),
            _ => self.pick_excluding(&unusable, &self.interrupted_by),
        }
    }

    /// Excludes an engine that could not be connected to.
    pub(super) fn exclude_unconnected(&mut self, entry: &EngineEntry) {
        if self.traffic.shared.links.is_isolated() {
            self.excluded_engines.push(Arc::clone(&entry.name));
        } else {
            self.unconnected_engines.push(Arc::clone(&entry.name));
        }
    }

    /// Returns the engines that the request must not be sent to.
    pub(super) fn unusable_engines(&self) -> Vec<EngineName> {
        let mut excluded = [&self.excluded_engines[..], &self.failed_engines].concat();
        if !self.traffic.shared.links.is_isolated() {
            excluded.extend_from_slice(&self.unconnected_engines);
        }
        // Once the route's attempt limit is reached, only engines that have been tried may be
        // retried.
        let attempts_exhausted = self.sent_to.len() >= self.route.attempt_limit.max(1) as usize;
        if attempts_exhausted {
            let table = self.traffic.table();
            let others = table.ready_engines(&self.service);
            let others = others.filter(|entry| !self.sent_to.contains(&entry.name));
            excluded.extend(others.map(|entry| Arc::clone(&entry.name)));
        }
        excluded
    }

    /// Picks an engine as for a new attempt of the client, which has no excluded engines.
    pub(super) fn pick_without_exclusions(&self) -> EnginePick {
        self.pick_excluding(&[], &[])
    }

    fn pick_excluding(
        &self,
        excluded: &[EngineName],
        ignores_backoff: &[EngineName],
    ) -> EnginePick {
        let requirements = EngineRequirements {
            service: &self.service,
            key: self.metadata.model.as_ref(),
            software: self.needed_software(),
            excluded,
            ignores_backoff,
            id: &self.metadata.id,
            permit_use: self.permit_use(),
            retryable: self.route.kind.is_retryable() && self.sends == 0,
            need: self.first_event_need(),
        };
        pick_engine(self.traffic, &requirements)
    }

    /// Sends the request to an engine; returns `None` if another send may follow.
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
                self.exclude_unconnected(entry);
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
            SendOutcome::NotRun { .. } => {
                if !self.try_spend_resend() {
                    return Some(self.give_up("not_run").await);
                }
                // Another engine is tried without a delay.
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
                let may_retry = self.may_try_other_engine() || !self.interrupted_by.is_empty();
                if self.route.kind.is_retryable() && may_retry && self.try_spend_resend() {
                    return None;
                }
                Some(self.respond(ENGINE_FAILED, "engine_failed").await)
            }
            SendOutcome::ErrorResponse(response, body) => {
                let may_retry = self.route.kind.is_retryable() && self.may_try_other_engine();
                if may_retry && self.try_spend_resend() {
                    self.exclude_after_error(entry);
                    return None;
                }
                let action = self.relay_buffered(&response, &body).await;
                Some((action, "engine_error"))
            }
        }
    }

    /// Returns whether the route's attempt limit allows another engine.
    pub fn may_try_other_engine(&self) -> bool {
        self.sent_to.len() < self.route.attempt_limit as usize
    }

    /// Returns whether the request's own limits allow another send.
    pub fn within_send_limits(&self) -> bool {
        self.sends < SEND_LIMIT && self.has_time_for_resend()
    }

    /// Returns whether the deadline leaves time for another send.
    pub(super) fn has_time_for_resend(&self) -> bool {
        self.deadline.remaining() > RETRY_DELAY
    }

    /// Spends another send from the retry budget if all limits allow it.
    pub fn try_spend_resend(&self) -> bool {
        // A request that terminated two engines in a row is not sent to a third one.
        self.within_send_limits()
            && self.quarantined_trait().is_none()
            && self.traffic.try_spend_retry(&self.service)
    }

    /// Refunds the organisation's quota for a request that did not run.
    fn refund_unused_quota(&self) {
        let Some(organisation) = self.organisation.as_ref().filter(|_| self.quota_cost > 0) else {
            return;
        };
        if !self.may_have_run {
            let now = self.traffic.now();
            self.traffic.shared.quotas().refund(&organisation.name, self.quota_cost, now);
        }
    }

    /// Returns the request's priority at engines: the organisation's if set, else the route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let organisation_priority = organisation.and_then(|organisation| organisation.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }

    /// Returns whether the client's connection is kept after this request.
    pub fn keeps_client_connection(&self) -> bool {
        self.request.head.keeps_connection()
            && !self.traffic.shared.is_stopping()
            && self.reaches_engines()
            && self.traffic.has_room_for_kept_connections()
    }

    /// Returns whether this host may be able to send requests to engines.
    pub(super) fn reaches_engines(&self) -> bool {
        self.traffic.shared.links.reaches_engines(self.traffic.now())
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        duration_millis(self.traffic.now().since(self.request.arrived))
    }
}
