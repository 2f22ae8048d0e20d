//! Schedules loads from the weight store: one host of the site grants turns, highest value first.
//!
//! The store serves only a few loads per second and is fastest with little concurrency, so the
//! order of loads largely determines how long requests wait. The scheduling host is chosen by
//! rendezvous hashing over the membership. While hosts disagree about the membership, several may
//! grant turns and briefly exceed the store's limits. A partitioned hall grants its own share of
//! the turns.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{LoadEvent, LoadState},
    clock::ClockMillis,
    id::{AdapterKey, EngineId, HostId},
    message::{LoadAsk, LoadPlace, LoadTurn},
};

/// Time after which a load is dropped unless its owner asks again. Owners ask twice per second.
const ASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Smoothing factor of the moving average of load durations.
const DURATION_SMOOTHING: f64 = 0.2;

/// Number of queue positions that each overtaking load adds to the reported position.
const OVERTAKEN_WEIGHT: u32 = 1;

/// Limits of the weight store, from the settings tree.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightStoreLimits {
    /// Loads per second for the whole site.
    pub loads_per_second: f64,
    /// Number of concurrent loads that the store serves at full speed.
    pub parallel_loads: usize,
    /// Fraction of both limits that this host may grant; below one while halls are unreachable.
    pub fraction: f64,
}

impl WeightStoreLimits {
    fn parallel_limit(&self) -> usize {
        let parallel_loads = (self.parallel_loads as f64 * self.fraction).floor();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small count")]
        let parallel_loads = parallel_loads as usize;
        parallel_loads.max(1)
    }
}

#[derive(Debug, Clone)]
struct QueuedLoad {
    state: LoadState,
    value: f64,
    owner: HostId,
    /// Time of the first ask.
    queued_at: ClockMillis,
    /// Number of turns granted to loads that were queued later.
    overtaken: u32,
    last_asked_at: ClockMillis,
    granted_at: ClockMillis,
}

type LoadKey = (EngineId, AdapterKey);

/// A granted turn and its recipient.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnGrant {
    /// The engine's owner.
    pub owner: HostId,
    /// The turn.
    pub turn: LoadTurn,
}

/// The queued and running loads, as tracked by the host that grants turns.
#[derive(Debug)]
pub struct LoadScheduler {
    loads: BTreeMap<LoadKey, QueuedLoad>,
    /// Number of loads that may start now; a token bucket refilled at the store's rate.
    allowance: f64,
    refilled_at: ClockMillis,
    mean_turn_seconds: f64,
}

impl Default for LoadScheduler {
    fn default() -> Self {
        // Initial estimate, used until a load has been measured.
        let mean_turn_seconds = 1.0 / 3.0;
        Self {
            loads: BTreeMap::new(),
            allowance: 1.0,
            refilled_at: ClockMillis::default(),
            mean_turn_seconds,
        }
    }
}

impl LoadScheduler {
    /// Queues a load, or updates one that is already queued.
    pub fn request_turn(&mut self, from: HostId, ask: &LoadAsk, now: ClockMillis) {
        let load = self.loads.entry((ask.engine, ask.adapter)).or_insert_with(|| QueuedLoad {
            // A running load was granted by the previous scheduling host.
            state: if ask.running { LoadState::Running } else { LoadState::initial() },
            value: ask.value,
            owner: from,
            queued_at: now,
            overtaken: 0,
            last_asked_at: now,
            granted_at: now,
        });
        load.value = ask.value;
        load.owner = from;
        load.last_asked_at = now;
    }

    /// Removes a load that has ended or is no longer wanted.
    pub fn release_turn(&mut self, turn: LoadTurn, now: ClockMillis) {
        let Some(load) = self.loads.get_mut(&(turn.engine, turn.adapter)) else { return };
        if load.state == LoadState::Running {
            let elapsed_seconds = now.since(load.granted_at).as_secs_f64();
            self.mean_turn_seconds +=
                DURATION_SMOOTHING * (elapsed_seconds - self.mean_turn_seconds);
        }
        load.state = load.state.after(LoadEvent::Finished);
        self.remove_ended();
    }

