//! Selection of an engine for a request.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, ModelKey, SoftwareVersion, WeightVersion, adapter_name,
        connection_share::ConnectionUse,
        engine_choice::{EngineCandidate, choose_engine, diverting_signal},
        health::EngineHealth,
        limits::share::PermitUse,
        work::EngineWork,
    },
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    availability::EngineAvailability,
    table::ServingTable,
    traffic::{
        TrafficState,
        first_event::{FirstEventNeed, choose_first_event, uses_first_event},
    },
};

/// Result of selecting an engine.
#[derive(Debug, Clone)]
pub enum EnginePick {
    /// This engine, with the adapter version to run if one is published.
    Engine(Arc<EngineEntry>, Option<WeightVersion>),
    /// All candidates have a limit and this host has no permit; ordered by the expected time of
    /// one.
    Limited(Vec<Arc<EngineEntry>>),
    /// All candidates are within a cooldown.
    Cooling(CoolingEngines),
    /// No engine has loaded the requested model or adapter.
    ColdStart,
    /// No engine of the service accepts new work.
    Unavailable,
}

/// Engines that could run a request after their cooldowns.
#[derive(Debug, Clone)]
pub struct CoolingEngines {
    /// The engines, ordered by the expected end of their cooldowns.
    pub engines: Vec<EngineName>,
    /// When the first of them is expected to accept requests again.
    pub available_at: ClockMillis,
    /// Whether another engine could load the requested adapter.
    pub loadable_elsewhere: bool,
}

/// Requirements of a request on its engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequirements<'request> {
    /// The service.
    pub service: &'request str,
    /// The model or adapter that the engine must have loaded.
    pub key: Option<&'request ModelKey>,
    /// The version of the software that the engine must run, if the request resumes a stream.
    pub software: Option<&'request SoftwareVersion>,
    /// Engines that must not be picked.
    pub excluded: &'request [EngineName],
    /// Engines that may be picked within the backoff after a failure.
    pub ignores_backoff: &'request [EngineName],
    /// The request's id, hashed to spread requests over equal candidates.
    pub id: &'request str,
    /// The use of a permit: by a new, waiting or resumed request.
    pub permit_use: PermitUse,
    /// Whether the request can be sent again if the engine fails.
    pub retryable: bool,
    /// What the expected time to the first event depends on.
    pub need: FirstEventNeed,
}

impl EngineRequirements<'_> {
    /// Returns whether an engine runs the required software version.
    fn allows_software(&self, entry: &EngineEntry) -> bool {
        self.software.is_none_or(|software| *software == entry.software)
    }
}

/// An engine that can take a request.
struct EligibleEngine {
    entry: Arc<EngineEntry>,
    version: Option<WeightVersion>,
    health: EngineHealth,
    local_work: EngineWork,
    /// Whether the engine's limit allows this host to send a request now.
    permitted: bool,
}

/// Picks the engine for a request.
pub fn pick_engine(traffic: &TrafficState, requirements: &EngineRequirements<'_>) -> EnginePick {
    let (table, now) = (traffic.table(), traffic.now());
    let ready =
        table.ready_engines(requirements.service).any(|entry| requirements.allows_software(entry));
    let (mut eligible, cooling) = eligible_engines(traffic, &table, requirements, now);
    retain_reachable(traffic, requirements, &mut eligible, now);
    if !eligible.is_empty() && !cooling.is_empty() {
        traffic.shared.metrics.cooldown_diverted.inc();
    }
    if eligible.is_empty() {
        if let Some(cooling) = find_cooling_engines(traffic, &table, requirements, cooling, now) {
            return EnginePick::Cooling(cooling);
        }
        let cold = ready && requirements.key.is_some();
        return if cold { EnginePick::ColdStart } else { EnginePick::Unavailable };
    }
    let newest = eligible.iter().map(|eligible| eligible.version).max().flatten();
    eligible.retain(|eligible| eligible.version == newest);
    let Some(preferred) = best_index(traffic, &table, requirements, &eligible, now) else {
        return EnginePick::Unavailable;
    };
    if !eligible[preferred].permitted {
        // The request goes to another engine if possible; the recorded demand gets this host a
        // permit for later ones.
        traffic.shared.limits().record_diversion(&eligible[preferred].entry.name, now);
        let (permitted, limited): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|eligible| eligible.permitted);
        eligible = permitted;
        let Some(best) = best_index(traffic, &table, requirements, &eligible, now) else {
            return EnginePick::Limited(order_by_permit_time(traffic, limited, requirements.id));
        };
        traffic.shared.metrics.limit_diverted.inc();
        return to_pick(&eligible[best]);
    }
    to_pick(&eligible[preferred])
}

