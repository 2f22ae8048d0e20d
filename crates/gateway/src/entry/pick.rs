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

use crate::{entry::TrafficState, gate::GateVerdict, table::ServingTable};

/// Where a request may go.
#[derive(Debug, Clone)]
pub enum EnginePick {
    /// To this engine, on this version of its adapter where one was named.
    Engine(Arc<EngineEntry>, Option<WeightVersion>),
    /// To one of these once there is a permit, the one first whose turn comes soonest: they have named a limit, and no other
    /// engine can take it.
    Limited(Vec<Arc<EngineEntry>>),
    /// To none yet: those that could run it want no requests from this host for a while.
    Cooling(CoolingHolders),
    /// To none yet: no engine holds what it names.
    Cold,
    /// To none: the service has no engine that takes new work.
    Nowhere,
}

/// Engines that could run a request, but want none from this host for a while.
#[derive(Debug, Clone)]
pub struct CoolingHolders {
    /// The engines, the one first that is expected to take requests soonest.
    pub engines: Vec<EngineName>,
    /// When the first of them is expected to take requests again.
    pub until: ClockMillis,
    /// Whether another engine could load what the request names.
    pub loadable: bool,
}

/// What a request needs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineNeed<'request> {
    /// The service.
    pub service: &'request str,
    /// What it must hold.
    pub key: Option<&'request ModelKey>,
    /// Engines that are not to be asked again.
    pub excluded: &'request [EngineName],
    /// The request's id, which spreads equal choices.
    pub id: &'request str,
    /// Whether it has waited for a permit.
    pub wanted: PermitUse,
}

/// An engine that could take a request.
struct AbleEngine {
    entry: Arc<EngineEntry>,
    version: Option<WeightVersion>,
    condition: EngineHealth,
    own: EngineWork,
    /// Whether its limit lets this host send something there now.
    permitted: bool,
}

/// Returns the engine for a request.
pub fn pick_engine(traffic: &TrafficState, need: &EngineNeed<'_>) -> EnginePick {
    let (table, now) = (traffic.table(), traffic.now());
    let ready = table.ready_engines(need.service).next().is_some();
    let (mut able, cooling) = able_engines(traffic, &table, need, now);
    keep_reached(traffic, need.key.is_some(), &mut able, now);
    if !able.is_empty() && !cooling.is_empty() {
        traffic.shared.metrics.cooldown_diverted.inc();
    }
    if able.is_empty() {
        if let Some(holders) = cooling_holders(traffic, &table, need, cooling, now) {
            return EnginePick::Cooling(holders);
        }
        let cold = ready && need.key.is_some();
        return if cold { EnginePick::Cold } else { EnginePick::Nowhere };
    }
    let newest = able.iter().map(|able| able.version).max().flatten();
    able.retain(|able| able.version == newest);
    let Some(preferred) = best_of(traffic, &table, need, &able, now) else {
        return EnginePick::Nowhere;
    };
    if !able[preferred].permitted {
        // It goes elsewhere where it can; that it would have gone there brings a permit for the next one.
        traffic.shared.limits().record_diversion(&able[preferred].entry.name, now);
        let (permitted, limited): (Vec<_>, Vec<_>) =
            able.into_iter().partition(|able| able.permitted);
        able = permitted;
        let Some(best) = best_of(traffic, &table, need, &able, now) else {
            return EnginePick::Limited(by_turn(traffic, limited));
        };
        traffic.shared.metrics.limit_diverted.inc();
        return picked(&able[best]);
    }
    picked(&able[preferred])
}

fn picked(able: &AbleEngine) -> EnginePick {
    EnginePick::Engine(Arc::clone(&able.entry), able.version)
}

/// Returns the engines that take new work and hold what is needed, and those that do but for a cooldown, with the time until
/// they are expected to take requests again.
fn able_engines(
    traffic: &TrafficState,
    table: &ServingTable,
    need: &EngineNeed<'_>,
    now: ClockMillis,
) -> (Vec<AbleEngine>, Vec<(Duration, EngineName)>) {
    let most = connection_share(table, need.service);
    let mut gate = traffic.shared.gate();
    let (mut able, mut cooling) = (Vec::new(), Vec::new());
    for entry in table.ready_engines(need.service) {
        if need.excluded.contains(&entry.name) {
            continue;
        }
        let copy = usable_copy(traffic, table, need.key, &entry.name, now);
        let CopyUse::Usable(version) = copy else { continue };
        let (condition, own) = traffic.pool.borrow().view(&entry.name);
        if own.open < most {
            let permitted = match gate.verdict(entry, need.wanted) {
                GateVerdict::Open => true,
                GateVerdict::Limited => false,
                GateVerdict::Departing => continue,
                GateVerdict::Cooling(time) => {
                    cooling.push((time, Arc::clone(&entry.name)));
                    continue;
                }
            };
            able.push(AbleEngine { entry: Arc::clone(entry), version, condition, own, permitted });
        }
    }
    (able, cooling)
}

