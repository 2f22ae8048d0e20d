//! Granting, queueing and refusing of permits.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{EngineState, ResidencyState},
    clock::ClockMillis,
    engine::{ControllerOutput, EngineController, Residency},
    id::{AdapterKey, HostId, Incarnation, OrganisationId, RequestId, request_incarnation},
    limit::QueuedItem,
    message::{
        PeerMessage, PermitAsk, PermitCheck, PermitDone, PermitGranted, PermitQueued,
        PermitRefusal, PermitRefused,
    },
    request::{PermitRequest, RefusalKind},
};

/// The interval at which holders are asked whether a permit is still in use, in case its return
/// was lost.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The fraction of its remaining time that a request may be expected to spend in the queue.
///
/// A longer queue serves no more requests; those at its end miss their deadlines.
const MAX_QUEUED_FRACTION: f64 = 0.5;

/// The weight of a new sample in the moving average of service times.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// A permit in use.
#[derive(Debug, Clone)]
pub(super) struct GrantedPermit {
    pub(super) holder: HostId,
    pub(super) attempt: u32,
    pub(super) adapter: AdapterKey,
    granted_at: ClockMillis,
    checked_at: ClockMillis,
    grant_message: PermitGranted,
}

/// A request that waits for a permit.
#[derive(Debug, Clone)]
pub(super) struct WaitingPermit {
    pub(super) holder: HostId,
    pub(super) attempt: u32,
    pub(super) request: PermitRequest,
    pub(super) queued_at: ClockMillis,
    pub(super) may_load: bool,
    stalled: bool,
}

impl QueuedItem for WaitingPermit {
    fn organisation(&self) -> OrganisationId {
        self.request.organisation
    }

    fn weight(&self) -> f64 {
        self.request.share
    }
}

impl EngineController {
    /// Handles a permit ask; a duplicate gets the same answer again.
    pub fn handle_ask(
        &mut self,
        from: HostId,
        ask: PermitAsk,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let PermitAsk { attempt, max_wait, mut request, may_load, .. } = ask;
        request.deadline = now + max_wait;
        if self.repeat_answer(from, request.request, attempt, out) {
            return;
        }
        self.supersede_earlier_asks(request.request, now);
        let adapter = request.adapter;
        let stalled = !self.is_resident(adapter);
        let waiting =
            WaitingPermit { holder: from, attempt, request, queued_at: now, may_load, stalled };
        if let Some((reason, retry_after)) = self.immediate_refusal(&waiting, now) {
            self.refuse(&waiting, reason, retry_after, out);
            return;
        }
        self.record_demand(&waiting, now);
        let limit = waiting.request.queue_limit;
        let queued = PermitQueued { request: waiting.request.request, attempt };
        if let Err((waiting, _)) = self.queue.push(waiting, limit) {
            let reason = PermitRefusal::Final(RefusalKind::Overloaded);
            let queue_wait = self.estimated_queue_wait();
            self.refuse(&waiting, reason, Some(queue_wait), out);
            return;
        }
        self.grant_ready_permits(now, out);
        if !self.permits.contains_key(&queued.request) {
            out.send(from, PeerMessage::PermitQueued(queued));
            self.ask_for_load_turns(now, out);
        }
    }

    fn repeat_answer(
        &self,
        from: HostId,
        request: RequestId,
        attempt: u32,
        out: &mut ControllerOutput,
    ) -> bool {
        if let Some(permit) = self.permits.get(&request) {
            if permit.attempt == attempt {
                out.send(from, PeerMessage::PermitGranted(permit.grant_message));
            }
            return permit.attempt >= attempt;
        }
        let waits = |waiting: &WaitingPermit| {
            waiting.request.request == request && waiting.attempt >= attempt
        };
        let waits = self.queue.iter().any(waits);
        if waits {
            out.send(from, PeerMessage::PermitQueued(PermitQueued { request, attempt }));
        }
        waits
    }

    /// Ends earlier asks of a request. Its earlier permit may have been used, so its end is not
    /// clean.
    fn supersede_earlier_asks(&mut self, request: RequestId, now: ClockMillis) {
        self.queue.drain_where(|waiting| waiting.request.request == request);
        self.end_permit(request, false, now);
    }

