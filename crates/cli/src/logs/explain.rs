//! `reelreel explain`: reports the log lines related to one request and the cause of its outcome.

use std::{collections::BTreeMap, fmt::Write as _, path::PathBuf};

use eyre::bail;
use reelreel_gateway::events::HostEvent;

use super::{
    cause::{RequestCause, RequestLine},
    decision::{decision_inputs, refusal_decision},
    engine_end::EngineEndSummary,
    line::{HostLogs, LogLine},
    resume::describe_resume_failure,
};

/// Maximum number of related lines shown.
const MAX_CONTEXT_LINES: usize = 60;

/// Explains one request from the logs in `files`.
///
/// # Errors
/// Returns an error if a file cannot be read or no line mentions the request.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> eyre::Result<String> {
    let logs = HostLogs::read_for(files, id)?;
    let request = logs.lines.iter().find_map(|line| {
        let request = RequestLine::from_log_line(line)?;
        (request.event.id == id).then_some((line, request))
    });
    let Some((request_line, request)) = request else {
        bail!(
            "no log line mentions request {id}; pass the logs of all hosts, and note that only one in \
             sixteen of the requests served in time is logged"
        );
    };
    let mut text = String::new();
    write_summary(&mut text, &request)?;
    if let Some(decision) = refusal_decision(&request.event) {
        writeln!(text, "  refused   by {decision}")?;
        let inputs = request_line.fields.as_ref().map(decision_inputs).unwrap_or_default();
        writeln!(text, "  inputs    {inputs}")?;
    }
    if let Some(cause) = &request.event.not_resumed {
        writeln!(text, "  resumed   not: {}", describe_resume_failure(cause))?;
    }
    writeln!(text, "  read      {}", configuration_source(&logs, &request))?;
    if let Some(links) = links_of_host(&logs, &request) {
        writeln!(text, "  links     {links}")?;
    }
    if let Some(engine) = &request.event.limited_by {
        writeln!(text, "  limit     {}", limit_source(&logs, &request, engine))?;
    }
    if let Some(engine) = &request.event.cooling_by {
        writeln!(text, "  cooldown  {}", cooldown_source(&logs, &request, engine))?;
    }
    if let Some(summary) = EngineEndSummary::of_request(&request, &logs) {
        writeln!(text, "  ended     {summary}")?;
    }
    let (from, until) = request.cause_window();
    let context_lines: Vec<&LogLine> =
        logs.lines_between(from, until).iter().filter(|line| is_relevant(line, &request)).collect();
    writeln!(text, "\nRelated events, in milliseconds after its arrival:")?;
    for line in context_lines.iter().take(MAX_CONTEXT_LINES) {
        let after = i128::from(line.at) - i128::from(request.arrived());
        let event = serde_json::to_string(&line.event)?;
        writeln!(text, "{after:>8}  {:<20} {event}", line.host)?;
    }
    if context_lines.len() > MAX_CONTEXT_LINES {
        writeln!(text, "          and {} more lines", context_lines.len() - MAX_CONTEXT_LINES)?;
    }
    let left_out: u64 = logs.lines_between(from, until).iter().map(|line| line.left_out).sum();
    if left_out > 0 {
        writeln!(text, "          {left_out} lines were dropped by full log queues in this time")?;
    }
    writeln!(text, "\nCause: {}", RequestCause::classify(&request, &logs))?;
    Ok(text)
}

/// Describes the store position and age of the configuration that applied to a request.
fn configuration_source(logs: &HostLogs, request: &RequestLine) -> String {
    let mut before = logs.lines_between(0, request.at).iter().rev();
    let read = before.find_map(|line| match line.event {
        HostEvent::ConfigurationInForce { revision, era, offset }
            if line.host == request.host && revision == request.event.revision =>
        {
            Some((line.at, era, offset))
        }
        _ => None,
    });
    read.map_or_else(
        || String::from("no line logs where its configuration was read"),
        |(at, era, offset)| {
            let ago = request.arrived().saturating_sub(at);
            format!(
                "its configuration at offset {offset} of the store's era {era}, {ago} ms before"
            )
        },
    )
}

/// Describes the links of the request's host to engines, if it was isolated or sent the request
/// through another host.
fn links_of_host(logs: &HostLogs, request: &RequestLine) -> Option<String> {
    let (_, until) = request.cause_window();
    let mut isolated_since = BTreeMap::new();
    let mut own = None;
    for line in logs.lines_between(0, until) {
        let HostEvent::Links { state, .. } = &line.event else { continue };
        if state == "isolated" {
            isolated_since.insert(line.host.as_str(), line.at);
        } else if line.at <= request.arrived() {
            isolated_since.remove(line.host.as_str());
        }
        if line.host == request.host {
            own = isolated_since.get(line.host.as_str()).copied();
        }
    }
    let since = own.map(|at| match request.at.checked_sub(at) {
        Some(ago) => format!("isolated {ago} ms before its end"),
        None => format!("isolated {} ms after its end", at - request.at),
    });
    let forwarded =
        request.event.tunnel.as_ref().map(|address| format!("last sent through {address}"));
    if since.is_none() && forwarded.is_none() {
        return None;
    }
    let forwarded = forwarded.unwrap_or_else(|| String::from("sent through no other host"));
    let since = since.unwrap_or_else(|| String::from("no line logs since when it was isolated"));
    let others = isolated_since.keys().filter(|host| **host != request.host).count();
    Some(format!("{since}, {forwarded}; {others} other hosts were isolated too"))
}

