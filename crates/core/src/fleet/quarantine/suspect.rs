//! A trait of requests that were running at engines when they crashed.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::{
        WeightVersion,
        quarantine::{
            RequestTrait, TraitKind,
            crash_history::{CrashHistory, TraitCrash},
            period::QuarantinePeriod,
            recent_successes::SHARED_RETENTION,
            report::{ReportedCrash, SuspectReport},
            tracker::QuarantineThresholds,
        },
    },
    organisation::OrganisationName,
};

/// A trait of requests that were running at engines when they crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    kind: TraitKind,
    /// The crashes since it last succeeded.
    crashes: CrashHistory,
    /// When it last succeeded.
    cleared_at: Option<ClockMillis>,
    /// When it was last probed after a quarantine.
    pub(super) probed_at: Option<ClockMillis>,
    /// When this host first learned of it.
    first_seen: ClockMillis,
    /// The newest version of the request's model at any of the crashes.
    pub(super) version: WeightVersion,
    /// The organisation that sends the request, if keys identify one.
    pub(super) organisation: Option<OrganisationName>,
    /// Whether any coordinator has published it to all hosts.
    pub(super) published: bool,
}

impl Suspect {
    pub(super) const fn new(kind: TraitKind, now: ClockMillis) -> Self {
        Self {
            kind,
            crashes: CrashHistory::new(kind),
            cleared_at: None,
            probed_at: None,
            first_seen: now,
            version: 0,
            organisation: None,
            published: false,
        }
    }

    /// Returns the number of consecutive crashes.
    pub(super) fn consecutive_crashes(&self) -> usize {
        self.crashes.consecutive()
    }

    /// Returns the number of crashes, consecutive or not.
    pub(super) fn total_crashes(&self) -> usize {
        self.crashes.total()
    }

    /// Returns whether requests with a shared trait succeeded not long before the first crash.
    ///
    /// A part that crashes engines never succeeds, whereas one that many requests have succeeds all the time, even if
    /// the host that combines the reports has not learned of it since.
    pub(super) fn has_succeeded(&self) -> bool {
        let (Some(cleared_at), Some(first_crash)) = (self.cleared_at, self.crashes.first_at())
        else {
            return false;
        };
        first_crash.since(cleared_at) < SHARED_RETENTION
    }

    /// Returns how many consecutive crashes quarantine it.
    fn threshold(&self, thresholds: &QuarantineThresholds) -> usize {
        match self.kind {
            TraitKind::Request => thresholds.request,
            TraitKind::PromptPart if self.has_succeeded() => thresholds.known_part,
            TraitKind::PromptPart => thresholds.new_part,
        }
    }

    /// Returns how long it is quarantined after its last crash or probe, if it has enough crashes.
    pub(super) fn period(&self, thresholds: &QuarantineThresholds) -> Option<QuarantinePeriod> {
        let (crashes, threshold) = (self.consecutive_crashes(), self.threshold(thresholds));
        match self.kind {
            TraitKind::Request => QuarantinePeriod::after(crashes, threshold),
            TraitKind::PromptPart if crashes < threshold => None,
            TraitKind::PromptPart => Some(QuarantinePeriod::of_shared_trait(self.total_crashes())),
        }
    }

    /// Returns how much of its quarantine is left, if any. `version` is the current version of the request's model;
    /// `stagger`, from zero to one, spreads the hosts' probes.
    pub(super) fn quarantine_left(
        &self,
        thresholds: &QuarantineThresholds,
        version: WeightVersion,
        stagger: f64,
        now: ClockMillis,
    ) -> Option<Duration> {
        let is_newer_version = self.kind == TraitKind::Request && version > self.version;
        let period = self.period(thresholds)?;
        let left = period.remaining(self.last_activity(), is_newer_version, stagger, now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Adds a crash; returns whether it was new.
    pub(super) fn add_crash(&mut self, crash: TraitCrash) -> bool {
        let is_before_success = self.cleared_at.is_some_and(|cleared_at| crash.at <= cleared_at);
        !is_before_success && self.crashes.add(crash)
    }

    /// Records that it succeeded at `at`, and drops the crashes until then.
    pub(super) fn clear(&mut self, at: ClockMillis) {
        let cleared_at = self.cleared_at.map_or(at, |cleared_at| cleared_at.max(at));
        self.cleared_at = Some(cleared_at);
        self.crashes.clear_until(cleared_at);
    }

    /// Merges another host's report; returns whether anything was new.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: ClockMillis) -> bool {
        let previous = (self.total_crashes(), self.cleared_at, self.probed_at);
        self.version = self.version.max(report.version);
        self.organisation = self.organisation.take().or_else(|| report.organisation.clone());
        if let Some(ago) = report.cleared_ago {
            self.clear(now - ago);
        }
        if let Some(ago) = report.probed_ago {
            self.probed_at = self.probed_at.max(Some(now - ago));
        }
        let mut added = false;
        for reported in &report.crashes {
            added |= self.add_crash(TraitCrash {
                incarnation: reported.incarnation,
                began: now - reported.began_ago,
                at: now - reported.crashed_ago,
                requests: reported.requests.clone(),
            });
        }
        added || previous != (self.total_crashes(), self.cleared_at, self.probed_at)
    }

    /// Returns the time of its last crash, probe or success.
    pub(super) fn last_activity(&self) -> ClockMillis {
        let last_crash = self.crashes.last_at();
        last_crash.max(self.probed_at).max(self.cleared_at).unwrap_or(self.first_seen)
    }

    /// Returns the report on it.
    pub(super) fn report(&self, suspect: RequestTrait, now: ClockMillis) -> SuspectReport {
        let ago = |moment: ClockMillis| -> Duration { now.since(moment) };
        let reported = |crash: &TraitCrash| ReportedCrash {
            incarnation: crash.incarnation,
            began_ago: ago(crash.began),
            crashed_ago: ago(crash.at),
            requests: crash.requests.clone(),
        };
        SuspectReport {
            suspect,
            organisation: self.organisation.clone(),
            version: self.version,
            crashes: self.crashes.iter().map(reported).collect(),
            cleared_ago: self.cleared_at.map(ago),
            probed_ago: self.probed_at.map(ago),
        }
    }
}
