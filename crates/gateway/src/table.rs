//! The serving table, which the control thread publishes for the traffic thread.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use reelreel_core::{
    fleet::{
        EngineEntry, EngineName, LoadedModel, ModelKey, ServiceName, WeightVersion,
        engine_choice::PublishedVersions, routes::RouteTable,
    },
    placement::LoadSchedule,
};

/// Everything by which requests are routed.
#[derive(Debug, Clone, Default)]
pub struct ServingTable {
    /// The configuration in force; absent until one was read.
    pub routes: Option<Arc<RouteTable>>,
    /// The engines of each service by name, including those that are leaving.
    pub engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>>,
    /// The engines that have loaded each model and adapter, with the version.
    pub copies: HashMap<ModelKey, Vec<(EngineName, WeightVersion)>>,
    /// The versions that the operator published.
    pub versions: HashMap<ModelKey, PublishedVersions>,
    /// When requested adapters are expected to be loaded, according to their placer.
    pub estimates: HashMap<ModelKey, LoadSchedule>,
    /// Whether the list of engines has been read.
    pub engines_known: bool,
    /// Estimated number of hosts, at least one.
    pub hosts: u32,
}

impl ServingTable {
    /// Returns whether the host can serve at all.
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.engines_known
    }

    /// Returns whether the configuration leaves refused clients little time to retry.
    pub fn has_tight_timeouts(&self) -> bool {
        self.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts())
    }

    /// Returns the engines of a service that accept new requests.
    pub fn ready_engines(&self, service: &str) -> impl Iterator<Item = &Arc<EngineEntry>> {
        self.engines.get(service).into_iter().flatten().filter(|entry| !entry.leaving)
    }

    /// Returns whether an engine chosen from an earlier table still accepts new requests, in the
    /// same incarnation.
    pub fn accepts_work(&self, chosen: &EngineEntry) -> bool {
        let mut ready = self.ready_engines(&chosen.service);
        ready.any(|entry| entry.name == chosen.name && entry.is_incarnation(chosen.incarnation))
    }

    /// Returns whether an engine is listed for a service.
    pub fn serves(&self, service: &str, engine: &str) -> bool {
        self.engines.get(service).into_iter().flatten().any(|entry| &*entry.name == engine)
    }

    /// Returns the version of `key` that an engine has loaded.
    pub fn loaded_version(&self, key: &str, engine: &str) -> Option<WeightVersion> {
        let copies = self.copies.get(key)?;
        copies.iter().find(|(name, _)| &**name == engine).map(|(_, version)| *version)
    }
}

/// Groups what the engines have loaded by key.
pub fn copies_by_key(
    loaded_models: &BTreeMap<EngineName, Vec<LoadedModel>>,
) -> HashMap<ModelKey, Vec<(EngineName, WeightVersion)>> {
    let mut copies: HashMap<ModelKey, Vec<(EngineName, WeightVersion)>> = HashMap::new();
    for (engine, models) in loaded_models {
        for model in models {
            let copy = (Arc::clone(engine), model.version);
            copies.entry(Arc::clone(&model.key)).or_default().push(copy);
        }
    }
    copies
}
