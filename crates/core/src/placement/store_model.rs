//! Model of a weight store with a given throughput, predicting when each load completes.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{OrderId, StoreThroughput},
};

/// Number of completed loads kept in case they are observed as pending afterwards.
const MAX_COMPLETED_LOADS: usize = 64;

/// Fraction of the difference by which a model is moved forward to a load that completed early.
const EARLY_CORRECTION: f64 = 0.5;

/// Fraction of the difference by which a model is moved back to a load that is late. It is small
/// because the load may be late due to its engine.
const LATE_CORRECTION: f64 = 0.08;

/// Maximum lateness taken into account. Unit: milliseconds at full speed.
const MAX_LATENESS_MS: f64 = 100.0;

/// Completion of a load according to a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadCompletion {
    /// Value of `served_ms` at which the load completes.
    work_ms: f64,
    /// Clock time at that point, if it has been reached. Unit: milliseconds.
    at_ms: Option<f64>,
}

/// Store with a given throughput. Pending loads share it equally, so they complete in the order in
/// which they started.
#[derive(Debug, Clone)]
pub(super) struct StoreModel {
    pub(super) throughput: StoreThroughput,
    /// Accumulated prediction error.
    pub(super) error: f64,
    /// Work done since the start for a load that was always pending. Unit: milliseconds at full
    /// speed.
    served_ms: f64,
    /// Loads in order of their start, with the value of `served_ms` at which each completes.
    loads: VecDeque<(OrderId, f64)>,
    /// Number of completed loads at the front of `loads`.
    completed: usize,
}

impl StoreModel {
    /// Creates a model without loads.
    pub(super) const fn new(throughput: StoreThroughput, error: f64) -> Self {
        Self { throughput, error, served_ms: 0.0, loads: VecDeque::new(), completed: 0 }
    }

    /// Starts a load and returns its completion.
    pub(super) fn start_load(&mut self, load: OrderId) -> LoadCompletion {
        let work_ms = self.served_ms + self.throughput.load_time.as_secs_f64() * 1000.0;
        self.loads.push_back((load, work_ms));
        while self.completed > MAX_COMPLETED_LOADS {
            self.loads.pop_front();
            self.completed -= 1;
        }
        LoadCompletion { work_ms, at_ms: None }
    }

    /// Returns the number of pending loads.
    pub(super) fn pending_loads(&self) -> usize {
        self.loads.len() - self.completed
    }

    /// Advances the model from `since` to `now` and calls `on_completed` for each load that
    /// completes.
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

    /// Returns the completion time of a load as of `now`, assuming that no other load starts. Unit:
    /// clock milliseconds.
    pub(super) fn predicted_end(&self, completion: LoadCompletion, now: ClockMillis) -> f64 {
        let now = now.as_millis() as f64;
        if completion.work_ms <= self.served_ms {
            return completion.at_ms.unwrap_or(now);
        }
        now + (completion.work_ms - self.served_ms) / self.speed_with(self.pending_loads())
    }

    /// Corrects the model for a load observed as complete. Loads started before it are then
    /// complete as well.
    pub(super) fn observe_completed(&mut self, completion: LoadCompletion) {
        if completion.work_ms > self.served_ms {
            self.served_ms += EARLY_CORRECTION * (completion.work_ms - self.served_ms);
        }
    }

    /// Corrects the model for a load observed as pending.
    pub(super) fn observe_pending(&mut self, completion: LoadCompletion) {
        if completion.work_ms < self.served_ms {
            self.served_ms -=
                LATE_CORRECTION * (self.served_ms - completion.work_ms).min(MAX_LATENESS_MS);
        }
        while self.completed > 0 && self.loads[self.completed - 1].1 > self.served_ms {
            self.completed -= 1;
        }
    }

    /// Returns the due time of each pending load, assuming that no other load starts after `now`.
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

    /// Returns the speed of each load when `loads` loads are pending, where one is full speed.
    fn speed_with(&self, loads: usize) -> f64 {
        (self.throughput.parallel_loads / loads.max(1) as f64).min(1.0)
    }
}
