//! Claims of idempotency keys: the first claim of a key in the platform's log wins.
//!
//! A claim is never transferred. Only the request that holds it may run, even if its host was
//! paused meanwhile, so claims need no failure detection.

mod tracker;
mod table;

pub use table::{ClaimItem, ClaimRecord, ClaimTable, DecidedClaim};
pub use tracker::{ClaimTracker, ClaimVerdict, TrackedClaim};
