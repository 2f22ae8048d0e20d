//! Stand-in for a model engine or a plain server, as a process of its own.
//!
//! The body of a request tells how it is served, as `name=value` pairs joined by `&`:
//!
//! - `events`, `interval_ms`: the answer is a stream of that many events.
//! - `work_ms`: the answer is plain and takes that long.
//! - `open`: the answer has no length and ends with its connection.
//! - `surplus`: if the request is rejected, this answer is sent once more, late: in the place of the
//!   next one that is due on the connection.
//!
//! Lines on standard output tell what happens. A line `drain MILLIS` on standard input announces that
//! the engine is taken away; with a line `retire` it leaves without having said `draining`: its entry
//! goes, it serves on for a while, and ends once its last request has ended. The engine ends with its
//! standard input.

use std::{
    collections::BTreeSet,
    io::{self, BufRead, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, json_value, parameter},
    store::HEARTBEAT,
};

/// The base model of all model engines.
pub const MODEL: &str = "base";

/// The time that the load of an adapter takes.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// How long an engine serves on after its entry has gone: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2500);

/// The interval in which connections are accepted.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// How an engine is started.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// The store's address.
    pub store: SocketAddr,
    /// The number of requests that it works on at a time.
    pub slots: usize,
    /// The number of further requests that it queues.
    pub queue: usize,
    /// The adapters that it holds, separated by commas; empty for a plain server.
    pub adapters: String,
}

impl EngineOptions {
    /// Returns the arguments of the process.
    pub fn arguments(&self) -> Vec<String> {
        vec![
            String::from("engine"),
            self.id.clone(),
            self.service.clone(),
            self.address.to_string(),
            self.store.to_string(),
            self.slots.to_string(),
            self.queue.to_string(),
            self.adapters.clone(),
        ]
    }

    /// Reads the arguments of the process.
    pub fn parse(arguments: &[String]) -> Option<Self> {
        let [id, service, address, store, slots, queue, adapters] = arguments else { return None };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            slots: slots.parse().ok()?,
            queue: queue.parse().ok()?,
            adapters: adapters.clone(),
        })
    }
}

#[derive(Default)]
struct State {
    accepted: usize,
    running: usize,
    sequence: u64,
    fence: u64,
    adapters: BTreeSet<String>,
    pending: BTreeSet<String>,
    ends_at: Option<Instant>,
    is_unlisted: bool,
}

struct Engine {
    options: EngineOptions,
    state: Mutex<State>,
    slot_freed: Condvar,
}

