//! A host's own settings file, checked as a whole: every mistake is named at once.

mod fields;
mod reader;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reelreel_core::{node::NodeTimes, settings::source::SourceError};
use toml::de::DeTable;

pub use fields::{FIELDS, FieldKind, FieldSpec, describe};
use reader::{FieldReader, FieldValues, addresses};

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// Bytes of a request head.
    pub max_head_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Time to send a request head.
    pub head_timeout: Duration,
    /// Time to send a request body.
    pub body_timeout: Duration,
    /// Time an idle connection is kept.
    pub idle_timeout: Duration,
    /// Time a backend server may be silent within an answer.
    pub read_timeout: Duration,
}

/// A host's own settings.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The host.
    pub host: u32,
    /// Its data hall.
    pub hall: u16,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Where some peers are reached.
    pub seeds: Vec<String>,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Which log lines are written.
    pub log_level: log::LevelFilter,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The times it goes by.
    pub times: NodeTimes,
    /// How often the host list is asked for changes.
    pub host_list_interval: Duration,
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns every mistake, in the order of their places.
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
            seeds: addresses(values.text("", "seeds")),
            log_format: if json { LogFormat::Json } else { LogFormat::Text },
            log_level: values.text("log", "level").parse().unwrap_or(log::LevelFilter::Info),
            limits,
            times,
            host_list_interval: values.millis("times", "hosts_every_ms"),
        }
    }
}
