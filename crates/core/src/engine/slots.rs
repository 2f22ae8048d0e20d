//! Slots: which adapter is loaded next and which gives way.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{EngineState, ResidencyEvent, ResidencyState},
    clock::ClockMillis,
    engine::{
        ControlOutput, EngineController, LoadWish, OrderAction, Residency, StoreWish,
        permits::WaitingPermit,
    },
    id::AdapterKey,
    message::{LoadAsk, LoadPlace, LoadTurn, PermitRefusal},
    request::RefusalKind,
};

/// How often wishes for turns are repeated, with their present value.
const RENEW_EVERY: Duration = Duration::from_millis(500);

/// How many turns one engine asks for at once; the rest wait for the next round.
const MOST_WISHES: usize = 8;

/// How long a wish is put off for which no slot could be cleared.
const NO_SLOT_PAUSE: Duration = Duration::from_millis(200);

/// The back-off after the first failed load; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Doublings of the back-off at most: 32 s.
const MOST_DOUBLINGS: u32 = 6;

impl EngineController {
    pub(super) fn is_resident(&self, adapter: AdapterKey) -> bool {
        let stay = self.residencies.get(&adapter);
        stay.is_some_and(|stay| stay.state == ResidencyState::Resident)
    }

    /// Lists the adapters that hold or ask for a turn at the store.
    pub(super) fn turn_holders(&self) -> impl Iterator<Item = AdapterKey> + '_ {
        self.residencies.iter().filter(|(_, stay)| uses_turn(stay.state)).map(|(key, _)| *key)
    }

    /// Gives a turn, or the wish for one, back.
    pub(super) fn end_turn(&self, adapter: AdapterKey, out: &mut ControlOutput) {
        out.wishes.push(StoreWish::End(LoadTurn { engine: self.info.engine, adapter }));
    }

    /// Gathers what waits for each adapter that is not resident.
    fn wishes(&self, now: ClockMillis) -> BTreeMap<AdapterKey, LoadWish> {
        let mut wishes: BTreeMap<AdapterKey, LoadWish> = BTreeMap::new();
        for waiting in self.queue.iter().filter(|waiting| waiting.may_load) {
            let adapter = waiting.request.adapter;
            let there = |stay: &Residency| {
                matches!(stay.state, ResidencyState::Resident | ResidencyState::Draining)
            };
            if self.residencies.get(&adapter).is_some_and(there) {
                continue;
            }
            let half_life = self.times.half_life;
            let rate = |stay: &Residency| stay.demand.per_second(now, half_life);
            let worth_per_second = self.residencies.get(&adapter).map_or(0.0, rate);
            let wish = wishes.entry(adapter).or_insert(LoadWish {
                waiting_worth: 0.0,
                oldest_wait: Duration::ZERO,
                worth_per_second,
            });
            wish.waiting_worth += waiting.request.worth * waiting.request.stall_weight;
            wish.oldest_wait = wish.oldest_wait.max(now.since(waiting.since));
        }
        wishes
    }

    /// Asks for turns for the most valuable loads for which a slot can be had.
    pub(super) fn want_loads(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        if self.state != EngineState::Owned {
            return;
        }
        let wishes = self.valued_wishes(now);
        self.make_way(&wishes, now);
        let mut costs = self.slot_costs(now);
        for (adapter, value) in wishes {
            let stay = self.residencies.entry(adapter).or_insert_with(|| Residency::new(now));
            let running = matches!(stay.state, ResidencyState::Clearing | ResidencyState::Loading);
            if !running {
                let cheapest = costs.pop();
                let ready = now >= stay.retry_at && !stay.awaits_raise();
                if cheapest.is_none_or(|cost| cost >= value) || !ready {
                    continue;
                }
                stay.step(ResidencyEvent::Wanted, now);
            }
            if uses_turn(stay.state) {
                let engine = self.info.engine;
                out.wishes.push(StoreWish::Ask(LoadAsk { engine, adapter, value, running }));
            }
        }
    }

    /// Lists the wishes worth most, dearest first.
    fn valued_wishes(&self, now: ClockMillis) -> Vec<(AdapterKey, f64)> {
        let mut wishes: Vec<(AdapterKey, f64)> = self
            .wishes(now)
            .into_iter()
            .map(|(adapter, wish)| (adapter, self.policy.load_value(&wish)))
            .collect();
        wishes.sort_by(|left, right| right.1.total_cmp(&left.1));
        wishes.truncate(MOST_WISHES);
        wishes
    }

    /// Closes as many busy adapters as the wishes need slots beyond those that are idle, and opens
    /// those again that are needed no longer.
    fn make_way(&mut self, wishes: &[(AdapterKey, f64)], now: ClockMillis) {
        let asking: Vec<f64> = wishes
            .iter()
            .filter(|(adapter, _)| {
                let stay = self.residencies.get(adapter);
                stay.is_none_or(|stay| stay.waits_for_turn(now))
            })
            .map(|(_, value)| *value)
            .collect();
        let idle = |stay: &&Residency| stay.state == ResidencyState::Resident && stay.evictable();
        let idle = self.residencies.values().filter(idle).count();
        let needed = asking.len().saturating_sub(idle + self.free_slots());
        let draining = |stay: &&Residency| stay.state == ResidencyState::Draining;
        let closed = self.residencies.values().filter(draining).count();
        for value in asking.iter().skip(closed).take(needed.saturating_sub(closed)) {
            self.close_for(*value, now);
        }
        for _ in needed..closed {
            self.reopen_one(now);
        }
    }

    /// Makes the busy adapter worth least give way to a load worth `value`: it gets no new permits
    /// and ends what runs.
    fn close_for(&mut self, value: f64, now: ClockMillis) {
        let half_life = self.times.half_life;
        let keep = |stay: &Residency| self.policy.keep_value(&stay.stay(now, half_life));
        let cheapest = self
            .residencies
            .iter()
            .filter(|(_, stay)| stay.state == ResidencyState::Resident && !stay.evictable())
            .map(|(adapter, stay)| (*adapter, keep(stay)))
            .min_by(|left, right| left.1.total_cmp(&right.1));
        let Some((adapter, _)) = cheapest.filter(|(_, cost)| *cost < value) else { return };
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.step(ResidencyEvent::Closed, now);
            self.mark_digest();
        }
    }

    fn reopen_one(&mut self, now: ClockMillis) {
        let half_life = self.times.half_life;
        let policy = &self.policy;
        let dearest = self
            .residencies
            .values_mut()
            .filter(|stay| stay.state == ResidencyState::Draining)
            .map(|stay| (policy.keep_value(&stay.stay(now, half_life)), stay))
            .max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((_, stay)) = dearest {
            stay.step(ResidencyEvent::Reopened, now);
            self.mark_digest();
        }
    }

    fn free_slots(&self) -> usize {
        let held = self.residencies.values().filter(|stay| stay.holds_slot()).count();
        (self.info.slots as usize).saturating_sub(held)
    }

    /// Lists what each slot that could be had costs, dearest first.
    fn slot_costs(&self, now: ClockMillis) -> Vec<f64> {
        let cost = |stay: &Residency| match stay.state {
            ResidencyState::Draining => f64::NEG_INFINITY,
            _ => self.policy.keep_value(&stay.stay(now, self.times.half_life)),
        };
        let evictable = self.residencies.values().filter(|stay| stay.evictable());
        let mut costs: Vec<f64> = evictable.map(cost).collect();
        costs.extend(std::iter::repeat_n(f64::NEG_INFINITY, self.free_slots()));
        costs.sort_by(|left, right| right.total_cmp(left));
        costs
    }

    /// Repeats the wishes, so that the host that gives the turns knows they still stand.
    pub(super) fn renew_wishes(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        if now.since(self.asked_at) < RENEW_EVERY {
            return;
        }
        self.asked_at = now;
        self.prune(now);
        self.drop_unwanted(now, out);
        self.want_loads(now, out);
        self.renew_abandoned_loads(now, out);
    }

    /// A load that runs keeps its turn even when nobody waits for it any more.
    fn renew_abandoned_loads(&self, now: ClockMillis, out: &mut ControlOutput) {
        let wanted = self.wishes(now);
        for (adapter, stay) in &self.residencies {
            let loading = matches!(stay.state, ResidencyState::Clearing | ResidencyState::Loading);
            if loading && !wanted.contains_key(adapter) {
                let (engine, adapter) = (self.info.engine, *adapter);
                let ask = LoadAsk { engine, adapter, value: 0.0, running: true };
                out.wishes.push(StoreWish::Ask(ask));
            }
        }
    }

    /// Gives back the wishes for adapters that nobody waits for any more.
    pub(super) fn drop_unwanted(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        let wanted = self.wishes(now);
        let engine = self.info.engine;
        for (adapter, stay) in &mut self.residencies {
            let queued = stay.state == ResidencyState::Queued;
            if queued && !wanted.contains_key(adapter) {
                stay.step(ResidencyEvent::Unwanted, now);
                out.wishes.push(StoreWish::End(LoadTurn { engine, adapter: *adapter }));
            }
        }
    }

    /// Takes word of how many loads go before, and refuses at once what will come too late.
    pub fn place(&mut self, place: LoadPlace, now: ClockMillis, out: &mut ControlOutput) {
        self.turn = place.turn;
        let stay = self.residencies.get(&place.adapter);
        let queued = stay.is_some_and(|stay| stay.state == ResidencyState::Queued);
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
        self.drop_unwanted(now, out);
    }

    /// Takes a turn: clears a slot where none is free, then loads.
    pub fn turn_came(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControlOutput) {
        let owned = self.state == EngineState::Owned;
        let stay = self.residencies.get_mut(&adapter).filter(|_| owned);
        let Some(stay) = stay else {
            self.end_turn(adapter, out);
            return;
        };
        match stay.state {
            ResidencyState::Queued => {
                stay.step(ResidencyEvent::TurnCame, now);
                self.clear_slot_for(adapter, now, out);
            }
            // The word of the turn came twice.
            ResidencyState::Clearing | ResidencyState::Loading => {}
            _ => self.end_turn(adapter, out),
        }
    }

    fn clear_slot_for(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControlOutput) {
        if self.free_slots() > 0 {
            self.start_load(adapter, now, out);
            return;
        }
        let half_life = self.times.half_life;
        let keep = |stay: &Residency| match stay.state {
            ResidencyState::Draining => f64::NEG_INFINITY,
            _ => self.policy.keep_value(&stay.stay(now, half_life)),
        };
        let victim = self
            .residencies
            .iter()
            .filter(|(_, stay)| stay.evictable())
            .min_by(|left, right| keep(left.1).total_cmp(&keep(right.1)))
            .map(|(key, _)| *key);
        match victim {
            Some(victim) => self.evict(victim, now, out),
            None => self.put_off(adapter, now, out),
        }
    }

    /// Unloads an adapter on which nothing runs.
    fn evict(&mut self, victim: AdapterKey, now: ClockMillis, out: &mut ControlOutput) {
        let Some(stay) = self.residencies.get_mut(&victim) else { return };
        stay.step(ResidencyEvent::Evicted, now);
        self.mark_digest();
        self.order(OrderAction::Unload(victim), out);
    }

    fn put_off(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControlOutput) {
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.step(ResidencyEvent::Unwanted, now);
            stay.retry_at = now + NO_SLOT_PAUSE;
        }
        self.end_turn(adapter, out);
    }

    fn start_load(&mut self, adapter: AdapterKey, now: ClockMillis, out: &mut ControlOutput) {
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.step(ResidencyEvent::SlotFree, now);
            stay.doubtful = false;
            self.order(OrderAction::Load(adapter), out);
        }
    }

    /// Notes that a slot became free and gives it to a load whose turn came.
    pub(super) fn slot_freed(
        &mut self,
        adapter: AdapterKey,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.step(ResidencyEvent::Gone, now);
        }
        self.mark_digest();
        self.load_cleared(now, out);
    }

    /// Starts a load whose turn came, when a slot is free for it.
    pub(super) fn load_cleared(&mut self, now: ClockMillis, out: &mut ControlOutput) {
        let clearing = |(key, stay): (&AdapterKey, &Residency)| {
            (stay.state == ResidencyState::Clearing).then_some(*key)
        };
        let next = self.residencies.iter().find_map(clearing);
        if let Some(next) = next.filter(|_| self.free_slots() > 0) {
            self.start_load(next, now, out);
        }
    }

    /// Notes that an adapter is there; its waiting requests may go.
    pub(super) fn load_done(
        &mut self,
        adapter: AdapterKey,
        shown_from: u64,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        if let Some(stay) = self.residencies.get_mut(&adapter) {
            stay.step(ResidencyEvent::Loaded, now);
            stay.failures = 0;
            stay.doubtful = false;
            stay.shown_from = shown_from;
            stay.last_used = now;
        }
        out.loads_ended += 1;
        self.end_turn(adapter, out);
        self.mark_digest();
        self.pump(now, out);
    }

    /// Notes that a load failed: it is put off, and who can not wait that long is told at once.
    pub(super) fn load_failed(
        &mut self,
        adapter: AdapterKey,
        now: ClockMillis,
        out: &mut ControlOutput,
    ) {
        out.loads_ended += 1;
        out.loads_failed += 1;
        self.end_turn(adapter, out);
        let Some(stay) = self.residencies.get_mut(&adapter) else { return };
        stay.step(ResidencyEvent::LoadFailed, now);
        let backoff = FIRST_BACKOFF * 2u32.pow(stay.failures.min(MOST_DOUBLINGS));
        stay.failures += 1;
        stay.retry_at = now + backoff;
        let ready = stay.retry_at + self.turn;
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
