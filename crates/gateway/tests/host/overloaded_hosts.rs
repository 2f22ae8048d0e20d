//! Hosts that get more requests than their own processor or link can carry, while other hosts are idle.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use reelreel_core::placement::HostCapacity;

use crate::{
    codec::DEADLINE,
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, raw_exchange, wait_until},
};

const HOSTS: usize = 4;

/// Over all hosts. Unit: requests per second.
const RATE: f64 = 140.0;

/// Time in which requests are spread evenly, of which the second half is measured.
const EVEN_TIME: Duration = Duration::from_secs(3);

/// Time for which nine in ten of all requests arrive at one host.
const HERD_TIME: Duration = Duration::from_secs(6);

/// Time from the start of the herd from which requests must be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time from the end of the herd until the host must be as before.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Time within which clients need their answers.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);

/// Least ratio of the served fractions of the first attempts that were read, in the herd and before.
const MIN_SERVED_RATIO: f64 = 0.95;

/// Least part of the attempts closed unread which are served at another host.
const MIN_MOVED_SHARE: f64 = 0.95;

/// Capacity of a link of 10 Mbit/s in each direction. Unit: bytes per second.
const LINK_BYTES: f64 = 1_250_000.0;

/// A load that is too much for one host.
struct OverloadCase {
    name: &'static str,
    service: &'static str,
    path: &'static str,
    behaviour: EngineBehaviour,
    /// Time for which each request keeps the event loop of its host busy.
    request_cost: Duration,
    /// Whether the hosts' links carry [`LINK_BYTES`] only.
    narrow_links: bool,
}

const PROCESSOR: OverloadCase = OverloadCase {
    name: "processor",
    service: "assist",
    path: "/stream/a",
    behaviour: EngineBehaviour::Stream(3),
    request_cost: Duration::from_millis(10),
    narrow_links: false,
};

const LINK: OverloadCase = OverloadCase {
    name: "link",
    service: "plain",
    path: "/safe/a",
    behaviour: EngineBehaviour::LargeBody(16_000),
    request_cost: Duration::ZERO,
    narrow_links: true,
};

/// Spreads the bytes of all connections over time.
#[derive(Debug)]
struct BytePacer(Mutex<Instant>);

impl BytePacer {
    fn new() -> Arc<Self> {
        Arc::new(Self(Mutex::new(Instant::now())))
    }

    /// Waits until that many bytes have been carried.
    fn carry(&self, bytes: usize) {
        let mut free_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at =
            (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / LINK_BYTES);
        let done_at = *free_at;
        drop(free_at);
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
    }
}

