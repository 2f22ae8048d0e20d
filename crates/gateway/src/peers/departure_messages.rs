//! Messages for announced departures of engines.

use std::{sync::Arc, time::Duration};

use reelreel_core::{clock::duration_millis, fleet::departures::DepartureReport};

/// An engine that is leaving.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DepartureMessage {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The engine's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Time since the announcement. Unit: milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl From<&DepartureReport> for DepartureMessage {
    fn from(report: &DepartureReport) -> Self {
        let engine = report.engine.to_string();
        Self { engine, incarnation: report.incarnation, age_ms: duration_millis(report.age) }
    }
}

impl From<&DepartureMessage> for DepartureReport {
    fn from(message: &DepartureMessage) -> Self {
        let engine = Arc::from(message.engine.as_str());
        Self {
            engine,
            incarnation: message.incarnation,
            age: Duration::from_millis(message.age_ms),
        }
    }
}
