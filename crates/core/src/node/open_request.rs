//! A caller's request from its arrival to its end.

use crate::{
    chart::RequestState,
    clock::ClockMillis,
    id::{AdapterKey, EngineId, HostId, OrganisationId, RequestId, ServiceId},
    node::ServerId,
    settings::EffectiveSettings,
};

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestRoute {
    /// To an engine that holds this adapter version.
    Adapter {
        /// The adapter version.
        adapter: AdapterKey,
        /// Its name at the engines.
        name: String,
    },
    /// To any server of the plain service.
    Plain,
}

/// What an open request waits for while it is being asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitAskState {
    /// Nothing is asked; route again when the timer ends.
    Backoff,
    /// The owner has not answered yet.
    Sent,
    /// The owner has queued it.
    Queued,
}

/// An open request.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each says another thing of the request")]
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) state: RequestState,
    pub(super) service: ServiceId,
    pub(super) service_name: String,
    /// The base model that must answer; empty where the settings name none.
    pub(super) base_model: String,
    pub(super) organisation: OrganisationId,
    pub(super) route: RequestRoute,
    pub(super) settings: EffectiveSettings,
    pub(super) deadline: ClockMillis,
    pub(super) max_tokens: u32,
    pub(super) repeatable: bool,
    pub(super) keyed: bool,
    /// Counts asks and, for plain servers, sendings.
    pub(super) attempt: u32,
    pub(super) ask_state: PermitAskState,
    /// The engine asked for or dispatched to.
    pub(super) engine: Option<EngineId>,
    /// The plain server dispatched to.
    pub(super) server: Option<ServerId>,
    /// The host that was asked, and then the one that granted.
    pub(super) owner: Option<HostId>,
    /// Whether the next ask may have the adapter loaded, fixed while the ask stands.
    pub(super) may_load: bool,
    /// An engine that an owner pointed to.
    pub(super) preferred_engine: Option<EngineId>,
    /// Whether an engine that was said to hold the adapter did not: the next home shall load it
    /// whatever it hears of others.
    pub(super) misrouted: bool,
    /// An engine that had no room for it.
    pub(super) full_engine: Option<EngineId>,
    /// When the timer for the present step ends.
    pub(super) timer_at: ClockMillis,
}
