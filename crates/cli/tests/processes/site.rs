//! A site of separate processes: a platform, engines, a plain service and entry hosts in two halls.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Maximum time to wait for any condition on the site.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Initial settings tree of every site.
const TREE: &str = include_str!("../../../../examples/dev.toml");

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

fn program(name: &str) -> PathBuf {
    let path = match name {
        "reelreeld" => env!("CARGO_BIN_EXE_reelreeld"),
        _ => env!("CARGO_BIN_EXE_reelreel"),
    };
    PathBuf::from(path)
}

/// A child process that is killed on drop.
pub(crate) struct Process {
    child: Child,
    /// Addresses printed by the process at start-up.
    pub(crate) addresses: BTreeMap<String, String>,
}

impl Process {
    fn start(program: &Path, arguments: &[String]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("a line with addresses");
        let addresses = serde_json::from_str(&line).unwrap_or_default();
        Self { child, addresses }
    }

    pub(crate) fn address(&self, name: &str) -> &str {
        self.addresses.get(name).map(String::as_str).unwrap_or_default()
    }

    /// Sends a signal by name.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name}");
    }

    /// Waits for the process to exit and returns whether it exited with success in time.
    pub(crate) fn wait(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => thread::sleep(Duration::from_millis(50)),
                Err(_) => return false,
            }
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// A running site.
pub(crate) struct Site {
    folder: PathBuf,
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) service: Process,
    pub(crate) hosts: Vec<Process>,
}

/// Options for starting a host.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostOptions {
    /// Addresses of initial peers.
    pub(crate) seeds: String,
    /// Platform address, if it is not the site's platform.
    pub(crate) platform: Option<String>,
}

impl Site {
    /// Starts a site of two halls with two hosts and two engines each and publishes the tree.
    pub(crate) fn start() -> Self {
        Self::start_with_log(100_000)
    }

