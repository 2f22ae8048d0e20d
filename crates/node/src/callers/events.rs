//! Reads server-sent events from a backend's response.

use std::io::{self, Read};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The final event of a completion stream.
const DONE: &[u8] = b"data: [DONE]";

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// The event as sent, with its terminating blank line.
    pub(super) bytes: Vec<u8>,
    /// The number in its `id` field.
    pub(super) event_id: Option<u64>,
    /// Whether it is the final event of the stream.
    pub(super) done: bool,
}

/// Splits a response body into events.
pub(super) struct EventReader<R> {
    source: R,
    buffer: Vec<u8>,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of a response body.
    pub(super) const fn new(source: R) -> Self {
        Self { source, buffer: Vec::new() }
    }

    /// Returns the next event, or `None` if the body ends between two events.
    ///
    /// # Errors
    /// Returns an error if the body can not be read, an event is too large, or the body ends within
    /// an event.
    pub(super) fn next_event(&mut self) -> io::Result<Option<StreamEvent>> {
        loop {
            if let Some(end) = event_end(&self.buffer) {
                let bytes: Vec<u8> = self.buffer.drain(..end).collect();
                return Ok(Some(parse_event(bytes)));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(io::Error::other("server-sent event exceeds the size limit"));
            }
            let mut chunk = [0; 4096];
            let count = self.source.read(&mut chunk)?;
            if count == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}

fn event_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n").map(|position| position + 2)
}

fn parse_event(bytes: Vec<u8>) -> StreamEvent {
    let mut event_id = None;
    let mut done = false;
    for line in bytes.split(|byte| *byte == b'\n') {
        if let Some(id) = line.strip_prefix(b"id: ") {
            event_id = std::str::from_utf8(id).ok().and_then(|text| text.trim().parse().ok());
        }
        done |= line.starts_with(DONE);
    }
    StreamEvent { bytes, event_id, done }
}
