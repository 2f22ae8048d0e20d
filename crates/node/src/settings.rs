//! The settings file of a host. All errors of a file are reported together.

mod fields;
mod reader;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reelreel_core::{node::NodeTimes, settings::source::SourceError};
use toml::de::DeTable;

pub use fields::{FIELDS, FieldKind, FieldSpec, describe_kind};
use reader::{FieldReader, FieldValues, split_addresses};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for a read from a backend server and for a write to a caller.
    pub read_timeout: Duration,
}

/// The settings of a host.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The host id.
    pub host: u32,
    /// The host's data hall.
    pub hall: u16,
    /// The listening address for callers.
    pub callers: SocketAddr,
    /// The listening address for peers.
    pub peers: SocketAddr,
    /// The listening address for operators.
    pub operators: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Addresses of some peers, for a start while the platform is unavailable.
    pub seeds: Vec<String>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum level of log lines.
    pub log_level: log::LevelFilter,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Intervals and timeouts of the core.
    pub times: NodeTimes,
    /// How often changes of the host list are fetched.
    pub host_list_interval: Duration,
}

impl NodeSettings {
    /// Parses a settings file.
    ///
    /// # Errors
    /// Returns all errors, ordered by position.
    pub fn parse(text: &str) -> Result<Self, Vec<SourceError>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = FieldReader { text, errors: Vec::new() };
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            reader.record(offset, format!("not valid TOML: {}", error.message()));
        }
        let mut values = FieldValues { integers: BTreeMap::new(), texts: BTreeMap::new() };
        if reader.errors.is_empty() {
            reader.read_table("", table.get_ref(), &mut values);
            reader.fill_defaults(&mut values);
        }
        if reader.errors.is_empty() {
            return Ok(Self::build(&values));
        }
        reader.errors.sort_by_key(|error| (error.line, error.column));
        Err(reader.errors)
    }

    fn build(values: &FieldValues) -> Self {
        let times = NodeTimes {
            heartbeat: values.millis("times", "heartbeat_ms"),
            ack_timeout: values.millis("times", "answer_within_ms"),
            suspicion_timeout: values.millis("times", "refute_within_ms"),
            handover_wait: values.millis("times", "handover_wait_ms"),
            quiet: values.millis("times", "quiet_ms"),
            claim_interval: values.millis("times", "claim_interval_ms"),
            report_every: values.millis("times", "report_every_ms"),
            ..NodeTimes::default()
        };
        let limits = CallerLimits {
            max_connections: values.count("limits", "connections"),
            max_head_bytes: values.count("limits", "head_bytes"),
            max_body_bytes: values.count("limits", "body_bytes"),
            head_timeout: values.millis("limits", "head_ms"),
            body_timeout: values.millis("limits", "body_ms"),
            idle_timeout: values.millis("limits", "idle_ms"),
            read_timeout: values.millis("limits", "silence_ms"),
        };
        let json = values.text("log", "format") == "json";
        Self {
            host: u32::try_from(values.integer("", "host")).unwrap_or_default(),
            hall: u16::try_from(values.integer("", "hall")).unwrap_or_default(),
            callers: values.address("callers"),
            peers: values.address("peers"),
            operators: values.address("operators"),
            platform: values.address("platform"),
            seeds: split_addresses(values.text("", "seeds")),
            log_format: if json { LogFormat::Json } else { LogFormat::Text },
            log_level: values.text("log", "level").parse().unwrap_or(log::LevelFilter::Info),
            limits,
            times,
            host_list_interval: values.millis("times", "hosts_every_ms"),
        }
    }
}
