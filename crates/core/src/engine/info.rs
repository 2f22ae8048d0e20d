//! What is known of an engine from outside, and the orders it takes.

use crate::id::{AdapterKey, EngineId, FenceToken, HallId, Incarnation};

/// An engine as the platform's host list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineInfo {
    /// The engine.
    pub engine: EngineId,
    /// Its data hall.
    pub hall: HallId,
    /// Its service's name in the settings tree.
    pub service: String,
    /// Its address for requests and orders, as `ip:port`.
    pub address: String,
    /// How many adapters it can hold.
    pub slots: u32,
    /// How many requests it can run at once.
    pub streams: u32,
    /// Whether it refuses requests and orders whose token is lower than one it has accepted.
    pub checks_fence: bool,
    /// Its life, as the host list has it.
    pub incarnation: Incarnation,
}

/// What an engine says of itself; it comes with a lag, so its sequence counts, not its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Its life; a restart raises it.
    pub incarnation: Incarnation,
    /// Counts the engine's changes of state; the report shows the state right after this one.
    pub sequence: u64,
    /// The highest token it has accepted.
    pub token: FenceToken,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The adapters that it holds.
    pub adapters: Vec<ReportedAdapter>,
    /// The adapters that it is loading.
    pub loading: Vec<AdapterKey>,
    /// Names that it holds and that the settings tree does not know (any more).
    pub unknown_adapters: Vec<ReportedUnknownAdapter>,
}

/// An adapter that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedAdapter {
    /// The adapter.
    pub adapter: AdapterKey,
    /// How many requests run on it.
    pub running: u32,
}

/// An adapter that an engine holds and that the settings tree does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedUnknownAdapter {
    /// Its name at the engine.
    pub name: String,
    /// How many requests run on it.
    pub running: u32,
}

/// What an order does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Raises the fence to the order's token and does nothing else.
    RaiseFence,
    /// Loads an adapter into a free slot.
    Load(AdapterKey),
    /// Frees an adapter's slot.
    Unload(AdapterKey),
    /// Frees the slot of an adapter that the settings tree does not know.
    UnloadUnknown(String),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub engine: EngineId,
    /// The owner's token.
    pub token: FenceToken,
    /// What to do.
    pub action: OrderAction,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// Done; the engine's sequence right after it.
    Done {
        /// The engine's life.
        incarnation: Incarnation,
        /// Counts the engine's changes of state in this life.
        sequence: u64,
    },
    /// The engine has accepted a higher token than the order's.
    Fenced {
        /// That token.
        token: FenceToken,
    },
    /// The engine says that it did not work.
    Failed,
    /// No answer came; it may have taken effect, or do so later.
    NoAnswer,
    /// It never left: the connection was refused.
    NotSent,
}
