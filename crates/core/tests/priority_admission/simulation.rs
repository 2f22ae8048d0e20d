//! Hosts that send streams to engines with too few slots, in simulated time.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::priority_admission::{EngineWait, PriorityAdmission, PriorityArrival, PriorityDecision},
    organisation::OrganisationName,
};

const STEP_MS: usize = 10;
const DURATION_MS: u64 = 40_000;
const ORGANISATIONS: usize = 16;
const ENGINES: usize = 10;
const SLOTS: u32 = 12;
const MEAN_RUN_MS: u64 = 1000;
/// Engines that hold one adapter, among which a host chooses.
const HOLDERS: usize = 3;

/// Time for which nine in ten requests arrive at one host.
const HERD_MS: u64 = 4000;

/// Streams of one priority. Unit of times: milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct StreamKind {
    pub(crate) priority: u8,
    pub(crate) latency_target: u64,
    pub(crate) timeout: u64,
    /// Fraction of the base demand.
    pub(crate) part: f64,
}

/// Factor on the base demand by time in milliseconds, organisation and priority.
pub(crate) type DemandFactor = fn(u64, usize, u8) -> f64;

/// A deployment with its demand.
pub(crate) struct Scenario {
    pub(crate) hosts: usize,
    pub(crate) kinds: &'static [StreamKind],
    /// Base demand relative to the capacity.
    pub(crate) load: f64,
    pub(crate) factor: DemandFactor,
    /// From when on nine in ten requests arrive at one host, and at the next after [`HERD_MS`]. Unit: milliseconds.
    pub(crate) herd_start: u64,
    pub(crate) seed: u64,
}

/// Outcomes of the requests that first arrived from 10 to 30 s.
#[derive(Default)]
pub(crate) struct Record {
    /// Offered and served requests by organisation and priority.
    outcomes: BTreeMap<(usize, u8), (f64, f64)>,
    /// Offered requests, and those served at the first attempt.
    first_attempts: (f64, f64),
    pub(crate) refusals: u64,
}

impl Record {
    /// Returns the served fraction of the selected requests.
    pub(crate) fn served(&self, selects: impl Fn(usize, u8) -> bool) -> f64 {
        let selected = self.outcomes.iter().filter(|((who, priority), _)| selects(*who, *priority));
        let (offered, served) = selected
            .fold((0.0, 0.0), |sum, (_, outcomes)| (sum.0 + outcomes.0, sum.1 + outcomes.1));
        assert!(offered > 0.0, "no request selected");
        served / offered
    }

    /// Returns the fraction of all requests that was served at the first attempt.
    pub(crate) fn served_first(&self) -> f64 {
        self.first_attempts.1 / self.first_attempts.0
    }

    fn add(&mut self, request: &Request, offered: f64, served: f64) {
        if (10_000..30_000).contains(&request.first_arrival) {
            self.first_attempts.0 += offered;
            if request.arrival == request.first_arrival {
                self.first_attempts.1 += served;
            }
            let key = (request.organisation, request.kind.priority);
            let sum = self.outcomes.entry(key).or_default();
            *sum = (sum.0 + offered, sum.1 + served);
        }
    }
}

#[derive(Clone)]
struct Request {
    id: u64,
    kind: StreamKind,
    organisation: usize,
    first_arrival: u64,
    arrival: u64,
    host: usize,
}

#[derive(Default)]
struct Engine {
    /// End, run time and host of each running request.
    running: Vec<(u64, u64, usize)>,
    queue: VecDeque<Request>,
}

/// A generator with a fixed sequence for each seed.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / 2f64.powi(53)
    }

    fn below(&mut self, limit: usize) -> usize {
        usize::try_from(self.next() % limit as u64).unwrap_or_default()
    }
}

