//! How a body is cut out of a connection's bytes.

use bytes::{Buf, Bytes, BytesMut};

use crate::head::{HeadError, HeaderFields, RequestHead, ResponseHead};

/// The longest line that introduces a chunk, its extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The longest trailer section.
const MAX_TRAILER_LINE_BYTES: usize = 4096;

/// The most hexadecimal digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 12;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has so many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a body can not be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk is not written as RFC 9112 says.
    #[error("a chunk is malformed; write its size in hexadecimal and end lines with CRLF")]
    MalformedChunk,
    /// The connection ended before the body did.
    #[error("the connection ended within the body")]
    Truncated,
}

/// What a decoder found at the front of the buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes of the body.
    Data(Bytes),
    /// More bytes must be read first.
    Incomplete,
    /// The body is whole.
    End,
}

impl BodyFraming {
    /// Returns how the body of a request is cut.
    ///
    /// # Errors
    /// Returns that the length is ambiguous or the coding unknown.
    pub fn of_request(head: &RequestHead) -> Result<Self, HeadError> {
        let chunked = is_chunked(&head.fields)?;
        let length = content_length(&head.fields)?;
        match (chunked, length) {
            (true, Some(_)) => Err(HeadError::AmbiguousLength),
            (true, None) if !head.is_http11 => Err(HeadError::UnsupportedCoding),
            (true, None) => Ok(Self::Chunked),
            (false, Some(0) | None) => Ok(Self::Empty),
            (false, Some(length)) => Ok(Self::Length(length)),
        }
    }

    /// Returns how the body of the response to a request with `method` is cut.
    ///
    /// # Errors
    /// Returns that the length is ambiguous or the coding unknown.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Self, HeadError> {
        let has_no_body = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if has_no_body {
            return Ok(Self::Empty);
        }
        let chunked = is_chunked(&head.fields)?;
        let length = content_length(&head.fields)?;
        match (chunked, length) {
            (true, Some(_)) => Err(HeadError::AmbiguousLength),
            (true, None) => Ok(Self::Chunked),
            (false, Some(0)) => Ok(Self::Empty),
            (false, Some(length)) => Ok(Self::Length(length)),
            (false, None) => Ok(Self::UntilClose),
        }
    }
}

fn is_chunked(fields: &HeaderFields) -> Result<bool, HeadError> {
    let mut codings = fields.values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::UnsupportedCoding);
    }
    Ok(true)
}

fn content_length(fields: &HeaderFields) -> Result<Option<u64>, HeadError> {
    let mut lengths = fields.values("content-length");
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let is_valid = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
    if lengths.next().is_some() || !is_valid {
        return Err(HeadError::AmbiguousLength);
    }
    let text = std::str::from_utf8(length).map_err(|_| HeadError::AmbiguousLength)?;
    text.parse().map(Some).map_err(|_| HeadError::AmbiguousLength)
}

/// Where a decoder stands within its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// So many bytes are due.
    Length(u64),
    /// A line with a chunk's size is due.
    ChunkLine,
    /// So many bytes of a chunk are due.
    Chunk(u64),
    /// The line end after a chunk is due.
    ChunkEnd,
    /// The trailer section is due.
    Trailer,
    /// Whatever comes belongs to the body.
    UntilClose,
    /// The body is whole.
    Done,
}

/// Cuts one body out of a connection's bytes.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Starts at the first byte after a head.
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkLine,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Takes the next part of the body from the front of `buffer`.
    ///
    /// # Errors
    /// Returns that a chunk is malformed.
    pub fn next_part(&mut self, buffer: &mut BytesMut) -> Result<BodyPart, BodyError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(BodyPart::End),
                DecoderState::UntilClose if buffer.is_empty() => return Ok(BodyPart::Incomplete),
                DecoderState::UntilClose => return Ok(BodyPart::Data(buffer.split().freeze())),
                DecoderState::Length(_) | DecoderState::Chunk(_) if buffer.is_empty() => {
                    return Ok(BodyPart::Incomplete);
                }
                DecoderState::Length(remaining) => {
                    let (data, remaining) = split_data(buffer, remaining);
                    self.state = if remaining == 0 {
                        DecoderState::Done
                    } else {
                        DecoderState::Length(remaining)
                    };
                    return Ok(BodyPart::Data(data));
                }
                DecoderState::Chunk(remaining) => {
                    let (data, remaining) = split_data(buffer, remaining);
                    self.state = if remaining == 0 {
                        DecoderState::ChunkEnd
                    } else {
                        DecoderState::Chunk(remaining)
                    };
                    return Ok(BodyPart::Data(data));
                }
                DecoderState::ChunkLine => match take_line(buffer, MAX_CHUNK_LINE_BYTES)? {
                    None => return Ok(BodyPart::Incomplete),
                    Some(line) => self.state = parse_chunk_line(&line)?,
                },
                DecoderState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(BodyPart::Incomplete);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(BodyError::MalformedChunk);
                    }
                    buffer.advance(2);
                    self.state = DecoderState::ChunkLine;
                }
                DecoderState::Trailer => match take_line(buffer, MAX_TRAILER_LINE_BYTES)? {
                    None => return Ok(BodyPart::Incomplete),
                    Some(line) if line.is_empty() => self.state = DecoderState::Done,
                    Some(_) => {}
                },
            }
        }
    }

    /// Tells the decoder that the connection ended in an orderly way.
    ///
    /// # Errors
    /// Returns that the body was cut short.
    pub fn handle_eof(&mut self) -> Result<(), BodyError> {
        match self.state {
            DecoderState::Done => Ok(()),
            DecoderState::UntilClose => {
                self.state = DecoderState::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }
}

fn split_data(buffer: &mut BytesMut, remaining: u64) -> (Bytes, u64) {
    let length = usize::try_from(remaining).unwrap_or(usize::MAX);
    let data = buffer.split_to(length.min(buffer.len())).freeze();
    let remaining = remaining - data.len() as u64;
    (data, remaining)
}

fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > limit { Err(BodyError::MalformedChunk) } else { Ok(None) };
    };
    if end == 0 || end > limit || buffer[end - 1] != b'\r' {
        return Err(BodyError::MalformedChunk);
    }
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_line(line: &[u8]) -> Result<DecoderState, BodyError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_valid =
        (1..=MAX_CHUNK_SIZE_DIGITS).contains(&size.len()) && size.iter().all(u8::is_ascii_hexdigit);
    if !is_valid || line.contains(&b'\r') {
        return Err(BodyError::MalformedChunk);
    }
    let text = std::str::from_utf8(size).map_err(|_| BodyError::MalformedChunk)?;
    match u64::from_str_radix(text, 16).map_err(|_| BodyError::MalformedChunk)? {
        0 => Ok(DecoderState::Trailer),
        size => Ok(DecoderState::Chunk(size)),
    }
}

/// Writes `data` to `out` as one chunk.
pub fn write_chunk(data: &[u8], out: &mut BytesMut) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
