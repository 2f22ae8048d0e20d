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
const MOST_SHOWN: usize = 8;

/// The runs that broke off at an engine which is being connected to.
#[derive(Debug)]
struct PendingEnd {
    runs: Vec<EndedRun>,
    /// Dropped once it is known whether the engine ended.
    known: watch::Sender<()>,
}

/// The runs that broke off at engines which are being connected to.
#[derive(Debug, Default)]
pub struct EndWatch {
    pending: HashMap<EngineName, PendingEnd>,
}

impl EndWatch {
    /// Adds a run; returns whether it is the first one at its engine, and what closes once it is known whether that ended.
    fn add(&mut self, engine: &EngineName, run: EndedRun) -> (bool, watch::Receiver<()>) {
        let new = || PendingEnd { runs: Vec::new(), known: watch::Sender::new(()) };
        let pending = self.pending.entry(Arc::clone(engine)).or_insert_with(new);
        pending.runs.push(run);
        (pending.runs.len() == 1, pending.known.subscribe())
    }
}

/// Takes that a run broke off, and finds out whether its engine ended; the future is ready once that is known.
pub fn run_broke(
    traffic: &Rc<TrafficState>,
    entry: &Arc<EngineEntry>,
    run: EndedRun,
) -> impl Future<Output = ()> + use<> {
    let (first, mut known) = traffic.ends.borrow_mut().add(&entry.name, run);
    if first {
        tokio::task::spawn_local(look_at(Rc::clone(traffic), Arc::clone(entry)));
    }
    async move { while known.changed().await.is_ok() {} }
}

async fn look_at(traffic: Rc<TrafficState>, entry: Arc<EngineEntry>) {
    let connected = EnginePool::keep_anew(&traffic.pool, &entry, traffic.now()).await;
    let Some(mut pending) = traffic.ends.borrow_mut().pending.remove(&entry.name) else { return };
    if connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
        pending.runs.sort_by_key(|run| std::cmp::Reverse(run.began));
        note_end(&traffic, &entry, &pending.runs);
    }
}

fn note_end(traffic: &TrafficState, entry: &EngineEntry, runs: &[EndedRun]) {
    let shared = &traffic.shared;
    let life = engine_life(&entry.name, entry.incarnation);
    shared.quarantine().engine_ended(life, runs, traffic.now());
    shared.wake_control.notify_one();
    shared.metrics.engines_ended.inc();
    shared.events.write(HostEvent::EngineEnded {
        engine: entry.name.to_string(),
        runs: runs.len(),
        marks: runs.iter().take(MOST_SHOWN).map(|run| shown_mark(run.mark)).collect(),
    });
}
