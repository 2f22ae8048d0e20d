//! A model of the weight store with a known pace: when each load ends.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{OrderId, StoreThroughput},
};

/// How many loads that have ended are kept, in case they are seen on their way after all.
const MAX_COMPLETED_LOADS: usize = 64;

/// The part of the way by which a model is moved on to a load that has ended before its time.
const EARLY_CORRECTION: f64 = 0.5;

/// The part of the way by which a model is moved back to a load that has not ended in its time: the load may be late for
/// its engine.
const LATE_CORRECTION: f64 = 0.08;

/// By how much a load counts as late at most there. Unit: milliseconds at full speed.
const MAX_LATENESS_MS: f64 = 100.0;

/// A load's end by a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadCompletion {
    /// How much is done by then. Unit: milliseconds at full speed.
    work_ms: f64,
    /// When that was so, if it was. Unit: milliseconds of the clock.
    at_ms: Option<f64>,
}

/// A store with a certain pace: the loads on their way share it, so that they end in the order in which they began.
#[derive(Debug, Clone)]
pub(super) struct StoreModel {
    pub(super) throughput: StoreThroughput,
    /// How far off its predictions were, in whole misses.
    pub(super) error: f64,
    /// How much was done, since the beginning, of a load that was always on its way. Unit: milliseconds at full speed.
    served_ms: f64,
    /// The loads in the order in which they began, and how much will have been done when each ends.
    loads: VecDeque<(OrderId, f64)>,
    /// How many of these, from the first, have ended.
    completed: usize,
}

impl StoreModel {
    /// Starts without loads.
    pub(super) const fn new(throughput: StoreThroughput, error: f64) -> Self {
        Self { throughput, error, served_ms: 0.0, loads: VecDeque::new(), completed: 0 }
    }

    /// Begins a load; returns when it ends.
    pub(super) fn start_load(&mut self, load: OrderId) -> LoadCompletion {
        let work_ms = self.served_ms + self.throughput.load_time.as_secs_f64() * 1000.0;
        self.loads.push_back((load, work_ms));
        while self.completed > MAX_COMPLETED_LOADS {
            self.loads.pop_front();
            self.completed -= 1;
        }
        LoadCompletion { work_ms, at_ms: None }
    }

    /// Returns how many loads are on their way.
    pub(super) fn pending_loads(&self) -> usize {
        self.loads.len() - self.completed
    }

    /// Serves the loads from `since` until `now`; tells of each that ends.
    pub(super) fn advance(
        &mut self,
        since: ClockMillis,
        now: ClockMillis,
        mut on_completed: impl FnMut(OrderId, LoadCompletion),
    ) {
        let mut time_ms = since.as_millis() as f64;
        let until_ms = now.as_millis() as f64;
        while let Some((load, work_ms)) = self.loads.get(self.completed).copied() {
            let speed = self.speed_with(self.pending_loads());
            let next_ms = time_ms + (work_ms - self.served_ms).max(0.0) / speed;
            if next_ms > until_ms {
                self.served_ms += (until_ms - time_ms) * speed;
                return;
            }
            (time_ms, self.served_ms) = (next_ms, self.served_ms.max(work_ms));
            self.completed += 1;
            on_completed(load, LoadCompletion { work_ms, at_ms: Some(next_ms) });
        }
    }

    /// Returns when a load ends that is served until `now`, if no other begins. Unit: milliseconds of the clock.
    pub(super) fn predicted_end(&self, completion: LoadCompletion, now: ClockMillis) -> f64 {
        let now = now.as_millis() as f64;
        if completion.work_ms <= self.served_ms {
            return completion.at_ms.unwrap_or(now);
        }
        now + (completion.work_ms - self.served_ms) / self.speed_with(self.pending_loads())
    }

    /// Takes that a load has ended, whatever was counted until now: those before it have as well.
    pub(super) fn observe_completed(&mut self, completion: LoadCompletion) {
        if completion.work_ms > self.served_ms {
            self.served_ms += EARLY_CORRECTION * (completion.work_ms - self.served_ms);
        }
    }

    /// Takes that a load has not ended, whatever was counted until now.
    pub(super) fn observe_pending(&mut self, completion: LoadCompletion) {
        if completion.work_ms < self.served_ms {
            self.served_ms -=
                LATE_CORRECTION * (self.served_ms - completion.work_ms).min(MAX_LATENESS_MS);
        }
        while self.completed > 0 && self.loads[self.completed - 1].1 > self.served_ms {
            self.completed -= 1;
        }
    }

    /// Returns when each load on its way ends if no other begins, from what was done until `now`.
    pub(super) fn due_times(&self, now: ClockMillis) -> Vec<(OrderId, ClockMillis)> {
        let (mut elapsed_ms, mut served_ms) = (0.0, self.served_ms);
        let loads = self.loads.iter().skip(self.completed).enumerate();
        let due_times = loads.map(|(index, (load, work_ms))| {
            elapsed_ms +=
                (work_ms - served_ms).max(0.0) / self.speed_with(self.pending_loads() - index);
            served_ms = served_ms.max(*work_ms);
            (*load, now + Duration::from_secs_f64(elapsed_ms / 1000.0))
        });
        due_times.collect()
    }

    /// Returns how fast each of so many loads is served: one at full speed.
    fn speed_with(&self, loads: usize) -> f64 {
        (self.throughput.parallel_loads / loads.max(1) as f64).min(1.0)
    }
}
