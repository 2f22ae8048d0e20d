//! A planned stop: readiness fails immediately, open responses complete, and the host ends within
//! its grace period.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::{
    engine::EngineBehaviour,
    site::{MODEL_NAME, TestHost, TestSite, raw_exchange, wait_until},
};

#[test]
fn a_planned_stop_completes_streams_within_the_grace_period() {
    let site = TestSite::start();
    let host = site.host("stop");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(60)]);
    }
    let client_address = host.client_address;
    let stream = thread::spawn(move || {
        let request = format!(
            "POST /stream/a HTTP/1.1\r\nHost: site.example\r\nX-Request: t1\r\nX-Model: {MODEL_NAME}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        raw_exchange(client_address, request.as_bytes())
    });
    thread::sleep(Duration::from_millis(150));
    let readiness_address = host.readiness_address;
    let shared = std::sync::Arc::clone(&host.shared);
    let stopping = thread::spawn(move || host.stop());
    while !shared.is_stopping() {
        thread::sleep(Duration::from_millis(1));
    }
    let probe = "GET /ready HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";
    let response = raw_exchange(readiness_address, probe.as_bytes());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let response = stream.join().expect("the client ends");
    assert!(response.ends_with("0\r\n\r\n"), "the stream was truncated: {response}");
    let elapsed = stopping.join().expect("the host ends");
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
}

/// A way in which a host ends.
struct EndCase {
    name: &'static str,
    end: fn(TestHost),
}

const END_CASES: &[EndCase] = &[
    EndCase {
        name: "planned stop",
        end: |host| {
            host.stop();
        },
    },
    EndCase { name: "abort", end: drop },
];

/// Guards against threads that outlive their host: they would go on to call the store and answer
/// other hosts.
#[test]
fn a_host_that_has_ended_listens_and_calls_no_more() {
    for case in END_CASES {
        let site = TestSite::start();
        let host = site.host("ended");
        let addresses =
            [host.client_address, host.readiness_address, host.shared.profile.peer_address];
        (case.end)(host);
        let refuses = |address: &SocketAddr| TcpStream::connect(address).is_err();
        wait_until(case.name, || addresses.iter().all(refuses));
        let calls = site.store.calls();
        thread::sleep(Duration::from_secs(1));
        assert_eq!(site.store.calls(), calls, "{}", case.name);
    }
}
