//! Hosts and their stand-ins for one test, and a client that sees raw bytes.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use reelreel_core::{
    ClockSource, MonotonicClock,
    fleet::{
        retry_share::RetryPolicy,
        routes::{
            ClientLimits, ModelHosting, ModelSize, RouteEntry, RouteKind, RouteTable, ServiceEntry,
            WeightedBackend,
        },
    },
    organisation::{
        OrganisationDirectory, OrganisationEntry,
        key::KeyDigest,
        quota::{QuotaLimit, QuotaTolerance, QuotaUnit},
    },
    placement::HostCapacity,
};
use reelreel_gateway::{
    codec::{AddressResolver, ListedAddresses},
    events::EventLog,
    host::{SharedState, run_host},
    profile::{HostProfile, OperatorBounds},
};

use crate::{
    codec::{HALL, codecs_for_host},
    engine::StandInEngine,
    links::EngineLinks,
    store::StandInStore,
};

/// How long a test waits for a condition.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A host started by a test.
pub(crate) struct TestHost {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) client_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

/// The settings in which the hosts of tests differ.
pub(crate) struct TestProfile {
    seeds: Vec<SocketAddr>,
    capacity: HostCapacity,
    revocation: Option<Duration>,
    store: SocketAddr,
    engines_enforce_fencing: bool,
    retry_burst: f64,
    hall: &'static str,
    addresses: Arc<dyn AddressResolver>,
    request_cost: Duration,
    first_start: bool,
    pub(crate) clock: Arc<dyn ClockSource>,
}

impl TestProfile {
    /// A strong host with a clock of its own.
    pub(crate) fn new(store: SocketAddr) -> Self {
        Self {
            seeds: Vec::new(),
            capacity: HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 },
            revocation: None,
            store,
            engines_enforce_fencing: true,
            retry_burst: 50.0,
            hall: HALL,
            addresses: Arc::new(ListedAddresses),
            request_cost: Duration::ZERO,
            first_start: true,
            clock: Arc::new(MonotonicClock::new()),
        }
    }

    /// Returns the complete profile of a host.
    pub(crate) fn profile(self, name: &str) -> HostProfile {
        let Self { seeds, capacity, revocation, store, engines_enforce_fencing, hall, .. } = self;
        let first_start = self.first_start;
        let burst = self.retry_burst;
        HostProfile {
            name: Arc::from(name),
            hall: Arc::from(hall),
            client_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            metrics_address: free_address(),
            seeds,
            max_connections: 2500,
            max_body_bytes: 8 * 1024 * 1024,
            store_address: store,
            partitions: 4,
            min_membership_ttl: Duration::from_millis(500),
            capacity,
            first_start,
            bounds: OperatorBounds {
                stop_grace: Duration::from_secs(6),
                max_configuration_delay: Duration::from_secs(2),
                max_leaving_delay: Duration::from_secs(2),
                handover_wait: Duration::from_millis(600),
                engines_enforce_fencing,
                max_version_delay: Duration::from_secs(2),
                retry_policy: RetryPolicy { ratio: 0.2, burst, window: Duration::from_secs(10) },
                load_window: Duration::from_secs(5),
                load_overage: 1.1,
                max_revocation_delay: revocation,
                quota_tolerance: QuotaTolerance {
                    window: Duration::from_secs(8),
                    overage: 0.1,
                    extra: 20.0,
                },
            },
        }
    }
}

/// The stand-ins of one test.
pub(crate) struct TestSite {
    pub(crate) store: StandInStore,
    pub(crate) engines: Vec<StandInEngine>,
    pub(crate) plain: StandInEngine,
}

pub(crate) const MODEL_NAME: &str = "base";

fn route(prefix: &str, kind: RouteKind, service: &str, attempts: u32) -> RouteEntry {
    RouteEntry {
        name: prefix.trim_matches('/').to_owned(),
        host: String::from("site.example"),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(1500),
        latency_target: Duration::from_millis(500),
        max_event_gap: None,
        priority: 1,
        backends: vec![WeightedBackend { service: Arc::from(service), weight: 1 }],
        attempt_limit: attempts,
        public: false,
    }
}

