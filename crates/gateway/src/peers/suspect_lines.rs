//! What hosts tell each other of requests under which engines ended, as it goes in frames.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::quarantine::{ReportedCrash, RequestMark, SuspectReport},
};

/// What a host knows of one request under which engines ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectLine {
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
    pub ends: Vec<EndLine>,
    /// How long ago it last ran whole, if it did. Unit: milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub cleared_ago: Option<u64>,
    /// How long ago it was last tried after it had been held back. Unit: milliseconds.
    #[prost(uint64, optional, tag = "6")]
    pub tried_ago: Option<u64>,
}

/// An engine's end while it ran a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndLine {
    /// The life that ended.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// How long ago the request was sent there. Unit: milliseconds.
    #[prost(uint64, tag = "2")]
    pub began_ago: u64,
    /// How long ago the life ended. Unit: milliseconds.
    #[prost(uint64, tag = "3")]
    pub ended_ago: u64,
}

/// Writes what is known of requests.
pub fn write_suspects(words: &[SuspectReport]) -> Vec<SuspectLine> {
    words.iter().map(write_suspect).collect()
}

fn write_suspect(word: &SuspectReport) -> SuspectLine {
    let end = |end: &ReportedCrash| EndLine {
        life: end.incarnation,
        began_ago: duration_millis(end.began_ago),
        ended_ago: duration_millis(end.crashed_ago),
    };
    SuspectLine {
        mark: bytes::Bytes::copy_from_slice(&word.mark.to_le_bytes()),
        organisation: word.organisation.as_ref().map(ToString::to_string),
        version: word.version,
        ends: word.crashes.iter().map(end).collect(),
        cleared_ago: word.cleared_ago.map(duration_millis),
        tried_ago: word.probed_ago.map(duration_millis),
    }
}

/// Reads what a peer knows; a line whose mark is none is passed over.
pub fn read_suspects(lines: &[SuspectLine]) -> Vec<SuspectReport> {
    let read = lines.iter().filter_map(|line| {
        let word = read_suspect(line);
        if word.is_none() {
            log::warn!("a peer's mark of {} bytes is none; it is passed over", line.mark.len());
        }
        word
    });
    read.collect()
}

fn read_suspect(line: &SuspectLine) -> Option<SuspectReport> {
    let end = |end: &EndLine| ReportedCrash {
        incarnation: end.life,
        began_ago: Duration::from_millis(end.began_ago),
        crashed_ago: Duration::from_millis(end.ended_ago),
    };
    Some(SuspectReport {
        mark: RequestMark::from_le_bytes((*line.mark).try_into().ok()?),
        organisation: line.organisation.as_deref().map(Arc::from),
        version: line.version,
        crashes: line.ends.iter().map(end).collect(),
        cleared_ago: line.cleared_ago.map(Duration::from_millis),
        probed_ago: line.tried_ago.map(Duration::from_millis),
    })
}
