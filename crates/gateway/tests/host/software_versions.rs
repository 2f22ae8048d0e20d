//! Engines of several software versions in one service: a stream goes on only at the version that
//! began it, within a response and over the attempts of its client.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use reelreel_stand_ins::connection::ServedRequest;

use crate::{
    codec::{REQUEST, RESUME_AFTER, RESUMES},
    engine::{EngineBehaviour, StandInEngine},
    site::{LOOSE_TIMEOUTS_REVISION, MODEL_NAME, TestHost, TestSite, wait_until},
};

const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Number of events of a stream.
const EVENTS: u32 = 40;

/// Number of events after which a client leaves.
const READ_EVENTS: u32 = 4;

/// Number of streams that are resumed for one case.
const STREAMS: u32 = 12;

/// Time for which hosts know both software versions before streams begin.
const SETTLING_TIME: Duration = Duration::from_millis(2500);

/// Time until an attempt's software version is known to other hosts.
const NOTICE_TIME: Duration = Duration::from_millis(400);

/// Time until it is in the store, and until a host that starts has read it.
const SAVE_TIME: Duration = Duration::from_millis(700);

/// Time within which a request that can't be resumed is refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(400);

/// Hosts, and two engines of each of two software versions.
struct SoftwareSite {
    site: TestSite,
    engines: Vec<StandInEngine>,
    hosts: Vec<TestHost>,
}

impl SoftwareSite {
    /// Starts engines that hold `models` in alternating software versions, and hosts.
    fn start(hosts: usize, models: impl Fn(usize) -> &'static [&'static str]) -> Self {
        let site = TestSite::start();
        site.store.put("engines", "engine-1", "");
        site.store.put("engines", "engine-2", "");
        let start_engine = |index: usize| {
            let name = format!("versioned-{index}");
            let engine = StandInEngine::start(&name, models(index));
            engine.set_behaviours(&[EngineBehaviour::Stream(EVENTS)]);
            let entry = engine.entry_with_software("assist", VERSIONS[index % 2]);
            site.store.put("engines", &name, &entry);
            engine
        };
        let engines: Vec<_> = (0..4).map(start_engine).collect();
        site.store.put("configuration", "routes", &LOOSE_TIMEOUTS_REVISION.to_string());
        let hosts: Vec<_> =
            (0..hosts).map(|index| site.host(&format!("software-{index}"))).collect();
        for host in &hosts {
            wait_until("all engines are listed", || host.shared.metrics.engines.get() == 5);
        }
        std::thread::sleep(SETTLING_TIME);
        Self { site, engines, hosts }
    }

    /// Returns the software version at which an attempt ran last.
    fn version_of(&self, id: &str) -> Option<&'static str> {
        let ran = |request: &ServedRequest| request.head.fields.text(REQUEST) == Some(id);
        let index = self.engines.iter().position(|engine| engine.runs().iter().any(ran))?;
        Some(VERSIONS[index % 2])
    }

    /// Begins a stream at a host and leaves it after some events; returns the attempt.
    fn begin_stream(&self, host: usize, model: &str) -> String {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let id = format!("begun-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let mut socket = TcpStream::connect(self.hosts[host].client_address).expect("a connection");
        let request = format!(
            "POST /resumable/a HTTP/1.1\r\nHost: site.example\r\n{}Content-Length: 2\r\n\r\n{{}}",
            fields(&id, model)
        );
        socket.write_all(request.as_bytes()).expect("the request is sent");
        let (mut text, mut bytes) = (String::new(), [0; 1024]);
        while !text.contains(&format!("data: {}\n", READ_EVENTS - 1)) {
            let count = socket.read(&mut bytes).expect("the stream goes on");
            assert!(count > 0, "the stream ended after {text}");
            text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        id
    }

    /// Resumes a stream at a host; returns the attempt and the response.
    fn resume(&self, host: usize, begun_as: &str, model: &str) -> (String, String) {
        self.resume_as(host, Some(begun_as), model)
    }

    /// The same for a client that may not name the attempt that began its stream.
    fn resume_as(&self, host: usize, begun_as: Option<&str>, model: &str) -> (String, String) {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let id = format!("resumed-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let after = READ_EVENTS - 1;
        let begun_as = begun_as.map(|begun_as| format!("{RESUMES}: {begun_as}\r\n"));
        let resumes = format!("{RESUME_AFTER}: {after}\r\n");
        let fields = fields(&id, model) + &begun_as.unwrap_or_default() + &resumes;
        let response = self.hosts[host].post("/resumable/a", &fields, "{}");
        (id, response)
    }

    /// Resumes streams at other hosts than those that began them; returns the number that went on.
    fn resume_all(&self, begun: &[String], host: usize) -> u32 {
        let mut went_on = 0;
        for begun_as in begun {
            let began_at = self.version_of(begun_as).expect("it ran");
            let (id, response) = self.resume(host, begun_as, MODEL_NAME);
            if !response.starts_with("HTTP/1.1 200") {
                continue;
            }
            went_on += 1;
            assert_eq!(self.version_of(&id), Some(began_at), "{begun_as} went on as {id}");
            assert!(response.contains(&format!("data: {}\n", EVENTS - 1)), "{response}");
        }
        went_on
    }

    fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }
}

fn fields(id: &str, model: &str) -> String {
    format!("{REQUEST}: {id}\r\nX-Model: {model}\r\n")
}

const ALL_MODELS: fn(usize) -> &'static [&'static str] = |_| &[MODEL_NAME];

