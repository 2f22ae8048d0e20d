//! Simulates a workload with poison requests under a quarantine strategy.

use std::collections::BTreeSet;

use reelreel_core::{
    ClockMillis,
    fleet::prompt::PromptMetadata,
    fleet::quarantine::{
        EngineIncarnationId, InterruptedRun, QuarantineThresholds, QuarantineTracker, RequestMark,
        RequestTraits, SuspectReport, engine_incarnation_id,
    },
};

use crate::random::Random;

/// The time step.
const STEP_MS: u64 = 10;

/// The duration of a simulation.
const DURATION_MS: u64 = 40_000;

/// The longest time that a healthy request is queued at its engine, and the longest time that it runs.
const MAX_QUEUE_MS: usize = 300;
const MAX_RUN_MS: usize = 4000;

/// How long an engine runs a poison request until it crashes.
const POISON_RUN_MS: u64 = 80;

/// How long a crashed engine is down.
const RESTART_MS: u64 = 3000;

/// The delay after which a client retries.
const CLIENT_RETRY_MS: u64 = 100;

/// The delay of a report.
const REPORT_DELAY_MS: u64 = 60;

/// How hosts share what they know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// Nothing is remembered.
    Disabled,
    /// Each host keeps its own state.
    PerHost,
    /// Hosts share their reports.
    Fleet,
}

/// A quarantine strategy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuarantineStrategy {
    pub(crate) name: &'static str,
    pub(crate) sharing: Sharing,
    pub(crate) crashes_until_quarantined: usize,
}

/// A workload.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Healthy requests per second.
    pub(crate) rate: f64,
    /// The number of poison requests, each with its own body.
    pub(crate) poison_requests: u64,
    /// How often each of them arrives per second.
    pub(crate) poison_rate: f64,
    /// Whether equal requests go to the same engine, as if it were the only one with their adapter.
    pub(crate) single_resident: bool,
    /// The most engines that may crash.
    pub(crate) max_crashes: u32,
    /// The interval of crashes without a poison request, and how many engines crash at a time. Unit: milliseconds.
    pub(crate) independent_crashes: Option<(u64, usize)>,
    /// The number of bodies of healthy requests; zero if each has its own.
    pub(crate) distinct_bodies: u64,
}

/// The outcome of a simulation.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Outcome {
    /// Engines that poison requests crashed.
    pub(crate) crashed_engines: u32,
    /// Runs of a poison request more than three seconds after the third engine had crashed under it; the maximum
    /// over all of them.
    pub(crate) late_runs: u32,
    /// Healthy requests, and those that failed after all attempts.
    pub(crate) healthy_requests: u32,
    pub(crate) failed: u32,
    /// Healthy requests that were rejected by a quarantine.
    pub(crate) quarantined: u32,
    /// Whether three engines crashed under the first poison request.
    pub(crate) reached_third_crash: bool,
    /// The time from the third crash under the first poison request until all hosts had quarantined it. Unit:
    /// milliseconds.
    pub(crate) detected_after: Option<u64>,
    /// The most suspects of any host.
    pub(crate) max_suspects: usize,
    /// The number of reports sent.
    pub(crate) reports: usize,
}

struct Run {
    mark: RequestMark,
    host: usize,
    engine: usize,
    sent_at: u64,
    ends_at: u64,
    is_poison: bool,
    attempts: u32,
}

struct Arrival {
    at: u64,
    mark: RequestMark,
    host: usize,
    is_poison: bool,
    attempts: u32,
}

struct Engine {
    incarnation: u64,
    down_until: u64,
}

struct Simulation<'workload> {
    workload: &'workload Workload,
    strategy: &'workload QuarantineStrategy,
    random: Random,
    trackers: Vec<QuarantineTracker>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
    /// Reports in flight: arrival time, receiving host, reports.
    reports: Vec<(u64, usize, Vec<SuspectReport>)>,
    /// When engines crashed under each poison request.
    crash_times: Vec<Vec<u64>>,
    late_runs: Vec<u32>,
    outcome: Outcome,
    next_body: u64,
}

const fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(1_000_000 + millis)
}

/// Returns the traits of a request without a prompt.
fn traits(mark: RequestMark) -> RequestTraits {
    RequestTraits::new(mark, "service", &PromptMetadata::default())
}

