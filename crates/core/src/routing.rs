//! Routing decisions: selects the engine for a request, as pure functions.

use crate::{
    id::{AdapterKey, EngineId, HallId},
    owner::{OwnedRole, rendezvous, role_key},
};

/// Penalty for an engine in another hall, in percentage points of fill.
const OTHER_HALL_PENALTY: u32 = 15;

/// Fill in percent, queue included, from which the adapter is replicated to another engine.
const REPLICATION_MIN_FILL: u32 = 150;

/// Fill in percent below which an engine may load a replica.
const REPLICA_FILL_LIMIT: u32 = 80;

/// An engine that is a candidate for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteCandidate {
    /// The engine.
    pub engine: EngineId,
    /// The engine's hall.
    pub hall: HallId,
    /// Estimated fill in percent, queue included.
    pub fill: u32,
}

/// The selected destination of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// An engine that holds the adapter.
    Holder(EngineId),
    /// The adapter's home engine, which loads it.
    Home(EngineId),
    /// Another engine, which loads a replica because the holders are full.
    Replica(EngineId),
}

/// Returns the holder with the lowest fill, with a penalty for other halls.
pub fn best_holder(
    holders: impl IntoIterator<Item = RouteCandidate>,
    own_hall: HallId,
) -> Option<RouteCandidate> {
    let cost = |candidate: &RouteCandidate| {
        let penalty = if candidate.hall == own_hall { 0 } else { OTHER_HALL_PENALTY };
        (candidate.fill + penalty, candidate.engine)
    };
    holders.into_iter().min_by_key(cost)
}

/// Returns the engine that loads an adapter that no engine holds. Hosts that know the same engines
/// return the same engine, so that one load serves all waiting requests.
pub fn adapter_home(
    adapter: AdapterKey,
    engines: impl IntoIterator<Item = EngineId>,
) -> Option<EngineId> {
    let id = (u64::from(adapter.adapter) << 32) | u64::from(adapter.version);
    rendezvous(role_key(OwnedRole::AdapterHome, id), engines)
}

/// Selects a holder, the adapter's home or an engine for a replica.
pub fn choose_route(
    adapter: AdapterKey,
    holders: &[RouteCandidate],
    engines: &[RouteCandidate],
    own_hall: HallId,
) -> Option<RouteChoice> {
    let Some(best) = best_holder(holders.iter().copied(), own_hall) else {
        let home = adapter_home(adapter, engines.iter().map(|candidate| candidate.engine));
        return home.map(RouteChoice::Home);
    };
    if best.fill < REPLICATION_MIN_FILL {
        return Some(RouteChoice::Holder(best.engine));
    }
    let holds = |engine| holders.iter().any(|holder| holder.engine == engine);
    let replica_targets = engines
        .iter()
        .filter(|candidate| candidate.fill < REPLICA_FILL_LIMIT && !holds(candidate.engine))
        .map(|candidate| candidate.engine);
    match adapter_home(adapter, replica_targets) {
        Some(engine) => Some(RouteChoice::Replica(engine)),
        None => Some(RouteChoice::Holder(best.engine)),
    }
}
