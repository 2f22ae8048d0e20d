//! Decides which requests to engines are admitted when capacity is short, by priority and by
//! organisation.
//!
//! Each host learns an admission level for each service: the fraction of its recent arrivals that
//! engines answer in time. It lowers the level while the waits expected at the engines that it
//! would choose are long, and raises it steadily while they are short. The level is filled with the
//! most urgent arrivals first. Every kind keeps a part of it, so that none starves, and an
//! organisation above its fair share gets a smaller level than the others
//! ([`FairShares`]).
//!
//! Hosts do not coordinate: they see the same engines, so their levels move in the same direction.

pub mod level;

use std::{collections::BTreeMap, time::Duration};

use level::AdmissionLevel;

use crate::{
    clock::ClockMillis,
    organisation::{
        OrganisationName,
        fair_share::{DecayingSum, FairShares},
    },
};

/// Fraction of the tightest latency target up to which an expected wait takes no capacity from
/// others: the engine has room, and every kind is admitted to it.
const IDLE_WAIT_FRACTION: f64 = 0.1;

/// Admitted fraction of the least urgent kind's first attempts, relative to that of all. The served
/// fraction must stay above a quarter; the rest is for admitted requests that are late, since
/// engines run urgent ones first.
const MIN_KIND_FRACTION: f64 = 0.4;

/// Ratio of the minimum of a kind to that of the next less urgent one. Clients with short timeouts
/// return less often, so that with equal minimums a more urgent kind would be served less often.
const KIND_FRACTION_STEP: f64 = 2.0;

/// Half-life of the counted arrivals: long enough for some requests of each kind at a host with
/// ten a second, and short enough to follow a burst.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(1);

/// Minimum retry time, unless the remaining time requires a shorter one.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Divides the remaining time of a request to get its maximum retry time.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Ratio of the longest to the shortest retry time of requests that are refused at one moment, so
/// that they do not return at one moment.
const RETRY_SPREAD: f64 = 1.5;

/// Ratio of the weights of two priorities that follow each other.
const WEIGHT_RATIO: f64 = std::f64::consts::FRAC_1_SQRT_2;

/// Minimum weight of a request: waiting ones of any priority must outweigh idle adapters.
const MIN_WEIGHT: f64 = 0.25;

/// Returns the weight of a request of a priority among waiting requests: one for the most urgent.
///
/// Less urgent requests for one adapter outweigh an urgent one for another when enough of them
/// wait.
pub fn priority_weight(priority: u8) -> f64 {
    WEIGHT_RATIO.powi(i32::from(priority)).max(MIN_WEIGHT)
}

/// Expected wait of a request at the engine that it would be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWait {
    /// Time that the engine needs for the prompts it has not processed yet.
    pub pending_prefill_time: Duration,
    /// Number of open requests at the engine.
    pub open: u32,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
}

impl EngineWait {
    /// Returns the time until the engine can begin with the request, if requests run for
    /// `run_time`.
    pub fn expected(&self, run_time: Duration) -> Duration {
        let slots = self.slots.max(1);
        let requests_ahead = (self.open + 1).saturating_sub(slots);
        let slot_wait = run_time.mul_f64(f64::from(requests_ahead) / f64::from(slots));
        self.pending_prefill_time.max(slot_wait)
    }
}

