//! Prompt parts that crash engines: how many engines crash, and whether other requests are served.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    codec::{KEY, MODEL, PARTS, REQUEST},
    crashable_fleet::{CrashableFleet, is_complete, start_hosts},
    organisations::site_with_organisations,
    site::{MODEL_NAME, TestHost, wait_until},
};

/// How long all hosts may take to learn of crashes: half of what the platform allows, since engines
/// are back after half the time.
const CONTACT_TIME: Duration = Duration::from_millis(1500);

/// How long a crashed engine stays down, half of the least time on the platform.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// How long requests are sent at least.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// How long requests are sent once sound ones have to be served.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Time between the crashing requests of one host.
const CRASHING_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between the sound requests of one client.
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

/// Number of clients with sound requests at each host.
const SOUND_CLIENTS: usize = 2;

/// Time from the arrival of a request at an engine to its first event.
const PREFILL_TIME: Duration = Duration::from_millis(60);

/// Most crashes until the part is known.
const MAX_CRASHES: usize = 5;

/// Most crashing requests that reach engines after all hosts could know the part.
const MAX_LATE_ARRIVALS: usize = 3;

/// Least share of sound requests that are served once engines are back.
const MIN_SERVED: f64 = 0.95;

/// The part that crashes engines.
const CRASHING_PART: u64 = 0xbad;

/// The first part of all prompts.
const FIRST_PART: u64 = 0xf1;

/// Parts that both crashing and sound requests have.
const COMMON_PARTS: [u64; 3] = [0xc1, 0xc2, 0xc3];

/// A request that a client sent.
struct SentRequest {
    at: Instant,
    response: String,
}

/// What the clients of all hosts send and get.
#[derive(Default)]
struct PartLoad {
    /// The header field of the requested model, if the service has models.
    model_field: String,
    stopping: AtomicBool,
    /// Number of requests sent, which tells them apart.
    count: AtomicUsize,
    sound: Mutex<Vec<SentRequest>>,
    crashing: Mutex<Vec<SentRequest>>,
}

impl PartLoad {
    fn new(service: &str) -> Self {
        let model_field = match service {
            "assist" => format!("{MODEL}: {MODEL_NAME}\r\n"),
            _ => String::new(),
        };
        Self { model_field, ..Self::default() }
    }

    /// Sends a request whose prompt has these parts between the first one and its own.
    fn send(&self, host: &TestHost, path: &str, parts: &[u64]) -> SentRequest {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let own_part = 0x1_0000 + number as u64;
        let parts = [&[FIRST_PART], parts, &[own_part]].concat();
        let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
        let fields = format!(
            "{REQUEST}: p{number}\r\n{}{KEY}: key-n1\r\n{PARTS}: {}\r\n",
            self.model_field,
            parts.join(",")
        );
        let at = Instant::now();
        SentRequest { at, response: host.post(path, &fields, &format!("body {number}")) }
    }

    fn send_sound_requests(&self, host: &TestHost, path: &str) {
        while !self.stopping.load(Ordering::Relaxed) {
            let part = COMMON_PARTS[self.count.load(Ordering::Relaxed) % COMMON_PARTS.len()];
            let sent = self.send(host, path, &[part]);
            self.sound.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
            thread::sleep(SOUND_INTERVAL);
        }
    }

    fn send_crashing_requests(&self, host: &TestHost, path: &str, delay: Duration) {
        thread::sleep(delay);
        while !self.stopping.load(Ordering::Relaxed) {
            let before = COMMON_PARTS[self.count.load(Ordering::Relaxed) % COMMON_PARTS.len()];
            let sent = self.send(host, path, &[before, CRASHING_PART, COMMON_PARTS[0]]);
            self.crashing.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
            thread::sleep(CRASHING_INTERVAL);
        }
    }
}

/// Hosts, engines and load of one test.
struct PartCase {
    name: &'static str,
    /// The path of all requests.
    path: &'static str,
    service: &'static str,
    hosts: &'static [&'static str],
    engines: usize,
}

impl PartCase {
    /// Plays the load and checks the targets.
    fn check(&self) {
        let site = site_with_organisations();
        site.store.put("engines", &site.plain.name, "");
        let mut fleet = CrashableFleet::start(&site, self.engines, self.service, &[]);
        fleet.restart_delay = RESTART_DELAY;
        fleet.crash_on_part(CRASHING_PART, PREFILL_TIME);
        let hosts = start_hosts(&site, self.hosts);
        let load = PartLoad::new(self.service);
        wait_until("a request is served", || {
            load.send(&hosts[0], self.path, &[]).response.starts_with("HTTP/1.1 200")
        });
        thread::scope(|scope| {
            let load = &load;
            let host_count = u32::try_from(hosts.len()).expect("few hosts");
            for (position, host) in (1..).zip(&hosts) {
                for _ in 0..SOUND_CLIENTS {
                    scope.spawn(move || load.send_sound_requests(host, self.path));
                }
                let delay = CRASHING_INTERVAL * position / host_count;
                scope.spawn(move || load.send_crashing_requests(host, self.path, delay));
            }
            let mut end = Instant::now() + LOAD_TIME;
            while Instant::now() < end {
                fleet.poll();
                // A probe may crash one of the first engines late.
                if let Some(crash) = last_counted_crash(&fleet) {
                    end = end.max(crash + 2 * CONTACT_TIME + CALM_TIME);
                }
                thread::sleep(Duration::from_millis(5));
            }
            load.stopping.store(true, Ordering::Relaxed);
        });
        fleet.poll();
        self.check_targets(&fleet, load);
    }

