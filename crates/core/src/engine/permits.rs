//! Permits: which requests may go to the engine, in which order.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{EngineState, ResidencyState},
    clock::ClockMillis,
    engine::{ControlOutput, EngineControl, Residency},
    id::{AdapterKey, HostId, Incarnation, OrganisationId, RequestId, request_incarnation},
    limit::QueuedItem,
    message::{
        PeerMessage, PermitAsk, PermitCheck, PermitDone, PermitGranted, PermitQueued,
        PermitRefusal, PermitRefused,
    },
    request::{PermitRequest, RefusalKind},
};

/// Permits older than this are asked after, in case the word of their end was lost.
const CHECK_AFTER: Duration = Duration::from_secs(5);

/// The part of its patience that a request may have to spend in a queue. A queue that stands at the
/// whole patience serves no more and lets those at its end miss their deadlines.
const QUEUED_PART: f64 = 0.5;

/// How much one measured service time moves the average.
const SERVICE_LEARNING: f64 = 0.05;

/// A permit that is out.
#[derive(Debug, Clone)]
pub(super) struct GrantedPermit {
    pub(super) holder: HostId,
    pub(super) attempt: u32,
    pub(super) adapter: AdapterKey,
    since: ClockMillis,
    checked: ClockMillis,
    answer: PermitGranted,
}

/// A request that waits for a permit.
#[derive(Debug, Clone)]
pub(super) struct WaitingPermit {
    pub(super) holder: HostId,
    pub(super) attempt: u32,
    pub(super) request: PermitRequest,
    pub(super) since: ClockMillis,
    pub(super) may_load: bool,
    stalled: bool,
}

impl QueuedItem for WaitingPermit {
    fn organisation(&self) -> OrganisationId {
        self.request.organisation
    }

    fn share(&self) -> f64 {
        self.request.share
    }
}

impl EngineControl {
    /// Takes an ask for a permit; one that comes twice is answered as before.
    pub fn ask(&mut self, from: HostId, ask: PermitAsk, now: ClockMillis, out: &mut ControlOutput) {
        let PermitAsk { attempt, max_wait, mut request, may_load, .. } = ask;
        request.deadline = now + max_wait;
        if self.answered_before(from, request.request, attempt, out) {
            return;
        }
        self.supersede(request.request, now);
        let adapter = request.adapter;
        let stalled = !self.is_resident(adapter);
        let waiting =
            WaitingPermit { holder: from, attempt, request, since: now, may_load, stalled };
        if let Some((reason, retry_after)) = self.refusal(&waiting, now) {
            self.refuse(&waiting, reason, retry_after, out);
            return;
        }
        self.note_demand(&waiting, now);
        let limit = waiting.request.queue_limit;
        let queued = PermitQueued { request: waiting.request.request, attempt };
        if let Err((waiting, _)) = self.queue.push(waiting, limit) {
            let reason = PermitRefusal::Final(RefusalKind::Overloaded);
            let back = self.drain_time();
            self.refuse(&waiting, reason, Some(back), out);
            return;
        }
        self.pump(now, out);
        if !self.permits.contains_key(&queued.request) {
            out.send(from, PeerMessage::PermitQueued(queued));
            self.want_loads(now, out);
        }
    }

