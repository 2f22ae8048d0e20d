//! Control of one engine by its owner: the fence, the adapters, the permits and the queue.
//!
//! One entry host at a time owns an engine. Only the owner grants permits for requests and orders
//! loads and unloads, so the count of requests in progress and the decision to unload are made in
//! one place. A host with a permit talks to the engine directly: the owner does not forward any
//! data, and its failure interrupts no stream.
//!
//! An adapter is unloaded only while no permit for it is in use *and* it is proven idle. The
//! owner's count of permits proves this until it becomes uncertain (after a take-over, the loss of
//! a permit holder or an interrupted exchange). From then on, proof takes a report that the engine
//! wrote after its fence was raised above every token under which uncounted requests may have been
//! sent.

mod controller;
mod info;
mod orders;
mod permits;
mod policy;
mod reports;
mod residency;
mod slots;

pub use controller::{ControllerOutput, EngineController, EngineTimes, TurnMessage};
pub use info::{
    EngineInfo, EngineOrder, EngineReport, OrderAction, OrderResult, ReportedAdapter,
    ReportedUnknownAdapter,
};
pub use policy::{AdapterUsage, FifoLruPolicy, LoadDemand, ResidencyPolicy, ValuePolicy};
pub use residency::Residency;
