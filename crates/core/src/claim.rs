//! Claims of idempotency keys: the first claim of a key in the platform's log wins.
//!
//! A claim is never handed on. A holder that was paused and wakes is still the only one that may
//! run its request, so nobody needs to know whether it is alive.

mod tracker;
mod table;

pub use table::{ClaimItem, ClaimRecord, ClaimTable, DecidedClaim};
pub use tracker::{ClaimTracker, ClaimVerdict, TrackedClaim};