    fn immediate_refusal(
        &self,
        waiting: &WaitingPermit,
        now: ClockMillis,
    ) -> Option<(PermitRefusal, Option<Duration>)> {
        match self.state {
            EngineState::Foreign => return Some((PermitRefusal::NotOwner, None)),
            EngineState::Leaving => return Some((PermitRefusal::Leaving, None)),
            // A take-over lasts two round trips; the request waits for its end.
            EngineState::Waiting | EngineState::TakingOver | EngineState::Settling => return None,
            EngineState::Owned => {}
        }
        let adapter = waiting.request.adapter;
        let residency = self.residencies.get(&adapter);
        match residency.map(|residency| residency.state) {
            Some(ResidencyState::Resident) => self.overload_refusal(waiting, now),
            Some(ResidencyState::Draining) if !waiting.may_load => {
                Some((PermitRefusal::NotResident, None))
            }
            Some(ResidencyState::Failed) => {
                let retry_at = residency.map_or(now, |residency| residency.retry_at);
                let ready = retry_at + self.turn_duration;
                let reason = PermitRefusal::Final(RefusalKind::LoadFailed);
                (ready > waiting.request.deadline).then(|| (reason, Some(ready.since(now))))
            }
            Some(ResidencyState::Queued | ResidencyState::Clearing | ResidencyState::Loading) => {
                None
            }
            _ if !waiting.may_load => Some((PermitRefusal::NotResident, None)),
            _ => None,
        }
    }

    /// Returns a refusal if the queue is too long to serve the request in time.
    fn overload_refusal(
        &self,
        waiting: &WaitingPermit,
        now: ClockMillis,
    ) -> Option<(PermitRefusal, Option<Duration>)> {
        if !self.policy.refuses_early() || self.queue.is_empty() {
            return None;
        }
        let wait = self.estimated_queue_wait();
        let max_wait = waiting.request.deadline.since(now);
        let late = wait > max_wait.mul_f64(MAX_QUEUED_FRACTION);
        late.then_some((PermitRefusal::Final(RefusalKind::Overloaded), Some(wait)))
    }

    /// Estimates how long it takes until all waiting requests have their permits.
    fn estimated_queue_wait(&self) -> Duration {
        let streams = f64::from(self.info.streams.max(1));
        Duration::from_secs_f64(self.queue.len() as f64 * self.mean_service_seconds / streams)
    }

    fn record_demand(&mut self, waiting: &WaitingPermit, now: ClockMillis) {
        let worth = waiting.request.worth * waiting.request.stall_weight;
        let half_life = self.times.half_life;
        let residency =
            self.residencies.entry(waiting.request.adapter).or_insert_with(|| Residency::new(now));
        residency.demand.add(worth, now, half_life);
    }

    /// Grants permits while the engine has free streams and a waiting request's adapter is
    /// resident.
    pub(super) fn grant_ready_permits(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state != EngineState::Owned {
            return;
        }
        while self.permits.len() < self.info.streams as usize {
            let residencies = &self.residencies;
            let ready = |waiting: &WaitingPermit| {
                let residency = residencies.get(&waiting.request.adapter);
                residency.is_some_and(|residency| residency.state == ResidencyState::Resident)
            };
            let Some(waiting) = self.queue.pop_ready(ready) else { break };
            self.grant(waiting, now, out);
        }
    }

