//! A stand-in for an engine, as a process of its own, so that a scenario can kill it.
//!
//! One in twenty of its answers has neither a length nor chunks and ends with its connection, as the
//! pages allow; the others come in chunks.

use std::{
    fs::File,
    io::{BufRead, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{Connection, Message, call};

/// The interval of entries in the store, as `heartbeat_ms` in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The number of events of each stream, and the pause between two of them.
pub const EVENTS: usize = 40;
const EVENT_GAP: Duration = Duration::from_millis(100);

/// The number of parts of a plain answer.
pub const PLAIN_PARTS: usize = 12;
const PLAIN_GAP: Duration = Duration::from_millis(2);

/// The end of the ids of attempts whose answer is spoiled, and the event that is.
pub const SPOILED: &str = "-spoiled";
const SPOILED_EVENT: usize = 11;

/// Returns whether the answer to a request has neither a length nor chunks: one in
/// [`OPEN_DIVISOR`], by the number that its id ends with.
pub fn is_open(attempt: &str) -> bool {
    let number = attempt.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
    number.is_some_and(|number| number % OPEN_DIVISOR == 0)
}

/// The share of answers without a length, as the bench's `unframed` has it (x = 0.05).
const OPEN_DIVISOR: usize = 20;

/// The kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A stream of [`EVENTS`] events.
    Stream,
    /// An answer in [`EVENTS`] parts, from an engine with a model.
    Draft,
    /// A stream that may be resumed, in chunks.
    Resumable,
    /// A quick answer of a plain service.
    Plain,
}

/// Returns one event of the stream of a request.
pub fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// Returns one part of another answer.
pub fn plain_part(id: &str, number: usize) -> String {
    format!("{id} part {number}\n")
}

struct Engine {
    id: String,
    service: String,
    address: SocketAddr,
    platform: SocketAddr,
    born: u128,
    is_draining: AtomicBool,
    log: Mutex<File>,
}

impl Engine {
    fn note(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let line = format!("{now} {} {text}\n", self.id);
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    fn models(&self) -> &'static str {
        if self.service == "assist" {
            r#"[{"name":"m0","version":1,"adapters":[]}]"#
        } else {
            "[]"
        }
    }

    /// Writes the engine's entry; `rest` is the time until a planned end.
    fn register(&self, rest: Option<u64>) {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let rest = rest.map_or(String::new(), |rest| format!(",\"remaining_ms\":{rest}"));
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"phase\":\"both\",\
             \"models\":{},\"sequence\":0,\"born\":{}{rest}}}",
            self.service,
            self.address,
            self.models(),
            self.born
        );
        let target = format!("/put?topic=keyed.servers&key={}", self.id);
        let _ = call(self.platform, "POST", &target, entry.as_bytes());
    }

    fn serve(&self, socket: TcpStream) {
        let mut connection = Connection::new(socket);
        while let Ok(request) = connection.read_message() {
            match self.answer(&mut connection, &request) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Result<bool> {
        let attempt = request.field("Attempt-Id").unwrap_or_default().to_owned();
        let expected = request.field("Expect-Instance");
        let mut fields = format!("Instance-Id: {}\r\n", self.id);
        if !attempt.is_empty() {
            fields.push_str(&format!("Attempt-Id: {attempt}\r\n"));
        }
        if self.is_draining.load(Ordering::SeqCst) {
            fields.push_str("Server-Leaving: 1\r\n");
        }
        if expected.is_some_and(|expected| expected != self.id) {
            fields.push_str("Not-Executed: 1\r\n");
            connection.respond("421 Misdirected Request", &fields, b"")?;
            return Ok(true);
        }
        match request.target() {
            (_, "/report") => {
                let body = format!(
                    "{{\"phase\":\"both\",\"models\":{},\"busy\":false,\"sequence\":0,\"queued\":0,\
                     \"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
                    self.models(),
                    self.born
                );
                fields.push_str("Content-Type: application/json\r\n");
                connection.respond("200 OK", &fields, body.as_bytes())?;
                return Ok(true);
            }
            (_, "/order") => {
                self.note("order");
                connection.respond("200 OK", &fields, b"{}")?;
                return Ok(true);
            }
            (_, "/healthz") => {
                connection.respond("200 OK", &fields, b"")?;
                return Ok(true);
            }
            _ => {}
        }
        if attempt.is_empty() {
            connection.respond("400 Bad Request", "Not-Executed: 1\r\n", b"")?;
            return Ok(true);
        }
        self.note(&format!("runs {attempt}"));
        let target = request.target().1;
        if target.starts_with("/resumable/") {
            return self.stream_in_chunks(connection, request, &attempt, &fields);
        }
        let is_stream = target.starts_with("/stream/");
        let (kind, parts, gap) = if is_stream {
            ("text/event-stream", EVENTS, EVENT_GAP)
        } else if target.starts_with("/draft/") {
            ("text/plain", EVENTS, EVENT_GAP)
        } else {
            ("text/plain", PLAIN_PARTS, PLAIN_GAP)
        };
        let is_open = is_open(&attempt);
        let framing = if is_open { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Server-Signature: s.{attempt}\r\nContent-Type: {kind}\r\n\
             {framing}\r\n\r\n"
        );
        connection.socket.write_all(head.as_bytes())?;
        for number in 1..=parts {
            thread::sleep(gap);
            let part =
                if is_stream { event(&attempt, number) } else { plain_part(&attempt, number) };
            let sent = if is_open { part } else { format!("{:x}\r\n{part}\r\n", part.len()) };
            if let Err(error) = connection.socket.write_all(sent.as_bytes()) {
                self.note(&format!("stops {attempt} after part {}", number - 1));
                return Err(error);
            }
        }
        if !is_open {
            connection.socket.write_all(b"0\r\n\r\n")?;
        }
        self.note(&format!("ends {attempt} after all {parts} parts"));
        Ok(!is_open)
    }
}

impl Engine {
    /// Answers with a stream that goes on after `Last-Event-Id`.
    ///
    /// Where the id of the attempt says so, a faulty engine spoils a byte of one event, and breaks off
    /// after it.
    fn stream_in_chunks(
        &self,
        connection: &mut Connection,
        request: &Message,
        attempt: &str,
        fields: &str,
    ) -> Result<bool> {
        let after = request.field("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Server-Signature: s.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.socket.write_all(head.as_bytes())?;
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let mut part = event(attempt, number).into_bytes();
            let is_spoiled = attempt.ends_with(SPOILED) && after == 0 && number == SPOILED_EVENT;
            if is_spoiled {
                let last = part.len() - 3;
                part[last] = 0xff;
            }
            let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), &part, b"\r\n"].concat();
            connection.socket.write_all(&chunk)?;
            if is_spoiled {
                thread::sleep(Duration::from_millis(20));
                self.note(&format!("spoils event {number} of {attempt} and breaks off"));
                return Ok(false);
            }
        }
        connection.socket.write_all(b"0\r\n\r\n")?;
        self.note(&format!("ends {attempt} after the events {} to {EVENTS}", after + 1));
        Ok(true)
    }
}