pub(crate) fn client_limits() -> ClientLimits {
    ClientLimits {
        head_bytes: 4096,
        body_bytes: 256 * 1024,
        head_timeout: Duration::from_millis(400),
        idle_timeout: Duration::from_millis(1500),
    }
}

pub(crate) fn routes(revision: u64, with_late_route: bool) -> RouteTable {
    routes_with_timeout(revision, with_late_route, Duration::from_millis(1500))
}

/// The revision of a configuration without tight timeouts.
pub(crate) const LOOSE_TIMEOUTS_REVISION: u64 = 5;

fn routes_with_timeout(revision: u64, with_late_route: bool, timeout: Duration) -> RouteTable {
    let mut routes = vec![
        route("/safe/", RouteKind::Idempotent, "plain", 2),
        route("/single/", RouteKind::AtMostOnce, "plain", 1),
        route("/stream/", RouteKind::Stream { resumable: false }, "assist", 1),
        route("/resumable/", RouteKind::Stream { resumable: true }, "assist", 2),
        route("/safe/deeper/", RouteKind::AtMostOnce, "plain", 1),
    ];
    routes.push(route("/repeatable/", RouteKind::Idempotent, "assist", 2));
    routes.push(RouteEntry { public: true, ..route("/open/", RouteKind::AtMostOnce, "plain", 1) });
    if with_late_route {
        routes.push(route("/late/", RouteKind::AtMostOnce, "plain", 1));
    }
    for route in &mut routes {
        route.timeout = timeout;
    }
    RouteTable::new(revision, client_limits(), routes, services())
}

fn services() -> Vec<ServiceEntry> {
    let hosting = ModelHosting {
        models: vec![ModelSize {
            name: MODEL_NAME.to_owned(),
            weight_megabytes: 1000.0,
            adapter_megabytes: 10.0,
            load_time: Duration::from_millis(600),
        }],
        memory_megabytes: 1300.0,
        adapter_limit: 8,
        loads_per_second: 3.3,
    };
    let service = |name: &str, hosting| ServiceEntry {
        name: Arc::from(name),
        connection_limit: 200,
        hosting,
    };
    vec![service("plain", None), service("assist", Some(hosting))]
}

/// The revision of the configuration with organisations.
pub(crate) const ORGANISATIONS_REVISION: u64 = 3;

/// The revision that revokes the key `key-n1` of the organisation `north`.
pub(crate) const REVOKED_KEY_REVISION: u64 = 4;

/// Returns a configuration with four organisations and one public route.
fn routes_with_organisations(revision: u64, north_keys: &[&str]) -> RouteTable {
    let mut organisations = OrganisationDirectory::default();
    let digests = |keys: &[&str]| -> Vec<KeyDigest> {
        keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect()
    };
    let entry =
        |name: &str, priority| OrganisationEntry { name: Arc::from(name), priority, quota: None };
    organisations.insert(entry("north", Some(4)), digests(north_keys));
    organisations.insert(entry("south", None), digests(&["key-s", "key-both"]));
    organisations.insert(entry("west", None), digests(&["key-both"]));
    let quota = QuotaLimit { per_second: 4.0, burst: 10.0, unit: QuotaUnit::Requests };
    let bounded = OrganisationEntry { quota: Some(quota), ..entry("bounded", None) };
    organisations.insert(bounded, digests(&["key-q"]));
    let table = routes(revision, true);
    table.with_organisations(organisations)
}

impl TestSite {
    /// Starts a store with a configuration, two engines and a plain service.
    pub(crate) fn start() -> Self {
        let site = Self::without_configuration();
        site.store.put("configuration", "routes", "1");
        site
    }

