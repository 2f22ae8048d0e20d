//! The decision logic of reelreel, free of I/O.
//!
//! The crate opens no sockets, starts no threads and reads no clock on its own. A [`NodeCore`]
//! handles one [`NodeEvent`] at a time, together with the clock reading at which it happened, and
//! returns the resulting [`NodeOrder`]s. All invariants are enforced here, so that a test can
//! inject any fault between any two events.
//!
//! Start reading with [`request`] (requests and their outcomes), then [`settings`] (what operators
//! publish), [`engine`] (the state that an owner keeps for one engine) and [`node`] (how a host
//! combines them).

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
pub use node::{NodeConfig, NodeCore, NodeEvent, NodeOrder};
pub use position::StorePosition;
pub use request::{CallerOutcome, RefusalKind, RequestRefusal};
