//! Quarantine for poison requests: requests that crash the engines that run them.
//!
//! When an engine crashes, all of its runs are lost, and any of them may be the cause. For each request that was
//! running there, every host counts the consecutive crashes since the request last completed. Hosts share these
//! counts ([`SuspectReport`]), so that a request is detected even if each attempt reaches another host. After
//! enough crashes all hosts reject the request for a time; then it is probed with one run. A completed run clears
//! it.
//!
//! [`mark`] identifies equal requests, [`tracker`] is one host's state.

mod completed_runs;
pub mod mark;
mod period;
mod report;
mod suspect;
pub mod tracker;

pub(crate) use period::QuarantinePeriod;

pub use mark::{RequestIdentity, RequestMark, format_mark};
pub use report::{ReportedCrash, SuspectReport};
pub use tracker::{CRASHES_UNTIL_QUARANTINED, InterruptedRun, QuarantineEvent, QuarantineTracker};

/// Identifies one incarnation of an engine, on all hosts alike.
pub type EngineIncarnationId = u64;

/// Returns the id of the incarnation that began at `born` by the engine's own clock; zero if that is unknown.
pub fn engine_incarnation_id(engine: &str, born: u64) -> EngineIncarnationId {
    xxhash_rust::xxh3::xxh3_64_with_seed(engine.as_bytes(), born)
}
