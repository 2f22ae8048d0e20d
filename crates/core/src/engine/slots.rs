//! Adapter slots: loads, evictions and the turns they need at the weight store.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{
        ControllerOutput, EngineController, LoadDemand, OrderAction, Residency, TurnMessage,
        permits::WaitingPermit,
    },
    id::AdapterKey,
    message::{LoadAsk, LoadPlace, LoadTurn, PermitRefusal},
    request::RefusalKind,
};

/// The interval at which turn asks are repeated with their current value.
const TURN_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of turns that an engine asks for at once.
const MAX_TURN_ASKS: usize = 8;

/// The retry delay of a load for which no slot could be freed.
const NO_SLOT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The back-off after the first failed load; it doubles with each consecutive failure.
const INITIAL_LOAD_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum number of doublings, which limits the back-off to 32 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl EngineController {
    pub(super) fn is_resident(&self, adapter: AdapterKey) -> bool {
        let residency = self.residencies.get(&adapter);
        residency.is_some_and(|residency| residency.state == ResidencyState::Resident)
    }

    /// Returns the adapters that hold or ask for a load turn.
    pub(super) fn adapters_using_turns(&self) -> impl Iterator<Item = AdapterKey> + '_ {
        self.residencies
            .iter()
            .filter(|(_, residency)| uses_turn(residency.state))
            .map(|(key, _)| *key)
    }

    /// Gives a turn back, or withdraws the ask for it.
    pub(super) fn release_turn(&self, adapter: AdapterKey, out: &mut ControllerOutput) {
        out.turn_messages
            .push(TurnMessage::Release(LoadTurn { engine: self.info.engine, adapter }));
    }

    /// Returns the demand for each adapter that requests wait for and that is not resident.
    fn load_demands(&self, now: ClockMillis) -> BTreeMap<AdapterKey, LoadDemand> {
        let mut demands: BTreeMap<AdapterKey, LoadDemand> = BTreeMap::new();
        for waiting in self.queue.iter().filter(|waiting| waiting.may_load) {
            let adapter = waiting.request.adapter;
            let on_engine = |residency: &Residency| {
                matches!(residency.state, ResidencyState::Resident | ResidencyState::Draining)
            };
            if self.residencies.get(&adapter).is_some_and(on_engine) {
                continue;
            }
            let half_life = self.times.half_life;
            let rate = |residency: &Residency| residency.demand.per_second(now, half_life);
            let worth_per_second = self.residencies.get(&adapter).map_or(0.0, rate);
            let demand = demands.entry(adapter).or_insert(LoadDemand {
                waiting_worth: 0.0,
                oldest_wait: Duration::ZERO,
                worth_per_second,
            });
            demand.waiting_worth += waiting.request.worth * waiting.request.stall_weight;
            demand.oldest_wait = demand.oldest_wait.max(now.since(waiting.queued_at));
        }
        demands
    }

    /// Asks for turns for the most valuable loads whose value exceeds the cost of a slot.
    pub(super) fn ask_for_load_turns(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if self.state != EngineState::Owned {
            return;
        }
        let demands = self.ranked_demands(now);
        self.drain_busy_adapters(&demands, now);
        let mut costs = self.slot_costs(now);
        for (adapter, value) in demands {
            let residency = self.residencies.entry(adapter).or_insert_with(|| Residency::new(now));
            let running =
                matches!(residency.state, ResidencyState::Clearing | ResidencyState::Loading);
            if !running {
                let cheapest = costs.pop();
                let ready = now >= residency.retry_at && !residency.needs_raise();
                if cheapest.is_none_or(|cost| cost >= value) || !ready {
                    continue;
                }
                residency.step(ResidencyEvent::Wanted, now);
            }
            if uses_turn(residency.state) {
                let engine = self.info.engine;
                out.turn_messages.push(TurnMessage::Ask(LoadAsk {
                    engine,
                    adapter,
                    value,
                    running,
                }));
            }
        }
    }

    /// Returns the most valuable loads, highest value first.
    fn ranked_demands(&self, now: ClockMillis) -> Vec<(AdapterKey, f64)> {
        let mut demands: Vec<(AdapterKey, f64)> = self
            .load_demands(now)
            .into_iter()
            .map(|(adapter, demand)| (adapter, self.policy.load_value(&demand)))
            .collect();
        demands.sort_by(|left, right| right.1.total_cmp(&left.1));
        demands.truncate(MAX_TURN_ASKS);
        demands
    }

    /// Drains as many busy adapters as the loads need slots beyond free and evictable ones, and
    /// reopens draining adapters that are no longer needed.
    fn drain_busy_adapters(&mut self, demands: &[(AdapterKey, f64)], now: ClockMillis) {
        let load_values: Vec<f64> = demands
            .iter()
            .filter(|(adapter, _)| {
                let residency = self.residencies.get(adapter);
                residency.is_none_or(|residency| residency.needs_turn(now))
            })
            .map(|(_, value)| *value)
            .collect();
        let idle = |residency: &&Residency| {
            residency.state == ResidencyState::Resident && residency.is_evictable()
        };
        let idle = self.residencies.values().filter(idle).count();
        let needed = load_values.len().saturating_sub(idle + self.free_slots());
        let draining = |residency: &&Residency| residency.state == ResidencyState::Draining;
        let draining_count = self.residencies.values().filter(draining).count();
        for value in
            load_values.iter().skip(draining_count).take(needed.saturating_sub(draining_count))
        {
            self.drain_cheapest_below(*value, now);
        }
        for _ in needed..draining_count {
            self.reopen_most_valuable(now);
        }
    }

    /// Starts to drain the least valuable busy adapter if it is worth less than `value`: it gets no
    /// new permits, and its running requests finish.
    fn drain_cheapest_below(&mut self, value: f64, now: ClockMillis) {
        let half_life = self.times.half_life;
        let retention =
            |residency: &Residency| self.policy.retention_value(&residency.usage(now, half_life));
        let cheapest = self
            .residencies
            .iter()
            .filter(|(_, residency)| {
                residency.state == ResidencyState::Resident && !residency.is_evictable()
            })
            .map(|(adapter, residency)| (*adapter, retention(residency)))
            .min_by(|left, right| left.1.total_cmp(&right.1));
        let Some((adapter, _)) = cheapest.filter(|(_, cost)| *cost < value) else { return };
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.step(ResidencyEvent::Closed, now);
            self.mark_digest_dirty();
        }
    }

    fn reopen_most_valuable(&mut self, now: ClockMillis) {
        let half_life = self.times.half_life;
        let policy = &self.policy;
        let most_valuable = self
            .residencies
            .values_mut()
            .filter(|residency| residency.state == ResidencyState::Draining)
            .map(|residency| (policy.retention_value(&residency.usage(now, half_life)), residency))
            .max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((_, residency)) = most_valuable {
            residency.step(ResidencyEvent::Reopened, now);
            self.mark_digest_dirty();
        }
    }

    fn free_slots(&self) -> usize {
        let held = self.residencies.values().filter(|residency| residency.holds_slot()).count();
        (self.info.slots as usize).saturating_sub(held)
    }

    /// Returns the retention values that the available slots cost, highest first.
    fn slot_costs(&self, now: ClockMillis) -> Vec<f64> {
        let cost = |residency: &Residency| match residency.state {
            ResidencyState::Draining => f64::NEG_INFINITY,
            _ => self.policy.retention_value(&residency.usage(now, self.times.half_life)),
        };
        let evictable = self.residencies.values().filter(|residency| residency.is_evictable());
        let mut costs: Vec<f64> = evictable.map(cost).collect();
        costs.extend(std::iter::repeat_n(f64::NEG_INFINITY, self.free_slots()));
        costs.sort_by(|left, right| right.total_cmp(left));
        costs
    }

    /// Repeats the turn asks, so that the host that grants the turns keeps them.
    pub(super) fn renew_turn_asks(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        if now.since(self.last_turn_renewal) < TURN_RENEWAL_INTERVAL {
            return;
        }
        self.last_turn_renewal = now;
        self.prune(now);
        self.withdraw_unwanted_loads(now, out);
        self.ask_for_load_turns(now, out);
        self.renew_unwanted_running_loads(now, out);
    }

    /// Renews the turns of running loads that no request waits for any more.
    fn renew_unwanted_running_loads(&self, now: ClockMillis, out: &mut ControllerOutput) {
        let wanted = self.load_demands(now);
        for (adapter, residency) in &self.residencies {
            let loading =
                matches!(residency.state, ResidencyState::Clearing | ResidencyState::Loading);
            if loading && !wanted.contains_key(adapter) {
                let (engine, adapter) = (self.info.engine, *adapter);
                let ask = LoadAsk { engine, adapter, value: 0.0, running: true };
                out.turn_messages.push(TurnMessage::Ask(ask));
            }
        }
    }

    /// Withdraws the turn asks for adapters that no request waits for any more.
    pub(super) fn withdraw_unwanted_loads(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let wanted = self.load_demands(now);
        let engine = self.info.engine;
        for (adapter, residency) in &mut self.residencies {
            let queued = residency.state == ResidencyState::Queued;
            if queued && !wanted.contains_key(adapter) {
                residency.step(ResidencyEvent::Unwanted, now);
                out.turn_messages
                    .push(TurnMessage::Release(LoadTurn { engine, adapter: *adapter }));
            }
        }
    }

    /// Handles the queue position of a load: refuses the requests for which it will be too late.
    pub fn handle_load_place(
        &mut self,
        place: LoadPlace,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        self.turn_duration = place.turn;
        let residency = self.residencies.get(&place.adapter);
        let queued = residency.is_some_and(|residency| residency.state == ResidencyState::Queued);
        if !queued || !self.policy.refuses_early() {
            return;
        }
        let ready = now + place.turn * (place.before + 1);
        let late = |waiting: &WaitingPermit| {
            waiting.request.adapter == place.adapter && waiting.request.deadline < ready
        };
        let reason = PermitRefusal::Final(RefusalKind::LoadTooLate);
        for waiting in self.queue.drain_where(late) {
            self.refuse(&waiting, reason, Some(ready.since(now)), out);
        }
        self.withdraw_unwanted_loads(now, out);
    }

    /// Handles a granted turn: frees a slot if necessary, then starts the load.
    pub fn handle_turn(
        &mut self,
        adapter: AdapterKey,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        let owned = self.state == EngineState::Owned;
        let residency = self.residencies.get_mut(&adapter).filter(|_| owned);
        let Some(residency) = residency else {
            self.release_turn(adapter, out);
            return;
        };
        match residency.state {
            ResidencyState::Queued => {
                residency.step(ResidencyEvent::TurnCame, now);
                self.free_slot_for(adapter, now, out);
            }
            // A duplicate of the grant.
            ResidencyState::Clearing | ResidencyState::Loading => {}
            _ => self.release_turn(adapter, out),
        }
    }

    fn free_slot_for(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControllerOutput) {
        if self.free_slots() > 0 {
            self.start_load(adapter, now, out);
            return;
        }
        let half_life = self.times.half_life;
        let retention = |residency: &Residency| match residency.state {
            ResidencyState::Draining => f64::NEG_INFINITY,
            _ => self.policy.retention_value(&residency.usage(now, half_life)),
        };
        let victim = self
            .residencies
            .iter()
            .filter(|(_, residency)| residency.is_evictable())
            .min_by(|left, right| retention(left.1).total_cmp(&retention(right.1)))
            .map(|(key, _)| *key);
        match victim {
            Some(victim) => self.evict(victim, now, out),
            None => self.postpone_load(adapter, now, out),
        }
    }

    /// Orders the unload of an idle adapter.
    fn evict(&mut self, victim: AdapterKey, now: ClockMillis, out: &mut ControllerOutput) {
        let Some(residency) = self.residencies.get_mut(&victim) else { return };
        residency.step(ResidencyEvent::Evicted, now);
        self.mark_digest_dirty();
        self.order(OrderAction::Unload(victim), out);
    }

    fn postpone_load(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControllerOutput) {
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.step(ResidencyEvent::Unwanted, now);
            residency.retry_at = now + NO_SLOT_RETRY_DELAY;
        }
        self.release_turn(adapter, out);
    }

    fn start_load(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControllerOutput) {
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.step(ResidencyEvent::SlotFree, now);
            residency.order_unconfirmed = false;
            self.order(OrderAction::Load(adapter), out);
        }
    }

    /// Handles the end of a residency: gives its slot to a load that has its turn.
    pub(super) fn handle_slot_freed(
        &mut self,
        adapter: AdapterKey,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.step(ResidencyEvent::Gone, now);
        }
        self.mark_digest_dirty();
        self.start_cleared_load(now, out);
    }

    /// Starts a load that has its turn if a slot is free.
    pub(super) fn start_cleared_load(&mut self, now: ClockMillis, out: &mut ControllerOutput) {
        let clearing = |(key, residency): (&AdapterKey, &Residency)| {
            (residency.state == ResidencyState::Clearing).then_some(*key)
        };
        let next = self.residencies.iter().find_map(clearing);
        if let Some(next) = next.filter(|_| self.free_slots() > 0) {
            self.start_load(next, now, out);
        }
    }

    /// Handles a completed load and grants permits to the requests that waited for it.
    pub(super) fn finish_load(
        &mut self,
        adapter: AdapterKey,
        reported_from: u64,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        if let Some(residency) = self.residencies.get_mut(&adapter) {
            residency.step(ResidencyEvent::Loaded, now);
            residency.failures = 0;
            residency.order_unconfirmed = false;
            residency.reported_from = reported_from;
            residency.last_used = now;
        }
        out.loads_ended += 1;
        self.release_turn(adapter, out);
        self.mark_digest_dirty();
        self.grant_ready_permits(now, out);
    }

    /// Handles a failed load: schedules its retry and refuses the requests that cannot wait for it.
    pub(super) fn fail_load(
        &mut self,
        adapter: AdapterKey,
        now: ClockMillis,
        out: &mut ControllerOutput,
    ) {
        out.loads_ended += 1;
        out.loads_failed += 1;
        self.release_turn(adapter, out);
        let Some(residency) = self.residencies.get_mut(&adapter) else { return };
        residency.step(ResidencyEvent::LoadFailed, now);
        let backoff =
            INITIAL_LOAD_BACKOFF * 2u32.pow(residency.failures.min(MAX_BACKOFF_DOUBLINGS));
        residency.failures += 1;
        residency.retry_at = now + backoff;
        let ready = residency.retry_at + self.turn_duration;
        let late = |waiting: &WaitingPermit| {
            waiting.request.adapter == adapter && waiting.request.deadline < ready
        };
        let reason = PermitRefusal::Final(RefusalKind::LoadFailed);
        for waiting in self.queue.drain_where(late) {
            self.refuse(&waiting, reason, Some(ready.since(now)), out);
        }
    }
}

const fn uses_turn(state: ResidencyState) -> bool {
    matches!(state, ResidencyState::Queued | ResidencyState::Clearing | ResidencyState::Loading)
}
