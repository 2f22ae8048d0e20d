//! Departures announced by engines, as known to one host.
//!
//! A departure belongs to one incarnation of an engine and stays in force until that incarnation
//! ends, whatever the engine's entry in the store says. The host that receives the announcement
//! reports it to the coordinator, which publishes it to all hosts.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{EngineIncarnation, EngineName, is_same_incarnation},
};

/// How long the departure of an unlisted engine is kept.
const UNLISTED_RETENTION: Duration = Duration::from_mins(10);

/// How a host learned of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// By a response of the engine.
    Response,
    /// By a message from another host.
    Peer,
    /// By the engine's entry in the store.
    Listing,
}

impl DepartureSource {
    /// Returns the name used in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer => "peer",
            Self::Listing => "listing",
        }
    }
}

/// A departure as hosts report and publish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartureReport {
    /// The engine.
    pub engine: EngineName,
    /// The engine's incarnation.
    pub incarnation: EngineIncarnation,
    /// Time since it was announced.
    pub age: Duration,
}

/// A departure that this host has newly learned of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LearnedDeparture {
    /// The engine.
    pub engine: EngineName,
    /// The engine's incarnation.
    pub incarnation: EngineIncarnation,
    /// How this host learned of it.
    pub source: DepartureSource,
    /// Time since it was announced.
    pub age: Duration,
}

#[derive(Debug, Clone)]
struct KnownDeparture {
    incarnation: EngineIncarnation,
    announced: ClockMillis,
    source: DepartureSource,
    /// Whether it has yet to be reported to the coordinator.
    pending: bool,
    /// Whether this host has yet to publish it if it is the coordinator.
    unpublished: bool,
}

/// The departures known to one host.
#[derive(Debug, Clone, Default)]
pub struct DepartureRegistry {
    departures: HashMap<EngineName, Vec<KnownDeparture>>,
    learned: Vec<LearnedDeparture>,
}

impl DepartureRegistry {
    /// Records an announcement that this host received in a response; returns whether it is new.
    pub fn record_announced(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) -> bool {
        self.learn(engine, incarnation, now, DepartureSource::Response, now)
    }

    /// Records a departure shown by the engine's entry in the store, which all hosts read.
    pub fn record_listed(
        &mut self,
        engine: &EngineName,
        incarnation: EngineIncarnation,
        now: ClockMillis,
    ) {
        self.learn(engine, incarnation, now, DepartureSource::Listing, now);
    }

    /// Records departures that another host reported or published.
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

    /// Returns the number of listed engines that are leaving; `listed` returns the listed
    /// incarnation of an engine.
    pub fn count_departing(&self, listed: impl Fn(&str) -> Option<EngineIncarnation>) -> usize {
        let departing = |engine: &EngineName| {
            listed(engine).is_some_and(|incarnation| self.is_departing(engine, incarnation))
        };
        self.departures.keys().filter(|engine| departing(engine)).count()
    }

    /// Removes departures that are older than `UNLISTED_RETENTION` and whose incarnation is not
    /// listed; `listed` returns the listed incarnation of an engine.
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

    /// Returns the departures learned since the last call.
    pub fn take_learned(&mut self) -> Vec<LearnedDeparture> {
        std::mem::take(&mut self.learned)
    }
}

impl DepartureRegistry {
    /// Takes the reports to send to the coordinator.
    pub fn take_pending(&mut self, now: ClockMillis) -> Vec<DepartureReport> {
        self.take(now, |known| std::mem::take(&mut known.pending))
    }

    /// Takes the reports to publish as the coordinator.
    pub fn take_unpublished(&mut self, now: ClockMillis) -> Vec<DepartureReport> {
        self.take(now, |known| std::mem::take(&mut known.unpublished))
    }

    /// Marks the departures of these engines as pending again after their reports could not be
    /// sent.
    pub fn resend(&mut self, reports: &[DepartureReport]) {
        let engines: HashSet<&str> = reports.iter().map(|report| &*report.engine).collect();
        let known = self.departures.iter_mut();
        let known = known.filter(|(engine, _)| engines.contains(&***engine));
        known.flat_map(|(_, known)| known).for_each(|known| known.pending = true);
    }

    /// Marks all departures that no entry shows as pending and unpublished, since the coordinator
    /// has changed.
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
