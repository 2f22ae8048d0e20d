//! A small deployment on loopback: the store, engines and hosts, and the record of a case.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::HOST_NAME,
    engine::EngineOptions,
    http::Connection,
    store::{OPERATOR_TOPIC, PARTITIONS, Store},
};

/// The program of the deploy file.
const HOST_PROGRAM: &str = "target/release/reelreeld";

/// The port of the metrics, which the deploy file fixes.
const METRICS_PORT: u16 = 9464;

const CLIENT_PORT: u16 = 8149;
const READINESS_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const PEER_PORTS: (u16, u16) = (7380, 7395);
const STORE_PORT: u16 = 8142;
const ENGINE_PORT: u16 = 8501;

/// The memory that a host may take. Unit: megabytes.
pub const MEMORY_MB: u64 = 260;

/// The longest time until all hosts are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The service whose engines hold models, and the plain one.
pub const MODEL_SERVICE: &str = "parts-assist";
pub const PLAIN_SERVICE: &str = "ledger-app";

/// The lines of a record, with their times.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Recorder {
    /// Starts a record.
    pub fn start() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((self.began.elapsed(), line.into()));
    }

    /// Returns the lines that contain a text.
    pub fn matching(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().filter(|(_, line)| line.contains(text));
        found.map(|(_, line)| line.clone()).collect()
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut file = File::create(path)?;
        for (time, line) in lines.iter() {
            writeln!(file, "{:9.3} s  {line}", time.as_secs_f64())?;
        }
        Ok(())
    }
}

/// The ids of the processes that run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that ends with its owner.
struct Process(Child);

impl Process {
    fn new(child: Child) -> Self {
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Self(child)
    }

    fn end(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let id = self.0.id();
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ends all processes, for a case that takes too long.
pub fn end_processes() {
    let ids = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for id in ids.iter() {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

/// An engine.
pub struct Engine {
    name: String,
    process: Process,
    input: ChildStdin,
    recorder: Recorder,
}

impl Engine {
    fn start(options: &EngineOptions, recorder: &Recorder) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(options.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let input = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (name, lines) = (options.id.clone(), recorder.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                lines.add(format!("engine {name} {line}"));
            }
        });
        recorder.add(format!("engine {} starts at {}", options.id, options.address));
        let (name, recorder) = (options.id.clone(), recorder.clone());
        Ok(Self { name, process: Process::new(child), input, recorder })
    }

    /// Has the engine announce that it is taken away after this time.
    pub fn announce_end(&mut self, left: Duration) -> io::Result<()> {
        writeln!(self.input, "drain {}", left.as_millis())?;
        self.input.flush()
    }

    /// Has the engine leave without saying so.
    pub fn retire(&mut self) -> io::Result<()> {
        writeln!(self.input, "retire")?;
        self.input.flush()
    }

    /// Ends the process (SIGKILL).
    pub fn kill(&mut self) {
        self.recorder.add(format!("engine {} is gone", self.name));
        self.process.end();
    }
}

/// A host.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where its clients connect.
    pub client_address: SocketAddr,
    readiness_address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
    recorder: Recorder,
}

impl Host {
    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(HOST_PROGRAM)
            .arg("--platform")
            .env("REELREEL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(Process::new(child));
        self.recorder.add(format!("host {} starts", self.name));
        Ok(())
    }

