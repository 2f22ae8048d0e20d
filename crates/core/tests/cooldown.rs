//! Cooldowns that engines ask one host for, and what becomes of its requests meanwhile.

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

/// What happens at one engine. Unit of times: milliseconds.
enum Occurrence {
    /// It rejects a request and asks for a cooldown, in an incarnation.
    Rejects(EngineIncarnation, u64),
    /// The host sends it a request.
    Send,
    /// It responds to a request that was sent at a time, and accepts it or not.
    Responds(u64, bool),
}

use Occurrence::{Rejects, Responds, Send};

struct StateCase {
    name: &'static str,
    occurrences: &'static [(u64, Occurrence)],
    /// At what time, for which incarnation, and after what time the engine is expected to take requests; zero: at once.
    expected: &'static [(u64, EngineIncarnation, u64)],
}

const STATE_CASES: &[StateCase] = &[
    StateCase {
        name: "it holds until its end, for its incarnation",
        occurrences: &[(0, Rejects(1, 3000))],
        expected: &[(0, 1, 3000), (2999, 1, 1), (3000, 1, 0), (100, 2, 0)],
    },
    StateCase {
        name: "the later end counts",
        occurrences: &[(0, Rejects(1, 3000)), (100, Rejects(1, 500))],
        expected: &[(600, 1, 2400)],
    },
    StateCase {
        name: "a response to what was sent before its end does not shorten it",
        occurrences: &[(0, Rejects(1, 3000)), (50, Responds(0, true))],
        expected: &[(60, 1, 2940)],
    },
    StateCase {
        name: "nor does one that comes after its end",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send), (3010, Responds(0, true))],
        expected: &[(3020, 1, 300)],
    },
    StateCase {
        name: "afterwards one request probes the engine",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send)],
        expected: &[(3001, 1, 300), (4001, 1, 0)],
    },
    StateCase {
        name: "more go there as it accepts them",
        occurrences: &[
            (0, Rejects(1, 3000)),
            (3000, Send),
            (3010, Responds(3000, true)),
            (3010, Send),
        ],
        expected: &[(3011, 1, 0)],
    },
    StateCase {
        name: "no more than it accepted go there at a time",
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
        name: "a rejection without a cooldown lets the next request probe it",
        occurrences: &[
            (0, Rejects(1, 3000)),
            (3000, Send),
            (3010, Responds(3000, false)),
            (3010, Send),
        ],
        expected: &[(3011, 1, 300)],
    },
    StateCase {
        name: "a probe that is rejected begins the next cooldown",
        occurrences: &[(0, Rejects(1, 3000)), (3000, Send), (3010, Rejects(1, 2000))],
        expected: &[(3020, 1, 1990), (5010, 1, 0)],
    },
    StateCase {
        name: "another incarnation begins anew",
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

/// Ten requests accepted one after the other lift the restriction; so does a silence.
#[test]
fn a_restriction_ends_with_accepted_requests_or_silence() {
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
    assert_eq!(table.take_events().len(), 1, "it is remembered");
    table.retain(|_| Some(1), at(16_000));
    assert_eq!(table.take_events().len(), 1, "it is forgotten");
}

/// An engine's entry may go and come back while the engine lives: that does not end its cooldown.
#[test]
fn a_cooldown_outlasts_the_entry_of_its_engine() {
    let mut table = CooldownTable::default();
    table.record_cooldown(&engine(), 1, cooldown(3000), at(0));
    table.retain(|_| None, at(1000));
    assert_eq!(table.state("engine-1", 1, at(1500)), CooldownState::Unavailable(millis(1500)));
    table.retain(|_| None, at(3000));
    assert_eq!(table.state("engine-1", 1, at(3000)), CooldownState::Available);
}

/// Clients that are told to come back after one cooldown do not all return at the same moment.
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
    /// A request goes there if the table allows it; the engine rejects it for some time, or accepts it.
    Request { rejects: Option<u64>, delay: u64 },
    /// The engine starts again.
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

    /// Whatever an engine rejects, accepts, and when, no request goes there within a cooldown that this incarnation has asked
    /// for, and requests go there again after the last one.
    #[test]
    fn no_history_sends_requests_within_a_cooldown(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut table = CooldownTable::default();
        let (mut now, mut incarnation) = (0, 1);
        let mut until = 0;
        // When responses come, what was sent when in which incarnation, and whether it was rejected.
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
    /// When the holder takes requests again.
    engine_available_in: u64,
    loadable_elsewhere: bool,
    /// When another copy is expected.
    load_estimate: Option<u64>,
    decision: ColdDecision,
}

const DECISION_CASES: &[DecisionCase] = &[
    DecisionCase {
        name: "it waits for a cooldown that ends in time",
        elapsed: 0,
        engine_available_in: 300,
        loadable_elsewhere: false,
        load_estimate: None,
        decision: ColdDecision::Wait(millis(300)),
    },
    DecisionCase {
        name: "nothing can be loaded: it is refused at once",
        elapsed: 0,
        engine_available_in: 3000,
        loadable_elsewhere: false,
        load_estimate: None,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "a load that no engine takes does not count",
        elapsed: 0,
        engine_available_in: 3000,
        loadable_elsewhere: false,
        load_estimate: Some(250),
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "it waits for an estimate of another copy",
        elapsed: 2,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: None,
        decision: ColdDecision::Wait(millis(100)),
    },
    DecisionCase {
        name: "it waits for another copy",
        elapsed: 20,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: Some(250),
        decision: ColdDecision::Wait(millis(2230)),
    },
    DecisionCase {
        name: "no estimate has come: it is refused",
        elapsed: 110,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: None,
        decision: ColdDecision::Refuse(millis(3000)),
    },
    DecisionCase {
        name: "the other copy comes too late, but before the holder returns",
        elapsed: 20,
        engine_available_in: 3000,
        loadable_elsewhere: true,
        load_estimate: Some(900),
        decision: ColdDecision::Refuse(millis(900)),
    },
    DecisionCase {
        name: "a probe keeps it back for too long",
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
