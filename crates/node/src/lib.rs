//! The entry host: one control thread around the decision core, and the borders around it.
//!
//! Callers, backend servers, the platform and peers each have a border of their own threads. They
//! hand what they see to the control thread as [`NodeEvent`](reelreel_core::NodeEvent)s and carry
//! out the orders that come back; they decide nothing. What is particular to one outside system
//! stands in one module per border.

pub mod clients;
pub mod callers;
pub mod control;
pub mod entry;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod settings;

pub use entry::EntryHost;
pub use settings::NodeSettings;
