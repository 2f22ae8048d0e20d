//! Decides whether a request waits for the load of its adapter where clients have little time to
//! retry.
//!
//! The decision is made early and kept: a request waits only for a load that is due in time, and
//! once it has waited it is refused only if no load is on its way or no answer would still be
//! useful. All others are refused at once, with a retry time that follows from the load's due time.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::cold_start::{
        ColdDecision, ColdRequest, FIRST_EVENT_OVERHEAD, MIN_RECHECK_INTERVAL, MIN_RETRY_AFTER,
        RETRY_AFTER_DIVISOR, RETRY_AFTER_MARGIN,
    },
    placement::{LoadSchedule, store_throughput::MIN_LOAD_TIME},
};

/// How long a request waits for the placer's schedule. Demand reaches the placer and its schedule
/// comes back within this time unless one of the hosts is down or cut off.
const SCHEDULE_WAIT: Duration = Duration::from_millis(100);

/// Fraction of the latency target for which a request waits until a queued load is ordered, unless
/// its order is due. Below [`HELD_FRACTION`], so that a request that is refused then has not been
/// held for long.
const QUEUED_WAIT_FRACTION: f64 = 0.2;

/// Fraction of the latency target after which a wait is so long that a refusal is the worst
/// outcome.
const HELD_FRACTION: f64 = 0.25;

/// How long after its due time a load still counts as on its way. Covers the delivery of the plan
/// from a busy placer to a busy host.
const OVERDUE_GRACE: Duration = Duration::from_millis(150);

/// Divides the time until a load is due to get the time over which retries are spread.
const SPREAD_DIVISOR: u32 = 4;

/// Minimum time over which retries for the same load are spread.
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Maximum time over which retries for the same load are spread. The placer may evict an adapter
/// that has been idle for longer.
const MAX_SPREAD: Duration = Duration::from_millis(250);

/// Fraction by which retry times at the upper limit are shortened to spread them.
const LIMIT_SPREAD_FRACTION: f64 = 0.25;

/// Reserved for the delivery of a refusal: the client compares the retry time with the time that it
/// has left on receipt.
const REFUSAL_DELIVERY_TIME: Duration = Duration::from_millis(30);

/// Unit in which retry times are sent. Unit: milliseconds.
const RETRY_AFTER_UNIT_MS: u64 = 10;

/// Worth of a request that can only be answered after its latency target; one answered in time is
/// worth one.
const LATE_ANSWER_WORTH: f64 = 0.3;

/// A request whose adapter no engine holds, with the schedule of its load.
#[derive(Debug, Clone, Copy)]
pub struct LoadWait {
    /// The request.
    pub request: ColdRequest,
    /// The newest schedule of its load.
    pub schedule: LoadSchedule,
    /// Time until an engine that holds the adapter is used again after a fault, if there is one.
    pub copy_available_in: Option<Duration>,
    /// The current time.
    pub now: ClockMillis,
    /// Time since this wait began.
    pub waiting: Duration,
    /// Time in all waits of the request, including this one.
    pub waited: Duration,
    /// Hash of the request's id.
    pub request_hash: u64,
}

/// The reason of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecisionCause {
    /// Waits: the load is ordered and due in time.
    LoadDue,
    /// Waits: the load is queued and due in time, if it is ordered soon.
    LoadQueued,
    /// Waits: the request has waited for long and its load is on its way.
    Held,
    /// Waits: an engine that holds the adapter is avoided after a fault, for a known time.
    CopyAvoided,
    /// Waits for the placer's schedule.
    ScheduleAwaited,
    /// Refused: the load is ordered, but due too late.
    DueLate,
    /// Refused: the load is queued and due too late, or was not ordered soon.
    NotOrdered,
    /// Refused: the load was due some time ago.
    Overdue,
    /// Refused: the placer sent no schedule.
    NoSchedule,
    /// Refused: the client is about to give up.
    ClientLimit,
}

impl DecisionCause {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::LoadDue => "load_due",
            Self::LoadQueued => "load_queued",
            Self::Held => "held",
            Self::CopyAvoided => "copy_avoided",
            Self::ScheduleAwaited => "schedule_awaited",
            Self::DueLate => "due_late",
            Self::NotOrdered => "not_ordered",
            Self::Overdue => "overdue",
            Self::NoSchedule => "no_schedule",
            Self::ClientLimit => "client_limit",
        }
    }
}

/// A decision and its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadDecision {
    /// Whether the request waits or is refused.
    pub decision: ColdDecision,
    /// The reason.
    pub cause: DecisionCause,
}

impl LoadWait {
    /// Returns whether the request waits or is refused.
    pub fn decide(&self) -> LoadDecision {
        let remaining_wait = self.request.client_wait_limit().saturating_sub(self.request.elapsed);
        if remaining_wait.is_zero() {
            return self.refuse(DecisionCause::ClientLimit);
        }
        let decided = self.decide_waiting();
        match decided.decision {
            ColdDecision::Wait(time) => {
                let time = time.max(MIN_RECHECK_INTERVAL).min(remaining_wait);
                LoadDecision { decision: ColdDecision::Wait(time), ..decided }
            }
            ColdDecision::Refuse(_) => decided,
        }
    }

    fn decide_waiting(&self) -> LoadDecision {
        // A copy that exists needs no load, and the placer may order none.
        let copy = self.copy_available_in.filter(|time| self.is_useful_after(*time, true));
        if let Some(time) = copy {
            return wait(time, DecisionCause::CopyAvoided);
        }
        match self.schedule {
            LoadSchedule::Loading { due } | LoadSchedule::Queued { due }
                if self.now.since(due) >= OVERDUE_GRACE =>
            {
                self.decide_unscheduled(DecisionCause::Overdue)
            }
            LoadSchedule::Loading { due } => self.decide_loading(due),
            LoadSchedule::Queued { due } => self.decide_queued(due),
            LoadSchedule::Unknown => self.decide_unscheduled(DecisionCause::NoSchedule),
        }
    }

