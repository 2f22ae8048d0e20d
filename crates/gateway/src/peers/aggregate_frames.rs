//! The frames of what all hosts count and one adds up.

use std::sync::Arc;

use reelreel_core::organisation::share::{QuotaLevel, QuotaUsage};

use crate::peers::{
    departure_messages::DepartureMessage,
    limit_messages::{LimitMessage, PermitDemandMessage, PermitGrantMessage},
    suspect_messages::SuspectMessage,
};

/// What a host counts, for the host that adds up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostReportFrame {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The service whose placer adds up.
    #[prost(string, tag = "2")]
    pub service: String,
    /// What the host granted of organisations' quotas since the last frame.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<QuotaUsageMessage>,
    /// Requests under which engines ended.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectMessage>,
    /// What engines said of the requests that they take.
    #[prost(message, repeated, tag = "5")]
    pub limits: Vec<LimitMessage>,
    /// What the host wants of engines that have named a limit.
    #[prost(message, repeated, tag = "6")]
    pub permit_demands: Vec<PermitDemandMessage>,
    /// Engines that have announced that they are leaving.
    #[prost(message, repeated, tag = "7")]
    pub departures: Vec<DepartureMessage>,
}

/// What all hosts counted together, as far as it changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregateFrame {
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
    pub quotas: Option<QuotaLevelsMessage>,
    /// Requests under which engines ended, as all hosts count.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<SuspectMessage>,
    /// Engines that name a limit, another one, or none any more.
    #[prost(message, repeated, tag = "6")]
    pub limits: Vec<LimitMessage>,
    /// What the one host that hears this is granted.
    #[prost(message, repeated, tag = "7")]
    pub grants: Vec<PermitGrantMessage>,
    /// Engines that have announced that they are leaving.
    #[prost(message, repeated, tag = "8")]
    pub departures: Vec<DepartureMessage>,
}

/// What a host granted of an organisation's quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaUsageMessage {
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
pub struct QuotaLevelsMessage {
    /// The organisations; all others have most of their burst left.
    #[prost(message, repeated, tag = "1")]
    pub levels: Vec<QuotaLevelMessage>,
}

/// What an organisation has left of its quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaLevelMessage {
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
const fn round(amount: f64) -> i64 {
    amount.round() as i64
}

impl From<&QuotaUsage> for QuotaUsageMessage {
    fn from(usage: &QuotaUsage) -> Self {
        Self {
            organisation: usage.organisation.to_string(),
            amount: round(usage.amount),
            level: usage.level.map(round),
        }
    }
}

impl From<&QuotaUsageMessage> for QuotaUsage {
    fn from(message: &QuotaUsageMessage) -> Self {
        Self {
            organisation: Arc::from(message.organisation.as_str()),
            amount: message.amount as f64,
            level: message.level.map(|level| level as f64),
        }
    }
}

impl From<&QuotaLevel> for QuotaLevelMessage {
    fn from(level: &QuotaLevel) -> Self {
        Self {
            organisation: level.organisation.to_string(),
            level: round(level.level),
            used: round(level.used).unsigned_abs(),
        }
    }
}

impl From<&QuotaLevelMessage> for QuotaLevel {
    fn from(message: &QuotaLevelMessage) -> Self {
        Self {
            organisation: Arc::from(message.organisation.as_str()),
            level: message.level as f64,
            used: message.used as f64,
        }
    }
}
