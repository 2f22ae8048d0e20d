//! Compact messages for engine entries that hosts relay.
//!
//! Hundreds of engines share services, data halls and base models, so a frame has each name once
//! and its messages refer to them by index.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use reelreel_core::StorePosition;
use reelreel_core::fleet::{
    ADAPTER_SEPARATOR, EngineEntry, EngineName, LoadedModel, ModelKey, SoftwareVersion,
    adapter_name, base_model,
};

/// A change of an engine's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineUpdate {
    /// The engine.
    pub name: EngineName,
    /// Position of the change in the topic.
    pub position: StorePosition,
    /// The entry; absent when it was removed.
    pub entry: Option<EngineEntry>,
    /// Whether it was removed because a snapshot up to `position` lacks it, as opposed to a deletion of its key there.
    pub unlisted: bool,
}

/// An engine's entry; without an address, its removal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineEntryMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Position of the change in the topic.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The IPv4 address for requests and orders.
    #[prost(fixed32, optional, tag = "3")]
    pub address: Option<u32>,
    /// The port for requests and orders.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// The service, as an index into the frame's names.
    #[prost(uint32, tag = "5")]
    pub service: u32,
    /// The data hall, as an index into the frame's names.
    #[prost(uint32, tag = "6")]
    pub hall: u32,
    /// Maximum number of concurrent requests.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether the engine is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Number of orders that the engine has accepted.
    #[prost(uint64, tag = "9")]
    pub sequence: u64,
    /// The models that the engine has loaded.
    #[prost(message, repeated, tag = "10")]
    pub loaded_models: Vec<ListedModelMessage>,
    /// The engine's incarnation: its start time by its own clock; zero if unknown. Unit: milliseconds since the Unix epoch.
    #[prost(uint64, tag = "11")]
    pub incarnation: u64,
    /// The era of the store in which the entry was read.
    #[prost(uint64, tag = "12")]
    pub era: u64,
    /// Whether the entry was removed because a snapshot up to `offset` lacks it.
    #[prost(bool, tag = "13")]
    pub unlisted: bool,
    /// The version of the engine's software, as an index into the frame's names.
    #[prost(uint32, optional, tag = "14")]
    pub software: Option<u32>,
}

impl EngineEntryMessage {
    const fn position(&self) -> StorePosition {
        StorePosition { era: self.era, offset: self.offset }
    }
}

/// A model or adapter that an engine has loaded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ListedModelMessage {
    /// The base model, as an index into the frame's names.
    #[prost(uint32, tag = "1")]
    pub base: u32,
    /// The adapter; empty for the base model itself.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// The version of the weights.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// The names of a frame, in order of their first use.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<String>,
    indexes: HashMap<String, u32>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.indexes.insert(name.to_owned(), index);
        index
    }
}

/// Encodes entries; returns the names that they refer to, and their messages.
///
/// Engines without an IPv4 address are skipped.
pub fn encode_engines(updates: &[EngineUpdate]) -> (Vec<String>, Vec<EngineEntryMessage>) {
    let mut names = NameTable::default();
    let messages = updates.iter().filter_map(|update| encode_engine(update, &mut names)).collect();
    (names.names, messages)
}

fn encode_engine(update: &EngineUpdate, names: &mut NameTable) -> Option<EngineEntryMessage> {
    let removed = EngineEntryMessage {
        engine: update.name.to_string(),
        offset: update.position.offset,
        era: update.position.era,
        unlisted: update.unlisted,
        ..EngineEntryMessage::default()
    };
    let Some(entry) = &update.entry else { return Some(removed) };
    let SocketAddr::V4(address) = entry.address else {
        log::warn!("engine {} has no IPv4 address; its entry is not relayed", update.name);
        return None;
    };
    let loaded_models = entry.loaded_models.iter().map(|model| ListedModelMessage {
        base: names.index(base_model(&model.key)),
        adapter: adapter_name(&model.key).unwrap_or_default().to_owned(),
        version: model.version,
    });
    let loaded_models = loaded_models.collect();
    Some(EngineEntryMessage {
        address: Some(address.ip().to_bits()),
        port: u32::from(address.port()),
        service: names.index(&entry.service),
        hall: names.index(&entry.hall),
        slots: entry.slots,
        leaving: entry.leaving,
        sequence: entry.sequence,
        software: (!entry.software.is_empty()).then(|| names.index(&entry.software)),
        loaded_models,
        incarnation: entry.incarnation,
        ..removed
    })
}

/// Decodes entries; a message that is malformed or refers to a name which the frame lacks is skipped.
pub fn decode_engines(names: &[String], messages: &[EngineEntryMessage]) -> Vec<EngineUpdate> {
    let names: Vec<Arc<str>> = names.iter().map(|name| Arc::from(name.as_str())).collect();
    let decoded = messages.iter().filter_map(|message| {
        let update = decode_engine(&names, message);
        if update.is_none() {
            log::warn!("skipping malformed entry of engine {} from a peer", message.engine);
        }
        update
    });
    decoded.collect()
}

fn decode_engine(names: &[Arc<str>], message: &EngineEntryMessage) -> Option<EngineUpdate> {
    let name = |index: u32| names.get(usize::try_from(index).ok()?).map(Arc::clone);
    let engine = EngineName::from(message.engine.as_str());
    let Some(bits) = message.address else {
        let (position, unlisted) = (message.position(), message.unlisted);
        return Some(EngineUpdate { name: engine, position, entry: None, unlisted });
    };
    let port = u16::try_from(message.port).ok()?;
    let loaded_models: Option<Vec<LoadedModel>> = message
        .loaded_models
        .iter()
        .map(|model| {
            let base = name(model.base)?;
            let key = model_key(&base, &model.adapter);
            Some(LoadedModel { key, version: model.version })
        })
        .collect();
    let software = match message.software {
        Some(index) => name(index)?,
        None => SoftwareVersion::default(),
    };
    let entry = EngineEntry {
        name: Arc::clone(&engine),
        incarnation: message.incarnation,
        service: name(message.service)?,
        address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from_bits(bits), port)),
        hall: name(message.hall)?,
        slots: message.slots,
        leaving: message.leaving,
        sequence: message.sequence,
        software,
        loaded_models: loaded_models?,
    };
    let (position, entry) = (message.position(), Some(entry));
    Some(EngineUpdate { name: engine, position, entry, unlisted: false })
}

fn model_key(base: &ModelKey, adapter: &str) -> ModelKey {
    if adapter.is_empty() {
        return Arc::clone(base);
    }
    Arc::from(format!("{base}{ADAPTER_SEPARATOR}{adapter}"))
}
