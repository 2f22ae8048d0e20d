//! What hosts tell each other of the limits that engines name, as it goes in frames.

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

/// The last word on one engine's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The life that said it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What it named last. Unit: requests a second.
    #[prost(double, tag = "3")]
    pub limit: f64,
    /// How long ago the answer began that said so. Unit: milliseconds.
    #[prost(uint64, tag = "4")]
    pub responded_ago: u64,
    /// How long ago what it answered had been sent. Unit: milliseconds.
    #[prost(uint64, tag = "5")]
    pub requested_ago: u64,
    /// Whether it has named none since.
    #[prost(bool, tag = "6")]
    pub withdrawn: bool,
    /// Whether it counts as any other engine again.
    #[prost(bool, tag = "7")]
    pub lifted: bool,
}

/// What a host wants of one engine that has named a limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitDemandMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Streams that broke off and wait for a permit.
    #[prost(uint32, tag = "2")]
    pub resumed: u32,
    /// Other requests that wait for a permit.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Whether a request would have gone there, had there been a permit.
    #[prost(bool, tag = "4")]
    pub diverted: bool,
    /// How many permits the host has got since it listens.
    #[prost(uint64, tag = "5")]
    pub received: u64,
    /// How many of them it has let go unused.
    #[prost(uint64, tag = "6")]
    pub unused: u64,
    /// How many calls it has made without one since it last told.
    #[prost(uint64, tag = "7")]
    pub unpermitted: u64,
}

/// What one host is granted at one engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitGrantMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Calls that the host may make.
    #[prost(uint32, tag = "2")]
    pub permits: u32,
    /// In what time a permit is expected for the last one that waits there, where some wait on. Unit: milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub wait_ms: Option<u64>,
    /// Whether no limit of the engine is known there: the host tells its word again.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

impl From<&LimitReport> for LimitMessage {
    fn from(report: &LimitReport) -> Self {
        Self {
            engine: report.engine.to_string(),
            incarnation: report.born,
            limit: report.limit.per_second(),
            withdrawn: report.state != LimitState::Active,
            lifted: report.is_lifted(),
            responded_ago: duration_millis(report.responded_ago),
            requested_ago: duration_millis(report.requested_ago),
        }
    }
}

/// Reads words; one whose limit is none is passed over.
pub fn decode_limits(messages: &[LimitMessage]) -> Vec<LimitReport> {
    let decoded = messages.iter().filter_map(|message| {
        let Some(limit) = RequestLimit::new(message.limit) else {
            log::warn!("a peer's limit of engine {} is none; it is passed over", message.engine);
            return None;
        };
        Some(LimitReport {
            engine: Arc::from(message.engine.as_str()),
            born: message.incarnation,
            limit,
            state: match (message.lifted, message.withdrawn) {
                (true, _) => LimitState::Lifted,
                (false, true) => LimitState::Recovering,
                (false, false) => LimitState::Active,
            },
            responded_ago: Duration::from_millis(message.responded_ago),
            requested_ago: Duration::from_millis(message.requested_ago),
        })
    });
    decoded.collect()
}

impl From<&(EngineName, PermitDemand)> for PermitDemandMessage {
    fn from((engine, demand): &(EngineName, PermitDemand)) -> Self {
        let PermitDemand { resumed, waiting, diverted, received, unused, unpermitted } = *demand;
        let engine = engine.to_string();
        Self { engine, resumed, waiting, diverted, received, unused, unpermitted }
    }
}

impl From<&PermitDemandMessage> for (EngineName, PermitDemand) {
    fn from(message: &PermitDemandMessage) -> Self {
        let PermitDemandMessage {
            resumed, waiting, diverted, received, unused, unpermitted, ..
        } = *message;
        let demand = PermitDemand { resumed, waiting, diverted, received, unused, unpermitted };
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
