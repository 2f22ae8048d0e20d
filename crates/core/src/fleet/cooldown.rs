//! Engines that have asked this host for a cooldown, and how their requests resume afterwards.
//!
//! A cooldown is between one host and one incarnation of an engine. Afterwards one request probes the engine, and each
//! request that it accepts doubles those that the host may send before the engine responds.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, announcement::Cooldown, is_same_incarnation},
};

/// From how many probes at a time on an engine is no longer restricted.
const RECOVERY_ALLOWANCE: usize = 32;

/// How long an engine is restricted after a cooldown that this host sends nothing.
const IDLE_RECOVERY_TIME: Duration = Duration::from_secs(10);

/// How long a probe without a response keeps others back.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a probe is expected to take until its response begins.
const EXPECTED_PROBE_TIME: Duration = Duration::from_millis(300);

/// The step between the retry times given to clients after one cooldown, and the number of steps before they begin again.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(25);
const RETRY_AFTER_STEPS: u32 = 40;

/// Whether a request may go to an engine as far as its cooldowns go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CooldownState {
    /// It may.
    Available,
    /// It may not; the engine is expected to take requests again after this time.
    Unavailable(Duration),
}

/// A change worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CooldownEvent {
    /// An engine asked for a cooldown while it had none.
    Began {
        /// The engine.
        engine: EngineName,
        /// Its incarnation.
        incarnation: EngineIncarnation,
        /// The length.
        duration: Duration,
    },
    /// The engine takes requests without restriction again, or has ended.
    Ended {
        /// The engine.
        engine: EngineName,
        /// How often it asked for a cooldown since the first.
        requests: u32,
    },
}

#[derive(Debug, Clone)]
struct EngineCooldown {
    incarnation: EngineIncarnation,
    until: ClockMillis,
    /// Requests that may be sent before the engine responds, once the cooldown is over.
    allowance: usize,
    /// When the requests were sent that it has not responded to.
    probes: VecDeque<ClockMillis>,
    /// How often it was asked for since the engine last took requests without restriction.
    cooldown_requests: u32,
    /// How many clients were given a retry time after it.
    retry_times_issued: u32,
}

impl EngineCooldown {
    const fn new(incarnation: EngineIncarnation, now: ClockMillis) -> Self {
        let probes = VecDeque::new();
        Self {
            incarnation,
            until: now,
            allowance: 1,
            probes,
            cooldown_requests: 0,
            retry_times_issued: 0,
        }
    }

    /// Returns after what time the engine is expected to take requests, if it takes none now.
    fn unavailable_for(&self, now: ClockMillis) -> Option<Duration> {
        if now < self.until {
            return Some(self.until.since(now));
        }
        let pending = self.probes.iter().filter(|sent| now.since(**sent) < PROBE_TIMEOUT);
        (pending.count() >= self.allowance).then_some(EXPECTED_PROBE_TIME)
    }
}

/// The cooldowns that engines have asked one host for.
#[derive(Debug, Clone, Default)]
pub struct CooldownTable {
    engines: HashMap<EngineName, EngineCooldown>,
    events: Vec<CooldownEvent>,
}

impl CooldownTable {
    /// Takes that an incarnation of an engine asked this host for a cooldown; the later end counts.
    pub fn record_cooldown(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        cooldown: Cooldown,
        now: ClockMillis,
    ) {
        let new = || EngineCooldown::new(incarnation, now);
        let entry = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
        if !is_same_incarnation(entry.incarnation, incarnation) {
            *entry = new();
        }
        if entry.cooldown_requests == 0 {
            let (engine, duration) = (Arc::clone(engine), cooldown.duration());
            self.events.push(CooldownEvent::Began { engine, incarnation, duration });
        }
        if now >= entry.until {
            entry.retry_times_issued = 0;
        }
        entry.until = entry.until.max(now + cooldown.duration());
        entry.allowance = 1;
        entry.probes.clear();
        entry.cooldown_requests += 1;
    }

    /// Returns whether a request may go to an engine.
    pub fn state(
        &self,
        engine: &str,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) -> CooldownState {
        let entry = self
            .engines
            .get(engine)
            .filter(|entry| is_same_incarnation(entry.incarnation, incarnation));
        let unavailable = entry.and_then(|entry| entry.unavailable_for(now));
        unavailable.map_or(CooldownState::Available, CooldownState::Unavailable)
    }

    /// Takes that a request is sent to an engine.
    pub fn record_sent(&mut self, engine: &str, incarnation: EngineIncarnation, now: ClockMillis) {
        if let Some(entry) = self.engines.get_mut(engine)
            && is_same_incarnation(entry.incarnation, incarnation)
        {
            entry.probes.retain(|sent| now.since(*sent) < PROBE_TIMEOUT);
            entry.probes.push_back(now);
        }
    }

    /// Takes that an engine has responded to a request that was sent at `sent`, and whether it accepted it; one that was
    /// sent before the end of the cooldown changes nothing. Returns whether more requests may go there.
    pub fn record_response(
        &mut self,
        engine: &str,
        incarnation: EngineIncarnation,
        sent: ClockMillis,
        accepted: bool,
    ) -> bool {
        let Some(entry) = self.engines.get_mut(engine) else { return false };
        if !is_same_incarnation(entry.incarnation, incarnation) || sent < entry.until {
            return false;
        }
        entry.probes.pop_front();
        if accepted {
            entry.allowance *= 2;
        }
        if entry.allowance >= RECOVERY_ALLOWANCE {
            self.remove(engine);
        }
        true
    }

    /// Returns the engines that take no requests now.
    pub fn unavailable_engines(&self, now: ClockMillis) -> impl Iterator<Item = &EngineName> {
        let unavailable =
            self.engines.iter().filter(move |(_, entry)| entry.unavailable_for(now).is_some());
        unavailable.map(|(engine, _)| engine)
    }

    /// Returns the retry time for the next rejected client: after the cooldown of its engine, each a step later than the one
    /// before.
    pub fn next_retry_after(&mut self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let entry = self.engines.get_mut(engine)?;
        let step = RETRY_AFTER_STEP * (entry.retry_times_issued % RETRY_AFTER_STEPS);
        entry.retry_times_issued += 1;
        Some(entry.until.since(now) + step)
    }

    /// Forgets engines whose cooldown is over and that are no longer listed in that incarnation, or were sent nothing for long
    /// since; `listed` returns the incarnation that is listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> Option<EngineIncarnation>, now: ClockMillis) {
        let is_over = |engine: &str, entry: &EngineCooldown| {
            let is_unlisted = || {
                listed(engine)
                    .is_none_or(|incarnation| !is_same_incarnation(entry.incarnation, incarnation))
            };
            now >= entry.until && (is_unlisted() || now.since(entry.until) >= IDLE_RECOVERY_TIME)
        };
        let removed = self.engines.iter().filter(|(engine, entry)| is_over(engine, entry));
        let removed: Vec<EngineName> = removed.map(|(engine, _)| Arc::clone(engine)).collect();
        for engine in removed {
            self.remove(&engine);
        }
    }

    /// Returns what is to be logged since the last call.
    pub fn take_events(&mut self) -> Vec<CooldownEvent> {
        std::mem::take(&mut self.events)
    }

    fn remove(&mut self, engine: &str) {
        if let Some((engine, entry)) = self.engines.remove_entry(engine) {
            self.events.push(CooldownEvent::Ended { engine, requests: entry.cooldown_requests });
        }
    }
}
