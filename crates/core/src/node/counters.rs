//! Counters of a host.

use std::collections::BTreeMap;

use crate::request::RefusalKind;

/// Counters since the host's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeCounters {
    /// Well-formed requests that arrived.
    pub arrived: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused or interrupted, by kind.
    pub refused: BTreeMap<RefusalKind, u64>,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that waited for a load.
    pub stalled: u64,
    /// Permits granted for this host's engines.
    pub permits_granted: u64,
    /// Permit asks repeated because no answer came or the owner changed.
    pub asks_repeated: u64,
    /// Requests retried after an interrupted exchange.
    pub retries: u64,
    /// Adapter loads that ended, including failed ones.
    pub loads_ended: u64,
    /// Adapter loads that failed.
    pub loads_failed: u64,
    /// Engine take-overs begun.
    pub takeovers: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Messages received from peers.
    pub messages_received: u64,
    /// Detected pauses of the process.
    pub pauses: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Settings snapshots refused as invalid.
    pub snapshots_refused: u64,
}