    fn answered_before(
        &self,
        from: HostId,
        request: RequestId,
        attempt: u32,
        out: &mut ControlOutput,
    ) -> bool {
        if let Some(permit) = self.permits.get(&request) {
            if permit.attempt == attempt {
                out.send(from, PeerMessage::PermitGranted(permit.answer));
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

    /// A later ask of a request ends its earlier ones. Whether its earlier permit was used is not
    /// known here, as the word of that may be lost.
    fn supersede(&mut self, request: RequestId, now: ClockMillis) {
        self.queue.drain_where(|waiting| waiting.request.request == request);
        self.end_permit(request, false, now);
    }

    fn refusal(
        &self,
        waiting: &WaitingPermit,
        now: ClockMillis,
    ) -> Option<(PermitRefusal, Option<Duration>)> {
        match self.state {
            EngineState::Foreign => return Some((PermitRefusal::NotOwner, None)),
            EngineState::Leaving => return Some((PermitRefusal::Leaving, None)),
            // The take-over takes two round trips: the request waits for it.
            EngineState::Waiting | EngineState::TakingOver | EngineState::Settling => return None,
            EngineState::Owned => {}
        }
        let adapter = waiting.request.adapter;
        let stay = self.residencies.get(&adapter);
        match stay.map(|stay| stay.state) {
            Some(ResidencyState::Resident) => self.overload_refusal(waiting, now),
            Some(ResidencyState::Draining) if !waiting.may_load => {
                Some((PermitRefusal::NotResident, None))
            }
            Some(ResidencyState::Failed) => {
                let retry_at = stay.map_or(now, |stay| stay.retry_at);
                let ready = retry_at + self.turn;
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

    /// Refuses at once what the queue before it will not let through in time.
    fn overload_refusal(
        &self,
        waiting: &WaitingPermit,
        now: ClockMillis,
    ) -> Option<(PermitRefusal, Option<Duration>)> {
        if !self.policy.refuses_early() || self.queue.is_empty() {
            return None;
        }
        let wait = self.drain_time();
        let max_wait = waiting.request.deadline.since(now);
        let late = wait > max_wait.mul_f64(QUEUED_PART);
        late.then_some((PermitRefusal::Final(RefusalKind::Overloaded), Some(wait)))
    }

    /// Estimates how long the requests that wait now take to get their permits.
    fn drain_time(&self) -> Duration {
        let streams = f64::from(self.facts.streams.max(1));
        Duration::from_secs_f64(self.queue.len() as f64 * self.service_seconds / streams)
    }

    fn note_demand(&mut self, waiting: &WaitingPermit, now: ClockMillis) {
        let worth = waiting.request.worth * waiting.request.stall_weight;
        let half_life = self.times.half_life;
        let stay =
            self.residencies.entry(waiting.request.adapter).or_insert_with(|| Residency::new(now));
        stay.demand.add(worth, now, half_life);
    }

    /// Gives permits as long as the engine has room and somebody is due.
    pub(super) fn pump(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        if self.state != EngineState::Owned {
            return;
        }
        while self.permits.len() < self.facts.streams as usize {
            let residencies = &self.residencies;
            let ready = |waiting: &WaitingPermit| {
                let stay = residencies.get(&waiting.request.adapter);
                stay.is_some_and(|stay| stay.state == ResidencyState::Resident)
            };
            let Some(waiting) = self.queue.pop_ready(ready) else { break };
            self.grant(waiting, now, out);
        }
    }

    fn grant(&mut self, waiting: WaitingPermit, now: ClockMillis, out: &mut ControlOutput) {
        let WaitingPermit { holder, attempt, request, stalled, .. } = waiting;
        let in_use = self.permits.len() + 1;
        let streams = self.facts.streams.max(1) as usize;
        let answer = PermitGranted {
            request: request.request,
            attempt,
            engine: self.facts.engine,
            token: self.token,
            fill: u32::try_from(100 * (in_use + self.queue.len()) / streams).unwrap_or(u32::MAX),
            stalled,
        };
        let adapter = request.adapter;
        let permit = GrantedPermit { holder, attempt, adapter, since: now, checked: now, answer };
        self.permits.insert(request.request, permit);
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.granted += 1;
            stay.last_used = now;
        }
        out.granted += 1;
        out.send(holder, PeerMessage::PermitGranted(answer));
    }

    pub(super) fn refuse(
        &self,
        waiting: &WaitingPermit,
        reason: PermitRefusal,
        retry_after: Option<Duration>,
        out: &mut ControlOutput,
    ) {
        let refused = PermitRefused {
            request: waiting.request.request,
            attempt: waiting.attempt,
            engine: self.facts.engine,
            reason,
            retry_after,
        };
        out.send(waiting.holder, PeerMessage::PermitRefused(refused));
    }

    /// Takes the word that a request ended, or is not waited for any more.
    pub fn done(&mut self, done: PermitDone, now: ClockMillis, out: &mut ControlOutput) {
        let gone = |waiting: &WaitingPermit| {
            waiting.request.request == done.request && waiting.attempt <= done.attempt
        };
        self.queue.drain_where(gone);
        let held = self.permits.get(&done.request);
        if held.is_some_and(|permit| permit.attempt <= done.attempt) {
            self.end_permit(done.request, done.clean, now);
        }
        self.drop_unwanted(now, out);
        self.pump(now, out);
        if !self.queue.is_empty() {
            self.want_loads(now, out);
        }
    }

    fn end_permit(&mut self, request: RequestId, clean: bool, now: ClockMillis) {
        let Some(permit) = self.permits.remove(&request) else { return };
        let took = now.since(permit.since).as_secs_f64();
        self.service_seconds += SERVICE_LEARNING * (took - self.service_seconds);
        let Some(stay) = self.residencies.get_mut(&permit.adapter) else { return };
        stay.granted = stay.granted.saturating_sub(1);
        stay.last_used = now;
        if !clean {
            stay.doubt(self.token);
            self.quiet_from(now);
        }
    }

    /// An engine without fence lets in whatever was already sent, so time must pass first.
    pub(super) fn quiet_from(&mut self, now: ClockMillis) {
        if !self.facts.checks_fence {
            self.quiet_until = now + self.times.quiet;
        }
    }

    /// Sends on the requests that came for a resident adapter which is not there after all.
    pub(super) fn refuse_not_resident(&mut self, out: &mut ControlOutput) {
        let residencies = &self.residencies;
        let astray = |waiting: &WaitingPermit| {
            let stay = residencies.get(&waiting.request.adapter);
            !waiting.may_load && stay.is_none_or(|stay| stay.state == ResidencyState::Absent)
        };
        for waiting in self.queue.drain_where(astray) {
            self.refuse(&waiting, PermitRefusal::NotResident, None, out);
        }
    }

    /// Takes the news that a holder of permits is gone.
    ///
    /// Behind a fence its permits can be cut off, so a belief is enough. Without one the permits
    /// stay until it is `certain` that the process can send nothing more. Permits of the life
    /// `but`, which has begun since, are left alone.
    pub fn holder_gone(
        &mut self,
        holder: HostId,
        certain: bool,
        but: Option<Incarnation>,
        now: ClockMillis,
    ) {
        if !self.facts.checks_fence && !certain {
            return;
        }
        let gone = |host: HostId, request: RequestId| {
            host == holder && but != Some(request_incarnation(request))
        };
        self.queue.drain_where(|waiting| gone(waiting.holder, waiting.request.request));
        let held = |(request, permit): (&RequestId, &GrantedPermit)| {
            gone(permit.holder, *request).then_some(*request)
        };
        let orphans: Vec<RequestId> = self.permits.iter().filter_map(held).collect();
        for request in orphans {
            self.end_permit(request, false, now);
        }
    }

    /// Refuses what can not get its permit in time any more.
    pub(super) fn refuse_late(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        let late = self.queue.drain_where(|waiting| waiting.request.deadline <= now);
        for waiting in &late {
            let reason = PermitRefusal::Final(RefusalKind::DeadlinePassed);
            self.refuse(waiting, reason, Some(self.turn), out);
        }
        if !late.is_empty() {
            self.drop_unwanted(now, out);
        }
    }

    /// Asks holders after permits that have been out for long.
    pub(super) fn check_permits(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        let engine = self.facts.engine;
        let mut checks: BTreeMap<HostId, Vec<PermitQueued>> = BTreeMap::new();
        for (request, permit) in &mut self.permits {
            if now.since(permit.checked) < CHECK_AFTER {
                continue;
            }
            permit.checked = now;
            let permit_name = PermitQueued { request: *request, attempt: permit.attempt };
            checks.entry(permit.holder).or_default().push(permit_name);
        }
        for (holder, permits) in checks {
            out.send(holder, PeerMessage::PermitCheck(PermitCheck { engine, permits }));
        }
    }
}
