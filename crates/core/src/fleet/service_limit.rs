//! Learns the rate of requests that the ready servers of a plain service answer in time.
//!
//! A host of a large fleet sees only a few requests per second, too few to notice in time that
//! servers have become slower. The coordinator therefore adds up the requests of all hosts and
//! derives one rate for the fleet, similar to Vegas and gradient limits on open requests: the
//! number of open requests is steered to what the servers answer within a fraction of the latency
//! target. Open requests are not limited directly, because a host's share of them is below one.

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use crate::clock::ClockMillis;

/// Fraction of the latency target that answers should take at the highest throughput. With less, slots
/// are idle between two publications; with more, more answers of slow periods are late.
const GOAL_DELAY_FRACTION: f64 = 0.5;

/// Intervals in which the rate brings the number of open requests to its goal. A change of the rate
/// shows in the sums only after an interval, so a single one would overshoot.
const CORRECTION_INTERVALS: f64 = 1.5;

/// Factor applied to the highest throughput after each interval with a lower one: it halves in 7 s, so
/// that it outlasts slow periods and follows servers that stay slow.
const PEAK_DECAY_FACTOR: f64 = 0.99;

/// Factor applied to the highest throughput after each interval with late answers.
const PEAK_DECAY_FACTOR_LATE: f64 = 0.95;

/// Fraction of the answers that may be late before the highest throughput decays faster; when servers
/// become slower, some answers are late in any case.
const TOLERATED_LATE_FRACTION: f64 = 0.1;

/// Weight of a returning client's request in the shares. Returning clients go before new ones, but not
/// strictly: under lasting overload, only requests that have already missed their target would be
/// served then.
pub const RETURNING_WEIGHT: f64 = 1.2;

/// Weight of the last interval in the smoothed rate of arrivals.
const ARRIVALS_WEIGHT: f64 = 0.3;

/// Minimum goal for open requests, in slots of the ready servers. Below that, requests were refused in slow
/// periods of one server although the others had room.
const MIN_OPEN_PER_SLOT: f64 = 2.5;

/// Minimum goal for open requests at each server whose slots are not listed.
const MIN_OPEN_PER_SERVER: f64 = 2.0;

/// Minimum admitted fraction of the arrivals, so that recovered servers are noticed.
const MIN_ADMITTED_FRACTION: f64 = 0.05;

/// Fraction of the admitted requests refused by full servers beyond which the maximum number of open
/// requests is lowered; below that, uneven arrivals at the servers explain them.
const TOLERATED_FULL_FRACTION: f64 = 0.02;

/// Fraction of the admitted requests refused by full servers beyond which they use few of their slots.
const MOSTLY_FULL_FRACTION: f64 = 0.5;

/// Minimum of the maximum number of open requests, in slots, while servers use most of their slots: one
/// server that refuses requests for another reason takes no capacity from the others.
const MIN_MAX_OPEN_PER_SLOT: f64 = 2.0;

/// Factor applied to the maximum number of open requests when servers were full.
const FULL_DECREASE_FACTOR: f64 = 0.85;

/// Factor applied to the maximum number of open requests after each interval without full servers.
const FULL_RECOVERY_FACTOR: f64 = 1.05;

/// Intervals before the first limit: at first, not all hosts report.
const MEASURED_INTERVALS: u32 = 2;

/// Rate per arrival rate below which capacity counts as short.
const SHORTAGE_MARGIN: f64 = 1.1;

/// Time without shortage after which the limit ends; longer than the 600 ms of a slow period.
const SHORTAGE_EXPIRY: Duration = Duration::from_secs(2);

/// Requests to a plain service within some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSums {
    /// Requests that arrived at hosts.
    pub arrivals: u32,
    /// Those of them whose clients were refused before.
    pub returning: u32,
    /// Requests that hosts admitted.
    pub admitted: u32,
    /// Requests that servers answered.
    pub answered: u32,
    /// Answers that took longer than the latency target.
    pub late: u32,
    /// Sends that full servers refused.
    pub full: u32,
}

impl Add for LoadSums {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            arrivals: self.arrivals.saturating_add(other.arrivals),
            returning: self.returning.saturating_add(other.returning),
            admitted: self.admitted.saturating_add(other.admitted),
            answered: self.answered.saturating_add(other.answered),
            late: self.late.saturating_add(other.late),
            full: self.full.saturating_add(other.full),
        }
    }
}

impl AddAssign for LoadSums {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Load of a service over all hosts in one interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntervalLoad {
    /// Requests in the interval.
    pub sums: LoadSums,
    /// Admitted requests without a final response at the end of the interval.
    pub open: u32,
    /// Length of the interval.
    pub elapsed: Duration,
    /// Number of servers that accept requests.
    pub ready_servers: u32,
    /// Number of requests that those servers run at a time; zero if unknown.
    pub slots: u32,
    /// Latency target of the service's requests.
    pub latency_target: Duration,
}

/// The limit of a service over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PublishedLimit {
    /// Admitted rate. Unit: requests per second.
    pub rate: f64,
    /// Rate of arrivals by which hosts share the admitted rate; a returning client's request counts as
    /// [`RETURNING_WEIGHT`]. Unit: requests per second.
    pub arrivals: f64,
    /// Whether all hosts have had time to report; until then, hosts report but decide by themselves.
    pub measured: bool,
}

impl PublishedLimit {
    /// Returns the fraction of new or returning clients' requests that each host admits.
    pub fn admitted_fraction(&self, returning: bool) -> f64 {
        if self.arrivals <= self.rate {
            return 1.0;
        }
        let weight = if returning { RETURNING_WEIGHT } else { 1.0 };
        (weight * self.rate / self.arrivals).clamp(0.0, 1.0)
    }
}

