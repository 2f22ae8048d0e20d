//! Detects whether an engine terminated when its runs were interrupted.
//!
//! An interrupted response has many causes, such as a network fault or an engine that closes one
//! connection. A new connection tells them apart: an engine that refuses it has terminated, unless
//! this host is refused by all engines, one that accepts it is alive (the connection is kept for the
//! next request), and a timeout shows neither.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    io::ErrorKind,
    rc::Rc,
    sync::Arc,
};

use reelreel_core::fleet::{
    EngineEntry, EngineName,
    quarantine::{InterruptedRun, RequestMark, TraitMark, engine_incarnation_id, format_mark},
};
use tokio::sync::watch;

use crate::{
    engines::EnginePool,
    events::{HostEvent, InterruptedPart},
    traffic::TrafficState,
};

/// Maximum number of request marks in a log event.
const LOGGED_MARK_LIMIT: usize = 8;

/// Maximum number of prompt parts in a log event.
const LOGGED_PART_LIMIT: usize = 32;

/// The interrupted runs of an engine that is being checked.
#[derive(Debug)]
struct PendingCheck {
    runs: Vec<InterruptedRun>,
    /// Whether the engine has terminated; closed when the check has finished, by dropping it.
    finished: watch::Sender<bool>,
}

/// The interrupted runs of all engines that are being checked.
#[derive(Debug, Default)]
pub struct EndDetector {
    pending: HashMap<EngineName, PendingCheck>,
}

impl EndDetector {
    /// Adds an interrupted run; returns whether it is the first of its engine, and a receiver of
    /// the result that is closed when the check has finished.
    fn add(&mut self, engine: &EngineName, run: InterruptedRun) -> (bool, watch::Receiver<bool>) {
        let new = || PendingCheck { runs: Vec::new(), finished: watch::Sender::new(false) };
        let pending = self.pending.entry(Arc::clone(engine)).or_insert_with(new);
        pending.runs.push(run);
        (pending.runs.len() == 1, pending.finished.subscribe())
    }

    /// Returns a receiver that is closed when the check of an engine that was interrupted while
    /// running a request with this mark has finished, if there is one.
    pub fn check_of(&self, mark: RequestMark) -> Option<watch::Receiver<bool>> {
        let ran =
            |check: &&PendingCheck| check.runs.iter().any(|run| run.traits.request_mark() == mark);
        self.pending.values().find(ran).map(|check| check.finished.subscribe())
    }
}

/// Checks whether an engine terminated after one of its runs was interrupted, or may have been.
///
/// Runs that are interrupted meanwhile share the check. The future returns whether the engine is
/// known to have terminated; the check goes on if the future is dropped.
pub fn check_after_failure(
    traffic: &Rc<TrafficState>,
    entry: &Arc<EngineEntry>,
    run: InterruptedRun,
) -> impl Future<Output = bool> + use<> {
    let (is_first, mut finished) = traffic.end_detector.borrow_mut().add(&entry.name, run);
    if is_first {
        tokio::task::spawn_local(reconnect(Rc::clone(traffic), Arc::clone(entry)));
    }
    async move {
        while finished.changed().await.is_ok() {}
        *finished.borrow()
    }
}

async fn reconnect(traffic: Rc<TrafficState>, entry: Arc<EngineEntry>) {
    let connected = EnginePool::connect_idle(&traffic.pool, &entry, traffic.now()).await;
    let refused = connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    // A host that refuses a tunnel for its engine has confirmed this itself.
    let links = &traffic.shared.links;
    let has_ended = refused && (links.is_isolated() || links.confirm_refusal(traffic.now()).await);
    let Some(mut pending) = traffic.end_detector.borrow_mut().pending.remove(&entry.name) else {
        return;
    };
    if has_ended {
        pending.finished.send_replace(true);
        pending.runs.sort_by_key(|run| Reverse(run.began));
        report_engine_end(&traffic, &entry, &pending.runs);
    }
}

fn report_engine_end(traffic: &TrafficState, entry: &EngineEntry, runs: &[InterruptedRun]) {
    let shared = &traffic.shared;
    let incarnation = engine_incarnation_id(&entry.name, entry.incarnation);
    shared.quarantine().record_crash(incarnation, runs, traffic.now());
    shared.wake_control.notify_one();
    let begun = runs.iter().filter(|run| run.has_answered).count();
    shared.metrics.quarantine.engines_ended.inc();
    shared.metrics.quarantine.count_interrupted_runs(begun, runs.len() - begun);
    let marks = runs.iter().take(LOGGED_MARK_LIMIT);
    shared.events.write(HostEvent::EngineEnded {
        engine: entry.name.to_string(),
        runs: runs.len(),
        begun,
        marks: marks.map(|run| format_mark(run.traits.request_mark())).collect(),
        parts: interrupted_parts(runs),
    });
}

/// Returns the prompt parts of interrupted runs, those of most runs without an event first.
fn interrupted_parts(runs: &[InterruptedRun]) -> Vec<InterruptedPart> {
    let mut counts: BTreeMap<TraitMark, (usize, usize)> = BTreeMap::new();
    for run in runs {
        let parts: BTreeSet<TraitMark> = run.traits.shared().map(|part| part.mark).collect();
        for part in parts {
            let (waiting, begun) = counts.entry(part).or_default();
            *(if run.has_answered { begun } else { waiting }) += 1;
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, (waiting, begun))| (Reverse(*waiting), *begun));
    let logged = counts.into_iter().take(LOGGED_PART_LIMIT);
    let logged = logged.map(|(part, (waiting, begun))| InterruptedPart {
        part: format_mark(part),
        waiting,
        begun,
    });
    logged.collect()
}
