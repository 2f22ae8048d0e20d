//! Structured events, written to standard output as lines of JSON without ever blocking.
//!
//! Events pass through a bounded queue to one writer thread. If the queue is full, an event is
//! dropped and counted; the next line that is written contains the count.

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

use reelreel_core::fleet::quarantine::TraitKind;
use serde::{Deserialize, Serialize};

/// Maximum number of events queued for the writer.
const QUEUE_LENGTH: usize = 512;

/// Stack size of the writer thread. Unit: bytes.
const WRITER_STACK_SIZE: usize = 128 * 1024;

/// An event in the life of the host, a request, an engine or a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HostEvent {
    /// The process accepts connections.
    Started {
        /// Address for clients.
        clients: SocketAddr,
        /// Address for other hosts.
        peers: SocketAddr,
    },
    /// The settings were read again.
    Reloaded {
        /// Why they are invalid; absent if they were applied.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        mistake: Option<String>,
    },
    /// A graceful shutdown started.
    Stopping {
        /// Number of open requests.
        open: usize,
    },
    /// The process ends.
    Stopped {
        /// Number of requests that were aborted.
        open: usize,
    },
    /// A configuration came into force.
    ConfigurationInForce {
        /// Its revision.
        revision: u64,
        /// The era of the store in which it was read.
        #[serde(default)]
        era: u64,
        /// Its offset in its topic.
        #[serde(default)]
        offset: u64,
    },
    /// The host started or stopped serving keys, depending on the freshness of the configuration.
    Freshness {
        /// Fresh, expired, superseded or unknown.
        state: Cow<'static, str>,
        /// Time since the configuration was known to be the latest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// The store has become unavailable.
    StoreLost {
        /// The topic that was read.
        what: Cow<'static, str>,
    },
    /// The store has become available again.
    StoreRegained {
        /// The topic that was read.
        what: Cow<'static, str>,
    },
    /// The store was restored from an older copy: later records are lost, and their offsets are
    /// used again.
    StoreEra {
        /// The previous era.
        from: u64,
        /// The current era.
        to: u64,
        /// Where the host learned of it: the store, or the address of a peer.
        teller: Cow<'static, str>,
        /// Time since the configuration was known to be the latest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// The host serves by what it has read from the store.
    ServingStarted {
        /// Why it may: the store was never restored, a verified peer has sent its state, or any peer
        /// has if no organisations have keys, the store has the restore record, or the time in which
        /// lost records are written again is over.
        cause: Cow<'static, str>,
        /// The address of that peer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        peer: Option<SocketAddr>,
        /// Time since the host started to read the store. Unit: milliseconds.
        age: u64,
    },
    /// A topic of the store was read in full.
    TopicRead {
        /// The topic that was read.
        what: Cow<'static, str>,
        /// Number of keys.
        records: usize,
        /// The era of the store.
        era: u64,
        /// Offset of its end.
        end: u64,
        /// The era that was known before.
        known_era: u64,
        /// How far the topic was known in that era; greater than `end` if records that this host
        /// has seen are lost.
        known: u64,
    },
    /// The host follows a reader of the store.
    Following {
        /// The reader's address for peers.
        reader: String,
    },
    /// The reader that this host followed no longer responds or is no reader any more.
    ReaderLost {
        /// The reader's address for peers.
        reader: String,
        /// Why: its feed timed out or ended, or this host reads the store itself.
        #[serde(default, skip_serializing_if = "str::is_empty")]
        cause: Cow<'static, str>,
        /// Received part of a frame that was not complete. Unit: bytes.
        #[serde(default, skip_serializing_if = "is_zero")]
        received: u64,
    },
    /// This host started or stopped reading the store for others.
    Reading {
        /// Whether it is a reader.
        reads: bool,
        /// Time since its configuration was known to be the latest. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        age: Option<u64>,
    },
    /// The estimated number of hosts that share fleet-wide budgets has changed.
    HostsCounted {
        /// The number of hosts.
        hosts: u32,
    },
    /// The limit of a plain service over all hosts, written by the coordinator at most once a second.
    ServiceLimit {
        /// The service.
        service: String,
        /// Admitted rate; absent once the limit has ended. Unit: requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
        /// Weighted rate of arrivals at all hosts. Unit: requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        arrivals: Option<f64>,
        /// Number of servers that accept requests.
        servers: u32,
        /// Sends that full servers refused since the last such event.
        full: u32,
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
    /// An engine has restarted under the same name and has lost its state.
    EngineReborn {
        /// The engine.
        engine: String,
        /// Start of its new incarnation by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
    },
    /// An engine gets no new requests.
    EngineLeaving {
        /// The engine.
        engine: String,
    },
    /// This host has learned that an engine is leaving.
    DepartureLearned {
        /// The engine.
        engine: String,
        /// Start of the leaving incarnation by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// Where the host learned of it: a response of the engine, another host, or the engine's
        /// entry.
        source: Cow<'static, str>,
        /// Time since the announcement. Unit: milliseconds.
        age: u64,
    },
    /// An engine has requested a cooldown from this host.
    CooldownBegan {
        /// The engine.
        engine: String,
        /// Start of the requesting incarnation by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// Length of the cooldown. Unit: milliseconds.
        millis: u64,
    },
    /// An engine accepts requests of this host without restriction again, or has ended.
    CooldownEnded {
        /// The engine.
        engine: String,
        /// Number of cooldowns that it requested in the meantime.
        requests: u32,
    },
    /// An engine is no longer listed.
    EngineGone {
        /// The engine.
        engine: String,
    },
    /// Whether this host can connect to engines has changed.
    Links {
        /// Connected, suspected (other engines are being tried), or isolated: no engine can be
        /// connected to.
        state: Cow<'static, str>,
        /// Number of engines to which connects failed since one last succeeded.
        failed: usize,
        /// Why the last of these connects failed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connect_failure: Option<Cow<'static, str>>,
        /// How long the host was isolated, if it no longer is. Unit: milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        isolated_millis: Option<u64>,
        /// Time since bytes were last received on an open connection to an engine; a link that is slow
        /// still carries some. Unit: milliseconds.
        #[serde(default)]
        received_ago: u64,
        /// Whether connects timed out because the links are slow, rather than cut.
        #[serde(default, skip_serializing_if = "is_false")]
        slow: bool,
    },
    /// The host's own processor or link is used up, or no longer is.
    HostLoad {
        /// Overloaded or normal.
        state: Cow<'static, str>,
        /// The resource that is closest to its limit.
        resource: Cow<'static, str>,
        /// Its use, relative to what may be used of it.
        pressure: f64,
        /// The standing delay of the event loop. Unit: milliseconds.
        loop_delay: u64,
        /// The used part of the link.
        link_use: f64,
        /// Number of open client connections.
        connections: usize,
        /// Number of client connections with a request, and of new ones.
        open: usize,
        /// Maximum number of them beside which new connections are taken on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
    },
    /// The process of an engine has ended: it refuses connections after requests at it were
    /// interrupted.
    EngineEnded {
        /// The engine.
        engine: String,
        /// Number of this host's requests that were interrupted.
        runs: usize,
        /// Number of them whose first event had arrived.
        #[serde(default)]
        begun: usize,
        /// Marks that identify these requests, the most recent first; truncated if there are many.
        marks: Vec<String>,
        /// Shared parts of their prompts, those of most requests without an event first; truncated
        /// if there are many.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<InterruptedPart>,
    },
    /// An engine has declared or changed its limit on the requests of all hosts together.
    EngineLimited {
        /// The engine.
        engine: String,
        /// Start of the declaring incarnation by its own clock. Unit: milliseconds since 1970.
        #[serde(rename = "born")]
        incarnation: u64,
        /// The limit of the rate, if there is one. Unit: requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
        /// The maximum number of open requests, if the engine is brittle.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_open: Option<u32>,
        /// The previous limit, if there was one. Unit: requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        before: Option<f64>,
    },
    /// An engine no longer declares a limit.
    LimitEnded {
        /// The engine.
        engine: String,
        /// The last declared limit of the rate, if there was one. Unit: requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
        /// The last maximum number of open requests, if the engine was brittle.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_open: Option<u32>,
    },
    /// An engine's declaration of a limit could not be parsed and was ignored.
    LimitUnreadable {
        /// The engine.
        engine: String,
        /// Number of responses with such a declaration since the last event.
        answers: u64,
    },
    /// A request, or all requests with a prompt part, were quarantined because engines crashed while
    /// running them.
    RequestHeld {
        /// The mark that identifies the request or the part.
        mark: String,
        /// What the mark identifies.
        #[serde(default)]
        kind: HeldKind,
        /// The organisation that sends the request, if its route requires keys.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        organisation: Option<String>,
        /// Number of engines that crashed.
        ends: usize,
        /// How long this host quarantines it. Unit: milliseconds.
        millis: u64,
    },
    /// A quarantined request has completed, or an answer with a quarantined prompt part has begun.
    RequestCleared {
        /// The mark that identifies the request or the part.
        mark: String,
        /// What the mark identifies.
        #[serde(default)]
        kind: HeldKind,
    },
    /// An adapter is temporarily not loaded because engines crashed while loading it.
    LoadHeld {
        /// The domain's service.
        service: String,
        /// The adapter.
        key: String,
        /// Number of consecutive engines that crashed or stopped responding.
        ends: usize,
        /// How long it is not loaded. Unit: milliseconds.
        millis: u64,
    },
    /// The state of a domain's lease has changed.
    Lease {
        /// The domain's service.
        service: String,
        /// The state.
        state: Cow<'static, str>,
        /// The tenure's token.
        token: u64,
    },
    /// The placer's estimate of the weight store's throughput has changed.
    StorePace {
        /// The domain's service.
        service: String,
        /// Number of parallel loads that do not slow each other down.
        full_speed: f64,
        /// Duration of such a load. Unit: milliseconds.
        load_millis: u64,
    },
    /// An engine responded to an order, or did not.
    Order {
        /// The engine.
        engine: String,
        /// Kind of the order: a load from the store, a load from the engine's cache, or an unload.
        kind: String,
        /// The model or adapter.
        key: String,
        /// Number of orders that the engine was expected to have taken before.
        sequence: u64,
        /// The tenure's token.
        token: u64,
        /// Value of the load when it was selected.
        worth: f64,
        /// Number of requests that waited for it.
        waiting: u32,
        /// The engine's response.
        answer: String,
        /// Time until the response. Unit: milliseconds.
        millis: u64,
    },
    /// A request ended.
    Request(Box<RequestEvent>),
}

/// What is quarantined.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldKind {
    /// A request.
    #[default]
    Request,
    /// All requests with a prompt part.
    PromptPart,
}

impl From<TraitKind> for HeldKind {
    fn from(kind: TraitKind) -> Self {
        match kind {
            TraitKind::Request => Self::Request,
            TraitKind::PromptPart => Self::PromptPart,
        }
    }
}

/// A prompt part among the runs that the end of an engine interrupted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedPart {
    /// Identifies the part without revealing it.
    pub part: String,
    /// Number of runs with it whose first event had not arrived.
    pub waiting: usize,
    /// Number of runs with it whose first event had arrived.
    pub begun: usize,
}

