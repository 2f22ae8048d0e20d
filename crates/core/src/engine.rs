//! The owner's side of one engine: its fence, its adapters, its permits and its queue.
//!
//! One entry host at a time owns an engine. Only the owner lets requests go there and only the
//! owner orders loads and unloads, so the count of requests in progress and the decision to unload
//! stand in one place. A host with a permit talks to the engine itself; the owner is not on the
//! path of the bytes, and its death cuts no stream.
//!
//! An adapter is unloaded only while no permit for it is out *and* it is proven idle: by the
//! owner's own count, or after any doubt (a take-over, a holder that died, an exchange that broke)
//! by a report that the engine wrote after its fence was raised above every token in doubt.

mod controller;
mod info;
mod orders;
mod permits;
mod policy;
mod reports;
mod residency;
mod slots;

pub use controller::{ControllerOutput, EngineController, EngineTimes, TurnRequest};
pub use info::{
    EngineInfo, EngineOrder, EngineReport, OrderAction, OrderResult, ReportedAdapter,
    ReportedUnknownAdapter,
};
pub use policy::{AdapterUsage, FifoLruPolicy, LoadDemand, ResidencyPolicy, ValuePolicy};
pub use residency::Residency;
