//! Frames for values that hosts report and a placer aggregates.

use std::sync::Arc;

use reelreel_core::organisation::share::{QuotaLevel, QuotaUsage};

use crate::control::host_count::HostReport;
use crate::peers::{
    departure_messages::DepartureMessage,
    limit_messages::{LimitMessage, PermitDemandMessage, PermitGrantMessage},
    service_load_messages::{ServiceLimitMessage, ServiceLoadMessage},
    suspect_messages::SuspectMessage,
    tunnel_messages::{HostLinksMessage, TunnelHostsMessage},
};

/// A host's values for the aggregating placer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostReportFrame {
    /// The host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The service whose placer aggregates.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The host's usage of organisations' quotas since the last frame.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<QuotaUsageMessage>,
    /// Requests during which engines crashed.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectMessage>,
    /// Limits that engines declared.
    #[prost(message, repeated, tag = "5")]
    pub limits: Vec<LimitMessage>,
    /// The host's demand for permits at engines with a limit.
    #[prost(message, repeated, tag = "6")]
    pub permit_demands: Vec<PermitDemandMessage>,
    /// Announced departures of engines.
    #[prost(message, repeated, tag = "7")]
    pub departures: Vec<DepartureMessage>,
    /// The host's links to engines, if they have changed.
    #[prost(message, optional, tag = "8")]
    pub links: Option<HostLinksMessage>,
    /// The host's requests to plain services that are short of capacity.
    #[prost(message, repeated, tag = "20")]
    pub service_loads: Vec<ServiceLoadMessage>,
}

/// The aggregate of all hosts' values, where it changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregateFrame {
    /// The service whose placer aggregates.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The placer's fencing token; receivers ignore frames with an earlier one.
    #[prost(uint64, tag = "2")]
    pub token: u64,
    /// Number of hosts, as counted by the placer.
    #[prost(uint32, tag = "3")]
    pub hosts: u32,
    /// Whether that count is complete.
    #[prost(bool, tag = "9")]
    pub hosts_complete: bool,
    /// Levels of the organisations' quotas, if the frame updates them.
    #[prost(message, optional, tag = "4")]
    pub quotas: Option<QuotaLevelsMessage>,
    /// Requests during which engines crashed, over all hosts.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<SuspectMessage>,
    /// Limits of engines that were declared, changed or withdrawn.
    #[prost(message, repeated, tag = "6")]
    pub limits: Vec<LimitMessage>,
    /// Permits for the receiving host.
    #[prost(message, repeated, tag = "7")]
    pub grants: Vec<PermitGrantMessage>,
    /// Announced departures of engines.
    #[prost(message, repeated, tag = "8")]
    pub departures: Vec<DepartureMessage>,
    /// Hosts through which the receiving host can reach engines.
    #[prost(message, optional, tag = "10")]
    pub tunnel_hosts: Option<TunnelHostsMessage>,
    /// Limits of plain services, where they are published anew.
    #[prost(message, repeated, tag = "20")]
    pub service_limits: Vec<ServiceLimitMessage>,
}

impl AggregateFrame {
    /// Returns the placer's report of the number of hosts.
    pub const fn host_report(&self) -> HostReport {
        HostReport { hosts: self.hosts, complete: self.hosts_complete }
    }
}

/// A host's usage of an organisation's quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaUsageMessage {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The amount granted, less the amount returned. Unit: that of the organisation's limit.
    #[prost(sint64, tag = "2")]
    pub amount: i64,
    /// The remaining quota, as the host last received it.
    #[prost(sint64, optional, tag = "3")]
    pub level: Option<i64>,
}

/// The organisations with a low remaining quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaLevelsMessage {
    /// The levels; organisations not listed have most of their burst left.
    #[prost(message, repeated, tag = "1")]
    pub levels: Vec<QuotaLevelMessage>,
}

/// The remaining quota of an organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaLevelMessage {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The remaining amount; negative when hosts granted too much. Unit: that of the organisation's limit.
    #[prost(sint64, tag = "2")]
    pub level: i64,
    /// The amount that all hosts granted recently. Unit: that of the organisation's limit.
    #[prost(uint64, tag = "3")]
    pub used: u64,
}

#[expect(clippy::cast_possible_truncation, reason = "levels are sent in whole tokens or requests")]
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