    /// Drops stale loads and grants turns within the limits.
    pub fn grant_turns(&mut self, limits: WeightStoreLimits, now: ClockMillis) -> Vec<TurnGrant> {
        self.expire_stale(now);
        self.refill(limits, now);
        let mut grants = Vec::new();
        while self.running() < limits.parallel_limit() && self.allowance >= 1.0 {
            let Some(key) = self.highest_value_load() else { break };
            self.allowance -= 1.0;
            let Some(load) = self.loads.get_mut(&key) else { break };
            load.state = load.state.after(LoadEvent::Granted);
            load.granted_at = now;
            let (owner, queued_at) = (load.owner, load.queued_at);
            self.count_overtaken(queued_at);
            let turn = LoadTurn { engine: key.0, adapter: key.1 };
            grants.push(TurnGrant { owner, turn });
        }
        grants
    }

    /// Returns the turn if the owner still asks for one that was granted: the grant was lost.
    pub fn lost_grant(&self, ask: &LoadAsk) -> Option<LoadTurn> {
        let load = self.loads.get(&(ask.engine, ask.adapter))?;
        let grant_lost = load.state == LoadState::Running && !ask.running;
        grant_lost.then_some(LoadTurn { engine: ask.engine, adapter: ask.adapter })
    }

    /// Returns the queue position of a load.
    pub fn queue_position(&self, engine: EngineId, adapter: AdapterKey) -> LoadPlace {
        let value = self.loads.get(&(engine, adapter)).map_or(0.0, |load| load.value);
        let before = |(key, load): &(&LoadKey, &QueuedLoad)| {
            let ahead = load.state == LoadState::Running || load.value > value;
            **key != (engine, adapter) && ahead
        };
        let overtaken = self.loads.get(&(engine, adapter)).map_or(0, |load| load.overtaken);
        let before =
            self.loads.iter().filter(before).count() + (overtaken * OVERTAKEN_WEIGHT) as usize;
        LoadPlace {
            engine,
            adapter,
            before: u32::try_from(before).unwrap_or(u32::MAX),
            turn: Duration::from_secs_f64(self.mean_turn_seconds.max(0.0)),
        }
    }

    /// Returns the number of queued and running loads.
    pub fn len(&self) -> usize {
        self.loads.len()
    }

    /// Returns whether no loads are queued or running.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// Removes all loads, when another host becomes the scheduler.
    pub fn clear(&mut self) {
        self.loads.clear();
    }

    fn count_overtaken(&mut self, queued_at: ClockMillis) {
        for load in self.loads.values_mut() {
            if load.state == LoadState::Waiting && load.queued_at < queued_at {
                load.overtaken += 1;
            }
        }
    }

    fn running(&self) -> usize {
        self.loads.values().filter(|load| load.state == LoadState::Running).count()
    }

    fn highest_value_load(&self) -> Option<LoadKey> {
        self.loads
            .iter()
            .filter(|(_, load)| load.state == LoadState::Waiting)
            .max_by(|left, right| left.1.value.total_cmp(&right.1.value))
            .map(|(key, _)| *key)
    }

    fn expire_stale(&mut self, now: ClockMillis) {
        for load in self.loads.values_mut() {
            if now.since(load.last_asked_at) > ASK_TIMEOUT {
                load.state = load.state.after(LoadEvent::Dropped).after(LoadEvent::TimedOut);
            }
        }
        self.remove_ended();
    }

    fn remove_ended(&mut self) {
        self.loads.retain(|_, load| load.state != LoadState::Ended);
    }

    fn refill(&mut self, limits: WeightStoreLimits, now: ClockMillis) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        let max_allowance = limits.parallel_limit() as f64;
        self.allowance = (self.allowance + seconds * limits.loads_per_second * limits.fraction)
            .min(max_allowance);
        self.refilled_at = now;
    }
}
