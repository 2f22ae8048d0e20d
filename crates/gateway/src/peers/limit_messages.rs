//! Messages for the request limits that engines declare, and for permits under these limits.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::{
        EngineName,
        limits::{
            limit::RequestLimit,
            report::{LimitReport, LimitState, PermitDemand, PermitGrant},
        },
    },
};

/// The latest state of one engine's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The engine's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The last declared limit. Unit: requests per second.
    #[prost(double, tag = "3")]
    pub limit: f64,
    /// Time since the start of the response that declared it. Unit: milliseconds.
    #[prost(uint64, tag = "4")]
    pub responded_ago: u64,
    /// Time since the corresponding request was sent. Unit: milliseconds.
    #[prost(uint64, tag = "5")]
    pub requested_ago: u64,
    /// Whether the engine has stopped declaring a limit.
    #[prost(bool, tag = "6")]
    pub withdrawn: bool,
    /// Whether the engine counts as unlimited again.
    #[prost(bool, tag = "7")]
    pub lifted: bool,
    /// The maximum number of open requests, if it is limited; `limit` is infinite if only this limits.
    #[prost(uint32, optional, tag = "8")]
    pub max_open: Option<u32>,
    /// Time until permits are needed. Unit: milliseconds.
    #[prost(uint64, tag = "9")]
    pub settles_in: u64,
}

/// A host's demand for permits at one engine with a limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitDemandMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of interrupted streams that wait for a permit to resume.
    #[prost(uint32, tag = "2")]
    pub resumed: u32,
    /// Number of other requests that wait for a permit.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Whether a request was diverted from this engine for lack of a permit.
    #[prost(bool, tag = "4")]
    pub diverted: bool,
    /// Number of permits received since the host subscribed.
    #[prost(uint64, tag = "5")]
    pub received: u64,
    /// Number of these that expired unused.
    #[prost(uint64, tag = "6")]
    pub unused: u64,
    /// Number of calls without a permit since the last report.
    #[prost(uint64, tag = "7")]
    pub unpermitted: u64,
    /// Open requests and unused permits, if the number of open requests is limited.
    #[prost(uint32, tag = "8")]
    pub held: u32,
    /// Number of requests that such an engine rejected since the last report.
    #[prost(uint32, tag = "9")]
    pub rejected: u32,
}

/// A host's permits at one engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitGrantMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of calls granted.
    #[prost(uint32, tag = "2")]
    pub permits: u32,
    /// Expected wait of the last queued request for a permit, if any request is queued. Unit: milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub wait_ms: Option<u64>,
    /// Whether the sender knows no limit of the engine, so that the host must report it again.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

impl From<&LimitReport> for LimitMessage {
    fn from(report: &LimitReport) -> Self {
        Self {
            engine: report.engine.to_string(),
            incarnation: report.incarnation,
            limit: report.limit.per_second(),
            max_open: report.limit.max_open(),
            withdrawn: report.state != LimitState::Active,
            lifted: report.is_lifted(),
            responded_ago: duration_millis(report.responded_ago),
            requested_ago: duration_millis(report.requested_ago),
            settles_in: duration_millis(report.settles_in),
        }
    }
}

fn decode_limit(message: &LimitMessage) -> Option<RequestLimit> {
    match message.max_open {
        Some(max_open) if message.limit == f64::INFINITY => Some(RequestLimit::open_only(max_open)),
        Some(max_open) => Some(RequestLimit::new(message.limit)?.with_max_open(max_open)),
        None => RequestLimit::new(message.limit),
    }
}

/// Decodes reports; one with an invalid limit is skipped.
pub fn decode_limits(messages: &[LimitMessage]) -> Vec<LimitReport> {
    let decoded = messages.iter().filter_map(|message| {
        let Some(limit) = decode_limit(message) else {
            log::warn!("skipping invalid limit of engine {} from a peer", message.engine);
            return None;
        };
        Some(LimitReport {
            engine: Arc::from(message.engine.as_str()),
            incarnation: message.incarnation,
            limit,
            state: match (message.lifted, message.withdrawn) {
                (true, _) => LimitState::Lifted,
                (false, true) => LimitState::Recovering,
                (false, false) => LimitState::Active,
            },
            responded_ago: Duration::from_millis(message.responded_ago),
            requested_ago: Duration::from_millis(message.requested_ago),
            settles_in: Duration::from_millis(message.settles_in),
        })
    });
    decoded.collect()
}

impl From<&(EngineName, PermitDemand)> for PermitDemandMessage {
    fn from((engine, demand): &(EngineName, PermitDemand)) -> Self {
        let PermitDemand {
            resumed,
            waiting,
            diverted,
            received,
            unused,
            unpermitted,
            held,
            rejected,
        } = *demand;
        let engine = engine.to_string();
        Self { engine, resumed, waiting, diverted, received, unused, unpermitted, held, rejected }
    }
}

impl From<&PermitDemandMessage> for (EngineName, PermitDemand) {
    fn from(message: &PermitDemandMessage) -> Self {
        let PermitDemandMessage {
            resumed,
            waiting,
            diverted,
            received,
            unused,
            unpermitted,
            held,
            rejected,
            ..
        } = *message;
        let demand = PermitDemand {
            resumed,
            waiting,
            diverted,
            received,
            unused,
            unpermitted,
            held,
            rejected,
        };
        (Arc::from(message.engine.as_str()), demand)
    }
}

impl From<&PermitGrant> for PermitGrantMessage {
    fn from(grant: &PermitGrant) -> Self {
        let wait_ms = grant.wait.map(duration_millis);
        let (engine, permits) = (grant.engine.to_string(), grant.permits);
        Self { engine, permits, wait_ms, unknown: grant.unknown }
    }
}

impl From<&PermitGrantMessage> for PermitGrant {
    fn from(message: &PermitGrantMessage) -> Self {
        let wait = message.wait_ms.map(Duration::from_millis);
        let (engine, permits) = (Arc::from(message.engine.as_str()), message.permits);
        Self { engine, permits, wait, unknown: message.unknown }
    }
}
