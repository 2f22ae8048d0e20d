//! Requests under which engines end: how many engines they take with them, and who suffers beside them.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineMood, StandInEngine},
    site::{MODEL_NAME, PATIENCE, TestHost, TestSite, free_address, wait_until},
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
    /// Whether an engine that comes back has the name that it had.
    keeps_names: bool,
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
            keeps_names: false,
            engines: Vec::new(),
            away: vec![None; count],
            ends: Vec::new(),
            lives: 0,
            arrived: Vec::new(),
        };
        for _ in 0..count {
            let name = format!("mortal-{}", fleet.lives + 1);
            let engine = fleet.begin(&name, free_address());
            fleet.engines.push(engine);
        }
        fleet
    }

    /// Begins a life of an engine.
    fn begin(&mut self, name: &str, address: SocketAddr) -> StandInEngine {
        self.lives += 1;
        let engine = StandInEngine::start_mortal(name, self.held, address, self.deadly);
        engine.begin_life(self.lives as u64);
        engine.treat(&[EngineMood::Stream(EVENTS)]);
        self.store.put("engines", name, &engine.entry(self.service, false));
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
                    let (mut name, address) = (engine.name.clone(), engine.address);
                    if !self.keeps_names {
                        self.store.put("engines", &name, "");
                        name = format!("mortal-{}", self.lives + 1);
                    }
                    self.engines[place] = self.begin(&name, address);
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
fn hosts(site: &TestSite, names: &[&str]) -> Vec<TestHost> {
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    names.iter().map(|name| site.host(name)).collect()
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

/// Engines that come back under the names that they had are other lives of theirs: each end counts.
#[test]
fn engines_that_keep_their_names_end_once_a_life() {
    let site = TestSite::start();
    let mut fleet = MortalFleet::start(&site, 1, "plain", &["deadly"]);
    fleet.keeps_names = true;
    site.store.put("engines", "plain-1", "");
    let host = site.host("one-name");
    let send =
        |id: String, body: &str| host.post("/single/a", &format!("X-Request: {id}\r\n"), body);
    for life in 0..2 {
        wait_until("the engine serves", || {
            send(format!("s{life}"), "harmless").starts_with("HTTP/1.1 200")
        });
        assert!(send(format!("d{life}"), "deadly").starts_with("HTTP/1.1 502"));
        fleet.look();
        thread::sleep(AWAY);
        fleet.look();
    }
    wait_until("the third life serves", || {
        send(String::from("t"), "harmless").starts_with("HTTP/1.1 200")
    });
    assert!(send(String::from("h"), "deadly").contains("engines ended"));
    assert_eq!(fleet.arrivals("deadly"), 2);
}

/// A request that may be sent again took one engine after the other with it by our own doing: each try went on to the next
/// engine as soon as the connection broke, before anybody knew that the first engine had ended.
#[test]
fn our_own_repeats_stop_at_the_second_engine() {
    let site = TestSite::start();
    site.store.put("engines", "plain-1", "");
    let mut fleet = MortalFleet::start(&site, 4, "plain", &["deadly"]);
    let host = site.host("repeats");
    wait_until("a request is served", || {
        host.post("/safe/a", "X-Request: first\r\n", "first").starts_with("HTTP/1.1 200")
    });
    let first = host.post("/safe/a", "X-Request: r1\r\n", "deadly");
    assert!(first.starts_with("HTTP/1.1 502"), "it ran: {first}");
    for number in 0..5 {
        let answer = host.post("/safe/a", &format!("X-Request: h{number}\r\n"), "deadly");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("Retry-After: "), "{answer}");
    }
    fleet.look();
    assert_eq!(fleet.ends.len(), 2);
    assert_eq!(fleet.arrivals("deadly"), 2);
    // The same body on another path, and another body on the same one, are other requests.
    for (path, body) in [("/safe/b", "harmless"), ("/safe/a", "harmless")] {
        let answer = host.post(path, &format!("X-Request: o{}\r\n", path.len()), body);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Answers break off for many reasons while engines live: nobody is to be held back for that.
#[test]
fn answers_that_break_off_hold_nobody_back() {
    let site = TestSite::start();
    let host = site.host("breaks");
    for mood in [EngineMood::Silent, EngineMood::CutBody, EngineMood::Garbage] {
        site.plain.treat(&[mood]);
        for number in 0..6 {
            let answer = host.post("/single/a", &format!("X-Request: b{number}\r\n"), "usual");
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
            // An engine that failed rests for a while, which is no hold.
            thread::sleep(Duration::from_millis(5));
        }
    }
    site.plain.treat(&[EngineMood::Well]);
    wait_until("it is served", || {
        host.post("/single/a", "X-Request: w\r\n", "usual").starts_with("HTTP/1.1 200")
    });
    assert_eq!(host.shared.quarantine().counts(), (0, 0));
}

/// Engines of a rack that lose power together take the same innocent request with them at each: that is one end.
#[test]
fn engines_that_end_together_hold_nobody_back() {
    let site = TestSite::start();
    let mut fleet = MortalFleet::start(&site, 4, "assist", &[]);
    let hosts = hosts(&site, &["rack-1", "rack-2"]);
    wait_until("a stream is served", || {
        is_whole(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    for engine in &fleet.engines {
        engine.treat(&[EngineMood::Stream(40)]);
    }
    thread::scope(|scope| {
        for number in 0..12 {
            let host = &hosts[number % hosts.len()];
            scope.spawn(move || host.post("/stream/a", &fields(&format!("c{number}")), "common"));
        }
        thread::sleep(Duration::from_millis(150));
        for engine in &fleet.engines {
            engine.end();
        }
    });
    fleet.look();
    assert_eq!(fleet.ends.len(), 4);
    thread::sleep(AWAY);
    fleet.look();
    wait_until("the common request is served", || {
        is_whole(&hosts[1].post("/stream/a", &fields("again"), "common"))
    });
}

/// A host that starts after all this has happened knows it from its first second on.
#[test]
fn a_host_that_starts_later_knows_what_is_held_back() {
    let site = TestSite::start();
    let mut fleet = MortalFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = hosts(&site, &["earlier-1", "earlier-2"]);
    wait_until("a stream is served", || {
        is_whole(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let began = Instant::now();
    while !hosts[0].post("/stream/a", &fields("d"), "deadly").contains("engines ended") {
        assert!(began.elapsed() < PATIENCE, "it is never held back");
        fleet.look();
        thread::sleep(Duration::from_millis(20));
    }
    let ended = fleet.ends.len();
    let late = site.host("later");
    wait_until("the late host knows it", || late.shared.quarantine().counts().1 == 1);
    let answer = late.post("/stream/a", &fields("l"), "deadly");
    assert!(answer.contains("engines ended"), "{answer}");
    fleet.look();
    assert_eq!(fleet.ends.len(), ended);
}
