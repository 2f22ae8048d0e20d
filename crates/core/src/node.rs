//! One entry host: its decision core, from events to orders.
//!
//! [`NodeCore::handle`] is the only way in. A border hands it an event and the time, and carries
//! out the orders it gets back. The core never waits; what it waits for comes as an event.

mod arrivals;
mod config;
mod counters;
mod dispatch;
mod event;
mod inbox;
mod log;
mod open_request;
mod ownership;
mod membership;
mod permits;
mod state;
mod status;
mod backends;
mod timers;
mod store_turns;

pub use backends::ServerId;
pub use config::{NodeConfig, NodeTimes};
pub use counters::NodeCounters;
pub use event::{
    AppendResult, ClockReading, DispatchResult, HostEntry, HostKind, HostListChange, LogStream,
    MAX_DISPATCH_DELAY, NodeAction, NodeEvent, NotRunReason, RequestDispatch, ServerInfo,
};
pub use state::NodeCore;
pub use status::{EngineStatus, MemberStatus, NodeStatus};