    pub(crate) fn without_configuration() -> Self {
        let store = StandInStore::start();
        let engines = vec![
            StandInEngine::start("engine-1", &[MODEL_NAME]),
            StandInEngine::start("engine-2", &[MODEL_NAME]),
        ];
        let plain = StandInEngine::start("plain-1", &[]);
        let site = Self { store, engines, plain };
        for engine in &site.engines {
            site.store.put("engines", &engine.name, &engine.entry("assist", false));
        }
        site.store.put("engines", "plain-1", &site.plain.entry("plain", false));
        site
    }

    /// Starts a host and waits until it is ready.
    pub(crate) fn host(&self, name: &str) -> TestHost {
        let host = self.start_host(name, Vec::new());
        host.wait_ready();
        host
    }

    /// Starts a host of a system that has been running before, and waits until it is ready.
    pub(crate) fn restarted_host(&self, name: &str) -> TestHost {
        let profile = TestProfile { first_start: false, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host without waiting until it is ready.
    pub(crate) fn start_host(&self, name: &str, seeds: Vec<SocketAddr>) -> TestHost {
        self.start_host_with_capacity(
            name,
            seeds,
            HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 },
        )
    }

    /// Starts a host of this capacity without waiting until it is ready.
    pub(crate) fn start_host_with_capacity(
        &self,
        name: &str,
        seeds: Vec<SocketAddr>,
        capacity: HostCapacity,
    ) -> TestHost {
        let profile = TestProfile { seeds, capacity, ..TestProfile::new(self.store.address) };
        TestHost::start(name, profile)
    }

    /// Starts a host that may serve a revoked key for at most `bound`, and waits until it is ready.
    pub(crate) fn host_with_revocation_bound(
        &self,
        name: &str,
        bound: Duration,
        strong: bool,
    ) -> TestHost {
        let cpu_share = if strong { 0.25 } else { 0.1 };
        let capacity = HostCapacity { cpu_share, bandwidth_mbps: 1000.0 };
        let revocation = Some(bound);
        let profile = TestProfile { capacity, revocation, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host that takes engines to accept orders with an old token, and waits until it is
    /// ready.
    pub(crate) fn host_without_fencing(&self, name: &str) -> TestHost {
        let engines_enforce_fencing = false;
        let profile =
            TestProfile { engines_enforce_fencing, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host whose retry budget allows many retries, and waits until it is ready.
    pub(crate) fn host_with_large_retry_budget(&self, name: &str) -> TestHost {
        let profile = TestProfile { retry_burst: 5000.0, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host of this capacity whose traffic thread each request keeps busy for this time, and
    /// waits until it is ready.
    pub(crate) fn host_with_request_cost(
        &self,
        name: &str,
        capacity: HostCapacity,
        request_cost: Duration,
    ) -> TestHost {
        let profile =
            TestProfile { capacity, request_cost, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host in a data hall that reaches engines over links of its own, and waits until it
    /// is ready.
    pub(crate) fn host_with_links(
        &self,
        name: &str,
        hall: &'static str,
        links: &Arc<EngineLinks>,
    ) -> TestHost {
        let addresses: Arc<dyn AddressResolver> = Arc::clone(links) as _;
        let profile = TestProfile { hall, addresses, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }

    /// Starts a host with this clock and waits until it is ready.
    pub(crate) fn host_with_clock(
        &self,
        name: &str,
        clock: Arc<dyn ClockSource>,
        revocation: Option<Duration>,
    ) -> TestHost {
        let profile = TestProfile { revocation, clock, ..TestProfile::new(self.store.address) };
        let host = TestHost::start(name, profile);
        host.wait_ready();
        host
    }
}

/// The ports that tests use, below the ephemeral range of the system.
///
/// An ephemeral port could be taken by a connection of another test before the host listens on it.
const TEST_PORTS: std::ops::Range<u16> = 18_000..32_000;

pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let port_count = TEST_PORTS.end - TEST_PORTS.start;
    // Test processes that run at the same time start at different ports.
    let offset = u16::try_from(std::process::id() * 97 % u32::from(port_count)).unwrap_or_default();
    for _ in 0..port_count {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = TEST_PORTS.start + (offset.wrapping_add(step)) % port_count;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
    panic!("no port between {} and {} is free", TEST_PORTS.start, TEST_PORTS.end);
}

impl TestHost {
    /// Starts a strong host that uses the store at `store`, and waits until it is ready.
    pub(crate) fn start_with_store(name: &str, store: SocketAddr) -> Self {
        let host = Self::start(name, TestProfile::new(store));
        host.wait_ready();
        host
    }

    fn start(name: &str, profile: TestProfile) -> Self {
        let routes_by_revision = HashMap::from([
            (1, Arc::new(routes(1, false))),
            (2, Arc::new(routes(2, true))),
            (
                LOOSE_TIMEOUTS_REVISION,
                Arc::new(routes_with_timeout(
                    LOOSE_TIMEOUTS_REVISION,
                    false,
                    Duration::from_secs(15),
                )),
            ),
            (
                ORGANISATIONS_REVISION,
                Arc::new(routes_with_organisations(ORGANISATIONS_REVISION, &["key-n1", "key-n2"])),
            ),
            (
                REVOKED_KEY_REVISION,
                Arc::new(routes_with_organisations(REVOKED_KEY_REVISION, &["key-n2"])),
            ),
        ]);
        let clock = Arc::clone(&profile.clock);
        let addresses = Arc::clone(&profile.addresses);
        let request_cost = profile.request_cost;
        let profile = profile.profile(name);
        let (client_address, readiness_address) =
            (profile.client_address, profile.readiness_address);
        let events = EventLog::start(Arc::from(name)).expect("a thread for log lines");
        let shared = Arc::new(SharedState::new(
            profile,
            codecs_for_host(Arc::new(routes_by_revision), addresses, request_cost),
            events,
            clock,
        ));
        let run = Arc::clone(&shared);
        let thread = thread::spawn(move || run_host(&run).expect("the host runs"));
        Self { shared, client_address, readiness_address, thread: Some(thread) }
    }

    pub(crate) fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";
        raw_exchange(self.readiness_address, request.as_bytes()).starts_with("HTTP/1.1 200")
    }

    pub(crate) fn wait_ready(&self) {
        wait_until("the host is ready", || self.is_ready());
    }

    /// Stops the host gracefully and waits for its end; returns how long it took.
    pub(crate) fn stop(mut self) -> Duration {
        let began = Instant::now();
        self.shared.stop();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the host ends");
        }
        began.elapsed()
    }

    pub(crate) fn get(&self, path: &str, fields: &str) -> String {
        self.send("GET", path, fields, "")
    }

    pub(crate) fn post(&self, path: &str, fields: &str, body: &str) -> String {
        self.send("POST", path, fields, body)
    }

    fn send(&self, method: &str, path: &str, fields: &str, body: &str) -> String {
        let length = if body.is_empty() && method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n{fields}{length}\r\n{body}"
        );
        raw_exchange(self.client_address, request.as_bytes())
    }
}

/// Ends the host with its test: one that went on would slow down the tests that run later.
impl Drop for TestHost {
    fn drop(&mut self) {
        self.shared.abort();
    }
}

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < WAIT_LIMIT, "{what}: not within {} s", WAIT_LIMIT.as_secs());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends bytes and returns everything received until the connection ends.
///
/// A reset at the end shows as the text `<reset>`.
pub(crate) fn raw_exchange(address: SocketAddr, request: &[u8]) -> String {
    let Ok(mut socket) = TcpStream::connect(address) else { return String::from("<refused>") };
    let _ = socket.set_read_timeout(Some(WAIT_LIMIT));
    let written = socket.write_all(request);
    let text = read_all(&mut socket);
    // The system reports a reset only once.
    if written.is_err() && !text.ends_with("<reset>") { text + "<reset>" } else { text }
}

/// Reads everything until the connection ends.
pub(crate) fn read_all(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        match socket.read(&mut bytes) {
            Ok(0) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(count) => text.extend_from_slice(&bytes[..count]),
            Err(_) => return format!("{}<reset>", String::from_utf8_lossy(&text)),
        }
    }
}
