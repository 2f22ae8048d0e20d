//! One reelreel host on a platform whose engines do their own admission control.
//!
//! The traffic thread ([`traffic`], [`engines`]) serves requests; the control thread ([`control`],
//! [`store`], [`peers`]) maintains the host's state. On every change the control thread publishes a
//! complete [`table::ServingTable`], and the traffic thread routes each request by the latest one.
//! The message formats of clients, engines and the store are behind the traits of [`codec`].

pub mod codec;
pub mod call;
pub mod control;
pub mod demand;
pub mod engines;
pub mod traffic;
pub mod events;
pub mod availability;
pub mod host;
pub mod links;
pub mod metrics;
pub mod peers;
pub mod profile;
pub mod store;
pub mod table;
pub mod timer;
