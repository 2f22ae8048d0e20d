//! What engines do wrong, and what the client sees of it.

use std::{thread, time::Duration};

use crate::{
    engine::{EngineMood, told_deadline},
    site::{TestSite, wait_until},
};

struct MoodCase {
    name: &'static str,
    path: &'static str,
    moods: &'static [EngineMood],
    /// How the client's answer begins.
    answer: &'static str,
    /// What the client's body is, where it is whole.
    body: Option<&'static str>,
    runs: usize,
}

const CASES: &[MoodCase] = &[
    MoodCase {
        name: "a whole answer is passed on",
        path: "/single/a",
        moods: &[EngineMood::Well],
        answer: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    MoodCase {
        name: "an error of the engine is passed on",
        path: "/single/a",
        moods: &[EngineMood::Error],
        answer: "HTTP/1.1 500",
        body: Some("an error of the engine"),
        runs: 1,
    },
    MoodCase {
        name: "no answer to a request that may run once is unknown",
        path: "/single/a",
        moods: &[EngineMood::Silent, EngineMood::Well],
        answer: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    MoodCase {
        name: "what did not run is told so, with a time to come back",
        path: "/single/a",
        moods: &[EngineMood::NotRun],
        answer: "HTTP/1.1 503",
        body: None,
        runs: 0,
    },
    MoodCase {
        name: "an engine that refuses once is asked again",
        path: "/single/a",
        moods: &[EngineMood::NotRun, EngineMood::Well],
        answer: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    MoodCase {
        name: "a body cut short never reaches the client",
        path: "/single/a",
        moods: &[EngineMood::CutBody],
        answer: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    MoodCase {
        name: "bytes that are no answer are none",
        path: "/single/a",
        moods: &[EngineMood::Garbage],
        answer: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
    MoodCase {
        name: "the answer to another request is read over",
        path: "/single/a",
        moods: &[EngineMood::StrayFirst],
        answer: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    MoodCase {
        name: "an answer without length is whole when its connection ends",
        path: "/single/a",
        moods: &[EngineMood::Unframed],
        answer: "HTTP/1.1 200",
        body: Some("hello"),
        runs: 1,
    },
    MoodCase {
        name: "a status that promises what nobody knows is not passed on",
        path: "/single/a",
        moods: &[EngineMood::FalsePromise],
        answer: "HTTP/1.1 502",
        body: None,
        runs: 1,
    },
];

#[test]
fn answers_are_whole_or_none() {
    let site = TestSite::start();
    let mut runs = 0;
    for (number, case) in CASES.iter().enumerate() {
        // What a host learns of its engine in one case must not decide the next one.
        let host = site.host(&format!("moods-{number}"));
        site.plain.treat(case.moods);
        let answer = host.post(case.path, &format!("X-Request: m{number}\r\n"), "hello");
        assert!(answer.starts_with(case.answer), "{}: {answer}", case.name);
        let body = answer.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        if let Some(expected) = case.body {
            assert_eq!(body, expected, "{}", case.name);
        }
        let refused = answer.starts_with("HTTP/1.1 503");
        assert_eq!(answer.contains("Retry-After"), refused, "{}: {answer}", case.name);
        runs += case.runs;
        assert_eq!(site.plain.runs().len(), runs, "{}", case.name);
    }
}

#[test]
fn a_second_answer_never_reaches_the_next_request() {
    let site = TestSite::start();
    let host = site.host("twice");
    site.plain.treat(&[EngineMood::Twice, EngineMood::Well]);
    for number in 0..4 {
        let body = format!("body {number}");
        let answer = host.post("/single/a", &format!("X-Request: t{number}\r\n"), &body);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with(&body), "{answer}");
    }
    assert_eq!(site.plain.runs().len(), 4);
}

#[test]
fn the_request_arrives_unaltered_with_what_is_left_of_its_time() {
    let site = TestSite::start();
    let host = site.host("unaltered");
    let fields =
        "X-Request: u1\r\nX-Deadline: 900\r\nX-Own: kept\r\nX-Hop: gone\r\nConnection: X-Hop\r\n";
    let request = format!(
        "POST /single/a/b?c=d&e HTTP/1.1\r\nHost: site.example\r\n{fields}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    let answer = crate::site::raw_exchange(host.clients, request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let runs = site.plain.runs();
    let run = &runs[0];
    assert_eq!(run.head.method, "POST");
    assert_eq!(run.head.target, "/single/a/b?c=d&e");
    assert_eq!(run.body, b"abcde");
    assert_eq!(run.head.fields.text("X-Own"), Some("kept"));
    assert_eq!(run.head.fields.text("X-Hop"), None);
    assert_eq!(run.head.fields.values("X-Request").count(), 1);
    let told = told_deadline(run).expect("a deadline");
    assert!((500..=900).contains(&told), "{told}");
}

#[test]
fn the_longest_prefix_decides() {
    let site = TestSite::start();
    let host = site.host("prefix");
    // `/safe/` may be repeated, `/safe/deeper/` may not.
    site.plain.treat(&[EngineMood::Silent, EngineMood::Well]);
    let answer = host.get("/safe/deeper/a", "X-Request: x1\r\n");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let answer = host.get("/elsewhere/", "X-Request: x2\r\n");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

#[test]
fn a_leaving_engine_gets_no_new_request() {
    let site = TestSite::start();
    let host = site.host("leaving");
    let answer = host.post("/single/a", "X-Request: v1\r\n", "one");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    site.store.put("engines", "plain-1", &site.plain.entry("plain", true));
    wait_until("the engine is left", || {
        host.post("/single/a", "X-Request: v2\r\n", "two").starts_with("HTTP/1.1 503")
    });
    let before = site.plain.arrivals().len();
    // A later entry of the same life does not undo it.
    site.store.put("engines", "plain-1", &site.plain.entry("plain", false));
    thread::sleep(Duration::from_millis(900));
    let answer = host.post("/single/a", "X-Request: v3\r\n", "three");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(site.plain.arrivals().len(), before);
}

/// Sixteen engines of 78 crashed at once and stayed listed for some seconds: requests tried four of them within two
/// milliseconds and were refused.
#[test]
fn a_request_finds_the_one_engine_among_many_that_are_gone() {
    let site = TestSite::start();
    let host = site.host("finder");
    let address = site.plain.address.to_string();
    for number in 0..12 {
        // Nothing listens at the first port, so that a connection is refused at once.
        let gone = site.plain.entry("plain", false).replace(&address, "127.0.0.1:1");
        site.store.put("engines", &format!("gone-{number}"), &gone);
    }
    wait_until("the engines are listed", || {
        let table = host.shared.table.borrow().clone();
        table.ready_engines("plain").count() == 13
    });
    for number in 0..6 {
        let answer = host.post("/single/a", &format!("X-Request: g{number}\r\n"), "body");
        assert!(answer.starts_with("HTTP/1.1 200"), "{number}: {answer}");
    }
}

/// Three knocks at one full server for each request used up the retry budget and held up those who wait there.
#[test]
fn a_plain_server_that_stays_full_is_asked_by_few_requests_and_twice_by_each() {
    let site = TestSite::start();
    let host = site.host("full");
    site.plain.treat(&[EngineMood::NotRun]);
    for number in 0..100 {
        let answer = host.get("/single/a", &format!("X-Request: f{number}\r\n"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("Retry-After: "), "{answer}");
    }
    let knocks = site.plain.arrivals().len();
    assert!(knocks <= 30, "{knocks} knocks for 100 requests");
    site.plain.treat(&[EngineMood::Well]);
    thread::sleep(Duration::from_millis(3100));
    let answer = host.get("/single/a", "X-Request: later\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
