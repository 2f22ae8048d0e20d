//! A fake entry host: its core, its queued inputs and its open exchanges.

use std::collections::{BTreeMap, VecDeque};

use reelreel_core::{
    NodeCore, NodeEvent,
    id::{HallId, HostId, RequestId},
    node::{LogStream, RequestDispatch},
};

/// A request that a traffic thread has sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct OpenExchange {
    pub(crate) backend: u32,
    pub(crate) run: Option<usize>,
    pub(crate) first_token_received: bool,
}

/// An input of a host; queued while the host is frozen.
#[derive(Debug, Clone)]
pub(crate) enum HostInput {
    /// An event for the control thread.
    Event(NodeEvent),
    /// A request that a traffic thread is about to write to a backend server.
    Send(RequestDispatch),
}

/// A fake entry host.
pub(crate) struct FakeHost {
    pub(crate) host: HostId,
    pub(crate) hall: HallId,
    pub(crate) core: Option<NodeCore>,
    pub(crate) generation: u64,
    /// The incarnation that the core and the request IDs use.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    pub(crate) queued_inputs: VecDeque<HostInput>,
    pub(crate) exchanges: BTreeMap<RequestId, OpenExchange>,
    pub(crate) read_offsets: BTreeMap<LogStream, u64>,
    pub(crate) host_list_version: usize,
    /// The offset of its wall clock, in milliseconds.
    pub(crate) wall_skew: i64,
    /// The number of active faults that drop messages from its peers.
    pub(crate) inbound_blocked: u32,
    /// The number of active faults that drop messages to its peers.
    pub(crate) outbound_blocked: u32,
    pub(crate) request_count: u32,
    pub(crate) drained: bool,
    pub(crate) last_revision: u64,
    /// The highest revision that it had applied before its last start.
    pub(crate) highest_past_revision: u64,
}

impl FakeHost {
    pub(crate) fn new(host: HostId, hall: HallId) -> Self {
        Self {
            host,
            hall,
            core: None,
            generation: 0,
            incarnation: 0,
            frozen: false,
            queued_inputs: VecDeque::new(),
            exchanges: BTreeMap::new(),
            read_offsets: BTreeMap::new(),
            host_list_version: 0,
            wall_skew: 0,
            inbound_blocked: 0,
            outbound_blocked: 0,
            request_count: 0,
            drained: false,
            last_revision: 0,
            highest_past_revision: 0,
        }
    }

    /// Returns whether it processes inputs.
    pub(crate) const fn is_running(&self) -> bool {
        self.core.is_some() && !self.frozen
    }
}
