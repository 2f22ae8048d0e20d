//! Tests of the whole system as separate processes, with real signals and closed sockets.

mod client;
mod site;

mod broken_responses;
mod configuration;
mod promises;
mod serving;
