//! The entry host process: a control thread that runs the decision core, and its I/O threads.
//!
//! Callers, backend servers, the platform and peers are each served by their own threads. These
//! send [`NodeEvent`](reelreel_core::NodeEvent)s to the control thread and execute the actions that
//! it returns; they make no decisions. Protocol details of an external system are confined to one
//! module.

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
