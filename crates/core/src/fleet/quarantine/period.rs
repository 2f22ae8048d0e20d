//! How long a suspect is quarantined.

use std::time::Duration;

use crate::clock::ClockMillis;

/// How long a suspect is remembered that is not quarantined, and a quarantined one beyond its quarantine.
pub(super) const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// The quarantine after the first crashes that reach the threshold. Short, since an unrelated request may have been
/// running at all the engines that crashed.
const FIRST_PERIOD: Duration = Duration::from_secs(5);

/// The quarantine after one more crash. It bounds how often a probe of a poison request crashes an engine.
const SECOND_PERIOD: Duration = Duration::from_mins(1);

/// The longest quarantine; each further crash doubles it until then.
const MAX_PERIOD: Duration = Duration::from_hours(1);

/// The longest quarantine after a newer version of the model was published, which may run the request without a
/// crash.
const NEW_VERSION_PERIOD: Duration = Duration::from_mins(1);

/// The quarantines of a shared trait after two crashes, three and more. After the fifth crash it is probed three times
/// within a day.
const SHARED_TRAIT_PERIODS: [Duration; 7] = [
    FIRST_PERIOD,
    SECOND_PERIOD,
    Duration::from_mins(5),
    Duration::from_mins(30),
    Duration::from_hours(2),
    Duration::from_hours(8),
    Duration::from_hours(24),
];

/// Enough doublings to reach the longest quarantine.
const MAX_DOUBLINGS: usize = 8;

/// How long a suspect is quarantined after its last crash or probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuarantinePeriod(Duration);

impl QuarantinePeriod {
    /// Returns the quarantine after this many crashes, if they reach the threshold.
    pub(crate) fn after(crashes: usize, crashes_until_quarantined: usize) -> Option<Self> {
        let excess_crashes = crashes.checked_sub(crashes_until_quarantined)?;
        let period = match excess_crashes.checked_sub(1) {
            None => FIRST_PERIOD,
            Some(doublings) => SECOND_PERIOD * (1 << doublings.min(MAX_DOUBLINGS)),
        };
        Some(Self(period.min(MAX_PERIOD)))
    }

    /// Returns the quarantine of a shared trait after this many crashes, consecutive or not.
    pub(crate) fn of_shared_trait(crashes: usize) -> Self {
        let last = SHARED_TRAIT_PERIODS.len() - 1;
        Self(SHARED_TRAIT_PERIODS[crashes.saturating_sub(2).min(last)])
    }

    /// Returns how long the suspect is remembered.
    pub(crate) fn retention(self) -> Duration {
        self.0 * 2 + SUSPECT_RETENTION
    }

    /// Returns its length; `is_newer_version` if a newer version of the model was published since.
    pub(crate) fn duration(self, is_newer_version: bool) -> Duration {
        if is_newer_version { self.0.min(NEW_VERSION_PERIOD) } else { self.0 }
    }

    /// Returns how much of it is left since the suspect's last crash or probe. `stagger`, from zero to one, spreads the
    /// hosts' probes: the last host waits twice as long as the first.
    pub(super) fn remaining(
        self,
        since: ClockMillis,
        is_newer_version: bool,
        stagger: f64,
        now: ClockMillis,
    ) -> Duration {
        self.duration(is_newer_version).mul_f64(1.0 + stagger).saturating_sub(now.since(since))
    }
}
