//! Cooldowns requested by engines, and the requests that arrive during them.

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineIncarnation, EngineName,
        announcement::Cooldown,
        cold_start::{ColdDecision, ColdRequest, CoolingEngine},
        cooldown::{CooldownEvent, CooldownState, CooldownTable},
    },
};

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(3_600_000 + millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn engine() -> EngineName {
    Arc::from("engine-1")
}

fn cooldown(time: u64) -> Cooldown {
    Cooldown::from_seconds(millis(time).as_secs_f64()).expect("a cooldown")
}

/// An event at one engine. Unit of times: milliseconds.
enum Occurrence {
    /// This incarnation rejects a request and requests a cooldown of this length.
    Rejects(EngineIncarnation, u64),
    /// The host sends a request.
    Send,
    /// The engine responds to a request that was sent at this time, and accepts it or not.
    Responds(u64, bool),
}

use Occurrence::{Rejects, Responds, Send};

struct StateCase {
    name: &'static str,
    occurrences: &'static [(u64, Occurrence)],
    /// Time, incarnation, and time until the engine is available, zero if it is available now.
    expected: &'static [(u64, EngineIncarnation, u64)],
}

const STATE_CASES: &[StateCase] = &[
    StateCase {
        name: "applies to its incarnation until its end",
        occurrences: &[(0, Rejects(1, 3000))],
        expected: &[(0, 1, 3000), (2999, 1, 1), (3000, 1, 0), (100, 2, 0)],
    },
    StateCase {
        name: "overlapping cooldowns last until the later end",
        occurrences: &[(0, Rejects(1, 3000)), (100, Rejects(1, 500))],
        expected: &[(600, 1, 2400)],
    },
    StateCase {
        name: "not shortened by a response to an earlier request",
        occurrences: &[(0, Rejects(1, 3000)), (50, Responds(0, true))],
        expected: &[(60, 1, 2940)],
    },
    StateCase {
        name: "no recovery by a late response to an earlier request",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send), (3010, Responds(0, true))],
        expected: &[(3020, 1, 300)],
    },
    StateCase {
        name: "one request probes the engine afterwards",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send)],
        expected: &[(3001, 1, 300), (4001, 1, 0)],
    },
    StateCase {
        name: "an accepted probe permits more requests",
        occurrences: &[
            (0, Rejects(1, 3000)),
            (3000, Send),
            (3010, Responds(3000, true)),
            (3010, Send),
        ],
        expected: &[(3011, 1, 0)],
    },
    StateCase {
        name: "no more requests at a time than permitted",
        occurrences: &[
            (0, Rejects(1, 3000)),
            (3000, Send),
            (3010, Responds(3000, true)),
            (3010, Send),
            (3010, Send),
        ],
        expected: &[(3011, 1, 300)],
    },
    StateCase {
        name: "a rejection without a cooldown permits the next probe",
        occurrences: &[
            (0, Rejects(1, 3000)),
            (3000, Send),
            (3010, Responds(3000, false)),
            (3010, Send),
        ],
        expected: &[(3011, 1, 300)],
    },
    StateCase {
        name: "a rejected probe begins the next cooldown",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send), (3010, Rejects(1, 2000))],
        expected: &[(3020, 1, 1990), (5010, 1, 0)],
    },
    StateCase {
        name: "another incarnation starts without the cooldown",
        occurrences: &[(0, Rejects(1, 3000)), (100, Rejects(2, 200))],
        expected: &[(150, 2, 150), (300, 2, 0)],
    },
];

#[test]
fn requests_resume_gradually_after_a_cooldown() {
    for case in STATE_CASES {
        let mut table = CooldownTable::default();
        for (time, occurrence) in case.occurrences {
            match occurrence {
                Rejects(incarnation, length) => {
                    table.record_cooldown(&engine(), *incarnation, cooldown(*length), at(*time));
                }
                Send => table.record_sent("engine-1", 1, at(*time)),
                Responds(sent, accepted) => {
                    table.record_response("engine-1", 1, at(*sent), *accepted);
                }
            }
        }
        for (time, incarnation, unavailable_for) in case.expected {
            let expected = match unavailable_for {
                0 => CooldownState::Available,
                unavailable_for => CooldownState::Unavailable(millis(*unavailable_for)),
            };
            let state = table.state("engine-1", *incarnation, at(*time));
            assert_eq!(state, expected, "{}: at {time}", case.name);
        }
    }
}

/// Five accepted requests in a row end the restriction, and so does a time without requests.
#[test]
fn a_restriction_ends_with_accepted_requests_or_time() {
    let mut table = CooldownTable::default();
    table.record_cooldown(&engine(), 1, cooldown(1000), at(0));
    for probe in 0..5 {
        let sent = at(1000 + probe * 10);
        table.record_sent("engine-1", 1, sent);
        table.record_response("engine-1", 1, sent, true);
    }
    let events = table.take_events();
    assert!(matches!(events.first(), Some(CooldownEvent::Began { incarnation: 1, .. })));
    assert_eq!(events.last(), Some(&CooldownEvent::Ended { engine: engine(), requests: 1 }));
    table.record_cooldown(&engine(), 1, cooldown(1000), at(5000));
    table.retain(|_| Some(1), at(15_900));
    assert_eq!(table.take_events().len(), 1, "the restriction is still in force");
    table.retain(|_| Some(1), at(16_000));
    assert_eq!(table.take_events().len(), 1, "the restriction has ended");
}

