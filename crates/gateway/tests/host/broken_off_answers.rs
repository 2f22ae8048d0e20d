//! Answers that engines break off: what clients may believe of them is never more than what the
//! engine said.

use std::sync::atomic::{AtomicU32, Ordering};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::{
    cut_response::{
        CUT_EVENTS, ClaimedEnd, ClientView, ConnectionEnd, CutResponse, Delimiter, event_body,
    },
    engine::{EngineBehaviour, StandInEngine},
    site::{MODEL_NAME, TestHost, TestSite, free_address, wait_until},
};

/// A route, and what its kind allows after a run that was broken off.
#[derive(Debug, Clone, Copy)]
struct RouteCase {
    path: &'static str,
    is_stream: bool,
    /// Whether another engine may run or resume the request.
    may_run_again: bool,
}

const ROUTES: [RouteCase; 4] = [
    RouteCase { path: "/single/a", is_stream: false, may_run_again: false },
    RouteCase { path: "/safe/a", is_stream: false, may_run_again: true },
    RouteCase { path: "/stream/a", is_stream: true, may_run_again: false },
    RouteCase { path: "/resumable/a", is_stream: true, may_run_again: true },
];

const DELIMITERS: [Delimiter; 3] = [Delimiter::Connection, Delimiter::Length, Delimiter::Chunks];

/// Returns the length of a body of that many events. Unit: bytes.
fn events_length(events: u32) -> usize {
    event_body(0).len() - event_body(events).len()
}

/// Returns the number of sent bytes of a whole body.
fn whole_length() -> usize {
    events_length(CUT_EVENTS)
}

/// A site with two engines of each service, and one host.
pub(crate) struct PairedSite {
    site: TestSite,
    pub(crate) host: TestHost,
    other_plain: StandInEngine,
}

impl PairedSite {
    pub(crate) fn start(name: &str) -> Self {
        let site = TestSite::start();
        let other_plain = StandInEngine::start("plain-2", &[]);
        site.store.put("engines", "plain-2", &other_plain.entry("plain", false));
        let host = site.host(name);
        wait_until("both plain services are listed", || host.shared.metrics.engines.get() == 4);
        Self { site, host, other_plain }
    }

    /// Sets how all engines handle requests.
    pub(crate) fn set_behaviour(&self, behaviour: EngineBehaviour) {
        let engines = self.site.engines.iter().chain([&self.site.plain, &self.other_plain]);
        engines.for_each(|engine| engine.set_behaviours(&[behaviour]));
    }

    /// Sends a request whose first run is cut, and whose further ones are whole.
    fn send(&self, route: RouteCase, cut: CutResponse) -> ClientView {
        self.set_behaviour(EngineBehaviour::Cut(cut));
        send(&self.host, route)
    }
}

fn send(host: &TestHost, route: RouteCase) -> ClientView {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let id = format!("cut-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let model = if route.is_stream { format!("X-Model: {MODEL_NAME}\r\n") } else { String::new() };
    let fields = format!("X-Request: {id}\r\n{model}");
    ClientView::parse(&host.post(route.path, &fields, "{}"))
}

/// Returns why a client may believe more of a response than its engine said, if it may.
fn overstatement(route: RouteCase, cut: CutResponse, view: &ClientView) -> Option<&'static str> {
    let whole = event_body(0);
    if view.status == 200 && !whole.starts_with(&view.body) {
        return Some("the body is another one");
    }
    if !view.looks_whole() {
        return None;
    }
    let vouched = cut.delimiter != Delimiter::Connection && cut.sent_bytes >= whole.len();
    let reset = cut.delimiter == Delimiter::Connection && cut.end == ConnectionEnd::Reset;
    let runs_again = route.may_run_again && (cut.sent_bytes < whole.len() || reset);
    let vouched_again = runs_again && view.body == whole && cut.further != Delimiter::Connection;
    if view.end == ClaimedEnd::Complete && !vouched && !vouched_again {
        return Some("nobody vouched for the end");
    }
    if view.body == whole {
        return None;
    }
    if cut.delimiter != Delimiter::Connection || cut.end == ConnectionEnd::Reset {
        return Some("the end was known to be missing");
    }
    (route.is_stream && !view.body.is_empty() && !view.body.ends_with("\n\n"))
        .then_some("the stream ended within an event")
}

