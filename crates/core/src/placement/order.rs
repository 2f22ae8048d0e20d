//! Orders to engines and their answers.

use std::sync::Arc;

use crate::fleet::{EngineEntry, ModelKey, WeightVersion};

/// Identifies an order of one planner.
pub type OrderId = u64;

/// Action that an order requests from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads a model or adapter, or replaces its version.
    Load {
        /// Whether the weights come from the weight store.
        from_store: bool,
    },
    /// Drops a model or adapter.
    Unload,
}

impl OrderKind {
    /// Returns whether the order is a load from the weight store.
    pub const fn loads_from_store(self) -> bool {
        matches!(self, Self::Load { from_store: true })
    }
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// Identifier of the order.
    pub id: OrderId,
    /// Engine that the order is sent to.
    pub engine: Arc<EngineEntry>,
    /// Requested action.
    pub kind: OrderKind,
    /// Model or adapter.
    pub key: ModelKey,
    /// Version to load, if the operator named one.
    pub version: Option<WeightVersion>,
    /// Number of orders that the engine must have taken before this one.
    pub expected_sequence: u64,
    /// Value of the load when it was planned.
    pub value: f64,
    /// Number of requests that waited for the load when it was planned.
    pub waiting: u32,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine executes the order.
    Accepted,
    /// The requested state already holds or was reached immediately.
    Done,
    /// Another order is in progress, or the sequence number does not match.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another engine uses the address.
    OtherEngine,
    /// The engine does not support the order.
    Rejected,
    /// No connection was established, so nothing was sent.
    NotSent,
    /// No answer arrived. The engine may have taken the order or may execute it later.
    Unknown,
}

impl OrderAnswer {
    /// Returns whether a duplicate of this answer does no harm if it is taken for the answer to a further order:
    /// answers to orders do not name their order.
    ///
    /// After an unload that was done at once, an unload that is still in progress must not count as done:
    /// the engine would be ordered to load more than it can hold. Other mistakes show by the sequence
    /// number that orders expect.
    pub const fn may_precede(self, next: OrderKind) -> bool {
        match self {
            Self::Accepted => true,
            Self::Done => matches!(next, OrderKind::Load { .. }),
            Self::Conflict
            | Self::Fenced
            | Self::OtherEngine
            | Self::Rejected
            | Self::NotSent
            | Self::Unknown => false,
        }
    }
}

/// Action that the planner requests from its host.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAction {
    /// Sends an order.
    SendOrder(PlannedOrder),
    /// Requests a report from an engine.
    RequestReport(Arc<EngineEntry>),
}
