//! A model of the weight store with a known pace: when each load ends.

use std::{collections::VecDeque, time::Duration};

use crate::{
    clock::ClockMillis,
    placement::{OrderId, StoreThroughput},
};

/// How many loads that have ended are kept, in case they are seen on their way after all.
const MOST_ENDED: usize = 64;

/// The part of the way by which a model is moved on to a load that has ended before its time.
const ENDED_CORRECTION: f64 = 0.5;

/// The part of the way by which a model is moved back to a load that has not ended in its time: the load may be late for
/// its engine.
const LATE_CORRECTION: f64 = 0.08;

/// By how much a load counts as late at most there. Unit: milliseconds at full speed.
const MOST_LATE: f64 = 100.0;

/// A load's end by a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadEnd {
    /// How much is done by then. Unit: milliseconds at full speed.
    work: f64,
    /// When that was so, if it was. Unit: milliseconds of the clock.
    at: Option<f64>,
}

/// A store with a certain pace: the loads on their way share it, so that they end in the order in which they began.
#[derive(Debug, Clone)]
pub(super) struct StoreModel {
    pub(super) pace: StoreThroughput,
    /// How far off its predictions were, in whole misses.
    pub(super) doubt: f64,
    /// How much was done, since the beginning, of a load that was always on its way. Unit: milliseconds at full speed.
    done: f64,
    /// The loads in the order in which they began, and how much will have been done when each ends.
    loads: VecDeque<(OrderId, f64)>,
    /// How many of these, from the first, have ended.
    ended: usize,
}

impl StoreModel {
    /// Starts without loads.
    pub(super) const fn new(pace: StoreThroughput, doubt: f64) -> Self {
        Self { pace, doubt, done: 0.0, loads: VecDeque::new(), ended: 0 }
    }

    /// Begins a load; returns when it ends.
    pub(super) fn begin(&mut self, load: OrderId) -> LoadEnd {
        let work = self.done + self.pace.load_time.as_secs_f64() * 1000.0;
        self.loads.push_back((load, work));
        while self.ended > MOST_ENDED {
            self.loads.pop_front();
            self.ended -= 1;
        }
        LoadEnd { work, at: None }
    }

    /// Returns how many loads are on their way.
    pub(super) fn under_way(&self) -> usize {
        self.loads.len() - self.ended
    }

    /// Serves the loads from `since` until `now`; tells of each that ends.
    pub(super) fn serve(
        &mut self,
        since: ClockMillis,
        now: ClockMillis,
        mut ended: impl FnMut(OrderId, LoadEnd),
    ) {
        let mut at = since.as_millis() as f64;
        let until = now.as_millis() as f64;
        while let Some((load, work)) = self.loads.get(self.ended).copied() {
            let speed = self.speed_among(self.under_way());
            let next = at + (work - self.done).max(0.0) / speed;
            if next > until {
                self.done += (until - at) * speed;
                return;
            }
            (at, self.done) = (next, self.done.max(work));
            self.ended += 1;
            ended(load, LoadEnd { work, at: Some(next) });
        }
    }

    /// Returns when a load ends that is served until `now`, if no other begins. Unit: milliseconds of the clock.
    pub(super) fn end_time(&self, end: LoadEnd, now: ClockMillis) -> f64 {
        let now = now.as_millis() as f64;
        if end.work <= self.done {
            return end.at.unwrap_or(now);
        }
        now + (end.work - self.done) / self.speed_among(self.under_way())
    }

    /// Takes that a load has ended, whatever was counted until now: those before it have as well.
    pub(super) fn has_ended(&mut self, end: LoadEnd) {
        if end.work > self.done {
            self.done += ENDED_CORRECTION * (end.work - self.done);
        }
    }

    /// Takes that a load has not ended, whatever was counted until now.
    pub(super) fn has_not_ended(&mut self, end: LoadEnd) {
        if end.work < self.done {
            self.done -= LATE_CORRECTION * (self.done - end.work).min(MOST_LATE);
        }
        while self.ended > 0 && self.loads[self.ended - 1].1 > self.done {
            self.ended -= 1;
        }
    }

    /// Returns when each load on its way ends if no other begins, from what was done until `now`.
    pub(super) fn due_times(&self, now: ClockMillis) -> Vec<(OrderId, ClockMillis)> {
        let (mut passed, mut done) = (0.0, self.done);
        let loads = self.loads.iter().skip(self.ended).enumerate();
        let due_times = loads.map(|(place, (load, work))| {
            passed += (work - done).max(0.0) / self.speed_among(self.under_way() - place);
            done = done.max(*work);
            (*load, now + Duration::from_secs_f64(passed / 1000.0))
        });
        due_times.collect()
    }

    /// Returns how fast each of so many loads is served: one at full speed.
    fn speed_among(&self, loads: usize) -> f64 {
        (self.pace.parallel_loads / loads.max(1) as f64).min(1.0)
    }
}
