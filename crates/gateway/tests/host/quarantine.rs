//! Requests that crash engines: how many engines crash, and whether other requests are affected.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, WAIT_LIMIT, free_address, wait_until},
    store::StandInStore,
};

/// How long a crashed engine stays down.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Number of events in the stream of a harmless request.
const STREAM_EVENTS: u32 = 6;

/// Engines that crash on some request bodies and restart at their addresses.
struct CrashableFleet {
    store: StandInStore,
    service: &'static str,
    loaded_models: &'static [&'static str],
    crashing_bodies: &'static [&'static str],
    /// Whether a restarted engine keeps its name.
    reuses_names: bool,
    engines: Vec<StandInEngine>,
    /// When each engine that is down crashed.
    down_since: Vec<Option<Instant>>,
    /// When engines crashed, in order.
    crashes: Vec<Instant>,
    incarnations: usize,
    /// The request bodies that reached earlier incarnations.
    earlier_arrivals: Vec<Vec<u8>>,
}

impl CrashableFleet {
    /// Starts `count` engines of a service that crash on each of the `crashing_bodies`.
    fn start(
        site: &TestSite,
        count: usize,
        service: &'static str,
        crashing_bodies: &'static [&'static str],
    ) -> Self {
        let loaded_models: &[&str] = if service == "assist" { &[MODEL_NAME] } else { &[] };
        let mut fleet = Self {
            store: site.store.clone(),
            service,
            loaded_models,
            crashing_bodies,
            reuses_names: false,
            engines: Vec::new(),
            down_since: vec![None; count],
            crashes: Vec::new(),
            incarnations: 0,
            earlier_arrivals: Vec::new(),
        };
        for _ in 0..count {
            let name = format!("mortal-{}", fleet.incarnations + 1);
            let engine = fleet.start_engine(&name, free_address());
            fleet.engines.push(engine);
        }
        fleet
    }

    /// Starts an incarnation of an engine.
    fn start_engine(&mut self, name: &str, address: SocketAddr) -> StandInEngine {
        self.incarnations += 1;
        let engine =
            StandInEngine::start_crashable(name, self.loaded_models, address, self.crashing_bodies);
        engine.set_incarnation(self.incarnations as u64);
        engine.set_behaviours(&[EngineBehaviour::Stream(STREAM_EVENTS)]);
        self.store.put("engines", name, &engine.entry(self.service, false));
        engine
    }

    /// Records crashes, and restarts engines that were down for [`RESTART_DELAY`].
    fn poll(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            match self.down_since[index] {
                None if engine.has_crashed() => {
                    let now = Instant::now();
                    self.crashes.push(now);
                    self.down_since[index] = Some(now);
                }
                Some(crashed_at) if crashed_at.elapsed() >= RESTART_DELAY => {
                    self.earlier_arrivals
                        .extend(engine.arrivals().into_iter().map(|request| request.body));
                    let (mut name, address) = (engine.name.clone(), engine.address);
                    if !self.reuses_names {
                        self.store.put("engines", &name, "");
                        name = format!("mortal-{}", self.incarnations + 1);
                    }
                    self.engines[index] = self.start_engine(&name, address);
                    self.down_since[index] = None;
                }
                _ => {}
            }
        }
    }

    /// Returns how many requests with this body reached engines.
    fn arrivals(&self, body: &str) -> usize {
        let current = self.engines.iter().flat_map(StandInEngine::arrivals);
        let bodies =
            current.map(|request| request.body).chain(self.earlier_arrivals.iter().cloned());
        bodies.filter(|received| received == body.as_bytes()).count()
    }
}

/// Returns whether a response is a complete stream.
fn is_complete(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n")
}

fn fields(id: &str) -> String {
    format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n")
}

/// Starts hosts whose engines are all crashable.
fn start_hosts(site: &TestSite, names: &[&str]) -> Vec<TestHost> {
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    names.iter().map(|name| site.host(name)).collect()
}

/// Guards against a request that is sent again and again by different hosts and crashes each engine
/// that runs it, along with all other streams there.
#[test]
fn a_request_that_crashes_engines_is_quarantined_by_all_hosts() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = start_hosts(&site, &["deadly-1", "deadly-2", "deadly-3"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let (mut refused, mut served, mut unrelated) = (0, 0, 0);
    for number in 0..60 {
        let host = &hosts[number % hosts.len()];
        let response = host.post("/stream/a", &fields(&format!("d{number}")), "deadly");
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
        if response.starts_with("HTTP/1.1 503") {
            assert!(response.contains("Retry-After: "), "{response}");
            refused += 1;
        }
        fleet.poll();
        if number >= 30 {
            let other = &hosts[(number + 1) % hosts.len()];
            let body = format!("innocent {number}");
            unrelated += 1;
            served += u32::from(is_complete(&other.post(
                "/stream/a",
                &fields(&format!("i{number}")),
                &body,
            )));
        }
        thread::sleep(Duration::from_millis(30));
        fleet.poll();
    }
    let arrivals = fleet.arrivals("deadly");
    assert!(fleet.crashes.len() <= 4, "{} engines crashed", fleet.crashes.len());
    assert!(arrivals <= 4, "the request reached engines {arrivals} times");
    assert!(refused >= 50, "{refused} of 60 were refused");
    assert_eq!(served, unrelated, "unrelated requests were not served");
    assert!(fleet.crashes.iter().all(|crashed_at| crashed_at.elapsed() < WAIT_LIMIT));
}

/// Each incarnation of an engine counts as a crash of its own, even if it keeps its name.
#[test]
fn engines_that_keep_their_names_count_one_crash_per_incarnation() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 1, "plain", &["deadly"]);
    fleet.reuses_names = true;
    site.store.put("engines", "plain-1", "");
    let host = site.host("one-name");
    let send =
        |id: String, body: &str| host.post("/single/a", &format!("X-Request: {id}\r\n"), body);
    for incarnation in 0..2 {
        wait_until("the engine serves", || {
            send(format!("s{incarnation}"), "harmless").starts_with("HTTP/1.1 200")
        });
        assert!(send(format!("d{incarnation}"), "deadly").starts_with("HTTP/1.1 502"));
        fleet.poll();
        thread::sleep(RESTART_DELAY);
        fleet.poll();
    }
    wait_until("the third incarnation serves", || {
        send(String::from("t"), "harmless").starts_with("HTTP/1.1 200")
    });
    assert!(send(String::from("h"), "deadly").contains("engines ended"));
    assert_eq!(fleet.arrivals("deadly"), 2);
}