/// Describes the rate limit that an engine had announced, its age, and the host that issued the permits.
fn limit_source(logs: &HostLogs, request: &RequestLine, engine: &str) -> String {
    let before = || logs.lines_between(0, request.at).iter().rev();
    let limit_event = before().find_map(|line| match &line.event {
        HostEvent::EngineLimited { engine: limited, limit, max_open, .. } if limited == engine => {
            Some((line.at, describe_limit(*limit, *max_open)))
        }
        _ => None,
    });
    let permit_issuer = before().find_map(|line| match &line.event {
        HostEvent::Lease { state, .. } if state == "acting" => Some(line.host.as_str()),
        _ => None,
    });
    let permit_issuer = permit_issuer.map_or_else(|| String::from("nobody"), ToOwned::to_owned);
    limit_event.map_or_else(
        || format!("no line logs the limit of {engine}; permits were issued by {permit_issuer}"),
        |(at, limit)| {
            let ago = request.arrived().saturating_sub(at);
            format!("{engine} takes {limit}, as logged {ago} ms before; permits were issued by {permit_issuer}")
        },
    )
}

fn describe_limit(limit: Option<f64>, max_open: Option<u32>) -> String {
    let rate = limit.map(|limit| format!("{limit} requests a second"));
    let open = max_open.map(|max_open| format!("{max_open} requests at a time, as it is brittle"));
    let parts: Vec<String> = rate.into_iter().chain(open).collect();
    parts.join(" and ")
}

/// Describes the cooldown that an engine had requested of the request's host, and its age.
fn cooldown_source(logs: &HostLogs, request: &RequestLine, engine: &str) -> String {
    let cooldown_event =
        logs.lines_between(0, request.at).iter().rev().find_map(|line| match &line.event {
            HostEvent::CooldownBegan { engine: cooling_engine, millis, .. }
                if cooling_engine == engine && line.host == request.host =>
            {
                Some((line.at, *millis))
            }
            _ => None,
        });
    cooldown_event.map_or_else(
        || format!("no line logs the cooldown of {engine}"),
        |(at, millis)| {
            let ago = request.at.saturating_sub(at);
            format!(
                "{engine} had first requested a cooldown of {millis} ms {ago} ms before its end"
            )
        },
    )
}

fn write_summary(text: &mut String, request: &RequestLine) -> eyre::Result<()> {
    writeln!(text, "Request {} at {}", request.event.id, request.host)?;
    writeln!(
        text,
        "  route     {} (configuration {})",
        request.event.route, request.event.revision
    )?;
    writeln!(text, "  named     {}", request.event.key.as_deref().unwrap_or("no model"))?;
    if !request.event.parts.is_empty() {
        writeln!(text, "  parts     {}", request.event.parts.join(" "))?;
    }
    let engine = request.event.engine.as_deref().unwrap_or("no engine");
    writeln!(text, "  sent      {} times, last to {engine}", request.event.sends)?;
    if request.event.rejections > 0 {
        writeln!(
            text,
            "  rejected  {} times by engines, {} sends over a connection that had carried it",
            request.event.rejections, request.event.same_connection
        )?;
    }
    writeln!(text, "  waited    {} ms for its adapter", request.event.waited)?;
    writeln!(text, "  first     {} ms after its arrival (0: none)", request.event.first)?;
    writeln!(
        text,
        "  ended     {} ms after its arrival: {}, status {}",
        request.event.total, request.event.outcome, request.event.status
    )?;
    Ok(())
}

/// Returns whether a line may help to explain the request.
fn is_relevant(line: &LogLine, request: &RequestLine) -> bool {
    let same_host = line.host == request.host;
    match &line.event {
        HostEvent::Request(event) => event.id == request.event.id,
        HostEvent::Order { key, .. } => Some(key) == request.event.key.as_ref(),
        HostEvent::EngineJoined { engine, .. }
        | HostEvent::EngineLeaving { engine }
        | HostEvent::EngineReborn { engine, .. }
        | HostEvent::EngineEnded { engine, .. }
        | HostEvent::EngineLimited { engine, .. }
        | HostEvent::LimitEnded { engine, .. }
        | HostEvent::LimitUnreadable { engine, .. }
        | HostEvent::DepartureLearned { engine, .. }
        | HostEvent::CooldownBegan { engine, .. }
        | HostEvent::CooldownEnded { engine, .. }
        | HostEvent::EngineGone { engine } => {
            let event = &request.event;
            let engines = [&event.engine, &event.limited_by, &event.cooling_by];
            same_host && engines.contains(&&Some(engine.clone()))
        }
        HostEvent::Lease { state, .. } => same_host || state == "acting",
        _ => same_host,
    }
}
