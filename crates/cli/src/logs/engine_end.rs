//! Summarizes the end of an engine over all hosts: the interrupted runs, and the prompt parts that
//! they have in common.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use reelreel_gateway::events::{HostEvent, InterruptedPart};

use super::{
    cause::RequestLine,
    line::{HostLogs, LogLine},
};

/// Maximum number of prompt parts shown.
const MAX_SHOWN_PARTS: usize = 4;

/// The end of an engine, as all hosts logged it.
#[derive(Debug, Default)]
pub(super) struct EngineEndSummary {
    engine: String,
    /// Number of interrupted runs.
    runs: usize,
    /// Number of them whose first event had arrived.
    begun: usize,
    /// Number of hosts whose runs were interrupted.
    hosts: usize,
    /// Parts of the runs without an event, those of most ends first.
    parts: Vec<CommonPart>,
    /// Number of engines that ended in the logs.
    all_ends: usize,
}

/// A prompt part that interrupted runs have in common.
#[derive(Debug, Default)]
struct CommonPart {
    part: String,
    /// Number of interrupted runs without an event that had it.
    waiting: usize,
    /// Number of interrupted runs with an event that had it.
    begun: usize,
    /// Number of engines in the logs that ended with such a run without an event.
    ends: usize,
}

/// The end of an engine, as one host logged it.
struct EndLine<'log> {
    host: &'log str,
    engine: &'log str,
    runs: usize,
    begun: usize,
    parts: &'log [InterruptedPart],
}

impl<'log> EndLine<'log> {
    fn from_log_line(line: &'log LogLine) -> Option<Self> {
        let HostEvent::EngineEnded { engine, runs, begun, parts, .. } = &line.event else {
            return None;
        };
        Some(Self { host: &line.host, engine, runs: *runs, begun: *begun, parts })
    }
}

impl EngineEndSummary {
    /// Summarizes the end of the engine that last ran a request, if it is logged around it.
    pub(super) fn of_request(request: &RequestLine, logs: &HostLogs) -> Option<Self> {
        let engine = request.event.engine.as_ref()?;
        let (from, until) = request.cause_window();
        let mut summary = Self { engine: engine.clone(), ..Self::default() };
        let mut hosts = BTreeSet::new();
        let mut parts: BTreeMap<&str, CommonPart> = BTreeMap::new();
        let ends = logs.lines_between(from, until).iter().filter_map(EndLine::from_log_line);
        for end in ends.filter(|end| end.engine == engine) {
            hosts.insert(end.host);
            summary.runs += end.runs;
            summary.begun += end.begun;
            for logged_part in end.parts {
                let part = parts.entry(&logged_part.part).or_default();
                part.waiting += logged_part.waiting;
                part.begun += logged_part.begun;
            }
        }
        if hosts.is_empty() {
            return None;
        }
        let ends_by_part = ends_by_part(logs);
        summary.hosts = hosts.len();
        summary.all_ends = ended_engines(logs).len();
        let parts = parts.into_iter().filter(|(_, part)| part.waiting > 0);
        let parts = parts.map(|(name, part)| CommonPart {
            part: name.to_owned(),
            ends: ends_by_part.get(name).map_or(0, BTreeSet::len),
            ..part
        });
        summary.parts = parts.collect();
        summary.parts.sort_by_key(|part| (Reverse(part.ends), part.begun, Reverse(part.waiting)));
        summary.parts.truncate(MAX_SHOWN_PARTS);
        Some(summary)
    }
}

/// Returns the engines that ended in the logs.
fn ended_engines(logs: &HostLogs) -> BTreeSet<&str> {
    logs.lines.iter().filter_map(EndLine::from_log_line).map(|end| end.engine).collect()
}

/// Returns the engines that ended while runs with a prompt part had no event yet, by part.
fn ends_by_part(logs: &HostLogs) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut ends: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for end in logs.lines.iter().filter_map(EndLine::from_log_line) {
        for part in end.parts.iter().filter(|part| part.waiting > 0) {
            ends.entry(&part.part).or_default().insert(end.engine);
        }
    }
    ends
}

impl fmt::Display for EngineEndSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { engine, runs, begun, hosts, parts, all_ends } = self;
        write!(formatter, "{engine} with {runs} runs of {hosts} hosts, {begun} with an event; ")?;
        if parts.is_empty() {
            return formatter.write_str("no prompt part is logged for the others");
        }
        formatter.write_str("prompt parts of the others:")?;
        for CommonPart { part, waiting, begun, ends } in parts {
            write!(
                formatter,
                "\n            {part} in {waiting} of them and {begun} with an event, \
                 at {ends} of {all_ends} engines that ended"
            )?;
        }
        Ok(())
    }
}
