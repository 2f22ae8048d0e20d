//! Departures of engines as hosts report and publish them.

use std::{sync::Arc, time::Duration};

use reelreel_core::{clock::duration_millis, fleet::departures::DepartureReport};

/// One engine that is leaving.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DepartureLine {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// How long ago it was announced. Unit: milliseconds.
    #[prost(uint64, tag = "3")]
    pub age: u64,
}

impl From<&DepartureReport> for DepartureLine {
    fn from(report: &DepartureReport) -> Self {
        let engine = report.engine.to_string();
        Self { engine, born: report.incarnation, age: duration_millis(report.age) }
    }
}

impl From<&DepartureLine> for DepartureReport {
    fn from(line: &DepartureLine) -> Self {
        let engine = Arc::from(line.engine.as_str());
        Self { engine, incarnation: line.born, age: Duration::from_millis(line.age) }
    }
}
