//! Mean time that a request occupies a slot of an engine.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    placement::{PlacementPlanner, demand::BURST_HALF_LIFE},
    popularity::DecayedRate,
};

/// Run time assumed until it is measured.
const ASSUMED_RUN_TIME: Duration = Duration::from_millis(250);

/// Range of run times.
const RUN_TIME_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(30));

/// Slot utilization up to which run times are measured. Beyond it open requests include queues.
const MAX_MEASURED_UTILIZATION: f64 = 0.6;

/// Requests waiting for adapters, relative to open ones, up to which run times are measured.
/// Beyond it the request rate is higher than that of the engines' requests.
const MAX_MEASURED_WAITING: f64 = 0.1;

/// Longest time between two rounds for which open requests are taken as unchanged.
const MAX_OPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the first open request from which run times are measured. Requests that have just begun
/// count fully in the rate, but not yet in the open requests over time.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// Time after which an earlier measurement counts half.
const MEASUREMENT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Estimates the run time as the open requests divided by the request rate, by Little's law. Both
/// decay with the same half-life: the rate lags behind when demand begins or rises, and a quotient
/// with the current open requests would then be many times the run time.
#[derive(Debug, Clone, Default)]
pub struct RunTimeEstimator {
    /// Smoothed run time. Unit: seconds.
    measured: Option<f64>,
    updated_at: ClockMillis,
    /// Decayed sum of the open requests times their time. Unit: seconds.
    open_time: DecayedRate,
    observed_at: Option<ClockMillis>,
    first_open_at: Option<ClockMillis>,
}

impl RunTimeEstimator {
    /// Returns the estimated run time.
    pub fn get(&self) -> Duration {
        let run_time = self.measured.map_or(ASSUMED_RUN_TIME, Duration::from_secs_f64);
        run_time.clamp(RUN_TIME_RANGE.0, RUN_TIME_RANGE.1)
    }

    /// Counts the open requests since the previous round and returns their decayed mean.
    fn mean_open_requests(&mut self, open: f64, now: ClockMillis) -> f64 {
        let observed_at = self.observed_at.replace(now).unwrap_or(now);
        let elapsed = now.since(observed_at).min(MAX_OPEN_INTERVAL).as_secs_f64();
        self.open_time.add(open * elapsed, now, BURST_HALF_LIFE);
        if open > 0.0 {
            self.first_open_at.get_or_insert(now);
        }
        self.open_time.per_second(now, BURST_HALF_LIFE)
    }

    fn is_warmed_up(&self, now: ClockMillis) -> bool {
        self.first_open_at.is_some_and(|first| now.since(first) >= WARM_UP_TIME)
    }

    fn record(&mut self, run_time: f64, now: ClockMillis) {
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / MEASUREMENT_HALF_LIFE.as_secs_f64();
        let kept = (-half_lives).exp2();
        let previous = self.measured.unwrap_or(run_time);
        self.measured = Some(previous * kept + run_time * (1.0 - kept));
        self.updated_at = now;
    }
}

impl PlacementPlanner {
    /// Measures the run time unless requests queue for slots or adapters.
    pub(super) fn update_run_time(&mut self, now: ClockMillis) {
        let engines = self.engines.values();
        let (open, slots) = engines.fold((0, 0), |(open, slots), inventory| {
            (open + self.work.total(&inventory.entry.name).open, slots + inventory.entry.slots)
        });
        let (open, slots) = (f64::from(open), f64::from(slots));
        let waiting = f64::from(self.demand.all_waiting_requests());
        let rate = self.demand.total_request_rate(now);
        let mean_open = self.run_time.mean_open_requests(open, now);
        let measurable = open.max(mean_open) < MAX_MEASURED_UTILIZATION * slots
            && waiting < MAX_MEASURED_WAITING * open
            && rate > 0.0
            && self.run_time.is_warmed_up(now);
        if measurable {
            self.run_time.record(mean_open / rate, now);
        }
    }
}