/// How a request ended, and why.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RequestEvent {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: String,
    /// How it ended.
    pub outcome: Cow<'static, str>,
    /// Whether the client received a complete response that exceeded a latency target of its route.
    #[serde(default, skip_serializing_if = "is_false")]
    pub late: bool,
    /// Status code sent to the client; zero if none was sent.
    pub status: u16,
    /// The time after which the client was told to retry. Unit: milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// The organisation of the key, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Fingerprint that identifies a rejected key without revealing it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<String>,
    /// Mark that identifies the request when it is retried; absent if it was answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<String>,
    /// Parts of its prompt that other requests may share, in order; truncated if there are many,
    /// and empty if it was answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// The mark for which it was quarantined: its own, or that of a part of its prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_by: Option<String>,
    /// The model or adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The last engine that it was sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<String>,
    /// The version of that engine's software.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// The attempt that brought the first event of the stream that the client resumed; empty if the
    /// client named none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resumes: Option<String>,
    /// Versions of the software of the engines whose events it relayed, if they are several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub joined: Vec<String>,
    /// The engine with a declared limit that it last waited for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limited_by: Option<String>,
    /// The engine whose cooldown it last waited for or was refused for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cooling_by: Option<String>,
    /// Fraction of requests that its host admitted when it refused this one by priority or share.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<f64>,
    /// Number of engines that it was sent to.
    pub sends: u32,
    /// Number of its sends that engines rejected.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub rejections: u32,
    /// Number of its sends over a connection to an engine that had carried it before.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub same_connection: u32,
    /// Number of engines that its host could not connect to for it.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub unconnected: u32,
    /// Why the last of these connects failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connect_failure: Option<Cow<'static, str>>,
    /// The host that it was last sent through, if its own host could connect to no engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tunnel: Option<String>,
    /// Length of its prompt. Unit: tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prompt: u64,
    /// Time spent waiting for an adapter. Unit: milliseconds.
    pub waited: u64,
    /// The cause of the last decision on its wait for a load, or on its refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cow<'static, str>>,
    /// When it was last sent. Unit: milliseconds after its arrival.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sent: u64,
    /// When the first byte of the response was sent. Unit: milliseconds after its arrival.
    pub first: u64,
    /// Longest pause between two events of its stream. Unit: milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub pause: u64,
    /// How the body of the engine's last response ended, unless as its framing announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_end: Option<Cow<'static, str>>,
    /// The framing of that body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub framing: Option<Cow<'static, str>>,
    /// Why its interrupted stream was not resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_resumed: Option<Cow<'static, str>>,
    /// When it ended. Unit: milliseconds after its arrival.
    pub total: u64,
    /// Revision of the configuration by which it was routed.
    pub revision: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
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

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_zero_u32(count: &u32) -> bool {
    *count == 0
}

/// Queues events for the writer thread without blocking.
#[derive(Debug, Clone)]
pub struct EventLog {
    sender: SyncSender<(u64, HostEvent)>,
    left_out: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the writer thread, which writes to standard output.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(host: Arc<str>) -> std::io::Result<Self> {
        Self::start_to(host, std::io::stdout())
    }

    /// Starts the writer thread, which writes to `output`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
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

    /// Queues an event, or drops and counts it if the queue is full.
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
