//! Messages about the load and the limits of plain services.

use std::sync::Arc;

use reelreel_core::fleet::{
    ServiceName,
    service_limit::{LoadSums, PublishedLimit},
    service_share::LoadReport,
};

/// A host's requests to a plain service since its last report.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceLoadMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that arrived.
    #[prost(uint32, tag = "2")]
    pub arrivals: u32,
    /// Those of them whose clients were refused before.
    #[prost(uint32, tag = "3")]
    pub returning: u32,
    /// Requests that the host admitted.
    #[prost(uint32, tag = "4")]
    pub admitted: u32,
    /// Requests that servers answered.
    #[prost(uint32, tag = "5")]
    pub answered: u32,
    /// Answers that took longer than the latency target.
    #[prost(uint32, tag = "6")]
    pub late: u32,
    /// Sends that full servers refused.
    #[prost(uint32, tag = "7")]
    pub full: u32,
    /// Admitted requests without a final response.
    #[prost(uint32, tag = "8")]
    pub open: u32,
    /// Whether the host has observed that the service is short of capacity.
    #[prost(bool, tag = "9")]
    pub short: bool,
}

/// The limit of a plain service over all hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLimitMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Whether there is a limit; otherwise an earlier one ends.
    #[prost(bool, tag = "2")]
    pub limited: bool,
    /// Admitted rate. Unit: requests per second.
    #[prost(float, tag = "3")]
    pub rate: f32,
    /// Weighted rate of arrivals. Unit: requests per second.
    #[prost(float, tag = "4")]
    pub arrivals: f32,
    /// Whether all hosts have had time to report.
    #[prost(bool, tag = "5")]
    pub measured: bool,
}

impl ServiceLimitMessage {
    /// Creates a message with the limit of a service; `None` ends it.
    #[expect(clippy::cast_possible_truncation, reason = "f32 is precise enough for a rate")]
    pub fn new(service: &ServiceName, limit: Option<PublishedLimit>) -> Self {
        let service = service.to_string();
        let Some(PublishedLimit { rate, arrivals, measured }) = limit else {
            return Self { service, ..Self::default() };
        };
        let (rate, arrivals) = (rate as f32, arrivals as f32);
        Self { service, limited: true, rate, arrivals, measured }
    }

    /// Returns the limit, unless it has ended or is not a number.
    pub fn limit(&self) -> Option<PublishedLimit> {
        let (rate, arrivals) = (f64::from(self.rate), f64::from(self.arrivals));
        let valid = self.limited && rate.is_finite() && arrivals.is_finite();
        valid.then_some(PublishedLimit { rate, arrivals, measured: self.measured })
    }
}

impl From<&LoadReport> for ServiceLoadMessage {
    fn from(report: &LoadReport) -> Self {
        let LoadSums { arrivals, returning, admitted, answered, late, full } = report.sums;
        let (service, open, short) = (report.service.to_string(), report.open, report.short);
        Self { service, arrivals, returning, admitted, answered, late, full, open, short }
    }
}

impl From<&ServiceLoadMessage> for LoadReport {
    fn from(message: &ServiceLoadMessage) -> Self {
        let sums = LoadSums {
            arrivals: message.arrivals,
            returning: message.returning,
            admitted: message.admitted,
            answered: message.answered,
            late: message.late,
            full: message.full,
        };
        let service = Arc::from(message.service.as_str());
        Self { service, sums, open: message.open, short: message.short }
    }
}
