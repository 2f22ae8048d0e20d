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
            EngineLife, RequestMark,
            hold::{Hold, KEPT},
            report::SuspectReport,
            suspect::{Suspect, SuspectEnd},
            whole_runs::WholeRuns,
        },
    },
    organisation::OrganisationName,
};

/// How many ends in a row hold a request back. With three instead of two, 14 engines end for 11 and five times as many innocent
/// requests fail under three bad ones (median of nine simulated storms at twelve engines).
pub const ENDS_UNTIL_HELD: usize = 2;

/// From how many ends on all hosts are told. The first ones concern every request that ran at an engine that ended; only the
/// host that adds them up needs these.
const ENDS_UNTIL_PUBLISHED: usize = 2;

/// How many suspects a host remembers: 360 bytes each with two ends (counted by an allocator), so 1.2% of the 64 MB that a host has
/// for control.
const MOST_SUSPECTS: usize = 2048;

/// How many words go into one frame: under 100 bytes each, less than half of what a host may send for control in a second.
pub const MOST_REPORTS: usize = 64;

/// What happened to a suspect, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// It is held back from now on.
    Held {
        /// The request.
        mark: RequestMark,
        /// Who sends it, where keys tell.
        organisation: Option<OrganisationName>,
        /// How many engines ended under it, as far as this host knows.
        ends: usize,
        /// For how long it is held back.
        time: Duration,
    },
    /// A whole run cleared it after it had been held back.
    Cleared {
        /// The request.
        mark: RequestMark,
    },
}

