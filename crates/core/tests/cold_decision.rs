//! Decisions about requests whose adapter no engine holds, where clients have little time to retry.

use std::time::Duration;

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        cold_decision::{DecisionCause, DecisionCause::*, LoadWait},
        cold_start::{ColdDecision, ColdRequest},
    },
    placement::LoadSchedule,
};

use LoadSchedule::Unknown;

const NOW: u64 = 100_000;

const fn loading(due_in: i64) -> LoadSchedule {
    LoadSchedule::Loading { due: ClockMillis::from_millis(NOW.saturating_add_signed(due_in)) }
}

const fn queued(due_in: i64) -> LoadSchedule {
    LoadSchedule::Queued { due: ClockMillis::from_millis(NOW.saturating_add_signed(due_in)) }
}

/// A request with a latency target of 600 ms and a timeout of 4 s that has waited since its
/// arrival; the prefill takes 40 ms.
struct DecisionCase {
    /// The load pattern that the case answers.
    pattern: &'static str,
    waited: u64,
    load: LoadSchedule,
    copy_available_in: Option<u64>,
    client_retried: bool,
    cause: DecisionCause,
    decision: ColdDecision,
}

const fn case(
    pattern: &'static str,
    waited: u64,
    load: LoadSchedule,
    cause: DecisionCause,
    decision: ColdDecision,
) -> DecisionCase {
    let (copy_available_in, client_retried) = (None, false);
    DecisionCase { pattern, waited, load, copy_available_in, client_retried, cause, decision }
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn wait(time: u64) -> ColdDecision {
    ColdDecision::Wait(millis(time))
}

const fn refuse(time: u64) -> ColdDecision {
    ColdDecision::Refuse(millis(time))
}

#[rustfmt::skip]
const CASES: &[DecisionCase] = &[
    case("first request for an adapter: the placer is asked", 0, Unknown, ScheduleAwaited, wait(100)),
    // A third of 3,870 ms.
    case("the placer does not answer", 100, Unknown, NoSchedule, refuse(1290)),
    case("ordinary load from the weight store", 20, loading(290), LoadDue, wait(440)),
    case("last moment at which an answer is in time", 20, loading(480), LoadDue, wait(630)),
    case("the weight store is overloaded", 20, loading(481), DueLate, refuse(600)),
    DecisionCase {
        client_retried: true,
        ..case("a returned client waits for the same load", 20, loading(481), LoadDue, wait(631))
    },
    case("more requests than orders: briefly for a queued load", 20, queued(400), LoadQueued, wait(100)),
    case("the queue does not advance", 120, queued(300), NotOrdered, refuse(420)),
    case("the order is expected at this moment", 130, queued(250), LoadQueued, wait(10)),
    case("long queue: the client is told when the load is due", 10, queued(900), NotOrdered, refuse(1020)),
    case("very long queue: a third of the remaining time", 10, queued(30_000), NotOrdered, refuse(1320)),
    case("the due time moves beyond the target after a long wait", 300, loading(700), Held, wait(850)),
    case("an engine refuses the order after a long wait", 300, queued(350), Held, wait(500)),
    case("the load is due after the client has given up", 300, loading(3800), DueLate, refuse(1220)),
    case("a load that was just due still counts", 350, loading(-149), Held, wait(10)),
    case("the placer died after its estimate", 350, loading(-150), Overdue, refuse(1200)),
    case("an old estimate of an adapter evicted since", 0, loading(-1500), ScheduleAwaited, wait(100)),
    DecisionCase {
        copy_available_in: Some(400),
        ..case("the only copy is at an engine that failed", 5, Unknown, CopyAvoided, wait(400))
    },
    case("the client is about to give up", 3850, loading(10), ClientLimit, refuse(40)),
];

fn load_wait(waited: u64, schedule: LoadSchedule, client_retried: bool, hash: u64) -> LoadWait {
    LoadWait {
        request: ColdRequest {
            elapsed: millis(waited),
            latency_target: millis(600),
            remaining: millis(4000 - waited),
            estimate: None,
            cooling: None,
            prefill_time: millis(40),
            max_event_gap: Some(millis(500)),
            client_retried,
        },
        schedule,
        copy_available_in: None,
        now: ClockMillis::from_millis(NOW),
        waiting: millis(waited),
        waited: millis(waited),
        request_hash: hash,
    }
}

/// Guards against requests that wait in vain, and against refusals of requests whose load is about
/// to complete.
#[test]
fn a_request_waits_only_for_a_load_that_is_due_in_time() {
    for case in CASES {
        let wait = LoadWait {
            copy_available_in: case.copy_available_in.map(millis),
            ..load_wait(case.waited, case.load, case.client_retried, 0)
        };
        let decided = wait.decide();
        assert_eq!(decided.cause, case.cause, "{}", case.pattern);
        assert_eq!(decided.decision, case.decision, "{}", case.pattern);
    }
}

/// Guards against a client that returns as it was told to and finds its load behind all others.
#[test]
fn a_returned_request_is_worth_as_much_as_a_new_one() {
    let worth = |waited, retried| load_wait(waited, LoadSchedule::Unknown, retried, 0).worth();
    assert!((worth(0, true) - worth(0, false)).abs() < f64::EPSILON);
    assert!(worth(500, false) < worth(0, false), "an answer after the target is worth less");
}

/// Guards against loads for clients that give up before: they take the places of loads in use.
#[test]
fn only_a_request_that_can_still_be_answered_stays_counted() {
    let returns = |waited, load: LoadSchedule| load_wait(waited, load, true, 0).is_return_useful();
    assert!(returns(0, queued(3000)) && returns(3000, Unknown) && returns(3500, loading(50)));
    assert!(!returns(0, queued(4000)) && !returns(3700, Unknown) && !returns(3500, loading(400)));
}

/// Guards against clients that all return at the same moment and exceed the engine's slots.
#[test]
fn retry_times_for_one_load_are_spread() {
    let retry_time = |step: u64| {
        let schedule = queued(800);
        match load_wait(0, schedule, false, step << 60).decide().decision {
            ColdDecision::Refuse(time) => time,
            ColdDecision::Wait(_) => panic!("the load is due too late"),
        }
    };
    let mut times: Vec<Duration> = (0..16).map(retry_time).collect();
    times.dedup();
    assert_eq!(times.len(), 16, "{times:?}");
    assert_eq!((times[0], times[15]), (millis(920), millis(1100)));
}

proptest! {
    /// Guards against long waits that end in a refusal while a load is on its way, and against
    /// retry times above a third of what the client has left.
    #[test]
    fn refusals_are_early_or_justified(
        waited in 0u64..4000,
        due in -500i64..5000,
        is_queued in any::<bool>(),
        client_retried in any::<bool>(),
        hash in any::<u64>(),
    ) {
        let load = if is_queued { queued(due) } else { loading(due) };
        let decided = load_wait(waited, load, client_retried, hash).decide();
        if let ColdDecision::Refuse(time) = decided.decision {
            prop_assert!(time * 3 <= millis(4000 - waited));
            prop_assert!(is_justified(waited, due));
        }
    }
}

/// Returns whether a request may be refused that has waited for a load due at `due` from now on. A load
/// that is overdue can't be there before now.
fn is_justified(waited: u64, due: i64) -> bool {
    let is_late = waited.saturating_add_signed(due.max(0)) + 100 > 3850;
    waited <= 150 || due <= -150 || is_late || waited >= 3850
}

/// The last millisecond in which a load that has just become overdue is waited for.
#[test]
fn an_overdue_load_is_waited_for_until_its_answer_would_be_late() {
    for (waited, waits) in [(3750, true), (3751, false)] {
        for due in [-1, -100, -149] {
            let decided = load_wait(waited, loading(due), false, 0).decide().decision;
            let is_waiting = matches!(decided, ColdDecision::Wait(_));
            assert_eq!(is_waiting, waits, "{waited} ms waited, due in {due} ms");
            assert_eq!(is_justified(waited, due), !waits);
        }
    }
}
