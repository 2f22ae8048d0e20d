//! Limits that engines declare, as seen by one host.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    fleet::{
        EngineName,
        announcement::Declared,
        limits::{
            events::LimitEvent,
            limit::{LimitDeclaration, RequestLimit},
            share::LimitShare,
        },
    },
};

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(millis)
}

fn declared(per_second: f64) -> Declared<RequestLimit> {
    Declared::Present(RequestLimit::new(per_second).expect("a limit"))
}

/// Responses of one engine to one host, and whether the engine counts as limited after each.
struct DeclarationCase {
    name: &'static str,
    /// When the response began, when its request was sent, the incarnation, the declared limit, and whether its
    /// absence is conclusive.
    responses: &'static [(u64, u64, u64, Option<f64>, bool)],
    limited: &'static [bool],
}

#[test]
fn the_latest_declaration_of_an_incarnation_counts() {
    let cases = [
        DeclarationCase {
            name: "a response to an earlier request does not end a limit",
            responses: &[(100, 90, 1, Some(1.5), true), (120, 95, 1, None, true)],
            limited: &[true, true],
        },
        DeclarationCase {
            name: "a response to a later request ends it",
            responses: &[(100, 90, 1, Some(1.5), true), (130, 110, 1, None, true)],
            limited: &[true, false],
        },
        DeclarationCase {
            name: "rejections, orders and reports can declare a limit but not end one",
            responses: &[
                (100, 90, 1, Some(1.5), false),
                (130, 110, 1, None, false),
                (150, 140, 1, None, true),
            ],
            limited: &[true, true, false],
        },
        DeclarationCase {
            name: "zero is a limit",
            responses: &[(100, 90, 1, Some(0.0), true)],
            limited: &[true],
        },
        DeclarationCase {
            name: "a later incarnation does not end the limit of the earlier one and declares its own",
            responses: &[
                (100, 90, 1, Some(1.5), true),
                (130, 110, 2, None, true),
                (150, 140, 2, Some(3.0), true),
                (170, 160, 2, None, true),
            ],
            limited: &[true, true, true, false],
        },
    ];
    let engine: EngineName = Arc::from("e1");
    for case in cases {
        let mut share = LimitShare::default();
        for ((responded_at, requested_at, incarnation, limit, absence_is_conclusive), limited) in
            case.responses.iter().zip(case.limited)
        {
            let limit = limit.map_or(Declared::Absent, declared);
            let declaration = LimitDeclaration {
                limit,
                requested_at: at(*requested_at),
                absence_is_conclusive: *absence_is_conclusive,
            };
            share.receive_declaration(&engine, *incarnation, declaration, at(*responded_at));
            assert_eq!(share.declares_limit(&engine), *limited, "{}, at {responded_at}", case.name);
        }
    }
}

#[test]
fn log_lines_on_an_engine_that_often_changes_its_limit_are_throttled() {
    let engine: EngineName = Arc::from("e1");
    let mut share = LimitShare::default();
    let mut events = Vec::new();
    for number in 0..1000u64 {
        let now = at(1000 + number * 10);
        let limit = match number % 3 {
            0 => declared(1.0 + number as f64),
            1 => Declared::Absent,
            _ => Declared::Unreadable,
        };
        let requested_at = now - Duration::from_millis(5);
        share.receive_declaration(
            &engine,
            1,
            LimitDeclaration { limit, requested_at, absence_is_conclusive: true },
            now,
        );
        events.extend(share.take_events(now));
    }
    // At most one line per second on the limit and one on unreadable values, over ten seconds.
    assert!((2..=22).contains(&events.len()), "{} lines", events.len());
    let unreadable = events.iter().filter_map(|event| match event {
        LimitEvent::Unreadable { responses, .. } => Some(*responses),
        _ => None,
    });
    assert!(unreadable.sum::<u64>() > 300, "throttled events are counted");
}
