//! A caller's connection: reads complete requests within size and time limits.

use std::{
    fmt::Write as _,
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use reelreel_core::request::{RefusalKind, RequestRefusal};
use socket2::SockRef;

use super::{CallerServer, refusal, route};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Size of one read from the socket.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// A request's head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpHead {
    /// The method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Names, as sent, with their values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

impl HttpHead {
    /// Returns a header's value if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found =
            self.headers.iter().find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns whether a header is present, whatever its value.
    pub fn has_header(&self, name: &str) -> bool {
        self.headers.iter().any(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A complete request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// The head.
    pub head: HttpHead,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a request could not be read.
#[derive(Debug)]
enum RequestReadError {
    /// The caller closed the connection between requests.
    Closed,
    /// The request is rejected with this status and message.
    Rejected(u16, &'static str),
}

/// Serves a connection until it is closed.
pub(super) fn serve_connection(server: &CallerServer, mut stream: TcpStream) {
    drop(stream.set_nodelay(true));
    drop(stream.set_write_timeout(Some(server.limits.read_timeout)));
    let mut buffer = Vec::new();
    loop {
        match read_request(server, &mut stream, &mut buffer) {
            Ok(request) => {
                let keep_alive = request.head.keep_alive;
                server.active_requests.fetch_add(1, Ordering::Relaxed);
                let written = route::respond(server, &mut stream, &request).is_ok();
                server.active_requests.fetch_sub(1, Ordering::Relaxed);
                if !written || !keep_alive {
                    break;
                }
            }
            Err(RequestReadError::Closed) => break,
            Err(RequestReadError::Rejected(status, message)) => {
                let refusal = RequestRefusal::not_run(RefusalKind::BadRequest, message);
                drop(refusal::refuse_with_status(&mut stream, &refusal, status, false));
                drain_unread_request(&mut stream);
                break;
            }
        }
    }
    drop(stream.shutdown(std::net::Shutdown::Both));
}

/// Rejects a connection beyond the limit on open connections.
pub(super) fn refuse_over_limit(mut stream: TcpStream) {
    let message = "this host has as many connections as it may";
    let refusal = RequestRefusal::not_run(RefusalKind::Overloaded, message)
        .retry_after(Duration::from_secs(1));
    drop(stream.set_write_timeout(Some(Duration::from_millis(200))));
    drop(refusal::refuse_with_status(&mut stream, &refusal, 503, false));
}

/// Discards the unread rest of a request, which would otherwise reset the connection at the close
/// before the caller has read the response.
fn drain_unread_request(stream: &mut TcpStream) {
    const READ_TIMEOUT: Duration = Duration::from_millis(200);
    const MAX_READS: usize = 64;
    drop(stream.shutdown(std::net::Shutdown::Write));
    drop(stream.set_read_timeout(Some(READ_TIMEOUT)));
    let mut chunk = [0; READ_CHUNK_BYTES];
    for _ in 0..MAX_READS {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Reads some bytes before `deadline`; zero means that the caller closed its side.
fn read_chunk(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Instant,
) -> Result<usize, ErrorKind> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(ErrorKind::TimedOut);
    }
    stream.set_read_timeout(Some(remaining)).map_err(|error| error.kind())?;
    let mut chunk = [0; READ_CHUNK_BYTES];
    match stream.read(&mut chunk) {
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Ok(count)
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut),
        Err(error) => Err(error.kind()),
    }
}

fn read_request(
    server: &CallerServer,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Result<HttpRequest, RequestReadError> {
    let (head, head_bytes) = read_head(server, stream, buffer)?;
    buffer.drain(..head_bytes);
    let length = body_length(server, &head)?;
    if head.header("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
        let interim_response = b"HTTP/1.1 100 Continue\r\n\r\n";
        stream.write_all(interim_response).map_err(|_| RequestReadError::Closed)?;
    }
    let deadline = Instant::now() + server.limits.body_timeout;
    while buffer.len() < length {
        match read_chunk(stream, buffer, deadline) {
            Ok(0) => return Err(RequestReadError::Rejected(400, "the request body ends early")),
            Ok(_) => {}
            Err(ErrorKind::TimedOut) => {
                return Err(RequestReadError::Rejected(408, "the request body came too slowly"));
            }
            Err(_) => return Err(RequestReadError::Closed),
        }
    }
    let body = buffer.drain(..length).collect();
    Ok(HttpRequest { head, body })
}

fn read_head(
    server: &CallerServer,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Result<(HttpHead, usize), RequestReadError> {
    let idle_deadline = Instant::now() + server.limits.idle_timeout;
    let mut deadline = None;
    loop {
        if let Some(parsed) = parse_head(buffer)? {
            return Ok(parsed);
        }
        if buffer.len() >= server.limits.max_head_bytes {
            return Err(RequestReadError::Rejected(431, "the request head is too large"));
        }
        let started = !buffer.is_empty();
        if started && deadline.is_none() {
            deadline = Some(Instant::now() + server.limits.head_timeout);
        }
        match read_chunk(stream, buffer, deadline.unwrap_or(idle_deadline)) {
            Ok(0) if started => {
                return Err(RequestReadError::Rejected(400, "the request head ends early"));
            }
            Err(ErrorKind::TimedOut) if started => {
                return Err(RequestReadError::Rejected(408, "the request head came too slowly"));
            }
            Ok(0) | Err(_) => return Err(RequestReadError::Closed),
            Ok(_) => {}
        }
    }
}

/// Returns the head and its length, or `None` if it is incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<(HttpHead, usize)>, RequestReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(buffer).map_err(|error| match error {
        httparse::Error::TooManyHeaders => RequestReadError::Rejected(431, "too many headers"),
        _ => RequestReadError::Rejected(400, "the request head is not HTTP/1.1"),
    })?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    let mut head = HttpHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        headers: request
            .headers
            .iter()
            .map(|header| (header.name.to_owned(), header.value.to_vec()))
            .collect(),
        keep_alive: request.version == Some(1),
    };
    if let Some(connection) = head.header("connection") {
        let has_token =
            |token: &str| connection.split(',').any(|part| part.trim().eq_ignore_ascii_case(token));
        head.keep_alive = !has_token("close") && (head.keep_alive || has_token("keep-alive"));
    }
    Ok(Some((head, length)))
}

fn body_length(server: &CallerServer, head: &HttpHead) -> Result<usize, RequestReadError> {
    if head.has_header("transfer-encoding") {
        return Err(RequestReadError::Rejected(411, "send the body with a Content-Length"));
    }
    let lengths: Vec<&[u8]> = head
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.as_slice())
        .collect();
    let Some(first) = lengths.first() else { return Ok(0) };
    if lengths.iter().any(|length| length != first) {
        return Err(RequestReadError::Rejected(400, "the Content-Length headers differ"));
    }
    let digits = std::str::from_utf8(first)
        .ok()
        .filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse::<usize>().ok());
    match length {
        None => Err(RequestReadError::Rejected(400, "the Content-Length is not a number")),
        Some(length) if length > server.limits.max_body_bytes => {
            Err(RequestReadError::Rejected(413, "the request body is too large"))
        }
        Some(length) => Ok(length),
    }
}

