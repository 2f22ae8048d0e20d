//! Limits that engines name: how many requests a second an engine takes from all hosts together.
//!
//! An engine in need names its limit in its answers, for as long as it says so. [`limit`] is what one answer says, and
//! [`share`] what one host knows of all engines.

pub mod limit;
pub mod share;
