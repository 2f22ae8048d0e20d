//! Host-list entries and reports of engines, and the orders sent to them.

use crate::id::{AdapterKey, EngineId, FenceToken, HallId, Incarnation};

/// An engine as given in the platform's host list.
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
    /// The number of adapters that it can hold.
    pub slots: u32,
    /// The number of requests that it can run at once.
    pub streams: u32,
    /// Whether it refuses requests and orders with a token lower than one it has accepted.
    pub checks_fence: bool,
    /// Its incarnation according to the host list.
    pub incarnation: Incarnation,
}

/// An engine's report on its own state.
///
/// Reports arrive late and out of order; they are ordered by their sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Its incarnation; a restart raises it.
    pub incarnation: Incarnation,
    /// The number of the engine's last change of state that the report reflects.
    pub sequence: u64,
    /// The highest token it has accepted.
    pub token: FenceToken,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The adapters that it holds.
    pub adapters: Vec<ReportedAdapter>,
    /// The adapters that it is loading.
    pub loading: Vec<AdapterKey>,
    /// The adapters it holds that are not, or no longer, in the settings tree.
    pub unknown_adapters: Vec<ReportedUnknownAdapter>,
}

/// An adapter that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedAdapter {
    /// The adapter.
    pub adapter: AdapterKey,
    /// The number of requests running on it.
    pub running: u32,
}

/// An adapter that an engine holds and that is not in the settings tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedUnknownAdapter {
    /// Its name at the engine.
    pub name: String,
    /// The number of requests running on it.
    pub running: u32,
}

/// The action of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Raises the fence to the order's token.
    RaiseFence,
    /// Loads an adapter into a free slot.
    Load(AdapterKey),
    /// Unloads an adapter.
    Unload(AdapterKey),
    /// Unloads an adapter that is not in the settings tree, by its name at the engine.
    UnloadUnknown(String),
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub engine: EngineId,
    /// The owner's token.
    pub token: FenceToken,
    /// The action.
    pub action: OrderAction,
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The order was carried out.
    Done {
        /// The engine's incarnation.
        incarnation: Incarnation,
        /// The engine's sequence right after the order.
        sequence: u64,
    },
    /// The engine has accepted a higher token than the order's.
    Fenced {
        /// That token.
        token: FenceToken,
    },
    /// The engine reported that the order failed.
    Failed,
    /// No answer arrived; the order may have taken effect or may still do so.
    NoAnswer,
    /// The order was not sent: no connection was established.
    NotSent,
}
