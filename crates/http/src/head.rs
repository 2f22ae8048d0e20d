//! Request and response heads: parsing, validation and writing.

use std::{fmt::Write as _, ops::RangeInclusive};

use bytes::{Buf, BytesMut};

/// Maximum number of header fields in a head.
const MAX_HEADER_FIELDS: usize = 64;

/// Status codes that a response may have (RFC 9110 section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Hop-by-hop header fields, which are never forwarded.
const CONNECTION_FIELDS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "http2-settings",
];

/// Why a head was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head exceeds the size limit or has too many header fields.
    #[error("the head is longer than the limit; send fewer or shorter header fields")]
    TooLarge,
    /// The head does not conform to RFC 9112.
    #[error("the head is malformed; end lines with CRLF and use plain header fields")]
    Malformed,
    /// The body length is given more than once, in two ways, or is not a number.
    #[error("the body's length is ambiguous; send one Content-Length or chunked coding")]
    AmbiguousLength,
    /// The request does not have exactly one `Host` field.
    #[error("a request must carry exactly one Host field")]
    InvalidHost,
    /// A transfer coding other than chunked.
    #[error("only the chunked transfer coding is supported")]
    UnsupportedCoding,
}

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// The name as written.
    pub name: String,
    /// The value, without surrounding whitespace.
    pub value: Vec<u8>,
}

/// Header fields in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderFields(Vec<HeaderField>);

impl HeaderFields {
    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push(HeaderField { name: name.into(), value: value.into() });
    }

    /// Returns an iterator over all fields.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.0.iter()
    }

    /// Returns an iterator over the values of all fields named `name`.
    pub fn values<'fields>(&'fields self, name: &str) -> impl Iterator<Item = &'fields [u8]> {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value.as_slice())
    }

    /// Returns the value of the first field named `name` if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns the value of the fields named `name` if all of them have the same one and it is valid
    /// UTF-8.
    pub fn unambiguous_text(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let first = values.next()?;
        values.all(|value| value == first).then_some(first)?;
        std::str::from_utf8(first).ok()
    }

    /// Returns whether a comma-separated list field named `name` contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            String::from_utf8_lossy(value)
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Returns the end-to-end fields, without the hop-by-hop ones.
    ///
    /// Fields listed in `Connection` are removed too, as RFC 9110 section 7.6.1 requires. Of the
    /// framing fields, `Content-Length` is kept.
    #[must_use]
    pub fn end_to_end(&self) -> Self {
        let end_to_end_fields = self.0.iter().filter(|field| {
            let end_to_end =
                !CONNECTION_FIELDS.iter().any(|name| field.name.eq_ignore_ascii_case(name));
            end_to_end && !self.has_token("connection", &field.name)
        });
        Self(end_to_end_fields.cloned().collect())
    }

    /// Replaces all fields named `name` by one field.
    pub fn replace(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove_all(&[name]);
        self.push(name, value);
    }

    /// Removes all fields with one of `names`, ignoring case.
    pub fn remove_all(&mut self, names: &[&str]) {
        self.0.retain(|field| !names.iter().any(|name| field.name.eq_ignore_ascii_case(name)));
    }

    fn write_to(&self, out: &mut BytesMut) {
        for field in &self.0 {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `POST`.
    pub method: String,
    /// The path and query, starting with a slash.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// The header fields.
    pub fields: HeaderFields,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http11: bool,
    /// The header fields.
    pub fields: HeaderFields,
}

impl RequestHead {
    /// Parses and removes a request head from the front of `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    /// Returns why the head was rejected; the connection must then be closed.
    pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        skip_blank_lines(buffer);
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        let Some(length) = check_head_length(request.parse(buffer), buffer, limit)? else {
            return Ok(None);
        };
        check_line_ends(&buffer[..length])?;
        let head = Self {
            method: request.method.ok_or(HeadError::Malformed)?.to_owned(),
            target: request.path.ok_or(HeadError::Malformed)?.to_owned(),
            is_http11: request.version == Some(1),
            fields: to_header_fields(request.headers),
        };
        if !head.target.starts_with('/') {
            return Err(HeadError::Malformed);
        }
        if head.fields.values("host").count() != 1 {
            return Err(HeadError::InvalidHost);
        }
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Appends the head and its terminating empty line to `out`.
    pub fn write_to(&self, out: &mut BytesMut) {
        out.extend_from_slice(self.method.as_bytes());
        out.extend_from_slice(b" ");
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.fields.write_to(out);
        out.extend_from_slice(b"\r\n");
    }

    /// Returns whether the peer asks for the connection to stay open.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(&self.fields, self.is_http11)
    }
}

impl ResponseHead {
    /// Creates a head without header fields.
    pub fn new(status: u16) -> Self {
        let reason = reason_phrase(status).to_owned();
        Self { status, reason, is_http11: true, fields: HeaderFields::default() }
    }

    /// Parses and removes a response head from the front of `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    /// Returns why the head was rejected; the connection must then be closed.
    pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let Some(length) = check_head_length(response.parse(buffer), buffer, limit)? else {
            return Ok(None);
        };
        check_line_ends(&buffer[..length])?;
        let status = response.code.filter(|status| VALID_STATUSES.contains(status));
        let head = Self {
            status: status.ok_or(HeadError::Malformed)?,
            reason: response.reason.unwrap_or_default().to_owned(),
            is_http11: response.version == Some(1),
            fields: to_header_fields(response.headers),
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Appends the head and its terminating empty line to `out`.
    pub fn write_to(&self, out: &mut BytesMut) {
        let mut line = String::with_capacity(32);
        let _ = write!(line, "HTTP/1.1 {} {}\r\n", self.status, self.reason);
        out.extend_from_slice(line.as_bytes());
        self.fields.write_to(out);
        out.extend_from_slice(b"\r\n");
    }

    /// Returns whether the peer keeps the connection open after this response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(&self.fields, self.is_http11)
    }
}

/// Returns the standard reason phrase of a status code.
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn keeps_connection(fields: &HeaderFields, is_http11: bool) -> bool {
    if fields.has_token("connection", "close") {
        return false;
    }
    is_http11 || fields.has_token("connection", "keep-alive")
}

fn check_head_length(
    result: Result<httparse::Status<usize>, httparse::Error>,
    buffer: &BytesMut,
    limit: usize,
) -> Result<Option<usize>, HeadError> {
    match result {
        Ok(httparse::Status::Complete(length)) if length > limit => Err(HeadError::TooLarge),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() >= limit => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Rejects line feeds without a carriage return: two parsers could split such a head differently.
fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    let has_bare_line_feed = head
        .iter()
        .enumerate()
        .any(|(index, byte)| *byte == b'\n' && (index == 0 || head[index - 1] != b'\r'));
    if has_bare_line_feed { Err(HeadError::Malformed) } else { Ok(()) }
}

/// Skips empty lines before a request line, as RFC 9112 section 2.2 recommends.
fn skip_blank_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn to_header_fields(fields: &[httparse::Header<'_>]) -> HeaderFields {
    let fields = fields
        .iter()
        .map(|field| HeaderField { name: field.name.to_owned(), value: field.value.to_vec() });
    HeaderFields(fields.collect())
}
