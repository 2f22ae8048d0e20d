//! Event streams: splits the bytes into events and tracks the id to resume after.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event that is buffered until it is complete.
const EVENT_SIZE_LIMIT: usize = 256 * 1024;

/// The longest end of an event: a line feed and a blank line. Unit: bytes.
const EVENT_END_BYTES: usize = 3;

/// Tells whether the bytes of a stream end within an event.
///
/// An event ends with an empty line. Comments belong to no event.
#[derive(Debug, Default)]
pub struct EventTracker {
    /// The first byte of the current line, if it has one.
    line_start: Option<u8>,
    /// Whether the current event has a complete line.
    event_begun: bool,
}

impl EventTracker {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) {
        for byte in data {
            match (byte, self.line_start) {
                (b'\n', None) => self.event_begun = false,
                (b'\n', Some(start)) => {
                    self.event_begun |= start != b':';
                    self.line_start = None;
                }
                (b'\r', None) => {}
                (byte, None) => self.line_start = Some(*byte),
                (_, Some(_)) => {}
            }
        }
    }

    /// Returns whether the stream would end within an event here.
    pub const fn is_within_event(&self) -> bool {
        self.event_begun || self.line_start.is_some()
    }
}

/// Splits the bytes of a stream at the end of complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the complete events at the front, unaltered.
    ///
    /// Returns `None` if an event exceeds the size limit.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        // An event that ended within the bytes before would not be pending.
        let searched = self.pending.len().saturating_sub(EVENT_END_BYTES);
        self.pending.extend_from_slice(data);
        let end = last_event_end(&self.pending[searched..]).map(|end| searched + end);
        let Some(end) = end else {
            return (self.pending.len() <= EVENT_SIZE_LIMIT).then(Bytes::new);
        };
        let complete = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the remaining bytes of a complete stream.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the beginning of an incomplete event.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the last id among the complete events.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the index after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let index = (1..bytes.len()).rev().find(|index| {
        let before = &bytes[..*index];
        bytes[*index] == b'\n' && (before.ends_with(b"\n") || before.ends_with(b"\n\r"))
    })?;
    Some(index + 1)
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let value = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    Some(value.trim().to_owned())
}