/// Returns whether the caller has closed its side, without consuming bytes that it has sent.
pub(super) fn is_closed_by_caller(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let restored = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => restored.is_err(),
        Err(error) => error.kind() != ErrorKind::WouldBlock || restored.is_err(),
    }
}

/// Writes a complete response.
pub(super) fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        let _infallible = write!(head, "{name}: {value}\r\n");
    }
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let _infallible =
        write!(head, "content-length: {}\r\nconnection: {connection}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Writes a response whose body was delimited by its connection. The caller's connection must end
/// with it too: a length would vouch for an end that nothing shows.
pub(super) fn write_open_response(
    stream: &mut TcpStream,
    status: u16,
    content_type: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: {content_type}\r\nconnection: close\r\n\r\n",
        reason_phrase(status)
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    // If the process ends within the response, the connection is reset.
    SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    stream.write_all(&message)?;
    SockRef::from(&*stream).set_linger(None)
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Writes a response body in chunked coding without buffering.
#[derive(Debug)]
pub(super) struct ChunkedWriter<'a> {
    stream: &'a mut TcpStream,
}

impl<'a> ChunkedWriter<'a> {
    /// Writes the response head.
    pub(super) fn start(
        stream: &'a mut TcpStream,
        headers: &[(&str, &str)],
        keep_alive: bool,
    ) -> io::Result<Self> {
        let mut head = String::from("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n");
        for (name, value) in headers {
            let _infallible = write!(head, "{name}: {value}\r\n");
        }
        let connection = if keep_alive { "keep-alive" } else { "close" };
        let _infallible = write!(head, "connection: {connection}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        Ok(Self { stream })
    }

    /// Writes one chunk, with its framing in the same call so that it is sent as one packet if it
    /// fits.
    pub(super) fn write(&mut self, chunk: &[u8]) -> io::Result<()> {
        let mut framed = format!("{:x}\r\n", chunk.len()).into_bytes();
        framed.extend_from_slice(chunk);
        framed.extend_from_slice(b"\r\n");
        self.stream.write_all(&framed)
    }

    /// Writes the last chunk. Without it the caller detects that the response is incomplete.
    pub(super) fn finish(self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}
