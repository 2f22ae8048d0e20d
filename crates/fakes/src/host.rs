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
    pub(crate) life: u64,
    /// The life as the core and the request ids have it.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    pub(crate) waiting: VecDeque<HostInput>,
    pub(crate) exchanges: BTreeMap<RequestId, OpenExchange>,
    pub(crate) follows: BTreeMap<LogStream, u64>,
    pub(crate) hosts_version: usize,
    /// Milliseconds that its wall clock is off.
    pub(crate) wall_skew: i64,
    /// Peers' messages to it are lost.
    pub(crate) deaf: u32,
    /// Its messages to peers are lost.
    pub(crate) mute: u32,
    pub(crate) counter: u32,
    pub(crate) drained: bool,
    pub(crate) last_revision: u64,
    /// The highest revision it had in an earlier life.
    pub(crate) best_revision: u64,
}

impl FakeHost {
    pub(crate) fn new(host: HostId, hall: HallId) -> Self {
        Self {
            host,
            hall,
            core: None,
            life: 0,
            incarnation: 0,
            frozen: false,
            waiting: VecDeque::new(),
            exchanges: BTreeMap::new(),
            follows: BTreeMap::new(),
            hosts_version: 0,
            wall_skew: 0,
            deaf: 0,
            mute: 0,
            counter: 0,
            drained: false,
            last_revision: 0,
            best_revision: 0,
        }
    }

    /// Says whether it does anything when something comes.
    pub(crate) const fn runs(&self) -> bool {
        self.core.is_some() && !self.frozen
    }
}
