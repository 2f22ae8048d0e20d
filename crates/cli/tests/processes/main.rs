//! The whole system as separate processes, with real signals and cut sockets.

mod client;
mod site;

mod configuration;
mod promises;
mod serving;
