//! Messages for requests, and for parts of their prompts, during which engines crashed.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{ReportedCrash, RequestTrait, SuspectReport, TraitKind, TraitMark},
};

/// The value of [`SuspectMessage::kind`] for a request, also where the field is absent.
const REQUEST_KIND: u32 = 0;

/// The value of [`SuspectMessage::kind`] for a prompt part.
const PROMPT_PART_KIND: u32 = 1;

/// Maximum number of requests of a crash that are decoded.
const MAX_CRASH_REQUESTS: usize = 4;

/// The crash history of one request, or of one prompt part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectMessage {
    /// The mark, in little-endian byte order.
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
    /// What the mark identifies: zero for a request, one for a prompt part.
    #[prost(uint32, tag = "7")]
    pub kind: u32,
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
    /// Some of the interrupted requests with a prompt part.
    #[prost(fixed64, repeated, tag = "4")]
    pub requests: Vec<u64>,
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
        requests: crash.requests.clone(),
    };
    let kind = match report.suspect.kind {
        TraitKind::Request => REQUEST_KIND,
        TraitKind::PromptPart => PROMPT_PART_KIND,
    };
    SuspectMessage {
        mark: bytes::Bytes::copy_from_slice(&report.suspect.mark.to_le_bytes()),
        organisation: report.organisation.as_ref().map(ToString::to_string),
        version: report.version,
        crashes: report.crashes.iter().map(crash).collect(),
        cleared_ago: report.cleared_ago.map(duration_millis),
        probed_ago: report.probed_ago.map(duration_millis),
        kind,
    }
}

/// Decodes reports; one with a mark of the wrong length or of an unknown kind is skipped.
pub fn decode_suspects(messages: &[SuspectMessage]) -> Vec<SuspectReport> {
    let decoded = messages.iter().filter_map(|message| {
        let report = decode_suspect(message);
        if report.is_none() {
            log::warn!(
                "skipping a suspect from a peer: its mark has {} bytes, its kind is {}",
                message.mark.len(),
                message.kind
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
        requests: crash.requests.iter().copied().take(MAX_CRASH_REQUESTS).collect(),
    };
    let kind = match message.kind {
        REQUEST_KIND => TraitKind::Request,
        PROMPT_PART_KIND => TraitKind::PromptPart,
        _ => return None,
    };
    let mark = TraitMark::from_le_bytes((*message.mark).try_into().ok()?);
    Some(SuspectReport {
        suspect: RequestTrait { kind, mark },
        organisation: message.organisation.as_deref().map(Arc::from),
        version: message.version,
        crashes: message.crashes.iter().map(crash).collect(),
        cleared_ago: message.cleared_ago.map(Duration::from_millis),
        probed_ago: message.probed_ago.map(Duration::from_millis),
    })
}
