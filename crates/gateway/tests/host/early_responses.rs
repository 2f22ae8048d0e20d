//! Engines that respond before they have read the request's body, and then reset the connection.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
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
    cut_response::{ClientView, is_first_run},
    links::{CutForm, EngineLinks},
    site::{MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

/// Size of the requests' bodies, more than the buffers between host and engine take. Unit: bytes.
const UPLOAD_BYTES: usize = 200 * 1024;

/// Size of the engines' receive buffers. Unit: bytes.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Segment size of the engines' connections: that of the loopback interface is so large that the
/// host's system would buffer the body. Unit: bytes.
const SEGMENT_BYTES: u32 = 1460;

/// Time until the host's write waits for room.
const WRITE_TIME: Duration = Duration::from_millis(30);

/// The events of a whole response.
const EVENTS: [&str; 2] = ["id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"];

/// Number of requests on each route.
const REQUESTS: u32 = 4;

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

/// Starts an engine that resets its early response to the first run of a request, at any engine, and
/// returns its entry in the store; `resets` counts such responses.
fn start_engine(name: &str, service: &str, resets: &Arc<AtomicU32>) -> String {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the option is set");
    listener.set_tcp_mss(SEGMENT_BYTES).expect("the option is set");
    let address = free_address();
    listener.bind(&address.into()).expect("the address is free");
    listener.listen(128).expect("the socket listens");
    let (own_name, resets) = (name.to_owned(), Arc::clone(resets));
    thread::spawn(move || {
        while let Ok((socket, _)) = listener.accept() {
            let (name, resets) = (own_name.clone(), Arc::clone(&resets));
            thread::spawn(move || serve_request(&name, TcpStream::from(socket), &resets));
        }
    });
    let held: &[&str] = if service == "assist" { &[MODEL_NAME] } else { &[] };
    let address = address.to_string();
    json!({ "service": service, "address": address, "leaving": false, "held": held, "born": 1 })
        .to_string()
}

/// Serves one request; the connection ends with it.
fn serve_request(name: &str, mut socket: TcpStream, resets: &AtomicU32) -> Option<()> {
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
    if length == UPLOAD_BYTES && is_first_run(id) {
        thread::sleep(WRITE_TIME);
        SockRef::from(&socket).set_linger(Some(Duration::ZERO)).ok()?;
        resets.fetch_add(1, Ordering::Relaxed);
        return socket.write_all(format!("{fields}\r\n{}", EVENTS[0]).as_bytes()).ok();
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

/// Sends uploads through a host, and checks that no part of a response that was reset passes for a
/// whole one.
fn check_uploads(host: &TestHost, resets: &AtomicU32) {
    let (upload, whole) = ("x".repeat(UPLOAD_BYTES), EVENTS.concat());
    let mut mistakes = Vec::new();
    for route in ROUTES {
        let name = &host.shared.profile.name;
        let before = resets.load(Ordering::Relaxed);
        let mut served = 0;
        for number in 0..REQUESTS {
            let id = format!("{name}{}-{number}", route.path);
            let received = post(host, route, &id, &upload);
            let view = ClientView::parse(&received);
            if view.looks_whole() && view.body != whole {
                mistakes.push(format!("{id}: {received:?}"));
            }
            served += u32::from(view.looks_whole() && view.body == whole);
            // Engines that only fail would not be used any more.
            for filler in 0..3 {
                post(host, route, &format!("{id}-{filler}"), "{}");
            }
        }
        assert!(resets.load(Ordering::Relaxed) > before, "{}: no response was reset", route.path);
        if route.may_run_again && served == 0 {
            mistakes.push(format!("{}: no request was run or resumed elsewhere", route.path));
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}

/// Starts a site whose engines reset early responses.
fn start_site(resets: &Arc<AtomicU32>) -> TestSite {
    let site = TestSite::start();
    for engine in ["engine-1", "engine-2", "plain-1"] {
        site.store.put("engines", engine, "");
    }
    for service in ["assist", "plain"] {
        for number in 0..3 {
            let name = format!("early-{service}-{number}");
            site.store.put("engines", &name, &start_engine(&name, service, resets));
        }
    }
    site
}

/// Guards against a part of a response without a length that passes for a whole one, since the write of
/// the request's body, and not the read of the response, reported the reset.
#[test]
fn a_part_of_a_response_that_is_reset_during_an_upload_does_not_look_whole() {
    let resets = Arc::default();
    let site = start_site(&resets);
    let host = site.host("early");
    wait_until("the engines are listed", || host.shared.metrics.engines.get() == 6);
    check_uploads(&host, &resets);
}

/// Guards against the same at a host that reaches its engines through another one.
#[test]
fn a_part_of_a_response_that_is_reset_during_an_upload_through_a_tunnel_does_not_look_whole() {
    let resets = Arc::default();
    let site = start_site(&resets);
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
    check_uploads(&hosts[0], &resets);
}