/// Guards against our own retries crashing one engine after another before the first crash is
/// known.
#[test]
fn retries_stop_after_the_second_engine_crash() {
    let site = TestSite::start();
    site.store.put("engines", "plain-1", "");
    let mut fleet = CrashableFleet::start(&site, 4, "plain", &["deadly"]);
    let host = site.host("repeats");
    wait_until("a request is served", || {
        host.post("/safe/a", "X-Request: first\r\n", "first").starts_with("HTTP/1.1 200")
    });
    let first = host.post("/safe/a", "X-Request: r1\r\n", "deadly");
    assert!(first.starts_with("HTTP/1.1 502"), "{first}");
    for number in 0..5 {
        let response = host.post("/safe/a", &format!("X-Request: h{number}\r\n"), "deadly");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
    }
    fleet.poll();
    assert_eq!(fleet.crashes.len(), 2);
    assert_eq!(fleet.arrivals("deadly"), 2);
    // The same body on another path, and another body on the same path, are different requests.
    for (path, body) in [("/safe/b", "harmless"), ("/safe/a", "harmless")] {
        let response = host.post(path, &format!("X-Request: o{}\r\n", path.len()), body);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Responses break off for many reasons without a crash, which must not quarantine the request.
#[test]
fn aborted_responses_quarantine_no_request() {
    let site = TestSite::start();
    let host = site.host("breaks");
    for behaviour in
        [EngineBehaviour::CloseConnection, EngineBehaviour::TruncateBody, EngineBehaviour::Garbage]
    {
        site.plain.set_behaviours(&[behaviour]);
        for number in 0..6 {
            let response = host.post("/single/a", &format!("X-Request: b{number}\r\n"), "usual");
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            // The host backs off briefly from the failed engine, which is not a quarantine.
            thread::sleep(Duration::from_millis(5));
        }
    }
    site.plain.set_behaviours(&[EngineBehaviour::Echo]);
    wait_until("the request is served", || {
        host.post("/single/a", "X-Request: w\r\n", "usual").starts_with("HTTP/1.1 200")
    });
    assert_eq!(host.shared.quarantine().counts(), (0, 0));
}

/// Engines that lose power together interrupt the same harmless request on each of them: that
/// counts as one crash.
#[test]
fn engines_that_crash_together_quarantine_no_request() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 4, "assist", &[]);
    let hosts = start_hosts(&site, &["rack-1", "rack-2"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    for engine in &fleet.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(40)]);
    }
    thread::scope(|scope| {
        for number in 0..12 {
            let host = &hosts[number % hosts.len()];
            scope.spawn(move || host.post("/stream/a", &fields(&format!("c{number}")), "common"));
        }
        thread::sleep(Duration::from_millis(150));
        for engine in &fleet.engines {
            engine.crash();
        }
    });
    fleet.poll();
    assert_eq!(fleet.crashes.len(), 4);
    thread::sleep(RESTART_DELAY);
    fleet.poll();
    wait_until("the common request is served", || {
        is_complete(&hosts[1].post("/stream/a", &fields("again"), "common"))
    });
}

/// A host that starts later must get the quarantined requests from its peers.
#[test]
fn a_host_that_starts_later_learns_of_quarantined_requests() {
    let site = TestSite::start();
    let mut fleet = CrashableFleet::start(&site, 6, "assist", &["deadly"]);
    let hosts = start_hosts(&site, &["earlier-1", "earlier-2"]);
    wait_until("a stream is served", || {
        is_complete(&hosts[0].post("/stream/a", &fields("first"), "first"))
    });
    let began = Instant::now();
    while !hosts[0].post("/stream/a", &fields("d"), "deadly").contains("engines ended") {
        assert!(began.elapsed() < WAIT_LIMIT, "the request is never quarantined");
        fleet.poll();
        thread::sleep(Duration::from_millis(20));
    }
    let crashes_before = fleet.crashes.len();
    let late = site.host("later");
    wait_until("the late host knows of the change", || late.shared.quarantine().counts().1 == 1);
    let response = late.post("/stream/a", &fields("l"), "deadly");
    assert!(response.contains("engines ended"), "{response}");
    fleet.poll();
    assert_eq!(fleet.crashes.len(), crashes_before);
}
