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
            EngineIncarnationId, RequestTrait, RequestTraits, TraitKind, TraitMark,
            crash_history::{TraitCrash, sampled_request},
            period::{QuarantinePeriod, SUSPECT_RETENTION},
            recent_successes::RecentSuccesses,
            report::SuspectReport,
            suspect::Suspect,
        },
    },
    organisation::OrganisationName,
};

/// How many consecutive crashes quarantine a request. With three, poison requests would crash more engines and fail
/// far more of the other requests running there: 14 engines instead of 11, and five times as many innocent requests
/// (median of nine simulated storms of three poison requests at twelve engines).
pub const CRASHES_UNTIL_QUARANTINED: usize = 2;

/// How many consecutive crashes quarantine a trait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineThresholds {
    /// Of a request.
    pub request: usize,
    /// Of a prompt part that no answer is known to have begun with.
    pub new_part: usize,
    /// Of a prompt part that answers began with not long before the first crash.
    pub known_part: usize,
}

impl Default for QuarantineThresholds {
    fn default() -> Self {
        Self { request: CRASHES_UNTIL_QUARANTINED, new_part: 2, known_part: 4 }
    }
}

/// How many crashes it takes until a suspect is published to all hosts. Below that only the coordinator needs the
/// reports: every request that ran at a crashed engine has one crash.
const CRASHES_UNTIL_PUBLISHED: usize = 2;

/// The most suspects that a host remembers, which bounds its memory: 650 bytes each with one or two crashes are 2.1% of
/// the 64 MB that a host has for control.
const MAX_SUSPECTS: usize = 2048;

/// The most reports in one frame, which bounds the bandwidth for control: at under 100 bytes each, less than half of
/// what a host may send in a second.
pub const MAX_REPORTS_PER_FRAME: usize = 64;

/// What happened to a suspect, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// Requests with the trait are quarantined.
    Quarantined {
        /// The trait.
        suspect: RequestTrait,
        /// The organisation that sends the request, if keys identify one; `None` for other traits.
        organisation: Option<OrganisationName>,
        /// The number of crashes that this host knows.
        crashes: usize,
        /// How long it is quarantined.
        duration: Duration,
    },
    /// A success cleared a quarantined trait.
    Cleared {
        /// The trait.
        suspect: RequestTrait,
    },
}

/// A run that its engine's crash interrupted.
#[derive(Debug, Clone)]
pub struct InterruptedRun {
    /// The traits of the request.
    pub traits: RequestTraits,
    /// The organisation that sent it, if keys identify one.
    pub organisation: Option<OrganisationName>,
    /// When it was sent.
    pub began: ClockMillis,
    /// The version of its model at that time.
    pub version: WeightVersion,
    /// Whether the answer had begun, which clears the prompt's parts.
    pub has_answered: bool,
}

/// The trait for which a request is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedTrait {
    /// The trait.
    pub suspect: RequestTrait,
    /// How long the quarantine remains.
    pub left: Duration,
}

/// One host's suspects.
#[derive(Debug)]
pub struct QuarantineTracker {
    thresholds: QuarantineThresholds,
    /// The hash of the host's name, which staggers the probes.
    host_seed: u64,
    suspects: HashMap<RequestTrait, Suspect>,
    /// The traits that succeeded at this host recently.
    recent_successes: RecentSuccesses,
    /// Suspects that the coordinator has not received yet.
    pending: BTreeSet<RequestTrait>,
    /// Suspects that have not been published yet, where this host is the coordinator.
    unpublished: BTreeSet<RequestTrait>,
    events: Vec<QuarantineEvent>,
}

impl QuarantineTracker {
    /// Creates a tracker without suspects.
    pub fn new(host: &str, thresholds: QuarantineThresholds) -> Self {
        Self {
            thresholds,
            host_seed: xxh3_64(host.as_bytes()),
            suspects: HashMap::new(),
            recent_successes: RecentSuccesses::default(),
            pending: BTreeSet::new(),
            unpublished: BTreeSet::new(),
            events: Vec::new(),
        }
    }

    /// Returns the trait for which a request is quarantined longest, if any; `version` is the current version of its
    /// model.
    pub fn quarantine_left(
        &self,
        traits: &RequestTraits,
        version: WeightVersion,
        now: ClockMillis,
    ) -> Option<QuarantinedTrait> {
        let quarantined = traits.all().filter_map(|suspect| {
            let stagger = self.probe_stagger(suspect.mark);
            let known = self.suspects.get(&suspect)?;
            let left = known.quarantine_left(&self.thresholds, version, stagger, now)?;
            Some(QuarantinedTrait { suspect, left })
        });
        quarantined.max_by_key(|quarantined| quarantined.left)
    }

    /// Returns the host's place in the order of probes, from zero to one. Hosts probe one after the other, so that
    /// the first can report the outcome.
    fn probe_stagger(&self, mark: TraitMark) -> f64 {
        let hash = xxh3_64_with_seed(&mark.to_le_bytes(), self.host_seed);
        hash as f64 / u64::MAX as f64
    }

