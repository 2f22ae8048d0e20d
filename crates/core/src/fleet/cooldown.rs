//! Cooldowns that engines have requested from this host, and the gradual recovery afterwards.
//!
//! A cooldown applies to one host and one incarnation of an engine. After it, a single request
//! probes the engine; each accepted request doubles the number of requests that may be sent before
//! the engine responds.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, announcement::Cooldown, is_same_incarnation},
};

/// Allowance from which on an engine is no longer restricted.
const RECOVERY_ALLOWANCE: usize = 32;

/// Time without requests to an engine after which its restriction ends.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Time after which a probe without a response no longer counts.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Expected time until the response to a probe begins.
const EXPECTED_PROBE_TIME: Duration = Duration::from_millis(300);

/// Step between the retry times of clients after one cooldown, and the number of steps before they
/// start over; spreads the clients' retries.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(25);
const RETRY_AFTER_STEPS: u32 = 40;

/// Whether an engine's cooldown permits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CooldownState {
    /// A request may be sent.
    Available,
    /// No request may be sent; the engine is expected to accept requests after this time.
    Unavailable(Duration),
}

/// A change to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CooldownEvent {
    /// An unrestricted engine requested a cooldown.
    Began {
        /// The engine.
        engine: EngineName,
        /// The engine's incarnation.
        incarnation: EngineIncarnation,
        /// Length of the cooldown.
        duration: Duration,
    },
    /// The engine is unrestricted again, or has ended.
    Ended {
        /// The engine.
        engine: EngineName,
        /// Number of cooldowns that it requested since it was last unrestricted.
        requests: u32,
    },
}

#[derive(Debug, Clone)]
struct EngineCooldown {
    incarnation: EngineIncarnation,
    until: ClockMillis,
    /// Number of requests that may await a response once the cooldown is over.
    allowance: usize,
    /// Send times of the requests that await a response.
    probes: VecDeque<ClockMillis>,
    /// Number of cooldowns requested since the engine was last unrestricted.
    cooldown_requests: u32,
    /// Number of retry times given to clients since the cooldown began.
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

    /// Returns the time until the engine is expected to accept requests, if none may be sent now.
    fn unavailable_for(&self, now: ClockMillis) -> Option<Duration> {
        if now < self.until {
            return Some(self.until.since(now));
        }
        let pending = self.probes.iter().filter(|sent| now.since(**sent) < PROBE_TIMEOUT);
        (pending.count() >= self.allowance).then_some(EXPECTED_PROBE_TIME)
    }
}

/// The cooldowns of the engines that one host sends to.
#[derive(Debug, Clone, Default)]
pub struct CooldownTable {
    engines: HashMap<EngineName, EngineCooldown>,
    events: Vec<CooldownEvent>,
}

impl CooldownTable {
    /// Records that an engine requested a cooldown. Overlapping cooldowns last until the later end.
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

    /// Returns whether a request may be sent to an engine.
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

    /// Records that a request is sent to an engine.
    pub fn record_sent(&mut self, engine: &str, incarnation: EngineIncarnation, now: ClockMillis) {
        if let Some(entry) = self.engines.get_mut(engine)
            && is_same_incarnation(entry.incarnation, incarnation)
        {
            entry.probes.retain(|sent| now.since(*sent) < PROBE_TIMEOUT);
            entry.probes.push_back(now);
        }
    }

    /// Records the response to a request that was sent at `sent`, and returns whether more requests
    /// may be sent. The response to a request sent before the end of the cooldown is ignored.
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

    /// Returns the engines to which no request may be sent.
    pub fn unavailable_engines(&self, now: ClockMillis) -> impl Iterator<Item = &EngineName> {
        let unavailable =
            self.engines.iter().filter(move |(_, entry)| entry.unavailable_for(now).is_some());
        unavailable.map(|(engine, _)| engine)
    }

    /// Returns the retry time for the next refused client: the end of the engine's cooldown, plus a
    /// step for each client before it.
    pub fn next_retry_after(&mut self, engine: &str, now: ClockMillis) -> Option<Duration> {
        let entry = self.engines.get_mut(engine)?;
        let step = RETRY_AFTER_STEP * (entry.retry_times_issued % RETRY_AFTER_STEPS);
        entry.retry_times_issued += 1;
        Some(entry.until.since(now) + step)
    }

    /// Removes engines whose cooldown is over if that incarnation is no longer listed, or got no
    /// requests for `MAX_RECOVERY_TIME`. `listed` returns the listed incarnation of an engine.
    pub fn retain(&mut self, listed: impl Fn(&str) -> Option<EngineIncarnation>, now: ClockMillis) {
        let is_over = |engine: &str, entry: &EngineCooldown| {
            let is_unlisted = || {
                listed(engine)
                    .is_none_or(|incarnation| !is_same_incarnation(entry.incarnation, incarnation))
            };
            now >= entry.until && (is_unlisted() || now.since(entry.until) >= MAX_RECOVERY_TIME)
        };
        let removed = self.engines.iter().filter(|(engine, entry)| is_over(engine, entry));
        let removed: Vec<EngineName> = removed.map(|(engine, _)| Arc::clone(engine)).collect();
        for engine in removed {
            self.remove(&engine);
        }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<CooldownEvent> {
        std::mem::take(&mut self.events)
    }

    fn remove(&mut self, engine: &str) {
        if let Some((engine, entry)) = self.engines.remove_entry(engine) {
            self.events.push(CooldownEvent::Ended { engine, requests: entry.cooldown_requests });
        }
    }
}
