//! Body framing: `Content-Length`, chunked coding and read-until-close.

use bytes::{Buf, Bytes, BytesMut};

use crate::head::{HeadError, HeaderFields, RequestHead, ResponseHead};

/// Maximum length of a chunk-size line, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum length of one line of the trailer section.
const MAX_TRAILER_LINE_BYTES: usize = 4096;

/// Maximum number of bytes that chunk extensions and trailer fields of one body may have in total.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// Maximum number of hexadecimal digits in a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 12;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// An error while reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk does not conform to RFC 9112.
    #[error("a chunk is malformed; write its size in hexadecimal and end lines with CRLF")]
    MalformedChunk,
    /// Chunk extensions and trailer fields are too long in total.
    #[error("chunk extensions and trailer fields are longer than the limit; leave them out")]
    TooMuchFraming,
    /// The connection closed before the end of the body.
    #[error("the connection ended within the body")]
    Truncated,
}

/// The result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes of the body.
    Data(Bytes),
    /// The buffer has no further part; more bytes must be read from the connection.
    Incomplete,
    /// The body is complete.
    End,
}

impl BodyFraming {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }

    /// Returns the body framing of a request.
    ///
    /// # Errors
    /// Returns an error if the length is ambiguous or the transfer coding is not supported.
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

    /// Returns the body framing of the response to a request with `method`.
    ///
    /// # Errors
    /// Returns an error if the length is ambiguous or the transfer coding is not supported.
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

/// The state of a [`BodyDecoder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// This many bytes of the body remain.
    Length(u64),
    /// Expects a chunk-size line.
    ChunkLine,
    /// This many bytes of the chunk remain.
    Chunk(u64),
    /// Expects the CRLF after the chunk data.
    ChunkEnd,
    /// Expects the trailer section.
    Trailer,
    /// All bytes until the connection closes belong to the body.
    UntilClose,
    /// The body is complete.
    Done,
}

/// An incremental decoder for one message body.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
    /// Bytes of chunk extensions and trailer fields.
    framing_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for the body that starts right after the head.
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkLine,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state, framing_bytes: 0 }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Removes the next part of the body from the front of `buffer`.
    ///
    /// # Errors
    /// Returns [`BodyError::MalformedChunk`] if a chunk does not conform to RFC 9112, and
    /// [`BodyError::TooMuchFraming`] if chunk extensions and trailer fields are too long.
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
                    Some(line) => {
                        self.state = parse_chunk_line(&line)?;
                        let size = line.iter().position(|byte| *byte == b';');
                        self.count_framing(size.map_or(0, |size| line.len() - size))?;
                    }
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
                    Some(line) => self.count_framing(line.len())?,
                },
            }
        }
    }

    const fn count_framing(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.framing_bytes += bytes;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(BodyError::TooMuchFraming);
        }
        Ok(())
    }

    /// Handles an orderly close of the connection by the peer.
    ///
    /// # Errors
    /// Returns [`BodyError::Truncated`] if the body is not complete.
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

/// Appends `data` to `out` as one chunk; empty data would end the body and is skipped.
pub fn write_chunk(data: &[u8], out: &mut BytesMut) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk and the empty trailer section of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
