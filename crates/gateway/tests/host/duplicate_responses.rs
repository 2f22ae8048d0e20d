//! Engines that send a rejection once more, later: in the place of the next response on the connection.

use std::{thread, time::Duration};

use crate::{
    engine::{DuplicateId, EngineBehaviour},
    site::{MODEL_NAME, TestSite, wait_until},
};

/// How long engines may take to begin a run.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// The id of the second request of a case.
const SECOND_ID: &str = "second";

struct DuplicateCase {
    name: &'static str,
    path: &'static str,
    /// The copy of the first request's rejection.
    duplicate: DuplicateId,
    /// The engine's behaviour after the rejection.
    then: EngineBehaviour,
    /// Whether the rejection is that of an earlier request, so that its copy arrives in the place of
    /// the response to a request that was sent once.
    is_earlier: bool,
    /// The start of the client's response.
    status_line: &'static str,
}

const CASES: &[DuplicateCase] = &[
    DuplicateCase {
        name: "a request to a plain server is sent again",
        path: "/single/a",
        duplicate: DuplicateId::Own,
        then: EngineBehaviour::Echo,
        is_earlier: false,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a stream that may run once is sent again",
        path: "/stream/a",
        duplicate: DuplicateId::Own,
        then: EngineBehaviour::Stream(3),
        is_earlier: false,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a stream that may be resumed is sent again",
        path: "/resumable/a",
        duplicate: DuplicateId::Own,
        then: EngineBehaviour::Stream(3),
        is_earlier: false,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a copy without an id arrives before the response to the same request",
        path: "/single/a",
        duplicate: DuplicateId::Missing,
        then: EngineBehaviour::Echo,
        is_earlier: false,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a copy without an id arrives before the response to another request",
        path: "/repeatable/a",
        duplicate: DuplicateId::Missing,
        then: EngineBehaviour::Echo,
        is_earlier: true,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a copy without an id arrives before another stream that may run once",
        path: "/stream/a",
        duplicate: DuplicateId::Missing,
        then: EngineBehaviour::Stream(3),
        is_earlier: true,
        status_line: "HTTP/1.1 200",
    },
    DuplicateCase {
        name: "a response with two ids arrives before the response to another request",
        path: "/repeatable/a",
        duplicate: DuplicateId::Ambiguous(SECOND_ID),
        then: EngineBehaviour::Echo,
        is_earlier: true,
        status_line: "HTTP/1.1 200",
    },
];

/// Guards against a 503 for a request that runs, and against a second run.
#[test]
fn a_duplicate_rejection_is_not_the_response_to_another_send() {
    let mut failures = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        let site = TestSite::start();
        // With one engine, all sends meet its behaviours in order.
        let leaving = &site.engines[1];
        site.store.put("engines", &leaving.name, &leaving.entry("assist", true));
        let host = site.host(&format!("duplicates-{number}"));
        let engines = [&site.engines[0], &site.plain];
        let rejection = EngineBehaviour::NotRunTwice(case.duplicate);
        for engine in engines {
            engine.set_behaviours(&[rejection, case.then]);
        }
        let model = if case.path.starts_with("/single/") {
            String::new()
        } else {
            format!("X-Model: {MODEL_NAME}\r\n")
        };
        if case.is_earlier {
            // Its deadline leaves no time for a second send.
            let fields = format!("X-Request: first\r\nX-Deadline: 50\r\n{model}");
            host.post(case.path, &fields, "hello");
        }
        let fields = format!("X-Request: {SECOND_ID}\r\n{model}");
        let response = host.post(case.path, &fields, "hello");
        // A run on a connection that the host has closed begins later.
        thread::sleep(SETTLE_TIME);
        let runs: Vec<String> = engines
            .iter()
            .flat_map(|engine| engine.runs())
            .filter_map(|run| run.head.fields.text("X-Request").map(ToOwned::to_owned))
            .collect();
        let second_runs = runs.iter().filter(|id| *id == SECOND_ID).count();
        if !response.starts_with(case.status_line) || second_runs != 1 {
            let status_line = response.lines().next().unwrap_or_default();
            failures.push(format!("{}: {status_line}, {second_runs} runs", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The number of adapters that are requested in turn; an engine of the site can hold eight.
const ADAPTERS: usize = 12;

/// Guards against a placer that takes a duplicate of an earlier response for the state of its engine.
#[test]
fn duplicate_responses_to_calls_keep_no_adapter_from_being_loaded() {
    let site = TestSite::start();
    let leaving = &site.engines[1];
    site.store.put("engines", &leaving.name, &leaving.entry("assist", true));
    let engine = &site.engines[0];
    engine.repeat_responses_to_calls();
    let host = site.host("duplicate-calls");
    for number in 0..ADAPTERS {
        wait_until("the adapter is served", || {
            let fields =
                format!("X-Request: d{number}\r\nX-Model: {MODEL_NAME}/adapter-{number}\r\n");
            host.post("/repeatable/a", &fields, "hello").starts_with("HTTP/1.1 200")
        });
    }
    let loads = engine.orders().iter().filter(|order| order["load"] == true).count();
    assert!((ADAPTERS..=ADAPTERS + 2).contains(&loads), "{loads} loads");
}
