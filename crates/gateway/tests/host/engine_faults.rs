//! Faulty engines, and what the client gets.

use std::{thread, time::Duration};

use crate::{
    engine::{EngineBehaviour, received_deadline},
    site::{TestSite, wait_until},
};

struct FaultCase {
    name: &'static str,
    path: &'static str,
    behaviours: &'static [EngineBehaviour],
    /// The start of the client's response.
    status_line: &'static str,
    /// The client's body, where it is checked.
    body: Option<&'static str>,
    runs: usize,
}

const CASES: &[FaultCase] = &[
    FaultCase {
        name: "a complete response is passed on",
        path: "/single/a",
        behaviours: &[EngineBehaviour::Echo],
        status_line: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    FaultCase {
        name: "an error of the engine is passed on",
        path: "/single/a",
        behaviours: &[EngineBehaviour::Error],
        status_line: "HTTP/1.1 500",
        body: Some("engine error"),
        runs: 1,
    },
    FaultCase {
        name: "a missing response to a request that may run once is a 502",
        path: "/single/a",
        behaviours: &[EngineBehaviour::CloseConnection, EngineBehaviour::Echo],
        status_line: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    FaultCase {
        name: "a request that did not run gets a 503 with Retry-After",
        path: "/single/a",
        behaviours: &[EngineBehaviour::NotRun],
        status_line: "HTTP/1.1 503",
        body: None,
        runs: 0,
    },
    FaultCase {
        name: "a request that an engine refuses once is sent again",
        path: "/single/a",
        behaviours: &[EngineBehaviour::NotRun, EngineBehaviour::Echo],
        status_line: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    FaultCase {
        name: "a truncated body never reaches the client",
        path: "/single/a",
        behaviours: &[EngineBehaviour::TruncateBody],
        status_line: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    FaultCase {
        name: "bytes that are not a response are a 502",
        path: "/single/a",
        behaviours: &[EngineBehaviour::Garbage],
        status_line: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    FaultCase {
        name: "the response to another request is skipped",
        path: "/single/a",
        behaviours: &[EngineBehaviour::MismatchedResponseFirst],
        status_line: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    FaultCase {
        name: "a response without length is complete when its connection ends",
        path: "/single/a",
        behaviours: &[EngineBehaviour::OmitLength],
        status_line: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    FaultCase {
        name: "a 503 that does not say whether the request ran is not passed on",
        path: "/single/a",
        behaviours: &[EngineBehaviour::UnmarkedRefusal],
        status_line: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
];

#[test]
fn responses_are_complete_or_replaced_by_an_error() {
    let site = TestSite::start();
    let mut runs = 0;
    for (number, case) in CASES.iter().enumerate() {
        // A new host for each case, since a host remembers failures of its engines.
        let host = site.host(&format!("moods-{number}"));
        site.plain.set_behaviours(case.behaviours);
        let response = host.post(case.path, &format!("X-Request: m{number}\r\n"), "hello");
        assert!(response.starts_with(case.status_line), "{}: {response}", case.name);
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        if let Some(expected) = case.body {
            assert_eq!(body, expected, "{}", case.name);
        }
        let refused = response.starts_with("HTTP/1.1 503");
        assert_eq!(response.contains("Retry-After"), refused, "{}: {response}", case.name);
        runs += case.runs;
        assert_eq!(site.plain.runs().len(), runs, "{}", case.name);
    }
}

#[test]
fn a_surplus_response_never_reaches_the_next_request() {
    let site = TestSite::start();
    let host = site.host("twice");
    site.plain.set_behaviours(&[EngineBehaviour::DuplicateResponse, EngineBehaviour::Echo]);
    for number in 0..4 {
        let body = format!("body {number}");
        let response = host.post("/single/a", &format!("X-Request: t{number}\r\n"), &body);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with(&body), "{response}");
    }
    assert_eq!(site.plain.runs().len(), 4);
}

#[test]
fn a_request_is_forwarded_unaltered_with_its_remaining_deadline() {
    let site = TestSite::start();
    let host = site.host("unaltered");
    let fields =
        "X-Request: u1\r\nX-Deadline: 900\r\nX-Own: kept\r\nX-Hop: gone\r\nConnection: X-Hop\r\n";
    let request = format!(
        "POST /single/a/b?c=d&e HTTP/1.1\r\nHost: site.example\r\n{fields}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    let response = crate::site::raw_exchange(host.client_address, request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let runs = site.plain.runs();
    let run = &runs[0];
    assert_eq!(run.head.method, "POST");
    assert_eq!(run.head.target, "/single/a/b?c=d&e");
    assert_eq!(run.body, b"abcde");
    assert_eq!(run.head.fields.text("X-Own"), Some("kept"));
    assert_eq!(run.head.fields.text("X-Hop"), None);
    assert_eq!(run.head.fields.values("X-Request").count(), 1);
    let deadline = received_deadline(run).expect("a deadline");
    assert!((500..=900).contains(&deadline), "{deadline}");
}

#[test]
fn the_longest_route_prefix_wins() {
    let site = TestSite::start();
    let host = site.host("prefix");
    // `/safe/` is idempotent, `/safe/deeper/` is not.
    site.plain.set_behaviours(&[EngineBehaviour::CloseConnection, EngineBehaviour::Echo]);
    let response = host.get("/safe/deeper/a", "X-Request: x1\r\n");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    let response = host.get("/elsewhere/", "X-Request: x2\r\n");
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
}

#[test]
fn a_leaving_engine_gets_no_new_request() {
    let site = TestSite::start();
    let host = site.host("leaving");
    let response = host.post("/single/a", "X-Request: v1\r\n", "one");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    wait_until("the leaving engine is dropped", || {
        host.post("/single/a", "X-Request: v2\r\n", "two").starts_with("HTTP/1.1 503")
    });
    let before = site.plain.arrivals().len();
    // A later entry of the same incarnation must not undo the departure.
    site.store.put("engines", "plain-1", &site.plain.entry("plain", false));
    thread::sleep(Duration::from_millis(900));
    let response = host.post("/single/a", "X-Request: v3\r\n", "three");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(site.plain.arrivals().len(), before);
}

/// Guards against refusing requests after a few failed connections to dead engines that are still
/// listed.
#[test]
fn a_request_finds_the_one_live_engine_among_many_dead_ones() {
    let site = TestSite::start();
    let host = site.host("finder");
    let address = site.plain.address.to_string();
    for number in 0..12 {
        // Nothing listens on port 1, so the connection is refused immediately.
        let dead_entry = site.plain.entry("plain", false).replace(&address, "127.0.0.1:1");
        site.store.put("engines", &format!("gone-{number}"), &dead_entry);
    }
    wait_until("the engines are listed", || {
        let table = host.shared.table.borrow().clone();
        table.ready_engines("plain").count() == 13
    });
    for number in 0..6 {
        let response = host.post("/single/a", &format!("X-Request: g{number}\r\n"), "body");
        assert!(response.starts_with("HTTP/1.1 200"), "{number}: {response}");
    }
}

/// Guards against attempts at an overloaded server that use up the retry budget and delay waiting
/// requests.
#[test]
fn an_overloaded_plain_server_gets_few_attempts() {
    let site = TestSite::start();
    let host = site.host("full");
    site.plain.set_behaviours(&[EngineBehaviour::NotRun]);
    for number in 0..100 {
        let response = host.get("/single/a", &format!("X-Request: f{number}\r\n"));
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
    }
    let attempts = site.plain.arrivals().len();
    assert!(attempts <= 30, "{attempts} attempts for 100 requests");
    site.plain.set_behaviours(&[EngineBehaviour::Echo]);
    thread::sleep(Duration::from_millis(3100));
    let response = host.get("/single/a", "X-Request: later\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
