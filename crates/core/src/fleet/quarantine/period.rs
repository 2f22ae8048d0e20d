//! For how long a request is held back.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::{WeightVersion, quarantine::suspect::Suspect},
};

/// How long a suspect is remembered that is not held back, and one that was held back beyond that: a request that comes
/// once in ten minutes ends six engines in an hour at the most until it is known.
pub(super) const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// For how long a request is held back once as many ends in a row have shown what it may be. Clients of requests of fifteen
/// seconds come back after five at most, and an innocent request that all its engines ended under is tried again by then.
const FIRST_PERIOD: Duration = Duration::from_secs(5);

/// For how long it is held back after one end more. Then one run is let through again, and ends one engine more if the request
/// is as bad as before: one of twelve engines that is away for ten seconds in the first minute is 1.4% of them.
const SECOND_PERIOD: Duration = Duration::from_mins(1);

/// The longest time for which a request is held back; it doubles with each further end until then.
const MAX_PERIOD: Duration = Duration::from_hours(1);

/// How long a request is held back at least after the last end where a newer version of what it names was named since:
/// the new one may bear it.
const NEW_VERSION_PERIOD: Duration = Duration::from_mins(1);

/// After how many doublings the longest hold is surely reached.
const MAX_DOUBLINGS: usize = 8;

/// For how long a suspect is held back after its last end or try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuarantinePeriod(Duration);

impl QuarantinePeriod {
    /// Returns the hold after so many ends, once they are as many as it takes.
    pub(crate) fn after(crashes: usize, crashes_until_quarantined: usize) -> Option<Self> {
        let excess_crashes = crashes.checked_sub(crashes_until_quarantined)?;
        let period = match excess_crashes.checked_sub(1) {
            None => FIRST_PERIOD,
            Some(doublings) => SECOND_PERIOD * (1 << doublings.min(MAX_DOUBLINGS)),
        };
        Some(Self(period.min(MAX_PERIOD)))
    }

    /// Returns for how long it is remembered at all.
    pub(crate) fn retention(self) -> Duration {
        self.0 * 2 + SUSPECT_RETENTION
    }

    /// Returns how long it lasts; `is_newer_version` where a newer version of what is held back was named since.
    pub(crate) fn duration(self, is_newer_version: bool) -> Duration {
        if is_newer_version { self.0.min(NEW_VERSION_PERIOD) } else { self.0 }
    }

    /// Returns how much of it is left; `version` is the one that is named now, and `stagger` the host's turn to try the request
    /// again, from zero to one: the last one holds it back for twice as long as the first.
    pub(super) fn remaining(
        self,
        suspect: &Suspect,
        version: WeightVersion,
        stagger: f64,
        now: ClockMillis,
    ) -> Duration {
        self.duration(version > suspect.version)
            .mul_f64(1.0 + stagger)
            .saturating_sub(now.since(suspect.last_activity()))
    }
}
