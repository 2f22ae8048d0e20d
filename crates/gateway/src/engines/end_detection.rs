//! Whether an engine ended when runs at it broke off.
//!
//! An answer breaks off for many reasons: a connection that is reset, a cut, an engine that closes it. So the engine is
//! connected to once more. One that refuses has ended, whatever it ran; one that takes the connection goes on, and the
//! connection serves the next request; silence tells nothing.

use std::{collections::HashMap, io::ErrorKind, rc::Rc, sync::Arc};

use reelreel_core::fleet::{
    EngineEntry, EngineName,
    quarantine::{EndedRun, engine_life, shown_mark},
};
use tokio::sync::watch;

use crate::{engines::EnginePool, events::HostEvent, traffic::TrafficState};

/// How many marks a log line shows: an engine runs dozens of requests at a time.
const LOGGED_MARK_LIMIT: usize = 8;

/// The runs that broke off at an engine which is being connected to.
#[derive(Debug)]
struct PendingCheck {
    runs: Vec<EndedRun>,
    /// Dropped once it is known whether the engine ended.
    finished: watch::Sender<()>,
}

/// The runs that broke off at engines which are being connected to.
#[derive(Debug, Default)]
pub struct EndDetector {
    pending: HashMap<EngineName, PendingCheck>,
}

impl EndDetector {
    /// Adds a run; returns whether it is the first one at its engine, and what closes once it is known whether that ended.
    fn add(&mut self, engine: &EngineName, run: EndedRun) -> (bool, watch::Receiver<()>) {
        let new = || PendingCheck { runs: Vec::new(), finished: watch::Sender::new(()) };
        let pending = self.pending.entry(Arc::clone(engine)).or_insert_with(new);
        pending.runs.push(run);
        (pending.runs.len() == 1, pending.finished.subscribe())
    }
}

/// Takes that a run broke off, and finds out whether its engine ended; the future is ready once that is known.
pub fn check_after_failure(
    traffic: &Rc<TrafficState>,
    entry: &Arc<EngineEntry>,
    run: EndedRun,
) -> impl Future<Output = ()> + use<> {
    let (is_first, mut finished) = traffic.end_detector.borrow_mut().add(&entry.name, run);
    if is_first {
        tokio::task::spawn_local(reconnect(Rc::clone(traffic), Arc::clone(entry)));
    }
    async move { while finished.changed().await.is_ok() {} }
}

async fn reconnect(traffic: Rc<TrafficState>, entry: Arc<EngineEntry>) {
    let connected = EnginePool::connect_idle(&traffic.pool, &entry, traffic.now()).await;
    let Some(mut pending) = traffic.end_detector.borrow_mut().pending.remove(&entry.name) else {
        return;
    };
    if connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
        pending.runs.sort_by_key(|run| std::cmp::Reverse(run.began));
        report_engine_end(&traffic, &entry, &pending.runs);
    }
}

fn report_engine_end(traffic: &TrafficState, entry: &EngineEntry, runs: &[EndedRun]) {
    let shared = &traffic.shared;
    let life = engine_life(&entry.name, entry.incarnation);
    shared.quarantine().engine_ended(life, runs, traffic.now());
    shared.wake_control.notify_one();
    shared.metrics.engines_ended.inc();
    shared.events.write(HostEvent::EngineEnded {
        engine: entry.name.to_string(),
        runs: runs.len(),
        marks: runs.iter().take(LOGGED_MARK_LIMIT).map(|run| shown_mark(run.mark)).collect(),
    });
}
