//! Engines that respond before they have read the request's body, and then end the connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::BytesMut;
use reelreel_http::RequestHead;
use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};

use crate::{
    codec::{HALL, REQUEST, RESUME_AFTER, RUN_BY},
    cut_response::{ClientView, Delimiter, is_first_run},
    links::{CutForm, EngineLinks},
    site::{MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

/// Size of an upload that the buffers between host and engine do not take. Unit: bytes.
const LONG_UPLOAD_BYTES: usize = 200 * 1024;

/// Size of an upload that they take, but not the engine's alone. Unit: bytes.
const BUFFERED_UPLOAD_BYTES: usize = 20 * 1024;

/// Size of the engines' receive buffers. Unit: bytes.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Segment size of the engines' connections: that of the loopback interface is so large that the
/// host's system would buffer the body. Unit: bytes.
const SEGMENT_BYTES: u32 = 1460;

/// Time until the host's write waits for room.
const WRITE_TIME: Duration = Duration::from_millis(30);

/// Time that an engine leaves between the end of its response and that of the connection.
const LINGER_TIME: Duration = Duration::from_millis(100);

/// The events of a whole response.
const EVENTS: [&str; 2] = ["id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"];

/// Number of requests of each case on each route.
const REQUESTS: u32 = 3;

/// How an engine ends the connection of an early response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlyEnd {
    /// With a reset.
    Reset,
    /// With a close while a part of the upload is unread, so that the system resets it.
    Close,
    /// With a close after it has read what has arrived, so that the system resets it when more does.
    CloseAfterRead,
    /// In order, and at once with a reset.
    ShutdownAndReset,
    /// In order, and later with a close.
    Shutdown,
}

/// An upload, and how engines end the connection of an early response to it.
#[derive(Debug, Clone, Copy)]
struct UploadCase {
    bytes: usize,
    end: EarlyEnd,
}

const CASES: &[UploadCase] = &[
    UploadCase { bytes: LONG_UPLOAD_BYTES, end: EarlyEnd::Reset },
    UploadCase { bytes: LONG_UPLOAD_BYTES, end: EarlyEnd::Close },
    UploadCase { bytes: LONG_UPLOAD_BYTES, end: EarlyEnd::CloseAfterRead },
    UploadCase { bytes: LONG_UPLOAD_BYTES, end: EarlyEnd::ShutdownAndReset },
    UploadCase { bytes: LONG_UPLOAD_BYTES, end: EarlyEnd::Shutdown },
    UploadCase { bytes: BUFFERED_UPLOAD_BYTES, end: EarlyEnd::Reset },
    UploadCase { bytes: BUFFERED_UPLOAD_BYTES, end: EarlyEnd::Close },
    UploadCase { bytes: BUFFERED_UPLOAD_BYTES, end: EarlyEnd::ShutdownAndReset },
];

/// Cases in which the engine ends the connection in order, while the host's system still has a part of
/// the upload that it can't send.
const UNSENT_CASES: &[UploadCase] = &[
    UploadCase { bytes: BUFFERED_UPLOAD_BYTES, end: EarlyEnd::CloseAfterRead },
    UploadCase { bytes: BUFFERED_UPLOAD_BYTES, end: EarlyEnd::Shutdown },
];

/// An early response.
#[derive(Debug, Clone, Copy)]
struct EarlyResponse {
    delimiter: Delimiter,
    end: EarlyEnd,
}

impl EarlyResponse {
    /// Returns the response: all of its body if that is delimited by a length or chunks, else a part.
    fn text(self, fields: &str) -> String {
        let body = EVENTS.concat();
        let length = body.len();
        let framed = match self.delimiter {
            Delimiter::Connection => format!("\r\n{}", EVENTS[0]),
            Delimiter::Length => format!("Content-Length: {length}\r\n\r\n{body}"),
            Delimiter::Chunks => {
                format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
        };
        format!("{fields}Connection: close\r\n{framed}")
    }
}

/// How the engines of a site respond to the first run of a request, and how often they did.
struct EarlyState {
    response: Mutex<EarlyResponse>,
    count: AtomicU32,
}

impl EarlyState {
    fn new() -> Arc<Self> {
        let response = EarlyResponse { delimiter: Delimiter::Connection, end: EarlyEnd::Reset };
        Arc::new(Self { response: Mutex::new(response), count: AtomicU32::new(0) })
    }

    fn lock(&self) -> MutexGuard<'_, EarlyResponse> {
        self.response.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct RouteCase {
    path: &'static str,
    model: bool,
    /// Whether another engine may run or resume the request.
    may_run_again: bool,
}

const ROUTES: &[RouteCase] = &[
    RouteCase { path: "/single/a", model: false, may_run_again: false },
    RouteCase { path: "/safe/a", model: false, may_run_again: true },
    RouteCase { path: "/stream/a", model: true, may_run_again: false },
    RouteCase { path: "/resumable/a", model: true, may_run_again: true },
];

/// Starts an engine that responds early to the first run of an upload, at any engine, and returns its
/// entry in the store.
fn start_engine(name: &str, service: &str, state: &Arc<EarlyState>) -> String {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the option is set");
    listener.set_tcp_mss(SEGMENT_BYTES).expect("the option is set");
    let address = free_address();
    listener.bind(&address.into()).expect("the address is free");
    listener.listen(128).expect("the socket listens");
    let (own_name, state) = (name.to_owned(), Arc::clone(state));
    thread::spawn(move || {
        while let Ok((socket, _)) = listener.accept() {
            let (name, state) = (own_name.clone(), Arc::clone(&state));
            thread::spawn(move || serve_request(&name, TcpStream::from(socket), &state));
        }
    });
    let held: &[&str] = if service == "assist" { &[MODEL_NAME] } else { &[] };
    let address = address.to_string();
    json!({ "service": service, "address": address, "leaving": false, "held": held, "born": 1 })
        .to_string()
}

/// Serves one request; the connection ends with it.
fn serve_request(name: &str, mut socket: TcpStream, state: &EarlyState) -> Option<()> {
    let mut buffer = BytesMut::new();
    let head = loop {
        if let Some(head) = RequestHead::parse(&mut buffer, 65_536).ok()? {
            break head;
        }
        read_more(&mut socket, &mut buffer)?;
    };
    let id = head.fields.text(REQUEST).unwrap_or_default();
    let fields = format!("HTTP/1.1 200 OK\r\n{REQUEST}: {id}\r\n{RUN_BY}: {name}\r\n");
    let length: usize = head.fields.text("content-length").unwrap_or("0").parse().ok()?;
    if length >= BUFFERED_UPLOAD_BYTES && is_first_run(id) {
        state.count.fetch_add(1, Ordering::Relaxed);
        let early = *state.lock();
        return respond_early(&mut socket, &early.text(&fields), early.end);
    }
    while buffer.len() < length {
        read_more(&mut socket, &mut buffer)?;
    }
    let is_resumed = head.fields.text(RESUME_AFTER).is_some();
    let body = EVENTS[usize::from(is_resumed)..].concat();
    let length = body.len();
    let whole = format!("{fields}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    socket.write_all(whole.as_bytes()).ok()
}

fn respond_early(socket: &mut TcpStream, response: &str, end: EarlyEnd) -> Option<()> {
    thread::sleep(WRITE_TIME);
    if end == EarlyEnd::CloseAfterRead {
        socket.set_nonblocking(true).ok()?;
        while read_more(socket, &mut BytesMut::new()).is_some() {}
        socket.set_nonblocking(false).ok()?;
    }
    if matches!(end, EarlyEnd::Reset | EarlyEnd::ShutdownAndReset) {
        SockRef::from(&*socket).set_linger(Some(Duration::ZERO)).ok()?;
    }
    socket.write_all(response.as_bytes()).ok()?;
    match end {
        EarlyEnd::Reset | EarlyEnd::Close | EarlyEnd::CloseAfterRead => Some(()),
        EarlyEnd::ShutdownAndReset => socket.shutdown(Shutdown::Write).ok(),
        EarlyEnd::Shutdown => {
            socket.shutdown(Shutdown::Write).ok()?;
            thread::sleep(LINGER_TIME);
            Some(())
        }
    }
}

fn read_more(socket: &mut TcpStream, buffer: &mut BytesMut) -> Option<()> {
    let mut bytes = [0; 1024];
    let count = socket.read(&mut bytes).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

fn post(host: &TestHost, route: &RouteCase, id: &str, body: &str) -> String {
    let model = if route.model { format!("X-Model: {MODEL_NAME}\r\n") } else { String::new() };
    host.post(route.path, &format!("X-Request: {id}\r\n{model}"), body)
}

/// Sends uploads through a host, and checks that no part of a response passes for a whole one, and that
/// whole responses stay whole.
fn check_uploads(host: &TestHost, state: &EarlyState, cases: &[UploadCase]) {
    let mut mistakes = Vec::new();
    for case in cases {
        for delimiter in [Delimiter::Connection, Delimiter::Length, Delimiter::Chunks] {
            *state.lock() = EarlyResponse { delimiter, end: case.end };
            for route in ROUTES {
                let found = find_mistakes(host, state, route, case.bytes);
                mistakes.extend(found.map(|received| {
                    format!("{case:?}, {delimiter:?}, {}: {received:?}", route.path)
                }));
            }
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}

/// Sends uploads of this size; returns the first response that is not what it has to be, if any.
fn find_mistakes(
    host: &TestHost,
    state: &EarlyState,
    route: &RouteCase,
    upload_bytes: usize,
) -> Option<String> {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let (upload, whole) = ("x".repeat(upload_bytes), EVENTS.concat());
    let is_framed = state.lock().delimiter != Delimiter::Connection;
    let count = state.count.load(Ordering::Relaxed);
    let mut mistake = None;
    for _ in 0..REQUESTS {
        let id = format!("early-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let received = post(host, route, &id, &upload);
        let view = ClientView::parse(&received);
        let is_whole = view.looks_whole() && view.body == whole;
        if is_whole != (is_framed || route.may_run_again) || view.looks_whole() != is_whole {
            mistake.get_or_insert(received);
        }
        // Engines that only fail would not be used any more.
        for filler in 0..3 {
            post(host, route, &format!("{id}-{filler}"), "{}");
        }
    }
    let early = state.count.load(Ordering::Relaxed) - count;
    assert!(early >= REQUESTS, "{}: {early} early responses", route.path);
    mistake
}

/// Starts a site whose engines respond early.
fn start_site(state: &Arc<EarlyState>) -> TestSite {
    let site = TestSite::start();
    for engine in ["engine-1", "engine-2", "plain-1"] {
        site.store.put("engines", engine, "");
    }
    for service in ["assist", "plain"] {
        for number in 0..3 {
            let name = format!("early-{service}-{number}");
            site.store.put("engines", &name, &start_engine(&name, service, state));
        }
    }
    site
}

/// Guards against a part of a response without a length that passes for a whole one, since the end of
/// its connection, and not the write of the request's body, decides.
#[test]
fn a_part_of_an_early_response_without_length_does_not_look_whole() {
    let state = EarlyState::new();
    let site = start_site(&state);
    let host = site.host("early");
    wait_until("the engines are listed", || host.shared.metrics.engines.get() == 6);
    check_uploads(&host, &state, CASES);
}

/// Guards against the same while the system still has bytes of the upload that the engine has not
/// received.
#[test]
fn a_part_of_an_early_response_to_a_buffered_upload_does_not_look_whole() {
    let state = EarlyState::new();
    let site = start_site(&state);
    let host = site.host("early-buffered");
    wait_until("the engines are listed", || host.shared.metrics.engines.get() == 6);
    check_uploads(&host, &state, UNSENT_CASES);
}

/// Guards against the same at a host that reaches its engines through another one.
#[test]
fn a_part_of_an_early_response_through_a_tunnel_does_not_look_whole() {
    let state = EarlyState::new();
    let site = start_site(&state);
    // Only the cut host has links: they end connections in order that engines reset.
    let links = Arc::new(EngineLinks::default());
    let hosts = [site.host_with_links("early-cut", HALL, &links), site.host("early-other")];
    for host in &hosts {
        wait_until("the engines are listed", || host.shared.metrics.engines.get() == 6);
    }
    links.cut(CutForm::Reset);
    wait_until("requests go through the other host", || {
        let response = post(&hosts[0], &ROUTES[1], "tunnelled", "{}");
        response.starts_with("HTTP/1.1 200") && hosts[0].shared.links.is_isolated()
    });
    check_uploads(&hosts[0], &state, CASES);
}
