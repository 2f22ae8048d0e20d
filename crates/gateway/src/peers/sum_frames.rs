//! The frames of what all hosts count and one adds up.

use std::sync::Arc;

use reelreel_core::organisation::share::{QuotaLevel, QuotaUsage};

use crate::peers::{
    departure_lines::DepartureLine,
    limit_lines::{AskLine, GrantLine, LimitLine},
    suspect_lines::SuspectLine,
};

/// What a host counts, for the host that adds up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CountFrame {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The service whose placer adds up.
    #[prost(string, tag = "2")]
    pub service: String,
    /// What the host granted of organisations' quotas since the last frame.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<UsageLine>,
    /// Requests under which engines ended.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectLine>,
    /// What engines said of the requests that they take.
    #[prost(message, repeated, tag = "5")]
    pub limits: Vec<LimitLine>,
    /// What the host wants of engines that have named a limit.
    #[prost(message, repeated, tag = "6")]
    pub asks: Vec<AskLine>,
    /// Engines that have announced that they are leaving.
    #[prost(message, repeated, tag = "7")]
    pub departures: Vec<DepartureLine>,
}

/// What all hosts counted together, as far as it changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SumFrame {
    /// The service whose placer adds up.
    #[prost(string, tag = "1")]
    pub service: String,
    /// That placer's token; a frame of an earlier one is passed over.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// How many hosts listen to it, itself included.
    #[prost(uint32, tag = "3")]
    pub hosts: u32,
    /// The organisations' quotas, where the frame says anything of them.
    #[prost(message, optional, tag = "4")]
    pub quotas: Option<QuotaFrame>,
    /// Requests under which engines ended, as all hosts count.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<SuspectLine>,
    /// Engines that name a limit, another one, or none any more.
    #[prost(message, repeated, tag = "6")]
    pub limits: Vec<LimitLine>,
    /// What the one host that hears this is granted.
    #[prost(message, repeated, tag = "7")]
    pub grants: Vec<GrantLine>,
    /// Engines that have announced that they are leaving.
    #[prost(message, repeated, tag = "8")]
    pub departures: Vec<DepartureLine>,
}

/// What a host granted of an organisation's quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageLine {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// What was granted less what was given back. Unit: as the organisation's limit counts.
    #[prost(sint64, tag = "2")]
    pub amount: i64,
    /// What the organisation has left, as the host heard last.
    #[prost(sint64, optional, tag = "3")]
    pub level: Option<i64>,
}

/// Every organisation that has little left of its quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaFrame {
    /// The organisations; all others have most of their burst left.
    #[prost(message, repeated, tag = "1")]
    pub named: Vec<QuotaLine>,
}

/// What an organisation has left of its quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaLine {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// What it has left; below zero when hosts granted too much. Unit: as the organisation's limit counts.
    #[prost(sint64, tag = "2")]
    pub level: i64,
    /// What all hosts granted lately. Unit: as the organisation's limit counts.
    #[prost(uint64, tag = "3")]
    pub used: u64,
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a level in whole tokens or requests is enough"
)]
const fn whole(amount: f64) -> i64 {
    amount.round() as i64
}

impl From<&QuotaUsage> for UsageLine {
    fn from(used: &QuotaUsage) -> Self {
        Self {
            organisation: used.organisation.to_string(),
            amount: whole(used.amount),
            level: used.level.map(whole),
        }
    }
}

impl From<&UsageLine> for QuotaUsage {
    fn from(line: &UsageLine) -> Self {
        Self {
            organisation: Arc::from(line.organisation.as_str()),
            amount: line.amount as f64,
            level: line.level.map(|level| level as f64),
        }
    }
}

impl From<&QuotaLevel> for QuotaLine {
    fn from(word: &QuotaLevel) -> Self {
        Self {
            organisation: word.organisation.to_string(),
            level: whole(word.level),
            used: whole(word.used).unsigned_abs(),
        }
    }
}

impl From<&QuotaLine> for QuotaLevel {
    fn from(line: &QuotaLine) -> Self {
        Self {
            organisation: Arc::from(line.organisation.as_str()),
            level: line.level as f64,
            used: line.used as f64,
        }
    }
}
