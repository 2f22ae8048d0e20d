//! Parses log lines.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::Path,
};

use eyre::WrapErr;
use reelreel_gateway::events::HostEvent;
use serde::Deserialize;

/// A line of a host's log.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct LogLine {
    /// Wall-clock time. Unit: milliseconds since 1970.
    pub(super) at: u64,
    /// Host that wrote the line; earlier versions named the field `machine`.
    #[serde(alias = "machine")]
    pub(super) host: String,
    /// The logged event.
    #[serde(flatten)]
    pub(super) event: HostEvent,
    /// Number of lines dropped before this one because the queue was full.
    #[serde(default)]
    pub(super) left_out: u64,
}

/// The log lines of several hosts, sorted by time.
#[derive(Debug, Default)]
pub(super) struct HostLogs {
    /// Lines sorted by time.
    pub(super) lines: Vec<LogLine>,
    /// Number of lines that are not host events.
    pub(super) skipped_lines: usize,
}

impl HostLogs {
    /// Reads files; `-` is the standard input.
    ///
    /// Text before a line's first brace is ignored, so that a log collector may add a prefix.
    pub(super) fn read(files: &[impl AsRef<Path>]) -> eyre::Result<Self> {
        let mut logs = Self::default();
        for file in files {
            let path = file.as_ref();
            if path == Path::new("-") {
                logs.read_lines(stdin().lock())?;
                continue;
            }
            let log_file = File::open(path)
                .wrap_err_with(|| format!("cannot read log file {}", path.display()))?;
            logs.read_lines(BufReader::new(log_file))?;
        }
        logs.lines.sort_by_key(|line| line.at);
        Ok(logs)
    }

    fn read_lines(&mut self, mut reader: impl BufRead) -> eyre::Result<()> {
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            let line = text.find('{').and_then(|start| serde_json::from_str(&text[start..]).ok());
            match line {
                Some(line) => self.lines.push(line),
                None => self.skipped_lines += 1,
            }
            bytes.clear();
        }
        Ok(())
    }

    /// Returns the lines between two wall-clock times, both included.
    pub(super) fn lines_between(&self, from: u64, until: u64) -> &[LogLine] {
        let start = self.lines.partition_point(|line| line.at < from);
        let end = self.lines.partition_point(|line| line.at <= until);
        &self.lines[start..end]
    }
}
