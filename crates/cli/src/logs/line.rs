//! Parses log lines.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::Path,
};

use eyre::WrapErr;
use reelreel_gateway::events::HostEvent;
use serde::Deserialize;
use serde_json::{Map, Value};

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
    /// All fields of the line as written, if it mentions the request that is explained: later
    /// versions may log fields that this one does not know.
    #[serde(skip)]
    pub(super) fields: Option<Map<String, Value>>,
}

/// The log lines of several hosts, sorted by time.
#[derive(Debug, Default)]
pub(super) struct HostLogs {
    /// Lines sorted by time.
    pub(super) lines: Vec<LogLine>,
    /// Number of lines that are not host events.
    pub(super) skipped_lines: usize,
    /// The request whose lines keep all their fields.
    explained_id: Option<String>,
}

impl HostLogs {
    /// Reads files; `-` is the standard input.
    ///
    /// Text before a line's first brace is ignored, so that a log collector may add a prefix.
    pub(super) fn read(files: &[impl AsRef<Path>]) -> eyre::Result<Self> {
        Self::default().read_files(files)
    }

    /// Reads files as [`Self::read`] does; lines that mention the request `id` keep all their fields.
    pub(super) fn read_for(files: &[impl AsRef<Path>], id: &str) -> eyre::Result<Self> {
        Self { explained_id: Some(id.to_owned()), ..Self::default() }.read_files(files)
    }

    fn read_files(mut self, files: &[impl AsRef<Path>]) -> eyre::Result<Self> {
        for file in files {
            let path = file.as_ref();
            if path == Path::new("-") {
                self.read_lines(stdin().lock())?;
                continue;
            }
            let log_file = File::open(path)
                .wrap_err_with(|| format!("cannot read log file {}", path.display()))?;
            self.read_lines(BufReader::new(log_file))?;
        }
        self.lines.sort_by_key(|line| line.at);
        Ok(self)
    }

    fn read_lines(&mut self, mut reader: impl BufRead) -> eyre::Result<()> {
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            let json = text.find('{').map(|start| &text[start..]);
            let line = json.and_then(|json| serde_json::from_str::<LogLine>(json).ok());
            match line {
                Some(mut line) => {
                    let explained = self.explained_id.as_ref().is_some_and(|id| text.contains(id));
                    line.fields =
                        json.filter(|_| explained).and_then(|json| serde_json::from_str(json).ok());
                    self.lines.push(line);
                }
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
