//! What one host knows of requests under which engines ended, and what follows for the next one.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    clock::ClockMillis,
    fleet::{
        WeightVersion,
        quarantine::{
            EngineIncarnationId, RequestMark,
            completed_runs::CompletedRuns,
            period::{QuarantinePeriod, SUSPECT_RETENTION},
            report::SuspectReport,
            suspect::{Suspect, SuspectCrash},
        },
    },
    organisation::OrganisationName,
};

/// How many ends in a row hold a request back. With three instead of two, 14 engines end for 11 and five times as many innocent
/// requests fail under three bad ones (median of nine simulated storms at twelve engines).
pub const CRASHES_UNTIL_QUARANTINED: usize = 2;

/// From how many ends on all hosts are told. The first ones concern every request that ran at an engine that ended; only the
/// host that adds them up needs these.
const CRASHES_UNTIL_PUBLISHED: usize = 2;

/// How many suspects a host remembers: 360 bytes each with two ends (counted by an allocator), so 1.2% of the 64 MB that a host has
/// for control.
const MAX_SUSPECTS: usize = 2048;

/// How many words go into one frame: under 100 bytes each, less than half of what a host may send for control in a second.
pub const MAX_REPORTS_PER_FRAME: usize = 64;

/// What happened to a suspect, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// It is held back from now on.
    Quarantined {
        /// The request.
        mark: RequestMark,
        /// Who sends it, where keys tell.
        organisation: Option<OrganisationName>,
        /// How many engines ended under it, as far as this host knows.
        crashes: usize,
        /// For how long it is held back.
        duration: Duration,
    },
    /// A whole run cleared it after it had been held back.
    Cleared {
        /// The request.
        mark: RequestMark,
    },
}

/// A run that broke off since its engine ended.
#[derive(Debug, Clone)]
pub struct InterruptedRun {
    /// The request.
    pub mark: RequestMark,
    /// Who sent it, where keys tell.
    pub organisation: Option<OrganisationName>,
    /// When it was sent.
    pub began: ClockMillis,
    /// The version of what it names, as it was named then.
    pub version: WeightVersion,
}

/// One host's suspects.
#[derive(Debug)]
pub struct QuarantineTracker {
    crashes_until_quarantined: usize,
    /// Tells this host from others.
    host_seed: u64,
    suspects: HashMap<RequestMark, Suspect>,
    /// What ran whole at this host lately.
    completed_runs: CompletedRuns,
    /// What the host that adds everything up was not told yet.
    pending: BTreeSet<RequestMark>,
    /// What all other hosts were not told yet, where this one adds everything up.
    unpublished: BTreeSet<RequestMark>,
    events: Vec<QuarantineEvent>,
}

