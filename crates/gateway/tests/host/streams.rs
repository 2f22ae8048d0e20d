//! Event streams: complete, broken, resumed, and abandoned by their clients.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use crate::{
    codec::RESUME_AFTER,
    cut_response::{ConnectionEnd, CutResponse, Delimiter, event_body},
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestSite, free_address, wait_until},
};

fn events(response: &str) -> Vec<u32> {
    let data = response.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|number| number.trim().parse().ok()).collect()
}

fn fields(id: &str) -> String {
    format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n")
}

#[test]
fn a_stream_is_delivered_completely() {
    let site = TestSite::start();
    let host = site.host("whole");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(6)]);
    }
    let response = host.post("/stream/a", &fields("s1"), "{}");
    assert_eq!(events(&response), [0, 1, 2, 3, 4, 5], "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn a_broken_stream_never_looks_complete() {
    let site = TestSite::start();
    let host = site.host("broken");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::TruncateStream(3)]);
    }
    let response = host.post("/stream/a", &fields("b1"), "{}");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    let runs: usize = site.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "a stream that can't be resumed ran again");
}

/// Guards against streams that end without a trace of why they were not resumed.
#[test]
fn a_stream_that_is_not_resumed_is_counted_by_cause() {
    let cut = CutResponse {
        delimiter: Delimiter::Chunks,
        sent_bytes: event_body(0).len() / 2,
        end: ConnectionEnd::ProcessEnd,
        further: Delimiter::Chunks,
    };
    for (path, cause) in [("/stream/a", "not_resumable"), ("/resumable/a", "excluded")] {
        let site = TestSite::start();
        for engine in &site.engines {
            site.store.put("engines", &engine.name, "");
        }
        let engine = StandInEngine::start_crashable("only", &[MODEL_NAME], free_address(), &[]);
        engine.set_behaviours(&[EngineBehaviour::Cut(cut)]);
        site.store.put("engines", "only", &engine.entry("assist", false));
        let host = site.host("counted");
        wait_until("the engine is listed", || host.shared.metrics.engines.get() == 2);
        let response = host.post(path, &fields(&format!("unresumed-{cause}")), "{}");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        let line = format!("reelreel_stream_resume_failures_total{{cause=\"{cause}\"}} 1");
        let metrics = host.shared.metrics.encode();
        assert!(metrics.lines().any(|metric| metric == line), "{line}: {metrics}");
    }
}

#[test]
fn a_resumed_stream_has_no_gaps_or_duplicates() {
    let site = TestSite::start();
    let host = site.host("resumed");
    site.engines[0].set_behaviours(&[EngineBehaviour::TruncateStream(3)]);
    site.engines[1].set_behaviours(&[EngineBehaviour::Stream(7)]);
    for number in 0..20 {
        let arrivals_before = site.engines[0].arrivals().len();
        let response = host.post("/resumable/a", &fields(&format!("r{number}")), "{}");
        assert_eq!(events(&response), [0, 1, 2, 3, 4, 5, 6], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        if site.engines[0].arrivals().len() > arrivals_before {
            let resumed = site.engines[1].runs().pop().expect("the second engine ran it");
            assert_eq!(resumed.head.fields.text(RESUME_AFTER), Some("2"));
            return;
        }
    }
    panic!("no stream was resumed");
}

#[test]
fn a_client_disconnect_ends_its_run() {
    let site = TestSite::start();
    let host = site.host("left");
    for engine in &site.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(200)]);
    }
    let mut socket = TcpStream::connect(host.client_address).expect("a connection");
    let request = format!(
        "POST /stream/a HTTP/1.1\r\nHost: site.example\r\n{}Content-Length: 2\r\n\r\n{{}}",
        fields("g1")
    );
    socket.write_all(request.as_bytes()).expect("the request is sent");
    let mut bytes = [0; 512];
    let count = socket.read(&mut bytes).expect("the start of the response");
    assert!(count > 0);
    drop(socket);
    wait_until("the engine sees the disconnect", || {
        site.engines.iter().map(crate::engine::StandInEngine::client_disconnects).sum::<u32>() == 1
    });
}

#[test]
fn a_resumable_stream_moves_off_a_hanging_engine() {
    let site = TestSite::start();
    let host = site.host("hangs");
    site.engines[0].set_behaviours(&[EngineBehaviour::Hang]);
    site.engines[1].set_behaviours(&[EngineBehaviour::Stream(3)]);
    for number in 0..20 {
        let arrivals_before = site.engines[0].arrivals().len();
        let response = host.post("/resumable/a", &fields(&format!("h{number}")), "{}");
        assert_eq!(events(&response), [0, 1, 2], "{response}");
        if site.engines[0].arrivals().len() > arrivals_before {
            return;
        }
    }
    panic!("the hanging engine got no request");
}
