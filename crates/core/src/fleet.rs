//! State that an entry host keeps about engines and routes, and the decisions that it bases on it.
//!
//! These types are for engines that run their own admission: they queue, refuse and fence requests
//! themselves, so that a request needs no permit from an owner.
//!
//! - [`admission`]: adaptive load shedding for plain services
//! - [`announcement`]: what engines announce in response headers
//! - [`cold_start`]: whether a request waits for its adapter to load
//! - [`cold_decision`]: the same where clients have little time to retry
//! - [`concurrency_limit`]: limit of open requests while the host itself is overloaded
//! - [`cooldown`]: engines that accept no requests from this host for a while
//! - [`departures`]: engines that announced that they are leaving
//! - [`engine_choice`]: the engine that a request is sent to
//! - [`engine_links`]: whether this host can connect to engines
//! - [`engine_pace`]: recent speed of engines
//! - [`first_event`]: choice of an engine by the expected time to the first event
//! - [`freshness`]: until when keys are accepted without a confirmed configuration
//! - [`health`]: engine health from the outcomes of this host's requests
//! - [`host_load`]: use of the host's own processor, link and descriptors
//! - [`limits`]: request rate limits declared by engines
//! - [`prefill_speed`]: prefill throughput of a service's engines
//! - [`priority_admission`]: which requests are admitted when capacity is short
//! - [`prompt`]: prompt metadata of a request
//! - [`quarantine`]: requests held back because engines ended while running them
//! - [`queue_admission`]: whether a request joins an engine's queue
//! - [`reachability`]: reachability of data halls
//! - [`resume_wait`]: whether an interrupted stream waits for an engine
//! - [`retry_share`]: this host's share of the retry budget
//! - [`routes`]: routes and services of the configuration
//! - [`stale_listing`]: engine entries from a store that was restored from an older copy
//! - [`state_verification`]: whether a host may lack records that a restore of the store has lost
//! - [`stream_origins`]: the software versions that began streams
//! - [`tunnel_hosts`]: hosts through which an isolated host reaches engines
//! - [`work`]: open requests and pending prefill of an engine

use std::{net::SocketAddr, sync::Arc};

pub mod admission;
pub mod announcement;
pub mod cold_decision;
pub mod cold_start;
pub mod concurrency_limit;
pub mod connection_share;
pub mod cooldown;
pub mod departures;
pub mod engine_choice;
pub mod engine_links;
pub mod engine_pace;
pub mod first_event;
pub mod freshness;
pub mod health;
pub mod host_load;
pub mod limits;
pub mod prefill_speed;
pub mod priority_admission;
pub mod prompt;
pub mod quarantine;
pub mod queue_admission;
pub mod reachability;
pub mod resume_wait;
pub mod retry_share;
pub mod routes;
pub mod service_limit;
pub mod service_share;
pub mod stale_listing;
pub mod state_verification;
pub mod stream_origins;
pub mod tunnel_hosts;
pub mod work;

/// Name of an engine. A restarted engine may keep its name; [`EngineEntry::incarnation`]
/// distinguishes its incarnations.
pub type EngineName = Arc<str>;

/// Identifies an incarnation of an engine by its start time on the engine's own clock. Unit:
/// milliseconds since 1970.
pub type EngineIncarnation = u64;

/// The incarnation of an engine that does not report its start time.
pub const UNKNOWN_INCARNATION: EngineIncarnation = 0;

/// Returns whether two values identify the same incarnation; an unknown one matches any.
pub const fn is_same_incarnation(one: EngineIncarnation, other: EngineIncarnation) -> bool {
    one == other || one == UNKNOWN_INCARNATION || other == UNKNOWN_INCARNATION
}

/// Name of a service.
pub type ServiceName = Arc<str>;

/// Name of a data hall.
pub type HallName = Arc<str>;

/// Key of a base model, or of an adapter as `MODEL/ADAPTER`.
pub type ModelKey = Arc<str>;

/// Version of the weights of a model or adapter; versions of one key only increase.
pub type WeightVersion = u64;

/// Version of the software that an engine runs, as opposed to that of its weights; empty if it states
/// none. What engines of different software versions write of one stream does not fit together.
pub type SoftwareVersion = Arc<str>;

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

/// A model or adapter that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The base model or adapter.
    pub key: ModelKey,
    /// The version of its weights.
    pub version: WeightVersion,
}

/// An engine's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEntry {
    /// The engine's name.
    pub name: EngineName,
    /// Its incarnation, or [`UNKNOWN_INCARNATION`].
    pub incarnation: EngineIncarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The data hall that it runs in.
    pub hall: HallName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Number of orders that it had accepted.
    pub sequence: u64,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// The models and adapters that it had loaded.
    pub loaded_models: Vec<LoadedModel>,
}

impl EngineEntry {
    /// Returns whether this entry belongs to `incarnation`; an unknown one matches any.
    pub const fn is_incarnation(&self, incarnation: EngineIncarnation) -> bool {
        is_same_incarnation(self.incarnation, incarnation)
    }
}
