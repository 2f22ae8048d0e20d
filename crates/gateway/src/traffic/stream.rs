//! Streams of events: cutting whole events, and the id after which a stream goes on.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until it is whole.
const EVENT_SIZE_LIMIT: usize = 256 * 1024;

/// Cuts whole events out of the bytes of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes and returns the whole events at the front, unaltered.
    ///
    /// `None` means that an event is longer than any that is held back.
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

    /// Takes what is left when the stream has ended as whole.
    pub fn finish(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Forgets the beginning of an event that broke off.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the place after the last blank line.
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
