//! Simulates engines that crash when they begin to answer a prompt with a poison part.
//!
//! No two requests are equal. Healthy requests share the first part and the other parts of the poison ones.

use std::{collections::BTreeSet, ops::Range};

use reelreel_core::{
    ClockMillis,
    fleet::prompt::{PromptMetadata, PromptPart},
    fleet::quarantine::{
        InterruptedRun, QuarantineThresholds, QuarantineTracker, QuarantinedTrait, RequestMark,
        RequestTraits, SuspectReport, TraitKind, engine_incarnation_id,
    },
};

use crate::random::Random;

/// The time step.
const STEP_MS: u64 = 10;

/// When the poison parts and the engine faults begin.
const TROUBLE_FROM_MS: u64 = 5000;

/// The duration of a simulation.
const DURATION_MS: u64 = 45_000;

/// The requests that an engine runs at a time.
const ENGINE_SLOTS: usize = 8;

/// The longest time that an engine answers.
const MAX_ANSWER_MS: usize = 1200;

/// The least time that a crashed engine is down, and the range above it.
const MIN_RESTART_MS: u64 = 2000;
const RESTART_RANGE_MS: usize = 2000;

/// The longest time until a host notices that its run was interrupted.
const MAX_DETECTION_MS: usize = 40;

/// The delay of a message between hosts.
const MESSAGE_DELAY_MS: u64 = 60;

/// How long hosts are without a coordinator after it was killed.
const ELECTION_MS: u64 = 2500;

/// How long a request waits for an engine.
const REQUEST_TIMEOUT_MS: u64 = 3000;

/// The attempts of a request, at different engines.
const MAX_ATTEMPTS: u32 = 2;

/// After the fifth crash: when hosts have to know the part, and when healthy requests have to be served as before.
const DETECTION_LIMIT_MS: u64 = 3000;
const RECOVERY_LIMIT_MS: u64 = 6000;

/// Parts that many requests share.
const FIRST_PART: u64 = 1;
const NEW_FIRST_PART: u64 = 2;
const COMMON_PARTS: usize = 8;
const COMMON_PART_BASE: u64 = 100;
const POISON_PARTS: Range<u64> = 900..1000;
const RARE_PART_BASE: u64 = 10_000;

/// How many healthy requests share a rare part, one after the other, and which fraction of requests has one.
const RARE_PART_REQUESTS: u64 = 6;
const RARE_FRACTION: f64 = 0.2;

/// Who combines what hosts report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coordination {
    /// One host throughout.
    Stable,
    /// One host, which is killed after the third crash; then another.
    Killed,
    /// None: each host counts for itself.
    Absent,
}

/// Crashes that no request causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineFaults {
    /// None.
    None,
    /// One engine at a time. Unit: milliseconds.
    Single { interval: u64 },
    /// Several engines at once. Unit: milliseconds.
    Rack { interval: u64, engines: usize },
    /// The engine with the most runs crashes, then the next. Unit: milliseconds.
    Cascade { interval: u64, engines: u64, spacing: u64 },
}

/// A load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PartLoad {
    pub(crate) name: &'static str,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Healthy requests per second.
    pub(crate) rate: f64,
    /// The longest time that an engine prefills a prompt.
    pub(crate) max_prefill_ms: usize,
    /// The number of poison parts.
    pub(crate) poison_parts: u64,
    /// Requests with each poison part per second.
    pub(crate) poison_rate: f64,
    /// Whether all prompts begin with another part from the time on when the poison parts come.
    pub(crate) is_first_part_new: bool,
    pub(crate) coordination: Coordination,
    pub(crate) faults: EngineFaults,
    /// The most crashes, where requests do not come faster than crashes can be noticed.
    pub(crate) max_crashes: Option<usize>,
}

