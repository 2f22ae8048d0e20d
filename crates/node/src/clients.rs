//! The borders to outside systems as small traits, and their HTTP forms.
//!
//! Another platform or engine is met by another implementation; nothing else changes.

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

/// The outside system could not be reached, or its answer not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{system} at {address} gave no usable answer: {reason}; check that it runs and is reached")]
pub struct ClientError {
    /// Which system.
    pub system: &'static str,
    /// Where.
    pub address: String,
    /// What went wrong.
    pub reason: String,
}

/// Records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// How often the log has come back from an older copy of itself.
    pub era: StoreEra,
    /// The first offset that the stream still has.
    pub first: LogOffset,
    /// The records, in order; the first may lie beyond the offset asked for, where that expired.
    pub records: Vec<LogRecord>,
    /// The offset after the stream's last record; below the one asked for where the log came back shorter.
    pub end: LogOffset,
}

/// The platform's log.
pub trait LogClient: Send + Sync {
    /// Reads from an offset on, waiting a while for records to come.
    ///
    /// # Errors
    /// Returns why the log gave no answer.
    fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, ClientError>;

    /// Appends a record, once.
    fn append(&self, stream: LogStream, payload: &[u8]) -> AppendResult;
}

/// The platform's list of hosts.
pub trait HostListClient: Send + Sync {
    /// Returns what changed since a version, and the version to ask from next.
    ///
    /// # Errors
    /// Returns why the list gave no answer.
    fn changes(&self, since: u64) -> Result<(HostListChange, u64), ClientError>;
}

/// An order with the adapter's name as the engine knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedOrderAction {
    /// Raises the fence.
    Raise,
    /// Loads an adapter.
    Load(String),
    /// Unloads an adapter.
    Unload(String),
}

/// An engine's report with adapters' names as the engine knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedReport {
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts its changes of state.
    pub sequence: u64,
    /// The highest token it has accepted.
    pub token: FenceToken,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The adapters it holds, with how many requests run on each.
    pub adapters: Vec<(String, u32)>,
    /// The adapters it is loading.
    pub loading: Vec<String>,
}

/// A model engine's orders and reports.
pub trait EngineClient: Send + Sync {
    /// Sends an order and waits for its end.
    fn send_order(
        &self,
        address: &str,
        token: FenceToken,
        action: &NamedOrderAction,
    ) -> OrderResult;

    /// Asks for the engine's report.
    ///
    /// # Errors
    /// Returns why the engine gave no answer.
    fn report(&self, address: &str) -> Result<NamedReport, ClientError>;
}

/// Makes an HTTP client that opens a connection for each call, so that a failed call is known
/// either to have connected or not.
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

/// Says whether a call failed before any byte could have left.
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
