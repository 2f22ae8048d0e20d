//! Request limits that engines declare: how many requests per second an engine accepts from all hosts together.
//!
//! A brittle engine also limits how many requests are open at a time: hosts report what they have open, and the ledger
//! grants permits for the rest of the room.
//!
//! An engine declares its limit in its responses for as long as the limit applies. One host, the coordinator, keeps
//! the ledger: it receives all declarations and every host's demand, and grants single permits, so that the total
//! over all hosts stays at the limit wherever requests arrive.
//!
//! - [`limit`] is what one response declares,
//! - [`share`] is one host's view of the limits and the permits it holds,
//! - [`ledger`] grants the permits,
//! - [`report`] has the messages between hosts and the ledger,
//! - [`bucket`] is the token bucket,
//! - [`open_room`] is the room of an engine that limits its open requests,
//! - [`events`] is what is logged.
//!
//! While the ledger is unreachable, one fallback host per engine sends at half of the limit, and all other hosts
//! send nothing there. A declaration holds until the same incarnation of the engine responds without one. The end
//! of a limit is detected by the permitted requests: at least one in five seconds while there is demand.

pub mod bucket;
mod engine_share;
pub mod events;
pub mod ledger;
pub mod limit;
pub mod open_room;
pub mod report;
pub mod share;
