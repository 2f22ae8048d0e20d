//! Engines that crash when they have to reject too many requests for lack of room, and say so.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Brittleness, EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

const ENGINES: usize = 6;

const HOSTS: usize = 6;

/// Number of events of a stream, which takes 0.3 s.
const STREAM_EVENTS: u32 = 20;

/// Requests per second to each host: together a quarter more than the engines can run.
const RATE: u32 = 21;

/// Time for which the engines are brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(8);

/// Time from the first announcement until the hosts must go by it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long a crashed engine stays down.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of crashes in a time in which the engines are brittle.
const MAX_CRASHES: usize = 2 + ENGINES / 10;

fn start_engine(site: &TestSite, name: &str, address: std::net::SocketAddr) -> StandInEngine {
    let engine = StandInEngine::start_crashable(name, &[MODEL_NAME], address, &[]);
    engine.set_behaviours(&[EngineBehaviour::Stream(STREAM_EVENTS)]);
    site.store.put("engines", name, &engine.entry("assist", false));
    engine
}

/// Sends requests to a host at a steady rate until `ended`.
fn send_until(host: &TestHost, ended: &AtomicBool) {
    thread::scope(|scope| {
        for number in 0.. {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let name = &host.shared.profile.name;
            let fields = format!("X-Request: b{name}-{number}\r\nX-Model: {MODEL_NAME}\r\n");
            scope.spawn(move || host.post("/stream/a", &fields, "{}"));
            thread::sleep(Duration::from_secs(1) / RATE);
        }
    });
}

/// Guards against hosts that together make engines reject so many requests that these crash one
/// after the other.
#[test]
fn brittle_engines_do_not_crash_under_more_requests_than_they_run() {
    let site = TestSite::start();
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    let mut engines: Vec<StandInEngine> = (0..ENGINES)
        .map(|number| start_engine(&site, &format!("brittle-{number}"), free_address()))
        .collect();
    let hosts: Vec<TestHost> =
        (0..HOSTS).map(|number| site.host(&format!("careful-{number}"))).collect();
    for host in &hosts {
        let fields = format!("X-Request: first\r\nX-Model: {MODEL_NAME}\r\n");
        wait_until("a stream is served", || {
            host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
        });
    }
    let roomy = Brittleness { room: usize::MAX, bound: 3 };
    for engine in &engines {
        engine.make_brittle(roomy);
    }
    let ended = AtomicBool::new(false);
    let mut crashes = 0;
    thread::scope(|scope| {
        for host in &hosts {
            let ended = &ended;
            scope.spawn(move || send_until(host, ended));
        }
        thread::sleep(CONTACT_TIME);
        let brittle = Brittleness { room: 5, ..roomy };
        for engine in &engines {
            engine.make_brittle(brittle);
        }
        let began = Instant::now();
        let mut down = vec![None; ENGINES];
        while began.elapsed() < BRITTLE_TIME {
            for (engine, down_since) in engines.iter_mut().zip(&mut down) {
                match *down_since {
                    None if engine.has_crashed() => {
                        crashes += 1;
                        *down_since = Some(Instant::now());
                    }
                    Some(since) if since.elapsed() >= RESTART_DELAY => {
                        let (name, address) = (engine.name.clone(), engine.address);
                        *engine = start_engine(&site, &name, address);
                        engine.make_brittle(brittle);
                        *down_since = None;
                    }
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        ended.store(true, Ordering::Relaxed);
    });
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes of {ENGINES} engines");
}
