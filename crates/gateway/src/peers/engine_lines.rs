//! Engines' entries as hosts pass them on: a seventh of the bytes that an engine writes of itself.
//!
//! Services, data halls and base models are the same for hundreds of engines, so a frame names each once
//! and its lines refer to them by place.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use reelreel_core::StorePosition;
use reelreel_core::fleet::{
    ADAPTER_SEPARATOR, EngineEntry, EngineName, LoadedModel, ModelKey, adapter_name, base_model,
};

/// What became of an engine's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineUpdate {
    /// The engine.
    pub name: EngineName,
    /// The place of the entry in its topic.
    pub position: StorePosition,
    /// The entry; absent when it is gone.
    pub entry: Option<EngineEntry>,
    /// Whether it is gone since everything up to `position` was read and lacks it; otherwise its key was dropped there.
    pub unlisted: bool,
}

/// An engine's entry; without an address it is gone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineRecordLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The place of the entry in its topic.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The address where the engine takes requests and orders.
    #[prost(fixed32, optional, tag = "3")]
    pub address: Option<u32>,
    /// The port of that address.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// The service, by its place among the frame's names.
    #[prost(uint32, tag = "5")]
    pub service: u32,
    /// The data hall, by its place among the frame's names.
    #[prost(uint32, tag = "6")]
    pub hall: u32,
    /// How many requests it runs at a time.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// How many orders it had taken.
    #[prost(uint64, tag = "9")]
    pub sequence: u64,
    /// What it held.
    #[prost(message, repeated, tag = "10")]
    pub held: Vec<HeldRecordLine>,
    /// When this life of the engine began, by its own clock; zero where it does not say. Unit: milliseconds since 1970.
    #[prost(uint64, tag = "11")]
    pub born: u64,
    /// The era of the store in which the entry was read.
    #[prost(uint64, tag = "12")]
    pub era: u64,
    /// Whether the entry is gone since everything up to its place was read and lacks it.
    #[prost(bool, tag = "13")]
    pub unlisted: bool,
}

impl EngineRecordLine {
    const fn position(&self) -> StorePosition {
        StorePosition { era: self.era, offset: self.offset }
    }
}

/// Something that an engine held.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldRecordLine {
    /// The base model, by its place among the frame's names.
    #[prost(uint32, tag = "1")]
    pub base: u32,
    /// The adapter; empty for the base model itself.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Its version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// The names of a frame in the order in which they were first needed.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<String>,
    places: HashMap<String, u32>,
}

impl NameTable {
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }
}

/// Writes entries; returns the names that they refer to, and their lines.
///
/// An engine at an address that is not of the fourth version of the protocol is left out: engines have none.
pub fn write_engines(updates: &[EngineUpdate]) -> (Vec<String>, Vec<EngineRecordLine>) {
    let mut names = NameTable::default();
    let lines = updates.iter().filter_map(|update| write_engine(update, &mut names)).collect();
    (names.names, lines)
}

fn write_engine(update: &EngineUpdate, names: &mut NameTable) -> Option<EngineRecordLine> {
    let gone = EngineRecordLine {
        engine: update.name.to_string(),
        offset: update.position.offset,
        era: update.position.era,
        unlisted: update.unlisted,
        ..EngineRecordLine::default()
    };
    let Some(entry) = &update.entry else { return Some(gone) };
    let SocketAddr::V4(address) = entry.address else {
        log::warn!("engine {} has no address of IPv4; it is not passed on", update.name);
        return None;
    };
    let held = entry.loaded_models.iter().map(|held| HeldRecordLine {
        base: names.place(base_model(&held.key)),
        adapter: adapter_name(&held.key).unwrap_or_default().to_owned(),
        version: held.version,
    });
    let held = held.collect();
    Some(EngineRecordLine {
        address: Some(address.ip().to_bits()),
        port: u32::from(address.port()),
        service: names.place(&entry.service),
        hall: names.place(&entry.hall),
        slots: entry.slots,
        leaving: entry.leaving,
        sequence: entry.sequence,
        held,
        born: entry.incarnation,
        ..gone
    })
}

/// Reads entries; a line that refers to a name which the frame lacks is passed over.
pub fn read_engines(names: &[String], lines: &[EngineRecordLine]) -> Vec<EngineUpdate> {
    let names: Vec<Arc<str>> = names.iter().map(|name| Arc::from(name.as_str())).collect();
    let read = lines.iter().filter_map(|line| {
        let update = read_engine(&names, line);
        if update.is_none() {
            log::warn!(
                "a peer's entry of engine {} can not be read; it is passed over",
                line.engine
            );
        }
        update
    });
    read.collect()
}

fn read_engine(names: &[Arc<str>], line: &EngineRecordLine) -> Option<EngineUpdate> {
    let name = |place: u32| names.get(usize::try_from(place).ok()?).map(Arc::clone);
    let engine = EngineName::from(line.engine.as_str());
    let Some(bits) = line.address else {
        let (position, unlisted) = (line.position(), line.unlisted);
        return Some(EngineUpdate { name: engine, position, entry: None, unlisted });
    };
    let port = u16::try_from(line.port).ok()?;
    let held: Option<Vec<LoadedModel>> = line
        .held
        .iter()
        .map(|held| {
            let base = name(held.base)?;
            let key = held_key(&base, &held.adapter);
            Some(LoadedModel { key, version: held.version })
        })
        .collect();
    let entry = EngineEntry {
        name: Arc::clone(&engine),
        incarnation: line.born,
        service: name(line.service)?,
        address: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from_bits(bits), port)),
        hall: name(line.hall)?,
        slots: line.slots,
        leaving: line.leaving,
        sequence: line.sequence,
        loaded_models: held?,
    };
    let (position, entry) = (line.position(), Some(entry));
    Some(EngineUpdate { name: engine, position, entry, unlisted: false })
}

fn held_key(base: &ModelKey, adapter: &str) -> ModelKey {
    if adapter.is_empty() {
        return Arc::clone(base);
    }
    Arc::from(format!("{base}{ADAPTER_SEPARATOR}{adapter}"))
}
