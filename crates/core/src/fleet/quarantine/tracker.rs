//! One host's suspects, and the quarantine that follows from their crashes.

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

/// How many consecutive crashes quarantine a request. With three, poison requests would crash more engines and fail
/// far more of the other requests running there: 14 engines instead of 11, and five times as many innocent requests
/// (median of nine simulated storms of three poison requests at twelve engines).
pub const CRASHES_UNTIL_QUARANTINED: usize = 2;

/// How many crashes it takes until a suspect is published to all hosts. Below that only the coordinator needs the
/// reports: every request that ran at a crashed engine has one crash.
const CRASHES_UNTIL_PUBLISHED: usize = 2;

/// The most suspects that a host remembers, which bounds its memory: 360 bytes each with two crashes are 1.2% of the
/// 64 MB that a host has for control.
const MAX_SUSPECTS: usize = 2048;

/// The most reports in one frame, which bounds the bandwidth for control: at under 100 bytes each, less than half of
/// what a host may send in a second.
pub const MAX_REPORTS_PER_FRAME: usize = 64;

/// What happened to a suspect, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// The request is quarantined.
    Quarantined {
        /// The request.
        mark: RequestMark,
        /// The organisation that sends it, if keys identify one.
        organisation: Option<OrganisationName>,
        /// The number of consecutive crashes that this host knows.
        crashes: usize,
        /// How long it is quarantined.
        duration: Duration,
    },
    /// A completed run cleared a quarantined request.
    Cleared {
        /// The request.
        mark: RequestMark,
    },
}

/// A run that its engine's crash interrupted.
#[derive(Debug, Clone)]
pub struct InterruptedRun {
    /// The request.
    pub mark: RequestMark,
    /// The organisation that sent it, if keys identify one.
    pub organisation: Option<OrganisationName>,
    /// When it was sent.
    pub began: ClockMillis,
    /// The version of its model at that time.
    pub version: WeightVersion,
}

/// One host's suspects.
#[derive(Debug)]
pub struct QuarantineTracker {
    crashes_until_quarantined: usize,
    /// The hash of the host's name, which staggers the probes.
    host_seed: u64,
    suspects: HashMap<RequestMark, Suspect>,
    /// The requests that completed at this host recently.
    completed_runs: CompletedRuns,
    /// Suspects that the coordinator has not received yet.
    pending: BTreeSet<RequestMark>,
    /// Suspects that have not been published yet, where this host is the coordinator.
    unpublished: BTreeSet<RequestMark>,
    events: Vec<QuarantineEvent>,
}

impl QuarantineTracker {
    /// Creates a tracker without suspects; `crashes_until_quarantined` is the threshold of consecutive crashes.
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

    /// Returns how long a request remains quarantined, if it is; `version` is the current version of its model.
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

    /// Returns the host's place in the order of probes, from zero to one. Hosts probe one after the other, so that
    /// the first can report the outcome.
    fn probe_stagger(&self, mark: RequestMark) -> f64 {
        let hash = xxh3_64_with_seed(&mark.to_le_bytes(), self.host_seed);
        hash as f64 / u64::MAX as f64
    }

    /// Returns whether engines crashed under a request since it last completed.
    pub fn is_suspect(&self, mark: RequestMark) -> bool {
        self.suspects.get(&mark).is_some_and(|suspect| suspect.consecutive_crashes() > 0)
    }

    /// Records that a request is sent to an engine; returns whether this probes a request after its quarantine,
    /// which the other hosts have to learn.
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

    /// Records that an engine ran a request to its end and is alive, which clears the request of earlier crashes.
    pub fn record_completion(&mut self, mark: RequestMark, now: ClockMillis) {
        self.completed_runs.record(mark, now);
        if self.is_suspect(mark) {
            self.clear(mark, now);
        }
    }

    /// Records that an incarnation of an engine crashed with these runs.
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

    /// Merges another host's reports; `is_coordinator` is whether this host publishes them.
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

    /// Queues this host's own pending reports for publication, on the coordinator.
    pub fn publish_own(&mut self) {
        self.unpublished.append(&mut self.pending);
    }

    /// Returns the reports to publish: suspects with enough crashes, and those published before.
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

    /// Drops suspects whose retention is over.
    pub fn evict_expired(&mut self, now: ClockMillis) {
        let threshold = self.crashes_until_quarantined;
        self.suspects.retain(|_, suspect| {
            let period = QuarantinePeriod::after(suspect.consecutive_crashes(), threshold);
            now.since(suspect.last_activity())
                < period.map_or(SUSPECT_RETENTION, QuarantinePeriod::retention)
        });
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of suspects, and how many of them are quarantined.
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

    /// Clears a request that completed at `at`, and marks it as pending.
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

    /// Clears a request that completed here before this host learned of its crashes.
    fn clear_by_local_run(&mut self, mark: RequestMark) {
        let Some(at) = self.completed_runs.last_completed(mark) else { return };
        let crashed_before =
            self.suspects.get(&mark).is_some_and(|suspect| suspect.crashed_before(at));
        if crashed_before {
            self.clear(mark, at);
        }
    }

    /// Updates a suspect that had `previous_crashes` before, and logs its quarantine.
    fn update_quarantine(&mut self, mark: RequestMark, previous_crashes: usize, now: ClockMillis) {
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        let crashes = suspect.consecutive_crashes();
        // A later coordinator has to publish that the request is cleared, since all hosts know of the crashes.
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

    /// Enforces the bound on suspects: drops those with the fewest crashes first, of these the oldest, so that a
    /// flood of bad requests displaces its own entries first.
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

/// Takes the marks for one frame.
fn take_for_frame(marks: &mut BTreeSet<RequestMark>) -> Vec<RequestMark> {
    let taken: Vec<RequestMark> = marks.iter().copied().take(MAX_REPORTS_PER_FRAME).collect();
    for mark in &taken {
        marks.remove(mark);
    }
    taken
}
