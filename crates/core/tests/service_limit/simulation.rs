//! Hosts, a coordinator, clients that come back and plain servers in simulated time.

use std::{
    collections::{BTreeMap, VecDeque},
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

/// Time for which nine in ten requests arrive at one host.
pub(crate) const HERD_SECONDS: f64 = 4.0;

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
    /// From when on nine in ten requests arrive at one host, and at the next after [`HERD_SECONDS`]. Unit: seconds.
    pub(crate) herd_start: f64,
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

#[derive(Debug, Clone, Copy)]
struct Request {
    host: usize,
    first_arrival: u64,
    arrival: u64,
    sent: u64,
}

/// A request at a server; `repeated` tells that another send was refused by a full server.
#[derive(Debug, Clone, Copy)]
struct Send {
    request: Request,
    server: usize,
    repeated: bool,
}

#[derive(Debug)]
enum Event {
    Arrived(Request),
    Sent(Send),
    Finished(Send, u32),
    Answered(Send),
    ServerFull(Send),
    HostTick(usize),
    Reported(usize, LoadReport),
    CoordinatorTick,
    Published(Option<PublishedLimit>),
    ServersChanged(usize),
    ServersListed(u32),
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Send>,
    slow: Vec<Range<u64>>,
    epoch: u32,
}

#[derive(Default, Clone)]
struct Host {
    shares: ServiceShares,
    controller: AdmissionController,
    /// Its open requests at each server.
    own_open: Vec<u32>,
    health: Vec<EngineHealth>,
    /// Its open requests as last reported.
    reported_open: u32,
}

struct Simulation<'scenario> {
    scenario: &'scenario Scenario,
    random: Random,
    /// By time and sequence.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    service: ServiceName,
    hosts: Vec<Host>,
    entries: Vec<EngineEntry>,
    servers: Vec<Server>,
    up: usize,
    limit: Option<ServiceLimit>,
    sums: LoadSums,
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

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).expect("a small count")
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
        software: Arc::default(),
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
        let mut simulation = Self {
            scenario,
            random: Random(scenario.seed),
            events: BTreeMap::new(),
            sequence: 0,
            service: Arc::from("plain"),
            hosts: Vec::new(),
            entries: (0..scenario.servers).map(entry).collect(),
            servers: Vec::new(),
            up: scenario.servers,
            limit: None,
            sums: LoadSums::default(),
            updated_at: 0,
            tally: Tally::default(),
        };
        for _ in 0..scenario.servers {
            let mut server = Server::default();
            let mut from = 0;
            while scenario.slow_periods && from < micros(scenario.counted.end) {
                from += whole(-SLOW_GAP_MICROS * (1.0 - simulation.random.next()).ln());
                server.slow.push(from..from + SLOW_MICROS);
                from += SLOW_MICROS;
            }
            simulation.servers.push(server);
        }
        for host in 0..scenario.hosts {
            let phase = whole(simulation.random.next() * TICK_MICROS as f64);
            simulation.push(phase, Event::HostTick(host));
            let own_open = vec![0; scenario.servers];
            let health = vec![EngineHealth::default(); scenario.servers];
            simulation.hosts.push(Host { own_open, health, ..Host::default() });
        }
        simulation.push(0, Event::CoordinatorTick);
        if !scenario.one_server.is_empty() {
            let (from, to) = (micros(scenario.one_server.start), micros(scenario.one_server.end));
            for (time, up) in [(from, 1), (to, scenario.servers)] {
                simulation.push(time, Event::ServersChanged(up));
                simulation.push(time + LISTING_MICROS, Event::ServersListed(to_u32(up)));
            }
        }
        simulation
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn run(&mut self) {
        // Until the clients of all counted requests have given up.
        let end = micros(self.scenario.counted.end) + TIMEOUT_MICROS;
        let mut next_arrival = 0.0_f64;
        loop {
            let arrival = whole(next_arrival);
            let due = self.events.first_key_value().map_or(u64::MAX, |((due, _), _)| *due);
            if arrival.min(due) >= end {
                self.tally.limited = self.limit.is_some();
                return;
            }
            if arrival < due {
                next_arrival -=
                    (1.0 - self.random.next()).ln() / self.scenario.requests_per_second * 1e6;
                let host = self.draw_host(arrival);
                let request = Request { host, first_arrival: arrival, arrival, sent: arrival };
                self.tally.requests += self.counts(&request);
                self.arrive(arrival, request);
            } else if let Some(((now, _), event)) = self.events.pop_first() {
                self.handle(now, event);
            }
        }
    }

    /// Returns the host of a request that arrives now.
    fn draw_host(&mut self, now: u64) -> usize {
        let herd_time = now as f64 / 1e6 - self.scenario.herd_start;
        let host = if herd_time >= 0.0 && self.random.next() < 0.9 {
            whole(herd_time / HERD_SECONDS) % self.scenario.hosts as u64
        } else {
            whole(self.random.next() * self.scenario.hosts as f64)
        };
        usize::try_from(host).expect("an index")
    }

    fn counts(&self, request: &Request) -> u64 {
        let counted = &self.scenario.counted;
        u64::from((micros(counted.start)..micros(counted.end)).contains(&request.first_arrival))
    }

    fn is_cut_off(&self, host: usize, now: u64) -> bool {
        let lost = &self.scenario.no_coordinator;
        host < self.scenario.cut_hosts && (micros(lost.start)..micros(lost.end)).contains(&now)
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrived(request) => self.arrive(now, request),
            Event::Sent(send) => self.receive_request(now, send),
            Event::Finished(send, epoch) => self.finish(now, send, epoch),
            Event::Answered(send) => self.answer(now, &send),
            Event::ServerFull(send) => self.handle_full(now, send),
            Event::HostTick(host) => self.tick_host(now, host),
            Event::Reported(host, report) => self.receive_report(now, host, &report),
            Event::CoordinatorTick => self.tick_coordinator(now),
            Event::Published(limit) => self.publish(now, limit),
            Event::ServersChanged(up) => self.change_servers(up),
            Event::ServersListed(up) => {
                if let Some(limit) = &mut self.limit {
                    limit.set_ready_servers(up, at(now));
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, request: Request) {
        let returning = request.arrival > request.first_arrival;
        let host = &mut self.hosts[request.host];
        let decision = match self.scenario.coordination {
            Coordination::Alone => ShareDecision::NoLimit,
            Coordination::Fleet => host.shares.try_admit(&self.service, returning, at(now)),
        };
        let admitted = match decision {
            ShareDecision::Admitted => Ok(()),
            ShareDecision::Refused(fraction) => Err(fraction),
            ShareDecision::NoLimit if host.controller.try_admit(at(now)) => Ok(()),
            ShareDecision::NoLimit => Err(host.controller.admitted_fraction(at(now))),
        };
        if let Err(fraction) = admitted {
            self.refuse(now, request, fraction);
            return;
        }
        host.shares.record_admitted(&self.service);
        let server = self.choose_server(now, request.host, None);
        self.send(now, Send { request: Request { sent: now, ..request }, server, repeated: false });
    }

    fn refuse(&mut self, now: u64, request: Request, fraction: f64) {
        let remaining = (request.first_arrival + TIMEOUT_MICROS).saturating_sub(now);
        let remaining = Duration::from_micros(remaining);
        let interval = report_interval(to_u32(self.scenario.hosts));
        let wait = spread_retry_after(fraction, interval, remaining, self.random.next());
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
        let host = &self.hosts[host];
        let candidates = (0..self.up).filter(|server| Some(*server) != excluded);
        let candidates = candidates.map(|server| EngineCandidate {
            entry: &self.entries[server],
            health: &host.health[server],
            own_open: host.own_open[server],
            reported_open: 0,
            pending_prefill_time: Duration::ZERO,
        });
        let candidates: Vec<EngineCandidate<'_>> = candidates.collect();
        let hosts = to_u32(self.scenario.hosts);
        let chosen = choose_engine(&candidates, "hall", tie_breaker, hosts, at(now));
        self.entries.iter().position(|entry| Some(&entry.name) == chosen.as_ref()).expect("one")
    }

    fn send(&mut self, now: u64, send: Send) {
        self.hosts[send.request.host].own_open[send.server] += 1;
        self.push(now + LINK_MICROS, Event::Sent(send));
    }

    fn receive_request(&mut self, now: u64, send: Send) {
        if send.server >= self.up {
            let server = self.choose_server(now, send.request.host, None);
            self.send(now, Send { server, ..send });
            return;
        }
        let counted = self.counts(&send.request);
        self.tally.sends += counted;
        let server = &mut self.servers[send.server];
        let refuses = self.scenario.refusing_server && send.server + 1 == self.scenario.servers;
        if server.running < SLOTS && !refuses {
            server.running += 1;
            self.start_service(now, send);
        } else if server.queue.len() < QUEUE_CAPACITY && !refuses {
            server.queue.push_back(send);
        } else {
            self.tally.full += counted;
            self.push(now + LINK_MICROS, Event::ServerFull(send));
        }
    }

    fn start_service(&mut self, now: u64, send: Send) {
        let server = &self.servers[send.server];
        let slow = server.slow.iter().any(|period| period.contains(&now));
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        // From half to one and a half times the mean.
        let time = whole(SERVICE_MICROS * factor * (0.5 + self.random.next()));
        let epoch = server.epoch;
        self.push(now + time, Event::Finished(send, epoch));
    }

    fn finish(&mut self, now: u64, send: Send, epoch: u32) {
        let server = &mut self.servers[send.server];
        if server.epoch != epoch {
            return;
        }
        self.hosts[send.request.host].own_open[send.server] -= 1;
        let next = server.queue.pop_front();
        server.running -= usize::from(next.is_none());
        self.push(now + LINK_MICROS, Event::Answered(send));
        if let Some(next) = next {
            self.start_service(now, next);
        }
    }

    fn answer(&mut self, now: u64, Send { request, server, .. }: &Send) {
        let delay = Duration::from_micros(now - request.sent);
        let signal = AdmissionSignal::Answered(delay);
        let host = &mut self.hosts[request.host];
        host.health[*server].record(EngineOutcome::Answered(delay), at(now));
        host.controller.record(signal, LATENCY_TARGET, at(now));
        host.shares.record_signal(&self.service, signal, LATENCY_TARGET, at(now));
        host.shares.record_end("plain");
        let in_time = |since: u64| Duration::from_micros(now - since) <= LATENCY_TARGET;
        let counted = self.counts(request);
        self.tally.in_time += counted * u64::from(in_time(request.arrival));
        self.tally.late += counted * u64::from(!in_time(request.arrival));
        self.tally.at_once += counted * u64::from(in_time(request.first_arrival));
    }

    /// Another server is tried once, or the same one after a delay if nothing is short, as hosts do.
    fn handle_full(&mut self, now: u64, Send { request, server, repeated }: Send) {
        let fleet = self.scenario.coordination == Coordination::Fleet;
        let full = AdmissionSignal::ServerFull;
        let host = &mut self.hosts[request.host];
        host.own_open[server] -= 1;
        host.shares.record_signal(&self.service, full, LATENCY_TARGET, at(now));
        host.health[server].record(EngineOutcome::Refused, at(now));
        let own_fraction = host.controller.admitted_fraction(at(now));
        let limited = own_fraction < 1.0 || host.shares.is_limited("plain", at(now));
        let repeats = !repeated && (self.up > 1 || !(fleet && limited));
        if !repeats || (fleet && self.up == 1) {
            host.controller.record(full, LATENCY_TARGET, at(now));
        }
        if !repeats {
            host.shares.record_end("plain");
            let fraction = host.controller.admitted_fraction(at(now));
            self.refuse(now, request, fraction);
            return;
        }
        let (server, sent) = if self.up > 1 {
            (self.choose_server(now, request.host, Some(server)), now)
        } else {
            (0, now + RETRY_DELAY_MICROS)
        };
        self.send(sent, Send { request: Request { sent, ..request }, server, repeated: true });
    }

    fn tick_host(&mut self, now: u64, host: usize) {
        self.push(now + TICK_MICROS, Event::HostTick(host));
        let hosts = to_u32(self.scenario.hosts);
        for report in self.hosts[host].shares.take_reports(hosts, at(now)) {
            self.push(now + LINK_MICROS, Event::Reported(host, report));
        }
    }

    fn receive_report(&mut self, now: u64, host: usize, report: &LoadReport) {
        if self.is_cut_off(host, now) {
            return;
        }
        self.sums += report.sums;
        self.hosts[host].reported_open = report.open;
        if self.limit.is_none() && report.short {
            self.updated_at = now;
            self.limit = Some(ServiceLimit::new(to_u32(self.up), at(now)));
        }
    }

    fn tick_coordinator(&mut self, now: u64) {
        self.push(now + 10_000, Event::CoordinatorTick);
        if self.is_cut_off(self.scenario.hosts - 1, now) {
            self.limit = None;
            self.sums = LoadSums::default();
        }
        let elapsed = Duration::from_micros(now - self.updated_at);
        let due = elapsed >= report_interval(to_u32(self.scenario.hosts));
        let Some(limit) = self.limit.as_mut().filter(|_| due) else { return };
        let load = IntervalLoad {
            sums: std::mem::take(&mut self.sums),
            open: self.hosts.iter().map(|host| host.reported_open).sum(),
            elapsed,
            ready_servers: limit.ready_servers(),
            slots: limit.ready_servers() * to_u32(SLOTS),
            latency_target: LATENCY_TARGET,
        };
        limit.update(&load, at(now));
        self.updated_at = now;
        let published = limit.published(at(now));
        if published.is_none() {
            self.limit = None;
        }
        self.push(now + LINK_MICROS, Event::Published(published));
    }

    fn publish(&mut self, now: u64, limit: Option<PublishedLimit>) {
        for host in 0..self.hosts.len() {
            if !self.is_cut_off(host, now) {
                self.hosts[host].shares.apply_limit(&self.service, limit, at(now));
            }
        }
    }

    /// Changes the number of servers; what lost ones run is lost.
    fn change_servers(&mut self, up: usize) {
        for server in up..self.up {
            let lost = &mut self.servers[server];
            *lost = Server { slow: std::mem::take(&mut lost.slow), epoch: 1, ..Server::default() };
            for host in &mut self.hosts {
                for _ in 0..std::mem::take(&mut host.own_open[server]) {
                    host.shares.record_end("plain");
                }
            }
        }
        self.up = up;
    }
}