impl QuarantineTracker {
    /// Starts a host's book with no suspects; so many ends in a row hold one back.
    pub fn new(host: &str, crashes_until_quarantined: usize) -> Self {
        Self {
            crashes_until_quarantined,
            host_seed: xxh3_64(host.as_bytes()),
            suspects: HashMap::new(),
            completed_runs: CompletedRuns::default(),
            pending: BTreeSet::new(),
            unpublished: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Returns for how long a request is held back, if it is; `version` is the one that is named of what it names.
    pub fn quarantine_left(
        &self,
        mark: RequestMark,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&mark)?;
        let remaining =
            self.period(suspect)?.remaining(suspect, version, self.probe_stagger(mark), now);
        Some(remaining).filter(|remaining| !remaining.is_zero())
    }

    /// Returns when this host may try a request again among all hosts, from zero to one: one after the other, so that the
    /// first that does can tell the others.
    fn probe_stagger(&self, mark: RequestMark) -> f64 {
        let hash = xxh3_64_with_seed(&mark.to_le_bytes(), self.host_seed);
        hash as f64 / u64::MAX as f64
    }

    /// Returns whether engines ended under a request since it last ran whole.
    pub fn is_suspect(&self, mark: RequestMark) -> bool {
        self.suspects.get(&mark).is_some_and(|suspect| suspect.consecutive_crashes() > 0)
    }

    /// Takes that a request is sent to an engine; returns whether that is a try of one that was held back, of which all
    /// hosts are to hear.
    pub fn record_start(&mut self, mark: RequestMark, now: ClockMillis) -> bool {
        let threshold = self.crashes_until_quarantined;
        let suspect = self
            .suspects
            .get_mut(&mark)
            .filter(|suspect| suspect.consecutive_crashes() >= threshold);
        let Some(suspect) = suspect else { return false };
        suspect.probed_at = Some(now);
        self.pending.insert(mark);
        true
    }

    /// Takes that an engine ran a request to its end and lives: whatever ended before did not end of this request.
    pub fn record_completion(&mut self, mark: RequestMark, now: ClockMillis) {
        self.completed_runs.record(mark, now);
        if self.is_suspect(mark) {
            self.clear(mark, now);
        }
    }

    /// Takes that a life of an engine has ended with these runs.
    pub fn record_crash(
        &mut self,
        incarnation: EngineIncarnationId,
        runs: &[InterruptedRun],
        now: ClockMillis,
    ) {
        for run in runs {
            let crash = SuspectCrash { incarnation, began: run.began, at: now };
            let previous_crashes = self.crash_count(run.mark);
            let suspect = self.suspects.entry(run.mark).or_insert_with(|| Suspect::new(now));
            suspect.version = suspect.version.max(run.version);
            suspect.organisation = suspect.organisation.take().or_else(|| run.organisation.clone());
            if suspect.add_crash(crash) {
                self.pending.insert(run.mark);
                self.update_quarantine(run.mark, previous_crashes, now);
            }
        }
        self.evict_excess();
    }

    /// Applies another host's reports; `is_coordinator` tells whether this host publishes them to all.
    pub fn receive(&mut self, reports: &[SuspectReport], is_coordinator: bool, now: ClockMillis) {
        for report in reports {
            let previous_crashes = self.crash_count(report.mark);
            let suspect = self.suspects.entry(report.mark).or_insert_with(|| Suspect::new(now));
            let changed = suspect.merge(report, now);
            if suspect.consecutive_crashes() == 0
                && previous_crashes >= self.crashes_until_quarantined
            {
                self.events.push(QuarantineEvent::Cleared { mark: report.mark });
            }
            self.clear_by_local_run(report.mark);
            self.update_quarantine(report.mark, previous_crashes, now);
            if changed && is_coordinator {
                self.unpublished.insert(report.mark);
            }
        }
        self.evict_excess();
    }

    /// Returns the reports that the coordinator has to receive.
    pub fn take_pending(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let marks = take_for_frame(&mut self.pending);
        self.reports(&marks, now)
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, reports: &[SuspectReport]) {
        self.pending.extend(reports.iter().map(|report| report.mark));
    }

    /// Marks everything as pending for another coordinator.
    pub fn resend_all(&mut self) {
        let reportable =
            self.suspects.iter().filter(|(_, suspect)| suspect.consecutive_crashes() > 0);
        self.pending.extend(reportable.map(|(mark, _)| *mark));
    }

    /// Publishes this host's own pending reports, where it is the coordinator.
    pub fn publish_own(&mut self) {
        self.unpublished.append(&mut self.pending);
    }

    /// Returns what has to be published to all: what concerns them, and what was published before.
    pub fn take_unpublished(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut marks = take_for_frame(&mut self.unpublished);
        marks.retain(|mark| self.suspects.get(mark).is_some_and(|suspect| suspect.published));
        self.reports(&marks, now)
    }

    /// Returns the reports for a new subscriber.
    pub fn snapshot(&self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut marks: Vec<RequestMark> = self.suspects.keys().copied().collect();
        marks.retain(|mark| self.crash_count(*mark) >= CRASHES_UNTIL_PUBLISHED);
        marks.sort_by_key(|mark| std::cmp::Reverse(self.crash_count(*mark)));
        marks.truncate(MAX_REPORTS_PER_FRAME);
        self.reports(&marks, now)
    }

    /// Forgets suspects that have not been seen for long.
    pub fn evict_expired(&mut self, now: ClockMillis) {
        let threshold = self.crashes_until_quarantined;
        self.suspects.retain(|_, suspect| {
            let period = QuarantinePeriod::after(suspect.consecutive_crashes(), threshold);
            now.since(suspect.last_activity())
                < period.map_or(SUSPECT_RETENTION, QuarantinePeriod::retention)
        });
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns how many requests are suspects, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        let crashes = self.suspects.values().map(Suspect::consecutive_crashes);
        let suspects = crashes.clone().filter(|crashes| *crashes > 0).count();
        (suspects, crashes.filter(|crashes| *crashes >= self.crashes_until_quarantined).count())
    }

    fn crash_count(&self, mark: RequestMark) -> usize {
        self.suspects.get(&mark).map_or(0, Suspect::consecutive_crashes)
    }

    fn period(&self, suspect: &Suspect) -> Option<QuarantinePeriod> {
        QuarantinePeriod::after(suspect.consecutive_crashes(), self.crashes_until_quarantined)
    }

    /// Takes that a request ran whole at a moment: the ends before are not its doing, and others hear of it.
    fn clear(&mut self, mark: RequestMark, at: ClockMillis) {
        let previous_crashes = self.crash_count(mark);
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        suspect.clear(at);
        self.pending.insert(mark);
        if previous_crashes >= self.crashes_until_quarantined
            && suspect.consecutive_crashes() < self.crashes_until_quarantined
        {
            self.events.push(QuarantineEvent::Cleared { mark });
        }
    }

    /// Clears a request that ran whole here before this host heard of its ends.
    fn clear_by_local_run(&mut self, mark: RequestMark) {
        let Some(at) = self.completed_runs.last_completed(mark) else { return };
        let crashed_before =
            self.suspects.get(&mark).is_some_and(|suspect| suspect.crashed_before(at));
        if crashed_before {
            self.clear(mark, at);
        }
    }

    /// Takes that engines ended under a suspect that was known with `before` ends.
    fn update_quarantine(&mut self, mark: RequestMark, previous_crashes: usize, now: ClockMillis) {
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        let crashes = suspect.consecutive_crashes();
        // Whoever adds up next has to tell all that it is cleared, as they were told of the ends.
        suspect.published |= crashes >= CRASHES_UNTIL_PUBLISHED;
        let Some(suspect) = self.suspects.get(&mark) else { return };
        if crashes > previous_crashes
            && let Some(period) = self.period(suspect)
        {
            let organisation = suspect.organisation.clone();
            let duration =
                period.remaining(suspect, suspect.version, self.probe_stagger(mark), now);
            self.events.push(QuarantineEvent::Quarantined {
                mark,
                organisation,
                crashes,
                duration,
            });
        }
    }

    fn reports(&self, marks: &[RequestMark], now: ClockMillis) -> Vec<SuspectReport> {
        let reportable = marks.iter().filter_map(|mark| Some((*mark, self.suspects.get(mark)?)));
        reportable.map(|(mark, suspect)| suspect.report(mark, now)).collect()
    }

    /// Keeps the bound on suspects: those under which the fewest engines ended go first, the oldest of them before others,
    /// so that a flood of bad requests drives out its own first.
    fn evict_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let rank_of = |(mark, suspect): (&RequestMark, &Suspect)| {
            (suspect.consecutive_crashes(), suspect.last_activity(), *mark)
        };
        let mut ranked: Vec<_> = self.suspects.iter().map(rank_of).collect();
        ranked.sort_unstable();
        for (_, _, mark) in ranked.iter().take(excess) {
            self.suspects.remove(mark);
            self.pending.remove(mark);
            self.unpublished.remove(mark);
        }
    }
}

/// Takes as many marks as go into one frame.
fn take_for_frame(marks: &mut BTreeSet<RequestMark>) -> Vec<RequestMark> {
    let taken: Vec<RequestMark> = marks.iter().copied().take(MAX_REPORTS_PER_FRAME).collect();
    for mark in &taken {
        marks.remove(mark);
    }
    taken
}
