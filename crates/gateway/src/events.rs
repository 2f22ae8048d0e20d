//! Structured log lines on standard output, one for each decision, never waited for.
//!
//! Events go through a bounded queue to one writer thread. When the queue is full an event is left
//! out and counted; the next line that fits says how many were.

use std::{
    borrow::Cow,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// How many lines wait for the writer at most.
const QUEUE_LENGTH: usize = 512;

/// The writer thread's stack. Unit: bytes.
const WRITER_STACK_SIZE: usize = 128 * 1024;

/// How a request's way ended, or what was decided on it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HostEvent {
    /// The process serves its addresses.
    Started {
        /// Where clients connect.
        clients: SocketAddr,
        /// Where other hosts connect.
        peers: SocketAddr,
    },
    /// The settings were read anew.
    Reloaded {
        /// What is wrong with them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        mistake: Option<String>,
    },
    /// A planned stop began.
    Stopping {
        /// Requests that were open.
        open: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut off.
        open: usize,
    },
    /// A configuration came into force.
    ConfigurationInForce {
        /// Its number.
        revision: u64,
        /// The era of the store in which it was read.
        #[serde(default)]
        era: u64,
        /// Where in its topic it stands.
        #[serde(default)]
        offset: u64,
    },
    /// Keys begin or cease to be served, by how new the configuration is known to be.
    Freshness {
        /// Fresh, expired, superseded or unknown.
        state: Cow<'static, str>,
        /// How long ago the configuration was known to be the newest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// The store gave no useful answer after it had.
    StoreLost {
        /// What was read.
        what: Cow<'static, str>,
    },
    /// The store answers again.
    StoreRegained {
        /// What was read.
        what: Cow<'static, str>,
    },
    /// The store has come back from an older copy of itself: what it took since is gone, and its offsets are given out again.
    StoreEra {
        /// The era before.
        from: u64,
        /// The era that it tells now.
        to: u64,
        /// Who told this host: the store, or a peer's address.
        teller: Cow<'static, str>,
        /// How long ago the configuration was known to be the newest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// A topic of the store was read whole.
    TopicRead {
        /// What was read.
        what: Cow<'static, str>,
        /// How many keys it has.
        records: usize,
        /// The era of the store.
        era: u64,
        /// Where it ends.
        end: u64,
        /// The era up to which it was known before.
        known_era: u64,
        /// How far it was known in that era; beyond the end where records are gone that this host has seen.
        known: u64,
    },
    /// The host follows another one that reads the store for it.
    Following {
        /// That host's address for peers.
        reader: String,
    },
    /// The host that was followed fell silent or reads no longer.
    ReaderLost {
        /// That host's address for peers.
        reader: String,
    },
    /// This host begins or ceases to pass on to others what it reads from the store.
    Reading {
        /// Whether it does.
        reads: bool,
        /// How long ago its configuration was known to be the newest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// The number of hosts that share what is counted over all of them is another one now.
    HostsCounted {
        /// The number.
        hosts: u32,
    },
    /// An engine was listed.
    EngineJoined {
        /// The engine.
        engine: String,
        /// Its service.
        service: String,
        /// Its address.
        address: SocketAddr,
    },
    /// An engine has started again under the name that it had: it holds and knows nothing of before.
    EngineReborn {
        /// The engine.
        engine: String,
        /// When its present life began, by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
    },
    /// An engine gets no more work.
    EngineLeaving {
        /// The engine.
        engine: String,
    },
    /// This host has learned that an engine is leaving.
    DepartureLearned {
        /// The engine.
        engine: String,
        /// When the incarnation that leaves began, by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// Where the host learned of it: a response of the engine, another host, or the engine's entry.
        source: Cow<'static, str>,
        /// How long ago it was announced. Unit: milliseconds.
        age: u64,
    },
    /// An engine has asked this host for a cooldown.
    CooldownBegan {
        /// The engine.
        engine: String,
        /// When the incarnation that asks for it began, by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// Its length. Unit: milliseconds.
        millis: u64,
    },
    /// An engine takes requests of this host without restriction again, or has ended.
    CooldownEnded {
        /// The engine.
        engine: String,
        /// How often it asked for a cooldown meanwhile.
        requests: u32,
    },
    /// An engine is listed no more.
    EngineGone {
        /// The engine.
        engine: String,
    },
    /// An engine refuses connections after runs at it broke off: its process has ended.
    EngineEnded {
        /// The engine.
        engine: String,
        /// The runs of this host that broke off.
        runs: usize,
        /// By what the requests among them are known again, those that began last first; some of them where
        /// there were many.
        marks: Vec<String>,
    },
    /// An engine says how many requests a second it takes from all hosts together, or another number than before.
    EngineLimited {
        /// The engine.
        engine: String,
        /// When the life that says so began, by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// What it takes. Unit: requests a second.
        limit: f64,
        /// What it had said before, if that still held.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        before: Option<f64>,
    },
    /// An engine says no more that it takes only so many requests.
    LimitEnded {
        /// The engine.
        engine: String,
        /// What it had said that it takes. Unit: requests a second.
        limit: f64,
    },
    /// An engine says something of the requests that it takes which can not be read; it changes nothing.
    LimitUnreadable {
        /// The engine.
        engine: String,
        /// How many answers said such a thing since the last line.
        answers: u64,
    },
    /// A request is held back since engines ended under it.
    RequestHeld {
        /// By what it is known again.
        mark: String,
        /// Who sends it, where keys tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        organisation: Option<String>,
        /// How many engines ended under it one after the other.
        ends: usize,
        /// For how long this host holds it back. Unit: milliseconds.
        millis: u64,
    },
    /// A request that was held back has run whole.
    RequestCleared {
        /// By what it is known again.
        mark: String,
    },
    /// An adapter is not loaded for a while, since engines ended under its loads.
    LoadHeld {
        /// The domain's service.
        service: String,
        /// The adapter.
        key: String,
        /// How many engines ended one after the other, or gave no sign of life since.
        ends: usize,
        /// For how long it is not loaded. Unit: milliseconds.
        millis: u64,
    },
    /// The lease of a placement domain moved to another state.
    Lease {
        /// The domain's service.
        service: String,
        /// The state.
        state: Cow<'static, str>,
        /// The tenure's token.
        token: u64,
    },
    /// The placer takes the weight store to serve adapters at another pace.
    StorePace {
        /// The domain's service.
        service: String,
        /// How many come at a time without slowing one another down.
        full_speed: f64,
        /// How long one of these takes. Unit: milliseconds.
        load_millis: u64,
    },
    /// An engine answered an order, or did not.
    Order {
        /// The engine.
        engine: String,
        /// Load or unload, and from where.
        kind: String,
        /// The model or adapter.
        key: String,
        /// Orders that the engine was to have taken before.
        sequence: u64,
        /// The tenure's token.
        token: u64,
        /// The worth of the load when it was picked.
        worth: f64,
        /// Requests that waited for it.
        waiting: u32,
        /// What the engine said.
        answer: String,
        /// How long that took. Unit: milliseconds.
        millis: u64,
    },
    /// A request ended.
    Request(RequestEvent),
}

/// How one request ended, and what decided it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RequestEvent {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: String,
    /// How it ended.
    pub outcome: Cow<'static, str>,
    /// Whether its client got a whole answer, but later than the route wants it, or with a longer pause.
    #[serde(default, skip_serializing_if = "is_false")]
    pub late: bool,
    /// The status that the client got; zero when it got none.
    pub status: u16,
    /// Who asked, where a key told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// What tells a refused key apart from others, without giving it away.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// By what the request is known again when it comes back, unless it was answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<String>,
    /// The model or adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The last engine that it was sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
    /// The engine that it last waited for since that has named a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limited_by: Option<String>,
    /// The engine whose cooldown it last waited for, or for which it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cooling_by: Option<String>,
    /// To how many engines it was sent.
    pub sends: u32,
    /// The length of its prompt. Unit: tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prompt: u64,
    /// How long it waited for an adapter. Unit: milliseconds.
    pub waited: u64,
    /// When it was sent the last time. Unit: milliseconds after its arrival.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sent: u64,
    /// When the first byte of the answer went out. Unit: milliseconds after its arrival.
    pub first: u64,
    /// The longest pause between two events of its stream. Unit: milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub pause: u64,
    /// When it ended. Unit: milliseconds after its arrival.
    pub total: u64,
    /// The configuration that decided its route.
    pub revision: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the serializer hands references")]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

#[derive(Serialize)]
struct EventLine<'event> {
    at: u64,
    host: &'event str,
    #[serde(flatten)]
    event: &'event HostEvent,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the serializer hands references")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Writes events without ever waiting.
#[derive(Debug, Clone)]
pub struct EventLog {
    sender: SyncSender<(u64, HostEvent)>,
    left_out: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the writer thread, which writes to standard output.
    ///
    /// # Errors
    /// Returns that the thread could not be started.
    pub fn start(host: Arc<str>) -> std::io::Result<Self> {
        Self::start_to(host, std::io::stdout())
    }

    /// Starts the writer thread, which writes to `output`.
    ///
    /// # Errors
    /// Returns that the thread could not be started.
    pub fn start_to(host: Arc<str>, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LENGTH);
        let left_out = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&left_out);
        std::thread::Builder::new()
            .name(String::from("events"))
            .stack_size(WRITER_STACK_SIZE)
            .spawn(move || write_events(&receiver, &host, &count, output))?;
        Ok(Self { sender, left_out })
    }

    /// Queues an event, or counts it as left out.
    pub fn write(&self, event: HostEvent) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
        if self.sender.try_send((at, event)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_events(
    receiver: &Receiver<(u64, HostEvent)>,
    host: &str,
    left_out: &AtomicU64,
    mut output: impl Write,
) {
    let mut line = Vec::with_capacity(512);
    while let Ok((at, event)) = receiver.recv() {
        line.clear();
        append_line(&mut line, host, at, &event, left_out);
        while line.len() < 16 * 1024
            && let Ok((at, event)) = receiver.try_recv()
        {
            append_line(&mut line, host, at, &event, left_out);
        }
        if output.write_all(&line).is_err() {
            return;
        }
    }
}

fn append_line(line: &mut Vec<u8>, host: &str, at: u64, event: &HostEvent, left_out: &AtomicU64) {
    let left_out = left_out.swap(0, Ordering::Relaxed);
    let event = EventLine { at, host, event, left_out };
    if serde_json::to_writer(&mut *line, &event).is_ok() {
        line.push(b'\n');
    }
}
