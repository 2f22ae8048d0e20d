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
    pub connections: usize,
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time to send a request head.
    pub head_time: Duration,
    /// Time to send a request body.
    pub body_time: Duration,
    /// Time an idle connection is kept.
    pub idle_time: Duration,
    /// Time a backend server may be silent within an answer.
    pub silence: Duration,
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
    pub hosts_every: Duration,
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns every mistake, in the order of their places.
    pub fn read(text: &str) -> Result<Self, Vec<SourceError>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = FieldReader { text, mistakes: Vec::new() };
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            reader.note(offset, format!("not valid TOML: {}", error.message()));
        }
        let mut values = FieldValues { numbers: BTreeMap::new(), texts: BTreeMap::new() };
        if reader.mistakes.is_empty() {
            reader.read_table("", table.get_ref(), &mut values);
            reader.fill_defaults(&mut values);
        }
        if reader.mistakes.is_empty() {
            return Ok(Self::build(&values));
        }
        reader.mistakes.sort_by_key(|mistake| (mistake.line, mistake.column));
        Err(reader.mistakes)
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
            connections: values.size("limits", "connections"),
            head_bytes: values.size("limits", "head_bytes"),
            body_bytes: values.size("limits", "body_bytes"),
            head_time: values.millis("limits", "head_ms"),
            body_time: values.millis("limits", "body_ms"),
            idle_time: values.millis("limits", "idle_ms"),
            silence: values.millis("limits", "silence_ms"),
        };
        let json = values.text("log", "format") == "json";
        Self {
            host: u32::try_from(values.number("", "host")).unwrap_or_default(),
            hall: u16::try_from(values.number("", "hall")).unwrap_or_default(),
            callers: values.address("callers"),
            peers: values.address("peers"),
            operators: values.address("operators"),
            platform: values.address("platform"),
            seeds: addresses(values.text("", "seeds")),
            log_format: if json { LogFormat::Json } else { LogFormat::Text },
            log_level: values.text("log", "level").parse().unwrap_or(log::LevelFilter::Info),
            limits,
            times,
            hosts_every: values.millis("times", "hosts_every_ms"),
        }
    }
}