    /// Starts the same site with a log that retains `retained` records per stream.
    pub(crate) fn start_with_log(retained: u32) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("reelreel-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for the site");
        let reelreel = program("reelreel");
        let run = |arguments: &[&str]| {
            let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
            Process::start(&reelreel, &arguments)
        };
        let platform = run(&[
            "dev",
            "platform",
            "--host-lag",
            "100",
            "--loads",
            "6",
            "--retained",
            &retained.to_string(),
        ]);
        let address = platform.address("address").to_owned();
        let engine = |id: &str, hall: &str| {
            run(&["dev", "engine", "--id", id, "--hall", hall, "--platform", &address])
        };
        let engines = vec![engine("1", "1"), engine("2", "1"), engine("3", "2"), engine("4", "2")];
        let service = run(&["dev", "service", "--id", "1", "--platform", &address]);
        let mut site = Self { folder, platform, engines, service, hosts: Vec::new() };
        site.publish(TREE, &[]);
        for (host, hall) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
            let process = site.start_host(host, hall, &HostOptions::default());
            site.hosts.push(process);
        }
        for host in 0..site.hosts.len() {
            site.wait_ready(&site.hosts[host]);
        }
        site.wait_owned();
        site
    }

    /// Starts an entry host and registers it in the host list.
    pub(crate) fn start_host(&self, host: u32, hall: u16, options: &HostOptions) -> Process {
        let platform = self.platform.address("address");
        let platform_address = options.platform.as_deref().unwrap_or(platform);
        let settings = format!(
            "host = {host}\nhall = {hall}\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\nplatform = \"{platform_address}\"\nseeds = \"{}\"\n\
             [log]\nlevel = \"warn\"\n[times]\nhosts_every_ms = 300\n",
            options.seeds
        );
        let path = self.folder.join(format!("host-{host}.toml"));
        fs::write(&path, settings).expect("the settings file is written");
        let process = Process::start(&program("reelreeld"), &[path.to_string_lossy().into_owned()]);
        let record = json!({
            "role": "entry", "id": host, "hall": hall, "address": process.address("peers"),
            "state": "live", "incarnation": 1,
        });
        put(platform, "/hosts", &record);
        process
    }

    pub(crate) fn callers(&self, host: usize) -> &str {
        self.hosts[host].address("callers")
    }

    /// Publishes a tree with `reelreel` and returns whether it succeeded and its standard output.
    pub(crate) fn publish(&self, tree: &str, arguments: &[&str]) -> (bool, String) {
        let path =
            self.folder.join(format!("tree-{}.toml", NEXT_ID.fetch_add(1, Ordering::Relaxed)));
        fs::write(&path, tree).expect("the tree is written");
        let output = Command::new(program("reelreel"))
            .args(["settings", "publish", "--platform", self.platform.address("address")])
            .args(arguments)
            .arg(&path)
            .output()
            .expect("reelreel starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.success(), text)
    }

    /// Rolls the platform's log back by the last `lost` records of each stream.
    pub(crate) fn roll_back_log(&self, lost: usize) {
        put(self.platform.address("address"), &format!("/fall-back/{lost}"), &Value::Null);
    }

    /// Sets one of the platform's faults.
    pub(crate) fn set_platform_fault(&self, name: &str, kind: &Value) {
        put(self.platform.address("address"), &format!("/faults/{name}"), kind);
    }

    /// Sets the fault of the plain service.
    pub(crate) fn set_service_fault(&self, kind: &Value) {
        put(self.service.address("address"), "/faults", kind);
    }

    /// Registers the server at an address in the place of the plain service.
    pub(crate) fn replace_service(&self, address: &str) {
        let record = json!({
            "role": "server", "id": 1, "hall": 1, "address": address, "state": "live",
            "incarnation": 2, "service": "orders",
        });
        put(self.platform.address("address"), "/hosts", &record);
    }

    /// Sets a switch of an engine.
    pub(crate) fn set_engine_switch(&self, engine: usize, name: &str, value: &Value) {
        put(self.engines[engine].address("address"), &format!("/switch/{name}"), value);
    }

    /// Returns the engines' runs by request id and the number of streams cut by unloads.
    pub(crate) fn engine_evidence(&self) -> (BTreeMap<String, u64>, u64) {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        let mut cuts = 0;
        for engine in &self.engines {
            let evidence = get(engine.address("address"), "/evidence");
            cuts += evidence["cut_by_unload"].as_u64().unwrap_or(0);
            for (request, count) in evidence["runs"].as_object().into_iter().flatten() {
                *runs.entry(request.clone()).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        (runs, cuts)
    }

    /// Returns the adapters that served requests.
    pub(crate) fn adapters_run(&self) -> BTreeSet<String> {
        let evidence = |engine: &Process| get(engine.address("address"), "/evidence");
        let names = |evidence: Value| -> Vec<String> {
            let adapters = evidence["adapters"].as_object().cloned().unwrap_or_default();
            adapters.values().filter_map(|name| name.as_str().map(str::to_owned)).collect()
        };
        self.engines.iter().map(evidence).flat_map(names).collect()
    }

    /// Returns the number of runs of each request on the plain service.
    pub(crate) fn service_runs(&self) -> BTreeMap<String, u64> {
        serde_json::from_value(get(self.service.address("address"), "/evidence"))
            .unwrap_or_default()
    }

    pub(crate) fn wait_ready(&self, host: &Process) {
        wait_until("the host is ready and knows all engines and servers", || {
            let status = host_status(host);
            let count_of = |name: &str| status[name].as_u64().unwrap_or(0);
            status["ready"] == json!(true)
                && count_of("known_servers") == 1
                && count_of("known_engines") == self.engines.len() as u64
        });
    }

    /// Waits until every engine is in the state `owned`.
    pub(crate) fn wait_owned(&self) {
        wait_until("every engine is owned", || {
            let owned: usize = self
                .hosts
                .iter()
                .map(host_status)
                .flat_map(|status| status["engines"].as_array().cloned().unwrap_or_default())
                .filter(|engine| engine["state"] == json!("owned"))
                .count();
            owned == self.engines.len()
        });
    }

    /// Returns the index of the host that owns an engine.
    pub(crate) fn owner_of(&self, engine: u64) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let status = host_status(host);
            status["engines"]
                .as_array()
                .into_iter()
                .flatten()
                .any(|owned| owned["engine"] == json!(engine) && owned["state"] == json!("owned"))
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Waits until `condition` returns true.
pub(crate) fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "{description}: not within {} s",
            WAIT_TIMEOUT.as_secs()
        );
        thread::sleep(Duration::from_millis(50));
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

/// Fetches JSON; returns null on any error.
pub(crate) fn get(address: &str, path: &str) -> Value {
    let answer = agent().get(format!("http://{address}{path}")).call();
    let body = answer.ok().and_then(|mut answer| answer.body_mut().read_to_vec().ok());
    body.and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default()
}

fn put(address: &str, path: &str, value: &Value) {
    let answer = agent().put(format!("http://{address}{path}")).send(&value.to_string());
    assert!(answer.is_ok_and(|answer| answer.status().as_u16() == 200), "put {path}");
}

/// Returns a host's status page, or null if the host does not respond.
pub(crate) fn host_status(host: &Process) -> Value {
    get(host.address("operators"), "/status")
}
