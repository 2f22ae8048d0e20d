//! What hosts tell each other of requests under which engines ended, as it goes in frames.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{ReportedCrash, RequestMark, SuspectReport},
};

/// What a host knows of one request under which engines ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectMessage {
    /// The request's mark, least byte first.
    #[prost(bytes = "bytes", tag = "1")]
    pub mark: bytes::Bytes,
    /// Who sends it, where keys tell.
    #[prost(string, optional, tag = "2")]
    pub organisation: Option<String>,
    /// The newest version of what it names at any of the ends.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The ends since it last ran whole.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashMessage>,
    /// How long ago it last ran whole, if it did. Unit: milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub cleared_ago: Option<u64>,
    /// How long ago it was last tried after it had been held back. Unit: milliseconds.
    #[prost(uint64, optional, tag = "6")]
    pub probed_ago: Option<u64>,
}

/// An engine's end while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashMessage {
    /// The life that ended.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// How long ago the request was sent there. Unit: milliseconds.
    #[prost(uint64, tag = "2")]
    pub began_ago: u64,
    /// How long ago the life ended. Unit: milliseconds.
    #[prost(uint64, tag = "3")]
    pub crashed_ago: u64,
}

/// Writes what is known of requests.
pub fn encode_suspects(reports: &[SuspectReport]) -> Vec<SuspectMessage> {
    reports.iter().map(encode_suspect).collect()
}

fn encode_suspect(report: &SuspectReport) -> SuspectMessage {
    let crash = |crash: &ReportedCrash| CrashMessage {
        incarnation: crash.incarnation,
        began_ago: duration_millis(crash.began_ago),
        crashed_ago: duration_millis(crash.crashed_ago),
    };
    SuspectMessage {
        mark: bytes::Bytes::copy_from_slice(&report.mark.to_le_bytes()),
        organisation: report.organisation.as_ref().map(ToString::to_string),
        version: report.version,
        crashes: report.crashes.iter().map(crash).collect(),
        cleared_ago: report.cleared_ago.map(duration_millis),
        probed_ago: report.probed_ago.map(duration_millis),
    }
}

/// Reads what a peer knows; a line whose mark is none is passed over.
pub fn decode_suspects(messages: &[SuspectMessage]) -> Vec<SuspectReport> {
    let decoded = messages.iter().filter_map(|message| {
        let report = decode_suspect(message);
        if report.is_none() {
            log::warn!("a peer's mark of {} bytes is none; it is passed over", message.mark.len());
        }
        report
    });
    decoded.collect()
}

fn decode_suspect(message: &SuspectMessage) -> Option<SuspectReport> {
    let crash = |crash: &CrashMessage| ReportedCrash {
        incarnation: crash.incarnation,
        began_ago: Duration::from_millis(crash.began_ago),
        crashed_ago: Duration::from_millis(crash.crashed_ago),
    };
    Some(SuspectReport {
        mark: RequestMark::from_le_bytes((*message.mark).try_into().ok()?),
        organisation: message.organisation.as_deref().map(Arc::from),
        version: message.version,
        crashes: message.crashes.iter().map(crash).collect(),
        cleared_ago: message.cleared_ago.map(Duration::from_millis),
        probed_ago: message.probed_ago.map(Duration::from_millis),
    })
}