/// Runs an engine until its standard input ends.
pub fn run(options: EngineOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let adapters = options.adapters.split(',').filter(|name| !name.is_empty());
    let state = State { adapters: adapters.map(str::to_owned).collect(), ..State::default() };
    let engine = Arc::new(Engine { options, state: Mutex::new(state), slot_freed: Condvar::new() });
    let accepting = Arc::clone(&engine);
    let accepts = Arc::new(AtomicBool::new(true));
    let accepts_still = Arc::clone(&accepts);
    listener.set_nonblocking(true)?;
    thread::spawn(move || {
        while accepts_still.load(Ordering::Acquire) {
            let Ok((socket, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let engine = Arc::clone(&accepting);
            thread::spawn(move || {
                let _ = socket.set_nonblocking(false);
                let _ = engine.serve(&mut Connection::new(socket));
            });
        }
        tell("accepts no more connections");
    });
    let beating = Arc::clone(&engine);
    thread::spawn(move || {
        while !beating.lock().is_unlisted {
            beating.write_entry();
            thread::sleep(HEARTBEAT);
        }
    });
    for line in io::stdin().lock().lines() {
        let line = line?;
        if let Some(millis) = line.strip_prefix("drain ") {
            let left = Duration::from_millis(millis.trim().parse().unwrap_or_default());
            engine.lock().ends_at = Some(Instant::now() + left);
            engine.write_entry();
            tell(&format!("draining, {millis} ms left"));
        }
        if line == "retire" {
            engine.retire(&accepts);
            return Ok(());
        }
    }
    Ok(())
}

fn tell(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_model_engine(&self) -> bool {
        !self.options.adapters.is_empty()
    }

    fn models(&self, state: &State) -> String {
        if !self.is_model_engine() {
            return String::from("[]");
        }
        let adapters = state.adapters.iter().map(|name| format!("\"{name}@1\""));
        let adapters: Vec<String> = adapters.collect();
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", adapters.join(","))
    }

    /// Leaves without having said so, and returns once the last request has ended.
    fn retire(&self, accepts: &AtomicBool) {
        self.lock().is_unlisted = true;
        self.write_entry();
        tell("its entry is gone");
        thread::sleep(SERVES_ON);
        accepts.store(false, Ordering::Release);
        thread::sleep(ACCEPT_INTERVAL * 5);
        while self.lock().accepted > 0 {
            thread::sleep(Duration::from_millis(1));
        }
        tell("has ended all requests and ends");
    }

    /// Writes the engine's entry, or removes it.
    fn write_entry(&self) {
        let entry = if self.lock().is_unlisted {
            String::new()
        } else {
            let state = self.lock();
            let phase = match state.ends_at {
                Some(end) => {
                    let left = end.saturating_duration_since(Instant::now()).as_millis();
                    format!("\"draining\",\"remaining_ms\":{left}")
                }
                None => String::from("\"ready\""),
            };
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"nyabugogo\",\"version\":\"v1\",\"slots\":{},\"state\":{phase},\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":{},\"sequence\":{}}}",
                self.options.service,
                self.options.address,
                self.options.slots,
                self.models(&state),
                state.sequence,
            )
        };
        let Ok(socket) = TcpStream::connect(self.options.store) else { return };
        let mut connection = Connection::new(socket);
        let request = format!(
            "POST /stand-in/entry?id={} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{entry}",
            self.options.id,
            entry.len()
        );
        let _ = connection.write(request.as_bytes()).and_then(|()| connection.read_head());
    }

    fn serve(self: &Arc<Self>, connection: &mut Connection) -> io::Result<()> {
        let mut surplus: Option<String> = None;
        while let Some(request) = connection.read_request()? {
            let keeps = match request.path() {
                "/order" => self.order(&request, connection)?,
                "/report" => self.report(connection)?,
                "/healthz" => {
                    let fields = format!("Instance-Id: {}\r\n", self.options.id);
                    connection.respond(200, &fields, b"")?;
                    true
                }
                _ => self.request(&request, connection, &mut surplus)?,
            };
            if !keeps {
                return Ok(());
            }
        }
        Ok(())
    }

    fn report(&self, connection: &mut Connection) -> io::Result<bool> {
        let state = self.lock();
        let pending = state.pending.iter().map(|name| format!("\"{MODEL}/{name}@1\""));
        let pending: Vec<String> = pending.collect();
        let body = format!(
            "{{\"phase\":\"both\",\"models\":{},\"busy\":false,\"sequence\":{},\"pending\":[{}],\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":131025,\"handles\":0}}",
            self.models(&state),
            state.sequence,
            pending.join(","),
            state.running,
        );
        drop(state);
        connection.respond(200, "Content-Type: application/json\r\n", body.as_bytes())?;
        Ok(true)
    }

    fn order(self: &Arc<Self>, request: &Message, connection: &mut Connection) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |key: &str| json_value(&body, key).and_then(|value| value.parse::<u64>().ok());
        let adapter = json_value(&body, "adapter").unwrap_or_default().to_owned();
        let is_other = request.field("expect-instance").is_some_and(|id| id != self.options.id);
        let status = {
            let mut state = self.lock();
            let fence = number("fencing_token").unwrap_or_default();
            if is_other {
                421
            } else if fence < state.fence {
                412
            } else if number("expected_rev").is_some_and(|expected| expected != state.sequence) {
                409
            } else if adapter.is_empty() {
                400
            } else {
                state.fence = fence;
                state.sequence += 1;
                if json_value(&body, "op") == Some("eviction") {
                    state.adapters.remove(&adapter);
                    200
                } else {
                    state.pending.insert(adapter.clone());
                    let engine = Arc::clone(self);
                    thread::spawn(move || {
                        thread::sleep(LOAD_TIME);
                        let mut state = engine.lock();
                        state.pending.remove(&adapter);
                        state.adapters.insert(adapter);
                    });
                    202
                }
            }
        };
        tell(&format!("order {status} {body}"));
        connection.respond(status, "", b"")?;
        Ok(true)
    }

    /// Serves a request; returns whether the connection is kept.
    fn request(
        &self,
        request: &Message,
        connection: &mut Connection,
        surplus: &mut Option<String>,
    ) -> io::Result<bool> {
        let id = request.field("attempt-id").unwrap_or_default().to_owned();
        let peer = connection.socket.peer_addr().map_or(0, |peer| peer.port());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let has = |name: &str| !parameter(&body, name).is_empty();
        tell(&format!("arrives {id} on connection {peer}"));
        let adapter = request.field("model").and_then(|model| model.split_once('/'));
        let adapter = adapter.map(|(_, adapter)| adapter);
        let is_here = request.field("expect-instance").is_none_or(|other| other == self.options.id);
        let is_held = adapter.is_none_or(|adapter| self.lock().adapters.contains(adapter));
        let is_version = request.field("expect-version").is_none_or(|version| version == "1");
        if !is_here || !is_held || !is_version {
            tell(&format!("rejects {id}: 421"));
            connection.respond(421, &format!("Attempt-Id: {id}\r\n"), b"")?;
            return Ok(true);
        }
        let capacity = self.options.slots + self.options.queue;
        let is_accepted = {
            let mut state = self.lock();
            let is_accepted = state.accepted < capacity;
            state.accepted += usize::from(is_accepted);
            is_accepted
        };
        if !is_accepted {
            tell(&format!("rejects {id}: 503, not executed"));
            let fields = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
            connection.respond(503, &fields, b"")?;
            *surplus = has("surplus").then_some(fields);
            return Ok(true);
        }
        let after = request.field("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let first = after.map_or(0, |after| after + 1);
        let result = self.run(&id, &body, first, connection, surplus);
        let mut state = self.lock();
        state.accepted -= 1;
        drop(state);
        self.slot_freed.notify_all();
        result
    }

    /// Runs an accepted request once a slot is free.
    fn run(
        &self,
        id: &str,
        body: &str,
        first: u64,
        connection: &mut Connection,
        surplus: &mut Option<String>,
    ) -> io::Result<bool> {
        let waiting = self.slot_freed.wait_while(self.lock(), |state| {
            state.running >= self.options.slots
        });
        waiting.unwrap_or_else(PoisonError::into_inner).running += 1;
        if connection.closes_within(Duration::from_millis(1)) {
            tell(&format!("drops {id} before it began"));
            self.lock().running -= 1;
            self.slot_freed.notify_all();
            return Ok(false);
        }
        tell(&format!("begins {id}"));
        let answered = self.answer(id, body, first, connection, surplus);
        let end = if matches!(answered, Ok(Some(_))) { "ends" } else { "drops" };
        tell(&format!("{end} {id}"));
        self.lock().running -= 1;
        self.slot_freed.notify_all();
        Ok(answered?.unwrap_or(false))
    }

    /// Answers a request, a stream from the event `first` on; returns whether the connection is kept,
    /// or nothing if the caller has left.
    fn answer(
        &self,
        id: &str,
        body: &str,
        first: u64,
        connection: &mut Connection,
        surplus: &mut Option<String>,
    ) -> io::Result<Option<bool>> {
        if let Some(fields) = surplus.take() {
            tell(&format!("sends the rejection of {id} once more"));
            connection.respond(503, &fields, b"")?;
        }
        let number = |name: &str| parameter(body, name).parse::<u64>().ok();
        let is_open = !parameter(body, "open").is_empty();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\nWeight-Versions: 1\r\n",
            self.options.id
        );
        if let Some(millis) = number("work_ms") {
            if connection.closes_within(Duration::from_millis(millis)) {
                return Ok(None);
            }
            let text = format!("answer to {id}");
            let framing =
                if is_open { String::new() } else { format!("Content-Length: {}\r\n", text.len()) };
            connection.write(format!("{head}{framing}\r\n{text}").as_bytes())?;
            return Ok(Some(!is_open));
        }
        let interval = Duration::from_millis(number("interval_ms").unwrap_or(25));
        if connection.closes_within(interval) {
            return Ok(None);
        }
        let framing = if is_open { "" } else { "Transfer-Encoding: chunked\r\n" };
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n");
        connection.write(head.as_bytes())?;
        for event in first..number("events").unwrap_or(1) {
            let text = event_text(id, event);
            let text =
                if is_open { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
            connection.write(text.as_bytes())?;
            if connection.closes_within(interval) {
                return Ok(None);
            }
        }
        if !is_open {
            connection.write(b"0\r\n\r\n")?;
        }
        Ok(Some(!is_open))
    }
}

/// Returns one event of the answer to a request.
pub fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id} piece {event}\n\n")
}
