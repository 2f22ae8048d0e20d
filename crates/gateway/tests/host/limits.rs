//! Engines that name a limit: how many requests a second they take from all hosts together.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{EngineMood, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, wait_until},
};

/// Over which time calls to an engine are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Within which time all hosts keep a limit that was named.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// What an engine may get in a [`WINDOW`]: its limit, and a request at each end of the window.
fn allowed(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() + 2.0
}

/// Engines of one service, some of which name a limit.
struct LimitedFleet {
    site: TestSite,
    engines: Vec<StandInEngine>,
    hosts: Vec<TestHost>,
    path: &'static str,
    fields: String,
}

impl LimitedFleet {
    fn start(service: &'static str, engines: usize, hosts: usize) -> Self {
        let site = TestSite::start();
        for engine in ["engine-1", "engine-2", "plain-1"] {
            site.store.put("engines", engine, "");
        }
        let plain = service == "plain";
        let held: &[&str] = if plain { &[] } else { &[MODEL_NAME] };
        let start = |number| {
            let engine = StandInEngine::start(&format!("{service}-{number}"), held);
            let mood = if plain { EngineMood::Well } else { EngineMood::Stream(2) };
            engine.treat(&[mood]);
            site.store.put("engines", &engine.name, &engine.entry(service, false));
            engine
        };
        let engines: Vec<StandInEngine> = (0..engines).map(start).collect();
        let path = if plain { "/safe/a" } else { "/stream/a" };
        let model = if plain { "" } else { MODEL_NAME };
        let fields = if plain { String::new() } else { format!("X-Model: {model}\r\n") };
        let hosts = (0..hosts).map(|number| site.host(&format!("limits-{number}"))).collect();
        let fleet = Self { site, engines, hosts, path, fields };
        for host in &fleet.hosts {
            wait_until("a request is served", || fleet.ask(host, "first"));
        }
        fleet
    }

    /// Sends a request to a host; returns whether it was served.
    fn ask(&self, host: &TestHost, id: &str) -> bool {
        let fields = format!("X-Request: {id}\r\n{}", self.fields);
        host.post(self.path, &fields, "{}").starts_with("HTTP/1.1 200")
    }

    /// Sends so many requests a second to each host for a while; returns how many were served, and of how many.
    fn load(&self, per_second: u32, time: Duration) -> (usize, usize) {
        let pause = Duration::from_secs(1) / per_second;
        let began = Instant::now();
        let clients = |place: usize, host: &TestHost| {
            let mut served = Vec::new();
            thread::scope(|requests| {
                let mut sent = Vec::new();
                for number in 0..per_second * u32::try_from(time.as_secs()).unwrap_or(u32::MAX) {
                    let due = began + pause * number;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let id = format!("l{place}-{number}");
                    sent.push(requests.spawn(move || self.ask(host, &id)));
                }
                served.extend(sent.into_iter().map(|sent| sent.join().expect("an answer")));
            });
            served
        };
        let served: Vec<bool> = thread::scope(|scope| {
            let hosts = self.hosts.iter().enumerate();
            let loads: Vec<_> =
                hosts.map(|(place, host)| scope.spawn(move || clients(place, host))).collect();
            loads.into_iter().flat_map(|load| load.join().expect("the load ends")).collect()
        });
        (served.iter().filter(|served| **served).count(), served.len())
    }
}

/// An engine that said in each of its answers that it takes 1.7 requests a second from all hosts together got 18 and 24 in four
/// seconds, and went on getting its usual five a second: no host read the word.
#[test]
fn all_hosts_together_keep_the_limit_that_an_engine_names() {
    let fleet = LimitedFleet::start("assist", 6, 3);
    let limited = &fleet.engines[0];
    limited.name_limit(Some("1.7"));
    let named = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(6));
    let most = limited.most_calls_within(WINDOW, named + KNOWN_WITHIN);
    assert!(most as f64 <= allowed(1.7), "{most} calls within four seconds");
    assert!(limited.calls_since(named) >= 6, "what it takes is used");
    assert_eq!(served, asked, "the others have room for everything");
    drop(fleet.site);
}

/// The same at a service whose engines hold no models: nobody places anything there, and the word holds as well.
#[test]
fn all_hosts_together_keep_the_limit_of_a_plain_server() {
    let fleet = LimitedFleet::start("plain", 3, 3);
    let limited = &fleet.engines[0];
    limited.name_limit(Some("2"));
    let named = Instant::now();
    let (served, asked) = fleet.load(20, Duration::from_secs(6));
    let most = limited.most_calls_within(WINDOW, named + KNOWN_WITHIN);
    assert!(most as f64 <= allowed(2.0), "{most} calls within four seconds");
    assert!(limited.calls_since(named) >= 6, "what it takes is used");
    assert_eq!(served, asked, "the others have room for everything");
}
