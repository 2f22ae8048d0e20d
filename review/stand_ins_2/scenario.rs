//! The scenarios: they start hosts, engines and clients, bring about a disruption, and judge by what
//! clients and engines saw.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, OnceLock},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{self, End, Seen},
    engine::{EVENTS, Kind, PLAIN_PARTS, SPOILED, event, plain_part},
    http::call,
    platform::{PARTS, Platform},
};

const HOSTS: usize = 7;
/// Engines of the service with a model, and of the plain one.
const ENGINES: usize = 12;
const PLAIN_ENGINES: usize = 3;

/// `memory_mb` in the settings. A process that goes over it is killed.
const MEMORY_MB: u64 = 260;

/// The longest time that a scenario may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The ids of all processes that this program has started and not awaited.
fn started() -> &'static Mutex<Vec<u32>> {
    static STARTED: OnceLock<Mutex<Vec<u32>>> = OnceLock::new();
    STARTED.get_or_init(Mutex::default)
}

/// Sends a signal to a process that this program has started.
fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}

fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let child = command.spawn()?;
    started().lock().unwrap().push(child.id());
    Ok(child)
}

/// Kills a process and waits for its end.
fn kill(child: &mut Child) {
    let _ = (child.kill(), child.wait());
    started().lock().unwrap().retain(|id| *id != child.id());
}

/// Ends everything if a scenario hangs.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for id in started().lock().unwrap().iter() {
            signal(*id, "KILL");
        }
        eprintln!("cannot run: it took too long");
        std::process::exit(2);
    });
}

/// Everything that a scenario has started; dropping it ends all of it.
struct Site {
    platform: Platform,
    hosts: Vec<Child>,
    addresses: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    engines: Vec<Child>,
    record: Mutex<File>,
    began: Instant,
    seeds: String,
    /// The ports of hosts for clients, readiness and control, and the first one between hosts.
    ports: ([u16; 3], u16),
    temporary: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.iter_mut().chain(&mut self.engines).for_each(kill);
        let _ = fs::remove_dir_all(&self.temporary);
    }
}

