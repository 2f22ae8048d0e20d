//! `reelreel explain`: what all hosts' logs say of one request, and the cause of its end.

use std::{fmt::Write as _, path::PathBuf};

use eyre::bail;
use reelreel_gateway::events::HostEvent;

use super::{
    cause::{RequestCause, RequestLine},
    line::{HostLogs, LogLine},
};

/// The most lines around a request that are shown.
const MOST_LINES: usize = 60;

/// Explains one request from the logs in `files`.
///
/// # Errors
/// Returns that a file can not be read, or that no line tells of the request.
pub(crate) fn explain(id: &str, files: &[PathBuf]) -> eyre::Result<String> {
    let logs = HostLogs::read(files)?;
    let request =
        logs.lines.iter().filter_map(RequestLine::of).find(|request| request.event.id == id);
    let Some(request) = request else {
        bail!(
            "no line tells of request {id}; name the logs of all hosts, and mind that of requests \
             that were served in time one in sixteen is logged"
        );
    };
    let mut text = String::new();
    describe(&mut text, &request)?;
    writeln!(text, "  read      {}", configuration_source(&logs, &request))?;
    if let Some(engine) = &request.event.limited_by {
        writeln!(text, "  limit     {}", limit_source(&logs, &request, engine))?;
    }
    if let Some(engine) = &request.event.cooling_by {
        writeln!(text, "  cooldown  {}", cooldown_source(&logs, &request, engine))?;
    }
    let (from, until) = request.span();
    let around: Vec<&LogLine> =
        logs.between(from, until).iter().filter(|line| concerns(line, &request)).collect();
    writeln!(text, "\nAround it, in milliseconds after its arrival:")?;
    for line in around.iter().take(MOST_LINES) {
        let after = i128::from(line.at) - i128::from(request.arrived());
        let event = serde_json::to_string(&line.event)?;
        writeln!(text, "{after:>8}  {:<20} {event}", line.host)?;
    }
    if around.len() > MOST_LINES {
        writeln!(text, "          and {} lines more", around.len() - MOST_LINES)?;
    }
    let left_out: u64 = logs.between(from, until).iter().map(|line| line.left_out).sum();
    if left_out > 0 {
        writeln!(text, "          {left_out} lines found no room in this time")?;
    }
    writeln!(text, "\nCause: {}", RequestCause::of(&request, &logs))?;
    Ok(text)
}

/// Says where in the store the configuration that decided a request was read, and how long before.
fn configuration_source(logs: &HostLogs, request: &RequestLine) -> String {
    let mut before = logs.between(0, request.at).iter().rev();
    let read = before.find_map(|line| match line.event {
        HostEvent::ConfigurationInForce { revision, era, offset }
            if line.host == request.host && revision == request.event.revision =>
        {
            Some((line.at, era, offset))
        }
        _ => None,
    });
    read.map_or_else(
        || String::from("no line says where its configuration was read"),
        |(at, era, offset)| {
            let ago = request.arrived().saturating_sub(at);
            format!(
                "its configuration at offset {offset} of the store's era {era}, {ago} ms before"
            )
        },
    )
}

/// Says what an engine had named for which a request waited, how long before, and who dealt its permits.
fn limit_source(logs: &HostLogs, request: &RequestLine, engine: &str) -> String {
    let before = || logs.between(0, request.at).iter().rev();
    let named = before().find_map(|line| match &line.event {
        HostEvent::EngineLimited { engine: named, limit, .. } if named == engine => {
            Some((line.at, *limit))
        }
        _ => None,
    });
    let dealer = before().find_map(|line| match &line.event {
        HostEvent::Lease { state, .. } if state == "acting" => Some(line.host.as_str()),
        _ => None,
    });
    let dealer = dealer.map_or_else(|| String::from("nobody"), ToOwned::to_owned);
    named.map_or_else(
        || format!("no line says what {engine} had named; permits were dealt by {dealer}"),
        |(at, limit)| {
            let ago = request.arrived().saturating_sub(at);
            format!("{engine} takes {limit} requests a second, as a line said {ago} ms before; permits were dealt by {dealer}")
        },
    )
}

/// Says which cooldown an engine had asked a request's host for, and how long before.
fn cooldown_source(logs: &HostLogs, request: &RequestLine, engine: &str) -> String {
    let began = logs.between(0, request.at).iter().rev().find_map(|line| match &line.event {
        HostEvent::CooldownBegan { engine: cooling, millis, .. }
            if cooling == engine && line.host == request.host =>
        {
            Some((line.at, *millis))
        }
        _ => None,
    });
    began.map_or_else(
        || format!("no line says what {engine} had asked for"),
        |(at, millis)| {
            let ago = request.at.saturating_sub(at);
            format!(
                "{engine} had first asked for {millis} ms without requests {ago} ms before its end"
            )
        },
    )
}

fn describe(text: &mut String, request: &RequestLine) -> eyre::Result<()> {
    writeln!(text, "Request {} at {}", request.event.id, request.host)?;
    writeln!(
        text,
        "  route     {} (configuration {})",
        request.event.route, request.event.revision
    )?;
    writeln!(text, "  named     {}", request.event.key.as_deref().unwrap_or("no model"))?;
    let engine = request.event.engine.as_deref().unwrap_or("no engine");
    writeln!(text, "  sent      {} times, last to {engine}", request.event.sends)?;
    writeln!(text, "  waited    {} ms for its adapter", request.event.waited)?;
    writeln!(text, "  first     {} ms after its arrival (0: none)", request.event.first)?;
    writeln!(
        text,
        "  ended     {} ms after its arrival: {}, status {}",
        request.event.total, request.event.outcome, request.event.status
    )?;
    Ok(())
}

/// Returns whether a line tells of something that may explain the request.
fn concerns(line: &LogLine, request: &RequestLine) -> bool {
    let own_host = line.host == request.host;
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
            own_host && engines.contains(&&Some(engine.clone()))
        }
        HostEvent::Lease { state, .. } => own_host || state == "acting",
        _ => own_host,
    }
}
