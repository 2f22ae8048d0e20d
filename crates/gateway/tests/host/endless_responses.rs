//! Engines that send bytes without end, in a head or a body, until the host closes the connection.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    endless_response::{EndlessPart, EndlessResponse, WRITE_LIMIT},
    engine::EngineBehaviour,
    site::{MODEL_NAME, TestSite, wait_until},
};

/// The timeout of routes at the test's site, and what may pass until its end is noticed.
const MAX_TIME: Duration = Duration::from_secs(2);

/// More than a host may hold of a body, with what the system buffers on both sides.
const MAX_HELD_BYTES: usize = 8 * 1024 * 1024 + 12 * 1024 * 1024;

struct EndlessCase {
    part: EndlessPart,
    path: &'static str,
    /// The status of the client's response; 0 if it is broken off after its head.
    status: u16,
}

const CASES: &[EndlessCase] = &[
    EndlessCase { part: EndlessPart::Head, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::InterimHeads, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::OpenBody, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::Chunks, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::ChunkExtensions, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::Trailer, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::UnrelatedBody, path: "/single/a", status: 502 },
    EndlessCase { part: EndlessPart::RejectionBody, path: "/stream/a", status: 200 },
    EndlessCase { part: EndlessPart::Surplus, path: "/single/a", status: 200 },
    EndlessCase { part: EndlessPart::Head, path: "/stream/a", status: 502 },
    EndlessCase { part: EndlessPart::Chunks, path: "/stream/a", status: 0 },
    EndlessCase { part: EndlessPart::ChunkExtensions, path: "/stream/a", status: 0 },
    EndlessCase { part: EndlessPart::Trailer, path: "/stream/a", status: 502 },
    EndlessCase { part: EndlessPart::Event, path: "/stream/a", status: 0 },
    EndlessCase { part: EndlessPart::Event, path: "/resumable/a", status: 200 },
];

/// The time between two writes of a response that is sent slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Returns what is wrong with how a host handled a response without end, if anything.
fn check_case(case: &EndlessCase, interval: Option<Duration>, number: usize) -> Vec<String> {
    let site = TestSite::start();
    // With one engine, all sends meet its behaviours in order.
    let leaving = &site.engines[1];
    site.store.put("engines", &leaving.name, &leaving.entry("assist", true));
    let host = site.host(&format!("endless-{number}-{}", interval.is_some()));
    let endless = EngineBehaviour::WithoutEnd(EndlessResponse { part: case.part, interval });
    let (engine, then, model) = if case.path == "/single/a" {
        (&site.plain, EngineBehaviour::Echo, String::new())
    } else {
        let model = format!("X-Model: {MODEL_NAME}\r\n");
        (&site.engines[0], EngineBehaviour::Stream(3), model)
    };
    engine.set_behaviours(&[endless, then]);
    let began = Instant::now();
    let response = host.post(case.path, &format!("X-Request: e{number}\r\n{model}"), "hello");
    let time = began.elapsed();
    let status_line = response.lines().next().unwrap_or_default().to_owned();
    let is_whole = response.ends_with("0\r\n\r\n") || response.contains("Content-Length");
    let expected = match case.status {
        0 => status_line.starts_with("HTTP/1.1 200") && !is_whole,
        // Sent slowly, it can't be told from a response that will be whole until the deadline.
        502 if interval.is_some() => {
            status_line.starts_with("HTTP/1.1 502") || status_line.starts_with("HTTP/1.1 504")
        }
        200 if interval.is_some() && case.part == EndlessPart::Event => {
            status_line.starts_with("HTTP/1.1 504")
        }
        status => status_line.starts_with(&format!("HTTP/1.1 {status}")),
    };
    let mut failures = Vec::new();
    let name = format!("{:?} at {}, interval {interval:?}", case.part, case.path);
    if !expected || time > MAX_TIME {
        failures.push(format!("{name}: {status_line:?} after {time:?}, whole: {is_whole}"));
    }
    let closed_by = Instant::now() + WRITE_LIMIT;
    while engine.endless_writes().is_empty() && Instant::now() < closed_by {
        thread::sleep(Duration::from_millis(5));
    }
    for write in engine.endless_writes() {
        // What the client has received of a stream is no longer held.
        let held = write.bytes.saturating_sub(response.len());
        if write.time > MAX_TIME || held > MAX_HELD_BYTES {
            failures.push(format!("{name}: {write:?}"));
        }
    }
    let second = host.post("/safe/a", "X-Request: next\r\n", "hello");
    if !second.starts_with("HTTP/1.1 200") {
        failures.push(format!("{name}: the next request got {second:?}"));
    }
    failures
}

/// Guards against a host that reads such a response past the request's deadline, or without a limit.
#[test]
fn a_response_without_end_is_closed_by_the_deadline() {
    let mut failures = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        failures.extend(check_case(case, None, number));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a host that waits as long as bytes arrive.
#[test]
fn a_response_without_end_that_is_sent_slowly_is_closed_by_the_deadline() {
    let mut failures = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        failures.extend(check_case(case, Some(SLOW_INTERVAL), number));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The longest timeout of a call, and what may pass until its end is noticed.
const MAX_CALL_TIME: Duration = Duration::from_secs(1);

/// More than the body of such a response may have, with what the system buffers on both sides.
const MAX_CALL_BYTES: usize = 64 * 1024 + 12 * 1024 * 1024;

const CALL_PARTS: &[EndlessPart] = &[
    EndlessPart::Head,
    EndlessPart::InterimHeads,
    EndlessPart::OpenBody,
    EndlessPart::Chunks,
    EndlessPart::ChunkExtensions,
    EndlessPart::Trailer,
    EndlessPart::Surplus,
];

/// Guards against a placer that is occupied by one engine's responses to orders and report requests.
#[test]
fn an_engine_that_responds_to_calls_without_end_keeps_no_adapter_from_others() {
    let mut failures = Vec::new();
    for (number, part) in CALL_PARTS.iter().enumerate() {
        let site = TestSite::start();
        let faulty = &site.engines[0];
        faulty.respond_to_calls_without_end(EndlessResponse { part: *part, interval: None });
        let host = site.host(&format!("endless-calls-{number}"));
        let fields = |id: &str| format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}/a1\r\n");
        let served = (0..20).any(|try_number| {
            let response = host.post("/repeatable/a", &fields(&format!("a{try_number}")), "hello");
            response.starts_with("HTTP/1.1 200")
        });
        if !served {
            failures.push(format!("{part:?}: no engine has loaded the adapter"));
        }
        wait_until("a call was closed", || !faulty.endless_writes().is_empty());
        for write in faulty.endless_writes() {
            if write.time > MAX_CALL_TIME || write.bytes > MAX_CALL_BYTES {
                failures.push(format!("{part:?}: {write:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