/// Runs a simulation.
pub(crate) fn simulate(workload: &Workload, strategy: &QuarantineStrategy, seed: u64) -> Outcome {
    let trackers = (0..workload.hosts)
        .map(|host| {
            let request = strategy.crashes_until_quarantined;
            let thresholds = QuarantineThresholds { request, ..QuarantineThresholds::default() };
            QuarantineTracker::new(&format!("host-{host}"), thresholds)
        })
        .collect();
    let engines = (0..workload.engines).map(|_| Engine { incarnation: 0, down_until: 0 }).collect();
    let mut simulation = Simulation {
        workload,
        strategy,
        random: Random(seed),
        trackers,
        engines,
        runs: Vec::new(),
        arrivals: Vec::new(),
        reports: Vec::new(),
        crash_times: vec![
            Vec::new();
            usize::try_from(workload.poison_requests).unwrap_or_default()
        ],
        late_runs: vec![0; usize::try_from(workload.poison_requests).unwrap_or_default()],
        outcome: Outcome::default(),
        next_body: 1_000_000,
    };
    for now in (0..DURATION_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        simulation.step(now);
    }
    simulation.outcome.reached_third_crash =
        simulation.crash_times.first().is_some_and(|crash_times| crash_times.len() >= 3);
    simulation.outcome.late_runs = simulation.late_runs.iter().copied().max().unwrap_or_default();
    simulation.outcome
}

