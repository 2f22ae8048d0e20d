//! Hosts, a coordinator, clients that come back and plain servers in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineEntry, ServiceName, UNKNOWN_INCARNATION,
        admission::{AdmissionController, AdmissionSignal},
        engine_choice::{EngineCandidate, choose_engine},
        health::{EngineHealth, EngineOutcome},
        service_limit::{IntervalLoad, LoadSums, PublishedLimit, ServiceLimit},
        service_share::{
            LoadReport, ServiceShares, ShareDecision, report_interval, spread_retry_after,
        },
    },
};

use crate::random::Random;

/// The server, as the design page gives it.
const SLOTS: usize = 6;
const QUEUE_CAPACITY: usize = 24;
const SERVICE_MICROS: f64 = 15_000.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MICROS: u64 = 600_000;
/// Mean time between two slow periods, which are then 15% of the time.
const SLOW_GAP_MICROS: f64 = 3_400_000.0;
const LATENCY_TARGET: Duration = Duration::from_millis(120);
const TIMEOUT_MICROS: u64 = 800_000;
/// Time of a message between two hosts, or between a host and a server.
const LINK_MICROS: u64 = 3000;
/// Delay before a host tries the same server again.
const RETRY_DELAY_MICROS: u64 = 60_000;
/// Interval of the control thread of a host.
const TICK_MICROS: u64 = 50_000;
/// Time until the coordinator notices that servers have left or come.
const LISTING_MICROS: u64 = 500_000;
/// Requests per second that one server answers at full speed.
pub(crate) const SERVER_CAPACITY: f64 = 1e6 / SERVICE_MICROS * SLOTS as f64;

/// How hosts decide what to admit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Coordination {
    /// Each host by itself.
    Alone,
    /// All hosts together.
    Fleet,
}

/// A load on a service.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) hosts: usize,
    /// Over all hosts.
    pub(crate) requests_per_second: f64,
    pub(crate) servers: usize,
    /// When only the first server is left. Unit: seconds.
    pub(crate) one_server: Range<f64>,
    /// When hosts are cut off from the coordinator. Unit: seconds.
    pub(crate) no_coordinator: Range<f64>,
    /// The hosts that are cut off; if they are all, the coordinator is lost.
    pub(crate) cut_hosts: usize,
    pub(crate) slow_periods: bool,
    /// Whether the last server refuses all requests.
    pub(crate) refusing_server: bool,
    pub(crate) coordination: Coordination,
    /// When the requests that are counted first arrive. Unit: seconds.
    pub(crate) counted: Range<f64>,
    pub(crate) seed: u64,
}

/// Requests within the counted time.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    /// Answered in time since they were first sent by the client.
    pub(crate) at_once: u64,
    /// Answered in time since the client last sent them.
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) sends: u64,
    pub(crate) full: u64,
    /// Whether there is a limit at the end.
    pub(crate) limited: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    host: usize,
    first_arrival: u64,
    arrival: u64,
    sent: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrived(Request),
    /// Arrives at a server after another one was full.
    Sent {
        request: Request,
        server: usize,
        repeated: bool,
    },
    Finished {
        request: Request,
        server: usize,
        epoch: u32,
    },
    Answered {
        request: Request,
        server: usize,
    },
    ServerFull {
        request: Request,
        server: usize,
        repeated: bool,
    },
    HostTick(usize),
    /// The report with this index in `reports` reaches the coordinator.
    Reported {
        host: usize,
        report: usize,
    },
    CoordinatorTick,
    Published {
        limit: Option<(u64, u64, bool)>,
    },
    ServersChanged {
        up: usize,
    },
    ServersListed {
        up: usize,
    },
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Request>,
    slow: Vec<Range<u64>>,
    epoch: u32,
}

