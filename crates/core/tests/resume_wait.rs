//! When an interrupted stream waits for an engine, and when it is given up.

use std::time::Duration;

use reelreel_core::{ClockMillis, fleet::resume_wait::ResumeWait, placement::LoadSchedule};

const NOW: ClockMillis = ClockMillis::from_millis(100_000);

fn after(millis: u64) -> ClockMillis {
    NOW + Duration::from_millis(millis)
}

/// A stream with 4 s left that was interrupted just after an event; no load is known.
fn interrupted() -> ResumeWait {
    ResumeWait {
        silence: Duration::from_millis(20),
        waited: Duration::ZERO,
        latency_target: Duration::from_millis(500),
        max_event_gap: Some(Duration::from_millis(200)),
        remaining: Duration::from_secs(4),
        prefill_time: Duration::from_millis(40),
        available_in: None,
        loadable: true,
        schedule: LoadSchedule::Unknown,
        now: NOW,
    }
}

struct WaitCase {
    name: &'static str,
    wait: ResumeWait,
    waits: bool,
}

fn cases() -> Vec<WaitCase> {
    let overdue = NOW - Duration::from_millis(400);
    vec![
        WaitCase { name: "the placer has not answered yet", wait: interrupted(), waits: true },
        WaitCase {
            name: "the placer does not answer",
            wait: ResumeWait { waited: Duration::from_millis(400), ..interrupted() },
            waits: false,
        },
        WaitCase {
            name: "a load is due later than the route allows and before the client gives up",
            wait: ResumeWait {
                waited: Duration::from_millis(600),
                silence: Duration::from_millis(620),
                schedule: LoadSchedule::Loading { due: after(900) },
                ..interrupted()
            },
            waits: true,
        },
        WaitCase {
            name: "a load is due after the client gives up",
            wait: ResumeWait {
                schedule: LoadSchedule::Loading { due: after(2000) },
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "a load is due after the deadline",
            wait: ResumeWait {
                remaining: Duration::from_millis(700),
                schedule: LoadSchedule::Loading { due: after(700) },
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "a load takes somewhat longer than expected",
            wait: ResumeWait {
                waited: Duration::from_millis(500),
                silence: Duration::from_millis(520),
                schedule: LoadSchedule::Loading { due: NOW - Duration::from_millis(200) },
                ..interrupted()
            },
            waits: true,
        },
        WaitCase {
            name: "a load is overdue and the stream has waited",
            wait: ResumeWait {
                waited: Duration::from_millis(800),
                schedule: LoadSchedule::Loading { due: overdue },
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "a load stays queued",
            wait: ResumeWait {
                waited: Duration::from_millis(400),
                schedule: LoadSchedule::Queued { due: after(900) },
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "no engine can load the adapter",
            wait: ResumeWait {
                loadable: false,
                schedule: LoadSchedule::Loading { due: after(100) },
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "an engine with the adapter accepts requests soon",
            wait: ResumeWait {
                loadable: false,
                available_in: Some(Duration::from_millis(900)),
                ..interrupted()
            },
            waits: true,
        },
        WaitCase {
            name: "an engine with the adapter accepts requests too late",
            wait: ResumeWait {
                loadable: false,
                available_in: Some(Duration::from_secs(3)),
                ..interrupted()
            },
            waits: false,
        },
        WaitCase {
            name: "the client is about to give up",
            wait: ResumeWait { silence: Duration::from_millis(1950), ..interrupted() },
            waits: false,
        },
    ]
}

/// Guards against streams that are given up while they could go on, and against streams that are
/// held for nothing.
#[test]
fn an_interrupted_stream_waits_only_for_what_comes_in_time() {
    for WaitCase { name, wait, waits } in cases() {
        assert_eq!(wait.decide().is_some(), waits, "{name}");
    }
}

#[test]
fn what_a_client_has_got_counts_in_addition_to_the_rest() {
    let in_time = ResumeWait { max_event_gap: Some(Duration::from_secs(1)), ..interrupted() };
    assert!(in_time.worth() > 1.0);
    let late = ResumeWait { silence: Duration::from_millis(1500), ..in_time };
    assert!(late.worth() > 1.0 && late.worth() < in_time.worth());
}