/// Starts a link of a host to its clients that carries [`LINK_BYTES`]; returns its address.
fn start_narrow_link(host: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (inbound, outbound) = (BytePacer::new(), BytePacer::new());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(host) else { continue };
            let halves = client.try_clone().and_then(|client| Ok((client, server.try_clone()?)));
            let Ok((client_reader, server_reader)) = halves else { continue };
            let (inbound, outbound) = (Arc::clone(&inbound), Arc::clone(&outbound));
            thread::spawn(move || pump(client_reader, server, &inbound));
            thread::spawn(move || pump(server_reader, client, &outbound));
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, pacer: &BytePacer) {
    let mut bytes = [0; 2048];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        pacer.carry(count);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Several hosts of the same size in front of engines that are not short.
struct OverloadFleet {
    hosts: Vec<(TestHost, SocketAddr)>,
    _site: TestSite,
    _engines: Vec<StandInEngine>,
    path: &'static str,
    /// Header fields of each request.
    fields: String,
}

impl OverloadFleet {
    fn start(case: &OverloadCase) -> Self {
        let site = TestSite::start();
        for engine in ["engine-1", "engine-2", "plain-1"] {
            site.store.put("engines", engine, "");
        }
        let is_plain = case.service == "plain";
        let keys: &[&str] = if is_plain { &[] } else { &[MODEL_NAME] };
        let fields = if is_plain { String::new() } else { format!("X-Model: {MODEL_NAME}\r\n") };
        let start_engine = |number| {
            let engine = StandInEngine::start(&format!("{}-{number}", case.name), keys);
            engine.set_behaviours(&[case.behaviour]);
            site.store.put("engines", &engine.name, &engine.entry_with_slots(case.service, 64));
            engine
        };
        let engines: Vec<StandInEngine> = (0..4).map(start_engine).collect();
        let bandwidth_mbps = if case.narrow_links { LINK_BYTES * 8.0 / 1e6 } else { 1000.0 };
        let capacity = HostCapacity { cpu_share: 0.25, bandwidth_mbps };
        let start_host = |number| {
            let name = format!("{}-host-{number}", case.name);
            let host = site.host_with_request_cost(&name, capacity, case.request_cost);
            let address = host.client_address;
            (host, if case.narrow_links { start_narrow_link(address) } else { address })
        };
        let hosts: Vec<_> = (0..HOSTS).map(start_host).collect();
        let fleet = Self { hosts, _site: site, _engines: engines, path: case.path, fields };
        for host in 0..HOSTS {
            wait_until("a request is served", || {
                fleet.post(host, "first").starts_with("HTTP/1.1 200")
            });
        }
        fleet
    }

    /// Sends a request on a connection of its own; returns the complete response.
    fn post(&self, host: usize, id: &str) -> String {
        let deadline = CLIENT_DEADLINE.as_millis();
        let request = format!(
            "POST {} HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nX-Request: {id}\r\n\
             {}{DEADLINE}: {deadline}\r\nContent-Length: 2\r\n\r\n{{}}",
            self.path, self.fields
        );
        raw_exchange(self.hosts[host].1, request.as_bytes())
    }
}

/// First attempts of one time, and what became of them.
#[derive(Debug, Default)]
struct AttemptCount {
    sent: AtomicUsize,
    /// Closed before anything was read from them.
    unread: AtomicUsize,
    /// Served within the client's deadline.
    served: AtomicUsize,
    /// Closed unread, and served by another host.
    moved: AtomicUsize,
}

impl AttemptCount {
    fn share(part: &AtomicUsize, whole: usize) -> f64 {
        part.load(Ordering::Relaxed) as f64 / whole.max(1) as f64
    }

    fn served_share(&self) -> f64 {
        let sent = self.sent.load(Ordering::Relaxed);
        Self::share(&self.served, sent - self.unread.load(Ordering::Relaxed))
    }

    fn moved_share(&self) -> f64 {
        Self::share(&self.moved, self.unread.load(Ordering::Relaxed))
    }

    /// Sends a request, and once more to another host if the connection is closed unread.
    fn send(&self, fleet: &OverloadFleet, host: usize, number: usize) {
        let attempt = |host, id: &str| {
            let began = Instant::now();
            let response = fleet.post(host, id);
            let served = response.starts_with("HTTP/1.1 200") && !response.ends_with("<reset>");
            let is_unread =
                response.is_empty() || ["<reset>", "<refused>"].contains(&response.as_str());
            (is_unread, served && began.elapsed() <= CLIENT_DEADLINE)
        };
        self.sent.fetch_add(1, Ordering::Relaxed);
        match attempt(host, &format!("o{number}")) {
            (true, _) => {
                self.unread.fetch_add(1, Ordering::Relaxed);
                let other = (host + 1 + number % (HOSTS - 1)) % HOSTS;
                let (_, served) = attempt(other, &format!("o{number}-again"));
                self.moved.fetch_add(usize::from(served), Ordering::Relaxed);
            }
            (false, served) => {
                self.served.fetch_add(usize::from(served), Ordering::Relaxed);
            }
        }
    }
}

fn check_case(case: &OverloadCase) {
    let fleet = OverloadFleet::start(case);
    let [before, herd, after] = [(); 3].map(|()| AttemptCount::default());
    let settling = AttemptCount::default();
    let herd_end = EVEN_TIME + HERD_TIME;
    let began = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            let due = Duration::from_secs_f64(number as f64 / RATE);
            if due >= herd_end + 2 * RETURN_TIME {
                break;
            }
            thread::sleep(due.saturating_sub(began.elapsed()));
            let in_herd = (EVEN_TIME..herd_end).contains(&due);
            let host = if in_herd && number % 10 != 0 { 0 } else { number % HOSTS };
            let count = match due {
                due if due >= herd_end + RETURN_TIME => &after,
                due if (EVEN_TIME + CONTACT_TIME..herd_end).contains(&due) => &herd,
                due if (EVEN_TIME / 2..EVEN_TIME).contains(&due) => &before,
                _ => &settling,
            };
            let fleet = &fleet;
            scope.spawn(move || count.send(fleet, host, number));
        }
    });
    let name = case.name;
    println!("{name}: before {before:?}, herd {herd:?}, after {after:?}");
    let (ratio, moved) = (herd.served_share() / before.served_share(), herd.moved_share());
    assert!(ratio >= MIN_SERVED_RATIO, "{name}: {ratio:.3} of the served fraction before");
    let has_moved = herd.unread.load(Ordering::Relaxed) == 0 || moved >= MIN_MOVED_SHARE;
    assert!(has_moved, "{name}: {moved:.3} of those closed unread were served elsewhere");
    assert_eq!(before.unread.load(Ordering::Relaxed), 0, "{name}: closed unread before the herd");
    assert_eq!(after.unread.load(Ordering::Relaxed), 0, "{name}: closed unread after the herd");
    let after = after.served_share();
    assert!(after >= MIN_SERVED_RATIO, "{name}: {after:.3} are served after the herd");
    thread::scope(|scope| {
        for (host, _) in fleet.hosts {
            scope.spawn(|| host.stop());
        }
    });
}

/// Guards against a host that reads more requests than its processor can serve, so that all of them are late.
#[test]
fn a_host_beyond_its_processor_serves_what_it_reads() {
    check_case(&PROCESSOR);
}

/// Guards against a host that reads more requests than its link can carry, so that all of them are late.
#[test]
fn a_host_beyond_its_link_serves_what_it_reads() {
    check_case(&LINK);
}