    /// Returns whether a request may crash its engine: engines crashed under it since it last completed, or under a
    /// part of its prompt that no answer is known to have begun with.
    pub fn is_suspect(&self, traits: &RequestTraits) -> bool {
        traits.all().any(|suspect| {
            self.suspects.get(&suspect).is_some_and(|known| {
                let is_shared = suspect.kind != TraitKind::Request;
                known.consecutive_crashes() > 0 && !(is_shared && known.has_succeeded())
            })
        })
    }

    /// Records that a request is sent to an engine; returns whether this probes a trait after its quarantine, which
    /// the other hosts have to learn.
    pub fn record_start(&mut self, traits: &RequestTraits, now: ClockMillis) -> bool {
        let mut is_probe = false;
        for suspect in traits.all() {
            let known = self.suspects.get_mut(&suspect);
            let probed = known.filter(|known| known.period(&self.thresholds).is_some());
            let Some(known) = probed else { continue };
            known.probed_at = Some(now);
            self.pending.insert(suspect);
            is_probe = true;
        }
        is_probe
    }

    /// Records that the answer to a request began, which clears the parts of its prompt of earlier crashes.
    pub fn record_first_event(&mut self, traits: &RequestTraits, now: ClockMillis) {
        for shared in traits.shared() {
            self.record_success(shared, now);
        }
    }

    /// Records that an engine ran a request to its end and is alive, which clears all its traits of earlier crashes.
    pub fn record_completion(&mut self, traits: &RequestTraits, now: ClockMillis) {
        for succeeded in traits.all() {
            self.record_success(succeeded, now);
        }
    }

    fn record_success(&mut self, succeeded: RequestTrait, now: ClockMillis) {
        self.recent_successes.record(succeeded, now);
        if self.crash_count(succeeded) > 0 {
            self.clear(succeeded, now);
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
            self.add_crash(run.traits.request(), incarnation, run, now);
            if !run.has_answered {
                for shared in run.traits.shared() {
                    self.add_crash(shared, incarnation, run, now);
                }
            }
        }
        self.evict_excess();
    }

    fn add_crash(
        &mut self,
        suspect: RequestTrait,
        incarnation: EngineIncarnationId,
        run: &InterruptedRun,
        now: ClockMillis,
    ) {
        let previous_crashes = self.crash_count(suspect);
        let last_success = self.recent_successes.last(suspect);
        let is_request = suspect.kind == TraitKind::Request;
        let known = self.suspects.entry(suspect).or_insert_with(|| Suspect::new(suspect.kind, now));
        let mut requests = Vec::new();
        if is_request {
            known.version = known.version.max(run.version);
            known.organisation = known.organisation.take().or_else(|| run.organisation.clone());
        } else {
            requests.push(sampled_request(run.traits.request_mark()));
            if let Some(last_success) = last_success {
                known.clear(last_success);
            }
        }
        let crash = TraitCrash { incarnation, began: run.began, at: now, requests };
        if known.add_crash(crash) {
            self.pending.insert(suspect);
            self.update_quarantine(suspect, previous_crashes, now);
        }
    }

    /// Merges another host's reports; `is_coordinator` is whether this host publishes them.
    pub fn receive(&mut self, reports: &[SuspectReport], is_coordinator: bool, now: ClockMillis) {
        for report in reports {
            let suspect = report.suspect;
            let previous_crashes = self.crash_count(suspect);
            let was_quarantined = self.has_enough_crashes(suspect);
            let known =
                self.suspects.entry(suspect).or_insert_with(|| Suspect::new(suspect.kind, now));
            let changed = known.merge(report, now);
            self.apply_own_success(suspect);
            if was_quarantined && !self.has_enough_crashes(suspect) {
                self.events.push(QuarantineEvent::Cleared { suspect });
            }
            self.update_quarantine(suspect, previous_crashes, now);
            if changed && is_coordinator {
                self.unpublished.insert(suspect);
            }
        }
        self.evict_excess();
    }

    /// Returns the reports that the coordinator has to receive.
    pub fn take_pending(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let suspects = take_for_frame(&mut self.pending);
        self.reports(&suspects, now)
    }

    /// Marks reports that could not be sent as pending again.
    pub fn resend(&mut self, reports: &[SuspectReport]) {
        self.pending.extend(reports.iter().map(|report| report.suspect));
    }

    /// Marks everything as pending for another coordinator.
    pub fn resend_all(&mut self) {
        let reportable = self.suspects.iter().filter(|(_, known)| known.total_crashes() > 0);
        self.pending.extend(reportable.map(|(suspect, _)| *suspect));
    }

    /// Queues this host's own pending reports for publication, on the coordinator.
    pub fn publish_own(&mut self) {
        self.unpublished.append(&mut self.pending);
    }

    /// Returns the reports to publish: suspects with enough crashes, and those published before.
    pub fn take_unpublished(&mut self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut suspects = take_for_frame(&mut self.unpublished);
        suspects.retain(|suspect| self.suspects.get(suspect).is_some_and(|known| known.published));
        self.reports(&suspects, now)
    }