/// A run that broke off since its engine ended.
#[derive(Debug, Clone)]
pub struct EndedRun {
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
pub struct QuarantineBook {
    ends_until_held: usize,
    /// Tells this host from others.
    host: u64,
    suspects: HashMap<RequestMark, Suspect>,
    /// What ran whole at this host lately.
    whole_runs: WholeRuns,
    /// What the host that adds everything up was not told yet.
    pending: BTreeSet<RequestMark>,
    /// What all other hosts were not told yet, where this one adds everything up.
    unpublished: BTreeSet<RequestMark>,
    events: Vec<QuarantineEvent>,
}

impl QuarantineBook {
    /// Starts a host's book with no suspects; so many ends in a row hold one back.
    pub fn new(host: &str, ends_until_held: usize) -> Self {
        Self {
            ends_until_held,
            host: xxh3_64(host.as_bytes()),
            suspects: HashMap::new(),
            whole_runs: WholeRuns::default(),
            pending: BTreeSet::new(),
            unpublished: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Returns for how long a request is held back, if it is; `version` is the one that is named of what it names.
    pub fn held(
        &self,
        mark: RequestMark,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&mark)?;
        let left = self.hold(suspect)?.left(suspect, version, self.turn(mark), now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns when this host may try a request again among all hosts, from zero to one: one after the other, so that the
    /// first that does can tell the others.
    fn turn(&self, mark: RequestMark) -> f64 {
        let place = xxh3_64_with_seed(&mark.to_le_bytes(), self.host);
        place as f64 / u64::MAX as f64
    }

    /// Returns whether engines ended under a request since it last ran whole.
    pub fn is_suspect(&self, mark: RequestMark) -> bool {
        self.suspects.get(&mark).is_some_and(|suspect| suspect.ends() > 0)
    }

    /// Takes that a request is sent to an engine; returns whether that is a try of one that was held back, of which all
    /// hosts are to hear.
    pub fn run_begins(&mut self, mark: RequestMark, now: ClockMillis) -> bool {
        let held = self.ends_until_held;
        let suspect = self.suspects.get_mut(&mark).filter(|suspect| suspect.ends() >= held);
        let Some(suspect) = suspect else { return false };
        suspect.tried = Some(now);
        self.pending.insert(mark);
        true
    }

    /// Takes that an engine ran a request to its end and lives: whatever ended before did not end of this request.
    pub fn ran_whole(&mut self, mark: RequestMark, now: ClockMillis) {
        self.whole_runs.note(mark, now);
        if self.is_suspect(mark) {
            self.clear(mark, now);
        }
    }

    /// Takes that a life of an engine has ended with these runs.
    pub fn engine_ended(&mut self, life: EngineLife, runs: &[EndedRun], now: ClockMillis) {
        for run in runs {
            let end = SuspectEnd { life, began: run.began, at: now };
            let before = self.ends(run.mark);
            let suspect = self.suspects.entry(run.mark).or_insert_with(|| Suspect::new(now));
            suspect.version = suspect.version.max(run.version);
            suspect.organisation = suspect.organisation.take().or_else(|| run.organisation.clone());
            if suspect.add(end) {
                self.pending.insert(run.mark);
                self.count_ends(run.mark, before, now);
            }
        }
        self.forget_beyond_bound();
    }

    /// Applies another host's reports; `coordinates` tells whether this host publishes them to all.
    pub fn receive(&mut self, reports: &[SuspectReport], coordinates: bool, now: ClockMillis) {
        for report in reports {
            let before = self.ends(report.mark);
            let suspect = self.suspects.entry(report.mark).or_insert_with(|| Suspect::new(now));
            let changed = suspect.merge(report, now);
            if suspect.ends() == 0 && before >= self.ends_until_held {
                self.events.push(QuarantineEvent::Cleared { mark: report.mark });
            }
            self.clear_by_own_run(report.mark);
            self.count_ends(report.mark, before, now);
            if changed && coordinates {
                self.unpublished.insert(report.mark);
            }
        }
        self.forget_beyond_bound();
    }

    /// Returns the reports that the coordinator has to receive.
    pub fn take_pending(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let marks = take_some(&mut self.pending);
        self.reports(&marks, now)
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, reports: &[SuspectReport]) {
        self.pending.extend(reports.iter().map(|report| report.mark));
    }

    /// Marks everything as pending for another coordinator.
    pub fn resend_all(&mut self) {
        let known = self.suspects.iter().filter(|(_, suspect)| suspect.ends() > 0);
        self.pending.extend(known.map(|(mark, _)| *mark));
    }

    /// Publishes this host's own pending reports, where it is the coordinator.
    pub fn publish_own(&mut self) {
        self.unpublished.append(&mut self.pending);
    }

    /// Returns what has to be published to all: what concerns them, and what was published before.
    pub fn take_unpublished(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut marks = take_some(&mut self.unpublished);
        marks.retain(|mark| self.suspects.get(mark).is_some_and(|suspect| suspect.spread));
        self.reports(&marks, now)
    }

    /// Returns the reports for a new subscriber.
    pub fn snapshot(&self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut marks: Vec<RequestMark> = self.suspects.keys().copied().collect();
        marks.retain(|mark| self.ends(*mark) >= ENDS_UNTIL_PUBLISHED);
        marks.sort_by_key(|mark| std::cmp::Reverse(self.ends(*mark)));
        marks.truncate(MOST_REPORTS);
        self.reports(&marks, now)
    }

    /// Forgets suspects that have not been seen for long.
    pub fn forget_old(&mut self, now: ClockMillis) {
        let until_held = self.ends_until_held;
        self.suspects.retain(|_, suspect| {
            let hold = Hold::after(suspect.ends(), until_held);
            now.since(suspect.newest()) < hold.map_or(KEPT, Hold::remembered)
        });
    }

    /// Takes what happened since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns how many requests are suspects, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        let ends = self.suspects.values().map(Suspect::ends);
        let suspects = ends.clone().filter(|ends| *ends > 0).count();
        (suspects, ends.filter(|ends| *ends >= self.ends_until_held).count())
    }

    fn ends(&self, mark: RequestMark) -> usize {
        self.suspects.get(&mark).map_or(0, Suspect::ends)
    }

    fn hold(&self, suspect: &Suspect) -> Option<Hold> {
        Hold::after(suspect.ends(), self.ends_until_held)
    }

    /// Takes that a request ran whole at a moment: the ends before are not its doing, and others hear of it.
    fn clear(&mut self, mark: RequestMark, at: ClockMillis) {
        let before = self.ends(mark);
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        suspect.clear(at);
        self.pending.insert(mark);
        if before >= self.ends_until_held && suspect.ends() < self.ends_until_held {
            self.events.push(QuarantineEvent::Cleared { mark });
        }
    }

    /// Clears a request that ran whole here before this host heard of its ends.
    fn clear_by_own_run(&mut self, mark: RequestMark) {
        let Some(at) = self.whole_runs.newest(mark) else { return };
        let older = self.suspects.get(&mark).is_some_and(|suspect| suspect.ended_by(at));
        if older {
            self.clear(mark, at);
        }
    }

    /// Takes that engines ended under a suspect that was known with `before` ends.
    fn count_ends(&mut self, mark: RequestMark, before: usize, now: ClockMillis) {
        let Some(suspect) = self.suspects.get_mut(&mark) else { return };
        let ends = suspect.ends();
        // Whoever adds up next has to tell all that it is cleared, as they were told of the ends.
        suspect.spread |= ends >= ENDS_UNTIL_PUBLISHED;
        let Some(suspect) = self.suspects.get(&mark) else { return };
        if ends > before
            && let Some(hold) = self.hold(suspect)
        {
            let organisation = suspect.organisation.clone();
            let time = hold.left(suspect, suspect.version, self.turn(mark), now);
            self.events.push(QuarantineEvent::Held { mark, organisation, ends, time });
        }
    }

    fn reports(&self, marks: &[RequestMark], now: ClockMillis) -> Vec<SuspectReport> {
        let known = marks.iter().filter_map(|mark| Some((*mark, self.suspects.get(mark)?)));
        known.map(|(mark, suspect)| suspect.report(mark, now)).collect()
    }

    /// Keeps the bound on suspects: those under which the fewest engines ended go first, the oldest of them before others,
    /// so that a flood of bad requests drives out its own first.
    fn forget_beyond_bound(&mut self) {
        let surplus = self.suspects.len().saturating_sub(MOST_SUSPECTS);
        if surplus == 0 {
            return;
        }
        let rank =
            |(mark, suspect): (&RequestMark, &Suspect)| (suspect.ends(), suspect.newest(), *mark);
        let mut ranks: Vec<_> = self.suspects.iter().map(rank).collect();
        ranks.sort_unstable();
        for (_, _, mark) in ranks.iter().take(surplus) {
            self.suspects.remove(mark);
            self.pending.remove(mark);
            self.unpublished.remove(mark);
        }
    }
}

/// Takes as many marks as go into one frame.
fn take_some(marks: &mut BTreeSet<RequestMark>) -> Vec<RequestMark> {
    let some: Vec<RequestMark> = marks.iter().copied().take(MOST_REPORTS).collect();
    for mark in &some {
        marks.remove(mark);
    }
    some
}
