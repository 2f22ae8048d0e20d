//! One host of reelreel on a platform whose engines admit requests by themselves.
//!
//! One thread carries the traffic ([`entry`], [`engines`]), one keeps what the host believes
//! ([`control`], [`store`], [`peers`]). The second publishes a whole [`table::ServingTable`]
//! whenever something changed; the first decides each request from the newest one. What is spoken
//! with clients, engines and the store is behind the traits of [`codec`].

pub mod codec;
pub mod call;
pub mod control;
pub mod demand;
pub mod engines;
pub mod entry;
pub mod events;
pub mod gate;
pub mod host;
pub mod metrics;
pub mod peers;
pub mod profile;
pub mod store;
pub mod table;
pub mod timer;
