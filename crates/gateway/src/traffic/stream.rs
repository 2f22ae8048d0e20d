//! Event streams: splits the bytes into events and tracks the id to resume after.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event that is buffered until it is complete.
const EVENT_SIZE_LIMIT: usize = 256 * 1024;

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
        self.pending.extend_from_slice(data);
        let Some(end) = last_event_end(&self.pending) else {
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