/// Runs a scenario and adds its outcomes to the record.
pub(crate) fn run(scenario: &Scenario, record: &mut Record) {
    let mut draws = Draws(scenario.seed);
    let mut hosts = vec![PriorityAdmission::default(); scenario.hosts];
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let names: Vec<OrganisationName> =
        (0..ORGANISATIONS).map(|index| Arc::from(format!("o{index}"))).collect();
    let mut returning: BTreeMap<(u64, u64), Request> = BTreeMap::new();
    let capacity = ENGINES as f64 * f64::from(SLOTS) / MEAN_RUN_MS as f64;
    let per_step = capacity * scenario.load * STEP_MS as f64 / ORGANISATIONS as f64;
    let mut ids = 0;
    for now in (0..DURATION_MS).step_by(STEP_MS) {
        for engine in &mut engines {
            advance_engine(engine, &mut hosts, record, &mut draws, now);
        }
        let mut arriving: Vec<Request> = Vec::new();
        while returning.first_key_value().is_some_and(|((due, _), _)| *due <= now) {
            arriving.extend(returning.pop_first().map(|(_, request)| request));
        }
        for (organisation, kind) in
            (0..ORGANISATIONS).flat_map(|who| scenario.kinds.iter().map(move |kind| (who, *kind)))
        {
            let factor = (scenario.factor)(now, organisation, kind.priority);
            let mut expected = per_step * kind.part * factor;
            while expected > 0.0 {
                if draws.unit() < expected.min(0.2) {
                    ids += 1;
                    let (first_arrival, arrival) = (now, now);
                    let request =
                        Request { id: ids, kind, organisation, first_arrival, arrival, host: 0 };
                    record.add(&request, 1.0, 0.0);
                    arriving.push(request);
                }
                expected -= 0.2;
            }
        }
        for mut request in arriving {
            request.arrival = now;
            request.host = draw_host(scenario, &mut draws, &request);
            let candidates: Vec<usize> = (0..HOLDERS).map(|_| draws.below(ENGINES)).collect();
            let open_at =
                |index: &usize| engines[*index].running.len() + engines[*index].queue.len();
            let engine = candidates.into_iter().min_by_key(open_at).unwrap_or_default();
            let remaining = request.kind.timeout.saturating_sub(now - request.first_arrival);
            let arrival = PriorityArrival {
                priority: request.kind.priority,
                organisation: names.get(request.organisation),
                tokens: 200 + draws.next() % 400,
                latency_target: Duration::from_millis(request.kind.latency_target),
                remaining: Duration::from_millis(remaining),
                engine_wait: Some(EngineWait {
                    pending_prefill_time: Duration::ZERO,
                    open: u32::try_from(open_at(&engine)).unwrap_or(u32::MAX),
                    slots: SLOTS,
                }),
                loaded: true,
                returning: request.first_arrival < now,
                hash: draws.next(),
            };
            match hosts[request.host].decide(&arrival, ClockMillis::from_millis(now)) {
                PriorityDecision::Refuse { retry_after, .. } => {
                    record.refusals += 1;
                    let time = duration_millis(retry_after);
                    assert!(3 * time <= remaining, "a client waits at most a third of its time");
                    if time > 0 && remaining > time {
                        returning.insert((now + time, request.id), request);
                    }
                }
                PriorityDecision::Admit => engines[engine].queue.push_back(request),
            }
        }
    }
}

/// Returns the host that gets a request. Clients that return after a refusal meet any host.
fn draw_host(scenario: &Scenario, draws: &mut Draws, request: &Request) -> usize {
    let herd_time = request.arrival.checked_sub(scenario.herd_start);
    match herd_time.filter(|_| request.arrival == request.first_arrival) {
        Some(time) if draws.unit() < 0.9 => {
            usize::try_from(time / HERD_MS).unwrap_or_default() % scenario.hosts
        }
        _ => draws.below(scenario.hosts),
    }
}

/// Ends runs and starts queued requests; one that starts within its latency target is served.
fn advance_engine(
    engine: &mut Engine,
    hosts: &mut [PriorityAdmission],
    record: &mut Record,
    draws: &mut Draws,
    now: u64,
) {
    engine.running.retain(|(end, time, host)| {
        if *end <= now {
            hosts[*host].record_run(Duration::from_millis(*time));
        }
        *end > now
    });
    while engine.running.len() < SLOTS as usize
        && let Some(request) = engine.queue.pop_front()
    {
        if now - request.first_arrival > request.kind.timeout {
            continue;
        }
        let time = MEAN_RUN_MS / 2 + draws.next() % MEAN_RUN_MS;
        engine.running.push((now + time, time, request.host));
        if now - request.arrival <= request.kind.latency_target {
            record.add(&request, 0.0, 1.0);
        }
    }
}