/// Returns the engines that could run a request but for a cooldown, if there are any.
fn cooling_holders(
    traffic: &TrafficState,
    table: &ServingTable,
    need: &EngineNeed<'_>,
    mut cooling: Vec<(Duration, EngineName)>,
    now: ClockMillis,
) -> Option<CoolingHolders> {
    cooling.sort();
    let (soonest, _) = cooling.first()?;
    let until = now + *soonest;
    let gate = traffic.shared.gate();
    let is_adapter = need.key.is_some_and(|key| adapter_name(key).is_some());
    let mut others = table.ready_engines(need.service);
    let loadable = is_adapter
        && others.any(|entry| {
            !need.excluded.contains(&entry.name) && gate.own_verdict(entry) == GateVerdict::Open
        });
    let engines = cooling.into_iter().map(|(_, engine)| engine).collect();
    Some(CoolingHolders { engines, until, loadable })
}

/// Keeps the engines that can be reached.
///
/// Who can not be reached does not count as a holder: the placer is told that a request waits, and loads another copy. An engine
/// without models is tried all the same where there is no other.
fn keep_reached(traffic: &TrafficState, holds: bool, able: &mut Vec<AbleEngine>, now: ClockMillis) {
    let pool = traffic.pool.borrow();
    let reached = |able: &AbleEngine| !pool.is_out_of_reach(&able.entry, now);
    if holds {
        able.retain(|able| !able.condition.is_in_backoff(now) && reached(able));
    } else if able.iter().any(reached) {
        able.retain(reached);
    }
}

/// Returns the place of the best engine.
fn best_of(
    traffic: &TrafficState,
    table: &ServingTable,
    need: &EngineNeed<'_>,
    able: &[AbleEngine],
    now: ClockMillis,
) -> Option<usize> {
    let shared = traffic.shared.shared_work();
    let candidates: Vec<EngineCandidate<'_>> = able
        .iter()
        .map(|able| {
            let told = shared.at(&able.entry.name);
            let unread = told.pending_prefill_tokens.max(able.own.pending_prefill_tokens);
            EngineCandidate {
                entry: &able.entry,
                health: &able.condition,
                own_open: able.own.open,
                reported_open: told.open,
                pending_prefill_time: traffic.reading_time(need.service, unread),
            }
        })
        .collect();
    drop(shared);
    let hall = &traffic.shared.profile.hall;
    let best = choose_engine(&candidates, hall, xxh3_64(need.id.as_bytes()), table.hosts, now)?;
    able.iter().position(|able| able.entry.name == best)
}

/// Returns engines that have named a limit by the time at which this host's next request may go there.
fn by_turn(traffic: &TrafficState, limited: Vec<AbleEngine>) -> Vec<Arc<EngineEntry>> {
    let limits = traffic.shared.limits();
    let mut entries: Vec<Arc<EngineEntry>> = limited.into_iter().map(|able| able.entry).collect();
    entries.sort_by(|left, right| {
        limits.queued_seconds(&left.name).total_cmp(&limits.queued_seconds(&right.name))
    });
    entries
}

/// Returns this host's share of the connections that an engine takes.
fn connection_share(table: &ServingTable, service: &str) -> u32 {
    let service = table.routes.as_ref().and_then(|routes| routes.service(service));
    let most = service.map_or(u32::MAX, |service| service.connection_limit);
    (most / table.hosts.max(1)).max(1)
}

/// Whether an engine can serve what a request names.
enum CopyUse {
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
) -> CopyUse {
    let Some(key) = key else { return CopyUse::Usable(None) };
    let held = match table.held_version(key, engine) {
        Some(held) if !traffic.is_absent(engine, key) => held,
        _ => return CopyUse::Unusable,
    };
    let Some(named) = table.versions.get(key) else { return CopyUse::Usable(None) };
    let usable = named.allows(held, traffic.shared.profile.bounds.max_version_delay, now);
    if usable { CopyUse::Usable(Some(held)) } else { CopyUse::Unusable }
}
