//! Header fields reserved for the system: values from clients must never reach an engine.

use reelreel_stand_ins::connection::ServedRequest;

use crate::{
    codec::{HOLD, PIN, REQUEST},
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, raw_exchange},
};

/// A spelling of reserved fields in a client's request.
struct ForgedCase {
    name: &'static str,
    fields: &'static str,
}

const CASES: &[ForgedCase] = &[
    ForgedCase { name: "as documented", fields: "X-Hold: h-1\r\nX-Pin: 4000\r\n" },
    ForgedCase { name: "in odd case", fields: "x-hOLD: h-1\r\nX-PIN: 4000\r\n" },
    ForgedCase { name: "twice", fields: "X-Hold: h-1\r\nX-Hold: h-2\r\nX-Pin: 1\r\nX-Pin: 2\r\n" },
    ForgedCase { name: "empty", fields: "X-Hold:\r\nX-Pin: \r\n" },
    ForgedCase { name: "surrounded by whitespace", fields: "X-Hold: \t h-1 \r\nX-Pin:4000\t\r\n" },
    ForgedCase {
        name: "also named by Connection",
        fields: "Connection: X-Pin, X-Hold\r\nX-Hold: h-1\r\nX-Pin: 4000\r\n",
    },
    ForgedCase {
        name: "with bytes that are not ASCII",
        fields: "X-Hold: \u{e9}\r\nX-Pin: \u{fc}\r\n",
    },
];

/// A path on which a request reaches an engine.
struct ForwardPath {
    name: &'static str,
    path: &'static str,
    body: ForwardBody,
    /// Whether it is a model service.
    needs_model: bool,
    behaviours: &'static [EngineBehaviour],
}

enum ForwardBody {
    Length,
    Chunked,
}

const PATHS: &[ForwardPath] = &[
    ForwardPath {
        name: "plain service",
        path: "/single/a",
        body: ForwardBody::Length,
        needs_model: false,
        behaviours: &[EngineBehaviour::Echo],
    },
    ForwardPath {
        name: "chunked body",
        path: "/single/a",
        body: ForwardBody::Chunked,
        needs_model: false,
        behaviours: &[EngineBehaviour::Echo],
    },
    ForwardPath {
        name: "sent again after an error",
        path: "/safe/a",
        body: ForwardBody::Length,
        needs_model: false,
        behaviours: &[EngineBehaviour::Error, EngineBehaviour::Echo],
    },
    ForwardPath {
        name: "sent again after a refusal",
        path: "/stream/a",
        body: ForwardBody::Length,
        needs_model: true,
        behaviours: &[EngineBehaviour::NotRun, EngineBehaviour::Stream(3)],
    },
    ForwardPath {
        name: "stream taken up again",
        path: "/resumable/a",
        body: ForwardBody::Length,
        needs_model: true,
        behaviours: &[EngineBehaviour::TruncateStream(2), EngineBehaviour::Stream(4)],
    },
];

fn send(host: &TestHost, path: &ForwardPath, case: &ForgedCase, id: &str) {
    let body = match path.body {
        ForwardBody::Length => "Content-Length: 2\r\n\r\n{}",
        ForwardBody::Chunked => {
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Hold: late\r\n\r\n"
        }
    };
    let model = if path.needs_model { format!("X-Model: {MODEL_NAME}\r\n") } else { String::new() };
    let head = format!("POST {} HTTP/1.1\r\nHost: site.example\r\nX-Request: {id}\r\n", path.path);
    let fields = format!("{model}X-Kept: yes\r\nConnection: close\r\n{}", case.fields);
    let request = format!("{head}{fields}{body}");
    raw_exchange(host.client_address, request.as_bytes());
}

fn arrivals(site: &TestSite) -> Vec<ServedRequest> {
    let engines = site.engines.iter().chain([&site.plain]);
    engines.flat_map(StandInEngine::arrivals).collect()
}

#[test]
fn fields_that_only_the_system_sets_never_come_from_a_client() {
    for path in PATHS {
        let site = TestSite::start();
        let host = site.host(&path.name.replace(' ', "-"));
        for (number, case) in CASES.iter().enumerate() {
            for engine in site.engines.iter().chain([&site.plain]) {
                engine.set_behaviours(path.behaviours);
            }
            send(&host, path, case, &format!("f{number}"));
        }
        let arrivals = arrivals(&site);
        assert!(arrivals.len() >= CASES.len(), "{}: {} arrivals", path.name, arrivals.len());
        for arrival in arrivals {
            let fields = &arrival.head.fields;
            let case = &CASES[case_number(fields.text(REQUEST).expect("an id"))];
            for name in [HOLD, PIN] {
                let forwarded = fields.values(name).count();
                assert_eq!(forwarded, 0, "{}, {}: {:?}", path.name, case.name, arrival.head);
            }
            assert_eq!(fields.text("X-Kept"), Some("yes"), "{}: other fields pass", path.name);
        }
    }
}

fn case_number(id: &str) -> usize {
    id.trim_start_matches('f').parse().expect("the number of a case")
}

#[test]
fn a_folded_field_that_only_the_system_sets_is_refused() {
    let site = TestSite::start();
    let host = site.host("folded-forged");
    let request = "GET /safe/a HTTP/1.1\r\nHost: site.example\r\nX-Request: o1\r\nX-Kept: a\r\n X-Hold: h-1\r\n\r\n";
    let response = raw_exchange(host.client_address, request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert_eq!(site.plain.arrivals().len(), 0);
}
