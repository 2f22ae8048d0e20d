//! Which engine a request is sent to.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::{EngineEntry, EngineName, WeightVersion, health::EngineHealth},
};

/// What an open request costs an engine, compared with a failure share of one.
const FAILURE_WEIGHT: f64 = 40.0;

/// What leaving the own data hall costs, in open requests.
const OTHER_HALL_COST: f64 = 2.0;

/// How much reading ahead costs as much as an open request: about what one prompt of some hundred tokens
/// takes.
const PREFILL_TIME_PER_OPEN_REQUEST: Duration = Duration::from_millis(30);

/// What being left alone costs: more than any load.
const BACKOFF_COST: f64 = 10_000.0;

/// Over how many open requests each host that chooses spreads its choice.
const TIE_SPREAD_PER_HOST: f64 = 1.0 / 25.0;

/// Over how many open requests a choice is spread at most.
const MAX_TIE_SPREAD: f64 = 4.0;

/// How much of a slow engine's delay counts, in open requests for each multiple of the median.
const DELAY_WEIGHT: f64 = 2.0;

/// The part of the operator's time for which an older version is still used.
///
/// A request may wait in an engine's queue for seconds before it begins; what is left of the time
/// covers that.
const OLD_VERSION_FRACTION: f64 = 0.2;

/// How many versions of one adapter are remembered: operators name one in seconds at the most, and after a second
/// nothing older than the first of two is used.
const MAX_TRACKED_VERSIONS: usize = 8;

/// The versions that the operator versions of one model or adapter, and since when a host knows each.
///
/// A newer one may be versions before the last is everywhere. What is older than any of them is judged by that one's
/// own time; a later one gives it no more.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PublishedVersions {
    /// Rising versions with the time at which the host heard of each.
    versions: Vec<(WeightVersion, ClockMillis)>,
}

impl PublishedVersions {
    /// Takes that the operator versions a version; one that is not newer than the newest changes nothing. Returns whether it is.
    pub fn publish(&mut self, version: WeightVersion, now: ClockMillis) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.versions.len() == MAX_TRACKED_VERSIONS {
            // The oldest one's time is kept for the next: what is older than both stays as late as it was.
            let (_, since) = self.versions.remove(0);
            self.versions[0].1 = since;
        }
        self.versions.push((version, now));
        true
    }

    /// Returns the newest version that was versions, zero before the first.
    pub fn newest(&self) -> WeightVersion {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Returns whether a request may still be sent to a copy in version `loaded`.
    ///
    /// `apply_time` is the time within which the operator wants nothing to begin on an older version.
    pub fn allows(&self, loaded: WeightVersion, apply_time: Duration, now: ClockMillis) -> bool {
        let first_newer = self.versions.iter().find(|(version, _)| *version > loaded);
        first_newer
            .is_none_or(|(_, since)| now.since(*since) < apply_time.mul_f64(OLD_VERSION_FRACTION))
    }
}

/// One engine that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate<'table> {
    /// The engine.
    pub entry: &'table EngineEntry,
    /// What this host's requests tell about it.
    pub health: &'table EngineHealth,
    /// This host's open requests there.
    pub own_open: u32,
    /// The open requests of all hosts there, as far as this host was reported_open.
    pub reported_open: u32,
    /// How long it takes to read what it has not read yet.
    pub pending_prefill_time: Duration,
}

/// Returns the best of the candidates, by open requests, reading ahead, failures, delay and
/// data hall.
///
/// `tie_breaker` spreads equal candidates; any number that differs between requests does. `hosts` choose with
/// the same word of the engines' loads, so that many of them must not all choose the same engine.
pub fn choose_engine(
    candidates: &[EngineCandidate<'_>],
    hall: &str,
    tie_breaker: u64,
    hosts: u32,
    now: ClockMillis,
) -> Option<EngineName> {
    let median = median_delay(candidates);
    let spread = (f64::from(hosts) * TIE_SPREAD_PER_HOST).min(MAX_TIE_SPREAD);
    let count = candidates.len() as u64;
    candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| {
            let rank = (index as u64 + count - tie_breaker % count.max(1)) % count.max(1);
            let spread = spread * rank as f64 / count as f64;
            (cost(candidate, hall, median, now) + spread, rank, candidate)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)))
        .map(|(_, _, candidate)| EngineName::clone(&candidate.entry.name))
}

fn cost(candidate: &EngineCandidate<'_>, hall: &str, median: Option<f64>, now: ClockMillis) -> f64 {
    let health = candidate.health;
    let mut cost = f64::from(candidate.own_open.max(candidate.reported_open));
    cost += candidate.pending_prefill_time.div_duration_f64(PREFILL_TIME_PER_OPEN_REQUEST);
    cost += FAILURE_WEIGHT * health.failure_rate().powi(2);
    if &*candidate.entry.hall != hall {
        cost += OTHER_HALL_COST;
    }
    if health.is_in_backoff(now) {
        cost += BACKOFF_COST;
    }
    if let (Some(delay), Some(median)) = (health.delay_millis(), median) {
        cost += DELAY_WEIGHT * (delay / median.max(1.0) - 1.5).max(0.0);
    }
    cost
}

fn median_delay(candidates: &[EngineCandidate<'_>]) -> Option<f64> {
    let delays = candidates.iter().filter_map(|candidate| candidate.health.delay_millis());
    let mut delays: Vec<f64> = delays.collect();
    delays.sort_by(f64::total_cmp);
    delays.get(delays.len().saturating_sub(1) / 2).copied()
}
