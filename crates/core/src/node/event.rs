//! The events a host core handles and the actions it returns.

use std::time::Duration;

use crate::{
    clock::{ClockMillis, HybridTimestamp},
    engine::{EngineInfo, EngineOrder, EngineReport, OrderResult},
    id::{EngineId, FenceToken, HallId, HostId, Incarnation, LogOffset, RequestId, StoreEra},
    message::PeerMessage,
    node::ServerId,
    request::{ArrivedRequest, RequestRefusal},
    settings::fold::LogRecord,
};

/// The clock values at which an event is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock, which all decisions use.
    pub now: ClockMillis,
    /// The wall clock, in milliseconds since the Unix epoch; used for the timeline and the age of
    /// keys.
    pub wall_millis: u64,
}

/// A stream of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogStream {
    /// Settings published by operators.
    Settings,
    /// Snapshots of the settings state.
    Snapshots,
    /// Claims of idempotency keys.
    Claims,
}

impl LogStream {
    /// All streams.
    pub const ALL: [Self; 3] = [Self::Settings, Self::Snapshots, Self::Claims];

    /// Returns the stream's name on the platform.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Snapshots => "snapshots",
            Self::Claims => "claims",
        }
    }
}

/// A plain server as given in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// The server.
    pub server: ServerId,
    /// Its data hall.
    pub hall: HallId,
    /// Its service's name in the settings tree.
    pub service: String,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Its incarnation according to the host list.
    pub incarnation: Incarnation,
}

/// The kind of a host-list entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostKind {
    /// An entry host of this system.
    Entry {
        /// The host.
        host: HostId,
        /// Its data hall.
        hall: HallId,
        /// Its address for peers, as `ip:port`.
        address: String,
    },
    /// A model engine.
    Engine(EngineInfo),
    /// A plain server.
    Server(ServerInfo),
}

/// An entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// The host or server.
    pub kind: HostKind,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

/// A change of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostListChange {
    /// Entries that are new or changed.
    pub entries: Vec<HostEntry>,
    /// Entry hosts that were removed.
    pub removed_hosts: Vec<HostId>,
    /// Engines that were removed.
    pub removed_engines: Vec<EngineId>,
    /// Plain servers that were removed.
    pub removed_servers: Vec<ServerId>,
}

/// Why a request is known not to have run at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection was established, so nothing was sent.
    NoConnection,
    /// The engine has already accepted a higher fence token.
    StaleToken,
    /// The engine does not hold the adapter version.
    NotResident,
    /// The backend server is leaving.
    Leaving,
    /// The backend server is full.
    Full,
    /// The dispatch was older than [`MAX_DISPATCH_DELAY`], so its permit may be stale.
    DispatchTooLate,
}

/// How an exchange with a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchResult {
    /// The complete answer was passed on to the caller.
    Answered,
    /// The request did not run.
    NotRun(NotRunReason),
    /// The exchange broke off after bytes may have reached the backend server.
    Interrupted {
        /// Whether the caller has received part of the answer.
        answer_started: bool,
    },
    /// The backend server answered with an error; the request may have run.
    BackendError,
    /// The caller disconnected and the exchange was cancelled.
    CallerGone,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was written.
    Written,
    /// The record was not written.
    Refused,
    /// No answer arrived; the record may have been written or may still be.
    NoAnswer,
}

/// An event for the host core.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// Periodic tick, about ten times a second.
    Tick,
    /// A complete, well-formed request arrived.
    RequestArrived(ArrivedRequest),
    /// A caller disconnected while its request waited.
    CallerGone(RequestId),
    /// An exchange with a backend server ended.
    DispatchEnded {
        /// The request.
        request: RequestId,
        /// The result.
        result: DispatchResult,
    },
    /// A message arrived from another entry host.
    PeerMessage {
        /// The sender.
        from: HostId,
        /// The sender's timestamp.
        stamp: HybridTimestamp,
        /// The message.
        message: PeerMessage,
    },
    /// An engine's report arrived.
    EngineReported {
        /// The engine.
        engine: EngineId,
        /// The report.
        report: EngineReport,
    },
    /// An order to an engine completed or failed.
    OrderEnded {
        /// The order.
        order: EngineOrder,
        /// The result.
        result: OrderResult,
    },
    /// The platform's host list changed.
    HostListChanged(HostListChange),
    /// A read of a stream returned; an empty read means that its end was reached.
    LogRead {
        /// The stream.
        stream: LogStream,
        /// The log's era at the read.
        era: StoreEra,
        /// The first offset that the stream still retains.
        first: LogOffset,
        /// The records, in order.
        records: Vec<LogRecord>,
        /// The offset after the stream's last record.
        end: LogOffset,
    },
    /// A read of a stream failed.
    LogUnavailable(LogStream),
    /// An append completed or failed.
    AppendEnded {
        /// The ticket of the append.
        ticket: u64,
        /// The result.
        result: AppendResult,
    },
    /// The host was asked to shut down.
    StopRequested,
}

/// A single attempt to send a request to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDispatch {
    /// The request.
    pub request: RequestId,
    /// The backend server's address, as `ip:port`.
    pub address: String,
    /// The adapter's name at the engine; empty for a plain server.
    pub adapter_name: String,
    /// The base model that the engine must report; empty if any is accepted.
    pub base_model: String,
    /// The fence token that the engine checks; zero for a plain server.
    pub token: FenceToken,
    /// The priority passed to the engine.
    pub priority: i32,
    /// The token limit of the answer; zero for a plain server.
    pub max_tokens: u32,
    /// The remaining time for the first byte of the answer.
    pub max_wait: Duration,
    /// When the attempt was issued. It must not be sent later than [`MAX_DISPATCH_DELAY`] after
    /// this.
    pub issued_at: ClockMillis,
}

/// The maximum time between issuing a dispatch and sending it.
///
/// A process that resumes after a pause must not use permits that the owner has since revoked.
pub const MAX_DISPATCH_DELAY: Duration = Duration::from_secs(1);

/// An action that the I/O layer carries out for the host core.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Sends a message to another entry host.
    SendMessage {
        /// The receiving host.
        to: HostId,
        /// The receiver's address.
        address: String,
        /// The sender's timestamp.
        stamp: HybridTimestamp,
        /// The message.
        message: PeerMessage,
    },
    /// Sends a request to a backend server.
    Dispatch(RequestDispatch),
    /// Tells a caller that its request ended without a complete answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason, and whether the request may have run.
        refusal: RequestRefusal,
    },
    /// Sends an order to an engine.
    SendOrder {
        /// The receiver's address.
        address: String,
        /// The order.
        order: EngineOrder,
    },
    /// Fetches an engine's report.
    FetchReport {
        /// The engine.
        engine: EngineId,
        /// The receiver's address.
        address: String,
    },
    /// Appends to a stream.
    Append {
        /// The stream.
        stream: LogStream,
        /// The record.
        payload: Vec<u8>,
        /// Identifies the append in [`NodeEvent::AppendEnded`].
        ticket: u64,
    },
    /// Follows a stream from an offset.
    Follow {
        /// The stream.
        stream: LogStream,
        /// The first offset to read.
        from: LogOffset,
    },
    /// Stops following a stream.
    Unfollow {
        /// The stream.
        stream: LogStream,
    },
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}
