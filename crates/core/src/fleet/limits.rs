//! Limits that engines name: how many requests a second an engine takes from all hosts together.
//!
//! An engine in need names its limit in its answers, for as long as it says so. One host, the ledger's, hears from all which
//! engines do and who wants to send something there, and grants single permits; the sum of all hosts stays at the limit, however
//! many they are and wherever requests arrive. [`limit`] is what one answer says, [`share`] what one host knows and may do,
//! [`ledger`] deals the permits, [`report`] is what they tell each other, [`bucket`] counts a rate, and [`events`] is what is logged.
//!
//! While the ledger is not heard, the one host that the group names for an engine permits itself half of the limit, and all
//! others send nothing there. A word holds until the same life of the engine answers without it: that its need is over shows by the
//! requests that are permitted, at least one in five seconds as soon as somebody wants to send one.

pub mod bucket;
mod engine_share;
pub mod events;
pub mod ledger;
pub mod limit;
pub mod report;
pub mod share;
