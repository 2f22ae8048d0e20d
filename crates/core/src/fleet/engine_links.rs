//! This host's connections to engines.

use std::io::{Error, ErrorKind};

/// Why a connection to an engine could not be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectFailure {
    /// No response in time: the engine, its host or the network is down.
    TimedOut,
    /// The engine's host refused the connection: no process listens, or a device in between
    /// rejects it.
    Refused,
    /// The connection was reset.
    Reset,
    /// Another error.
    Other,
}

impl ConnectFailure {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TimedOut => "timed_out",
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Other => "other",
        }
    }
}

impl From<&Error> for ConnectFailure {
    fn from(error: &Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TimedOut,
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Self::Reset,
            _ => Self::Other,
        }
    }
}