/// Runs an engine until its standard input ends.
pub fn run(options: &[&str]) -> i32 {
    let [id, service, address, platform, log] = options else { return 2 };
    let (Ok(address), Ok(platform)) = (address.parse::<SocketAddr>(), platform.parse()) else {
        return 2;
    };
    let Ok(log) = File::options().create(true).append(true).open(log) else { return 2 };
    let Ok(listener) = TcpListener::bind(address) else { return 2 };
    let engine = Arc::new(Engine {
        id: (*id).to_owned(),
        service: (*service).to_owned(),
        address,
        platform,
        born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
        is_draining: AtomicBool::new(false),
        log: Mutex::new(log),
    });
    let beating = Arc::clone(&engine);
    thread::spawn(move || {
        while !beating.is_draining.load(Ordering::SeqCst) {
            beating.register(None);
            thread::sleep(HEARTBEAT);
        }
    });
    let accepting = Arc::clone(&engine);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let engine = Arc::clone(&accepting);
            thread::spawn(move || engine.serve(socket));
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        if let Some(rest) = line.strip_prefix("drain ") {
            engine.is_draining.store(true, Ordering::SeqCst);
            engine.register(rest.parse().ok());
            engine.note(&format!("says that it is draining, {rest} ms remain"));
        }
    }
    0
}
