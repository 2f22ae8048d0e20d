//! What the control thread believes, published whole for the traffic thread.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName, LoadedModel, ModelKey, ServiceName, WeightVersion,
        engine_choice::PublishedVersions, routes::RouteTable,
    },
};

/// Everything that a request's way is decided from.
#[derive(Debug, Clone, Default)]
pub struct ServingTable {
    /// The configuration in force; absent until one was read.
    pub routes: Option<Arc<RouteTable>>,
    /// The engines of each service, by name, leaving ones included.
    pub engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>>,
    /// Where each model and adapter is held, and in which version.
    pub copies: HashMap<ModelKey, Vec<(EngineName, WeightVersion)>>,
    /// The versions that the operator named.
    pub versions: HashMap<ModelKey, PublishedVersions>,
    /// When a queued adapter is expected, as its placer said last.
    pub estimates: HashMap<ModelKey, ClockMillis>,
    /// Whether the list of engines has been read.
    pub engines_known: bool,
    /// How many hosts the system has, at least one.
    pub hosts: u32,
}

impl ServingTable {
    /// Returns whether the host can serve at all.
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.engines_known
    }

    /// Returns the engines of a service that take new work.
    pub fn ready_engines(&self, service: &str) -> impl Iterator<Item = &Arc<EngineEntry>> {
        self.engines.get(service).into_iter().flatten().filter(|entry| !entry.leaving)
    }

    /// Returns whether an engine that was chosen from an earlier table still takes new work, in the same life.
    pub fn takes_work(&self, chosen: &EngineEntry) -> bool {
        let mut ready = self.ready_engines(&chosen.service);
        ready.any(|entry| entry.name == chosen.name && entry.is_incarnation(chosen.incarnation))
    }

    /// Returns whether an engine is listed for a service.
    pub fn serves(&self, service: &str, engine: &str) -> bool {
        self.engines.get(service).into_iter().flatten().any(|entry| &*entry.name == engine)
    }

    /// Returns the version in which an engine holds `key`, if it does.
    pub fn held_version(&self, key: &str, engine: &str) -> Option<WeightVersion> {
        let copies = self.copies.get(key)?;
        copies.iter().find(|(name, _)| &**name == engine).map(|(_, version)| *version)
    }
}

/// Gathers copies by key from what each engine holds.
pub fn copies_by_key(
    held: &BTreeMap<EngineName, Vec<LoadedModel>>,
) -> HashMap<ModelKey, Vec<(EngineName, WeightVersion)>> {
    let mut copies: HashMap<ModelKey, Vec<(EngineName, WeightVersion)>> = HashMap::new();
    for (engine, models) in held {
        for model in models {
            let copy = (Arc::clone(engine), model.version);
            copies.entry(Arc::clone(&model.key)).or_default().push(copy);
        }
    }
    copies
}
