//! Clients and engines that read slowly or not at all: what a host holds for them stays bounded, and
//! others are served meanwhile.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use reelreel_gateway::traffic::buffer_budget::{BufferBudget, LARGE_BODY_BYTES};

use crate::{
    engine::{EngineBehaviour, StandInEngine},
    site::{LOOSE_TIMEOUTS_REVISION, MODEL_NAME, TestHost, TestSite, read_all, wait_until},
};

/// The memory for bodies of a test host. Unit: bytes.
const BODY_MEMORY: i64 = 8 * 1024 * 1024;

/// The part of it that large bodies may take. Unit: bytes.
const LARGE_BODY_MEMORY: i64 = BODY_MEMORY / 4 * 3;

/// Maximum delay of an event, from the requirement on streams. Required of the fastest of several
/// streams, since other tests may take the processor for as long.
const EVENT_DELAY_LIMIT: Duration = Duration::from_millis(200);

/// Maximum delay of any event: a host that is held up by a reader goes on at the 1,500 ms deadline.
const HOLD_UP_LIMIT: Duration = Duration::from_millis(1200);

/// Asserts that none of several delays shows a host that is held up.
fn assert_not_held_up(delays: &[Duration]) {
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(least.is_some_and(|delay| *delay < EVENT_DELAY_LIMIT), "{delays:?}");
    assert!(most.is_some_and(|delay| *delay < HOLD_UP_LIMIT), "{delays:?}");
}

/// The size of a body just below the limit of the test configuration. Unit: bytes.
const BODY_BYTES: usize = 250 * 1024;

fn open(host: &TestHost, path: &str, fields: &str, body: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(host.client_address).expect("a connection");
    let head = format!("POST {path} HTTP/1.1\r\nHost: site.example\r\n{fields}\r\n");
    socket.write_all(head.as_bytes()).expect("the head is sent");
    // A host that has refused the body may reset the connection.
    let _ = socket.write_all(body);
    socket
}

fn open_stream(host: &TestHost, id: &str) -> TcpStream {
    let fields = format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\nContent-Length: 2\r\n");
    open(host, "/stream/a", &fields, b"{}")
}

