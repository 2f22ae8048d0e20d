//! Whether a request waits for an adapter that no engine holds, or is refused at once.
//!
//! A client that is refused quickly and comes back once the adapter is there is served better than
//! one that is held until it gives up. So a request waits when the load is expected in time, and is
//! refused with a truthful time to come back otherwise. A short wait for the placer's estimate comes
//! before either.

use std::time::Duration;

use crate::placement::store_throughput::MIN_LOAD_TIME;

/// The part of the target for which a request waits for an estimate.
const ESTIMATE_PART: f64 = 0.17;

/// What the first event of an answer takes beside reading its prompt, once the adapter is there: the plan's
/// way to the host (15 ms apart at least), the request's way to the engine, and a step of the engine.
/// Engines gave short prompts their first event after 20 to 44 ms in the quickest quarter of a played day
/// (docs/DECISIONS.md).
const FIRST_STEP: Duration = Duration::from_millis(60);

/// How many pauses that a stream may have a client waits for a first event.
const PATIENCE_PAUSES: u32 = 8;

/// What is added to an estimate before a client is told to come back.
const RETURN_MARGIN: Duration = Duration::from_millis(120);

/// The shortest time after which a client is told to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(250);

/// When a client comes back where nobody knows when the load comes.
const UNKNOWN_RETURN: Duration = Duration::from_secs(3);

/// The part of its time for which a client waits before it comes back, at most.
const RETURN_PART: u32 = 3;

/// How many targets a client waits for a first event.
const PATIENCE_TARGETS: u32 = 4;

/// How long a client waits for a first event at least.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// What is left of a client's patience when a request that still waits is refused.
const PATIENCE_RESERVE: Duration = Duration::from_millis(150);

/// What a request is worth to its caller that can only be answered after its target; one in time is worth one. Source:
/// the users' sheets, a tenth to a third.
pub const LATE_WORTH: f64 = 0.2;

/// The least time after which a request looks again for an engine.
const SHORTEST_LOOK: Duration = Duration::from_millis(10);

/// What is known of a request whose adapter is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRequest {
    /// Since when it waits.
    pub elapsed: Duration,
    /// Within which time its first event is wanted.
    pub target: Duration,
    /// What is left of its time.
    pub remaining: Duration,
    /// In what time the adapter is expected, if a placer has said so.
    pub estimate: Option<Duration>,
    /// An engine that holds the adapter, or needs none, where all of them want no requests for a while.
    pub cooling: Option<CoolingHolder>,
    /// How long an engine takes to read its prompt, as far as that is known.
    pub reading: Duration,
    /// The longest pause with which its stream is in time, where one is named.
    pub longest_pause: Option<Duration>,
    /// Whether the client was refused before and came back.
    pub returned: bool,
}

/// An engine that could run a request, but wants none for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoolingHolder {
    /// After what time it is expected to take requests again.
    pub time: Duration,
    /// Whether another engine could load what the request names.
    pub loadable: bool,
}

/// What becomes of the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChoice {
    /// It waits, for so long at most before it is looked at again.
    Wait(Duration),
    /// It is refused, and the client comes back after so long.
    Refuse(Duration),
}

impl ColdRequest {
    /// Returns how long the client waits for a first event at all.
    fn patience(&self) -> Duration {
        let pauses = self.longest_pause.unwrap_or_default() * PATIENCE_PAUSES;
        let patience = (self.target * PATIENCE_TARGETS).max(LEAST_PATIENCE).max(pauses);
        patience.min(self.elapsed + self.remaining).saturating_sub(PATIENCE_RESERVE)
    }

    /// Returns what the request is worth to its caller if its adapter is ordered now.
    pub fn worth(&self) -> f64 {
        let answered = self.elapsed + MIN_LOAD_TIME + self.reading + FIRST_STEP;
        if self.returned || answered > self.target { LATE_WORTH } else { 1.0 }
    }

    /// Returns what becomes of the request now.
    pub fn choose(&self) -> ColdChoice {
        let decide = self.target.mul_f64(ESTIMATE_PART);
        let left = self.patience().saturating_sub(self.elapsed);
        if left.is_zero() {
            return ColdChoice::Refuse(self.return_time());
        }
        if let Some(holder) = self.cooling {
            return self.choose_beside(holder, left);
        }
        if self.elapsed > decide {
            return ColdChoice::Wait(left);
        }
        let Some(estimate) = self.estimate else {
            let until_decision = decide.saturating_sub(self.elapsed);
            return if until_decision.is_zero() {
                ColdChoice::Refuse(self.return_time())
            } else {
                ColdChoice::Wait(until_decision)
            };
        };
        if self.is_useful_after(estimate) {
            ColdChoice::Wait(left)
        } else {
            ColdChoice::Refuse(self.return_time())
        }
    }

    /// Returns whether an answer would still be useful if an engine took the request after `time`.
    fn is_useful_after(&self, time: Duration) -> bool {
        let useful = if self.returned { self.patience() } else { self.target };
        self.elapsed + time + self.reading + FIRST_STEP <= useful
    }

    /// Returns what becomes of the request where its holders want no requests for a while: it waits for the first of them or
    /// for another copy, as long as either is expected in time.
    fn choose_beside(&self, holder: CoolingHolder, left: Duration) -> ColdChoice {
        let load = self.estimate.filter(|_| holder.loadable);
        if self.is_useful_after(holder.time) {
            return ColdChoice::Wait(left.min(holder.time.max(SHORTEST_LOOK)));
        }
        let decide = self.target.mul_f64(ESTIMATE_PART);
        match load {
            Some(load) if self.elapsed > decide || self.is_useful_after(load) => {
                ColdChoice::Wait(left)
            }
            None if holder.loadable && self.elapsed < decide => {
                ColdChoice::Wait(decide.saturating_sub(self.elapsed))
            }
            _ => ColdChoice::Refuse(load.map_or(holder.time, |load| load.min(holder.time))),
        }
    }

    /// Returns when the client should come back.
    fn return_time(&self) -> Duration {
        let time = self.estimate.map_or(UNKNOWN_RETURN, |estimate| estimate + RETURN_MARGIN);
        time.max(SHORTEST_RETURN).min((self.remaining / RETURN_PART).max(SHORTEST_RETURN))
    }
}
