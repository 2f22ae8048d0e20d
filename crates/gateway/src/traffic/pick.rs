//! Where a request goes: the engines that may run it now, and the best of them.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, ModelKey, WeightVersion, adapter_name,
        engine_choice::{EngineCandidate, choose_engine},
        health::EngineHealth,
        limits::share::PermitUse,
        work::EngineWork,
    },
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{availability::EngineAvailability, table::ServingTable, traffic::TrafficState};

/// Where a request may go.
#[derive(Debug, Clone)]
pub enum EnginePick {
    /// To this engine, on this version of its adapter where one was named.
    Engine(Arc<EngineEntry>, Option<WeightVersion>),
    /// To one of these once there is a permit, the one first whose turn comes soonest: they have named a limit, and no other
    /// engine can take it.
    Limited(Vec<Arc<EngineEntry>>),
    /// To none yet: those that could run it want no requests from this host for a while.
    Cooling(CoolingEngines),
    /// To none yet: no engine holds what it names.
    ColdStart,
    /// To none: the service has no engine that takes new work.
    Unavailable,
}

/// Engines that could run a request, but want none from this host for a while.
#[derive(Debug, Clone)]
pub struct CoolingEngines {
    /// The engines, the one first that is expected to take requests soonest.
    pub engines: Vec<EngineName>,
    /// When the first of them is expected to take requests again.
    pub available_at: ClockMillis,
    /// Whether another engine could load what the request names.
    pub loadable_elsewhere: bool,
}

/// What a request needs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequirements<'request> {
    /// The service.
    pub service: &'request str,
    /// What it must hold.
    pub key: Option<&'request ModelKey>,
    /// Engines that are not to be asked again.
    pub excluded: &'request [EngineName],
    /// The request's id, which spreads equal choices.
    pub id: &'request str,
    /// Whether it has waited for a permit.
    pub permit_use: PermitUse,
}

/// An engine that could take a request.
struct EligibleEngine {
    entry: Arc<EngineEntry>,
    version: Option<WeightVersion>,
    health: EngineHealth,
    local_work: EngineWork,
    /// Whether its limit lets this host send something there now.
    permitted: bool,
}

/// Returns the engine for a request.
pub fn pick_engine(traffic: &TrafficState, requirements: &EngineRequirements<'_>) -> EnginePick {
    let (table, now) = (traffic.table(), traffic.now());
    let ready = table.ready_engines(requirements.service).next().is_some();
    let (mut eligible, cooling) = eligible_engines(traffic, &table, requirements, now);
    retain_reachable(traffic, requirements.key.is_some(), &mut eligible, now);
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
        // It goes elsewhere where it can; that it would have gone there brings a permit for the next one.
        traffic.shared.limits().wish(&eligible[preferred].entry.name, now);
        let (permitted, limited): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|eligible| eligible.permitted);
        eligible = permitted;
        let Some(best) = best_index(traffic, &table, requirements, &eligible, now) else {
            return EnginePick::Limited(order_by_permit_time(traffic, limited));
        };
        traffic.shared.metrics.limit_diverted.inc();
        return to_pick(&eligible[best]);
    }
    to_pick(&eligible[preferred])
}

fn to_pick(eligible: &EligibleEngine) -> EnginePick {
    EnginePick::Engine(Arc::clone(&eligible.entry), eligible.version)
}

/// Returns the engines that take new work and hold what is needed, and those that do but for a cooldown, with the time until
/// they are expected to take requests again.
fn eligible_engines(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    now: ClockMillis,
) -> (Vec<EligibleEngine>, Vec<(Duration, EngineName)>) {
    let limit = connection_share(table, requirements.service);
    let mut availability = traffic.shared.availability();
    let (mut eligible, mut cooling) = (Vec::new(), Vec::new());
    for entry in table.ready_engines(requirements.service) {
        if requirements.excluded.contains(&entry.name) {
            continue;
        }
        let copy = usable_copy(traffic, table, requirements.key, &entry.name, now);
        let CopyUsability::Usable(version) = copy else { continue };
        let (health, local_work) = traffic.pool.borrow().health_and_work(&entry.name);
        if local_work.open < limit {
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

/// Returns the engines that could run a request but for a cooldown, if there are any.
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
                && availability.without_limit(entry) == EngineAvailability::Available
        });
    let engines = cooling.into_iter().map(|(_, engine)| engine).collect();
    Some(CoolingEngines { engines, available_at, loadable_elsewhere })
}

