//! Streams of events: whole, broken, taken up elsewhere, and left by their clients.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use crate::{
    dialect::AFTER,
    engine::EngineMood,
    site::{MODEL_NAME, TestSite, wait_until},
};

fn events(answer: &str) -> Vec<u32> {
    let data = answer.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|number| number.trim().parse().ok()).collect()
}

fn fields(id: &str) -> String {
    format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n")
}

#[test]
fn a_stream_comes_whole() {
    let site = TestSite::start();
    let host = site.host("whole");
    for engine in &site.engines {
        engine.treat(&[EngineMood::Stream(6)]);
    }
    let answer = host.post("/stream/a", &fields("s1"), "{}");
    assert_eq!(events(&answer), [0, 1, 2, 3, 4, 5], "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn a_broken_stream_never_looks_whole() {
    let site = TestSite::start();
    let host = site.host("broken");
    for engine in &site.engines {
        engine.treat(&[EngineMood::StreamCut(3)]);
    }
    let answer = host.post("/stream/a", &fields("b1"), "{}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    let runs: usize = site.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "what can not be resumed runs once");
}

#[test]
fn a_resumable_stream_goes_on_without_gap_or_doubling() {
    let site = TestSite::start();
    let host = site.host("resumed");
    site.engines[0].treat(&[EngineMood::StreamCut(3)]);
    site.engines[1].treat(&[EngineMood::Stream(7)]);
    for number in 0..20 {
        let broken = site.engines[0].arrivals().len();
        let answer = host.post("/resumable/a", &fields(&format!("r{number}")), "{}");
        assert_eq!(events(&answer), [0, 1, 2, 3, 4, 5, 6], "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        if site.engines[0].arrivals().len() > broken {
            let resumed = site.engines[1].runs().pop().expect("the second engine ran it");
            assert_eq!(resumed.head.fields.text(AFTER), Some("2"));
            return;
        }
    }
    panic!("no stream was ever taken up");
}

#[test]
fn a_client_that_leaves_ends_its_run_at_once() {
    let site = TestSite::start();
    let host = site.host("left");
    for engine in &site.engines {
        engine.treat(&[EngineMood::Stream(200)]);
    }
    let mut socket = TcpStream::connect(host.clients).expect("a connection");
    let request = format!(
        "POST /stream/a HTTP/1.1\r\nHost: site.example\r\n{}Content-Length: 2\r\n\r\n{{}}",
        fields("g1")
    );
    socket.write_all(request.as_bytes()).expect("the request is sent");
    let mut bytes = [0; 512];
    let count = socket.read(&mut bytes).expect("the answer begins");
    assert!(count > 0);
    drop(socket);
    wait_until("the engine sees that its client is gone", || {
        site.engines.iter().map(crate::engine::StandInEngine::clients_gone).sum::<u32>() == 1
    });
}

#[test]
fn a_resumable_stream_leaves_an_engine_that_hangs() {
    let site = TestSite::start();
    let host = site.host("hangs");
    site.engines[0].treat(&[EngineMood::Hangs]);
    site.engines[1].treat(&[EngineMood::Stream(3)]);
    for number in 0..20 {
        let hung = site.engines[0].arrivals().len();
        let answer = host.post("/resumable/a", &fields(&format!("h{number}")), "{}");
        assert_eq!(events(&answer), [0, 1, 2], "{answer}");
        if site.engines[0].arrivals().len() > hung {
            return;
        }
    }
    panic!("the hanging engine was never asked");
}
