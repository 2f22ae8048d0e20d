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
pub struct LimitLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The life that said it.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// What it named last. Unit: requests a second.
    #[prost(double, tag = "3")]
    pub limit: f64,
    /// How long ago the answer began that said so. Unit: milliseconds.
    #[prost(uint64, tag = "4")]
    pub said_ago: u64,
    /// How long ago what it answered had been sent. Unit: milliseconds.
    #[prost(uint64, tag = "5")]
    pub asked_ago: u64,
    /// Whether it has named none since.
    #[prost(bool, tag = "6")]
    pub ended: bool,
    /// Whether it counts as any other engine again.
    #[prost(bool, tag = "7")]
    pub back: bool,
}

/// What a host wants of one engine that has named a limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskLine {
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
    pub wished: bool,
    /// How many permits the host has got since it listens.
    #[prost(uint64, tag = "5")]
    pub got: u64,
    /// How many of them it has let go unused.
    #[prost(uint64, tag = "6")]
    pub unused: u64,
    /// How many calls it has made without one since it last told.
    #[prost(uint64, tag = "7")]
    pub unasked: u64,
}

/// What one host is granted at one engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Calls that the host may make.
    #[prost(uint32, tag = "2")]
    pub permits: u32,
    /// In what time a permit is expected for the last one that waits there, where some wait on. Unit: milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub wait: Option<u64>,
    /// Whether no limit of the engine is known there: the host tells its word again.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

impl From<&LimitReport> for LimitLine {
    fn from(word: &LimitReport) -> Self {
        Self {
            engine: word.engine.to_string(),
            born: word.incarnation,
            limit: word.limit.per_second(),
            ended: word.state != LimitState::Active,
            back: word.is_lifted(),
            said_ago: duration_millis(word.responded_ago),
            asked_ago: duration_millis(word.requested_ago),
        }
    }
}

/// Reads words; one whose limit is none is passed over.
pub fn read_limits(lines: &[LimitLine]) -> Vec<LimitReport> {
    let read = lines.iter().filter_map(|line| {
        let Some(limit) = RequestLimit::new(line.limit) else {
            log::warn!("a peer's limit of engine {} is none; it is passed over", line.engine);
            return None;
        };
        Some(LimitReport {
            engine: Arc::from(line.engine.as_str()),
            incarnation: line.born,
            limit,
            state: match (line.back, line.ended) {
                (true, _) => LimitState::Lifted,
                (false, true) => LimitState::Recovering,
                (false, false) => LimitState::Active,
            },
            responded_ago: Duration::from_millis(line.said_ago),
            requested_ago: Duration::from_millis(line.asked_ago),
        })
    });
    read.collect()
}

impl From<&(EngineName, PermitDemand)> for AskLine {
    fn from((engine, demand): &(EngineName, PermitDemand)) -> Self {
        let PermitDemand { resumed, waiting, diverted, received, unused, unpermitted } = *demand;
        let engine = engine.to_string();
        Self {
            engine,
            resumed,
            waiting,
            wished: diverted,
            got: received,
            unused,
            unasked: unpermitted,
        }
    }
}

impl From<&AskLine> for (EngineName, PermitDemand) {
    fn from(line: &AskLine) -> Self {
        let AskLine {
            resumed,
            waiting,
            wished: diverted,
            got: received,
            unused,
            unasked: unpermitted,
            ..
        } = *line;
        let demand = PermitDemand { resumed, waiting, diverted, received, unused, unpermitted };
        (Arc::from(line.engine.as_str()), demand)
    }
}

impl From<&PermitGrant> for GrantLine {
    fn from(grant: &PermitGrant) -> Self {
        let wait = grant.wait.map(duration_millis);
        let (engine, permits) = (grant.engine.to_string(), grant.permits);
        Self { engine, permits, wait, unknown: grant.unknown }
    }
}

impl From<&GrantLine> for PermitGrant {
    fn from(line: &GrantLine) -> Self {
        let wait = line.wait.map(Duration::from_millis);
        let (engine, permits) = (Arc::from(line.engine.as_str()), line.permits);
        Self { engine, permits, wait, unknown: line.unknown }
    }
}
