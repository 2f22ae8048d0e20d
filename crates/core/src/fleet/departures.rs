//! Engines that have announced that they are leaving, as one host knows them.
//!
//! A departure belongs to one incarnation of an engine and holds until that incarnation ends, whatever its entry in the
//! store says meanwhile. The host that receives the announcement reports it to the coordinator, which publishes it to all.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, is_same_incarnation},
};

/// How long the departure of an engine that is not listed is remembered.
const UNLISTED_RETENTION: Duration = Duration::from_mins(10);

/// Where a host learned of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// From a response of the engine.
    Response,
    /// From another host.
    Peer,
    /// From the engine's entry.
    Listing,
}

impl DepartureSource {
    /// Returns its name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer => "peer",
            Self::Listing => "listing",
        }
    }
}

/// A departure, as hosts report and publish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartureReport {
    /// The engine.
    pub engine: EngineName,
    /// Its incarnation.
    pub incarnation: EngineIncarnation,
    /// How long ago it was announced.
    pub age: Duration,
}

/// A departure that this host has just learned of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LearnedDeparture {
    /// The engine.
    pub engine: EngineName,
    /// Its incarnation.
    pub incarnation: EngineIncarnation,
    /// Where this host learned of it.
    pub source: DepartureSource,
    /// How long ago it was announced.
    pub age: Duration,
}

#[derive(Debug, Clone)]
struct KnownDeparture {
    incarnation: EngineIncarnation,
    announced: ClockMillis,
    source: DepartureSource,
    /// Whether the coordinator has to receive it.
    pending: bool,
    /// Whether this host, as the coordinator, has to publish it.
    unpublished: bool,
}

/// The departures that one host knows.
#[derive(Debug, Clone, Default)]
pub struct DepartureRegistry {
    departures: HashMap<EngineName, Vec<KnownDeparture>>,
    learned: Vec<LearnedDeparture>,
}

impl DepartureRegistry {
    /// Takes the announcement of an incarnation in a response to this host; returns whether it is new.
    pub fn record_announced(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) -> bool {
        self.learn(engine, incarnation, now, DepartureSource::Response, now)
    }

    /// Takes a departure that the engine's entry shows, which all hosts read.
    pub fn record_listed(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) {
        self.learn(engine, incarnation, now, DepartureSource::Listing, now);
    }

    /// Takes what another host reports or publishes.
    pub fn receive(&mut self, reports: &[DepartureReport], now: ClockMillis) {
        for report in reports {
            let announced = now - report.age;
            self.learn(&report.engine, report.incarnation, announced, DepartureSource::Peer, now);
        }
    }

    fn learn(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        announced: ClockMillis,
        source: DepartureSource,
        now: ClockMillis,
    ) -> bool {
        let known = self.departures.entry(Arc::clone(engine)).or_default();
        if known.iter().any(|known| is_same_incarnation(known.incarnation, incarnation)) {
            return false;
        }
        let pending = source == DepartureSource::Response;
        let unpublished = source != DepartureSource::Listing;
        known.push(KnownDeparture { incarnation, announced, source, pending, unpublished });
        let (engine, age) = (Arc::clone(engine), now.since(announced));
        self.learned.push(LearnedDeparture { engine, incarnation, source, age });
        true
    }

    /// Returns whether an incarnation of an engine is leaving.
    pub fn is_departing(&self, engine: &str, incarnation: EngineIncarnation) -> bool {
        let known = self.departures.get(engine);
        known.is_some_and(|known| {
            known.iter().any(|known| is_same_incarnation(known.incarnation, incarnation))
        })
    }

    /// Returns how many of the listed incarnations are leaving; `listed` returns the one that is listed.
    pub fn count_departing(&self, listed: impl Fn(&str) -> Option<EngineIncarnation>) -> usize {
        let departing = |engine: &EngineName| {
            listed(engine).is_some_and(|incarnation| self.is_departing(engine, incarnation))
        };
        self.departures.keys().filter(|engine| departing(engine)).count()
    }

    /// Forgets departures of engines that have not been listed in that incarnation for long; `listed` returns the
    /// incarnation that is listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> Option<EngineIncarnation>, now: ClockMillis) {
        self.departures.retain(|engine, known| {
            let listed_incarnation = listed(engine);
            known.retain(|known| {
                listed_incarnation
                    .is_some_and(|incarnation| is_same_incarnation(known.incarnation, incarnation))
                    || now.since(known.announced) < UNLISTED_RETENTION
            });
            !known.is_empty()
        });
    }

    /// Returns what this host has learned since the last call.
    pub fn take_learned(&mut self) -> Vec<LearnedDeparture> {
        std::mem::take(&mut self.learned)
    }
}

impl DepartureRegistry {
    /// Returns the reports that the coordinator has to receive.
    pub fn take_pending(&mut self, now: ClockMillis) -> Vec<DepartureReport> {
        self.take(now, |known| std::mem::take(&mut known.pending))
    }

    /// Returns what this host, as the coordinator, has to publish.
    pub fn take_unpublished(&mut self, now: ClockMillis) -> Vec<DepartureReport> {
        self.take(now, |known| std::mem::take(&mut known.unpublished))
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, reports: &[DepartureReport]) {
        let engines: HashSet<&str> = reports.iter().map(|report| &*report.engine).collect();
        let known = self.departures.iter_mut();
        let known = known.filter(|(engine, _)| engines.contains(&***engine));
        known.flat_map(|(_, known)| known).for_each(|known| known.pending = true);
    }

    /// Marks as pending what no entry shows, since another host has become the coordinator.
    pub fn resend_all(&mut self) {
        let known = self.departures.values_mut().flatten();
        for known in known.filter(|known| known.source != DepartureSource::Listing) {
            (known.pending, known.unpublished) = (true, true);
        }
    }

    /// Returns all departures, for a new subscriber.
    pub fn snapshot(&mut self, now: ClockMillis) -> Vec<DepartureReport> {
        self.take(now, |_| true)
    }

    fn take(
        &mut self,
        now: ClockMillis,
        mut selects: impl FnMut(&mut KnownDeparture) -> bool,
    ) -> Vec<DepartureReport> {
        let mut reports = Vec::new();
        for (engine, known) in &mut self.departures {
            for known in known.iter_mut() {
                if !selects(known) {
                    continue;
                }
                let (engine, age) = (Arc::clone(engine), now.since(known.announced));
                reports.push(DepartureReport { engine, incarnation: known.incarnation, age });
            }
        }
        reports
    }
}
