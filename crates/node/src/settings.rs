//! A host's own settings file, checked as a whole: every mistake is named at once.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reelreel_core::{
    node::NodeTimes,
    settings::source::{SourceMistake, closest, place_of},
};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// What a key's value must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A whole number within the limits.
    Number(u64, u64),
    /// An `ip:port`.
    Address,
    /// Any number of `ip:port`s, separated by commas.
    Addresses,
    /// One of these texts.
    Choice(&'static [&'static str]),
}

/// One key of the file.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// The table it stands in; empty for the top.
    pub table: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What its value must be.
    pub kind: FieldKind,
    /// Its default as text; empty when it must be given.
    pub default: &'static str,
    /// What it means, with its unit.
    pub meaning: &'static str,
}

const fn field(
    table: &'static str,
    name: &'static str,
    kind: FieldKind,
    default: &'static str,
    meaning: &'static str,
) -> FieldSpec {
    FieldSpec { table, name, kind, default, meaning }
}

const MILLIS: FieldKind = FieldKind::Number(1, 3_600_000);

/// All keys, in the order of the reference.
pub const FIELDS: &[FieldSpec] = &[
    field(
        "",
        "host",
        FieldKind::Number(1, 16_777_215),
        "",
        "The host's number, unique on the site.",
    ),
    field(
        "",
        "hall",
        FieldKind::Number(0, 65_535),
        "",
        "The data hall's number, as in the host list.",
    ),
    field("", "callers", FieldKind::Address, "", "Where callers reach the host."),
    field("", "peers", FieldKind::Address, "", "Where other entry hosts reach the host."),
    field(
        "",
        "operators",
        FieldKind::Address,
        "",
        "Where operators reach status, metrics and health.",
    ),
    field("", "platform", FieldKind::Address, "", "Where the platform's log and host list are."),
    field(
        "",
        "seeds",
        FieldKind::Addresses,
        "",
        "Peers' addresses of some other hosts, separated by commas, for a start while the platform is away; may be empty.",
    ),
    field(
        "log",
        "format",
        FieldKind::Choice(&["text", "json"]),
        "text",
        "How log lines are written.",
    ),
    field(
        "log",
        "level",
        FieldKind::Choice(&["error", "warn", "info", "debug"]),
        "info",
        "Which log lines are written.",
    ),
    field(
        "limits",
        "connections",
        FieldKind::Number(1, 100_000),
        "4096",
        "Callers' connections at once.",
    ),
    field(
        "limits",
        "head_bytes",
        FieldKind::Number(256, 1_048_576),
        "16384",
        "The largest request head, in bytes.",
    ),
    field(
        "limits",
        "body_bytes",
        FieldKind::Number(1, 1_073_741_824),
        "4194304",
        "The largest request body, in bytes.",
    ),
    field(
        "limits",
        "head_ms",
        MILLIS,
        "5000",
        "How long a caller may take to send a request head, in milliseconds.",
    ),
    field(
        "limits",
        "body_ms",
        MILLIS,
        "10000",
        "How long a caller may take to send a request body, in milliseconds.",
    ),
    field(
        "limits",
        "idle_ms",
        MILLIS,
        "60000",
        "How long an idle connection is kept, in milliseconds.",
    ),
    field(
        "limits",
        "silence_ms",
        MILLIS,
        "10000",
        "How long a backend server may be silent within an answer, in milliseconds.",
    ),
    field("times", "heartbeat_ms", MILLIS, "1000", "How often heartbeats go out, in milliseconds."),
    field(
        "times",
        "answer_within_ms",
        MILLIS,
        "800",
        "How long the answer to a heartbeat may take, in milliseconds.",
    ),
    field(
        "times",
        "refute_within_ms",
        MILLIS,
        "3000",
        "How long a suspected host has to refute, in milliseconds.",
    ),
    field(
        "times",
        "handover_wait_ms",
        MILLIS,
        "10000",
        "How long a new owner of an engine without fence waits, in milliseconds.",
    ),
    field(
        "times",
        "quiet_ms",
        MILLIS,
        "10000",
        "How long sent bytes may take to reach an engine without fence, in milliseconds.",
    ),
    field(
        "times",
        "claim_interval_ms",
        MILLIS,
        "100",
        "The least time between two appends of claims, in milliseconds.",
    ),
    field(
        "times",
        "report_every_ms",
        MILLIS,
        "2000",
        "How often an owned engine is asked for its report, in milliseconds.",
    ),
    field(
        "times",
        "hosts_every_ms",
        MILLIS,
        "2000",
        "How often the host list is asked for changes, in milliseconds.",
    ),
];

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

type FieldName = (&'static str, &'static str);

/// The checked values by name; each fits its [`FieldKind`].
struct FieldValues {
    numbers: BTreeMap<FieldName, u64>,
    texts: BTreeMap<FieldName, String>,
}

impl FieldValues {
    fn number(&self, table: &'static str, name: &'static str) -> u64 {
        self.numbers.get(&(table, name)).copied().unwrap_or_default()
    }