fn free_port(ip: IpAddr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// The start of the configuration without tenants.
const PLAIN_START: &str = r#"{"version":7,"#;

/// The same with a tenant that has two keys.
const TENANT_START: &str =
    r#"{"version":7,"tenants":[{"name":"firm","api_keys":["key-one","key-two"]}],"#;

/// The next one, which takes one of the keys away.
const REVOKED_START: &str = r#"{"version":8,"tenants":[{"name":"firm","api_keys":["key-one"]}],"#;

/// The rest of every configuration.
const CONFIGURATION: &str = r#""routes":[
{"name":"r-stream","host":"desk.example","path_prefix":"/stream/","type":"streaming","timeout_ms":15000,
"target_latency_ms":800,"priority":2,"service":"assist","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":250},
{"name":"r-resumable","host":"desk.example","path_prefix":"/resumable/","type":"streaming","timeout_ms":15000,
"target_latency_ms":1000,"priority":1,"service":"assist","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":250},
{"name":"r-draft","host":"desk.example","path_prefix":"/draft/","type":"non_idempotent","timeout_ms":15000,
"target_latency_ms":800,"priority":2,"service":"assist","max_attempts":1,"sticky":true},
{"name":"r-plain","host":"desk.example","path_prefix":"/plain/","type":"non_idempotent","timeout_ms":15000,
"target_latency_ms":800,"priority":2,"service":"ledger","max_attempts":1}],
"services":[{"name":"assist","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_capacity":131025,"kv_bytes":163840,"bandwidth_mbps":130000.0,"migrations":true,
"backups":true,"stride":2,"maximum":12,"host_memory_mb":130000.0,"disk_mb":390000.0,"pin_ms":4000.0,
"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m0","weights_mb":42700.0,"load_s":0.6,"adapters":3000,
"adapter_size_mb":66.0,"warmup_s":0.89,"disk_load_s":1.2}],"weights_mb":45000.0,"max_adapters":21,"loads_per_s":3.3}},
{"name":"ledger","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Returns the settings of a host, with the bounds of a small deployment.
fn settings(site: &Site, index: usize, first_start: bool) -> String {
    let ([frontend, readiness, control], peer) = site.ports;
    let ip = site.addresses[index].ip();
    let (seeds, store) = (&site.seeds, site.platform.address);
    format!(
        r#"{{"node_name":"edge-hall-{index}","role":"gateway","node_class":"edge","serves":["edge","control"],
"ip":"{ip}","zone":"hall","region":"town","zones":{{"hall":"town"}},
"listen":{{"frontend":"{ip}:{frontend}","readiness":"{ip}:{readiness}","control_plane":"{ip}:{control}"}},
"port_range":[{peer},{}],"seeds":[{seeds}],"bootstrap":{first_start},"fault_counted":false,
"limits":{{"cpu_quota":0.25,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":4100,"bandwidth_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_ms":250,"max_skew_ms":5000,"retry_ratio":0.2,
"retry_window_s":10,"retry_burst":54,"recovery_s":12,"pass_ms":120,"retry_after_s":0,"fencing_enforced":true,
"lease_ms":3000,"thaw_ms":300,"ceiling_window_s":5,"origin_overage":1.1,"version_ms":5000,
"strict_revocation":true,"revoke_ms":5000}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":{PARTS},
"append_ms":1.0,"part_mb_per_s":20.0,"read_mb_per_s":80.0,"record_bytes":262144,"call_bytes":2097152,
"keep_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#,
        peer + 15
    )
}

impl Site {
    fn start(folder: &Path, configuration: &str) -> std::io::Result<Self> {
        let own = std::process::id();
        let (second, third) = ((own / 200 % 200 + 20) as u8, (own % 200 + 20) as u8);
        let ip = |last: usize| IpAddr::V4(Ipv4Addr::new(127, second, third, last as u8));
        let platform = Platform::start(ip(250))?;
        platform.write("keyed.op", "config", configuration.as_bytes());
        let temporary = std::env::temp_dir().join(format!("review-2-{own}"));
        fs::create_dir_all(&temporary)?;
        let mut ports = [0; 3];
        for port in &mut ports {
            *port = free_port(ip(1))?;
        }
        let seeds: Vec<String> =
            (1..=HOSTS.min(3)).map(|host| format!("\"{}:{}\"", ip(host), ports[2])).collect();
        let mut site = Self {
            platform,
            hosts: Vec::new(),
            addresses: (1..=HOSTS).map(|host| SocketAddr::new(ip(host), ports[0])).collect(),
            readiness: (1..=HOSTS).map(|host| SocketAddr::new(ip(host), ports[1])).collect(),
            engines: Vec::new(),
            record: Mutex::new(File::create(folder.join("record.txt"))?),
            began: Instant::now(),
            seeds: seeds.join(","),
            ports: (ports, free_port(ip(1))?.min(65_000)),
            temporary,
        };
        for index in 0..ENGINES + PLAIN_ENGINES {
            let service = if index < ENGINES { "assist" } else { "ledger" };
            let engine = site.start_engine(index, service, ip(100 + index))?;
            site.engines.push(engine);
        }
        for index in 0..HOSTS {
            let host = site.start_host(index, true)?;
            site.hosts.push(host);
        }
        site.note("hosts and engines started");
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..HOSTS).all(|index| site.is_ready(index)) {
            if Instant::now() > until {
                return Err(std::io::Error::other("the hosts do not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(2));
        site.note("all hosts have been ready for 2 s");
        Ok(site)
    }

    fn is_ready(&self, index: usize) -> bool {
        let answer = call(self.readiness[index], "GET", "/readyz", b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Starts the process of a host, as the deploy file says.
    fn start_host(&self, index: usize, first_start: bool) -> std::io::Result<Child> {
        let file = self.temporary.join(format!("host-{index}.json"));
        fs::write(&file, settings(self, index, first_start))?;
        let log = self.temporary.join(format!("host-{index}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/reelreeld");
        command.arg("--platform").env("REELREEL_CONFIG", &file).stdin(Stdio::null());
        spawn(command.stdout(log.try_clone()?).stderr(log))
    }

    fn start_engine(&self, index: usize, service: &str, ip: IpAddr) -> std::io::Result<Child> {
        let address = SocketAddr::new(ip, free_port(ip)?).to_string();
        let (id, platform) = (format!("i-{service}-{index}"), self.platform.address.to_string());
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["engine", &id, service, &address, &platform]).arg(self.engine_log());
        spawn(command.stdin(Stdio::piped()))
    }

    fn engine_log(&self) -> PathBuf {
        self.temporary.join("engines.txt")
    }

    /// Returns what the engines did, and copies it to the record.
    fn engine_notes(&self) -> String {
        let notes = fs::read_to_string(self.engine_log()).unwrap_or_default();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "\nwhat the engines did (Unix milliseconds)\n{notes}");
        notes
    }

    fn note(&self, text: &str) {
        let millis = self.began.elapsed().as_millis();
        let _ = writeln!(self.record.lock().unwrap(), "{millis:>6} ms  {text}");
    }

    /// Sends requests at once, to the hosts in turn; returns the threads that read the answers.
    fn send(&self, name: &str, count: usize, kind: Kind) -> Vec<JoinHandle<Seen>> {
        let requests = (0..count).map(|number| {
            let host = self.addresses[number % HOSTS];
            let id = format!("{name}-{number}");
            thread::spawn(move || client::send(host, &id, kind, "", Duration::from_secs(15)))
        });
        requests.collect()
    }

    /// Notes what a client saw of an answer; returns whether it looked complete and was not.
    fn judge(&self, seen: &Seen) -> bool {
        let (rule, whole) = match seen.kind {
            Kind::Stream | Kind::Resumable => {
                ("ORDER", (1..=EVENTS).map(|number| event(&seen.id, number)).collect::<String>())
            }
            Kind::Draft => {
                ("MIXED", (1..=EVENTS).map(|number| plain_part(&seen.id, number)).collect())
            }
            Kind::Plain => {
                ("MIXED", (1..=PLAIN_PARTS).map(|number| plain_part(&seen.id, number)).collect())
            }
        };
        let is_success = (200..300).contains(&seen.status);
        let short = is_success && seen.end == End::Complete && seen.body != whole.as_bytes();
        let verdict = if short { format!("  <- {rule} broken") } else { String::new() };
        self.note(&format!(
            "client {}: status {}, signed {}, framing {}, {} of {} body bytes, {:?} after {} ms{verdict}",
            seen.id,
            seen.status,
            seen.signed,
            seen.framing,
            seen.body.len(),
            whole.len(),
            seen.end,
            seen.after.as_millis()
        ));
        short
    }
}

/// Runs a scenario; returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.
pub fn run(name: &str, folder: &str) -> i32 {
    start_watchdog();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let start = if name == "revoked" { TENANT_START } else { PLAIN_START };
    let configuration = format!("{start}{CONFIGURATION}");
    let mut site = match Site::start(Path::new(folder), &configuration) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("cannot run: {error}");
            return 2;
        }
    };
    let outcome = match name {
        "crash" => crash(&mut site, trouble),
        "leaving" => leaving(&mut site, trouble),
        "spoiled" => spoiled(&mut site, trouble),
        "uploads" => uploads(&mut site, trouble),
        "revoked" => revoked(&mut site, trouble),
        _ => Err(std::io::Error::other("there is no such scenario")),
    };
    match outcome {
        Ok(broken) => i32::from(broken),
        Err(error) => {
            eprintln!("cannot run: {error}");
            2
        }
    }
}

/// Judges the answers to all requests; returns whether a rule was broken.
fn judge_all(site: &Site, requests: Vec<JoinHandle<Seen>>) -> std::io::Result<bool> {
    let seen: Vec<Seen> = requests.into_iter().filter_map(|request| request.join().ok()).collect();
    let complete = seen.iter().filter(|seen| seen.status == 200 && seen.end == End::Complete);
    let complete = complete.count();
    let short = seen.iter().filter(|seen| site.judge(seen)).count();
    let summary = format!(
        "{} requests, {complete} answers with success that look complete, {short} of them not as the engine made them",
        seen.len()
    );
    site.note(&summary);
    println!("{summary}");
    site.engine_notes();
    if complete == 0 {
        return Err(std::io::Error::other("no request was served"));
    }
    Ok(short > 0)
}

/// One of twelve engines is taken away at short notice, while its answers run.
fn leaving(site: &mut Site, trouble: bool) -> std::io::Result<bool> {
    let mut requests = site.send("stream", 400, Kind::Stream);
    requests.extend(site.send("draft", 300, Kind::Draft));
    site.note("400 streams and 300 other requests sent; their answers take 4 s, 35 have no length");
    thread::sleep(Duration::from_millis(400));
    if trouble {
        if let Some(input) = &mut site.engines[0].stdin {
            input.write_all(b"drain 2000\n")?;
        }
        site.note("engine i-assist-0 says that it is draining, with remaining_ms 2000");
        thread::sleep(Duration::from_millis(2000));
        kill(&mut site.engines[0]);
        site.note("engine i-assist-0 is gone");
    }
    judge_all(site, requests)
}

/// Two of twelve engines crash, while their answers run.
fn crash(site: &mut Site, trouble: bool) -> std::io::Result<bool> {
    let mut requests = site.send("stream", 400, Kind::Stream);
    requests.extend(site.send("draft", 300, Kind::Draft));
    site.note("400 streams and 300 other requests sent; their answers take 4 s, 35 have no length");
    thread::sleep(Duration::from_millis(2500));
    if trouble {
        site.engines[..2].iter_mut().for_each(kill);
        site.note("engines i-assist-0 and i-assist-1 crash: their processes are killed");
    }
    judge_all(site, requests)
}

/// One of forty answers is spoiled and broken off.
fn spoiled(site: &mut Site, trouble: bool) -> std::io::Result<bool> {
    let mut requests = site.send("resumable", 39, Kind::Resumable);
    let id = format!("resumable-39{}", if trouble { SPOILED } else { "" });
    let host = site.addresses[0];
    let deadline = Duration::from_secs(15);
    requests.push(thread::spawn(move || client::send(host, &id, Kind::Resumable, "", deadline)));
    site.note("40 resumable streams sent");
    judge_all(site, requests)
}

/// Resident memory of a process. Unit: megabytes.
fn memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0);
    kilobytes / 1024
}

/// Clients send bodies in chunks, six times; the platform hands each time's connections to one of
/// the first two hosts, or spreads them over all.
///
/// A host that goes over its memory is killed, and started again after half a second.
fn uploads(site: &mut Site, trouble: bool) -> std::io::Result<bool> {
    const UPLOADS: usize = 80;
    const BODY_BYTES: usize = 4_000_000;
    let mut kills = [0; HOSTS];
    let mut lost = 0;
    for round in 0..6 {
        let target = round % 2;
        let streams: Vec<_> = site.send(&format!("stream-{round}"), 28, Kind::Stream);
        let uploads = (0..UPLOADS).map(|number| {
            let host = site.addresses[if trouble { target } else { number % HOSTS }];
            let id = format!("upload-{round}-{number}");
            thread::spawn(move || client::upload(host, &id, BODY_BYTES, Duration::from_secs(4)))
        });
        let uploads: Vec<_> = uploads.collect();
        let to = if trouble { format!("host {target}") } else { "all hosts".to_owned() };
        site.note(&format!("round {round}: 28 streams to all hosts, {UPLOADS} uploads to {to}"));
        let until = Instant::now() + Duration::from_millis(5500);
        let (mut peak, mut restarts) = ([0; HOSTS], Vec::new());
        while Instant::now() < until {
            for index in 0..HOSTS {
                let used = memory(site.hosts[index].id());
                peak[index] = used.max(peak[index]);
                if used > MEMORY_MB {
                    kill(&mut site.hosts[index]);
                    kills[index] += 1;
                    site.note(&format!("host {index} takes {used} MB and is killed for that"));
                    restarts.push((index, Instant::now() + Duration::from_millis(500)));
                }
            }
            while let Some((index, _)) = restarts.pop_if(|(_, at)| Instant::now() >= *at) {
                site.hosts[index] = site.start_host(index, false)?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        site.note(&format!("most memory of each host, MB: {peak:?}"));
        let mut ends: Vec<String> = Vec::new();
        for upload in uploads {
            ends.push(match upload.join() {
                Ok(Ok(status)) => format!("answered {status}"),
                Ok(Err(error)) => error,
                Err(_) => "client failed".to_owned(),
            });
        }
        ends.sort();
        for group in ends.chunk_by(|left, right| left == right) {
            site.note(&format!("{} uploads: {}", group.len(), group[0]));
        }
        for seen in streams.into_iter().filter_map(|stream| stream.join().ok()) {
            site.judge(&seen);
            lost += usize::from(seen.status == 200 && seen.end != End::Complete);
        }
        let ready_by = Instant::now() + Duration::from_secs(5);
        while !(0..HOSTS).all(|index| site.is_ready(index)) && Instant::now() < ready_by {
            thread::sleep(Duration::from_millis(50));
        }
    }
    let thrice = kills.iter().filter(|kills| **kills >= 3).count();
    let summary = format!(
        "kills for memory by host: {kills:?}; {thrice} hosts three times or more; {lost} streams cut off"
    );
    site.note(&summary);
    println!("{summary}");
    site.engine_notes();
    // A tenth of the machines in use, two at least.
    Ok(thrice >= 2)
}

/// A key is taken away. Later the store comes back from a copy, and three of seven hosts are killed.
fn revoked(site: &mut Site, trouble: bool) -> std::io::Result<bool> {
    const KILLED: usize = 3;
    let send = |site: &Site, name: &str, key: &str, host: usize| {
        let deadline = Duration::from_secs(3);
        let seen = client::send(site.addresses[host], name, Kind::Plain, key, deadline);
        site.note(&format!(
            "client {name} with {key} at host {host}: status {}, {:?}",
            seen.status, seen.end
        ));
    };
    send(site, "before-one", "key-one", 0);
    send(site, "before-two", "key-two", 0);
    let copy = site.platform.copy();
    site.note("a copy of the store is made");
    thread::sleep(Duration::from_millis(500));
    let next = format!("{REVOKED_START}{CONFIGURATION}");
    site.platform.write("keyed.op", "config", next.as_bytes());
    site.note("the store acknowledges configuration 8, which takes key-two away");
    thread::sleep(Duration::from_millis(5500));
    site.note("5500 ms later: no request with key-two that is sent from now on may run");
    send(site, "late-first", "key-two", 1);
    if trouble {
        site.hosts[..KILLED].iter_mut().for_each(kill);
        site.platform.restore(copy);
        site.note("hosts 0 to 2 are killed, and the store comes back from the copy, 6 s old");
        thread::sleep(Duration::from_millis(500));
        for index in 0..KILLED {
            site.hosts[index] = site.start_host(index, false)?;
        }
        site.note("they are started again; the others have run all the while");
    }
    let until = Instant::now() + Duration::from_millis(1500);
    thread::scope(|scope| {
        for host in 0..HOSTS {
            let site = &*site;
            scope.spawn(move || {
                for number in (0..).take_while(|_| Instant::now() < until) {
                    send(site, &format!("late-{host}-{number}"), "key-two", host);
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    site.platform.write("keyed.op", "config", next.as_bytes());
    site.note("the operator has written configuration 8 again");
    thread::sleep(Duration::from_secs(3));
    send(site, "after-one", "key-one", 0);
    send(site, "after-two", "key-two", 0);
    let engines = site.engine_notes();
    let ran = |name: &str| {
        engines.lines().filter(|line| line.contains(&format!("runs {name}"))).count()
    };
    let late = ran("late-");
    let summary = format!("engines ran {late} requests with key-two that were sent over 5500 ms after the acknowledgement");
    site.note(&summary);
    println!("{summary}");
    if ran("before-") != 2 {
        return Err(std::io::Error::other("the keys did not work before"));
    }
    Ok(late > 0)
}
