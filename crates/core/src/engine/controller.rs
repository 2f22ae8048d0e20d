//! The owner's state of one engine and how ownership begins and ends.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    chart::{EngineEvent, EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{
        EngineInfo, EngineOrder, OrderAction, Residency, ResidencyPolicy,
        permits::{GrantedPermit, WaitingPermit},
    },
    gossip::EngineDigest,
    id::{AdapterKey, FenceToken, HostId, Incarnation, RequestId, raised_token, takeover_token},
    limit::FairQueue,
    message::{Envelope, LoadAsk, LoadTurn, PeerMessage, PermitRefusal},
};

/// The times that ownership goes by.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// How long a new owner of an engine without fence waits for the earlier owner to stop.
    pub handover_wait: Duration,
    /// How long bytes already sent may take to reach an engine without fence.
    pub quiet: Duration,
    /// How long to wait after the fence was lost before taking it again.
    pub retake_delay: Duration,
    /// The half-life of an adapter's popularity.
    pub half_life: Duration,
    /// How long a load takes where none has been measured.
    pub initial_load_duration: Duration,
}

/// A wish to the host that gives the turns at the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TurnRequest {
    /// Asks for a turn, or says that it is still used.
    Ask(LoadAsk),
    /// Gives the turn, or the wish for it, back.
    Release(LoadTurn),
}

/// What follows from one call of [`EngineController`].
#[derive(Debug, Default)]
pub struct ControllerOutput {
    /// Orders to the engine.
    pub orders: Vec<EngineOrder>,
    /// Messages to holders of permits.
    pub messages: Vec<Envelope>,
    /// Wishes to the host that gives the turns.
    pub turn_requests: Vec<TurnRequest>,
    /// Lines for the time line.
    pub notes: Vec<String>,
    /// Loads that ended, whether they worked or not.
    pub loads_ended: u32,
    /// Loads that failed.
    pub loads_failed: u32,
    /// Permits given.
    pub permits_granted: u32,
}

impl ControllerOutput {
    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        self.messages.push(Envelope { to, message });
    }
}

/// One engine as a host sees it that owns it or may come to.
pub struct EngineController {
    pub(super) info: EngineInfo,
    pub(super) host: HostId,
    pub(super) policy: Arc<dyn ResidencyPolicy>,
    pub(super) times: EngineTimes,
    pub(super) state: EngineState,
    /// The state `Waiting` lasts until then.
    pub(super) wait_until: ClockMillis,
    /// Our token, once the take-over has begun.
    pub(super) token: FenceToken,
    /// The highest token known of.
    pub(super) highest_seen_token: FenceToken,
    /// The engine's life as its reports have it.
    pub(super) incarnation: Incarnation,
    /// The sequence of the newest report.
    pub(super) sequence: u64,
    /// The first sequence written after our last raise took effect.
    pub(super) authoritative_from: u64,
    /// A raise is under way since then.
    pub(super) raise_started_at: Option<ClockMillis>,
    /// The last raise was ordered then.
    pub(super) last_raise_at: ClockMillis,
    /// An engine without fence must be left alone until then before a raise proves anything.
    pub(super) quiet_until: ClockMillis,
    pub(super) residencies: BTreeMap<AdapterKey, Residency>,
    pub(super) permits: BTreeMap<RequestId, GrantedPermit>,
    pub(super) queue: FairQueue<WaitingPermit>,
    /// How long a permit is out, on average.
    pub(super) mean_service_seconds: f64,
    /// How long a turn at the store takes, by the last word of the host that gives them.
    pub(super) turn_duration: Duration,
    /// Wishes were last repeated then.
    pub(super) last_turn_renewal: ClockMillis,
    digest_sequence: u64,
    digest_dirty: bool,
}

/// Assumed time a request runs, until some have been measured.
const INITIAL_SERVICE_SECONDS: f64 = 2.0;

impl EngineController {
    /// Starts without ownership.
    pub fn new(
        info: EngineInfo,
        host: HostId,
        policy: Arc<dyn ResidencyPolicy>,
        times: EngineTimes,
    ) -> Self {
        let zero = ClockMillis::default();
        Self {
            incarnation: 0,
            info,
            host,
            policy,
            times,
            state: EngineState::initial(),
            wait_until: zero,
            token: 0,
            highest_seen_token: 0,
            sequence: 0,
            authoritative_from: u64::MAX,
            raise_started_at: None,
            last_raise_at: zero,
            quiet_until: zero,
            residencies: BTreeMap::new(),
            permits: BTreeMap::new(),
            queue: FairQueue::default(),
            mean_service_seconds: INITIAL_SERVICE_SECONDS,
            turn_duration: times.initial_load_duration,
            last_turn_renewal: zero,
            digest_sequence: 0,
            digest_dirty: false,
        }
    }