    fn size(&self, table: &'static str, name: &'static str) -> usize {
        usize::try_from(self.number(table, name)).unwrap_or(usize::MAX)
    }

    fn millis(&self, table: &'static str, name: &'static str) -> Duration {
        Duration::from_millis(self.number(table, name))
    }

    fn address(&self, name: &'static str) -> SocketAddr {
        let text = self.texts.get(&("", name)).map(String::as_str).unwrap_or_default();
        text.parse().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn text(&self, table: &'static str, name: &'static str) -> &str {
        self.texts.get(&(table, name)).map(String::as_str).unwrap_or_default()
    }
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns every mistake, in the order of their places.
    pub fn read(text: &str) -> Result<Self, Vec<SourceMistake>> {
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
            answer_within: values.millis("times", "answer_within_ms"),
            refute_within: values.millis("times", "refute_within_ms"),
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

struct FieldReader<'a> {
    text: &'a str,
    mistakes: Vec<SourceMistake>,
}

impl FieldReader<'_> {
    fn note(&mut self, offset: usize, message: String) {
        let (line, column) = place_of(self.text, offset);
        self.mistakes.push(SourceMistake { line, column, message });
    }

    fn read_table(&mut self, table: &str, content: &DeTable<'_>, values: &mut FieldValues) {
        for (name, value) in content {
            let offset = name.span().start;
            let name: &str = name.get_ref();
            let is_table = FIELDS.iter().any(|field| !name.is_empty() && field.table == name);
            if let (DeValue::Table(inner), true, true) =
                (value.get_ref(), is_table, table.is_empty())
            {
                self.read_table(name, inner, values);
                continue;
            }
            let known = FIELDS.iter().find(|field| field.table == table && field.name == name);
            match known {
                Some(field) => self.read_value(field, value, values),
                None => self.unknown(offset, table, name),
            }
        }
    }

    fn unknown(&mut self, offset: usize, table: &str, name: &str) {
        let in_table = FIELDS.iter().filter(|field| field.table == table);
        let tables = FIELDS.iter().map(|field| field.table).filter(|_| table.is_empty());
        let known = in_table.map(|field| field.name).chain(tables);
        let message = match closest(name, known) {
            Some(known) => format!("unknown key `{name}`; did you mean `{known}`?"),
            None => {
                format!("unknown key `{name}`; `reelreel settings keys` lists those that exist")
            }
        };
        self.note(offset, message);
    }

    fn read_value(
        &mut self,
        field: &FieldSpec,
        value: &Spanned<DeValue<'_>>,
        values: &mut FieldValues,
    ) {
        let text = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().to_owned(),
            DeValue::String(text) => text.to_string(),
            _ => String::new(),
        };
        let quoted = matches!(value.get_ref(), DeValue::String(_));
        let fits_quotes = quoted != matches!(field.kind, FieldKind::Number(..));
        if !fits_quotes || !put(field, &text, values) {
            let message = format!("`{}` must be {}", field.name, describe(field.kind));
            self.note(value.span().start, message);
        }
    }

    fn fill_defaults(&mut self, values: &mut FieldValues) {
        for field in FIELDS {
            let name = (field.table, field.name);
            if values.numbers.contains_key(&name) || values.texts.contains_key(&name) {
                continue;
            }
            let misread = self
                .mistakes
                .iter()
                .any(|mistake| mistake.message.starts_with(&format!("`{}` must be", field.name)));
            if !put(field, field.default, values) && !misread {
                let message =
                    format!("`{}` is missing; it must be {}", field.name, describe(field.kind));
                self.note(self.text.len(), message);
            }
        }
    }
}

fn addresses(text: &str) -> Vec<String> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// Enters a value if it fits its kind; says whether it does.
fn put(field: &FieldSpec, text: &str, values: &mut FieldValues) -> bool {
    let name = (field.table, field.name);
    match field.kind {
        FieldKind::Number(low, high) => match text.parse::<u64>() {
            Ok(number) if (low..=high).contains(&number) => {
                values.numbers.insert(name, number);
                true
            }
            _ => false,
        },
        FieldKind::Address => {
            let fits = text.parse::<SocketAddr>().is_ok();
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
        FieldKind::Addresses => {
            let fits = addresses(text).iter().all(|part| part.parse::<SocketAddr>().is_ok());
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
        FieldKind::Choice(choices) => {
            let fits = choices.contains(&text);
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
    }
}

/// Returns what a value of that kind must be, for messages and the reference.
pub fn describe(kind: FieldKind) -> String {
    match kind {
        FieldKind::Number(low, high) => format!("a whole number from {low} to {high}"),
        FieldKind::Address => String::from("an IP address with port, such as \"127.0.0.1:8080\""),
        FieldKind::Addresses => String::from("IP addresses with ports, separated by commas"),
        FieldKind::Choice(choices) => format!("one of {}", choices.join(", ")),
    }
}
