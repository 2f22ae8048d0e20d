//! Checks of this host's links to engines.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    chart::LinkState,
    clock::duration_millis,
    fleet::{
        EngineEntry,
        engine_links::{
            CheckCandidate, CheckResult, ConnectFailure, FIRST_CHECKED_ENGINES, LinkChange,
        },
    },
};
use tokio::task::JoinSet;

use crate::{engines::EnginePool, events::HostEvent, traffic::TrafficState};

/// Interval at which it is checked whether engines have fallen silent, and whether an isolated host
/// is due to try them again. Failed connects are handled at once.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Monitors this host's links to engines. Never returns.
pub async fn monitor_links(traffic: Rc<TrafficState>) {
    let links = Arc::clone(&traffic.shared.links);
    loop {
        // Either way there may be something to do.
        let _ = tokio::time::timeout(POLL_INTERVAL, links.updated.notified()).await;
        let engines = due_check(&traffic);
        if !engines.is_empty() {
            tokio::task::spawn_local(run_check(Rc::clone(&traffic), engines));
        }
        for change in links.take_changes() {
            log_change(&traffic, &change);
        }
        for engine in links.take_engines_at_fault() {
            traffic.report_unreachable(&engine);
        }
    }
}

/// Returns the engines to try, if a check is due.
fn due_check(traffic: &TrafficState) -> Vec<Arc<EngineEntry>> {
    if !traffic.shared.links.monitor().is_check_due(traffic.now()) {
        return Vec::new();
    }
    let table = traffic.table();
    let entries = table.engines.values().flatten().filter(|entry| !entry.leaving);
    let entries: Vec<&Arc<EngineEntry>> = entries.collect();
    let candidates: Vec<CheckCandidate<'_>> = entries
        .iter()
        .map(|entry| CheckCandidate { engine: &entry.name, hall: &entry.hall })
        .collect();
    let engines = traffic.shared.links.monitor().begin_check(&candidates, traffic.now());
    let entry =
        |engine| entries.iter().find(|entry| entry.name == engine).map(|entry| Arc::clone(entry));
    engines.into_iter().filter_map(entry).collect()
}

/// Tries to connect to engines until one is reached, and applies the results.
///
/// The first ones are tried together, further ones only while all refuse at once.
async fn run_check(traffic: Rc<TrafficState>, engines: Vec<Arc<EngineEntry>>) {
    let mut results = Vec::new();
    for batch in engines.chunks(FIRST_CHECKED_ENGINES) {
        results.extend(check_engines(&traffic, batch).await);
        let all_refused = results.iter().all(|result| {
            result.failure.is_some_and(|failure| failure != ConnectFailure::TimedOut)
        });
        if !all_refused {
            break;
        }
    }
    finish_check(&traffic, &results, traffic.now());
}

/// Tries to connect to engines; ends early when one is reached.
async fn check_engines(
    traffic: &Rc<TrafficState>,
    engines: &[Arc<EngineEntry>],
) -> Vec<CheckResult> {
    let mut checks = JoinSet::new();
    for entry in engines {
        let (traffic, entry) = (Rc::clone(traffic), Arc::clone(entry));
        checks.spawn_local(async move {
            let connected = EnginePool::check(&traffic.pool, &entry, traffic.now()).await;
            let failure = connected.as_ref().err().map(Into::into);
            CheckResult { engine: Arc::clone(&entry.name), failure }
        });
    }
    let mut results = Vec::new();
    while let Some(Ok(result)) = checks.join_next().await {
        let reached = result.failure.is_none();
        results.push(result);
        if reached {
            break;
        }
    }
    results
}

fn finish_check(traffic: &TrafficState, results: &[CheckResult], now: ClockMillis) {
    let links = &traffic.shared.links;
    let (change, at_fault) = links.monitor().finish_check(results, now);
    let was_or_is_isolated = change
        .as_ref()
        .is_some_and(|change| change.state == LinkState::Isolated || change.isolated_for.is_some());
    let is_slow = change.as_ref().is_some_and(|change| change.is_slow);
    if was_or_is_isolated || is_slow {
        traffic.pool.borrow_mut().forget_link_failures(now);
    }
    if is_slow {
        traffic.pool.borrow_mut().forget_connect_times();
    }
    links.publish(change);
    links.report_at_fault(at_fault);
    if was_or_is_isolated {
        // Requests that wait for an engine may now find one.
        traffic.shared.permits_changed();
        traffic.shared.wake_control.notify_one();
    }
}

fn log_change(traffic: &TrafficState, change: &LinkChange) {
    let shared = &traffic.shared;
    shared.metrics.tunnels.isolated.set(i64::from(change.state == LinkState::Isolated));
    shared.events.write(HostEvent::Links {
        state: change.state.name().into(),
        failed: change.failed_engines,
        connect_failure: change.failure.map(|failure| failure.name().into()),
        isolated_millis: change.isolated_for.map(duration_millis),
        received_ago: duration_millis(change.received_ago),
        slow: change.is_slow,
    });
}