    /// Returns what the host list says of the engine.
    pub const fn info(&self) -> &EngineInfo {
        &self.info
    }

    /// Takes a new entry of the host list.
    pub fn update_info(&mut self, info: EngineInfo) {
        self.info = info;
    }

    /// Returns where ownership stands.
    pub const fn state(&self) -> EngineState {
        self.state
    }

    /// Returns the engine's life, as far as it is known; zero before the first report.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns our fence token.
    pub const fn token(&self) -> FenceToken {
        self.token
    }

    /// Returns the adapters known, with where each stands.
    pub const fn residencies(&self) -> &BTreeMap<AdapterKey, Residency> {
        &self.residencies
    }

    /// Counts the permits that are out.
    pub fn permit_count(&self) -> usize {
        self.permits.len()
    }

    /// Counts the requests that wait.
    pub const fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Says whether the engine's reports should be asked for.
    pub const fn wants_reports(&self) -> bool {
        !matches!(self.state, EngineState::Foreign)
    }

    /// Says whether a report is awaited that would settle a take-over or a doubt.
    pub fn awaits_settling_report(&self) -> bool {
        let unproven = |residency: &Residency| {
            let there = matches!(
                residency.state,
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Loading
            );
            there && !residency.proven_idle && !residency.needs_raise()
        };
        self.state == EngineState::Settling || self.residencies.values().any(unproven)
    }

    /// Begins ownership: the view makes this host the owner.
    ///
    /// An engine that does not check fences is left alone until any earlier owner has stopped.
    pub fn assign(&mut self, now: ClockMillis) {
        if self.state != EngineState::Foreign {
            return;
        }
        self.step(EngineEvent::Assigned);
        let fenced = self.info.checks_fence;
        let wait = if fenced { Duration::ZERO } else { self.times.handover_wait };
        self.wait_until = now + wait;
    }

    /// Ends ownership: every waiting request is sent to the new owner.
    pub fn unassign(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state == EngineState::Foreign {
            return;
        }
        self.step(EngineEvent::Unassigned);
        self.clear_ownership(now, out);
    }

    /// Gives up what was known under the ownership that ended.
    pub(super) fn clear_ownership(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        for waiting in self.queue.drain_where(|_| true) {
            self.refuse(&waiting, PermitRefusal::NotOwner, None, out);
        }
        let loads: Vec<AdapterKey> = self.adapters_using_turns().collect();
        for adapter in loads {
            self.release_turn(adapter, out);
        }
        self.permits.clear();
        self.residencies.clear();
        self.authoritative_from = u64::MAX;
        self.raise_started_at = None;
        self.last_raise_at = now;
        self.digest_dirty = true;
    }

    /// Takes any sign that the engine is leaving: nothing new starts there.
    ///
    /// The fence is raised too, so that permits that were given and not yet used come to nothing.
    pub fn mark_leaving(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if !self.step(EngineEvent::LeaveSeen) {
            return;
        }
        self.raise_fence(now, out);
        for waiting in self.queue.drain_where(|_| true) {
            self.refuse(&waiting, PermitRefusal::Leaving, None, out);
        }
        let asked: Vec<AdapterKey> = self.adapters_using_turns().collect();
        for adapter in asked {
            self.release_turn(adapter, out);
        }
        out.notes.push(String::from("leaving: takes nothing new"));
    }

    /// Does what is due by time alone.
    pub fn tick(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state == EngineState::Waiting && now >= self.wait_until {
            self.step(EngineEvent::HandoverOver);
        }
        self.raise_fence_if_due(now, out);
        self.refuse_expired(now, out);
        self.renew_turn_requests(now, out);
        self.check_permits(now, out);
        self.grant_ready_permits(now, out);
    }