/// Returns the longest pause between reads of a stream of `count` small events.
fn longest_pause(host: &TestHost, id: &str, count: usize) -> Duration {
    let mut socket = open_stream(host, id);
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    let (mut last, mut pause) = (Instant::now(), Duration::ZERO);
    while !text.ends_with("0\r\n\r\n") {
        let length = socket.read(&mut bytes).expect("the stream goes on");
        assert!(length > 0, "the stream ended after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..length]));
        pause = pause.max(last.elapsed());
        last = Instant::now();
    }
    assert_eq!(text.matches("data: ").count(), count, "{text}");
    pause
}

/// Observes the reserved memory until `done`, for at least one report of it; returns the most.
fn most_buffered(host: &TestHost, done: impl Fn() -> bool) -> i64 {
    let (began, mut most) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_millis(1200) || !done() {
        assert!(began.elapsed() < Duration::from_secs(12), "never done");
        most = most.max(host.shared.metrics.buffered_bytes.get());
        thread::sleep(Duration::from_millis(5));
    }
    most
}

struct BudgetCase {
    name: &'static str,
    /// Bodies reserved before, as parts of 1 MB.
    held: &'static [usize],
    bytes: usize,
    fits: bool,
}

const BUDGET_CASES: &[BudgetCase] = &[
    BudgetCase { name: "large into empty", held: &[], bytes: 700 << 10, fits: true },
    BudgetCase { name: "large beyond its part", held: &[], bytes: 800 << 10, fits: false },
    BudgetCase { name: "large beside large", held: &[600 << 10], bytes: 200 << 10, fits: false },
    BudgetCase { name: "small beside large", held: &[768 << 10], bytes: 64 << 10, fits: true },
    BudgetCase {
        name: "small into full",
        held: &[768 << 10, 64 << 10, 64 << 10, 64 << 10, 60 << 10],
        bytes: 8 << 10,
        fits: false,
    },
];

/// Guards against a sum of bodies beyond the budget, and against large ones that crowd out prompts.
#[test]
fn a_budget_bounds_the_sum_and_keeps_room_for_small_bodies() {
    for case in BUDGET_CASES {
        let budget = BufferBudget::new(1 << 20);
        let mut reservations = Vec::new();
        for bytes in case.held {
            let mut reservation = budget.reservation();
            assert!(reservation.try_reserve_by_size(*bytes), "{}: {bytes}", case.name);
            reservations.push(reservation);
        }
        let mut reservation = budget.reservation();
        assert_eq!(reservation.try_reserve_by_size(case.bytes), case.fits, "{}", case.name);
        drop((reservation, reservations));
        assert_eq!(budget.held(), 0, "{}: memory is not released", case.name);
    }
    assert_eq!(LARGE_BODY_BYTES, 64 << 10, "the cases rest on this size");
}

/// Guards against reading from an engine without bound, delaying others, and holding the engine
/// responsible for a client that doesn't read.
#[test]
fn a_client_that_stops_reading_its_stream_holds_up_only_itself() {
    let site = TestSite::start();
    let host = site.host("unread");
    let unlimited = EngineBehaviour::StreamUntilUnread(Duration::from_millis(1100));
    for engine in &site.engines {
        engine.set_behaviours(&[unlimited, EngineBehaviour::Stream(6)]);
    }
    let slow = open_stream(&host, "slow");
    let sent = || {
        let sums = site.engines.iter().map(StandInEngine::large_event_bytes_and_ends);
        sums.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    };
    wait_until("the stream runs", || sent().0 > 0);
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(6)]);
    }
    let mut pauses = Vec::new();
    while sent().1 == 0 {
        pauses.push(longest_pause(&host, "other", 6));
    }
    assert_not_held_up(&pauses);
    // What the systems of engine and host buffer; the engine could have sent some GB.
    assert!(sent().0 < 16 * 1024 * 1024, "{} bytes were read for a client", sent().0);
    let metrics = &host.shared.metrics;
    wait_until("the stream ends", || metrics.unread_responses.get() == 1);
    drop(slow);
    let text = metrics.encode();
    assert!(text.contains(r#"outcome="client_slow"} 1"#), "{text}");
    assert_eq!(metrics.quarantine.engines_ended.get(), 0, "the engine counts as crashed");
}

/// Guards against whole responses that are buffered without bound for clients that don't read.
#[test]
fn unread_responses_take_no_more_than_their_memory() {
    let site = TestSite::start();
    let host = site.host("unread-bodies");
    site.plain.set_behaviours(&[EngineBehaviour::LargeBody(4 * 1024 * 1024)]);
    let slow: Vec<TcpStream> = (0..20)
        .map(|number| {
            let fields = format!("X-Request: big{number}\r\nContent-Length: 2\r\n");
            open(&host, "/single/a", &fields, b"{}")
        })
        .collect();
    wait_until("all run", || site.plain.runs().len() == slow.len());
    site.plain.set_behaviours(&[EngineBehaviour::Echo]);
    let delay_of_small_answer = |number: usize| {
        let began = Instant::now();
        let response = host.post("/single/a", &format!("X-Request: small{number}\r\n"), "prompt");
        assert!(response.ends_with("prompt"), "{response}");
        began.elapsed()
    };
    let delays: Vec<Duration> = (0..5).map(delay_of_small_answer).collect();
    assert_not_held_up(&delays);
    let open_requests = &host.shared.metrics.open_requests;
    let most = most_buffered(&host, || open_requests.get() == 0);
    assert!(most > 0 && most <= LARGE_BODY_MEMORY, "{most} bytes were held");
    // The memory holds one such answer at a time; the others end at their deadlines.
    let responses: Vec<String> = slow.into_iter().map(|mut socket| read_all(&mut socket)).collect();
    let count = |status: &str| responses.iter().filter(|text| text.starts_with(status)).count();
    let (answered, expired) = (count("HTTP/1.1 200"), count("HTTP/1.1 504"));
    assert_eq!(answered + expired, responses.len(), "other statuses");
    assert!((1..=4).contains(&answered), "{answered} of {} were answered", responses.len());
}

/// Guards against chunked bodies that are counted only once they are complete.
#[test]
fn unfinished_bodies_take_no_more_than_their_memory() {
    let site = TestSite::start();
    let host = site.host("unfinished");
    let chunk = format!("{BODY_BYTES:x}\r\n{}", "x".repeat(BODY_BYTES));
    let sockets: Vec<TcpStream> = (0..60)
        .map(|number| {
            // The last client has less time than its route's timeout of 1,500 ms.
            let deadline = if number == 59 { "X-Deadline: 600\r\n" } else { "" };
            let fields =
                format!("X-Request: part{number}\r\n{deadline}Transfer-Encoding: chunked\r\n");
            open(&host, "/single/a", &fields, chunk.as_bytes())
        })
        .collect();
    let refused = &host.shared.metrics.buffers_refused;
    wait_until("large bodies are refused", || refused.get() > 0);
    let response = host.post("/single/a", "X-Request: small\r\n", "prompt");
    assert!(response.ends_with("prompt"), "a small body was refused: {response}");
    let most = most_buffered(&host, || true);
    assert!(most > 0 && most <= LARGE_BODY_MEMORY, "{most} bytes were held");
    let responses: Vec<String> =
        sockets.into_iter().map(|mut socket| read_all(&mut socket)).collect();
    let refusals: Vec<&String> =
        responses.iter().filter(|response| response.starts_with("HTTP/1.1 503")).collect();
    assert!(refusals.len() >= 30, "{} of 60 were refused", refusals.len());
    assert!(refusals.iter().all(|response| response.contains("X-Request: part")));
    // At most a third of the time that the client has.
    let told = |time: &str| {
        let field = format!("Retry-After: {time}\r\n");
        refusals.iter().filter(|response| response.contains(&field)).count()
    };
    assert_eq!((told("0.50"), told("0.20")), (refusals.len() - 1, 1));
    assert_eq!(site.plain.runs().len(), 1, "a refused request ran");
    wait_until("all memory is released", || host.shared.metrics.buffered_bytes.get() == 0);
}

/// Guards against memory that is bounded only where timeouts are tight.
#[test]
fn without_tight_timeouts_unfinished_bodies_take_no_more_than_their_memory() {
    let site = TestSite::without_configuration();
    let revision = LOOSE_TIMEOUTS_REVISION.to_string();
    site.store.put("configuration", "routes", &revision);
    let host = site.host("loose");
    let table = host.shared.table.borrow().clone();
    assert!(!table.routes.as_ref().is_some_and(|routes| routes.has_tight_timeouts()));
    let chunk = format!("{BODY_BYTES:x}\r\n{}", "x".repeat(BODY_BYTES));
    let sockets: Vec<TcpStream> = (0..60)
        .map(|number| {
            let fields = format!("X-Request: part{number}\r\nTransfer-Encoding: chunked\r\n");
            open(&host, "/single/a", &fields, chunk.as_bytes())
        })
        .collect();
    let most = most_buffered(&host, || true);
    assert!(most > 0 && most <= LARGE_BODY_MEMORY, "{most} bytes were held");
    let responses: Vec<String> =
        sockets.into_iter().map(|mut socket| read_part(&mut socket)).collect();
    let count = |status: &str| responses.iter().filter(|text| text.starts_with(status)).count();
    // The idle timeout ends those that had room.
    let (refused, timed_out) = (count("HTTP/1.1 503"), count("HTTP/1.1 408"));
    assert_eq!(refused + timed_out, responses.len(), "{responses:?}");
    assert!(refused >= 30 && timed_out >= 20, "{refused} of 60 were refused");
    assert_eq!(host.shared.metrics.buffers_refused.get(), refused as u64);
    assert!(site.plain.runs().is_empty(), "a refused request ran");
    wait_until("all memory is released", || host.shared.metrics.buffered_bytes.get() == 0);
}

/// Guards against bodies that stay in memory beyond their deadline because an engine doesn't read.
#[test]
fn an_engine_that_stops_reading_holds_bodies_only_until_their_deadline() {
    let site = TestSite::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || listener.incoming().flatten().collect::<Vec<TcpStream>>());
    let entry = site.plain.entry("plain", false);
    let unread = entry.replace(&site.plain.address.to_string(), &address);
    site.store.put("engines", "plain-1", &unread);
    let host = site.host("unread-engine");
    let body = "x".repeat(BODY_BYTES);
    let send = |number: usize| {
        let fields = format!("X-Request: b{number}\r\nContent-Length: {BODY_BYTES}\r\n");
        open(&host, "/single/a", &fields, body.as_bytes())
    };
    let began = Instant::now();
    let sockets: Vec<TcpStream> = (0..40).map(send).collect();
    let responses: Vec<String> =
        sockets.into_iter().map(|mut socket| read_part(&mut socket)).collect();
    let count = |status: &str| responses.iter().filter(|text| text.starts_with(status)).count();
    assert!(began.elapsed() < Duration::from_secs(4), "took {:?}", began.elapsed());
    // 24 bodies of 250 kB fit into the part for large ones.
    assert_eq!((count("HTTP/1.1 504"), count("HTTP/1.1 503")), (24, 16), "{responses:?}");
    site.store.put("engines", "plain-1", &entry);
    wait_until("a large body is accepted again", || {
        let mut socket = send(99);
        read_part(&mut socket).starts_with("HTTP/1.1 200")
    });
}

/// Reads the start of a response.
fn read_part(socket: &mut TcpStream) -> String {
    let mut bytes = [0; 200];
    let count = socket.read(&mut bytes).unwrap_or_default();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

/// Guards against many idle readers that delay the streams of others.
#[test]
fn hundreds_of_unread_streams_do_not_delay_others() {
    let site = TestSite::start();
    let host = site.host("many");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(6)]);
    }
    // Streams are refused until a placer has told the host of their model's engines.
    wait_until("a stream is served", || {
        let fields = format!("X-Request: first\r\nX-Model: {MODEL_NAME}\r\n");
        host.post("/stream/a", &fields, "{}").starts_with("HTTP/1.1 200")
    });
    let slow: Vec<TcpStream> =
        (0..300).map(|number| open_stream(&host, &format!("idle{number}"))).collect();
    let pauses: Vec<Duration> = (0..5).map(|_| longest_pause(&host, "reader", 6)).collect();
    assert_not_held_up(&pauses);
    assert_eq!(slow.len(), 300, "all connections stay open");
    wait_until("all streams end", || host.shared.metrics.open_requests.get() == 0);
}
