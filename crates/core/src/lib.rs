//! The decisions of reelreel as a plain library.
//!
//! Nothing in here reads a socket, starts a thread or asks for the time. A [`NodeCore`] takes one
//! [`NodeEvent`] at a time together with the clock reading at which it happened, and writes the
//! [`NodeAction`]s that follow from it. Everything that must always hold is decided here, so that a
//! test can place any fault between any two events.
//!
//! The crate is read best in this order: [`request`] for what callers ask and what they are told,
//! [`settings`] for what operators publish, [`engine`] for the owner's side of one engine, and
//! [`node`] for how a host joins them.

pub mod chart;
pub mod claim;
pub mod clock;
pub mod engine;
pub mod fleet;
pub mod gossip;
pub mod id;
pub mod limit;
pub mod load;
pub mod member;
pub mod message;
pub mod node;
pub mod organisation;
pub mod owner;
pub mod placement;
pub mod popularity;
pub mod position;
pub mod request;
pub mod routing;
pub mod settings;
pub mod timeline;

pub use clock::{ClockMillis, ClockSource, ManualClock, MonotonicClock};
pub use node::{NodeAction, NodeConfig, NodeCore, NodeEvent};
pub use position::StorePosition;
pub use request::{CallerOutcome, RefusalKind, RequestRefusal};