/// An engine's entry may disappear and come back while the engine runs; this must not end its
/// cooldown.
#[test]
fn a_cooldown_outlasts_the_entry_of_its_engine() {
    let mut table = CooldownTable::default();
    table.record_cooldown(&engine(), 1, cooldown(3000), at(0));
    table.retain(|_| None, at(1000));
    assert_eq!(table.state("engine-1", 1, at(1500)), CooldownState::Unavailable(millis(1500)));
    table.retain(|_| None, at(3000));
    assert_eq!(table.state("engine-1", 1, at(3000)), CooldownState::Available);
}

/// Clients that are refused during one cooldown must not all retry at the same time.
#[test]
fn retry_times_after_one_cooldown_are_spread() {
    let mut table = CooldownTable::default();
    table.record_cooldown(&engine(), 1, cooldown(1000), at(0));
    let times: Vec<Duration> =
        (0..30).filter_map(|_| table.next_retry_after("engine-1", at(400))).collect();
    assert_eq!(times.first(), Some(&millis(600)));
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request is sent if the table permits it; the engine rejects it with a cooldown, or accepts
    /// it.
    Request { rejects: Option<u64>, delay: u64 },
    /// The engine restarts.
    Restart,
    /// Time passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (proptest::option::of(1u64..4000), 0u64..600)
            .prop_map(|(rejects, delay)| Step::Request { rejects, delay }),
        1 => Just(Step::Restart),
        3 => (1u64..1500).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// No sequence of responses may lead to a request within a cooldown of the same incarnation, or
    /// block requests after the last cooldown.
    #[test]
    fn no_history_sends_requests_within_a_cooldown(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut table = CooldownTable::default();
        let (mut now, mut incarnation) = (0, 1);
        let mut until = 0;
        // Time of the response, time and incarnation of the request, and its cooldown if it is
        // rejected.
        let mut responses: Vec<(u64, u64, EngineIncarnation, Option<u64>)> = Vec::new();
        for step in steps {
            responses.retain(|(due, sent, request_incarnation, rejects)| {
                if *due > now {
                    return true;
                }
                match rejects {
                    Some(time) => {
                        table.record_cooldown(&engine(), *request_incarnation, cooldown(*time), at(now));
                        if *request_incarnation == incarnation {
                            until = until.max(now + time);
                        }
                    }
                    None => {
                        table.record_response("engine-1", *request_incarnation, at(*sent), true);
                    }
                }
                false
            });
            match step {
                Step::Request { rejects, delay } => {
                    if table.state("engine-1", incarnation, at(now)) == CooldownState::Available {
                        prop_assert!(now >= until, "sent at {now} within a cooldown until {until}");
                        table.record_sent("engine-1", incarnation, at(now));
                        responses.push((now + delay, now, incarnation, rejects));
                    }
                }
                Step::Restart => {
                    incarnation += 1;
                    until = 0;
                    responses.clear();
                }
                Step::Wait(time) => now += time,
            }
            table.retain(|_| Some(incarnation), at(now));
        }
        let later = at(now.max(until) + 1000);
        prop_assert_eq!(table.state("engine-1", incarnation, later), CooldownState::Available);
    }
}

struct DecisionCase {
    name: &'static str,
    elapsed: u64,
    /// Unit: milliseconds.
    engine_available_in: u64,
    loadable_elsewhere: bool,
    /// Unit: milliseconds.
    load_estimate: Option<u64>,
    decision: ColdDecision,
}

const DECISION_CASES: &[DecisionCase] = &[
    DecisionCase {
        name: "waits for a cooldown that ends in time",
        elapsed: 0,
        engine_available_in: 300,
        loadable_elsewhere: false,
        load_estimate: None,
        decision: ColdDecision::Wait(millis(300)),
    },
    DecisionCase {
        name: "refused at once if no engine can load it",
        elapsed: 0,
        engine_available_in: 3000,
        loadable_elsewhere: false,
        load_estimate: None,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "an estimate is ignored if no engine can load it",
        elapsed: 0,
        engine_available_in: 3000,
        loadable_elsewhere: false,
        load_estimate: Some(250),
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "waits for an estimate of another copy",
        elapsed: 2,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: None,
        decision: ColdDecision::Wait(millis(100)),
    },
    DecisionCase {
        name: "waits for another copy",
        elapsed: 20,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: Some(250),
        decision: ColdDecision::Wait(millis(2230)),
    },
    DecisionCase {
        name: "refused without an estimate",
        elapsed: 110,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: None,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "refused until the other copy, which is late but first",
        elapsed: 20,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: Some(900),
        decision: ColdDecision::Refuse(millis(900)),
    },
    DecisionCase {
        name: "refused if a probe would take too long",
        elapsed: 400,
        engine_available_in: 300,
        loadable_elsewhere: false,
        load_estimate: None,
        decision: ColdDecision::Refuse(millis(300)),
    },
];

#[test]
fn a_request_waits_during_a_cooldown_only_while_an_answer_is_useful() {
    for case in DECISION_CASES {
        let (available_in, loadable_elsewhere) =
            (millis(case.engine_available_in), case.loadable_elsewhere);
        let request = ColdRequest {
            elapsed: millis(case.elapsed),
            latency_target: millis(600),
            remaining: millis(9000),
            estimate: case.load_estimate.map(millis),
            cooling: Some(CoolingEngine { available_in, loadable_elsewhere }),
            prefill_time: millis(40),
            max_event_gap: Some(millis(250)),
            client_retried: false,
        };
        assert_eq!(request.decide(), case.decision, "{}", case.name);
    }
}