/// Learns the limit of one service.
#[derive(Debug, Clone)]
pub struct ServiceLimit {
    ready_servers: u32,
    /// The highest throughput lately. Unit: answers per second.
    peak_throughput: f64,
    /// Unit: requests per second.
    arrivals: f64,
    /// Unit: requests per second.
    rate: f64,
    /// Maximum number of open requests at each server before it refuses some.
    max_open_per_server: f64,
    measured_intervals: u32,
    last_shortage: ClockMillis,
}

impl ServiceLimit {
    /// Starts to measure at `now`.
    pub const fn new(ready_servers: u32, now: ClockMillis) -> Self {
        Self {
            ready_servers,
            peak_throughput: 0.0,
            arrivals: 0.0,
            rate: 0.0,
            max_open_per_server: f64::INFINITY,
            measured_intervals: 0,
            last_shortage: now,
        }
    }

    /// Returns the number of servers that accept requests.
    pub const fn ready_servers(&self) -> u32 {
        self.ready_servers
    }

    /// Scales the limit at once when servers leave or come; returns whether it has changed.
    pub fn set_ready_servers(&mut self, ready_servers: u32, now: ClockMillis) -> bool {
        if ready_servers == self.ready_servers || ready_servers == 0 {
            return false;
        }
        let ratio = f64::from(ready_servers) / f64::from(self.ready_servers.max(1));
        self.ready_servers = ready_servers;
        self.peak_throughput *= ratio;
        self.rate *= ratio;
        self.last_shortage = now;
        true
    }

    /// Learns from the load of one interval.
    pub fn update(&mut self, load: &IntervalLoad, now: ClockMillis) {
        self.set_ready_servers(load.ready_servers, now);
        let seconds = load.elapsed.as_secs_f64().max(0.001);
        let arrivals_weight = if self.measured_intervals == 0 { 1.0 } else { ARRIVALS_WEIGHT };
        let returning = f64::from(load.sums.returning) * (RETURNING_WEIGHT - 1.0);
        let arrivals = (f64::from(load.sums.arrivals) + returning) / seconds;
        let throughput = f64::from(load.sums.answered) / seconds;
        let arrivals = smoothed(self.arrivals, arrivals, arrivals_weight);
        self.arrivals = arrivals;
        self.measured_intervals = self.measured_intervals.saturating_add(1);
        self.learn_peak(load, throughput);
        self.learn_max_open(load);
        let rate = self.steered_rate(load, throughput, seconds);
        self.rate = rate.max(arrivals * MIN_ADMITTED_FRACTION);
        if self.rate < arrivals * SHORTAGE_MARGIN || load.sums.full > 0 || load.sums.late > 0 {
            self.last_shortage = now;
        }
    }

    /// Returns the limit to publish, or `None` if nothing is short.
    pub fn published(&self, now: ClockMillis) -> Option<PublishedLimit> {
        if now.since(self.last_shortage) >= SHORTAGE_EXPIRY {
            return None;
        }
        let measured = self.measured_intervals >= MEASURED_INTERVALS;
        Some(PublishedLimit { rate: self.rate, arrivals: self.arrivals, measured })
    }

    /// Returns the number of open requests that the servers answer within the goal for delays.
    fn goal_open(&self, load: &IntervalLoad) -> f64 {
        let servers = f64::from(self.ready_servers.max(1));
        let goal = self.peak_throughput * load.latency_target.as_secs_f64() * GOAL_DELAY_FRACTION;
        let min_open = f64::from(load.slots) * MIN_OPEN_PER_SLOT;
        let max_open = self.max_open_per_server * servers;
        goal.max(min_open).min(max_open).max(MIN_OPEN_PER_SERVER * servers)
    }

    /// Returns the rate that brings the number of open requests to its goal, after an interval of
    /// `seconds`.
    fn steered_rate(&self, load: &IntervalLoad, throughput: f64, seconds: f64) -> f64 {
        let goal = self.goal_open(load);
        let missing = goal - f64::from(load.open);
        // The fewer requests are open, the more of the highest throughput is unused.
        let unused = (missing / goal).max(0.0) * (self.peak_throughput - throughput).max(0.0);
        throughput + unused + missing / (seconds * CORRECTION_INTERVALS)
    }

    fn learn_peak(&mut self, load: &IntervalLoad, throughput: f64) {
        let tolerated = f64::from(load.sums.answered) * TOLERATED_LATE_FRACTION;
        let late = f64::from(load.sums.late) > tolerated;
        let factor = if late { PEAK_DECAY_FACTOR_LATE } else { PEAK_DECAY_FACTOR };
        self.peak_throughput = (self.peak_throughput * factor).max(throughput);
    }

    fn learn_max_open(&mut self, load: &IntervalLoad) {
        let (full, admitted) = (f64::from(load.sums.full), f64::from(load.sums.admitted));
        if full <= admitted * TOLERATED_FULL_FRACTION {
            self.max_open_per_server *= FULL_RECOVERY_FACTOR;
            return;
        }
        let servers = f64::from(self.ready_servers.max(1));
        // Requests that are still open are no evidence of servers with room.
        let decided = load.sums.answered.max(load.sums.admitted.saturating_sub(load.open));
        let mostly_full = full > f64::from(decided) * MOSTLY_FULL_FRACTION;
        let slots =
            if mostly_full { 0.0 } else { f64::from(load.slots) * MIN_MAX_OPEN_PER_SLOT / servers };
        let open = f64::from(load.open) / servers;
        let max_open = self.max_open_per_server.min(open) * FULL_DECREASE_FACTOR;
        self.max_open_per_server = max_open.max(slots).max(MIN_OPEN_PER_SERVER);
    }
}

fn smoothed(previous: f64, value: f64, weight: f64) -> f64 {
    previous.mul_add(1.0 - weight, value * weight)
}
