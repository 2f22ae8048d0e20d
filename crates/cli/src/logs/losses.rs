//! `reelreel losses`: counts logged requests by cause, with their waits for adapters, and events over time.

use std::{collections::BTreeMap, fmt::Write as _, path::PathBuf};

use reelreel_gateway::{events::HostEvent, traffic::request_log::LOG_SAMPLE_INTERVAL};
use serde::Serialize;

use super::{
    cause::{RequestCause, RequestLine},
    line::{HostLogs, LogLine},
};
use crate::output::OutputFormat;

/// Interval covered by one row of the table over time.
const INTERVAL_MS: u64 = 2000;

/// Requests of one cause and route.
#[derive(Debug, Serialize)]
struct CauseRow {
    cause: String,
    route: String,
    requests: u64,
    /// Mean wait for an adapter. Unit: milliseconds.
    waited: u64,
    /// Mean total duration. Unit: milliseconds.
    total: u64,
}

/// Event counts of one interval.
#[derive(Debug, Default, Serialize)]
struct IntervalRow {
    /// Start of the interval, counted from the first line. Unit: milliseconds.
    from: u64,
    served: u64,
    lost: u64,
    loads: u64,
    unloads: u64,
    /// Orders that were neither accepted nor already done.
    lost_orders: u64,
}

#[derive(Debug, Serialize)]
struct LossTable {
    causes: Vec<CauseRow>,
    spans: Vec<IntervalRow>,
    passed_over: usize,
}

/// Counts the requests logged in `files` by cause.
///
/// # Errors
/// Returns an error if a file cannot be read.
pub(crate) fn losses(files: &[PathBuf], output: OutputFormat) -> eyre::Result<String> {
    let logs = HostLogs::read(files)?;
    let table = LossTable {
        causes: cause_rows(&logs),
        spans: interval_rows(&logs),
        passed_over: logs.skipped_lines,
    };
    match output {
        OutputFormat::Json => Ok(serde_json::to_string_pretty(&table)?),
        OutputFormat::Text => format_table(&table),
    }
}

fn cause_rows(logs: &HostLogs) -> Vec<CauseRow> {
    let mut totals: BTreeMap<(RequestCause, String), (u64, u64, u64)> = BTreeMap::new();
    for request in logs.lines.iter().filter_map(RequestLine::from_log_line) {
        let cause = RequestCause::classify(&request, logs);
        let count = requests_per_line(&cause);
        let sum = totals.entry((cause, request.event.route.clone())).or_default();
        sum.0 += count;
        sum.1 += count * request.event.waited;
        sum.2 += count * request.event.total;
    }
    let rows = totals.into_iter().map(|((cause, route), (requests, waited, total))| CauseRow {
        cause: cause.to_string(),
        route,
        requests,
        waited: waited / requests,
        total: total / requests,
    });
    let mut rows: Vec<CauseRow> = rows.collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
    rows
}

/// Returns how many requests one line represents: served requests are sampled.
fn requests_per_line(cause: &RequestCause) -> u64 {
    if *cause == RequestCause::Served { LOG_SAMPLE_INTERVAL } else { 1 }
}

fn interval_rows(logs: &HostLogs) -> Vec<IntervalRow> {
    let Some(begin) = logs.lines.first().map(|line| line.at) else { return Vec::new() };
    let mut rows: BTreeMap<u64, IntervalRow> = BTreeMap::new();
    for line in &logs.lines {
        let from = (line.at - begin) / INTERVAL_MS * INTERVAL_MS;
        let row =
            rows.entry(from).or_insert_with(|| IntervalRow { from, ..IntervalRow::default() });
        add_line(row, line);
    }
    rows.into_values().collect()
}

fn add_line(row: &mut IntervalRow, line: &LogLine) {
    match &line.event {
        HostEvent::Request(event) if event.outcome == "answered" => {
            row.served += LOG_SAMPLE_INTERVAL;
        }
        HostEvent::Request(_) => row.lost += 1,
        HostEvent::Order { kind, answer, .. } => match (kind.as_str(), answer.as_str()) {
            ("unload", "Accepted" | "Done") => row.unloads += 1,
            (_, "Accepted") => row.loads += 1,
            (_, "Done") => {}
            _ => row.lost_orders += 1,
        },
        _ => {}
    }
}

fn format_table(table: &LossTable) -> eyre::Result<String> {
    let mut text = String::new();
    writeln!(
        text,
        "{:>8}  {:<48} {:<16} {:>8} {:>8}",
        "requests", "cause", "route", "waited", "total"
    )?;
    for row in &table.causes {
        let CauseRow { cause, route, requests, waited, total } = row;
        writeln!(text, "{requests:>8}  {cause:<48} {route:<16} {waited:>8} {total:>8}")?;
    }
    writeln!(
        text,
        "\nServed requests are estimated: one in {LOG_SAMPLE_INTERVAL} is logged. Times are means in ms."
    )?;
    writeln!(
        text,
        "\n{:>8} {:>8} {:>8} {:>8} {:>8} {:>12}",
        "from ms", "served", "lost", "loads", "unloads", "lost orders"
    )?;
    for row in &table.spans {
        let IntervalRow { from, served, lost, loads, unloads, lost_orders } = row;
        writeln!(
            text,
            "{from:>8} {served:>8} {lost:>8} {loads:>8} {unloads:>8} {lost_orders:>12}"
        )?;
    }
    if table.passed_over > 0 {
        writeln!(text, "\n{} lines are not host events.", table.passed_over)?;
    }
    Ok(text)
}
