//! The keys of a host's settings file.

/// The type and range of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// An integer between the two bounds, inclusive.
    Integer(u64, u64),
    /// An `ip:port`.
    Address,
    /// A comma-separated list of `ip:port`, possibly empty.
    Addresses,
    /// One of these strings.
    Choice(&'static [&'static str]),
}

/// A key of the settings file.
#[derive(Debug, Clone, Copy)]
pub struct FieldSpec {
    /// The table of the key; empty at the top level.
    pub table: &'static str,
    /// The name of the key.
    pub name: &'static str,
    /// The type and range of the value.
    pub kind: FieldKind,
    /// The default as text; empty if the key is required or its default is empty.
    pub default: &'static str,
    /// The description for operators, with the unit.
    pub description: &'static str,
}

const fn field(
    table: &'static str,
    name: &'static str,
    kind: FieldKind,
    default: &'static str,
    description: &'static str,
) -> FieldSpec {
    FieldSpec { table, name, kind, default, description }
}

const MILLIS_RANGE: FieldKind = FieldKind::Integer(1, 3_600_000);

/// All keys, in the order of the reference documentation.
pub const FIELDS: &[FieldSpec] = &[
    field(
        "",
        "host",
        FieldKind::Integer(1, 16_777_215),
        "",
        "The host's number, unique on the site.",
    ),
    field(
        "",
        "hall",
        FieldKind::Integer(0, 65_535),
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
        FieldKind::Integer(1, 100_000),
        "4096",
        "Callers' connections at once.",
    ),
    field(
        "limits",
        "head_bytes",
        FieldKind::Integer(256, 1_048_576),
        "16384",
        "The largest request head, in bytes.",
    ),
    field(
        "limits",
        "body_bytes",
        FieldKind::Integer(1, 1_073_741_824),
        "4194304",
        "The largest request body, in bytes.",
    ),
    field(
        "limits",
        "head_ms",
        MILLIS_RANGE,
        "5000",
        "How long a caller may take to send a request head, in milliseconds.",
    ),
    field(
        "limits",
        "body_ms",
        MILLIS_RANGE,
        "10000",
        "How long a caller may take to send a request body, in milliseconds.",
    ),
    field(
        "limits",
        "idle_ms",
        MILLIS_RANGE,
        "60000",
        "How long an idle connection is kept, in milliseconds.",
    ),
    field(
        "limits",
        "silence_ms",
        MILLIS_RANGE,
        "10000",
        "How long a backend server may be silent within an answer, in milliseconds.",
    ),
    field(
        "times",
        "heartbeat_ms",
        MILLIS_RANGE,
        "1000",
        "How often heartbeats go out, in milliseconds.",
    ),
    field(
        "times",
        "answer_within_ms",
        MILLIS_RANGE,
        "800",
        "How long the answer to a heartbeat may take, in milliseconds.",
    ),
    field(
        "times",
        "refute_within_ms",
        MILLIS_RANGE,
        "3000",
        "How long a suspected host has to refute, in milliseconds.",
    ),
    field(
        "times",
        "handover_wait_ms",
        MILLIS_RANGE,
        "10000",
        "How long a new owner of an engine without fence waits, in milliseconds.",
    ),
    field(
        "times",
        "quiet_ms",
        MILLIS_RANGE,
        "10000",
        "How long sent bytes may take to reach an engine without fence, in milliseconds.",
    ),
    field(
        "times",
        "claim_interval_ms",
        MILLIS_RANGE,
        "100",
        "The least time between two appends of claims, in milliseconds.",
    ),
    field(
        "times",
        "report_every_ms",
        MILLIS_RANGE,
        "2000",
        "How often an owned engine is asked for its report, in milliseconds.",
    ),
    field(
        "times",
        "hosts_every_ms",
        MILLIS_RANGE,
        "2000",
        "How often the host list is asked for changes, in milliseconds.",
    ),
];

/// Describes the accepted values, for error messages and the reference documentation.
pub fn describe_kind(kind: FieldKind) -> String {
    match kind {
        FieldKind::Integer(low, high) => format!("a whole number from {low} to {high}"),
        FieldKind::Address => String::from("an IP address with port, such as \"127.0.0.1:8080\""),
        FieldKind::Addresses => String::from("IP addresses with ports, separated by commas"),
        FieldKind::Choice(choices) => format!("one of {}", choices.join(", ")),
    }
}
