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
const RECOVERED_PROBES: usize = 32;

/// How long an engine is restricted after a cooldown that this host sends nothing.
const RECOVERY_RETENTION: Duration = Duration::from_secs(10);

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
    Open,
    /// It may not; the engine is expected to take requests again after this time.
    Closed(Duration),
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
    requests: u32,
    /// How many clients were given a retry time after it.
    retry_times_issued: u32,
}

impl EngineCooldown {
    const fn new(incarnation: EngineIncarnation, now: ClockMillis) -> Self {
        let probes = VecDeque::new();
        Self { incarnation, until: now, allowance: 1, probes, requests: 0, retry_times_issued: 0 }
    }

    /// Returns after what time the engine is expected to take requests, if it takes none now.
    fn closed_for(&self, now: ClockMillis) -> Option<Duration> {
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
        let known = self.engines.entry(Arc::clone(engine)).or_insert_with(new);
        if !is_same_incarnation(known.incarnation, incarnation) {
            *known = new();
        }
        if known.requests == 0 {
            let (engine, duration) = (Arc::clone(engine), cooldown.duration());
            self.events.push(CooldownEvent::Began { engine, incarnation, duration });
        }
        if now >= known.until {
            known.retry_times_issued = 0;
        }
        known.until = known.until.max(now + cooldown.duration());
        known.allowance = 1;
        known.probes.clear();
        known.requests += 1;
    }

    /// Returns whether a request may go to an engine.
    pub fn state(
        &self,
        engine: &str,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) -> CooldownState {
        let known = self
            .engines
            .get(engine)
            .filter(|known| is_same_incarnation(known.incarnation, incarnation));
        let closed = known.and_then(|known| known.closed_for(now));
        closed.map_or(CooldownState::Open, CooldownState::Closed)
    }

    /// Takes that a request is sent to an engine.
    pub fn record_sent(&mut self, engine: &str, incarnation: EngineIncarnation, now: ClockMillis) {
        if let Some(known) = self.engines.get_mut(engine)
            && is_same_incarnation(known.incarnation, incarnation)
        {
            known.probes.retain(|sent| now.since(*sent) < PROBE_TIMEOUT);
            known.probes.push_back(now);
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
        let Some(known) = self.engines.get_mut(engine) else { return false };
        if !is_same_incarnation(known.incarnation, incarnation) || sent < known.until {
            return false;
        }
        known.probes.pop_front();
        if accepted {
            known.allowance *= 2;
        }
        if known.allowance >= RECOVERED_PROBES {
            self.remove(engine);
        }
        true
    }

    /// Returns the engines that take no requests now.
    pub fn closed_engines(&self, now: ClockMillis) -> impl Iterator<Item = &EngineName> {
        let closed = self.engines.iter().filter(move |(_, known)| known.closed_for(now).is_some());
        closed.map(|(engine, _)| engine)
    }

    /// Returns the retry time for the next rejected client: after the cooldown of its engine, each a step later than the one
    /// before.
    pub fn next_retry_after(&mut self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let known = self.engines.get_mut(engine)?;
        let step = RETRY_AFTER_STEP * (known.retry_times_issued % RETRY_AFTER_STEPS);
        known.retry_times_issued += 1;
        Some(known.until.since(now) + step)
    }

    /// Forgets engines whose cooldown is over and that are no longer listed in that incarnation, or were sent nothing for long
    /// since; `listed` retry_times_issued the incarnation that is listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> Option<EngineIncarnation>, now: ClockMillis) {
        let over = |engine: &str, known: &EngineCooldown| {
            let ended = || {
                listed(engine)
                    .is_none_or(|incarnation| !is_same_incarnation(known.incarnation, incarnation))
            };
            now >= known.until && (ended() || now.since(known.until) >= RECOVERY_RETENTION)
        };
        let known = self.engines.iter().filter(|(engine, known)| over(engine, known));
        let ended: Vec<EngineName> = known.map(|(engine, _)| Arc::clone(engine)).collect();
        for engine in ended {
            self.remove(&engine);
        }
    }

    /// Returns what is to be logged since the last call.
    pub fn take_events(&mut self) -> Vec<CooldownEvent> {
        std::mem::take(&mut self.events)
    }

    fn remove(&mut self, engine: &str) {
        if let Some((engine, known)) = self.engines.remove_entry(engine) {
            self.events.push(CooldownEvent::Ended { engine, requests: known.requests });
        }
    }
}
