//! What a host is told and what it orders.

use std::time::Duration;

use crate::{
    clock::{ClockMillis, HybridTimestamp},
    engine::{EngineFacts, EngineOrder, EngineReport, OrderResult},
    id::{EngineId, FenceToken, HallId, HostId, Incarnation, LogOffset, RequestId, StoreEra},
    message::PeerMessage,
    node::ServerId,
    request::{ArrivedRequest, RequestRefusal},
    settings::fold::LogRecord,
};

/// The time at which an event is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeReading {
    /// The clock that decisions go by.
    pub now: ClockMillis,
    /// The wall clock, in milliseconds since the Unix epoch; only for the time line.
    pub wall_millis: u64,
}

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogStream {
    /// Publications of operators.
    Settings,
    /// Snapshots of the settings fold.
    Snapshots,
    /// Claims of idempotency keys.
    Claims,
}

impl LogStream {
    /// All streams.
    pub const ALL: [Self; 3] = [Self::Settings, Self::Snapshots, Self::Claims];

    /// Returns the stream's name at the platform.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Snapshots => "snapshots",
            Self::Claims => "claims",
        }
    }
}

/// A plain server as the platform's host list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerFacts {
    /// The server.
    pub server: ServerId,
    /// Its data hall.
    pub hall: HallId,
    /// Its service's name in the settings tree.
    pub service: String,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Its life, as the host list has it.
    pub incarnation: Incarnation,
}

/// What an entry of the host list is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostKind {
    /// An entry host of this system.
    Entry {
        /// The host.
        host: HostId,
        /// Its data hall.
        hall: HallId,
        /// Where peers reach it.
        address: String,
    },
    /// A model engine.
    Engine(EngineFacts),
    /// A plain server.
    Server(ServerFacts),
}

/// An entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Who it is.
    pub kind: HostKind,
    /// Whether the list has it as leaving.
    pub leaving: bool,
}

/// What changed in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostChange {
    /// Entries that are new or changed.
    pub entries: Vec<HostEntry>,
    /// Entry hosts that are gone.
    pub gone_hosts: Vec<HostId>,
    /// Engines that are gone.
    pub gone_engines: Vec<EngineId>,
    /// Plain servers that are gone.
    pub gone_servers: Vec<ServerId>,
}

/// Why a backend server is known not to have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection came about, so no byte left.
    NoConnection,
    /// The engine has accepted a higher token.
    StaleToken,
    /// The adapter version is not loaded there.
    NotResident,
    /// The backend server is leaving.
    Leaving,
    /// It has no room.
    Full,
    /// The sending thread came to it too late, so that the permit may have gone stale.
    Late,
}

/// How an exchange with a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchEnding {
    /// The whole answer was passed on to the caller.
    Answered,
    /// It truly was not run.
    NotRun(NotRunReason),
    /// It broke off after bytes may have arrived.
    Broke {
        /// Whether the caller has seen any of the answer.
        answer_begun: bool,
    },
    /// The backend server answered with an error, after it may have run.
    Errored,
    /// The caller hung up; the exchange was cancelled.
    CallerGone,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// Written.
    Written,
    /// Truly not written.
    Refused,
    /// No answer; it may have been written, or be so later.
    Lost,
}

/// What a host is told.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// Time has passed; comes some ten times a second.
    Tick,
    /// A caller's request has been read whole and is well formed.
    Arrived(ArrivedRequest),
    /// A caller hung up while its request waited.
    CallerGone(RequestId),
    /// An exchange with a backend server ended.
    DispatchEnded {
        /// The request.
        request: RequestId,
        /// How.
        ending: DispatchEnding,
    },
    /// A message came from another entry host.
    Peer {
        /// The sender.
        from: HostId,
        /// The sender's stamp.
        stamp: HybridTimestamp,
        /// The message.
        message: PeerMessage,
    },
    /// An engine's report came.
    Report {
        /// The engine.
        engine: EngineId,
        /// The report.
        report: EngineReport,
    },
    /// An order to an engine ended.
    OrderEnded {
        /// The order.
        order: EngineOrder,
        /// How.
        result: OrderResult,
    },
    /// The platform's host list changed.
    Hosts(HostChange),
    /// Records of a stream were read; none means that the end was reached.
    LogRead {
        /// The stream.
        stream: LogStream,
        /// The era of the log in which it was read.
        era: StoreEra,
        /// The first offset that the stream still has.
        first: LogOffset,
        /// The records, in order.
        records: Vec<LogRecord>,
        /// The offset after the stream's last record.
        end: LogOffset,
    },
    /// A stream could not be read.
    LogAway(LogStream),
    /// An append ended.
    AppendEnded {
        /// The append.
        ticket: u64,
        /// How.
        result: AppendResult,
    },
    /// The host is asked to stop.
    StopAsked,
}

/// The order to send one request to a backend server, once.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchOrder {
    /// The request.
    pub request: RequestId,
    /// Where, as `ip:port`.
    pub address: String,
    /// The adapter's name at the engine; empty for a plain server.
    pub adapter_name: String,
    /// The base model that the engine must say it runs; empty where any will do.
    pub base_model: String,
    /// The token the engine checks; zero for a plain server.
    pub token: FenceToken,
    /// The priority the engine is told.
    pub priority: i32,
    /// The most tokens of the answer; zero for a plain server.
    pub max_tokens: u32,
    /// How long the caller still waits for the first byte of the answer.
    pub max_wait: Duration,
    /// When the order was given. Whoever carries it out later than [`SEND_WITHIN`] must not.
    pub issued: ClockMillis,
}

/// How long after its order a request may be sent: a paused process must not send on waking what
/// its peers have long given up.
pub const SEND_WITHIN: Duration = Duration::from_secs(1);

/// What a host orders.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeOrder {
    /// Sends a message to another entry host.
    Send {
        /// The receiver.
        to: HostId,
        /// Where it is reached.
        address: String,
        /// The sender's stamp.
        stamp: HybridTimestamp,
        /// The message.
        message: PeerMessage,
    },
    /// Sends a request to a backend server.
    Dispatch(DispatchOrder),
    /// Tells a caller that its request ended without a whole answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and what may be relied on.
        refusal: RequestRefusal,
    },
    /// Sends an order to an engine.
    Order {
        /// Where it is reached.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// Asks an engine for its report.
    AskReport {
        /// The engine.
        engine: EngineId,
        /// Where it is reached.
        address: String,
    },
    /// Appends to a stream.
    Append {
        /// The stream.
        stream: LogStream,
        /// The record.
        payload: Vec<u8>,
        /// Names the append in [`NodeEvent::AppendEnded`].
        ticket: u64,
    },
    /// Reads a stream from this offset on, from now on.
    Follow {
        /// The stream.
        stream: LogStream,
        /// The first offset wanted.
        from: LogOffset,
    },
    /// Does not read a stream any more.
    Ignore {
        /// The stream.
        stream: LogStream,
    },
    /// The planned stop is complete: the process may exit.
    Stopped,
}
