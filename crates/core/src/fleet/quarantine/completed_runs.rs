//! Which requests ran whole lately.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{clock::ClockMillis, fleet::quarantine::RequestMark};

/// How long a whole run is remembered: as long as ends of engines some seconds apart take to be added up, and some.
const RETENTION: Duration = Duration::from_secs(20);

/// How many are remembered: what a host of a fleet of 370 answers in that time at the peak, 81 a second. 100 bytes each
/// (counted by an allocator).
const MAX_COMPLETED_RUNS: usize = 2048;

/// When requests ran whole lately.
///
/// A request that many callers send runs whole at most hosts while it breaks off at a few. These know of no end, and have
/// to find their own whole runs when they hear of it.
#[derive(Debug, Default)]
pub(super) struct CompletedRuns {
    last_completed: HashMap<RequestMark, ClockMillis>,
    order: VecDeque<(ClockMillis, RequestMark)>,
}

impl CompletedRuns {
    /// Takes that a request ran whole.
    pub(super) fn record(&mut self, mark: RequestMark, now: ClockMillis) {
        self.last_completed.insert(mark, now);
        self.order.push_back((now, mark));
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION)
            || self.order.len() > MAX_COMPLETED_RUNS
        {
            self.remove_oldest();
        }
    }

    /// Returns when a request last ran whole, if that is remembered.
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
