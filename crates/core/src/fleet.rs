//! What an entry host knows of the engines and routes that it serves, and how it chooses.
//!
//! The types here hold for engines that admit requests by themselves: they queue, refuse and fence
//! on their own, so that a request needs no permit of an owner. [`routes`] says where a request may
//! go, [`engine_choice`] which engine it is sent to,
//! [`cold_start`] whether it waits for its adapter, [`queue_admission`] whether it joins an engine's queue, [`health`] what the host's own requests tell about
//! an engine, [`announcement`] what engines announce in their responses, [`departures`] which of them are leaving,
//! [`cooldown`] which of them want no requests from this host for a while, [`freshness`] until when keys may be served, [`limits`] how many requests a second engines say that they take, [`quarantine`] which requests are held back since engines ended under them, [`reachability`] what its connections tell about a data hall, [`stale_listing`] whether a listing of a store that came back older is believed, and [`retry_share`] how often it
//! may be sent again.

use std::{net::SocketAddr, sync::Arc};

pub mod admission;
pub mod announcement;
pub mod engine_choice;
pub mod cold_start;
pub mod health;
pub mod cooldown;
pub mod departures;
pub mod freshness;
pub mod limits;
pub mod prompt;
pub mod quarantine;
pub mod queue_admission;
pub mod reachability;
pub mod prefill_speed;
pub mod stale_listing;
pub mod retry_share;
pub mod routes;
pub mod work;

/// Names an engine. One that starts again may have the name that it had; its [`EngineEntry::incarnation`] tells its lives apart.
pub type EngineName = Arc<str>;

/// When a life of an engine began, by its own clock; only equal or not counts.
pub type EngineIncarnation = u64;

/// The birth of an engine that does not say when it began.
pub const UNKNOWN_INCARNATION: EngineIncarnation = 0;

/// Returns whether two births are of one life, as far as both are told.
pub const fn is_same_incarnation(one: EngineIncarnation, other: EngineIncarnation) -> bool {
    one == other || one == UNKNOWN_INCARNATION || other == UNKNOWN_INCARNATION
}

/// Names a service.
pub type ServiceName = Arc<str>;

/// Names a data hall.
pub type HallName = Arc<str>;

/// Names a base model, or an adapter of one as `MODEL/ADAPTER`.
pub type ModelKey = Arc<str>;

/// A version of a model's or adapter's weights; versions of one key only rise.
pub type WeightVersion = u64;

/// Separates a base model from its adapter in a [`ModelKey`].
pub const ADAPTER_SEPARATOR: char = '/';

/// Returns the base model of a key.
pub fn base_model(key: &str) -> &str {
    key.split(ADAPTER_SEPARATOR).next().unwrap_or(key)
}

/// Returns the adapter of a key, if it names one.
pub fn adapter_name(key: &str) -> Option<&str> {
    key.split_once(ADAPTER_SEPARATOR).map(|(_, adapter)| adapter)
}

/// Something that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The base model or adapter.
    pub key: ModelKey,
    /// The version of its weights.
    pub version: WeightVersion,
}

/// One engine as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// The engine.
    pub name: EngineName,
    /// When this life of it began, by its own clock; zero where it does not say. Unit: milliseconds since 1970.
    pub incarnation: EngineIncarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// The data hall that it stands in.
    pub hall: HallName,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// How many orders it had taken.
    pub sequence: u64,
    /// What it held.
    pub loaded_models: Vec<LoadedModel>,
}

impl EngineEntry {
    /// Returns whether a life that began at `incarnation` is this one, as far as both say when they began.
    pub const fn is_incarnation(&self, incarnation: EngineIncarnation) -> bool {
        is_same_incarnation(self.incarnation, incarnation)
    }
}
