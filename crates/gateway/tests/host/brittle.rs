//! Engines that crash when they have to reject too many requests for lack of room, and say so.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Brittleness, EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

const ENGINES: usize = 6;

/// Number of events of a stream.
const STREAM_EVENTS: u32 = 20;

/// Number of requests that an engine runs or lets wait while it is brittle.
const ROOM: usize = 5;

/// Requests per second to all hosts together: a quarter more than the engines can run.
const RATE: u32 = 126;

/// Time for which the engines are brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(8);

/// Time from the first announcement until the hosts must go by it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long a crashed engine stays down.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of crashes in a time in which the engines are brittle.
const MAX_CRASHES: usize = 2 + ENGINES / 10;

/// Fraction of the slots that must be used under more requests than the engines run.
const MIN_UTILIZATION: f64 = 0.85;

/// A time in which the engines are brittle.
struct BrittleCase {
    hosts: usize,
    /// Number of rejections per second that an engine survives.
    bound: usize,
    /// Number of requests at a time that the engines list.
    slots: u32,
    /// Whether the listed number is right, so that no request needs to be rejected.
    is_right: bool,
}

const CASES: &[BrittleCase] = &[
    BrittleCase { hosts: 6, bound: 3, slots: 16, is_right: false },
    BrittleCase { hosts: 12, bound: 1, slots: 4, is_right: true },
];

fn start_engine(site: &TestSite, name: &str, address: SocketAddr, slots: u32) -> StandInEngine {
    let engine = StandInEngine::start_crashable(name, &[MODEL_NAME], address, &[]);
    engine.set_behaviours(&[EngineBehaviour::Stream(STREAM_EVENTS)]);
    site.store.put("engines", name, &engine.entry_with_slots("assist", slots));
    engine
}

fn is_served(host: &TestHost, id: &str) -> bool {
    let fields = format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n");
    host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
}

/// Returns how long a stream takes while nothing else is sent.
fn time_stream(host: &TestHost) -> Duration {
    let began = Instant::now();
    assert!(is_served(host, "alone"));
    began.elapsed()
}

/// Sends `rate` requests per second to a host until `ended`; counts the streams that are served.
fn send_until(host: &TestHost, rate: f64, ended: &AtomicBool, served: &AtomicUsize) {
    thread::scope(|scope| {
        for number in 0.. {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let name = &host.shared.profile.name;
            let id = format!("b{name}-{number}");
            scope.spawn(move || {
                if is_served(host, &id) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
            thread::sleep(Duration::from_secs_f64(1.0 / rate));
        }
    });
}

/// Counts the crashes of the engines while they are brittle, and restarts those that crashed.
fn count_crashes(
    site: &TestSite,
    engines: &mut [StandInEngine],
    brittle: Brittleness,
    slots: u32,
) -> usize {
    let began = Instant::now();
    let mut down = vec![None; ENGINES];
    let mut crashes = 0;
    while began.elapsed() < BRITTLE_TIME {
        for (engine, down_since) in engines.iter_mut().zip(&mut down) {
            match *down_since {
                None if engine.has_crashed() => {
                    crashes += 1;
                    *down_since = Some(Instant::now());
                }
                Some(since) if since.elapsed() >= RESTART_DELAY => {
                    let (name, address) = (engine.name.clone(), engine.address);
                    *engine = start_engine(site, &name, address, slots);
                    engine.make_brittle(brittle);
                    *down_since = None;
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    crashes
}

fn run_case(case: &BrittleCase) {
    let BrittleCase { hosts, bound, slots, is_right } = *case;
    let site = TestSite::start();
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    let mut engines: Vec<StandInEngine> = (0..ENGINES)
        .map(|number| start_engine(&site, &format!("brittle-{number}"), free_address(), slots))
        .collect();
    let hosts: Vec<TestHost> =
        (0..hosts).map(|number| site.host(&format!("careful-{number}"))).collect();
    for host in &hosts {
        wait_until("a stream is served", || is_served(host, "first"));
    }
    let stream_time = hosts.iter().map(time_stream).min().expect("a host");
    let roomy = Brittleness { room: usize::MAX, bound };
    for engine in &engines {
        engine.make_brittle(roomy);
    }
    let (ended, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    let rate = f64::from(RATE) / hosts.len() as f64;
    let (crashes, served) = thread::scope(|scope| {
        for host in &hosts {
            let (ended, served) = (&ended, &served);
            scope.spawn(move || send_until(host, rate, ended, served));
        }
        thread::sleep(CONTACT_TIME);
        let brittle = Brittleness { room: ROOM, ..roomy };
        for engine in &engines {
            engine.make_brittle(brittle);
        }
        let served_before = served.load(Ordering::Relaxed);
        let crashes = count_crashes(&site, &mut engines, brittle, slots);
        let served = served.load(Ordering::Relaxed) - served_before;
        for engine in &engines {
            engine.make_sound();
        }
        wait_until("the hosts have no limits", || {
            hosts.iter().all(|host| host.shared.limits().limited_count() == 0)
        });
        ended.store(true, Ordering::Relaxed);
        (crashes, served)
    });
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes of {ENGINES} engines at bound {bound}");
    let runs = BRITTLE_TIME.as_secs_f64() / stream_time.as_secs_f64();
    let used = served as f64 / (runs * ENGINES as f64 * f64::from(slots));
    println!("{} hosts, bound {bound}: {crashes} crashes, {used:.2} used", hosts.len());
    assert!(!is_right || crashes == 0, "{crashes} crashes although the slots are known");
    assert!(!is_right || used >= MIN_UTILIZATION, "{used:.2} of the slots were used");
}

/// Guards against hosts that together make engines reject so many requests that these crash one
/// after the other.
#[test]
fn brittle_engines_do_not_crash_under_more_requests_than_they_run() {
    for case in CASES {
        run_case(case);
    }
}
