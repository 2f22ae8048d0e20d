//! Client traits for the platform and for engines, and their HTTP implementations.
//!
//! Another platform or engine protocol is another implementation of these traits.

use std::time::Duration;

use reelreel_core::{
    engine::OrderResult,
    id::{FenceToken, Incarnation, LogOffset, StoreEra},
    node::{AppendResult, HostListChange, LogStream},
    settings::fold::LogRecord,
};

mod engine;
mod platform;

pub use engine::EngineHttpClient;
pub use platform::PlatformHttpClient;

/// An external system could not be reached or sent an invalid response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "request to {system} at {address} failed: {reason}; check that it is running and reachable"
)]
pub struct ClientError {
    /// The system, such as `platform`.
    pub system: &'static str,
    /// Its address.
    pub address: String,
    /// The cause.
    pub reason: String,
}

/// A batch of records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// The number of times the log was restored from an older copy.
    pub era: StoreEra,
    /// The first offset that the stream retains.
    pub first: LogOffset,
    /// The records, in order; the first is beyond the requested offset if that has expired.
    pub records: Vec<LogRecord>,
    /// The offset after the stream's last record; below the requested offset if the log was restored
    /// from an older copy.
    pub end: LogOffset,
}

/// A client of the platform's log.
pub trait LogClient: Send + Sync {
    /// Reads records from an offset, waiting at most `wait` for new ones.
    ///
    /// # Errors
    /// Returns why the log could not be read.
    fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, ClientError>;

    /// Appends a record without retrying.
    fn append(&self, stream: LogStream, payload: &[u8]) -> AppendResult;
}

/// A client of the platform's host list.
pub trait HostListClient: Send + Sync {
    /// Returns the changes since a version, and the version to continue from.
    ///
    /// # Errors
    /// Returns why the list could not be fetched.
    fn changes(&self, since: u64) -> Result<(HostListChange, u64), ClientError>;
}

/// An order's action with the adapter name that the engine uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedOrderAction {
    /// Raises the fence.
    Raise,
    /// Loads an adapter.
    Load(String),
    /// Unloads an adapter.
    Unload(String),
}

/// An engine's report with the adapter names that the engine uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of its state, incremented with each change.
    pub sequence: u64,
    /// The highest fence token it has accepted.
    pub token: FenceToken,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The loaded adapters, each with its number of running requests.
    pub adapters: Vec<(String, u32)>,
    /// The adapters being loaded.
    pub loading: Vec<String>,
}

/// A client of model engines.
pub trait EngineClient: Send + Sync {
    /// Sends an order and waits for its result.
    fn send_order(
        &self,
        address: &str,
        token: FenceToken,
        action: &NamedOrderAction,
    ) -> OrderResult;

    /// Fetches the engine's report.
    ///
    /// # Errors
    /// Returns why the report could not be fetched.
    fn report(&self, address: &str) -> Result<NamedReport, ClientError>;
}

/// Creates an HTTP client that opens a connection for each call: with a reused connection it would
/// be unknown whether a failed call reached the server.
fn new_agent(connect_timeout: Duration, total_timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(connect_timeout))
        .timeout_global(Some(total_timeout))
        .build()
        .into()
}

/// Returns whether a call failed before any byte of the request could have been sent.
pub fn failed_before_sending(error: &ureq::Error) -> bool {
    use std::io::ErrorKind;
    match error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}
