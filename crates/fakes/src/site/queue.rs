//! The queue of timed events.

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
pub(crate) enum SiteEvent {
    Tick(HostId, u64),
    Poll(HostId, u64),
    ReadLog(HostId, u64, LogStream),
    Input(HostId, u64, HostInput),
    Peer { from: HostId, to: HostId, stamp: HybridTimestamp, message: PeerMessage },
    Order { host: HostId, generation: u64, order: EngineOrder },
    FetchReport { host: HostId, generation: u64, engine: EngineId },
    Request { host: HostId, generation: u64, dispatch: reelreel_core::node::RequestDispatch },
    FirstToken { backend: u32, incarnation: u64, request: RequestId },
    Finish { backend: u32, incarnation: u64, request: RequestId },
    StoreCheck,
    Append { host: HostId, generation: u64, stream: LogStream, payload: Vec<u8>, ticket: u64 },
    CallerRequest(CallerRequest),
    Action(SiteAction),
    EndFault(PlannedFault, FaultTarget),
    StartHost(HostId),
    RemoveEngine(EngineId),
    ReturnEngine(EngineId),
}

/// The objects that a fault affects.
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
    pub(crate) sequence: u64,
    pub(crate) event: SiteEvent,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
