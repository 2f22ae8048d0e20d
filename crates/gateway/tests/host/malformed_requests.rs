//! Malformed requests: each gets an error response or a closed connection, and none reaches an
//! engine.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::site::{TestSite, raw_exchange, read_all};

struct MalformedRequestCase {
    name: &'static str,
    request: &'static str,
    /// The expected status.
    status: u16,
}

const CASES: &[MalformedRequestCase] = &[
    MalformedRequestCase {
        name: "two lengths",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        status: 400,
    },
    MalformedRequestCase {
        name: "the same length twice",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h2\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        status: 400,
    },
    MalformedRequestCase {
        name: "a length and chunks",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h3\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a length with a sign",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h4\r\nContent-Length: +3\r\n\r\nabc",
        status: 400,
    },
    MalformedRequestCase {
        name: "an unsupported transfer coding",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h5\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "bare line feeds",
        request: "GET /safe/a HTTP/1.1\nHost: site.example\nX-Request: h6\n\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "one bare line feed",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.example\nX-Request: h7\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a space before the colon",
        request: "GET /safe/a HTTP/1.1\r\nHost : site.example\r\nX-Request: h8\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a folded field",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h9\r\nX-More: a\r\n b\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "no host",
        request: "GET /safe/a HTTP/1.1\r\nX-Request: h10\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "two hosts",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nHost: other.example\r\nX-Request: h11\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "an absolute target",
        request: "GET http://site.example/safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h12\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "no method",
        request: "/safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h13\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "an invalid chunk size",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h14\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "an excessive chunk size",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h15\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a chunk with a bare line feed",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h16\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a body over the limit",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h17\r\nContent-Length: 300000\r\n\r\nabc",
        status: 413,
    },
    MalformedRequestCase {
        name: "no id",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "a deadline that is not a number",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h19\r\nX-Deadline: soon\r\nConnection: close\r\n\r\n",
        status: 400,
    },
    MalformedRequestCase {
        name: "an incomplete head",
        request: "GET /safe/a HTTP/1.1\r\nHost: site.exa",
        status: 408,
    },
    MalformedRequestCase {
        name: "an incomplete body",
        request: "POST /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: h21\r\nContent-Length: 10\r\n\r\nabc",
        status: 408,
    },
];

#[test]
fn malformed_requests_never_reach_an_engine() {
    let site = TestSite::start();
    let host = site.host("hostile");
    thread::scope(|scope| {
        for case in CASES {
            let address = host.client_address;
            scope.spawn(move || {
                let response = raw_exchange(address, case.request.as_bytes());
                let expected = format!("HTTP/1.1 {} ", case.status);
                assert!(response.starts_with(&expected), "{}: {response}", case.name);
                let response_count = response.matches("HTTP/1.1").count();
                assert_eq!(response_count, 1, "{}: more than one response: {response}", case.name);
            });
        }
    });
    assert_eq!(site.plain.arrivals().len(), 0, "{:?}", site.plain.arrivals());
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let site = TestSite::start();
    let host = site.host("long-head");
    let long_value = "a".repeat(5000);
    let request = format!(
        "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: l1\r\nX-Long: {long_value}\r\n\r\n"
    );
    let response = raw_exchange(host.client_address, request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    assert_eq!(site.plain.arrivals().len(), 0);
}

#[test]
fn a_slow_sender_is_cut_off_at_the_head_timeout() {
    let site = TestSite::start();
    let host = site.host("slow");
    let began = Instant::now();
    let mut socket = TcpStream::connect(host.client_address).expect("a connection");
    let mut writer = socket.try_clone().expect("a second handle");
    let slow_writer = thread::spawn(move || {
        for byte in b"GET /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: s1\r\n" {
            if writer.write_all(&[*byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(40));
        }
    });
    let response = read_all(&mut socket);
    drop(socket);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    slow_writer.join().expect("the sender ends");
    assert_eq!(site.plain.arrivals().len(), 0);
}

#[test]
fn a_pipelined_request_is_handled_separately() {
    let site = TestSite::start();
    let host = site.host("pipelined");
    // Two complete requests in one write: both get a response, in order, each with its own body.
    let request = "POST /single/a HTTP/1.1\r\nHost: site.example\r\nX-Request: p1\r\nContent-Length: 3\r\n\r\noneGET /nowhere/ HTTP/1.1\r\nHost: site.example\r\nX-Request: p2\r\nConnection: close\r\n\r\n";
    let response = raw_exchange(host.client_address, request.as_bytes());
    let second = response.find("HTTP/1.1 404").expect("the second response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response[..second].ends_with("one"), "{response}");
    let runs = site.plain.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, b"one");
}

#[test]
fn two_thousand_idle_connections_are_accepted() {
    let site = TestSite::start();
    let host = site.host("crowd");
    let idle: Vec<TcpStream> =
        (0..2000).filter_map(|_| TcpStream::connect(host.client_address).ok()).collect();
    assert!(idle.len() >= 1990, "{} connections", idle.len());
    let response = host.get("/safe/a", "X-Request: c1\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    drop(idle);
}
