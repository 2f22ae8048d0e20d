//! Quarantine for poison requests: requests that crash the engines that run them.
//!
//! When an engine crashes, all of its runs are lost, and any of them may be the cause: by itself, or by something
//! that it has in common with others. For each trait ([`RequestTrait`]) of the runs that were lost, every host counts
//! the consecutive crashes since a request with that trait last succeeded. Hosts share these counts
//! ([`SuspectReport`]), so that a trait is detected even if each request with it reaches another host. After enough
//! crashes all hosts reject requests with the trait for a time; then it is probed with one run. A success clears it.
//!
//! The traits of a request are the request itself, which succeeds when it completes, and the parts of its prompt but
//! the last, which succeed when an answer begins. A run that has begun to answer is no evidence against the parts.
//!
//! [`traits`] and [`mark`] identify traits, [`tracker`] is one host's state.

mod crash_history;
pub mod mark;
mod period;
mod recent_successes;
mod report;
mod suspect;
pub mod tracker;
pub mod traits;

pub(crate) use period::QuarantinePeriod;

pub use mark::{RequestIdentity, RequestMark, format_mark};
pub use report::{ReportedCrash, SuspectReport};
pub use tracker::{
    CRASHES_UNTIL_QUARANTINED, InterruptedRun, QuarantineEvent, QuarantineThresholds,
    QuarantineTracker, QuarantinedTrait,
};
pub use traits::{RequestTrait, RequestTraits, TraitKind, TraitMark};

/// Identifies one incarnation of an engine, on all hosts alike.
pub type EngineIncarnationId = u64;

/// Returns the id of the incarnation that began at `born` by the engine's own clock; zero if that is unknown.
pub fn engine_incarnation_id(engine: &str, born: u64) -> EngineIncarnationId {
    xxhash_rust::xxh3::xxh3_64_with_seed(engine.as_bytes(), born)
}