fn to_pick(eligible: &EligibleEngine) -> EnginePick {
    EnginePick::Engine(Arc::clone(&eligible.entry), eligible.version)
}

/// Returns the engines that meet the requirements and accept work, and those within a cooldown with
/// the time until they are expected to accept requests.
fn eligible_engines(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    now: ClockMillis,
) -> (Vec<EligibleEngine>, Vec<(Duration, EngineName)>) {
    let mut availability = traffic.shared.availability();
    let (mut eligible, mut cooling) = (Vec::new(), Vec::new());
    for entry in table.ready_engines(requirements.service) {
        if requirements.excluded.contains(&entry.name) || !requirements.allows_software(entry) {
            continue;
        }
        let copy = usable_copy(traffic, table, requirements.key, &entry.name, now);
        let CopyUsability::Usable(version) = copy else { continue };
        let (mut health, local_work) = traffic.pool.borrow().health_and_work(&entry.name);
        if !requirements.retryable {
            health.defer_failure_probe();
        }
        if allows_connection(traffic, table, entry, local_work.open, now) {
            let permitted = match availability.for_request(entry, requirements.permit_use) {
                EngineAvailability::Available => true,
                EngineAvailability::Limited => false,
                EngineAvailability::Departing => continue,
                EngineAvailability::Cooling(time) => {
                    cooling.push((time, Arc::clone(&entry.name)));
                    continue;
                }
            };
            eligible.push(EligibleEngine {
                entry: Arc::clone(entry),
                version,
                health,
                local_work,
                permitted,
            });
        }
    }
    (eligible, cooling)
}

/// Returns the engines that only a cooldown excludes, or `None` if there are none.
fn find_cooling_engines(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    mut cooling: Vec<(Duration, EngineName)>,
    now: ClockMillis,
) -> Option<CoolingEngines> {
    cooling.sort();
    let (shortest, _) = cooling.first()?;
    let available_at = now + *shortest;
    let availability = traffic.shared.availability();
    let is_adapter = requirements.key.is_some_and(|key| adapter_name(key).is_some());
    let mut others = table.ready_engines(requirements.service);
    let loadable_elsewhere = is_adapter
        && others.any(|entry| {
            !requirements.excluded.contains(&entry.name)
                && requirements.allows_software(entry)
                && availability.without_limit(entry) == EngineAvailability::Available
        });
    let engines = cooling.into_iter().map(|(_, engine)| engine).collect();
    Some(CoolingEngines { engines, available_at, loadable_elsewhere })
}

/// Retains the reachable engines.
///
/// An unreachable engine does not count as holding a model: the request waits, and the placer loads
/// another copy. Engines without models are retained if none is reachable.
fn retain_reachable(
    traffic: &TrafficState,
    requirements: &EngineRequirements<'_>,
    eligible: &mut Vec<EligibleEngine>,
    now: ClockMillis,
) {
    let pool = traffic.pool.borrow();
    let reachable = |eligible: &EligibleEngine| !pool.is_hall_unreachable(&eligible.entry, now);
    if requirements.key.is_some() {
        let avoided = |eligible: &EligibleEngine| {
            eligible.health.is_in_backoff(now)
                && !requirements.ignores_backoff.contains(&eligible.entry.name)
        };
        eligible.retain(|eligible| !avoided(eligible) && reachable(eligible));
    } else if eligible.iter().any(reachable) {
        eligible.retain(reachable);
    }
}

