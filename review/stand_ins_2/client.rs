//! A client: one request over a new connection, and what it sees of the answer.

use std::{
    io::{ErrorKind, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{engine::Kind, http::Connection};

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// As its framing says: at its length, after the last chunk, or with an orderly close where it
    /// has neither.
    Complete,
    /// Before that, or with a reset.
    Broken(String),
    /// Not within the client's deadline.
    Late,
    /// There was none.
    NoAnswer(String),
}

/// What a client saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub status: u16,
    pub signed: bool,
    pub framing: &'static str,
    pub body: Vec<u8>,
    pub end: End,
    /// When it ended, since the request was sent.
    pub after: Duration,
}

/// Sends a request and reads its answer.
pub fn send(host: SocketAddr, id: &str, kind: Kind, key: &str, deadline: Duration) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        id: id.to_owned(),
        kind,
        status: 0,
        signed: false,
        framing: "none",
        body: Vec::new(),
        end: End::Late,
        after: Duration::ZERO,
    };
    seen.end = exchange(host, key, deadline, began, &mut seen);
    seen.after = began.elapsed();
    seen
}

fn exchange(host: SocketAddr, key: &str, deadline: Duration, began: Instant, seen: &mut Seen) -> End {
    let mut connection = match Connection::open(host, Duration::from_secs(1)) {
        Ok(connection) => connection,
        Err(error) => return End::NoAnswer(format!("no connection: {error}")),
    };
    let body = format!("prompt of {}", seen.id);
    let key = if key.is_empty() { String::new() } else { format!("X-Api-Key: {key}\r\n") };
    let model = "Model: m0\r\nToken-Usage: 100,80\r\nPrompt-Prefix: 5c1e07a2:100\r\n";
    let (path, fields) = match seen.kind {
        Kind::Stream => ("/stream/x", model),
        Kind::Resumable => ("/resumable/x", model),
        Kind::Draft => ("/draft/x", model),
        Kind::Plain => ("/plain/x", ""),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n{fields}\
         {key}Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        seen.id,
        deadline.as_millis(),
        body.len()
    );
    if let Err(error) = connection.socket.write_all(head.as_bytes()) {
        return End::NoAnswer(format!("not written: {error}"));
    }
    let _ = connection.socket.set_read_timeout(Some(Duration::from_millis(200)));
    let (mut raw, mut how) = (Vec::new(), None);
    while how.is_none() && began.elapsed() < deadline + Duration::from_secs(1) {
        match connection.read_more() {
            Ok(0) => how = Some(String::from("orderly close")),
            Ok(_) => {
                raw.append(&mut connection.buffer);
                if is_whole(&raw) {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => how = Some(error.to_string()),
        }
    }
    judge(&raw, how, seen)
}

/// Sends a request whose body comes in chunks over some time, and reads the status of its answer.
pub fn upload(host: SocketAddr, id: &str, size: usize, time: Duration) -> Result<u16, String> {
    const CHUNK: usize = 50_000;
    let text = |error: std::io::Error| error.to_string();
    let mut connection = Connection::open(host, Duration::from_secs(1)).map_err(text)?;
    let _ = connection.socket.set_read_timeout(Some(Duration::from_secs(10)));
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    connection.socket.write_all(head.as_bytes()).map_err(text)?;
    let chunks = size.div_ceil(CHUNK);
    let chunk = [format!("{CHUNK:x}\r\n").as_bytes(), &vec![b'x'; CHUNK], b"\r\n"].concat();
    let began = Instant::now();
    for number in 0..chunks {
        let due = time.mul_f64(number as f64 / chunks as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        connection.socket.write_all(&chunk).map_err(text)?;
    }
    connection.socket.write_all(b"0\r\n\r\n").map_err(text)?;
    connection.read_head().map(|answer| answer.status()).map_err(text)
}

/// Returns the head and the rest of an answer.
fn split(raw: &[u8]) -> Option<(String, &[u8])> {
    let end = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    Some((String::from_utf8_lossy(&raw[..end]).into_owned(), &raw[end + 4..]))
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.split("\r\n").filter_map(|line| line.split_once(':'));
    let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Decodes a chunked body; also returns whether it has its last chunk.
fn chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        if size == 0 {
            return (body, rest.len() >= end + 4);
        }
        let from = end + 2;
        body.extend_from_slice(&rest[from..rest.len().min(from + size)]);
        if rest.len() < from + size + 2 {
            return (body, false);
        }
        rest = &rest[from + size + 2..];
    }
    (body, false)
}

fn length(head: &str) -> Option<usize> {
    field(head, "content-length").and_then(|length| length.parse().ok())
}

fn is_chunked(head: &str) -> bool {
    field(head, "transfer-encoding").is_some()
}

fn is_whole(raw: &[u8]) -> bool {
    let Some((head, rest)) = split(raw) else { return false };
    match length(&head) {
        Some(length) => rest.len() >= length,
        None => is_chunked(&head) && chunks(rest).1,
    }
}

fn judge(raw: &[u8], how: Option<String>, seen: &mut Seen) -> End {
    let Some((head, rest)) = split(raw) else {
        return how.map_or(End::Late, End::NoAnswer);
    };
    seen.status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    seen.signed = field(&head, "server-signature").is_some();
    let is_complete = if let Some(length) = length(&head) {
        seen.framing = "length";
        seen.body = rest[..rest.len().min(length)].to_vec();
        rest.len() >= length
    } else if is_chunked(&head) {
        seen.framing = "chunked";
        let (body, is_complete) = chunks(rest);
        seen.body = body;
        is_complete
    } else {
        seen.framing = "until close";
        seen.body = rest.to_vec();
        how.as_deref() == Some("orderly close")
    };
    match (is_complete, how) {
        (true, _) => End::Complete,
        (false, Some(how)) => End::Broken(how),
        (false, None) => End::Late,
    }
}