/// The outcome of a simulation.
#[derive(Debug, Default, Clone)]
pub(crate) struct PartOutcome {
    /// Engines that poison parts crashed.
    pub(crate) crashes: usize,
    /// Poison requests sent to engines later than the detection limit.
    pub(crate) late_runs: usize,
    /// The fraction of healthy requests that began: before the trouble, from the first crash until the recovery
    /// limit, and after it.
    pub(crate) begun_before: f64,
    pub(crate) begun_during: f64,
    pub(crate) begun_after: f64,
    /// Healthy requests that were rejected by a quarantine.
    pub(crate) rejected: usize,
    /// Those of them that were rejected because of a part.
    pub(crate) rejected_for_parts: usize,
    /// The number of reports sent.
    pub(crate) reports: usize,
}

struct Request {
    traits: RequestTraits,
    parts: Vec<u64>,
    host: usize,
    arrived: u64,
    attempts: u32,
    has_begun: bool,
    is_rejected: bool,
    is_rejected_for_part: bool,
}

impl Request {
    fn is_poison(&self) -> bool {
        self.parts.iter().any(|part| POISON_PARTS.contains(part))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    Queued,
    Prefilling { until: u64 },
    Answering { until: u64 },
}

struct Run {
    request: usize,
    sent_at: u64,
    state: RunState,
}

struct Engine {
    life: u64,
    down_until: u64,
    runs: Vec<Run>,
}

/// A crash that a host has yet to notice.
struct Detection {
    at: u64,
    host: usize,
    incarnation: String,
    runs: Vec<Run>,
}

struct PartSimulation<'load> {
    load: &'load PartLoad,
    random: Random,
    trackers: Vec<QuarantineTracker>,
    is_host_killed: Vec<bool>,
    coordinator: Option<usize>,
    elected_at: Option<u64>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    /// Requests to send: when, and which.
    waiting: Vec<(u64, usize)>,
    detections: Vec<Detection>,
    /// Reports in flight: arrival time, receiving host, reports.
    messages: Vec<(u64, usize, Vec<SuspectReport>)>,
    crashed_at: Vec<u64>,
    poison_runs: Vec<u64>,
    rare_requests: u64,
    reports: usize,
}

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(1_000_000 + millis)
}

fn traits(mark: RequestMark, parts: &[u64]) -> RequestTraits {
    let parts = parts.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect();
    RequestTraits::new(mark, "service", &PromptMetadata { length: 0, parts })
}

/// Runs a simulation.
pub(crate) fn simulate_parts(
    load: &PartLoad,
    thresholds: QuarantineThresholds,
    seed: u64,
) -> PartOutcome {
    let new_tracker = |host: usize| QuarantineTracker::new(&format!("host-{host}"), thresholds);
    let new_engine = |_| Engine { life: 0, down_until: 0, runs: Vec::new() };
    let mut simulation = PartSimulation {
        load,
        random: Random(seed),
        trackers: (0..load.hosts).map(new_tracker).collect(),
        is_host_killed: vec![false; load.hosts],
        coordinator: (load.coordination != Coordination::Absent).then_some(0),
        elected_at: None,
        engines: (0..load.engines).map(new_engine).collect(),
        requests: Vec::new(),
        waiting: Vec::new(),
        detections: Vec::new(),
        messages: Vec::new(),
        crashed_at: Vec::new(),
        poison_runs: Vec::new(),
        rare_requests: 0,
        reports: 0,
    };
    let mut now = 0;
    while now < DURATION_MS {
        simulation.step(now);
        now += STEP_MS;
    }
    simulation.outcome()
}

