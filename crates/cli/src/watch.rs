//! `reelreel status` and `reelreel timeline`: query the state and events of hosts.

use std::{fmt::Write, process::ExitCode, time::Duration};

use eyre::{WrapErr, bail};
use reelreel_core::{
    node::NodeStatus,
    timeline::{TimelineEvent, merge_timelines},
};
use serde::de::DeserializeOwned;

use crate::{options::WatchOptions, output::print};

/// Maximum time for a host's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches a JSON page from a host's operators' address.
pub(crate) fn fetch<T: DeserializeOwned>(host: &str, page: &str) -> eyre::Result<T> {
    let url = format!("http://{host}/{page}");
    let call = ureq::get(&url).config().timeout_global(Some(RESPONSE_TIMEOUT)).build().call();
    let mut response =
        call.wrap_err_with(|| format!("cannot reach {host}; pass its operators' address"))?;
    let body = response.body_mut().with_config().limit(64 << 20).read_to_vec()?;
    serde_json::from_slice(&body).wrap_err_with(|| format!("invalid response from {url}"))
}

/// Fetches a page from every host; hosts that fail are reported on standard error and skipped.
fn fetch_all<T: DeserializeOwned>(hosts: &[String], page: &str) -> eyre::Result<Vec<T>> {
    let mut responses = Vec::new();
    for host in hosts {
        match fetch(host, page) {
            Ok(value) => responses.push(value),
            Err(error) => eprintln!("reelreel: {error:#}"),
        }
    }
    if responses.is_empty() {
        bail!("no host responded");
    }
    Ok(responses)
}

/// Prints the state of hosts.
pub(crate) fn status(options: &WatchOptions) -> eyre::Result<ExitCode> {
    let statuses: Vec<NodeStatus> = fetch_all(&options.hosts, "status")?;
    print(options.output, &statuses, || statuses.iter().map(format_status).collect())?;
    Ok(ExitCode::SUCCESS)
}

fn format_status(status: &NodeStatus) -> String {
    let mut text = String::new();
    let ready = if status.ready { "ready" } else { "not ready" };
    let _infallible = writeln!(
        text,
        "host {} hall {}: {ready}, {}, revision {}, {} open requests, host {} schedules store loads",
        status.host,
        status.hall,
        status.drain,
        status.revision,
        status.open_requests,
        status.turns_host
    );
    if let Some(halt) = &status.halt {
        let _infallible = writeln!(text, "  {halt}");
    }
    for member in &status.members {
        let _infallible =
            writeln!(text, "  host {} hall {}: {}", member.host, member.hall, member.state);
    }
    for engine in &status.engines {
        let _infallible = writeln!(
            text,
            "  engine {}: {}, {} open permits, {} waiting, holds {}",
            engine.engine,
            engine.state,
            engine.permits,
            engine.waiting,
            engine.residents.join(" ")
        );
    }
    text
}

/// Prints the events of hosts, merged in causal order.
pub(crate) fn timeline(options: &WatchOptions) -> eyre::Result<ExitCode> {
    let timelines: Vec<Vec<TimelineEvent>> = fetch_all(&options.hosts, "timeline")?;
    let events = merge_timelines(timelines.into_iter().flatten());
    print(options.output, &events, || {
        let mut text = String::new();
        for event in &events {
            let TimelineEvent { wall_millis, counter, host, subject, text: description } = event;
            let _infallible =
                writeln!(text, "{wall_millis}.{counter} host {host} {subject}: {description}");
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}
