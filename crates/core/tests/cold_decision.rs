//! Decisions about requests whose adapter no engine holds, where clients have little time to retry.

use std::time::Duration;

use proptest::prelude::*;
use reelreel_core::{
    ClockMillis,
    fleet::{
        cold_decision::{DecisionCause, LoadWait},
        cold_start::{ColdDecision, ColdRequest},
    },
    placement::LoadSchedule,
};

const NOW: u64 = 100_000;

/// A schedule relative to now; a negative time has passed.
#[derive(Debug, Clone, Copy)]
enum Load {
    Loading(i64),
    Queued(i64),
    Unknown,
}

impl Load {
    fn schedule(self) -> LoadSchedule {
        let due = |time: i64| ClockMillis::from_millis(NOW.saturating_add_signed(time));
        match self {
            Self::Loading(time) => LoadSchedule::Loading { due: due(time) },
            Self::Queued(time) => LoadSchedule::Queued { due: due(time) },
            Self::Unknown => LoadSchedule::Unknown,
        }
    }
}

/// A request with a latency target of 600 ms and a timeout of 4 s that has waited since its
/// arrival; the prefill takes 40 ms.
struct DecisionCase {
    /// The load pattern that the case answers.
    pattern: &'static str,
    waited: u64,
    load: Load,
    copy_available_in: Option<u64>,
    client_retried: bool,
    cause: DecisionCause,
    decision: ColdDecision,
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

const NEW: DecisionCase = DecisionCase {
    pattern: "",
    waited: 0,
    load: Load::Unknown,
    copy_available_in: None,
    client_retried: false,
    cause: DecisionCause::ScheduleAwaited,
    decision: wait(100),
};

const CASES: &[DecisionCase] = &[
    DecisionCase { pattern: "first request for an adapter: the placer is asked", ..NEW },
    DecisionCase {
        pattern: "the placer does not answer",
        waited: 100,
        cause: DecisionCause::NoSchedule,
        // A third of 3,870 ms.
        decision: refuse(1290),
        ..NEW
    },
    DecisionCase {
        pattern: "ordinary load from the weight store",
        waited: 20,
        load: Load::Loading(290),
        cause: DecisionCause::LoadDue,
        decision: wait(440),
        ..NEW
    },
    DecisionCase {
        pattern: "last moment at which an answer is in time",
        waited: 20,
        load: Load::Loading(480),
        cause: DecisionCause::LoadDue,
        decision: wait(630),
        ..NEW
    },
    DecisionCase {
        pattern: "the weight store is overloaded: the load is due too late",
        waited: 20,
        load: Load::Loading(481),
        cause: DecisionCause::DueLate,
        decision: refuse(600),
        ..NEW
    },
    DecisionCase {
        pattern: "a returned client waits longer for the same load",
        waited: 20,
        load: Load::Loading(481),
        client_retried: true,
        cause: DecisionCause::LoadDue,
        decision: wait(631),
        ..NEW
    },
    DecisionCase {
        pattern: "more requests than orders: briefly for a queued load",
        waited: 20,
        load: Load::Queued(400),
        cause: DecisionCause::LoadQueued,
        decision: wait(100),
        ..NEW
    },
    DecisionCase {
        pattern: "the queue does not advance",
        waited: 120,
        load: Load::Queued(300),
        cause: DecisionCause::NotOrdered,
        decision: refuse(420),
        ..NEW
    },
    DecisionCase {
        pattern: "long queue: refused at once, and told when the load is due",
        waited: 10,
        load: Load::Queued(900),
        cause: DecisionCause::NotOrdered,
        decision: refuse(1020),
        ..NEW
    },
    DecisionCase {
        pattern: "very long queue: a third of the remaining time",
        waited: 10,
        load: Load::Queued(30_000),
        cause: DecisionCause::NotOrdered,
        decision: refuse(1320),
        ..NEW
    },
    DecisionCase {
        pattern: "the due time moves beyond the target after a long wait",
        waited: 300,
        load: Load::Loading(700),
        cause: DecisionCause::Held,
        decision: wait(850),
        ..NEW
    },
    DecisionCase {
        pattern: "an engine refuses the order after a long wait",
        waited: 300,
        load: Load::Queued(350),
        cause: DecisionCause::Held,
        decision: wait(500),
        ..NEW
    },
    DecisionCase {
        pattern: "an answer would come after the client has given up",
        waited: 300,
        load: Load::Loading(3800),
        cause: DecisionCause::DueLate,
        decision: refuse(1220),
        ..NEW
    },
    DecisionCase {
        pattern: "a load that was just due still counts",
        waited: 350,
        load: Load::Loading(-149),
        cause: DecisionCause::Held,
        decision: wait(10),
        ..NEW
    },
    DecisionCase {
        pattern: "the placer died after it had sent its estimate",
        waited: 350,
        load: Load::Loading(-150),
        cause: DecisionCause::Overdue,
        decision: refuse(1200),
        ..NEW
    },
    DecisionCase {
        pattern: "an older estimate of an adapter that was evicted since: the placer is asked",
        load: Load::Loading(-1500),
        ..NEW
    },
    DecisionCase {
        pattern: "the only copy is at an engine that failed",
        waited: 5,
        copy_available_in: Some(400),
        cause: DecisionCause::CopyAvoided,
        decision: wait(400),
        ..NEW
    },
    DecisionCase {
        pattern: "the client is about to give up",
        waited: 3850,
        load: Load::Loading(10),
        cause: DecisionCause::ClientLimit,
        decision: refuse(40),
        ..NEW
    },
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
            ..load_wait(case.waited, case.load.schedule(), case.client_retried, 0)
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

/// Guards against clients that all return at the same moment and exceed the engine's slots.
#[test]
fn retry_times_for_one_load_are_spread() {
    let retry_time = |step: u64| {
        let schedule = Load::Queued(800).schedule();
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
        queued in any::<bool>(),
        client_retried in any::<bool>(),
        hash in any::<u64>(),
    ) {
        let load = if queued { Load::Queued(due) } else { Load::Loading(due) };
        let decided = load_wait(waited, load.schedule(), client_retried, hash).decide();
        if let ColdDecision::Refuse(time) = decided.decision {
            prop_assert!(time * 3 <= millis(4000 - waited));
            let is_late = waited.saturating_add_signed(due) + 100 > 3850;
            prop_assert!(waited <= 150 || due <= -150 || is_late || waited >= 3850);
        }
    }
}
