//! The state of one engine's controller, and the start and end of ownership.

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

/// Intervals and timeouts of engine ownership.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    /// How long a new owner of an engine without a fence waits for the previous owner to stop.
    pub handover_wait: Duration,
    /// How long bytes already sent may take to reach an engine without a fence.
    pub quiet: Duration,
    /// The delay before a lost fence is taken again.
    pub retake_delay: Duration,
    /// The half-life of an adapter's popularity.
    pub half_life: Duration,
    /// The assumed duration of a load turn until one is reported.
    pub initial_load_duration: Duration,
}

/// A message about a load turn to the host that grants the turns at the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TurnMessage {
    /// Asks for a turn, or reports that it is still in use.
    Ask(LoadAsk),
    /// Gives a turn back, or withdraws the ask for it.
    Release(LoadTurn),
}

/// The output of one call of [`EngineController`].
#[derive(Debug, Default)]
pub struct ControllerOutput {
    /// Orders to the engine.
    pub orders: Vec<EngineOrder>,
    /// Messages to hosts that hold or ask for permits.
    pub messages: Vec<Envelope>,
    /// Messages to the host that grants load turns.
    pub turn_messages: Vec<TurnMessage>,
    /// The texts of timeline events.
    pub timeline_texts: Vec<String>,
    /// The number of loads that ended, including failed ones.
    pub loads_ended: u32,
    /// The number of loads that failed.
    pub loads_failed: u32,
    /// The number of permits granted.
    pub permits_granted: u32,
}

impl ControllerOutput {
    pub(super) fn send(&mut self, to: HostId, message: PeerMessage) {
        self.messages.push(Envelope { to, message });
    }
}

/// Controls one engine on the host that owns it or may own it.
pub struct EngineController {
    pub(super) info: EngineInfo,
    pub(super) host: HostId,
    pub(super) policy: Arc<dyn ResidencyPolicy>,
    pub(super) times: EngineTimes,
    pub(super) state: EngineState,
    /// The end of the state `Waiting`.
    pub(super) wait_until: ClockMillis,
    /// This host's fence token; zero before the first take-over.
    pub(super) token: FenceToken,
    /// The highest token seen in reports, answers and digests.
    pub(super) highest_seen_token: FenceToken,
    /// The engine's incarnation according to its reports.
    pub(super) incarnation: Incarnation,
    /// The highest engine sequence seen.
    pub(super) sequence: u64,
    /// The engine sequence at which the last raise took effect. From this one on, the engine
    /// accepts nothing that was sent under a lower token.
    pub(super) authoritative_from: u64,
    /// When the raise in flight was ordered.
    pub(super) raise_started_at: Option<ClockMillis>,
    /// When the last raise was ordered.
    pub(super) last_raise_at: ClockMillis,
    /// The end of the quiet period of an engine without a fence; a raise proves nothing before it.
    pub(super) quiet_until: ClockMillis,
    pub(super) residencies: BTreeMap<AdapterKey, Residency>,
    pub(super) permits: BTreeMap<RequestId, GrantedPermit>,
    pub(super) queue: FairQueue<WaitingPermit>,
    /// The moving average of the time a permit is in use.
    pub(super) mean_service_seconds: f64,
    /// The duration of a load turn, as last reported by the host that grants them.
    pub(super) turn_duration: Duration,
    /// When the turn asks were last repeated.
    pub(super) last_turn_renewal: ClockMillis,
    digest_sequence: u64,
    digest_dirty: bool,
}

/// The initial average of the time a permit is in use.
const INITIAL_SERVICE_SECONDS: f64 = 2.0;

impl EngineController {
    /// Creates a controller that does not own its engine.
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

    /// Returns the engine's host-list entry.
    pub const fn info(&self) -> &EngineInfo {
        &self.info
    }

    /// Replaces the engine's host-list entry.
    pub fn update_info(&mut self, info: EngineInfo) {
        self.info = info;
    }