/// Guards against events of two software versions in one response.
#[test]
fn a_response_has_events_of_one_software_version() {
    let site = SoftwareSite::start(1, ALL_MODELS);
    for index in [0, 1] {
        site.engines[index].set_behaviours(&[EngineBehaviour::TruncateStream(3)]);
    }
    let mut went_on = 0;
    for number in 0..STREAMS {
        let id = format!("joined-{number}");
        let response = site.hosts[0].post("/resumable/a", &fields(&id, MODEL_NAME), "{}");
        let ran = |request: &ServedRequest| request.head.fields.text(REQUEST) == Some(&id);
        let ran_at: Vec<usize> =
            (0..4).filter(|index| site.engines[*index].runs().iter().any(ran)).collect();
        let versions: std::collections::BTreeSet<_> = ran_at.iter().map(|at| at % 2).collect();
        assert!(versions.len() < 2, "{id} ran at {ran_at:?}: {response}");
        went_on += u32::from(ran_at.len() == 2 && response.ends_with("0\r\n\r\n"));
    }
    assert!(went_on > 0, "no stream was resumed");
}

/// Guards against a stream that its client resumes at an engine of another software version.
#[test]
fn a_client_resumes_its_stream_at_the_software_version_that_began_it() {
    let site = SoftwareSite::start(3, ALL_MODELS);
    let begun: Vec<_> = (0..STREAMS).map(|_| site.begin_stream(0, MODEL_NAME)).collect();
    std::thread::sleep(NOTICE_TIME);
    assert_eq!(site.resume_all(&begun, 1), STREAMS);
    assert_eq!(site.resume_all(&begun, 2), STREAMS, "when they are resumed a second time");
}

/// Guards against streams that go on at a guess, or not at all, when the host that began them has
/// ended.
#[test]
fn streams_are_resumed_after_the_host_that_began_them_has_ended() {
    let mut site = SoftwareSite::start(4, ALL_MODELS);
    let begun: Vec<_> = (0..STREAMS).map(|_| site.begin_stream(3, MODEL_NAME)).collect();
    std::thread::sleep(NOTICE_TIME);
    site.hosts.pop().expect("a fourth host").stop();
    assert_eq!(site.resume_all(&begun, 0), STREAMS);
}

/// Guards against streams that go on although nobody knows which software version began them.
#[test]
fn a_stream_of_unknown_software_version_is_not_resumed() {
    let site = SoftwareSite::start(2, ALL_MODELS);
    let unnamed = format!("{REQUEST}: unnamed\r\nX-Model: {MODEL_NAME}\r\n{RESUME_AFTER}: 3\r\n");
    let began = Instant::now();
    let response = site.hosts[0].post("/resumable/a", &unnamed, "{}");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("Retry-After: "), "{response}");
    let (_, response) = site.resume(1, "never-sent", MODEL_NAME);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(began.elapsed() < 2 * REFUSAL_LIMIT, "{:?}", began.elapsed());
    assert_eq!(site.runs(), 0);
}

/// Guards against streams that are refused although only one software version can have begun them, and
/// against ones that go on while another one may have.
#[test]
fn a_stream_without_its_origin_goes_on_while_one_software_version_serves() {
    let site = TestSite::start();
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(EVENTS)]);
    }
    let host = site.host("sole");
    let other = StandInEngine::start("other", &[MODEL_NAME]);
    let resume = |id: &str| {
        let fields = fields(id, MODEL_NAME) + &format!("{RESUME_AFTER}: 3\r\n");
        host.post("/resumable/a", &fields, "{}")
    };
    assert!(resume("sole").starts_with("HTTP/1.1 200"));
    site.store.put("engines", "other", &other.entry_with_software("assist", "v2"));
    wait_until("another version is listed", || host.shared.metrics.engines.get() == 4);
    assert!(resume("two").starts_with("HTTP/1.1 503"));
    site.store.put("engines", "other", "");
    wait_until("it is no longer listed", || host.shared.metrics.engines.get() == 3);
    assert!(resume("delisted").starts_with("HTTP/1.1 503"));
}

