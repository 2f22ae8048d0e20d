//! Messages for requests during which engines crashed.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{ReportedCrash, RequestMark, SuspectReport},
};

/// The crash history of one request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectMessage {
    /// The request's mark, in little-endian byte order.
    #[prost(bytes = "bytes", tag = "1")]
    pub mark: bytes::Bytes,
    /// The sending organisation, where keys identify one.
    #[prost(string, optional, tag = "2")]
    pub organisation: Option<String>,
    /// The latest version of the requested model at any of the crashes.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Crashes since the request last completed.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashMessage>,
    /// Time since the request last completed, if ever. Unit: milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub cleared_ago: Option<u64>,
    /// Time since the last probe in quarantine. Unit: milliseconds.
    #[prost(uint64, optional, tag = "6")]
    pub probed_ago: Option<u64>,
}

/// An engine's crash during a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashMessage {
    /// The incarnation that crashed.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Time since the request was sent to it. Unit: milliseconds.
    #[prost(uint64, tag = "2")]
    pub began_ago: u64,
    /// Time since the crash. Unit: milliseconds.
    #[prost(uint64, tag = "3")]
    pub crashed_ago: u64,
}

/// Encodes reports of suspect requests.
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

/// Decodes reports; one with a mark of the wrong length is skipped.
pub fn decode_suspects(messages: &[SuspectMessage]) -> Vec<SuspectReport> {
    let decoded = messages.iter().filter_map(|message| {
        let report = decode_suspect(message);
        if report.is_none() {
            log::warn!(
                "skipping suspect request from a peer: the mark has {} bytes",
                message.mark.len()
            );
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
