//! Whether an engine ended when runs at it broke off.
//!
//! An answer breaks off for many reasons: a connection that is reset, a cut, an engine that closes it. So the engine is
//! connected to once more. One that refuses has ended, whatever it ran; one that takes the connection goes on, and the
//! connection serves the next request; silence tells nothing.

use std::{collections::HashMap, io::ErrorKind, rc::Rc, sync::Arc};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, EngineName,
        quarantine::{RequestMark, shown_mark},
    },
};

use crate::{engines::EnginePool, entry::TrafficState, events::MachineEvent};

/// How many marks a log line shows: an engine runs dozens of requests at a time.
const MOST_SHOWN: usize = 8;

/// A run whose answer broke off.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun {
    /// By what its request is known again.
    pub mark: RequestMark,
    /// When it was sent.
    pub began: ClockMillis,
}

/// The runs that broke off at engines which are being connected to.
#[derive(Debug, Default)]
pub struct EndWatch {
    broken: HashMap<EngineName, Vec<BrokenRun>>,
}

impl EndWatch {
    /// Adds a run; returns whether it is the first one at its engine.
    fn add(&mut self, engine: &EngineName, run: BrokenRun) -> bool {
        let runs = self.broken.entry(Arc::clone(engine)).or_default();
        runs.push(run);
        runs.len() == 1
    }

    /// Takes the runs at an engine, those that began last first.
    fn take(&mut self, engine: &EngineName) -> Vec<BrokenRun> {
        let mut runs = self.broken.remove(engine).unwrap_or_default();
        runs.sort_by_key(|run| std::cmp::Reverse(run.began));
        runs
    }
}

/// Takes that a run broke off, and finds out whether its engine ended.
pub fn run_broke(traffic: &Rc<TrafficState>, entry: &Arc<EngineEntry>, run: BrokenRun) {
    if traffic.ends.borrow_mut().add(&entry.name, run) {
        tokio::task::spawn_local(look_at(Rc::clone(traffic), Arc::clone(entry)));
    }
}

async fn look_at(traffic: Rc<TrafficState>, entry: Arc<EngineEntry>) {
    let connected = EnginePool::keep_anew(&traffic.pool, &entry, traffic.now()).await;
    let runs = traffic.ends.borrow_mut().take(&entry.name);
    let ended = connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
    if !ended {
        return;
    }
    traffic.shared.metrics.engines_ended.inc();
    traffic.shared.events.write(MachineEvent::EngineEnded {
        engine: entry.name.to_string(),
        runs: runs.len(),
        marks: runs.iter().take(MOST_SHOWN).map(|run| shown_mark(run.mark)).collect(),
    });
}
