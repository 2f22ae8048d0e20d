//! Admission by priority while engines have more streams than slots.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::EngineBehaviour,
    site::{LOOSE_TIMEOUTS_REVISION, MODEL_NAME, TestHost, TestSite},
};

/// Streams at a time: nearly twice the slots of both engines.
const CLIENTS: u32 = 60;

/// Time for which clients send one stream after the other, each of 0.6 s.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// The text of a refusal by priority.
const REFUSAL_TEXT: &str = "more urgent requests only";

/// Sends streams for [`LOAD_TIME`] and returns the responses.
fn send_streams(host: &TestHost) -> Vec<String> {
    let began = Instant::now();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                scope.spawn(move || {
                    // Spread over the time of one stream, as independent clients are.
                    thread::sleep(Duration::from_millis(10) * client);
                    let mut responses = Vec::new();
                    while began.elapsed() < LOAD_TIME {
                        let id = format!("p{client}-{}", responses.len());
                        let fields = format!("X-Request: {id}\r\nX-Model: {MODEL_NAME}\r\n");
                        responses.push(host.post("/stream/a", &fields, "{}"));
                    }
                    responses
                })
            })
            .collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

fn retry_after(response: &str) -> f64 {
    let field = response.lines().find_map(|line| line.strip_prefix("Retry-After: "));
    field.expect("a retry time").trim().parse().expect("a number")
}

/// A configuration, and whether requests are admitted by priority under it.
struct AdmissionCase(&'static str, u64, bool);

const CASES: &[AdmissionCase] =
    &[AdmissionCase("tight", 1, true), AdmissionCase("loose", LOOSE_TIMEOUTS_REVISION, false)];

/// Guards against a host that never consults the level, that consults it where timeouts are long,
/// and against retry times beyond a third of the remaining time.
#[test]
fn streams_are_refused_by_priority_only_where_timeouts_are_tight() {
    for AdmissionCase(name, revision, by_priority) in CASES {
        let site = TestSite::without_configuration();
        site.store.put("configuration", "routes", &revision.to_string());
        let host = site.host(&format!("priority-{name}"));
        for engine in &site.engines {
            engine.set_behaviours(&[EngineBehaviour::Stream(40)]);
        }
        let responses = send_streams(&host);
        let refused: Vec<&String> =
            responses.iter().filter(|response| response.contains(REFUSAL_TEXT)).collect();
        assert_eq!(!refused.is_empty(), *by_priority, "{name}");
        assert!(refused.iter().all(|response| response.starts_with("HTTP/1.1 503")));
        let longest = refused.iter().map(|response| retry_after(response)).fold(0.0, f64::max);
        assert!(longest <= 0.51, "{name}: {longest} s of 1.5 s");
        let served = responses.iter().filter(|response| response.ends_with("0\r\n\r\n")).count();
        assert!(served >= CLIENTS as usize, "{name}: {served} served");
    }
}
