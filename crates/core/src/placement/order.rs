//! Orders to engines, and what engines say to them.

use std::sync::Arc;

use crate::fleet::{EngineEntry, ModelKey, WeightVersion};

/// Numbers the orders of one planner.
pub type OrderId = u64;

/// What an order asks an engine for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or adapter, or replace its version.
    Load {
        /// Whether the weight store is needed for it.
        from_store: bool,
    },
    /// Drop an adapter or model.
    Unload,
}

impl OrderKind {
    /// Returns whether the order is a load from the weight store.
    pub const fn loads_from_store(self) -> bool {
        matches!(self, Self::Load { from_store: true })
    }
}

/// One order.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The order's number.
    pub id: OrderId,
    /// The engine that it goes to.
    pub engine: Arc<EngineEntry>,
    /// What it asks for.
    pub kind: OrderKind,
    /// The model or adapter.
    pub key: ModelKey,
    /// The version to load, where one was named.
    pub version: Option<WeightVersion>,
    /// The number of orders that the engine must have taken before.
    pub expected_sequence: u64,
    /// What the load was worth when it was picked.
    pub value: f64,
    /// Requests that waited for it.
    pub waiting: u32,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already, or was done at once.
    Done,
    /// Another order is under way, or its count of orders is another.
    Conflict,
    /// It has seen a later holder's token.
    Fenced,
    /// Another engine has the address.
    OtherEngine,
    /// It does not accept such an order.
    Rejected,
    /// No connection came about, so that nothing was sent.
    NotSent,
    /// No answer: the order may have been taken, or may be carried out later.
    Unknown,
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAction {
    /// Send an order.
    SendOrder(PlannedOrder),
    /// Ask an engine for a report.
    RequestReport(Arc<EngineEntry>),
}
