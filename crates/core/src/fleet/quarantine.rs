//! Requests under which engines end, and how they are kept from ending more of them.
//!
//! An engine that ends takes all of its runs with it, and one of them may be why. Each host counts, for each request that it had
//! there, the ends one after the other since the request last ran whole; hosts add up what they count
//! ([`SuspectReport`]), so that a request which comes to another host each time is known all the same. After some ends it is held back on
//! all hosts for a time, and then tried once. A whole run clears it.
//!
//! [`mark`] says when two requests are the same, [`book`] what one host knows.

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

/// Names one life of an engine, on every host alike.
pub type EngineIncarnationId = u64;

/// Returns the life of an engine that began at `born` by the engine's own clock; zero where it does not say.
pub fn engine_incarnation_id(engine: &str, born: u64) -> EngineIncarnationId {
    xxhash_rust::xxh3::xxh3_64_with_seed(engine.as_bytes(), born)
}