/// Guards against clients that wait for a software version that no engine runs any more.
#[test]
fn a_stream_whose_software_version_is_gone_is_refused_at_once() {
    let site = SoftwareSite::start(2, ALL_MODELS);
    let begun = site.begin_stream(0, MODEL_NAME);
    std::thread::sleep(NOTICE_TIME);
    let version = site.version_of(&begun).expect("it ran");
    for (index, engine) in site.engines.iter().enumerate() {
        if VERSIONS[index % 2] == version {
            site.site.store.put("engines", &engine.name, "");
        }
    }
    let host = &site.hosts[1];
    wait_until("the engines are no longer listed", || host.shared.metrics.engines.get() == 3);
    let (resumed_at, runs) = (Instant::now(), site.runs());
    let (_, response) = site.resume(1, &begun, MODEL_NAME);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(resumed_at.elapsed() < REFUSAL_LIMIT, "{:?}", resumed_at.elapsed());
    assert_eq!(site.runs(), runs);
}

/// Guards against streams that can't go on because their adapter is loaded only at engines of the
/// other software version.
#[test]
fn an_adapter_is_loaded_at_the_software_version_that_a_stream_needs() {
    const ADAPTER: &str = "base/a1";
    let site =
        SoftwareSite::start(
            2,
            |index| {
                if index < 2 { &[MODEL_NAME, ADAPTER] } else { &[MODEL_NAME] }
            },
        );
    let begun = site.begin_stream(0, ADAPTER);
    std::thread::sleep(NOTICE_TIME);
    let version = site.version_of(&begun).expect("it ran");
    let began_at = usize::from(version == VERSIONS[1]);
    site.site.store.put("engines", &site.engines[began_at].name, "");
    let host = &site.hosts[1];
    wait_until("the engine is no longer listed", || host.shared.metrics.engines.get() == 4);
    let (id, response) = site.resume(1, &begun, ADAPTER);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(site.version_of(&id), Some(version));
}

/// When the engines of one of two software versions leave, while all hosts are killed and started
/// again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Never,
    BeforeTheKill,
    WhileHostsAreDown,
    AfterTheStart,
}

/// Guards against streams that go on at another software version than theirs after all hosts have been
/// killed, since no host remembers that there was another one.
#[test]
fn streams_are_not_joined_after_all_hosts_were_killed() {
    let departures = [
        Departure::Never,
        Departure::BeforeTheKill,
        Departure::WhileHostsAreDown,
        Departure::AfterTheStart,
    ];
    let mut mistakes = Vec::new();
    for departure in departures {
        let mut site = SoftwareSite::start(2, ALL_MODELS);
        let begun: Vec<_> = (0..STREAMS).map(|_| site.begin_stream(0, MODEL_NAME)).collect();
        std::thread::sleep(NOTICE_TIME);
        let remaining = if departure == Departure::Never { 5 } else { 3 };
        let depart = |site: &SoftwareSite| {
            for engine in site.engines.iter().step_by(2) {
                site.site.store.put("engines", &engine.name, "");
            }
        };
        if departure == Departure::BeforeTheKill {
            depart(&site);
            let engines = || site.hosts[0].shared.metrics.engines.get();
            wait_until("the engines are no longer listed", || engines() == remaining);
        }
        site.hosts.clear();
        if departure == Departure::WhileHostsAreDown {
            depart(&site);
        }
        site.hosts =
            (0..2).map(|index| site.site.restarted_host(&format!("restarted-{index}"))).collect();
        if departure == Departure::AfterTheStart {
            depart(&site);
        }
        for host in &site.hosts {
            let engines = || host.shared.metrics.engines.get();
            wait_until("the engines are listed", || engines() == remaining);
        }
        for (number, begun_as) in begun.iter().enumerate() {
            let began_at = site.version_of(begun_as).expect("it ran");
            for is_named in [true, false] {
                let begun_as = is_named.then_some(begun_as.as_str());
                let (id, response) = site.resume_as(number % 2, begun_as, MODEL_NAME);
                let joined = site.version_of(&id).is_some_and(|version| version != began_at);
                if joined {
                    mistakes.push(format!("{departure:?}, named: {is_named}: {response:.12}"));
                }
            }
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}

/// Guards against streams that are refused after all hosts have been killed, although engines of their
/// software version serve.
#[test]
fn streams_are_resumed_after_all_hosts_were_killed() {
    let mut site = SoftwareSite::start(2, ALL_MODELS);
    for round in 0..2 {
        let begun: Vec<_> =
            (0..STREAMS).map(|number| site.begin_stream(number as usize % 2, MODEL_NAME)).collect();
        std::thread::sleep(SAVE_TIME);
        site.hosts.clear();
        site.hosts =
            (0..2).map(|index| site.site.restarted_host(&format!("software-{index}"))).collect();
        for host in &site.hosts {
            wait_until("the engines are listed", || host.shared.metrics.engines.get() == 5);
        }
        std::thread::sleep(SAVE_TIME);
        assert_eq!(site.resume_all(&begun, 0), STREAMS, "round {round}, first host");
        assert_eq!(site.resume_all(&begun, 1), STREAMS, "round {round}, second host");
    }
}
