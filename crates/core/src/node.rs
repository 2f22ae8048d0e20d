//! The decision core of one entry host: turns events into actions.
//!
//! The I/O layer passes each event and the current time to [`NodeCore::handle`] and carries out the
//! actions it returns. The core performs no I/O and never blocks; results arrive as later events.

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
mod load_scheduler;

pub use backends::ServerId;
pub use config::{NodeConfig, NodeTimes};
pub use counters::NodeCounters;
pub use event::{
    AppendResult, ClockReading, DispatchResult, HostEntry, HostKind, HostListChange, LogStream,
    MAX_DISPATCH_DELAY, NodeAction, NodeEvent, NotRunReason, RequestDispatch, ServerInfo,
};
pub use state::NodeCore;
pub use status::{EngineStatus, MemberStatus, NodeStatus};
