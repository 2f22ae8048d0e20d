//! The requests that completed recently.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::ClockMillis, fleet::quarantine::RequestMark};

/// How long a completed run is remembered: longer than it takes to collect crashes that are some seconds apart.
const RETENTION: Duration = Duration::from_secs(20);

/// The most completed runs that are remembered: what a host of a fleet of 370 answers within the retention at the
/// peak of 81 a second, with room. Each takes some 100 bytes.
const MAX_COMPLETED_RUNS: usize = 2048;

/// When requests last completed at this host.
///
/// A request that many clients send completes at most hosts while it is interrupted at a few. A host that saw no
/// crash clears it by its own completed runs when it receives a report on it.
#[derive(Debug, Default)]
pub(super) struct CompletedRuns {
    last_completed: HashMap<RequestMark, ClockMillis>,
    order: VecDeque<(ClockMillis, RequestMark)>,
}

impl CompletedRuns {
    /// Records that a request completed.
    pub(super) fn record(&mut self, mark: RequestMark, now: ClockMillis) {
        self.last_completed.insert(mark, now);
        self.order.push_back((now, mark));
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION)
            || self.order.len() > MAX_COMPLETED_RUNS
        {
            self.remove_oldest();
        }
    }

    /// Returns when a request last completed, if that is remembered.
    pub(super) fn last_completed(&self, mark: RequestMark) -> Option<ClockMillis> {
        self.last_completed.get(&mark).copied()
    }

    fn remove_oldest(&mut self) {
        let Some((at, mark)) = self.order.pop_front() else { return };
        if self.last_completed.get(&mark) == Some(&at) {
            self.last_completed.remove(&mark);
        }
    }
}