    fn raise_fence_if_due(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        const RAISE_INTERVAL: Duration = Duration::from_millis(500);
        const RAISE_TIMEOUT: Duration = Duration::from_secs(5);
        if self.raise_started_at.is_some_and(|since| now.since(since) < RAISE_TIMEOUT) {
            return;
        }
        let wanted = match self.state {
            EngineState::TakingOver => true,
            EngineState::Owned | EngineState::Leaving => {
                self.any_needs_raise() && now >= self.quiet_until
            }
            _ => false,
        };
        let first = self.authoritative_from == u64::MAX && self.raise_started_at.is_none();
        if wanted && (first || now.since(self.last_raise_at) >= RAISE_INTERVAL) {
            self.raise_fence(now, out);
        }
    }

    fn any_needs_raise(&self) -> bool {
        self.residencies.values().any(Residency::needs_raise)
    }

    /// Raises the fence, which cuts off whatever was sent under a lower token.
    ///
    /// The new token holds for new permits at once: an engine accepts the higher token from
    /// whichever message brings it first.
    fn raise_fence(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let takes_over = self.state == EngineState::TakingOver;
        let raised = raised_token(self.token).filter(|_| !takes_over);
        // An epoch that has no more raises is followed by the next one, as in a take-over.
        let seen = self.highest_seen_token.max(self.token);
        self.token = raised.unwrap_or_else(|| takeover_token(seen, self.host));
        self.highest_seen_token = self.highest_seen_token.max(self.token);
        self.raise_started_at = Some(now);
        self.last_raise_at = now;
        self.order(OrderAction::RaiseFence, out);
    }

    pub(super) fn order(&self, action: OrderAction, out: &mut ControllerOutput) {
        out.orders.push(EngineOrder { engine: self.info.engine, token: self.token, action });
    }

    /// Moves on by the chart; says whether the state changed.
    pub(super) fn step(&mut self, event: EngineEvent) -> bool {
        let state = self.state.after(event);
        let changed = state != self.state;
        if changed {
            self.digest_dirty = true;
        }
        self.state = state;
        changed
    }

    /// Notes that the fence is another's, or that the engine began a new life.
    pub(super) fn lose_ownership(
        &mut self,
        event: EngineEvent,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        if !self.step(event) {
            return;
        }
        self.clear_ownership(now, out);
        let wait = match event {
            EngineEvent::Restarted => Duration::ZERO,
            _ => self.times.retake_delay,
        };
        self.wait_until = now + wait;
        out.notes.push(format!("ownership lost: {}", event.name()));
    }

    pub(super) fn mark_digest_dirty(&mut self) {
        self.digest_dirty = true;
    }

    /// Returns the digest when it changed since it was last taken.
    pub fn take_digest(&mut self) -> Option<EngineDigest> {
        if !self.digest_dirty || self.token == 0 {
            return None;
        }
        self.digest_dirty = false;
        self.digest_sequence += 1;
        let resident = |(adapter, residency): (&AdapterKey, &Residency)| {
            (residency.state == ResidencyState::Resident).then_some(*adapter)
        };
        Some(EngineDigest {
            engine: self.info.engine,
            incarnation: self.incarnation,
            owner: self.host,
            token: self.token,
            sequence: self.digest_sequence,
            serving: self.state == EngineState::Owned,
            residents: self.residencies.iter().filter_map(resident).collect(),
        })
    }

    /// Takes out every residency that says nothing any more.
    pub(super) fn prune(&mut self, now: ClockMillis) {
        const MIN_DEMAND_WEIGHT: f64 = 1e-3;
        let half_life = self.times.half_life;
        let backoff_over = |residency: &mut Residency| {
            if residency.state == ResidencyState::Failed && now >= residency.retry_at {
                residency.step(ResidencyEvent::BackoffOver, now);
            }
        };
        self.residencies.values_mut().for_each(backoff_over);
        self.residencies.retain(|_, residency| {
            residency.state != ResidencyState::Absent
                || residency.permits_in_use > 0
                || residency.needs_raise()
                || residency.demand.weight_at(now, half_life) > MIN_DEMAND_WEIGHT
        });
    }
}

impl EngineController {
    /// Takes the news that another host holds a higher token although the view makes this host
    /// the owner.
    pub fn observe_higher_token(
        &mut self,
        token: FenceToken,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        self.highest_seen_token = self.highest_seen_token.max(token);
        if token > self.token && self.info.checks_fence {
            self.lose_ownership(EngineEvent::FenceLost, now, out);
        }
    }
}
