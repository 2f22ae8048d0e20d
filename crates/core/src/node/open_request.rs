//! The state of a caller's request until it ends.

use crate::{
    chart::RequestState,
    clock::ClockMillis,
    id::{AdapterKey, EngineId, HostId, OrganisationId, RequestId, ServiceId},
    node::ServerId,
    settings::EffectiveSettings,
};

/// The kind of backend server that serves a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestRoute {
    /// An engine that holds this adapter version.
    Adapter {
        /// The adapter version.
        adapter: AdapterKey,
        /// The adapter's name at the engines.
        name: String,
    },
    /// Any server of a plain service.
    Plain,
}

/// The progress of a request's permit ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitAskState {
    /// No ask is outstanding; the request is routed again when its timer fires.
    Backoff,
    /// The ask was sent and not yet answered.
    Sent,
    /// The owner has queued the request.
    Queued,
}

/// A request that has arrived and not yet ended.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) state: RequestState,
    pub(super) service: ServiceId,
    pub(super) service_name: String,
    /// The base model that must answer; empty if the settings name none.
    pub(super) base_model: String,
    pub(super) organisation: OrganisationId,
    pub(super) route: RequestRoute,
    pub(super) settings: EffectiveSettings,
    pub(super) deadline: ClockMillis,
    pub(super) max_tokens: u32,
    pub(super) repeatable: bool,
    pub(super) keyed: bool,
    /// The number of permit asks or, for plain services, of dispatches.
    pub(super) attempt: u32,
    pub(super) ask_state: PermitAskState,
    /// The engine of the current ask or dispatch.
    pub(super) engine: Option<EngineId>,
    /// The plain server that the request was dispatched to.
    pub(super) server: Option<ServerId>,
    /// The host that was asked for a permit; after a grant, the host that granted it.
    pub(super) owner: Option<HostId>,
    /// Whether the current ask allows the owner to load the adapter.
    pub(super) may_load: bool,
    /// An engine that an owner named as holding the adapter.
    pub(super) preferred_engine: Option<EngineId>,
    /// Whether an engine listed as a holder did not hold the adapter. The home engine then loads it
    /// even if other engines are listed as holders.
    pub(super) misrouted: bool,
    /// An engine that refused the request as overloaded.
    pub(super) full_engine: Option<EngineId>,
    /// The time at which the request's timer fires.
    pub(super) timer_at: ClockMillis,
}
