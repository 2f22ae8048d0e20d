//! What comes next, in the order of its time.

use reelreel_core::{
    clock::HybridTimestamp,
    engine::EngineOrder,
    id::{EngineId, HallId, HostId, RequestId},
    message::PeerMessage,
    node::LogStream,
};

use crate::{
    fault::PlannedFault,
    host::HostInput,
    site::{CallerRequest, SiteAction},
};

#[derive(Debug, Clone)]
pub(crate) enum Arrival {
    Tick(HostId, u64),
    Poll(HostId, u64),
    ReadLog(HostId, u64, LogStream),
    Input(HostId, u64, HostInput),
    Peer { from: HostId, to: HostId, stamp: HybridTimestamp, message: PeerMessage },
    Order { host: HostId, life: u64, order: EngineOrder },
    AskReport { host: HostId, life: u64, engine: EngineId },
    Request { host: HostId, life: u64, order: reelreel_core::node::RequestDispatch },
    FirstToken { backend: u32, incarnation: u64, request: RequestId },
    Finish { backend: u32, incarnation: u64, request: RequestId },
    StoreCheck,
    Append { host: HostId, life: u64, stream: LogStream, payload: Vec<u8>, ticket: u64 },
    Call(CallerRequest),
    Act(SiteAction),
    EndFault(PlannedFault, FaultTarget),
    Return(HostId),
    EngineGone(EngineId),
    EngineBack(EngineId),
}

/// Whom a fault struck.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultTarget {
    pub(crate) host: Option<HostId>,
    pub(crate) engine: Option<EngineId>,
    pub(crate) request: Option<RequestId>,
    pub(crate) hall: Option<HallId>,
}

#[derive(Debug)]
pub(crate) struct QueueEntry {
    pub(crate) at: u64,
    pub(crate) order: u64,
    pub(crate) arrival: Arrival,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