    fn grant(&mut self, waiting: WaitingPermit, now: ClockMillis, out: &mut ControllerOutput) {
        let WaitingPermit { holder, attempt, request, stalled, .. } = waiting;
        let in_use = self.permits.len() + 1;
        let streams = self.info.streams.max(1) as usize;
        let grant_message = PermitGranted {
            request: request.request,
            attempt,
            engine: self.info.engine,
            token: self.token,
            fill: u32::try_from(100 * (in_use + self.queue.len()) / streams).unwrap_or(u32::MAX),
            stalled,
        };
        let adapter = request.adapter;
        let permit = GrantedPermit {
            holder,
            attempt,
            adapter,
            granted_at: now,
            checked_at: now,
            grant_message,
        };
        self.permits.insert(request.request, permit);
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.permits_in_use += 1;
            residency.last_used = now;
        }
        out.permits_granted += 1;
        out.send(holder, PeerMessage::PermitGranted(grant_message));
    }

    pub(super) fn refuse(
        &self,
        waiting: &WaitingPermit,
        reason: PermitRefusal,
        retry_after: Option<Duration>,
        out: &mut ControllerOutput,
    ) {
        let refused = PermitRefused {
            request: waiting.request.request,
            attempt: waiting.attempt,
            engine: self.info.engine,
            reason,
            retry_after,
        };
        out.send(waiting.holder, PeerMessage::PermitRefused(refused));
    }

    /// Handles the return of a permit or the withdrawal of an ask.
    pub fn handle_done(&mut self, done: PermitDone, now: ClockMillis, out: &mut ControllerOutput) {
        let gone = |waiting: &WaitingPermit| {
            waiting.request.request == done.request && waiting.attempt <= done.attempt
        };
        self.queue.drain_where(gone);
        let held = self.permits.get(&done.request);
        if held.is_some_and(|permit| permit.attempt <= done.attempt) {
            self.end_permit(done.request, done.clean, now);
        }
        self.withdraw_unwanted_loads(now, out);
        self.grant_ready_permits(now, out);
        if !self.queue.is_empty() {
            self.ask_for_load_turns(now, out);
        }
    }

    fn end_permit(&mut self, request: RequestId, clean: bool, now: ClockMillis) {
        let Some(permit) = self.permits.remove(&request) else { return };
        let duration = now.since(permit.granted_at).as_secs_f64();
        self.mean_service_seconds +=
            SERVICE_TIME_SMOOTHING * (duration - self.mean_service_seconds);
        let Some(residency) = self.residencies.get_mut(&permit.adapter) else { return };
        residency.permits_in_use = residency.permits_in_use.saturating_sub(1);
        residency.last_used = now;
        if !clean {
            residency.mark_uncertain(self.token);
            self.restart_quiet_period(now);
        }
    }

    /// Restarts the quiet period of an engine without a fence, which accepts whatever is in flight.
    pub(super) fn restart_quiet_period(&mut self, now: ClockMillis) {
        if !self.info.checks_fence {
            self.quiet_until = now + self.times.quiet;
        }
    }

    /// Refuses the waiting requests that need a resident adapter which is absent.
    pub(super) fn refuse_not_resident(&mut self, out: &mut ControllerOutput) {
        let residencies = &self.residencies;
        let misrouted = |waiting: &WaitingPermit| {
            let residency = residencies.get(&waiting.request.adapter);
            !waiting.may_load
                && residency.is_none_or(|residency| residency.state == ResidencyState::Absent)
        };
        for waiting in self.queue.drain_where(misrouted) {
            self.refuse(&waiting, PermitRefusal::NotResident, None, out);
        }
    }

    /// Ends the permits and asks of a holder that is gone.
    ///
    /// A fence can cut off its permits, so a suspected failure is enough. Without a fence they stay
    /// until it is `confirmed` that the process can send nothing more. Permits of
    /// `except_incarnation`, which replaced the process, are kept.
    pub fn holder_gone(
        &mut self,
        holder: HostId,
        confirmed: bool,
        except_incarnation: Option<Incarnation>,
        now: ClockMillis,
    ) {
        if !self.info.checks_fence && !confirmed {
            return;
        }
        let gone = |host: HostId, request: RequestId| {
            host == holder && except_incarnation != Some(request_incarnation(request))
        };
        self.queue.drain_where(|waiting| gone(waiting.holder, waiting.request.request));
        let held = |(request, permit): (&RequestId, &GrantedPermit)| {
            gone(permit.holder, *request).then_some(*request)
        };
        let orphaned: Vec<RequestId> = self.permits.iter().filter_map(held).collect();
        for request in orphaned {
            self.end_permit(request, false, now);
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let late = self.queue.drain_where(|waiting| waiting.request.deadline <= now);
        for waiting in &late {
            let reason = PermitRefusal::Final(RefusalKind::DeadlinePassed);
            self.refuse(waiting, reason, Some(self.turn_duration), out);
        }
        if !late.is_empty() {
            self.withdraw_unwanted_loads(now, out);
        }
    }

    /// Asks holders whether permits that have been in use for long still are.
    pub(super) fn check_permits(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let engine = self.info.engine;
        let mut checks: BTreeMap<HostId, Vec<PermitQueued>> = BTreeMap::new();
        for (request, permit) in &mut self.permits {
            if now.since(permit.checked_at) < PERMIT_CHECK_INTERVAL {
                continue;
            }
            permit.checked_at = now;
            let permit_name = PermitQueued { request: *request, attempt: permit.attempt };
            checks.entry(permit.holder).or_default().push(permit_name);
        }
        for (holder, permits) in checks {
            out.send(holder, PeerMessage::PermitCheck(PermitCheck { engine, permits }));
        }
    }
}
