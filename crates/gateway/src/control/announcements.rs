//! Logs and counts the departures and cooldowns that engines announce.

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::{cooldown::CooldownEvent, departures::LearnedDeparture},
};

use crate::{control::state::ControlState, events::HostEvent};

impl ControlState {
    /// Applies departures that this host has learned of, logs and counts departures and cooldowns,
    /// and drops those of engines that have ended.
    pub(super) fn tick_announcements(&mut self, now: ClockMillis) {
        let listed = |engine: &str| self.engines.get(engine).map(|entry| entry.incarnation);
        let mut departures = self.shared.departures();
        departures.retain(listed, now);
        let departing = departures.count_departing(listed);
        let learned = departures.take_learned();
        drop(departures);
        let mut cooldowns = self.shared.cooldowns();
        cooldowns.retain(listed, now);
        let cooling = cooldowns.unavailable_engines(now).count();
        let events = cooldowns.take_events();
        drop(cooldowns);
        let metrics = &self.shared.metrics;
        metrics.departing_engines.set(i64::try_from(departing).unwrap_or(i64::MAX));
        metrics.cooling_engines.set(i64::try_from(cooling).unwrap_or(i64::MAX));
        for learned in learned {
            self.handle_departure(&learned.engine, learned.incarnation);
            self.shared.events.write(learned.into());
        }
        for event in events {
            self.shared.events.write(event.into());
        }
    }
}

impl From<LearnedDeparture> for HostEvent {
    fn from(learned: LearnedDeparture) -> Self {
        Self::DepartureLearned {
            engine: learned.engine.to_string(),
            incarnation: learned.incarnation,
            source: learned.source.name().into(),
            age: duration_millis(learned.age),
        }
    }
}

impl From<CooldownEvent> for HostEvent {
    fn from(event: CooldownEvent) -> Self {
        match event {
            CooldownEvent::Began { engine, incarnation, duration } => {
                let (engine, millis) = (engine.to_string(), duration_millis(duration));
                Self::CooldownBegan { engine, incarnation, millis }
            }
            CooldownEvent::Ended { engine, requests } => {
                Self::CooldownEnded { engine: engine.to_string(), requests }
            }
        }
    }
}
