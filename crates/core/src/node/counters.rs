//! What a host counts.

use std::collections::BTreeMap;

use crate::request::RefusalKind;

/// Counts since the host's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Requests that arrived well formed.
    pub arrived: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused or broken off, by kind.
    pub refused: BTreeMap<RefusalKind, u64>,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that waited for a load.
    pub stalled: u64,
    /// Permits given by this host's engines.
    pub permits_granted: u64,
    /// Asks for permits that had to be repeated.
    pub asks_repeated: u64,
    /// Requests sent to a backend server again.
    pub retries: u64,
    /// Adapter loads ordered that ended.
    pub loads_ended: u64,
    /// Adapter loads that failed.
    pub loads_failed: u64,
    /// Take-overs of engines begun.
    pub takeovers: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Messages received from peers.
    pub messages_received: u64,
    /// Pauses of this process noticed.
    pub pauses: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Settings snapshots refused for their digest.
    pub snapshots_refused: u64,
}