    /// Returns the worth of the request if a load of its adapter begins now.
    ///
    /// A client that has been refused and returns is worth as much as a new one: it was told to.
    pub fn worth(&self) -> f64 {
        let request = &self.request;
        let first_event =
            request.elapsed + MIN_LOAD_TIME + request.prefill_time + FIRST_EVENT_OVERHEAD;
        let limit = if request.client_retried {
            request.client_wait_limit()
        } else {
            request.latency_target
        };
        if first_event > limit { LATE_ANSWER_WORTH } else { 1.0 }
    }

    /// Returns whether the request has waited for so long that a refusal is the worst outcome.
    pub fn is_held(&self) -> bool {
        self.waited > Self::held_after(self.request.latency_target)
    }

    /// Returns the wait beyond which a refusal is the worst outcome.
    pub fn held_after(latency_target: Duration) -> Duration {
        latency_target.mul_f64(HELD_FRACTION)
    }

    /// Returns whether the client could still be answered if it returned after a refusal. Demand of
    /// others must not be counted: their loads would take the places of loads that are used.
    pub fn is_return_useful(&self) -> bool {
        let load = self.fresh_due().map_or(MIN_LOAD_TIME, |due| due.since(self.now));
        let first_event =
            load + RETRY_AFTER_MARGIN + self.request.prefill_time + FIRST_EVENT_OVERHEAD;
        first_event <= self.request.remaining
    }

    /// Returns when the load is due, unless it is overdue or unknown.
    fn fresh_due(&self) -> Option<ClockMillis> {
        self.schedule.due().filter(|due| self.now.since(*due) < OVERDUE_GRACE)
    }

    fn decide_loading(&self, due: ClockMillis) -> LoadDecision {
        if !self.is_useful_at(due) {
            return self.refuse(DecisionCause::DueLate);
        }
        let cause = if self.is_held() { DecisionCause::Held } else { DecisionCause::LoadDue };
        wait((due + OVERDUE_GRACE).since(self.now), cause)
    }

    fn decide_queued(&self, due: ClockMillis) -> LoadDecision {
        if !self.is_useful_at(due) {
            return self.refuse(DecisionCause::NotOrdered);
        }
        if self.is_held() {
            return wait((due + OVERDUE_GRACE).since(self.now), DecisionCause::Held);
        }
        let bound = self.request.latency_target.mul_f64(QUEUED_WAIT_FRACTION);
        let remaining = bound.saturating_sub(self.waited);
        // A load that is due within one load time should be ordered at this moment.
        let is_next = due.since(self.now) <= MIN_LOAD_TIME;
        if remaining.is_zero() && !is_next {
            return self.refuse(DecisionCause::NotOrdered);
        }
        wait(remaining, DecisionCause::LoadQueued)
    }

    fn decide_unscheduled(&self, cause: DecisionCause) -> LoadDecision {
        let limit = SCHEDULE_WAIT.min(self.request.latency_target.mul_f64(QUEUED_WAIT_FRACTION));
        let remaining = limit.saturating_sub(self.waiting);
        if remaining.is_zero() {
            return self.refuse(cause);
        }
        wait(remaining, DecisionCause::ScheduleAwaited)
    }

    /// Returns whether an answer is useful if the load completes at `due`: in time for a new
    /// request, before the client gives up for one that has returned or waited for long.
    fn is_useful_at(&self, due: ClockMillis) -> bool {
        self.is_useful_after(due.since(self.now), self.request.client_retried || self.is_held())
    }

    /// Returns whether an answer is useful if an engine accepts the request after `time`.
    fn is_useful_after(&self, time: Duration, may_be_late: bool) -> bool {
        let request = &self.request;
        let limit = if may_be_late { request.client_wait_limit() } else { request.latency_target };
        request.elapsed + time + request.prefill_time + FIRST_EVENT_OVERHEAD <= limit
    }

    fn refuse(&self, cause: DecisionCause) -> LoadDecision {
        LoadDecision { decision: ColdDecision::Refuse(self.retry_after()), cause }
    }

    /// Returns the retry time for the client: shortly after the load is due, spread over the
    /// clients, and at most a third of the time that it has left.
    fn retry_after(&self) -> Duration {
        let remaining = self.request.remaining.saturating_sub(REFUSAL_DELIVERY_TIME);
        let limit = remaining / RETRY_AFTER_DIVISOR;
        // The upper 53 bits are those that a float can represent.
        let fraction = (self.request_hash >> 11) as f64 / (1_u64 << 53) as f64;
        let load = self.fresh_due().map(|due| due.since(self.now));
        let spread_time = load.into_iter().chain(self.copy_available_in).min().map(|until_due| {
            let spread = (until_due / SPREAD_DIVISOR).clamp(MIN_SPREAD, MAX_SPREAD);
            until_due + RETRY_AFTER_MARGIN + spread.mul_f64(fraction)
        });
        let time = spread_time.filter(|time| *time <= limit);
        let time = time.unwrap_or_else(|| limit.mul_f64(1.0 - LIMIT_SPREAD_FRACTION * fraction));
        let millis = time.max(MIN_RETRY_AFTER).min(limit).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        Duration::from_millis(millis / RETRY_AFTER_UNIT_MS * RETRY_AFTER_UNIT_MS)
    }
}

const fn wait(time: Duration, cause: DecisionCause) -> LoadDecision {
    LoadDecision { decision: ColdDecision::Wait(time), cause }
}