/// A request that arrives at a service with models.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityArrival<'request> {
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
    /// The requesting organisation, if its route requires a key.
    pub organisation: Option<&'request OrganisationName>,
    /// Cost of the request. Unit: tokens.
    pub tokens: u64,
    /// Target for the time to the first event.
    pub latency_target: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Expected wait at the chosen engine, or at the least busy engine of the service if none has
    /// loaded the adapter; `None` if unknown.
    pub engine_wait: Option<EngineWait>,
    /// Whether an engine has loaded the adapter. Otherwise the wait says nothing about the engines
    /// that requests are sent to, and does not change the level.
    pub loaded: bool,
    /// Whether the client returns after a refusal. Its first attempt has been counted: otherwise the
    /// kinds that are refused most would seem to arrive most.
    pub returning: bool,
    /// Hash of the request's id and arrival, by which admissions and retry times are spread.
    pub hash: u64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorityCause {
    /// More urgent requests take the capacity.
    PriorityLevel,
    /// Its organisation takes more than its fair share.
    FairShare,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorityDecision {
    /// The request goes on.
    Admit,
    /// The request is refused.
    Refuse {
        /// The cause.
        cause: PriorityCause,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// Recent arrivals of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct KindArrivals {
    count: DecayingSum,
    /// The shortest recent latency target: routes of one priority may have different ones.
    latency_target: Duration,
}

/// Factor by which the shortest latency target of a kind grows with each arrival that has a longer
/// one, so that a route that is no longer used or configured is forgotten within some seconds.
const TARGET_INCREASE: f64 = 1.02;

/// Number of recent arrivals below which a kind is forgotten.
const NEGLIGIBLE_ARRIVALS: f64 = 0.01;

/// Admission of one host's requests to one service.
#[derive(Debug, Clone, Default)]
pub struct PriorityAdmission {
    level: AdmissionLevel,
    kinds: BTreeMap<u8, KindArrivals>,
    shares: FairShares,
    /// Smoothed time for which requests take a slot; zero if none was observed.
    run_time: Duration,
}

/// Weight of the newest run in the smoothed run time.
const RUN_TIME_SMOOTHING: f64 = 0.05;

impl PriorityAdmission {
    /// Returns the fraction of recent arrivals that is admitted.
    pub const fn level(&self) -> f64 {
        self.level.fraction()
    }

    /// Records for how long an answered request took a slot of its engine.
    pub fn record_run(&mut self, time: Duration) {
        self.run_time = if self.run_time.is_zero() {
            time
        } else {
            self.run_time.mul_f64(1.0 - RUN_TIME_SMOOTHING) + time.mul_f64(RUN_TIME_SMOOTHING)
        };
    }

    /// Counts an arrival and returns whether it is admitted. To be called once for a request,
    /// before its first send.
    pub fn decide(&mut self, arrival: &PriorityArrival<'_>, now: ClockMillis) -> PriorityDecision {
        self.count_arrival(arrival, now);
        let wait_ratio = arrival
            .engine_wait
            .map(|wait| wait.expected(self.run_time).div_duration_f64(self.tightest_target()));
        if let Some(ratio) = wait_ratio.filter(|_| arrival.loaded) {
            self.level.observe(ratio, now);
        }
        if self.level.advance(now) {
            self.shares.update(self.level.fraction(), now);
            self.kinds
                .retain(|_, kind| kind.count.at(now, ARRIVAL_HALF_LIFE) > NEGLIGIBLE_ARRIVALS);
        }
        if self.level.fraction() >= 1.0 {
            return PriorityDecision::Admit;
        }
        let has_room = wait_ratio.is_some_and(|ratio| ratio <= IDLE_WAIT_FRACTION);
        self.refusal_cause(arrival, has_room, now).map_or(PriorityDecision::Admit, |cause| {
            PriorityDecision::Refuse { cause, retry_after: self.retry_after(arrival, now) }
        })
    }

    fn count_arrival(&mut self, arrival: &PriorityArrival<'_>, now: ClockMillis) {
        let kind = self.kinds.entry(arrival.priority).or_default();
        kind.latency_target = if kind.latency_target.is_zero() {
            arrival.latency_target
        } else {
            kind.latency_target.mul_f64(TARGET_INCREASE).min(arrival.latency_target)
        };
        if arrival.returning {
            return;
        }
        kind.count.add(1.0, now, ARRIVAL_HALF_LIFE);
        if let Some(organisation) = arrival.organisation {
            self.shares.record(organisation, arrival.tokens, now);
        }
    }

    /// Returns the shortest latency target of recent arrivals. All waits are judged by it: a less
    /// urgent request with a long target would else count an engine as free that is late for others.
    fn tightest_target(&self) -> Duration {
        let targets = self.kinds.values().map(|kind| kind.latency_target);
        targets.min().unwrap_or_default().max(Duration::from_millis(1))
    }

    fn refusal_cause(
        &self,
        arrival: &PriorityArrival<'_>,
        has_room: bool,
        now: ClockMillis,
    ) -> Option<PriorityCause> {
        let share = self.shares.fraction(arrival.organisation, now);
        if has_room && share.own >= share.common {
            return None;
        }
        let drawn = unit_fraction(arrival.hash >> 32);
        let within = |fraction| drawn < self.kind_fraction(fraction, arrival, now);
        if within(share.own) {
            None
        } else if within(share.common) {
            Some(PriorityCause::FairShare)
        } else {
            Some(PriorityCause::PriorityLevel)
        }
    }

    /// Returns the admitted fraction of requests like this one if that of all is `fraction`: the
    /// minimum of its kind, and what more urgent kinds leave of the rest.
    ///
    /// The minimum is for first attempts: with it on each attempt, clients that return often would
    /// get several times as much.
    fn kind_fraction(&self, fraction: f64, arrival: &PriorityArrival<'_>, now: ClockMillis) -> f64 {
        // From the least urgent kind on: its priority, arrivals and minimum.
        let kinds = self.kinds.iter().rev().zip(MinimumFractions(MIN_KIND_FRACTION)).map(
            |((priority, kind), minimum)| {
                (*priority, kind.count.at(now, ARRIVAL_HALF_LIFE), fraction * minimum)
            },
        );
        let kinds: Vec<(u8, f64, f64)> = kinds.collect();
        let unreserved = |(_, count, minimum): &(u8, f64, f64)| count * (fraction - minimum);
        let mut rest: f64 = kinds.iter().map(unreserved).sum();
        for (kind, count, minimum) in kinds.into_iter().rev() {
            let additional = rest.min(count * (1.0 - minimum));
            if kind == arrival.priority {
                let additional = if count > 0.0 { additional / count } else { 0.0 };
                return if arrival.returning {
                    additional / (1.0 - minimum)
                } else {
                    minimum + additional
                };
            }
            rest -= additional;
        }
        fraction
    }

    /// Returns the retry time of a refused request: when the level is expected to admit all, as the
    /// shortage lasts at least the time for its recovery and, in the mean, as long again as so far.
    fn retry_after(&self, arrival: &PriorityArrival<'_>, now: ClockMillis) -> Duration {
        let longest = arrival.remaining / RETRY_AFTER_DIVISOR;
        let expected = self.level.recovery_time().max(self.level.short_for(now));
        let shortest = expected.max(MIN_RETRY_AFTER).min(longest.div_f64(RETRY_SPREAD));
        let spread = unit_fraction(arrival.hash & u64::from(u32::MAX));
        shortest.mul_f64(1.0 + (RETRY_SPREAD - 1.0) * spread)
    }
}

/// The minimums of kinds relative to the admitted fraction of all, from the least urgent kind on.
struct MinimumFractions(f64);

impl Iterator for MinimumFractions {
    type Item = f64;

    fn next(&mut self) -> Option<f64> {
        let minimum = self.0;
        self.0 = (minimum * KIND_FRACTION_STEP).min(1.0);
        Some(minimum)
    }
}

/// Maps 32 bits of a hash to a number of at least zero and less than one.
fn unit_fraction(bits: u64) -> f64 {
    bits as f64 / 2f64.powi(32)
}
