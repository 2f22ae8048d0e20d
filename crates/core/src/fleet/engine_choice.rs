//! Choice of the engine that a request is sent to.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::{EngineEntry, EngineName, WeightVersion, health::EngineHealth},
};

/// Cost of a failure rate of one, in open requests.
const FAILURE_WEIGHT: f64 = 40.0;

/// Cost of an engine in another data hall, in open requests.
const OTHER_HALL_COST: f64 = 2.0;

/// Pending prefill time that costs as much as one open request: that of a prompt of some hundred
/// tokens.
const PREFILL_TIME_PER_OPEN_REQUEST: Duration = Duration::from_millis(30);

/// Cost of an engine in backoff; exceeds that of any load.
const BACKOFF_COST: f64 = 10_000.0;

/// Range over which choices are spread, for each choosing host, in open requests.
const SPREAD_PER_HOST: f64 = 1.0 / 25.0;

/// Maximum range over which choices are spread, in open requests.
const MAX_SPREAD: f64 = 4.0;

/// Cost of an engine's delay for each multiple of the median delay, in open requests.
const DELAY_WEIGHT: f64 = 2.0;

/// Fraction of the operator's apply time during which an older version is still used. The rest
/// covers the time that a request may wait in an engine's queue before it begins.
const OLD_VERSION_FRACTION: f64 = 0.2;

/// Maximum number of versions tracked for one model or adapter. Operators publish one every few
/// seconds at most, and after a second nothing older than the first of two is used.
const MAX_TRACKED_VERSIONS: usize = 8;

/// The published versions of one model or adapter, with the time at which this host learned of
/// each.
///
/// A version may be published before the previous one is loaded everywhere. An older copy is judged
/// by the first version that superseded it; later versions do not extend its time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PublishedVersions {
    /// Versions in ascending order, with the time at which this host learned of each.
    versions: Vec<(WeightVersion, ClockMillis)>,
}

impl PublishedVersions {
    /// Adds a version that the operator published and returns true, or returns false if it is not
    /// newer than the newest one.
    pub fn publish(&mut self, version: WeightVersion, now: ClockMillis) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.versions.len() == MAX_TRACKED_VERSIONS {
            // The next version takes over the time of the removed one, so that copies older than
            // both get no additional time.
            let (_, since) = self.versions.remove(0);
            self.versions[0].1 = since;
        }
        self.versions.push((version, now));
        true
    }

    /// Returns the newest published version, or zero if there is none.
    pub fn newest(&self) -> WeightVersion {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Returns whether a request may still be sent to a copy of version `loaded`.
    ///
    /// `apply_time` is the time after which no request should begin on an older version.
    pub fn allows(&self, loaded: WeightVersion, apply_time: Duration, now: ClockMillis) -> bool {
        let first_newer = self.versions.iter().find(|(version, _)| *version > loaded);
        first_newer
            .is_none_or(|(_, since)| now.since(*since) < apply_time.mul_f64(OLD_VERSION_FRACTION))
    }
}

/// An engine that could run a request.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate<'table> {
    /// The engine's entry.
    pub entry: &'table EngineEntry,
    /// Its health, as seen by this host.
    pub health: &'table EngineHealth,
    /// This host's open requests at the engine.
    pub own_open: u32,
    /// Open requests of all hosts at the engine, as last reported to this host.
    pub reported_open: u32,
    /// Time that the engine needs for the prompts it has not processed yet.
    pub pending_prefill_time: Duration,
}

/// Returns the candidate with the lowest cost.
///
/// `tie_breaker` is any number that differs between requests. All `hosts` choose from the same
/// reported loads, so choices are spread over nearly equal candidates to keep hosts from all
/// picking the same one.
pub fn choose_engine(
    candidates: &[EngineCandidate<'_>],
    hall: &str,
    tie_breaker: u64,
    hosts: u32,
    now: ClockMillis,
) -> Option<EngineName> {
    let median = median_delay(candidates.iter().map(|candidate| candidate.health));
    let total_cost = |candidate: &EngineCandidate<'_>| {
        load_cost(candidate, hall) + HealthCost::of(candidate, median, now).total()
    };
    let index = cheapest_index(candidates, tie_breaker, hosts, total_cost)?;
    Some(EngineName::clone(&candidates[index].entry.name))
}

