//! Turns at the weight store: one host of the site gives them, the most valuable load first.
//!
//! The store serves few loads a second and is fastest one at a time, so the order of loads decides
//! most of how long requests wait. Which host gives the turns follows from the hosts' view of each
//! other. When views differ, two hosts give turns for a moment and the store is asked for more than
//! it likes, never for long; a hall that is cut off gives itself its share of the turns.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{LoadEvent, LoadState},
    clock::ClockMillis,
    id::{AdapterKey, EngineId, HostId},
    message::{LoadAsk, LoadPlace, LoadTurn},
};

/// How long a load that is not asked for again is kept; owners repeat their asks twice a second.
const ASK_TIMEOUT: Duration = Duration::from_secs(3);

/// How much a newly measured load moves the estimate of how long one takes.
const DURATION_SMOOTHING: f64 = 0.2;

/// How many turns further back each pass puts a load in the estimate its callers are told.
const OVERTAKEN_WEIGHT: u32 = 1;

/// The store's limits, from the settings tree.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightStoreLimits {
    /// Loads a second for the whole site.
    pub loads_per_second: f64,
    /// Loads at once at full speed.
    pub parallel_loads: usize,
    /// The part of both that this host may give out: below one while halls are out of reach.
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
    /// When it was first asked for.
    queued_at: ClockMillis,
    /// Turns that went to loads asked for later: the store does not keep up.
    overtaken: u32,
    last_asked_at: ClockMillis,
    granted_at: ClockMillis,
}

type LoadKey = (EngineId, AdapterKey);

/// A turn that was just given, and to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnGrant {
    /// The engine's owner.
    pub owner: HostId,
    /// The turn.
    pub turn: LoadTurn,
}

/// The turns as the host that gives them sees them.
#[derive(Debug)]
pub struct LoadScheduler {
    loads: BTreeMap<LoadKey, QueuedLoad>,
    /// Loads that may start at once, refilled at the store's rate.
    allowance: f64,
    refilled_at: ClockMillis,
    mean_turn_seconds: f64,
}

impl Default for LoadScheduler {
    fn default() -> Self {
        // Three loads a second, one at a time: the brief's store, until one has been measured.
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
    /// Takes an ask, first or repeated.
    pub fn request_turn(&mut self, from: HostId, ask: &LoadAsk, now: ClockMillis) {
        let load = self.loads.entry((ask.engine, ask.adapter)).or_insert_with(|| QueuedLoad {
            // A load that runs already was granted by a host that gave the turns before.
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

    /// Takes the end of a load, or of the wish for it.
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

    /// Forgets what nobody asks for any more and gives the turns that are due.
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

    /// Returns the turn again to an owner that repeats its ask although it has the turn: the
    /// message that gave it was lost.
    pub fn lost_grant(&self, ask: &LoadAsk) -> Option<LoadTurn> {
        let load = self.loads.get(&(ask.engine, ask.adapter))?;
        let grant_lost = load.state == LoadState::Running && !ask.running;
        grant_lost.then_some(LoadTurn { engine: ask.engine, adapter: ask.adapter })
    }

    /// Says how many loads go before one that was asked for.
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

    /// Counts the loads that wait or run.
    pub fn len(&self) -> usize {
        self.loads.len()
    }

    /// Says whether nothing waits or runs.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// Forgets everything, when another host gives the turns.
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
