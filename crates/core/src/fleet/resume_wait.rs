//! Decides whether an interrupted stream waits for an engine that can resume it.
//!
//! Its client keeps what it has got only if the stream goes on before it gives up; a reset loses it.
//! The stream therefore waits for whatever is expected in time, late or not, and for a short time
//! for news of it. If nothing is expected in time the stream ends at once, so that its client can
//! begin anew.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::cold_start::{
        FIRST_EVENT_OVERHEAD, LATE_WORTH, MIN_RECHECK_INTERVAL, client_event_timeout,
    },
    placement::{LoadSchedule, store_throughput::MIN_LOAD_TIME},
};

/// How long a stream waits while nothing shows when an engine can resume it: without the schedule of
/// a load, until a queued load is ordered, and after a load was due.
const UNSCHEDULED_WAIT: Duration = Duration::from_millis(400);

/// Worth of the events that a client has got: the run that would have to be repeated for them.
const DELIVERED_WORTH: f64 = 1.0;

/// An interrupted stream that no engine can resume at this moment.
#[derive(Debug, Clone, Copy)]
pub struct ResumeWait {
    /// Time since its client got the last events.
    pub silence: Duration,
    /// Time for which it has waited since it was interrupted.
    pub waited: Duration,
    /// Target for the time to the first event.
    pub latency_target: Duration,
    /// Target for the maximum gap between two events, if configured.
    pub max_event_gap: Option<Duration>,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Expected prefill time of the prompt, or zero if unknown.
    pub prefill_time: Duration,
    /// Time until an engine that holds the adapter is expected to accept the request, if there is one.
    pub available_in: Option<Duration>,
    /// Whether an engine that may run the request could load the adapter.
    pub loadable: bool,
    /// The newest schedule of the adapter's load.
    pub schedule: LoadSchedule,
    /// The current time.
    pub now: ClockMillis,
}

impl ResumeWait {
    /// Returns how long to wait until the next decision, or `None` if the stream is given up.
    pub fn decide(&self) -> Option<Duration> {
        let copy = self.available_in.filter(|time| self.is_useful_after(*time));
        let wait = copy.or_else(|| self.wait_for_load())?;
        Some(wait.max(MIN_RECHECK_INTERVAL))
    }

    /// Returns whether an engine that holds the adapter is expected to accept the request in time.
    pub fn expects_copy(&self) -> bool {
        self.available_in.is_some_and(|time| self.is_useful_after(time))
    }

    /// Returns the worth of the stream if a load of its adapter begins now.
    pub fn worth(&self) -> f64 {
        let target = self.max_event_gap.unwrap_or(self.latency_target);
        let gap = self.silence + MIN_LOAD_TIME + self.prefill_time + FIRST_EVENT_OVERHEAD;
        DELIVERED_WORTH + if gap > target { LATE_WORTH } else { 1.0 }
    }

    fn wait_for_load(&self) -> Option<Duration> {
        if !self.loadable {
            return None;
        }
        let fresh = |due: ClockMillis| self.now.since(due) < UNSCHEDULED_WAIT;
        match self.schedule {
            LoadSchedule::Loading { due } if fresh(due) => {
                let useful = self.is_useful_after(due.since(self.now));
                useful.then(|| (due + UNSCHEDULED_WAIT).since(self.now))
            }
            LoadSchedule::Queued { due } if fresh(due) => {
                if !self.is_useful_after(due.since(self.now)) {
                    return None;
                }
                // A load that is due within one load time should be ordered at this moment.
                let is_next = due.since(self.now) <= MIN_LOAD_TIME;
                let next = is_next.then(|| (due + UNSCHEDULED_WAIT).since(self.now));
                self.wait_for_news().or(next)
            }
            _ => self.wait_for_news(),
        }
    }

    /// Returns the rest of the time for which the stream waits without knowing what for.
    fn wait_for_news(&self) -> Option<Duration> {
        let rest = UNSCHEDULED_WAIT.saturating_sub(self.waited);
        (!rest.is_zero() && self.is_useful_after(Duration::ZERO)).then_some(rest)
    }

    /// Returns whether the client still waits for the next event if an engine accepts the request
    /// after `time`.
    fn is_useful_after(&self, time: Duration) -> bool {
        let event_timeout = client_event_timeout(self.latency_target, self.max_event_gap);
        let next_event = time + self.prefill_time + FIRST_EVENT_OVERHEAD;
        next_event <= event_timeout.saturating_sub(self.silence).min(self.remaining)
    }
}
