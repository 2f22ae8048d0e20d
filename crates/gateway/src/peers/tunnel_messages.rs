//! Frames that open a tunnel: a connection to an engine through another host.
//!
//! Each tunnel has a connection of its own between the two hosts. After the response that it was
//! opened, the connection carries the bytes to and from the engine unaltered.

use std::{io::ErrorKind, net::SocketAddr};

/// Asks a host to open a tunnel to an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelRequestFrame {
    /// The requesting host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The engine's service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The engine.
    #[prost(string, tag = "3")]
    pub engine: String,
    /// The incarnation that is addressed.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// Whether a tunnel was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum TunnelOutcome {
    /// The host can't open tunnels: it is isolated or stopping, or has too many.
    Unavailable = 0,
    /// The tunnel is open.
    Opened = 1,
    /// The engine is not listed, is leaving, or has restarted.
    EngineChanged = 2,
    /// The engine refuses connections, and other engines do not.
    EngineRefused = 3,
    /// The host could not connect to the engine.
    EngineUnreachable = 4,
}

impl TunnelOutcome {
    /// Returns the name for metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::Opened => "opened",
            Self::EngineChanged => "engine_changed",
            Self::EngineRefused => "engine_refused",
            Self::EngineUnreachable => "engine_unreachable",
        }
    }

    /// Returns the error of a connect that ended with this outcome, if it is due to the engine.
    pub const fn engine_error(self) -> Option<ErrorKind> {
        match self {
            Self::Unavailable | Self::Opened => None,
            Self::EngineChanged => Some(ErrorKind::NotFound),
            Self::EngineRefused => Some(ErrorKind::ConnectionRefused),
            Self::EngineUnreachable => Some(ErrorKind::HostUnreachable),
        }
    }
}

/// The response to a [`TunnelRequestFrame`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelResponseFrame {
    /// The outcome.
    #[prost(enumeration = "TunnelOutcome", tag = "1")]
    pub outcome: i32,
}

/// A host's links to engines, as reported to the coordinator.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HostLinksMessage {
    /// The host's address for other hosts.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The host's data hall.
    #[prost(string, tag = "2")]
    pub hall: String,
    /// Whether the host can't connect to any engine.
    #[prost(bool, tag = "3")]
    pub isolated: bool,
}

/// Hosts through which the receiving host can reach engines.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TunnelHostsMessage {
    /// The hosts.
    #[prost(message, repeated, tag = "1")]
    pub hosts: Vec<HostLinksMessage>,
}

impl HostLinksMessage {
    /// Returns the host's address, if it can be parsed.
    pub fn parsed_address(&self) -> Option<SocketAddr> {
        self.address.parse().ok()
    }
}