    fn check_targets(&self, fleet: &CrashableFleet, load: PartLoad) {
        let sound = load.sound.into_inner().unwrap_or_else(PoisonError::into_inner);
        let crashing = load.crashing.into_inner().unwrap_or_else(PoisonError::into_inner);
        let crashes = fleet.crashes.len();
        assert!(crashes >= 2, "{}: only {crashes} engines crashed", self.name);
        let last_needed = last_counted_crash(fleet).expect("a crash");
        let arrivals = fleet.crashing_part_arrivals();
        let late = arrivals.iter().filter(|at| **at > last_needed + CONTACT_TIME).count();
        let calm = sound.iter().filter(|sent| sent.at > last_needed + 2 * CONTACT_TIME);
        let calm: Vec<bool> = calm.map(|sent| is_served(&sent.response)).collect();
        let served = calm.iter().filter(|served| **served).count();
        let served_share = served as f64 / calm.len() as f64;
        let early = sound.iter().filter(|sent| sent.at <= last_needed + 2 * CONTACT_TIME);
        let early: Vec<bool> = early.map(|sent| is_served(&sent.response)).collect();
        println!(
            "{}: {crashes} engines crashed, {} crashing requests of {} reached engines, {late} late; \
             sound: {served} of {} served in calm, {} of {} before",
            self.name,
            arrivals.len(),
            crashing.len(),
            calm.len(),
            early.iter().filter(|served| **served).count(),
            early.len(),
        );
        // Requests that reached an engine get 502, those that none saw say when to come back.
        let held = crashing.iter().filter(|sent| sent.response.starts_with("HTTP/1.1 503"));
        let says_when =
            |response: &str| response.contains("Retry-After: ") && response.contains("not run: ");
        let unclear = held.clone().filter(|sent| !says_when(&sent.response)).count();
        assert_eq!(unclear, 0, "{}: of {} held requests", self.name, held.count());
        assert!(calm.len() >= 60, "{}: only {} sound requests", self.name, calm.len());
        assert!(late <= MAX_LATE_ARRIVALS, "{}: {late} reached engines late", self.name);
        assert!(crashes <= MAX_CRASHES + late, "{}: {crashes} engines crashed", self.name);
        assert!(served_share >= MIN_SERVED, "{}: {served_share:.3} were served", self.name);
    }
}

/// Returns whether a response is whole, relayed event by event or as one body.
fn is_served(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
    let is_whole = length.and_then(|length| length.parse().ok()) == Some(body.len());
    is_complete(response) || (response.starts_with("HTTP/1.1 200") && is_whole)
}

/// Returns when the last engine crashed that may until the part is known.
fn last_counted_crash(fleet: &CrashableFleet) -> Option<Instant> {
    fleet.crashes.get(MAX_CRASHES - 1).or(fleet.crashes.last()).copied()
}

/// Guards against a prompt part that crashes each engine that answers a request with it, while no
/// two of these requests are alike.
#[test]
fn requests_that_share_a_crashing_prompt_part_crash_few_engines() {
    PartCase {
        name: "stream",
        path: "/stream/a",
        service: "assist",
        hosts: &["part-1", "part-2", "part-3", "part-4"],
        engines: 8,
    }
    .check();
}

/// Guards against own retries that carry such a request to further engines.
#[test]
fn retries_of_requests_with_a_crashing_prompt_part_crash_few_engines() {
    PartCase {
        name: "resumable",
        path: "/resumable/a",
        service: "assist",
        hosts: &["retried-1", "retried-2", "retried-3", "retried-4"],
        engines: 8,
    }
    .check();
}

/// Guards against a service without models, whose answers are buffered, being left out.
#[test]
fn buffered_requests_that_share_a_crashing_prompt_part_crash_few_engines() {
    PartCase {
        name: "buffered",
        path: "/single/a",
        service: "plain",
        hosts: &["buffered-1", "buffered-2", "buffered-3", "buffered-4"],
        engines: 8,
    }
    .check();
}

/// Time from the arrival of a request at an engine to its first event, in the test of runs that wait.
const LONG_PREFILL_TIME: Duration = Duration::from_millis(600);

/// Time between the requests of that test, far less than the time to the first event.
const SHORT_INTERVAL: Duration = Duration::from_millis(150);

/// Guards against crashes by requests that were sent before their prompt part was known to crash
/// engines, and that no engine has begun to answer.
#[test]
fn waiting_runs_with_a_crashing_prompt_part_are_cancelled_once_it_is_known() {
    let site = site_with_organisations();
    let mut fleet = CrashableFleet::start(&site, 8, "assist", &[]);
    fleet.crash_on_part(CRASHING_PART, LONG_PREFILL_TIME);
    let hosts = start_hosts(&site, &["waiting-1", "waiting-2", "waiting-3"]);
    let load = PartLoad::new("assist");
    for host in &hosts {
        wait_until("a request is served", || {
            load.send(host, "/stream/a", &COMMON_PARTS).response.starts_with("HTTP/1.1 200")
        });
    }
    let sent = thread::scope(|scope| {
        let senders: Vec<_> = hosts
            .iter()
            .cycle()
            .take(9)
            .map(|host| {
                thread::sleep(SHORT_INTERVAL);
                scope.spawn(|| load.send(host, "/stream/a", &[CRASHING_PART]))
            })
            .collect();
        let sent = senders.into_iter().map(|sender| sender.join().expect("a response"));
        sent.collect::<Vec<_>>()
    });
    fleet.poll();
    let crashes = fleet.crashes.len();
    let arrivals = fleet.crashing_part_arrivals().len();
    println!("{crashes} engines crashed, {arrivals} of {} reached engines", sent.len());
    assert!(arrivals > MAX_CRASHES, "only {arrivals} requests were at engines");
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
}