impl Simulation<'_> {
    fn step(&mut self, now: u64) {
        self.deliver(now);
        self.finish_runs(now);
        if let Some((every, count)) = self.workload.independent_crashes
            && now % every == every / 2
        {
            for engine in 0..count.min(self.engines.len()) {
                self.crash_engine(engine, now);
            }
        }
        self.generate_arrivals(now);
        let due: Vec<Arrival> = self.arrivals.extract_if(.., |arrival| arrival.at <= now).collect();
        for arrival in due {
            self.arrive(&arrival, now);
        }
        self.publish_reports(now);
        self.observe(now);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a small number"
    )]
    fn random_below(&mut self, bound: usize) -> usize {
        (self.random.next() * bound as f64) as usize
    }

    fn host(&mut self) -> usize {
        self.random_below(self.workload.hosts)
    }

    fn generate_arrivals(&mut self, now: u64) {
        let step = STEP_MS as f64 / 1000.0;
        for request in 0..self.workload.poison_requests {
            if self.random.next() < self.workload.poison_rate * step {
                let host = self.host();
                let mark = RequestMark::from(request);
                self.arrivals.push(Arrival { at: now, mark, host, is_poison: true, attempts: 2 });
            }
        }
        let mut expected = self.workload.rate * step;
        while expected > 0.0 {
            if self.random.next() < expected {
                let host = self.host();
                self.next_body += 1;
                let body = match self.workload.distinct_bodies {
                    0 => self.next_body,
                    distinct_bodies => 500_000 + self.next_body % distinct_bodies,
                };
                let mark = RequestMark::from(body);
                self.outcome.healthy_requests += 1;
                self.arrivals.push(Arrival { at: now, mark, host, is_poison: false, attempts: 1 });
            }
            expected -= 1.0;
        }
    }

    fn arrive(&mut self, arrival: &Arrival, now: u64) {
        let quarantined =
            self.trackers[arrival.host].quarantine_left(&traits(arrival.mark), 0, at(now));
        if quarantined.is_some() && self.strategy.sharing != Sharing::Disabled {
            self.refuse(arrival);
        } else {
            self.run(arrival, now);
        }
    }

    fn refuse(&mut self, arrival: &Arrival) {
        if !arrival.is_poison {
            self.outcome.quarantined += 1;
            self.outcome.failed += 1;
        }
    }

    fn run(&mut self, arrival: &Arrival, now: u64) {
        let running_engines: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].down_until <= now)
            .collect();
        if running_engines.is_empty() {
            self.outcome.failed += u32::from(!arrival.is_poison);
            return;
        }
        let index = if arrival.is_poison && self.workload.single_resident {
            usize::try_from(arrival.mark % running_engines.len() as u128).unwrap_or_default()
        } else {
            self.random_below(running_engines.len())
        };
        let queue = self.random_below(MAX_QUEUE_MS) as u64;
        let length = if arrival.is_poison {
            POISON_RUN_MS
        } else {
            STEP_MS + self.random_below(MAX_RUN_MS) as u64
        };
        if arrival.is_poison {
            let request = usize::try_from(arrival.mark).unwrap_or_default();
            let third_crash = self.crash_times[request].get(2);
            self.late_runs[request] +=
                u32::from(third_crash.is_some_and(|third_crash| now > third_crash + 3000));
        }
        let _ = self.trackers[arrival.host].record_start(&traits(arrival.mark), at(now));
        self.runs.push(Run {
            mark: arrival.mark,
            host: arrival.host,
            engine: running_engines[index],
            sent_at: now,
            ends_at: now + queue + length,
            is_poison: arrival.is_poison,
            attempts: arrival.attempts,
        });
    }

    fn finish_runs(&mut self, now: u64) {
        let due: Vec<Run> =
            self.runs.extract_if(.., |run| !run.is_poison && run.ends_at <= now).collect();
        for run in due {
            self.trackers[run.host].record_completion(&traits(run.mark), at(now));
        }
        while let Some(run) = self.runs.iter().find(|run| run.is_poison && run.ends_at <= now) {
            let (engine, request) = (run.engine, usize::try_from(run.mark).unwrap_or_default());
            self.crash_times[request].push(now);
            self.outcome.crashed_engines += 1;
            self.crash_engine(engine, now);
        }
    }

    fn crash_engine(&mut self, engine: usize, now: u64) {
        let state = &mut self.engines[engine];
        let incarnation = engine_incarnation_id(&format!("engine-{engine}"), state.incarnation);
        state.incarnation += 1;
        state.down_until = now + RESTART_MS;
        let interrupted: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        let hosts: BTreeSet<usize> = interrupted.iter().map(|run| run.host).collect();
        for host in hosts {
            self.record_crash_at(
                host,
                incarnation,
                interrupted.iter().filter(|run| run.host == host),
                now,
            );
        }
        for run in interrupted.iter().filter(|run| !run.is_poison) {
            if run.attempts >= 2 {
                self.outcome.failed += 1;
                continue;
            }
            let (at, host) = (now + CLIENT_RETRY_MS, self.host());
            let attempts = run.attempts + 1;
            self.arrivals.push(Arrival { at, mark: run.mark, host, is_poison: false, attempts });
        }
    }

    fn record_crash_at<'run>(
        &mut self,
        host: usize,
        incarnation: EngineIncarnationId,
        interrupted: impl Iterator<Item = &'run Run>,
        now: u64,
    ) {
        let tracker = &mut self.trackers[host];
        let interrupted_runs: Vec<InterruptedRun> = interrupted
            .map(|run| InterruptedRun {
                traits: traits(run.mark),
                organisation: None,
                began: at(run.sent_at),
                version: 0,
                has_answered: false,
            })
            .collect();
        tracker.record_crash(incarnation, &interrupted_runs, at(now));
    }

    /// Host 0 is the coordinator.
    fn publish_reports(&mut self, now: u64) {
        if self.strategy.sharing != Sharing::Fleet {
            return;
        }
        for host in 1..self.trackers.len() {
            let reports = self.trackers[host].take_pending(at(now));
            self.send(0, reports, now);
        }
        self.trackers[0].publish_own();
        let reports = self.trackers[0].take_unpublished(at(now));
        for host in 1..self.trackers.len() {
            self.send(host, reports.clone(), now);
        }
    }

    fn send(&mut self, to: usize, reports: Vec<SuspectReport>, now: u64) {
        if !reports.is_empty() {
            self.outcome.reports += reports.len();
            self.reports.push((now + REPORT_DELAY_MS, to, reports));
        }
    }

    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self.reports.extract_if(.., |(arrives, ..)| *arrives <= now).collect();
        for (_, host, reports) in due {
            self.trackers[host].receive(&reports, host == 0, at(now));
        }
    }

    fn observe(&mut self, now: u64) {
        let max = self.trackers.iter().map(|tracker| tracker.counts().0).max();
        self.outcome.max_suspects = self.outcome.max_suspects.max(max.unwrap_or_default());
        let Some(third_crash) = self.crash_times.first().and_then(|crash_times| crash_times.get(2))
        else {
            return;
        };
        let quarantined =
            |tracker: &QuarantineTracker| tracker.quarantine_left(&traits(0), 0, at(now)).is_some();
        if self.outcome.detected_after.is_none() && self.trackers.iter().all(quarantined) {
            self.outcome.detected_after = Some(now - third_crash);
        }
    }
}