/// Guards against answers that were broken off and reach their callers framed as complete.
#[test]
fn a_broken_off_answer_is_not_framed_as_complete() {
    let site = PairedSite::start("cut");
    let mut mistakes = Vec::new();
    let positions = [0, events_length(3) - 4, events_length(3), whole_length()];
    let mut check = |route: RouteCase, cut: CutResponse| {
        let view = site.send(route, cut);
        if let Some(mistake) = overstatement(route, cut, &view) {
            mistakes.push(format!("{}, {cut:?}: {mistake}", route.path));
        }
    };
    for route in ROUTES {
        for delimiter in DELIMITERS {
            for sent_bytes in positions {
                for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                    let further = Delimiter::Length;
                    check(route, CutResponse { delimiter, sent_bytes, end, further });
                }
            }
            let (sent_bytes, end) = (events_length(3), ConnectionEnd::Reset);
            let further = Delimiter::Connection;
            check(route, CutResponse { delimiter, sent_bytes, end, further });
        }
    }
    assert!(mistakes.is_empty(), "{} mistakes:\n{}", mistakes.len(), mistakes.join("\n"));
}

/// Guards against whole answers that become failures, whatever delimits them.
#[test]
fn a_whole_answer_stays_whole_in_any_framing() {
    let site = PairedSite::start("whole-framing");
    for route in ROUTES {
        for delimiter in DELIMITERS {
            let (sent_bytes, end) = (whole_length(), ConnectionEnd::Close);
            let further = delimiter;
            let view = site.send(route, CutResponse { delimiter, sent_bytes, end, further });
            assert!(view.looks_whole(), "{}, {delimiter:?}: {view:?}", route.path);
            assert_eq!(view.body, event_body(0), "{}, {delimiter:?}", route.path);
        }
    }
}

/// Number of drawn responses.
const DRAWN_CASES: u32 = 96;

/// Draws framings, ends and cut positions. Guards against a client that may believe more of a
/// response than its engine said.
#[test]
fn no_answer_claims_more_than_its_engine_did() {
    let site = PairedSite::start("drawn");
    let config = Config {
        cases: DRAWN_CASES,
        rng_seed: RngSeed::Fixed(0x0bad_c10e),
        failure_persistence: None,
        ..Config::default()
    };
    let delimiter = prop::sample::select(DELIMITERS.to_vec());
    let end = prop::sample::select(vec![ConnectionEnd::Close, ConnectionEnd::Reset]);
    let cut = (delimiter.clone(), 0..=whole_length(), end, delimiter);
    let cut = cut.prop_map(|(delimiter, sent_bytes, end, further)| CutResponse {
        delimiter,
        sent_bytes,
        end,
        further,
    });
    let drawn = (prop::sample::select(ROUTES.to_vec()), cut);
    let outcome = TestRunner::new(config).run(&drawn, |(route, cut)| {
        let view = site.send(route, cut);
        let mistake = overstatement(route, cut, &view);
        prop_assert!(mistake.is_none(), "{mistake:?}: {view:?}");
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Guards against an answer that is passed on as it ended although its engine's process ended with
/// it.
#[test]
fn an_answer_whose_engine_has_ended_is_broken_off_or_run_again() {
    for route in ROUTES {
        for sent_bytes in [events_length(3) - 4, events_length(3)] {
            let site = TestSite::start();
            for name in ["engine-1", "engine-2", "plain-1"] {
                site.store.put("engines", name, "");
            }
            let cut = CutResponse {
                delimiter: Delimiter::Connection,
                sent_bytes,
                end: ConnectionEnd::ProcessEnd,
                further: Delimiter::Length,
            };
            let service = if route.is_stream { "assist" } else { "plain" };
            let start = |number: u32| {
                let name = format!("{service}-{number}");
                let engine =
                    StandInEngine::start_crashable(&name, &[MODEL_NAME], free_address(), &[]);
                engine.set_behaviours(&[EngineBehaviour::Cut(cut)]);
                site.store.put("engines", &name, &engine.entry(service, false));
                engine
            };
            let engines = [3, 4].map(start);
            let host = site.host("ended");
            wait_until("the engines are listed", || host.shared.metrics.engines.get() == 2);
            let view = send(&host, route);
            let ended = engines.iter().filter(|engine| engine.has_crashed()).count();
            assert_eq!(ended, 1, "{}", route.path);
            let context = format!("{}, {sent_bytes} bytes: {view:?}", route.path);
            if route.may_run_again {
                assert!(view.looks_whole() && view.body == event_body(0), "{context}");
            } else {
                assert!(!view.looks_whole(), "{context}");
            }
        }
    }
}
