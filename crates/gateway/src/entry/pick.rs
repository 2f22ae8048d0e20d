//! Where a request goes: the engines that may run it now, and the best of them.

use std::sync::Arc;

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, ModelKey, WeightVersion,
        choice::{EngineCandidate, best_engine},
    },
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{entry::TrafficState, table::ServingTable};

/// Where a request may go.
#[derive(Debug, Clone)]
pub enum EnginePick {
    /// To this engine, on this version of its adapter where one was named.
    Engine(Arc<EngineEntry>, Option<WeightVersion>),
    /// To none yet: no engine holds what it names.
    Cold,
    /// To none: the service has no engine that takes new work.
    Nowhere,
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
}

/// Returns the engine for a request.
pub fn pick_engine(traffic: &TrafficState, need: &EngineNeed<'_>) -> EnginePick {
    let (table, now) = (traffic.table(), traffic.now());
    let most = connection_share(&table, need.service);
    let mut ready = false;
    let mut able = Vec::new();
    for entry in table.ready_engines(need.service) {
        ready = true;
        if need.excluded.contains(&entry.name) {
            continue;
        }
        let copy = usable_copy(traffic, &table, need.key, &entry.name, now);
        let CopyUse::Usable(version) = copy else { continue };
        let (condition, own) = traffic.pool.borrow().view(&entry.name);
        if own.open < most {
            able.push((entry, version, condition, own));
        }
    }
    if need.key.is_some() {
        // Who can not be reached does not count as a holder: the placer is told that a request
        // waits, and loads another copy.
        let pool = traffic.pool.borrow();
        able.retain(|(entry, _, condition, _)| {
            !condition.is_resting(now) && !pool.is_out_of_reach(entry, now)
        });
    } else {
        let pool = traffic.pool.borrow();
        let reached = |entry: &EngineEntry| !pool.is_out_of_reach(entry, now);
        if able.iter().any(|(entry, ..)| reached(entry)) {
            able.retain(|(entry, ..)| reached(entry));
        }
    }
    if able.is_empty() {
        let cold = ready && need.key.is_some();
        return if cold { EnginePick::Cold } else { EnginePick::Nowhere };
    }
    let newest = able.iter().map(|(_, version, _, _)| *version).max().flatten();
    let shared = traffic.shared.shared_work();
    let candidates: Vec<EngineCandidate<'_>> = able
        .iter()
        .filter(|(_, version, _, _)| *version == newest)
        .map(|(entry, _, condition, own)| {
            let told = shared.at(&entry.name);
            let unread = told.unread.max(own.unread);
            EngineCandidate {
                entry,
                condition,
                open: own.open,
                told: told.open,
                reading: traffic.reading_time(need.service, unread),
            }
        })
        .collect();
    drop(shared);
    let hall = &traffic.shared.profile.hall;
    let best = best_engine(&candidates, hall, xxh3_64(need.id.as_bytes()), table.hosts, now);
    let chosen = best.and_then(|best| able.iter().find(|(entry, ..)| entry.name == best));
    chosen.map_or(EnginePick::Nowhere, |(entry, version, _, _)| {
        EnginePick::Engine(Arc::clone(entry), *version)
    })
}

/// Returns this host's share of the connections that an engine takes.
fn connection_share(table: &ServingTable, service: &str) -> u32 {
    let service = table.routes.as_ref().and_then(|routes| routes.service(service));
    let most = service.map_or(u32::MAX, |service| service.most_connections);
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
    let usable = named.allows(held, traffic.shared.profile.bounds.version_apply, now);
    if usable { CopyUse::Usable(Some(held)) } else { CopyUse::Unusable }
}