/// Returns which health signal made [`choose_engine`] choose another engine than the one with the
/// lowest load, if any did.
pub fn diverting_signal(
    candidates: &[EngineCandidate<'_>],
    hall: &str,
    tie_breaker: u64,
    hosts: u32,
    now: ClockMillis,
) -> Option<HealthSignal> {
    let median = median_delay(candidates.iter().map(|candidate| candidate.health));
    let health_cost = |candidate: &EngineCandidate<'_>| HealthCost::of(candidate, median, now);
    if candidates.iter().all(|candidate| health_cost(candidate).total() <= 0.0) {
        return None;
    }
    let load_only = |candidate: &EngineCandidate<'_>| load_cost(candidate, hall);
    let total = |candidate: &EngineCandidate<'_>| {
        load_cost(candidate, hall) + health_cost(candidate).total()
    };
    let least_loaded = cheapest_index(candidates, tie_breaker, hosts, load_only)?;
    let chosen = cheapest_index(candidates, tie_breaker, hosts, total)?;
    (chosen != least_loaded).then(|| health_cost(&candidates[least_loaded]).dominant_signal())
}

/// Returns the index of the candidate with the lowest cost after spreading.
fn cheapest_index(
    candidates: &[EngineCandidate<'_>],
    tie_breaker: u64,
    hosts: u32,
    cost: impl Fn(&EngineCandidate<'_>) -> f64,
) -> Option<usize> {
    let spread = (f64::from(hosts) * SPREAD_PER_HOST).min(MAX_SPREAD);
    let count = candidates.len() as u64;
    candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| {
            let rank = (index as u64 + count - tie_breaker % count.max(1)) % count.max(1);
            let spread = spread * rank as f64 / count as f64;
            (cost(candidate) + spread, rank, index)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)))
        .map(|(_, _, index)| index)
}

fn load_cost(candidate: &EngineCandidate<'_>, hall: &str) -> f64 {
    let mut cost = f64::from(candidate.own_open.max(candidate.reported_open));
    cost += candidate.pending_prefill_time.div_duration_f64(PREFILL_TIME_PER_OPEN_REQUEST);
    if &*candidate.entry.hall != hall {
        cost += OTHER_HALL_COST;
    }
    cost
}

/// Returns the cost of a delay, given the median delay of the candidates.
fn delay_cost((delay, median): (f64, f64)) -> f64 {
    DELAY_WEIGHT * (delay / median.max(1.0) - 1.5).max(0.0)
}

/// A signal of an engine's health that affects the choice of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// Failed requests.
    Failures,
    /// The delay of its answers.
    Delay,
    /// The backoff after a failure.
    Backoff,
}

/// The cost of an engine's health by signal, in open requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct HealthCost {
    failures: f64,
    delay: f64,
    backoff: f64,
}

impl HealthCost {
    pub(super) fn of(
        candidate: &EngineCandidate<'_>,
        median: Option<f64>,
        now: ClockMillis,
    ) -> Self {
        let health = candidate.health;
        // One request at a time probes an engine whose last samples are old.
        let may_probe = candidate.own_open == 0;
        let delay = if may_probe && health.is_delay_probe_due(now) {
            0.0
        } else {
            health.delay_millis().zip(median).map_or(0.0, delay_cost)
        };
        let failures = if may_probe && health.is_failure_probe_due(now) {
            0.0
        } else {
            FAILURE_WEIGHT * health.failure_rate().powi(2)
        };
        let backoff = if health.is_in_backoff(now) { BACKOFF_COST } else { 0.0 };
        Self { failures, delay, backoff }
    }

    fn total(self) -> f64 {
        self.failures + self.delay + self.backoff
    }

    /// Returns the total with `factor` times the cost of failures.
    pub(super) fn total_with_failure_factor(self, factor: f64) -> f64 {
        Self { failures: self.failures * factor, ..self }.total()
    }

    fn dominant_signal(self) -> HealthSignal {
        if self.backoff > 0.0 {
            HealthSignal::Backoff
        } else if self.delay > self.failures {
            HealthSignal::Delay
        } else {
            HealthSignal::Failures
        }
    }
}

/// Returns the median of the smoothed delays that are known. Unit: milliseconds.
pub(super) fn median_delay<'health>(
    candidates: impl Iterator<Item = &'health EngineHealth>,
) -> Option<f64> {
    let mut delays: Vec<f64> = candidates.filter_map(EngineHealth::delay_millis).collect();
    delays.sort_by(f64::total_cmp);
    delays.get(delays.len().saturating_sub(1) / 2).copied()
}
