//! Requests under which engines end: how many engines they take with them, and who suffers beside them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineMood, StandInEngine},
    site::{MODEL_NAME, PATIENCE, TestMachine, TestSite, free_address, wait_until},
    store::StandInStore,
};

/// How long an engine that has ended stays away.
const AWAY: Duration = Duration::from_millis(300);

/// How many events an innocent request's stream has.
const EVENTS: u32 = 6;

/// Engines that end under some bodies and come back at their addresses, under other names.
struct MortalFleet {
    store: StandInStore,
    service: &'static str,
    held: &'static [&'static str],
    deadly: &'static [&'static str],
    engines: Vec<StandInEngine>,
    /// When each engine that is away ended.
    away: Vec<Option<Instant>>,
    /// When engines ended, in order.
    ends: Vec<Instant>,
    lives: usize,
    /// The requests of lives that have ended, by body.
    arrived: Vec<Vec<u8>>,
}

impl MortalFleet {
    /// Starts so many engines of a service that end under each of the `deadly` bodies.
    fn start(
        site: &TestSite,
        count: usize,
        service: &'static str,
        deadly: &'static [&'static str],
    ) -> Self {
        let held: &[&str] = if service == "assist" { &[MODEL_NAME] } else { &[] };
        let mut fleet = Self {
            store: site.store.clone(),
            service,
            held,
            deadly,
            engines: Vec::new(),
            away: vec![None; count],
            ends: Vec::new(),
            lives: 0,
            arrived: Vec::new(),
        };
        for _ in 0..count {
            let engine = fleet.begin(free_address());
            fleet.engines.push(engine);
        }
        fleet
    }

    /// Begins a life of an engine.
    fn begin(&mut self, address: SocketAddr) -> StandInEngine {
        self.lives += 1;
        let name = format!("mortal-{}", self.lives);
        let engine = StandInEngine::start_mortal(&name, self.held, address, self.deadly);
        engine.treat(&[EngineMood::Stream(EVENTS)]);
        self.store.put("engines", &name, &engine.entry(self.service, false));
        engine
    }

    /// Notes which engines have ended, and brings back those that were away for long enough.
    fn look(&mut self) {
        for place in 0..self.engines.len() {
            let engine = &self.engines[place];
            match self.away[place] {
                None if engine.has_ended() => {
                    let now = Instant::now();
                    self.ends.push(now);
                    self.away[place] = Some(now);
                }
                Some(ended) if ended.elapsed() >= AWAY => {
                    self.arrived.extend(engine.arrivals().into_iter().map(|request| request.body));
                    self.store.put("engines", &engine.name, "");
                    let address = engine.address;
                    self.engines[place] = self.begin(address);
                    self.away[place] = None;
                }
                _ => {}
            }
        }
    }

    /// Returns how often requests with a body reached engines.
    fn arrivals(&self, body: &str) -> usize {
        let living = self.engines.iter().flat_map(StandInEngine::arrivals);
        let bodies = living.map(|request| request.body).chain(self.arrived.iter().cloned());
        bodies.filter(|arrived| arrived == body.as_bytes()).count()
    }
}

/// Returns whether an answer is a whole stream.
fn is_whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n")
}

fn fields(id: &str) -> String {
    format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n")
}

/// Starts hosts whose engines are all mortal.
fn hosts(site: &TestSite, names: &[&str]) -> Vec<TestMachine> {
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    names.iter().map(|name| site.machine(name)).collect()
}

/// One request was sent again and again, to whichever host, and each engine that began to run it ended: 14 and 18 of twelve engines
/// in ten seconds, since each came back and ended again. Up to 29 other streams broke off with each. Every host took each
/// arrival for a new request, because nothing was remembered of what had been at work when an engine ended: the lines said
/// `"outcome":"engine_failed","status":502,"sends":1` from another host each time, with the same adapter and the
/// same length of the prompt.
#[test]
fn a_request_that_ends_engines_is_held_back_by_all_hosts() {
    let site = TestSite::start();
    let mut fleet = MortalFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = hosts(&site, &["deadly-1", "deadly-2", "deadly-3"]);
    wait_until("a stream is served", || {
        is_whole(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let (mut held, mut served, mut innocents) = (0, 0, 0);
    for number in 0..60 {
        let host = &hosts[number % hosts.len()];
        let answer = host.post("/stream/a", &fields(&format!("d{number}")), "deadly");
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        if answer.starts_with("HTTP/1.1 503") {
            assert!(answer.contains("Retry-After: "), "{answer}");
            held += 1;
        }
        fleet.look();
        if number >= 30 {
            let other = &hosts[(number + 1) % hosts.len()];
            let body = format!("innocent {number}");
            innocents += 1;
            served += u32::from(is_whole(&other.post(
                "/stream/a",
                &fields(&format!("i{number}")),
                &body,
            )));
        }
        thread::sleep(Duration::from_millis(30));
        fleet.look();
    }
    let arrivals = fleet.arrivals("deadly");
    assert!(fleet.ends.len() <= 4, "{} engines ended", fleet.ends.len());
    assert!(arrivals <= 4, "it reached engines {arrivals} times");
    assert!(held >= 50, "{held} of 60 were held back");
    assert_eq!(served, innocents, "requests that came beside it");
    assert!(fleet.ends.iter().all(|end| end.elapsed() < PATIENCE));
}