    /// Returns the state of ownership.
    pub const fn state(&self) -> EngineState {
        self.state
    }

    /// Returns the engine's incarnation; zero before the first report.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns this host's fence token.
    pub const fn token(&self) -> FenceToken {
        self.token
    }

    /// Returns the known adapters and their residencies.
    pub const fn residencies(&self) -> &BTreeMap<AdapterKey, Residency> {
        &self.residencies
    }

    /// Returns the number of permits in use.
    pub fn permit_count(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of waiting requests.
    pub const fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the engine's reports should be fetched.
    pub const fn wants_reports(&self) -> bool {
        !matches!(self.state, EngineState::Foreign)
    }

    /// Returns whether the next report can complete a take-over or prove an adapter idle.
    pub fn awaits_settling_report(&self) -> bool {
        let unproven = |residency: &Residency| {
            let on_engine = matches!(
                residency.state,
                ResidencyState::Resident | ResidencyState::Draining | ResidencyState::Loading
            );
            on_engine && !residency.proven_idle && !residency.needs_raise()
        };
        self.state == EngineState::Settling || self.residencies.values().any(unproven)
    }

    /// Begins the take-over of the engine.
    ///
    /// An engine that does not check fences is not used until any previous owner has stopped.
    pub fn assign(&mut self, now: ClockMillis) {
        if self.state != EngineState::Foreign {
            return;
        }
        self.step(EngineEvent::Assigned);
        let fenced = self.info.checks_fence;
        let wait = if fenced { Duration::ZERO } else { self.times.handover_wait };
        self.wait_until = now + wait;
    }

    /// Ends ownership; waiting requests are refused so that they ask the new owner.
    pub fn unassign(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state == EngineState::Foreign {
            return;
        }
        self.step(EngineEvent::Unassigned);
        self.clear_ownership(now, out);
    }

    /// Clears all state of an ownership that ended.
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

    /// Marks the engine as leaving: no new request or load starts there.
    ///
    /// The fence is raised too, which invalidates permits that were granted and not yet used.
    pub fn mark_leaving(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if !self.step(EngineEvent::LeaveSeen) {
            return;
        }
        self.raise_fence(now, out);
        for waiting in self.queue.drain_where(|_| true) {
            self.refuse(&waiting, PermitRefusal::Leaving, None, out);
        }
        let adapters: Vec<AdapterKey> = self.adapters_using_turns().collect();
        for adapter in adapters {
            self.release_turn(adapter, out);
        }
        out.timeline_texts.push(String::from("leaving: takes nothing new"));
    }

    /// Performs the periodic work.
    pub fn tick(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state == EngineState::Waiting && now >= self.wait_until {
            self.step(EngineEvent::HandoverOver);
        }
        self.raise_fence_if_due(now, out);
        self.refuse_expired(now, out);
        self.renew_turn_asks(now, out);
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

    /// Raises the fence, so that the engine refuses whatever was sent under a lower token.
    ///
    /// New permits carry the new token at once: the engine accepts the higher token from whichever
    /// message arrives first.
    fn raise_fence(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let takes_over = self.state == EngineState::TakingOver;
        let raised = raised_token(self.token).filter(|_| !takes_over);
        // If the epoch has no raises left, the next epoch begins, as in a take-over.
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

    /// Applies an event to the state chart; returns whether the state changed.
    pub(super) fn step(&mut self, event: EngineEvent) -> bool {
        let state = self.state.after(event);
        let changed = state != self.state;
        if changed {
            self.digest_dirty = true;
        }
        self.state = state;
        changed
    }

    /// Ends ownership after the fence was lost or the engine restarted.
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
        out.timeline_texts.push(format!("ownership lost: {}", event.name()));
    }

    pub(super) fn mark_digest_dirty(&mut self) {
        self.digest_dirty = true;
    }

    /// Returns the digest if it changed since it was last taken.
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

    /// Ends load back-offs that are over and removes residencies without information.
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
    /// Handles a higher token of another host while this host is the assigned owner.
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