    /// Returns the reports for a new subscriber.
    pub fn snapshot(&self, now: ClockMillis) -> Vec<SuspectReport> {
        let mut suspects: Vec<RequestTrait> = self.suspects.keys().copied().collect();
        suspects.retain(|suspect| self.crash_count(*suspect) >= CRASHES_UNTIL_PUBLISHED);
        // Shared traits come first, since they concern the most requests.
        suspects
            .sort_by_key(|suspect| std::cmp::Reverse((suspect.kind, self.crash_count(*suspect))));
        suspects.truncate(MAX_REPORTS_PER_FRAME);
        self.reports(&suspects, now)
    }

    /// Drops suspects whose retention is over.
    pub fn evict_expired(&mut self, now: ClockMillis) {
        let thresholds = self.thresholds;
        self.suspects.retain(|_, known| {
            let period = known.period(&thresholds);
            now.since(known.last_activity())
                < period.map_or(SUSPECT_RETENTION, QuarantinePeriod::retention)
        });
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of suspects, and how many of them are quarantined.
    pub fn counts(&self) -> (usize, usize) {
        let suspects = self.suspects.values().filter(|known| known.total_crashes() > 0);
        let quarantined = suspects.clone().filter(|known| known.period(&self.thresholds).is_some());
        (suspects.count(), quarantined.count())
    }

    /// Returns the number of quarantined traits of a kind.
    pub fn quarantined_count(&self, kind: TraitKind) -> usize {
        let suspects = self.suspects.iter().filter(|(suspect, _)| suspect.kind == kind);
        suspects.filter(|(_, known)| known.period(&self.thresholds).is_some()).count()
    }

    fn crash_count(&self, suspect: RequestTrait) -> usize {
        self.suspects.get(&suspect).map_or(0, Suspect::consecutive_crashes)
    }

    fn has_enough_crashes(&self, suspect: RequestTrait) -> bool {
        self.suspects.get(&suspect).is_some_and(|known| known.period(&self.thresholds).is_some())
    }

    /// Clears a trait that succeeded at `at`, and marks it as pending.
    fn clear(&mut self, suspect: RequestTrait, at: ClockMillis) {
        let was_quarantined = self.has_enough_crashes(suspect);
        let Some(known) = self.suspects.get_mut(&suspect) else { return };
        known.clear(at);
        self.pending.insert(suspect);
        if was_quarantined && !self.has_enough_crashes(suspect) {
            self.events.push(QuarantineEvent::Cleared { suspect });
        }
    }

    /// Clears a trait that succeeded here before this host learned of its crashes.
    fn apply_own_success(&mut self, suspect: RequestTrait) {
        let Some(at) = self.recent_successes.last(suspect) else { return };
        let Some(known) = self.suspects.get_mut(&suspect) else { return };
        let previous = (known.total_crashes(), known.has_succeeded());
        known.clear(at);
        if previous != (known.total_crashes(), known.has_succeeded()) {
            self.pending.insert(suspect);
        }
    }

    /// Updates a suspect that had `previous_crashes` before, and logs its quarantine.
    fn update_quarantine(
        &mut self,
        suspect: RequestTrait,
        previous_crashes: usize,
        now: ClockMillis,
    ) {
        let stagger = self.probe_stagger(suspect.mark);
        let Some(known) = self.suspects.get_mut(&suspect) else { return };
        let crashes = known.consecutive_crashes();
        // A later coordinator has to publish that the trait is cleared, since all hosts know of the crashes.
        known.published |= crashes >= CRASHES_UNTIL_PUBLISHED;
        if crashes > previous_crashes
            && let Some(period) = known.period(&self.thresholds)
        {
            self.events.push(QuarantineEvent::Quarantined {
                suspect,
                organisation: known.organisation.clone(),
                crashes: known.total_crashes(),
                duration: period.remaining(known.last_activity(), false, stagger, now),
            });
        }
    }

    fn reports(&self, suspects: &[RequestTrait], now: ClockMillis) -> Vec<SuspectReport> {
        let reportable =
            suspects.iter().filter_map(|suspect| Some((*suspect, self.suspects.get(suspect)?)));
        reportable.map(|(suspect, known)| known.report(suspect, now)).collect()
    }

    /// Enforces the bound on suspects: drops those with the fewest crashes first, of these the oldest, so that a
    /// flood of bad requests displaces its own entries first.
    fn evict_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let rank_of = |(suspect, known): (&RequestTrait, &Suspect)| {
            (known.consecutive_crashes(), known.last_activity(), *suspect)
        };
        let mut ranked: Vec<_> = self.suspects.iter().map(rank_of).collect();
        ranked.sort_unstable();
        for (_, _, suspect) in ranked.iter().take(excess) {
            self.suspects.remove(suspect);
            self.pending.remove(suspect);
            self.unpublished.remove(suspect);
        }
    }
}

/// Takes the suspects for one frame: shared traits first, since they concern the most requests.
fn take_for_frame(suspects: &mut BTreeSet<RequestTrait>) -> Vec<RequestTrait> {
    let taken: Vec<RequestTrait> =
        suspects.iter().rev().copied().take(MAX_REPORTS_PER_FRAME).collect();
    for suspect in &taken {
        suspects.remove(suspect);
    }
    taken
}
