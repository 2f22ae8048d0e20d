//! An entry host around its core: what waits for it, and what its traffic threads do.

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

/// What comes to a host, and waits while it is frozen.
#[derive(Debug, Clone)]
pub(crate) enum HostInput {
    /// For the control thread.
    Event(NodeEvent),
    /// A traffic thread is about to write a request to a backend server.
    Send(RequestDispatch),
}

/// An entry host.
pub(crate) struct FakeHost {
    pub(crate) host: HostId,
    pub(crate) hall: HallId,
    pub(crate) core: Option<NodeCore>,
    pub(crate) generation: u64,
    /// The life as the core and the request ids have it.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    pub(crate) queued_inputs: VecDeque<HostInput>,
    pub(crate) exchanges: BTreeMap<RequestId, OpenExchange>,
    pub(crate) read_offsets: BTreeMap<LogStream, u64>,
    pub(crate) host_list_version: usize,
    /// Milliseconds that its wall clock is off.
    pub(crate) wall_skew: i64,
    /// Peers' messages to it are lost.
    pub(crate) inbound_blocked: u32,
    /// Its messages to peers are lost.
    pub(crate) outbound_blocked: u32,
    pub(crate) request_count: u32,
    pub(crate) drained: bool,
    pub(crate) last_revision: u64,
    /// The highest revision it had in an earlier life.
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

    /// Says whether it does anything when something comes.
    pub(crate) const fn is_running(&self) -> bool {
        self.core.is_some() && !self.frozen
    }
}
