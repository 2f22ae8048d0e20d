//! The state of the engine and the records of what happened.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::engine::{EngineFaults, EngineOptions};

/// A running request, or one that has ended and can still be resumed.
#[derive(Debug, Clone)]
pub(super) struct Sequence {
    pub(super) adapter: String,
    pub(super) target_tokens: usize,
    pub(super) produced_tokens: usize,
    pub(super) interrupted: bool,
    pub(super) priority: i32,
    /// The number of attached readers; a stream without readers is interrupted after a timeout.
    pub(super) readers: usize,
    pub(super) unread_since: Instant,
}

impl Sequence {
    pub(super) fn is_running(&self) -> bool {
        !self.interrupted && self.produced_tokens < self.target_tokens
    }
}

/// The state of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    Loading,
    Loaded,
}

/// The body of an engine's report.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineReportBody {
    /// The incarnation.
    pub incarnation: u64,
    /// The number of state changes in this incarnation.
    pub sequence: u64,
    /// The highest fencing token accepted.
    pub token: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The loaded adapters.
    pub adapters: Vec<ReportedName>,
    /// The adapters being loaded.
    pub loading: Vec<String>,
}

/// A loaded adapter in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedName {
    /// Its name.
    pub name: String,
    /// The number of requests running on it.
    pub running: u32,
}

/// Records of what happened.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineEvidence {
    /// The number of runs by request ID.
    pub runs: BTreeMap<String, u32>,
    /// The adapter that each request ran on, by request ID.
    pub adapters: BTreeMap<String, String>,
    /// Requests interrupted by an unload of their adapter.
    pub cut_by_unload: u32,
    /// Completed loads.
    pub loads: u32,
    /// Steps with at least one request.
    pub steps: u64,
    /// The sum of the batch sizes of all steps.
    pub step_requests: u64,
}

#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) leaving: bool,
    pub(super) slots: BTreeMap<String, Slot>,
    pub(super) sequences: BTreeMap<String, Sequence>,
    reports: VecDeque<(Instant, EngineReportBody)>,
    pub(super) evidence: EngineEvidence,
}

/// The state shared by the engine's threads.
#[derive(Debug)]
pub(super) struct EngineShared {
    pub(super) options: EngineOptions,
    pub(super) faults: EngineFaults,
    state: Mutex<EngineState>,
    pub(super) stepped: Condvar,
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

impl EngineShared {
    pub(super) fn new(options: EngineOptions) -> Self {
        let state = EngineState {
            incarnation: unix_millis(),
            sequence: 1,
            token: 0,
            leaving: false,
            slots: BTreeMap::new(),
            sequences: BTreeMap::new(),
            reports: VecDeque::new(),
            evidence: EngineEvidence::default(),
        };
        let faults = EngineFaults::default();
        Self { options, faults, state: Mutex::new(state), stepped: Condvar::new() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn evidence(&self) -> EngineEvidence {
        self.lock().evidence.clone()
    }

    pub(super) fn restart(&self) {
        let mut state = self.lock();
        state.incarnation = unix_millis().max(state.incarnation + 1);
        state.sequence = 1;
        state.token = 0;
        state.leaving = false;
        state.slots.clear();
        state.reports.clear();
        for sequence in state.sequences.values_mut() {
            sequence.interrupted = true;
        }
        drop(state);
        self.stepped.notify_all();
    }

    pub(super) fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        state.record_change();
    }

    /// Returns the newest report that is at least `report_lag` old, or the oldest one.
    pub(super) fn report(&self) -> EngineReportBody {
        let mut state = self.lock();
        state.write_report();
        let lag = self.options.report_lag;
        let is_visible = |reports: &VecDeque<(Instant, EngineReportBody)>| {
            reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag)
        };
        while is_visible(&state.reports) {
            state.reports.pop_front();
        }
        state.reports.front().map(|(_, report)| report.clone()).unwrap_or_default()
    }
}

impl EngineState {
    /// Counts a change of state and stores the report that shows it.
    pub(super) fn record_change(&mut self) {
        self.sequence += 1;
        self.write_report();
    }

    fn write_report(&mut self) {
        const REPORT_RETENTION: Duration = Duration::from_secs(5);
        let newest = self.reports.back().map(|(_, report)| report.sequence);
        if newest == Some(self.sequence) {
            return;
        }
        let running = |name: &str| {
            let runs_adapter =
                |sequence: &&Sequence| sequence.adapter == name && sequence.is_running();
            u32::try_from(self.sequences.values().filter(runs_adapter).count()).unwrap_or(u32::MAX)
        };
        let loaded = self.slots.iter().filter(|(_, slot)| **slot == Slot::Loaded);
        let loading = self.slots.iter().filter(|(_, slot)| **slot == Slot::Loading);
        let report = EngineReportBody {
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            leaving: self.leaving,
            adapters: loaded
                .map(|(name, _)| ReportedName { name: name.clone(), running: running(name) })
                .collect(),
            loading: loading.map(|(name, _)| name.clone()).collect(),
        };
        self.reports.push_back((Instant::now(), report));
        while self.reports.front().is_some_and(|(at, _)| at.elapsed() > REPORT_RETENTION)
            && self.reports.len() > 1
        {
            self.reports.pop_front();
        }
    }
}
