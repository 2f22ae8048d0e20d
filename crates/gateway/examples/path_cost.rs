//! Measures the latency that a host adds to a request, against stand-in engines on the loopback interface.
//!
//! `cargo run --release -p reelreel-gateway --example path_cost` prints the median and the 99th
//! percentile of the time to the first byte of the response, for plain requests and for streams, sent
//! directly to the engine and through the host.

#![expect(
    dead_code,
    reason = "the stand-ins are shared with the host tests, which use more of them"
)]

#[path = "../tests/host/codec.rs"]
mod codec;
#[path = "../tests/host/cut_response.rs"]
mod cut_response;
#[path = "../tests/host/endless_response.rs"]
mod endless_response;
#[path = "../tests/host/engine.rs"]
mod engine;
#[path = "../tests/host/links.rs"]
mod links;
#[path = "../tests/host/site.rs"]
mod site;
#[path = "../tests/host/store.rs"]
mod store;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use engine::EngineBehaviour;
use site::{MODEL_NAME, TestSite};

/// Number of measured requests of each kind.
const ROUNDS: usize = 400;

/// Number of unmeasured requests before, which open the host's connections.
const WARM_UP: usize = 20;

struct RequestKind {
    name: &'static str,
    path: &'static str,
    model: Option<&'static str>,
}

const KINDS: &[RequestKind] = &[
    RequestKind { name: "plain", path: "/single/a", model: None },
    RequestKind { name: "stream", path: "/stream/a", model: Some(MODEL_NAME) },
];

fn main() {
    let site = TestSite::start();
    let host = site.host("path-cost");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(2)]);
    }
    println!("kind     where    median us  99th us");
    for kind in KINDS {
        let target = if kind.model.is_some() { &site.engines[0] } else { &site.plain };
        report(kind, "engine", target.address, &target.name);
        report(kind, "host", host.client_address, &target.name);
    }
}

fn report(kind: &RequestKind, endpoint: &str, address: SocketAddr, engine: &str) {
    let mut times: Vec<Duration> = (0..WARM_UP + ROUNDS)
        .map(|number| time_to_first_byte(kind, address, engine, &format!("{endpoint}-{number}")))
        .skip(WARM_UP)
        .collect();
    times.sort_unstable();
    let median = times[times.len() / 2].as_micros();
    let tail = times[times.len() * 99 / 100].as_micros();
    println!("{:<8} {endpoint:<8} {median:>9} {tail:>8}", kind.name);
}

/// Sends one request on a new connection and returns the time to the first byte of the response.
fn time_to_first_byte(kind: &RequestKind, address: SocketAddr, engine: &str, id: &str) -> Duration {
    let mut socket = TcpStream::connect(address).expect("connecting failed");
    socket.set_nodelay(true).expect("setting TCP_NODELAY failed");
    let model = kind.model.map(|model| format!("X-Model: {model}\r\n")).unwrap_or_default();
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: site.example\r\nX-Request: {id}\r\nX-Engine: {engine}\r\n{model}Connection: close\r\nContent-Length: 2\r\n\r\n{{}}",
        kind.path
    );
    let began = Instant::now();
    socket.write_all(request.as_bytes()).expect("sending the request failed");
    let mut byte = [0; 1];
    socket.read_exact(&mut byte).expect("no response");
    began.elapsed()
}
