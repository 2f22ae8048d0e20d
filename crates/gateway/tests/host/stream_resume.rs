//! Streams whose adapter lives on one engine and that are cut midway: they go on at that engine, or
//! at another one that loads the adapter.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    codec::DEADLINE,
    cold_requests::start_failing_placers,
    cut_response::{
        CUT_EVENTS, ClaimedEnd, ClientView, ConnectionEnd, CutResponse, Delimiter, event_body,
    },
    engine::{EngineBehaviour, StandInEngine},
    site::{LOOSE_TIMEOUTS_REVISION, MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

/// Number of engines that hold adapters.
const HOLDERS: usize = 10;

/// Number of adapters that only one engine holds, for each engine.
const ADAPTERS: usize = 2;

/// Part of the streams that are cut once which have to go on to their end.
const MIN_WHOLE_SHARE: f64 = 0.95;

/// Time after which a host uses an engine again that has interrupted a response.
const BACKOFF: Duration = Duration::from_millis(500);

/// Number of events of a long stream; it takes some 600 ms of the 1.5 s that tight timeouts leave.
const LONG_EVENTS: u32 = 24;

/// Time that a client leaves for an answer that it gets in one piece: three times that of a load.
const CLIENT_DEADLINE: Duration = Duration::from_millis(900);

/// Upper limit of the time until a stream that can't go on is reset: half of what its client waits
/// for an event. Leaves room for a busy machine.
const RESET_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a long stream is cut.
const CUT_AFTER: Duration = Duration::from_millis(200);

/// Time for which a placer has been acting before streams begin. It takes loads for recent ones in
/// the first 600 ms of its process.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Engines of which each holds adapters that no other engine holds, and engines with the base model
/// alone.
struct SingleCopySite {
    site: TestSite,
    holders: Vec<StandInEngine>,
    host: TestHost,
}

fn adapter(holder: usize, number: usize) -> String {
    format!("{MODEL_NAME}/only-{holder}-{number}")
}

fn adapters_of(holder: usize) -> Vec<String> {
    (0..ADAPTERS).map(|number| adapter(holder, number)).collect()
}

impl SingleCopySite {
    fn start(name: &str, holders: usize, loose_timeouts: bool) -> Self {
        let site = TestSite::start();
        let start_holder = |holder: usize| {
            let name = format!("holder-{holder}");
            let adapters = adapters_of(holder);
            let mut models = vec![MODEL_NAME];
            models.extend(adapters.iter().map(String::as_str));
            let engine = StandInEngine::start_crashable(&name, &models, free_address(), &[]);
            site.store.put("engines", &name, &engine.entry("assist", false));
            engine
        };
        let holders: Vec<_> = (0..holders).map(start_holder).collect();
        if loose_timeouts {
            site.store.put("configuration", "routes", &LOOSE_TIMEOUTS_REVISION.to_string());
        }
        let host = site.host_with_large_retry_budget(name);
        let listed = i64::try_from(holders.len() + 3).expect("a few engines");
        wait_until("the engines are listed", || host.shared.metrics.engines.get() == listed);
        wait_until("the host places", || host.shared.metrics.leases.get() > 0);
        thread::sleep(SETTLING_TIME);
        Self { site, holders, host }
    }

    fn set_behaviours(&self, behaviours: &[EngineBehaviour]) {
        let engines = self.site.engines.iter().chain(&self.holders);
        engines.for_each(|engine| engine.set_behaviours(behaviours));
    }

    /// Sends one stream for each adapter at the same time while `meanwhile` runs; returns what the
    /// clients got.
    fn send_all(&self, adapters: &[String], meanwhile: impl FnOnce()) -> Vec<ClientView> {
        for key in adapters {
            let table = self.host.shared.table.borrow();
            let copies = table.copies.get(key.as_str()).map_or(0, Vec::len);
            assert_eq!(copies, 1, "{key} has {copies} copies");
        }
        thread::scope(|scope| {
            let streams = adapters.iter().map(|key| scope.spawn(|| self.send(key)));
            let streams: Vec<_> = streams.collect();
            meanwhile();
            streams.into_iter().map(|stream| stream.join().expect("a response")).collect()
        })
    }

    fn send(&self, key: &str) -> ClientView {
        self.send_on("/resumable/a", key, "")
    }

    /// Sends a request on a route, with further header fields.
    fn send_on(&self, path: &str, key: &str, fields: &str) -> ClientView {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let fields = format!("X-Request: resumed-{number}\r\nX-Model: {key}\r\n{fields}");
        ClientView::parse(&self.host.post(path, &fields, "{}"))
    }

    /// Returns the causes for which streams were not resumed, for messages.
    fn resume_failures(&self) -> String {
        let metrics = self.host.shared.metrics.encode();
        let lines = metrics.lines().filter(|line| line.contains("resume_failures_total{"));
        lines.collect::<Vec<_>>().join(", ")
    }
}

/// Returns what is wrong if too few streams are whole.
///
/// # Panics
/// Panics if a stream claims to be complete and isn't.
fn loss(site: &SingleCopySite, case: &str, views: &[ClientView], body: &str) -> Option<String> {
    for view in views {
        let claims_whole = view.status == 200 && view.end == ClaimedEnd::Complete;
        assert!(!claims_whole || view.body == body, "{case}: {view:?}");
    }
    let whole = views.iter().filter(|view| view.looks_whole() && view.body == body).count();
    let share = whole as f64 / views.len() as f64;
    println!("{case}: {whole} of {} streams went on to their end", views.len());
    (share < MIN_WHOLE_SHARE).then(|| {
        let failures = site.resume_failures();
        format!("{case}: {whole} of {} streams went on to their end; {failures}", views.len())
    })
}

/// Returns the body of a stream of that many events.
fn stream_body(events: u32) -> String {
    let events = (0..events).map(|number| format!("id: {number}\ndata: {number}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// A way in which streams are cut while their engine lives on.
struct CutCase {
    name: &'static str,
    delimiter: Delimiter,
    /// Number of bytes of the body that are sent.
    sent_bytes: fn(usize) -> usize,
    end: ConnectionEnd,
    loose_timeouts: bool,
}

const CUT_CASES: &[CutCase] = &[
    CutCase {
        name: "reset between events",
        delimiter: Delimiter::Chunks,
        sent_bytes: |length| length / 2,
        end: ConnectionEnd::Reset,
        loose_timeouts: false,
    },
    CutCase {
        name: "closed without the last chunk",
        delimiter: Delimiter::Chunks,
        sent_bytes: |length| length / 2,
        end: ConnectionEnd::Close,
        loose_timeouts: false,
    },
    CutCase {
        name: "closed within an event",
        delimiter: Delimiter::Connection,
        sent_bytes: |length| length / 2 + 3,
        end: ConnectionEnd::Close,
        loose_timeouts: false,
    },
    CutCase {
        name: "reset before the end of its length, loose timeouts",
        delimiter: Delimiter::Length,
        sent_bytes: |length| length / 2,
        end: ConnectionEnd::Reset,
        loose_timeouts: true,
    },
];

/// Guards against interrupted streams that are given up because only the engine that interrupted
/// them holds their adapter.
#[test]
fn a_cut_stream_goes_on_although_one_engine_holds_its_adapter() {
    let mut losses = Vec::new();
    for (number, case) in CUT_CASES.iter().enumerate() {
        let site = SingleCopySite::start(&format!("cut-{number}"), HOLDERS, case.loose_timeouts);
        let cut = CutResponse {
            delimiter: case.delimiter,
            sent_bytes: (case.sent_bytes)(event_body(0).len()),
            end: case.end,
            further: case.delimiter,
        };
        site.set_behaviours(&[EngineBehaviour::Cut(cut)]);
        let mut views = Vec::new();
        for number in 0..ADAPTERS {
            let adapters: Vec<_> = (0..HOLDERS).map(|holder| adapter(holder, number)).collect();
            views.extend(site.send_all(&adapters, || {}));
            thread::sleep(BACKOFF);
        }
        losses.extend(loss(&site, case.name, &views, &event_body(0)));
    }
    assert!(losses.is_empty(), "{}", losses.join("\n"));
}

/// Guards against streams that are given up when the only engine with their adapter ends, although
/// others can load it.
#[test]
fn a_stream_goes_on_elsewhere_after_the_only_engine_with_its_adapter_has_ended() {
    let mut losses = Vec::new();
    for loose_timeouts in [false, true] {
        let site = SingleCopySite::start("ended-holders", HOLDERS, loose_timeouts);
        site.set_behaviours(&[EngineBehaviour::Stream(LONG_EVENTS)]);
        let mut views = Vec::new();
        for holder in 0..HOLDERS / 2 {
            let adapters = adapters_of(holder);
            // Two streams of each adapter.
            let adapters = [&adapters[..], &adapters[..]].concat();
            views.extend(site.send_all(&adapters, || {
                thread::sleep(CUT_AFTER);
                site.holders[holder].crash();
            }));
            // As its supervisor does.
            site.site.store.put("engines", &site.holders[holder].name, "");
        }
        let name = if loose_timeouts { "loose timeouts" } else { "tight timeouts" };
        losses.extend(loss(&site, name, &views, &stream_body(LONG_EVENTS)));
    }
    assert!(losses.is_empty(), "{}", losses.join("\n"));
}

/// Guards against streams that are given up when the only engine with their adapter cuts them time
/// and again, although others can load it.
#[test]
fn a_stream_leaves_the_only_engine_with_its_adapter_if_it_cuts_it_twice() {
    let site = SingleCopySite::start("cut-twice", HOLDERS, true);
    let mut views = Vec::new();
    for (number, holder) in site.holders.iter().enumerate() {
        site.set_behaviours(&[EngineBehaviour::Stream(CUT_EVENTS)]);
        holder.set_behaviours(&[EngineBehaviour::TruncateStream(3)]);
        let adapters = adapters_of(number);
        views.extend(site.send_all(&adapters, || {}));
    }
    let loss = loss(&site, "cut twice", &views, &event_body(0));
    assert!(loss.is_none(), "{}", loss.unwrap_or_default());
}

/// Guards against a stream that goes on at another software version because only engines of that one
/// load its adapter.
#[test]
fn an_adapter_is_loaded_at_the_software_version_of_an_interrupted_stream() {
    let site = TestSite::start();
    for engine in &site.engines {
        site.store.put("engines", &engine.name, "");
    }
    let key = format!("{MODEL_NAME}/versioned");
    let start = |name: &str, software: &str, models: &[&str]| {
        let engine = StandInEngine::start_crashable(name, models, free_address(), &[]);
        engine.set_behaviours(&[EngineBehaviour::Stream(LONG_EVENTS)]);
        site.store.put("engines", name, &engine.entry_with_software("assist", software));
        engine
    };
    let others = ["v2-a", "v2-b", "v2-c"].map(|name| start(name, "v2", &[MODEL_NAME]));
    let only = start("v1-only", "v1", &[MODEL_NAME, &key]);
    let same = start("v1-same", "v1", &[MODEL_NAME]);
    let host = site.host_with_large_retry_budget("versioned");
    wait_until("the engines are listed", || host.shared.metrics.engines.get() == 6);
    wait_until("the host places", || host.shared.metrics.leases.get() > 0);
    thread::sleep(SETTLING_TIME);
    let fields = format!("X-Request: versioned\r\nX-Model: {key}\r\n");
    let view = thread::scope(|scope| {
        let stream = scope.spawn(|| ClientView::parse(&host.post("/resumable/a", &fields, "{}")));
        thread::sleep(CUT_AFTER);
        only.crash();
        stream.join().expect("a response")
    });
    assert!(view.looks_whole() && view.body == stream_body(LONG_EVENTS), "{view:?}");
    assert_eq!(same.runs().len(), 1);
    assert!(others.iter().all(|engine| engine.runs().is_empty()));
}

/// Guards against a stream that is held to its deadline although nothing can resume it.
#[test]
fn a_stream_that_nothing_can_resume_is_reset_at_once() {
    struct HopelessCase {
        name: &'static str,
        /// Whether other engines could load the adapter, but no placer answers.
        others_live: bool,
    }
    let cases = [
        HopelessCase { name: "no other engine", others_live: false },
        HopelessCase { name: "no placer", others_live: true },
    ];
    for HopelessCase { name, others_live } in cases {
        let site = SingleCopySite::start("hopeless", 1, true);
        site.set_behaviours(&[EngineBehaviour::Stream(LONG_EVENTS)]);
        if others_live {
            start_failing_placers(&site.site, &site.host, None);
        } else {
            for engine in &site.site.engines {
                site.site.store.put("engines", &engine.name, "");
            }
            wait_until("others are gone", || site.host.shared.metrics.engines.get() == 2);
        }
        let mut cut_at = Instant::now();
        let views = site.send_all(&[adapter(0, 0)], || {
            thread::sleep(CUT_AFTER);
            site.holders[0].crash();
            cut_at = Instant::now();
        });
        assert!(cut_at.elapsed() < RESET_LIMIT, "{name}: reset after {:?}", cut_at.elapsed());
        assert_eq!(views[0].status, 200, "{name}");
        assert_eq!(views[0].end, ClaimedEnd::BrokenOff, "{name}");
    }
}

/// Guards against a stream that waits on, or is sent on, after its client has left.
#[test]
fn a_client_that_leaves_ends_the_wait_of_its_interrupted_stream() {
    let site = SingleCopySite::start("left-waiting", 1, true);
    site.set_behaviours(&[EngineBehaviour::Stream(LONG_EVENTS)]);
    start_failing_placers(&site.site, &site.host, Some(Duration::from_millis(1500)));
    let mut socket = TcpStream::connect(site.host.client_address).expect("a connection");
    let request = format!(
        "POST /resumable/a HTTP/1.1\r\nHost: site.example\r\nX-Request: left-waiting\r\n\
         X-Model: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        adapter(0, 0)
    );
    socket.write_all(request.as_bytes()).expect("the request is sent");
    let (mut text, mut bytes) = (String::new(), [0; 1024]);
    while !text.contains("data: 3\n") {
        let count = socket.read(&mut bytes).expect("the stream goes on");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    site.holders[0].crash();
    let open_requests = || site.host.shared.metrics.open_requests.get();
    // Longer than a stream waits without the estimate of a load.
    thread::sleep(Duration::from_millis(600));
    assert_eq!(open_requests(), 1, "the stream does not wait for the load");
    let left_at = Instant::now();
    drop(socket);
    wait_until("the wait ends", || open_requests() == 0);
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
    assert!(site.site.engines.iter().all(|engine| engine.runs().is_empty()));
}

/// Guards against requests that may run again and get no whole answer because the only engine with
/// their adapter broke off before the client got anything.
#[test]
fn a_repeatable_request_runs_again_although_one_engine_holds_its_adapter() {
    struct RepeatCase {
        name: &'static str,
        path: &'static str,
        end: ConnectionEnd,
    }
    let cases = [
        RepeatCase { name: "buffered, reset", path: "/repeatable/a", end: ConnectionEnd::Reset },
        RepeatCase { name: "stream, reset", path: "/resumable/a", end: ConnectionEnd::Reset },
        RepeatCase {
            name: "buffered, engine ends",
            path: "/repeatable/a",
            end: ConnectionEnd::ProcessEnd,
        },
        RepeatCase {
            name: "stream, engine ends",
            path: "/resumable/a",
            end: ConnectionEnd::ProcessEnd,
        },
    ];
    let mut losses = Vec::new();
    for RepeatCase { name, path, end } in cases {
        let site = SingleCopySite::start("repeated", HOLDERS, false);
        let cut = CutResponse {
            delimiter: Delimiter::Length,
            sent_bytes: 5,
            end,
            further: Delimiter::Length,
        };
        site.set_behaviours(&[EngineBehaviour::Cut(cut)]);
        let deadline = format!("{DEADLINE}: {}\r\n", CLIENT_DEADLINE.as_millis());
        let send = |holder| site.send_on(path, &adapter(holder, 0), &deadline);
        let views: Vec<_> = (0..HOLDERS).map(send).collect();
        losses.extend(loss(&site, name, &views, &event_body(0)));
    }
    assert!(losses.is_empty(), "{}", losses.join("\n"));
}