/// Keeps the engines that can be reached.
///
/// Who can not be reached does not count as a holder: the placer is told that a request waits, and loads another copy. An engine
/// without models is tried all the same where there is no other.
fn retain_reachable(
    traffic: &TrafficState,
    needs_copy: bool,
    eligible: &mut Vec<EligibleEngine>,
    now: ClockMillis,
) {
    let pool = traffic.pool.borrow();
    let reachable = |eligible: &EligibleEngine| !pool.is_hall_unreachable(&eligible.entry, now);
    if needs_copy {
        eligible.retain(|eligible| !eligible.health.is_in_backoff(now) && reachable(eligible));
    } else if eligible.iter().any(reachable) {
        eligible.retain(reachable);
    }
}

/// Returns the place of the best engine.
fn best_index(
    traffic: &TrafficState,
    table: &ServingTable,
    requirements: &EngineRequirements<'_>,
    eligible: &[EligibleEngine],
    now: ClockMillis,
) -> Option<usize> {
    let shared = traffic.shared.shared_work();
    let candidates: Vec<EngineCandidate<'_>> = eligible
        .iter()
        .map(|eligible| {
            let reported = shared.at(&eligible.entry.name);
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
    let hall = &traffic.shared.profile.hall;
    let best =
        choose_engine(&candidates, hall, xxh3_64(requirements.id.as_bytes()), table.hosts, now)?;
    eligible.iter().position(|eligible| eligible.entry.name == best)
}

/// Returns engines that have named a limit by the time at which this host's next request may go there.
fn order_by_permit_time(
    traffic: &TrafficState,
    limited: Vec<EligibleEngine>,
) -> Vec<Arc<EngineEntry>> {
    let limits = traffic.shared.limits();
    let mut entries: Vec<Arc<EngineEntry>> =
        limited.into_iter().map(|eligible| eligible.entry).collect();
    entries.sort_by(|left, right| limits.queue(&left.name).total_cmp(&limits.queue(&right.name)));
    entries
}

/// Returns this host's share of the connections that an engine takes.
fn connection_share(table: &ServingTable, service: &str) -> u32 {
    let service = table.routes.as_ref().and_then(|routes| routes.service(service));
    let limit = service.map_or(u32::MAX, |service| service.connection_limit);
    (limit / table.hosts.max(1)).max(1)
}

/// Whether an engine can serve what a request names.
enum CopyUsability {
    /// It can, on this version where the operator named one.
    Usable(Option<WeightVersion>),
    /// It can not.
    Unusable,
}

/// Returns whether an engine can serve a key.
///
/// An older version than the named one is used only for a part of the time that the operator gives.
fn usable_copy(
    traffic: &TrafficState,
    table: &ServingTable,
    key: Option<&ModelKey>,
    engine: &EngineName,
    now: ClockMillis,
) -> CopyUsability {
    let Some(key) = key else { return CopyUsability::Usable(None) };
    let resident_version = match table.held_version(key, engine) {
        Some(resident_version) if !traffic.is_absent(engine, key) => resident_version,
        _ => return CopyUsability::Unusable,
    };
    let Some(published) = table.versions.get(key) else { return CopyUsability::Usable(None) };
    let usable =
        published.allows(resident_version, traffic.shared.profile.bounds.version_apply, now);
    if usable { CopyUsability::Usable(Some(resident_version)) } else { CopyUsability::Unusable }
}