struct Simulation<'scenario> {
    scenario: &'scenario Scenario,
    random: Random,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    service: ServiceName,
    shares: Vec<ServiceShares>,
    controllers: Vec<AdmissionController>,
    own_open: Vec<Vec<u32>>,
    health: Vec<Vec<EngineHealth>>,
    entries: Vec<EngineEntry>,
    servers: Vec<Server>,
    up: usize,
    limit: Option<ServiceLimit>,
    sums: LoadSums,
    open: Vec<u32>,
    reports: Vec<LoadReport>,
    updated_at: u64,
    tally: Tally,
}

const fn at(micros: u64) -> ClockMillis {
    ClockMillis::from_millis(3_600_000 + micros / 1000)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times and indexes")]
const fn whole(value: f64) -> u64 {
    value as u64
}

fn micros(seconds: f64) -> u64 {
    whole(seconds * 1e6)
}

fn entry(number: usize) -> EngineEntry {
    EngineEntry {
        name: Arc::from(format!("plain-{number}")),
        incarnation: UNKNOWN_INCARNATION,
        service: Arc::from("plain"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: Arc::from("hall"),
        slots: u32::try_from(SLOTS).expect("slots"),
        leaving: false,
        sequence: 0,
        loaded_models: Vec::new(),
    }
}

pub(crate) fn simulate(scenario: &Scenario) -> Tally {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.tally
}

impl<'scenario> Simulation<'scenario> {
    fn new(scenario: &'scenario Scenario) -> Self {
        let mut random = Random(scenario.seed);
        let end = micros(scenario.counted.end);
        let servers = (0..scenario.servers).map(|_| {
            let mut server = Server::default();
            let mut from = 0;
            while scenario.slow_periods && from < end {
                from += whole(-SLOW_GAP_MICROS * (1.0 - random.next()).ln());
                server.slow.push(from..from + SLOW_MICROS);
                from += SLOW_MICROS;
            }
            server
        });
        let servers: Vec<Server> = servers.collect();
        let hosts = scenario.hosts;
        let mut simulation = Self {
            scenario,
            random,
            events: BinaryHeap::new(),
            sequence: 0,
            service: Arc::from("plain"),
            shares: vec![ServiceShares::default(); hosts],
            controllers: vec![AdmissionController::default(); hosts],
            own_open: vec![vec![0; scenario.servers]; hosts],
            health: vec![vec![EngineHealth::default(); scenario.servers]; hosts],
            entries: (0..scenario.servers).map(entry).collect(),
            servers,
            up: scenario.servers,
            limit: None,
            sums: LoadSums::default(),
            open: vec![0; hosts],
            reports: Vec::new(),
            updated_at: 0,
            tally: Tally::default(),
        };
        for host in 0..hosts {
            let phase = whole(simulation.random.next() * TICK_MICROS as f64);
            simulation.push(phase, Event::HostTick(host));
        }
        simulation.push(0, Event::CoordinatorTick);
        if !scenario.one_server.is_empty() {
            let (from, to) = (micros(scenario.one_server.start), micros(scenario.one_server.end));
            for (time, up) in [(from, 1), (to, scenario.servers)] {
                simulation.push(time, Event::ServersChanged { up });
                simulation.push(time + LISTING_MICROS, Event::ServersListed { up });
            }
        }
        simulation
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(&mut self) {
        // Until the clients of all counted requests have given up.
        let end = micros(self.scenario.counted.end) + TIMEOUT_MICROS;
        let mut next_arrival = 0.0_f64;
        loop {
            let arrival = whole(next_arrival);
            let due = self.events.peek().map_or(u64::MAX, |Reverse((due, ..))| *due);
            if arrival.min(due) >= end {
                self.tally.limited = self.limit.is_some();
                return;
            }
            if arrival < due {
                next_arrival -=
                    (1.0 - self.random.next()).ln() / self.scenario.requests_per_second * 1e6;
                let host = self.random_index(self.scenario.hosts);
                let request = Request { host, first_arrival: arrival, arrival, sent: arrival };
                self.tally.requests += self.counts(&request);
                self.handle(arrival, Event::Arrived(request));
            } else if let Some(Reverse((now, _, event))) = self.events.pop() {
                self.handle(now, event);
            }
        }
    }

    fn random_index(&mut self, length: usize) -> usize {
        usize::try_from(whole(self.random.next() * length as f64)).expect("an index")
    }

    fn counts(&self, request: &Request) -> u64 {
        let counted = &self.scenario.counted;
        u64::from((micros(counted.start)..micros(counted.end)).contains(&request.first_arrival))
    }

    fn is_cut_off(&self, host: usize, now: u64) -> bool {
        let lost = &self.scenario.no_coordinator;
        host < self.scenario.cut_hosts && (micros(lost.start)..micros(lost.end)).contains(&now)
    }

    fn is_coordinator_lost(&self, now: u64) -> bool {
        self.is_cut_off(self.scenario.hosts - 1, now)
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrived(request) => self.arrive(now, request),
            Event::Sent { request, server, repeated } => {
                self.send(now, request, server, repeated);
            }
            Event::Finished { request, server, epoch } => self.finish(now, request, server, epoch),
            Event::Answered { request, server } => self.answer(now, request, server),
            Event::ServerFull { request, server, repeated } => {
                self.handle_full(now, request, server, repeated);
            }
            Event::HostTick(host) => self.tick_host(now, host),
            Event::Reported { host, report } => self.receive(now, host, report),
            Event::CoordinatorTick => self.tick_coordinator(now),
            Event::Published { limit } => self.publish(now, limit),
            Event::ServersChanged { up } => self.change_servers(up),
            Event::ServersListed { up } => {
                if let Some(limit) = &mut self.limit {
                    limit.set_ready_servers(u32::try_from(up).expect("servers"), at(now));
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, request: Request) {
        let (host, service) = (request.host, Arc::clone(&self.service));
        let returning = request.arrival > request.first_arrival;
        let decision = match self.scenario.coordination {
            Coordination::Alone => ShareDecision::NoLimit,
            Coordination::Fleet => self.shares[host].try_admit(&service, returning, at(now)),
        };
        let fraction = match decision {
            ShareDecision::Admitted => None,
            ShareDecision::Refused(fraction) => Some(fraction),
            ShareDecision::NoLimit => {
                let controller = &mut self.controllers[host];
                (!controller.try_admit(at(now))).then(|| controller.admitted_fraction(at(now)))
            }
        };
        if let Some(fraction) = fraction {
            self.refuse(now, request, fraction);
            return;
        }
        self.shares[host].record_admitted(&service);
        let server = self.choose_server(now, host, None);
        self.begin_send(now, Request { sent: now, ..request }, server, false);
    }

    fn refuse(&mut self, now: u64, request: Request, fraction: f64) {
        let remaining = (request.first_arrival + TIMEOUT_MICROS).saturating_sub(now);
        let remaining = Duration::from_micros(remaining);
        let spread = self.random.next();
        let interval = report_interval(u32::try_from(self.scenario.hosts).expect("hosts"));
        let wait = spread_retry_after(fraction, interval, remaining, spread);
        assert!(wait <= remaining / 3, "told to wait {wait:?} of {remaining:?}");
        let back = now + u64::try_from(wait.as_micros()).expect("a short wait");
        self.tally.refused += self.counts(&request);
        // Clients come back once.
        if request.arrival == request.first_arrival {
            self.push(back, Event::Arrived(Request { arrival: back, ..request }));
        }
    }

    /// Returns the server that the host prefers.
    fn choose_server(&mut self, now: u64, host: usize, excluded: Option<usize>) -> usize {
        let tie_breaker = whole(self.random.next() * 1e9);
        let candidates = (0..self.up).filter(|server| Some(*server) != excluded);
        let candidates = candidates.map(|server| EngineCandidate {
            entry: &self.entries[server],
            health: &self.health[host][server],
            own_open: self.own_open[host][server],
            reported_open: 0,
            pending_prefill_time: Duration::ZERO,
        });
        let candidates: Vec<EngineCandidate<'_>> = candidates.collect();
        let hosts = u32::try_from(self.scenario.hosts).expect("hosts");
        let chosen = choose_engine(&candidates, "hall", tie_breaker, hosts, at(now));
        let chosen = chosen.expect("a server is up");
        self.entries.iter().position(|entry| entry.name == chosen).expect("a server")
    }

    fn begin_send(&mut self, now: u64, request: Request, server: usize, repeated: bool) {
        self.own_open[request.host][server] += 1;
        self.push(now + LINK_MICROS, Event::Sent { request, server, repeated });
    }

    fn send(&mut self, now: u64, request: Request, server: usize, repeated: bool) {
        if server >= self.up {
            let server = self.choose_server(now, request.host, None);
            self.begin_send(now, request, server, repeated);
            return;
        }
        self.tally.sends += self.counts(&request);
        let target = &mut self.servers[server];
        let refuses = self.scenario.refusing_server && server + 1 == self.scenario.servers;
        if target.running < SLOTS && !refuses {
            target.running += 1;
            self.start_service(now, request, server);
        } else if target.queue.len() < QUEUE_CAPACITY && !refuses {
            target.queue.push_back(request);
        } else {
            self.tally.full += self.counts(&request);
            self.push(now + LINK_MICROS, Event::ServerFull { request, server, repeated });
        }
    }

    fn start_service(&mut self, now: u64, request: Request, server: usize) {
        let slow = self.servers[server].slow.iter().any(|period| period.contains(&now));
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        // From half to one and a half times the mean.
        let time = whole(SERVICE_MICROS * factor * (0.5 + self.random.next()));
        let epoch = self.servers[server].epoch;
        self.push(now + time, Event::Finished { request, server, epoch });
    }

    fn finish(&mut self, now: u64, request: Request, server: usize, epoch: u32) {
        if self.servers[server].epoch != epoch {
            return;
        }
        self.own_open[request.host][server] -= 1;
        self.push(now + LINK_MICROS, Event::Answered { request, server });
        match self.servers[server].queue.pop_front() {
            Some(next) => self.start_service(now, next, server),
            None => self.servers[server].running -= 1,
        }
    }

    fn signal(&mut self, now: u64, host: usize, signal: AdmissionSignal) {
        let service = Arc::clone(&self.service);
        self.shares[host].record_signal(&service, signal, LATENCY_TARGET, at(now));
    }

    fn answer(&mut self, now: u64, request: Request, server: usize) {
        let delay = Duration::from_micros(now - request.sent);
        self.health[request.host][server].record(EngineOutcome::Answered(delay), at(now));
        let answered = AdmissionSignal::Answered(delay);
        self.controllers[request.host].record(answered, LATENCY_TARGET, at(now));
        self.signal(now, request.host, answered);
        self.shares[request.host].record_end("plain");
        let target = u64::try_from(LATENCY_TARGET.as_micros()).expect("a target");
        let counted = self.counts(&request);
        let in_time = now - request.arrival <= target;
        self.tally.in_time += counted * u64::from(in_time);
        self.tally.late += counted * u64::from(!in_time);
        self.tally.at_once += counted * u64::from(now - request.first_arrival <= target);
    }

    /// Another server is tried once, or the same one after a delay if nothing is short, as hosts do.
    fn handle_full(&mut self, now: u64, request: Request, server: usize, repeated: bool) {
        self.own_open[request.host][server] -= 1;
        let full = AdmissionSignal::ServerFull;
        self.signal(now, request.host, full);
        self.health[request.host][server].record(EngineOutcome::Refused, at(now));
        let own_fraction = self.controllers[request.host].admitted_fraction(at(now));
        let limited = self.scenario.coordination == Coordination::Fleet
            && (own_fraction < 1.0 || self.shares[request.host].is_limited("plain", at(now)));
        let retries = !repeated && (self.up > 1 || !limited);
        let alone = self.scenario.coordination == Coordination::Alone;
        if !retries || (!alone && self.up == 1) {
            self.controllers[request.host].record(full, LATENCY_TARGET, at(now));
        }
        if retries {
            let (other, delay) = if self.up > 1 {
                (self.choose_server(now, request.host, Some(server)), 0)
            } else {
                (0, RETRY_DELAY_MICROS)
            };
            let sent = now + delay;
            self.begin_send(sent, Request { sent, ..request }, other, true);
            return;
        }
        self.shares[request.host].record_end("plain");
        let fraction = self.controllers[request.host].admitted_fraction(at(now));
        self.refuse(now, request, fraction);
    }

    fn tick_host(&mut self, now: u64, host: usize) {
        self.push(now + TICK_MICROS, Event::HostTick(host));
        let hosts = u32::try_from(self.scenario.hosts).expect("hosts");
        for report in self.shares[host].take_reports(hosts, at(now)) {
            self.reports.push(report);
            let report = self.reports.len() - 1;
            self.push(now + LINK_MICROS, Event::Reported { host, report });
        }
    }

    fn receive(&mut self, now: u64, host: usize, report: usize) {
        if self.is_cut_off(host, now) {
            return;
        }
        let report = &self.reports[report];
        self.sums += report.sums;
        self.open[host] = report.open;
        if self.limit.is_none() && report.short {
            self.updated_at = now;
            let up = u32::try_from(self.up).expect("servers");
            self.limit = Some(ServiceLimit::new(up, at(now)));
        }
    }

    fn tick_coordinator(&mut self, now: u64) {
        let hosts = u32::try_from(self.scenario.hosts).expect("hosts");
        self.push(now + 10_000, Event::CoordinatorTick);
        if self.is_coordinator_lost(now) {
            self.limit = None;
            self.sums = LoadSums::default();
            return;
        }
        let Some(limit) = &mut self.limit else { return };
        let elapsed = Duration::from_micros(now - self.updated_at);
        if elapsed < report_interval(hosts) {
            return;
        }
        let load = IntervalLoad {
            sums: std::mem::take(&mut self.sums),
            open: self.open.iter().sum(),
            elapsed,
            ready_servers: limit.ready_servers(),
            slots: limit.ready_servers() * u32::try_from(SLOTS).expect("slots"),
            latency_target: LATENCY_TARGET,
        };
        limit.update(&load, at(now));
        self.updated_at = now;
        let published = limit.published(at(now));
        if published.is_none() {
            self.limit = None;
        }
        let limit =
            published.map(|limit| (limit.rate.to_bits(), limit.arrivals.to_bits(), limit.measured));
        self.push(now + LINK_MICROS, Event::Published { limit });
    }

    fn publish(&mut self, now: u64, limit: Option<(u64, u64, bool)>) {
        let limit = limit.map(|(rate, arrivals, measured)| PublishedLimit {
            rate: f64::from_bits(rate),
            arrivals: f64::from_bits(arrivals),
            measured,
        });
        for host in 0..self.shares.len() {
            if self.is_cut_off(host, now) {
                continue;
            }
            self.shares[host].apply_limit(&self.service, limit, at(now));
        }
    }

    fn change_servers(&mut self, up: usize) {
        for server in up..self.up {
            let lost = &mut self.servers[server];
            lost.epoch += 1;
            lost.running = 0;
            lost.queue.clear();
            for host in 0..self.scenario.hosts {
                for _ in 0..std::mem::take(&mut self.own_open[host][server]) {
                    self.shares[host].record_end("plain");
                }
            }
        }
        self.up = up;
    }
}