    /// Returns the memory that the process takes. Unit: kilobytes.
    pub fn memory_kb(&self) -> Option<u64> {
        let id = self.process.as_ref()?.0.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Ends the process (SIGKILL).
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Asks whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(400);
        let ask = || -> io::Result<bool> {
            let socket = TcpStream::connect_timeout(&self.readiness_address, timeout)?;
            socket.set_read_timeout(Some(timeout))?;
            let mut connection = Connection::new(socket);
            connection.write(b"GET /readyz HTTP/1.1\r\nHost: probe\r\n\r\n")?;
            Ok(connection.read_head()?.is_some_and(|head| head.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

/// Where the parts of a deployment listen.
#[derive(Debug, Clone, Copy)]
struct Network(u8, u8);

impl Network {
    /// Finds a loopback network whose addresses are free.
    fn find() -> Option<Self> {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let seed = (seed ^ u128::from(std::process::id()) << 8) as u64;
        let candidates = (0..50).map(|number: u64| {
            let mixed = (seed + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            Self((64 + mixed % 128) as u8, (mixed >> 20) as u8)
        });
        let is_free = |network: &Self| {
            let host = network.ip(1);
            let ports = [CLIENT_PORT, READINESS_PORT, PEER_PORTS.0, METRICS_PORT, ENGINE_PORT];
            ports.iter().all(|port| TcpListener::bind((host, *port)).is_ok())
        };
        candidates.into_iter().find(is_free)
    }

    fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, last))
    }

    fn address(self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(last), port)
    }
}

/// A deployment.
pub struct Deployment {
    /// The record.
    pub recorder: Recorder,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The engines.
    pub engines: Vec<Engine>,
    network: Network,
    store: Store,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store and this number of hosts' settings; no process is started yet.
    pub fn new(hosts: u8) -> io::Result<Self> {
        let network = Network::find().ok_or(io::ErrorKind::AddrInUse)?;
        let folder = std::env::temp_dir()
            .join(format!("review-{}-{}-{}", std::process::id(), network.0, network.1));
        fs::create_dir_all(&folder)?;
        let recorder = Recorder::start();
        let store = Store::start(network.address(100, STORE_PORT))?;
        store.put(OPERATOR_TOPIC, "config", &configuration());
        let mut deployment =
            Self { recorder, hosts: Vec::new(), engines: Vec::new(), network, store, folder };
        for number in 1..=hosts {
            let host = deployment.new_host(number, hosts)?;
            deployment.hosts.push(host);
        }
        Ok(deployment)
    }

    fn new_host(&self, number: u8, hosts: u8) -> io::Result<Host> {
        let (network, name) = (self.network, format!("edge-nyabugogo-{number}"));
        let settings = self.folder.join(format!("{name}.json"));
        let seeds = (1..=hosts.min(3)).map(|seed| {
            format!("\"{}\"", network.address(seed, CONTROL_PORT))
        });
        let seeds: Vec<String> = seeds.collect();
        let (ip, store) = (network.ip(number), self.store.address);
        let (first_port, last_port) = PEER_PORTS;
        fs::write(
            &settings,
            format!(
                r#"{{
  "node_name": "{name}", "role": "gateway", "node_class": "edge", "serves": ["edge", "control"],
  "ip": "{ip}", "zone": "nyabugogo", "region": "kigali", "zones": {{"nyabugogo": "kigali"}},
  "listen": {{"frontend": "{ip}:{CLIENT_PORT}", "readiness": "{ip}:{READINESS_PORT}", "control_plane": "{ip}:{CONTROL_PORT}"}},
  "port_range": [{first_port}, {last_port}], "seeds": [{}], "bootstrap": true, "fault_counted": false,
  "limits": {{"cpu_quota": 0.25, "cores": 1, "memory_mb": {MEMORY_MB}, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0}},
  "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
  "fault_tolerance": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 54, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": true, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "origin_overage": 1.1, "version_ms": 5000}},
  "platform": {{"address": "{store}", "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": {PARTITIONS}, "append_ms": 1.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000}}
}}
"#,
                seeds.join(", ")
            ),
        )?;
        Ok(Host {
            client_address: network.address(number, CLIENT_PORT),
            readiness_address: network.address(number, READINESS_PORT),
            log: self.folder.join(format!("{name}.log")),
            name,
            settings,
            process: None,
            recorder: self.recorder.clone(),
        })
    }

    /// Starts an engine.
    pub fn start_engine(
        &mut self,
        service: &str,
        slots: usize,
        queue: usize,
        adapters: &str,
    ) -> io::Result<()> {
        let number = u8::try_from(self.engines.len()).unwrap_or_default();
        let options = EngineOptions {
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(u32::from(number) + 1)),
            service: service.to_owned(),
            address: self.network.address(200 + number, ENGINE_PORT),
            store: self.store.address,
            slots,
            queue,
            adapters: adapters.to_owned(),
        };
        self.engines.push(Engine::start(&options, &self.recorder)?);
        Ok(())
    }

    /// Starts the hosts, and waits until all are ready and have had time to hear of each other.
    pub fn start_hosts(&mut self) -> io::Result<()> {
        for host in &mut self.hosts {
            host.start()?;
        }
        let until = Instant::now() + READY_TIMEOUT;
        while !self.hosts.iter().all(Host::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the hosts did not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts ten seconds after the machines do.
        thread::sleep(Duration::from_secs(10));
        self.recorder.add("traffic starts");
        Ok(())
    }

    /// Copies a host's own account of a request into the record.
    pub fn record_log(&self, id: &str) {
        for host in &self.hosts {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains(id)) {
                self.recorder.add(format!("log of {}: {line}", host.name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        self.engines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the operator's configuration, with routes like those of the site `nyabugogo-reel`.
fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, times: (u32, u32), more: &str| {
        let (timeout, target) = times;
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"service\":\"{service}\",{more}}}"
        )
    };
    let stream = "\"sticky\":true,\"target_gap_ms\":250,\"priority\":2";
    let routes = [
        route("lookup", "streaming", MODEL_SERVICE, (15_000, 800), &format!("{stream},\"max_attempts\":1,\"resumable\":false")),
        route("draft", "streaming", MODEL_SERVICE, (15_000, 1000), &format!("{stream},\"max_attempts\":2,\"resumable\":true")),
        route("invoice", "non_idempotent", PLAIN_SERVICE, (800, 150), "\"priority\":2,\"max_attempts\":1"),
        route("status", "idempotent", PLAIN_SERVICE, (800, 150), "\"priority\":2,\"max_attempts\":2"),
    ];
    let engine = "{\"slots\":64,\"kv_capacity\":131025,\"kv_bytes\":163840,\"bandwidth_mbps\":130000.0,\"stride\":2,\"maximum\":12,\"models\":[{\"name\":\"base\",\"weights_mb\":42700.0,\"load_s\":0.6,\"adapters\":3000,\"adapter_size_mb\":66.0,\"warmup_s\":0.89,\"disk_load_s\":1.2}],\"weights_mb\":45000.0,\"max_adapters\":21,\"loads_per_s\":3.3}";
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{MODEL_SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}},{{\"name\":\"{PLAIN_SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
