//! Prints results as text or JSON.

use std::{
    fmt,
    io::{self, Write},
    str::FromStr,
};

use serde::Serialize;

/// Format of printed results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON value.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("unknown format `{other}`; use text or json")),
        }
    }
}

impl fmt::Display for OutputFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// Prints a value as JSON or as the result of `text`.
pub(crate) fn print(
    format: OutputFormat,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> eyre::Result<()> {
    match format {
        OutputFormat::Text => write_out(&text()),
        OutputFormat::Json => write_out(&format!("{}\n", serde_json::to_string_pretty(value)?)),
    }
}

/// Writes to standard output. A closed pipe, as left by `head`, is not an error.
pub(crate) fn write_out(text: &str) -> eyre::Result<()> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => Ok(result?),
    }
}