impl PartSimulation<'_> {
    fn step(&mut self, now: u64) {
        self.elect(now);
        self.deliver(now);
        for engine in 0..self.engines.len() {
            self.run_engine(engine, now);
        }
        self.inject_faults(now);
        self.detect_crashes(now);
        self.generate_arrivals(now);
        let due: Vec<_> = self.waiting.extract_if(.., |(time, _)| *time <= now).collect();
        for (_, request) in due {
            self.send(request, now);
        }
        self.publish(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small number"
    )]
    fn below(&mut self, bound: usize) -> usize {
        (self.random.next() * bound as f64) as usize
    }

    fn generate_arrivals(&mut self, now: u64) {
        let step = STEP_MS as f64 / 1000.0;
        if now >= TROUBLE_FROM_MS {
            for part in 0..self.load.poison_parts {
                if self.random.next() < self.load.poison_rate * step {
                    self.arrive(Some(POISON_PARTS.start + part), now);
                }
            }
        }
        let mut expected = self.load.rate * step;
        while expected > 0.0 {
            if self.random.next() < expected {
                self.arrive(None, now);
            }
            expected -= 1.0;
        }
    }

    fn common_part(&mut self) -> u64 {
        COMMON_PART_BASE + self.below(COMMON_PARTS) as u64
    }

    fn arrive(&mut self, poison_part: Option<u64>, now: u64) {
        let is_new = self.load.is_first_part_new && now >= TROUBLE_FROM_MS;
        let first = if is_new { NEW_FIRST_PART } else { FIRST_PART };
        let mut parts = vec![first, self.common_part()];
        if poison_part.is_none() && self.random.next() < RARE_FRACTION {
            self.rare_requests += 1;
            parts.push(RARE_PART_BASE + self.rare_requests / RARE_PART_REQUESTS);
        }
        parts.extend(poison_part);
        parts.push(self.common_part());
        let number = self.requests.len();
        // The last part is the request's own.
        parts.push(u64::MAX - number as u64);
        let host = self.living_host();
        self.requests.push(Request {
            traits: traits(1_000_000 + number as RequestMark, &parts),
            parts,
            host,
            arrived: now,
            attempts: 0,
            has_begun: false,
            is_rejected: false,
            is_rejected_for_part: false,
        });
        self.waiting.push((now, number));
    }

    fn living_host(&mut self) -> usize {
        loop {
            let host = self.below(self.load.hosts);
            if !self.is_host_killed[host] {
                return host;
            }
        }
    }

    /// Sends a request to the engine with fewer runs of two, if it is not quarantined.
    fn send(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        let host = request.host;
        if self.is_host_killed[host] || now >= request.arrived + REQUEST_TIMEOUT_MS {
            return;
        }
        if let Some(quarantined) = self.quarantined(number, now) {
            let is_part = quarantined.suspect.kind == TraitKind::PromptPart;
            self.requests[number].is_rejected = true;
            self.requests[number].is_rejected_for_part = is_part;
            return;
        }
        let running: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].down_until <= now)
            .collect();
        if running.is_empty() {
            self.waiting.push((now + 100, number));
            return;
        }
        let (one, two) = (running[self.below(running.len())], running[self.below(running.len())]);
        let has_fewer = self.engines[two].runs.len() < self.engines[one].runs.len();
        let engine = if has_fewer { two } else { one };
        self.record_start(number, now);
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.is_poison() {
            self.poison_runs.push(now);
        }
        self.engines[engine].runs.push(Run {
            request: number,
            sent_at: now,
            state: RunState::Queued,
        });
    }

    fn run_engine(&mut self, engine: usize, now: u64) {
        for index in 0..self.engines[engine].runs.len() {
            let run = &self.engines[engine].runs[index];
            let number = run.request;
            match run.state {
                RunState::Prefilling { until } if until <= now => {
                    if self.requests[number].is_poison() {
                        self.crashed_at.push(now);
                        self.crash(engine, now);
                        return;
                    }
                    let until = now + STEP_MS + self.below(MAX_ANSWER_MS) as u64;
                    self.engines[engine].runs[index].state = RunState::Answering { until };
                    self.requests[number].has_begun = true;
                    self.record_first_event(number, now);
                }
                RunState::Answering { until } if until <= now => {
                    self.record_completion(number, now);
                }
                _ => {}
            }
        }
        let runs = &mut self.engines[engine].runs;
        runs.retain(|run| !matches!(run.state, RunState::Answering { until } if until <= now));
        let mut busy = runs.iter().filter(|run| run.state != RunState::Queued).count();
        for index in 0..runs.len() {
            if busy < ENGINE_SLOTS && self.engines[engine].runs[index].state == RunState::Queued {
                let until = now + STEP_MS + self.below(self.load.max_prefill_ms) as u64;
                self.engines[engine].runs[index].state = RunState::Prefilling { until };
                busy += 1;
            }
        }
    }

    fn inject_faults(&mut self, now: u64) {
        let Some(elapsed) = now.checked_sub(TROUBLE_FROM_MS) else { return };
        match self.load.faults {
            EngineFaults::None => {}
            EngineFaults::Single { interval } => {
                if elapsed % interval == 0 {
                    let engine = self.below(self.engines.len());
                    self.crash(engine, now);
                }
            }
            EngineFaults::Rack { interval, engines } => {
                if elapsed % interval == 0 {
                    for engine in 0..engines.min(self.engines.len()) {
                        self.crash(engine, now);
                    }
                }
            }
            EngineFaults::Cascade { interval, engines, spacing } => {
                let position = elapsed % interval;
                if position % spacing == 0 && position / spacing < engines {
                    let most_runs = |engine: &usize| self.engines[*engine].runs.len();
                    let busiest = (0..self.engines.len()).max_by_key(most_runs);
                    self.crash(busiest.unwrap_or_default(), now);
                }
            }
        }
    }

    fn crash(&mut self, engine: usize, now: u64) {
        if self.engines[engine].down_until > now {
            return;
        }
        let restart = MIN_RESTART_MS + self.below(RESTART_RANGE_MS) as u64;
        let state = &mut self.engines[engine];
        let incarnation = format!("engine-{engine}-{}", state.life);
        state.life += 1;
        state.down_until = now + restart;
        let mut interrupted = std::mem::take(&mut state.runs);
        for host in 0..self.load.hosts {
            let requests = &self.requests;
            let runs: Vec<Run> =
                interrupted.extract_if(.., |run| requests[run.request].host == host).collect();
            if !runs.is_empty() && !self.is_host_killed[host] {
                let at = now + self.below(MAX_DETECTION_MS) as u64;
                self.detections.push(Detection {
                    at,
                    host,
                    incarnation: incarnation.clone(),
                    runs,
                });
            }
        }
        if self.load.coordination == Coordination::Killed && self.crashed_at.len() == 3 {
            self.kill_coordinator(now);
        }
    }

    fn kill_coordinator(&mut self, now: u64) {
        if let Some(host) = self.coordinator.filter(|host| *host == 0) {
            self.is_host_killed[host] = true;
            self.coordinator = None;
            self.elected_at = Some(now + ELECTION_MS);
        }
    }

    fn elect(&mut self, now: u64) {
        if self.elected_at.is_none_or(|elected_at| now < elected_at) {
            return;
        }
        self.elected_at = None;
        self.coordinator = Some(1);
        for tracker in &mut self.trackers {
            tracker.resend_all();
        }
        let snapshot = self.trackers[1].snapshot(at(now));
        for host in 2..self.load.hosts {
            self.post(host, snapshot.clone(), now);
        }
    }

    /// Reports crashes that hosts notice now, and sends the requests that had not begun again.
    fn detect_crashes(&mut self, now: u64) {
        let due: Vec<Detection> =
            self.detections.extract_if(.., |detection| detection.at <= now).collect();
        for detection in due {
            if self.is_host_killed[detection.host] {
                continue;
            }
            self.record_crash(&detection, now);
            for run in &detection.runs {
                let request = &self.requests[run.request];
                if !request.has_begun && !request.is_poison() && request.attempts < MAX_ATTEMPTS {
                    self.waiting.push((now, run.request));
                }
            }
        }
    }

    fn publish(&mut self, now: u64) {
        let Some(coordinator) = self.coordinator else { return };
        for host in 0..self.load.hosts {
            if host != coordinator && !self.is_host_killed[host] {
                let reports = self.trackers[host].take_pending(at(now));
                self.post(coordinator, reports, now);
            }
        }
        self.trackers[coordinator].publish_own();
        let reports = self.trackers[coordinator].take_unpublished(at(now));
        for host in 0..self.load.hosts {
            if host != coordinator && !self.is_host_killed[host] {
                self.post(host, reports.clone(), now);
            }
        }
    }

    fn post(&mut self, host: usize, reports: Vec<SuspectReport>, now: u64) {
        if !reports.is_empty() {
            self.reports += reports.len();
            self.messages.push((now + MESSAGE_DELAY_MS, host, reports));
        }
    }

    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self.messages.extract_if(.., |(time, ..)| *time <= now).collect();
        for (_, host, reports) in due {
            if !self.is_host_killed[host] {
                let is_coordinator = self.coordinator == Some(host);
                self.trackers[host].receive(&reports, is_coordinator, at(now));
            }
        }
    }

    fn quarantined(&self, number: usize, now: u64) -> Option<QuarantinedTrait> {
        let request = &self.requests[number];
        self.trackers[request.host].quarantine_left(&request.traits, 0, at(now))
    }

    fn record_start(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        let _ = self.trackers[request.host].record_start(&request.traits, at(now));
    }

    fn record_first_event(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        if !self.is_host_killed[request.host] {
            self.trackers[request.host].record_first_event(&request.traits, at(now));
        }
    }

    fn record_completion(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        if !self.is_host_killed[request.host] {
            self.trackers[request.host].record_completion(&request.traits, at(now));
        }
    }

    fn record_crash(&mut self, detection: &Detection, now: u64) {
        let interrupted = |run: &Run| InterruptedRun {
            traits: self.requests[run.request].traits.clone(),
            organisation: None,
            began: at(run.sent_at),
            version: 0,
            has_answered: matches!(run.state, RunState::Answering { .. }),
        };
        let runs: Vec<InterruptedRun> = detection.runs.iter().map(interrupted).collect();
        let incarnation = engine_incarnation_id(&detection.incarnation, 0);
        self.trackers[detection.host].record_crash(incarnation, &runs, at(now));
    }

    fn outcome(&self) -> PartOutcome {
        let last_counted = self.crashed_at.get(4).or(self.crashed_at.last()).copied();
        let detected_by = self.crashed_at.get(4).map(|fifth| fifth + DETECTION_LIMIT_MS);
        let first = self.crashed_at.first().copied().unwrap_or(TROUBLE_FROM_MS);
        let recovered_at = last_counted.unwrap_or(TROUBLE_FROM_MS) + RECOVERY_LIMIT_MS;
        let is_late = |sent_at: &&u64| detected_by.is_some_and(|limit| **sent_at > limit);
        // Requests of the last moments may begin after the end.
        let end = DURATION_MS - REQUEST_TIMEOUT_MS;
        let rejected = |request: &&Request| !request.is_poison() && request.is_rejected;
        let for_part = |request: &&Request| rejected(request) && request.is_rejected_for_part;
        PartOutcome {
            crashes: self.crashed_at.len(),
            late_runs: self.poison_runs.iter().filter(is_late).count(),
            begun_before: self.begun(0, TROUBLE_FROM_MS - 1000),
            begun_during: self.begun(first, recovered_at),
            begun_after: self.begun(recovered_at, end),
            rejected: self.requests.iter().filter(rejected).count(),
            rejected_for_parts: self.requests.iter().filter(for_part).count(),
            reports: self.reports,
        }
    }

    /// Returns the fraction of healthy requests of a time that began, at hosts that were not killed.
    fn begun(&self, from: u64, until: u64) -> f64 {
        let counted: BTreeSet<usize> = (0..self.requests.len())
            .filter(|number| {
                let request = &self.requests[*number];
                let is_in_time = request.arrived >= from && request.arrived < until;
                is_in_time && !request.is_poison() && !self.is_host_killed[request.host]
            })
            .collect();
        let begun = counted.iter().filter(|number| self.requests[**number].has_begun).count();
        begun as f64 / counted.len().max(1) as f64
    }
}
