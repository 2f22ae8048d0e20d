//! A request that was running at engines when they crashed.

use std::time::Duration;

use crate::{
    clock::ClockMillis,
    fleet::quarantine::RequestMark,
    fleet::{
        WeightVersion,
        quarantine::{
            EngineIncarnationId,
            report::{ReportedCrash, SuspectReport},
        },
    },
    organisation::OrganisationName,
};

/// The most crashes that are remembered of one request: enough for the longest quarantine.
const MAX_CRASHES: usize = 8;

/// The least time that an engine takes to restart. It has to exceed the inaccuracy of reported ages, which is the
/// transit time of a report.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);

/// A crash of an engine while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SuspectCrash {
    /// The incarnation that crashed.
    pub(super) incarnation: EngineIncarnationId,
    /// When the request was sent there.
    pub(super) began: ClockMillis,
    /// When the engine crashed.
    pub(super) at: ClockMillis,
}

impl SuspectCrash {
    /// Returns whether two hosts report the same crash.
    ///
    /// An engine may restart before its new entry is listed: a run that began well after the crash ran in the next
    /// incarnation, even if its host took it for the earlier one.
    fn is_same_crash(&self, other: &Self) -> bool {
        let (first, second) = if self.at <= other.at { (self, other) } else { (other, self) };
        self.incarnation == other.incarnation && second.began < first.at + MIN_RESTART_TIME
    }
}

/// A request that was running at engines when they crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    /// The crashes since it last completed, by time.
    crashes: Vec<SuspectCrash>,
    /// When it last completed.
    cleared_at: Option<ClockMillis>,
    /// When it was last probed after a quarantine.
    pub(super) probed_at: Option<ClockMillis>,
    /// When this host first learned of it.
    first_seen: ClockMillis,
    /// The newest version of its model at any of the crashes.
    pub(super) version: WeightVersion,
    /// The organisation that sends it, if keys identify one.
    pub(super) organisation: Option<OrganisationName>,
    /// Whether any coordinator has published it to all hosts.
    pub(super) published: bool,
}

impl Suspect {
    pub(super) const fn new(now: ClockMillis) -> Self {
        Self {
            crashes: Vec::new(),
            cleared_at: None,
            probed_at: None,
            first_seen: now,
            version: 0,
            organisation: None,
            published: false,
        }
    }

    /// Returns the number of consecutive crashes: each of an engine to which the request was sent after the crash
    /// before.
    ///
    /// Engines that crash together, as in a power failure of a rack, count as one, however many of them ran the
    /// request.
    pub(super) fn consecutive_crashes(&self) -> usize {
        let mut count = 0;
        let mut last_crash = None;
        for crash in &self.crashes {
            if last_crash.is_none_or(|last_crash| crash.began >= last_crash) {
                count += 1;
                last_crash = Some(crash.at);
            }
        }
        count
    }

    /// Adds a crash; returns whether it was new.
    pub(super) fn add_crash(&mut self, crash: SuspectCrash) -> bool {
        if self.crashes.iter().any(|other| other.is_same_crash(&crash))
            || self.cleared_at.is_some_and(|cleared_at| crash.at <= cleared_at)
        {
            return false;
        }
        let index = self.crashes.partition_point(|other| other.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Returns whether any of the crashes was at `moment` or before.
    pub(super) fn crashed_before(&self, moment: ClockMillis) -> bool {
        self.crashes.first().is_some_and(|crash| crash.at <= moment)
    }

    /// Records that it completed at `at`, and drops the crashes until then.
    pub(super) fn clear(&mut self, at: ClockMillis) {
        let cleared_at = self.cleared_at.map_or(at, |cleared_at| cleared_at.max(at));
        self.cleared_at = Some(cleared_at);
        self.crashes.retain(|crash| crash.at > cleared_at);
    }

    /// Merges another host's report; returns whether anything was new.
    pub(super) fn merge(&mut self, report: &SuspectReport, now: ClockMillis) -> bool {
        let previous = (self.crashes.len(), self.cleared_at, self.probed_at);
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
            let (began, at) = (now - reported.began_ago, now - reported.crashed_ago);
            added |= self.add_crash(SuspectCrash { incarnation: reported.incarnation, began, at });
        }
        added || previous != (self.crashes.len(), self.cleared_at, self.probed_at)
    }

    /// Returns the time of its last crash, probe or completion.
    pub(super) fn last_activity(&self) -> ClockMillis {
        let last_crash = self.crashes.last().map(|crash| crash.at);
        last_crash.max(self.probed_at).max(self.cleared_at).unwrap_or(self.first_seen)
    }

    /// Returns the report on it.
    pub(super) fn report(&self, mark: RequestMark, now: ClockMillis) -> SuspectReport {
        let ago = |moment: ClockMillis| -> Duration { now.since(moment) };
        let reported = |crash: &SuspectCrash| ReportedCrash {
            incarnation: crash.incarnation,
            began_ago: ago(crash.began),
            crashed_ago: ago(crash.at),
        };
        SuspectReport {
            mark,
            organisation: self.organisation.clone(),
            version: self.version,
            crashes: self.crashes.iter().map(reported).collect(),
            cleared_ago: self.cleared_at.map(ago),
            probed_ago: self.probed_at.map(ago),
        }
    }
}