/// Returns the index of the best engine.
fn best_index(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    eligible: &[EligibleEngine],
    now: ClockMillis,
) -> Option<usize> {
    let by_first_event = uses_first_event(table, requirements.service);
    let shared = traffic.shared.shared_work();
    let ignores_reports = by_first_event && shared.is_stale(requirements.service, now);
    let candidates: Vec<EngineCandidate<'_>> = eligible
        .iter()
        .map(|eligible| {
            let reported = if ignores_reports {
                EngineWork::default()
            } else {
                shared.get(&eligible.entry.name)
            };
            let pending_tokens =
                reported.pending_prefill_tokens.max(eligible.local_work.pending_prefill_tokens);
            EngineCandidate {
                entry: &eligible.entry,
                health: &eligible.health,
                own_open: eligible.local_work.open,
                reported_open: reported.open,
                pending_prefill_time: traffic
                    .prefill_time_for(requirements.service, pending_tokens),
            }
        })
        .collect();
    drop(shared);
    if by_first_event {
        return choose_first_event(traffic, table, requirements, &candidates, now);
    }
    let hall = &traffic.shared.profile.hall;
    let tie_breaker = xxh3_64(requirements.id.as_bytes());
    let best = choose_engine(&candidates, hall, tie_breaker, table.hosts, now)?;
    if let Some(signal) = diverting_signal(&candidates, hall, tie_breaker, table.hosts, now) {
        traffic.shared.metrics.count_health_diversion(signal);
    }
    eligible.iter().position(|eligible| eligible.entry.name == best)
}

/// Orders engines with a limit by the length of this host's permit queue; equal queues by a hash,
/// so that hosts do not all wait for the same engine.
fn order_by_permit_time(
    traffic: &TrafficState,
    limited: Vec<EligibleEngine>,
    id: &str,
) -> Vec<Arc<EngineEntry>> {
    let limits = traffic.shared.limits();
    let mut entries: Vec<Arc<EngineEntry>> =
        limited.into_iter().map(|eligible| eligible.entry).collect();
    let hash =
        |entry: &EngineEntry| xxh3_64_with_seed(entry.name.as_bytes(), xxh3_64(id.as_bytes()));
    entries.sort_by(|left, right| {
        let queued = |entry: &EngineEntry| limits.queued_seconds(&entry.name);
        queued(left).total_cmp(&queued(right)).then_with(|| hash(left).cmp(&hash(right)))
    });
    entries
}

/// Returns whether this host's share of an engine's connections allows one more request.
fn allows_connection(
    traffic: &TrafficState,
    table: &ServingTable,
    entry: &EngineEntry,
    own_open: u32,
    now: ClockMillis,
) -> bool {
    let service = table.routes.as_ref().and_then(|routes| routes.service(&entry.service));
    let Some(service) = service.filter(|_| own_open > 0) else { return true };
    let work = traffic.shared.shared_work();
    let connections = ConnectionUse {
        limit: service.connection_limit,
        hosts: table.hosts,
        slots: entry.slots,
        own_open,
        reported_open: work.get(&entry.name).open,
        report_age: work.report_age(&entry.service, now),
    };
    drop(work);
    if service.hosting.is_none() {
        // Nobody reports the requests to plain services.
        return own_open < connections.equal_share();
    }
    let mut shares = traffic.connection_shares.borrow_mut();
    shares.entry(Arc::clone(&entry.name)).or_default().allows(&connections, now)
}

/// Whether an engine's copy of a model or adapter can serve a request.
enum CopyUsability {
    /// Usable, with the version to run if one is published.
    Usable(Option<WeightVersion>),
    /// Not usable.
    Unusable,
}

/// Returns whether an engine's copy of a model or adapter can serve requests.
///
/// A version older than the published one is used only for a limited time after the publication.
fn usable_copy(
    traffic: &TrafficState,
    table: &ServingTable,
    key: Option<&ModelKey>,
    engine: &EngineName,
    now: ClockMillis,
) -> CopyUsability {
    let Some(key) = key else { return CopyUsability::Usable(None) };
    let resident_version = match table.loaded_version(key, engine) {
        Some(resident_version) if !traffic.is_absent(engine, key) => resident_version,
        _ => return CopyUsability::Unusable,
    };
    let Some(published) = table.versions.get(key) else { return CopyUsability::Usable(None) };
    let usable =
        published.allows(resident_version, traffic.shared.profile.bounds.max_version_delay, now);
    if usable { CopyUsability::Usable(Some(resident_version)) } else { CopyUsability::Unusable }
}
