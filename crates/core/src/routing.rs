//! Where a request goes: the choice among engines, as pure functions.

use crate::{
    id::{AdapterKey, EngineId, HallId},
    owner::{OwnedRole, rendezvous, role_key},
};

/// What reaching another hall costs, in hundredths of an engine's fill.
const OTHER_HALL_PENALTY: u32 = 15;

/// An engine this full, in hundredths with its queue, has another one load the adapter too.
const REPLICATION_MIN_FILL: u32 = 150;

/// An engine less full than this takes a replica.
const REPLICA_FILL_LIMIT: u32 = 80;

/// An engine that a request could go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteCandidate {
    /// The engine.
    pub engine: EngineId,
    /// Its hall.
    pub hall: HallId,
    /// How full it is thought to be, in hundredths, its queue included.
    pub fill: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// To an engine that holds the adapter.
    Holder(EngineId),
    /// To the adapter's home, to be loaded there.
    Home(EngineId),
    /// To a further engine, which loads it too since the holders have no room.
    Replica(EngineId),
}

/// Picks the holder that is least full, its own hall's before others.
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

/// Picks the engine that loads an adapter which no engine holds, alike on every host that knows
/// the same engines, so that one load serves all who wait.
pub fn adapter_home(
    adapter: AdapterKey,
    engines: impl IntoIterator<Item = EngineId>,
) -> Option<EngineId> {
    let id = (u64::from(adapter.adapter) << 32) | u64::from(adapter.version);
    rendezvous(role_key(OwnedRole::AdapterHome, id), engines)
}

/// Chooses between the holders, the home, and a replica.
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
