//! Limits that engines name, as one host hears them.

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

fn named(per_second: f64) -> Declared<RequestLimit> {
    Declared::Present(RequestLimit::new(per_second).expect("a limit"))
}

/// Answers that one host hears of one engine, and whether the engine counts as limited after each.
struct HearingCase {
    name: &'static str,
    /// When the answer began, when what it answers was sent, the life, what it says, whether it would say a limit.
    answers: &'static [(u64, u64, u64, Option<f64>, bool)],
    limited: &'static [bool],
}

#[test]
fn the_later_word_of_one_life_counts() {
    let cases = [
        HearingCase {
            name: "an answer to what was sent before the word does not end it",
            answers: &[(100, 90, 1, Some(1.5), true), (120, 95, 1, None, true)],
            limited: &[true, true],
        },
        HearingCase {
            name: "one to what was sent after it does",
            answers: &[(100, 90, 1, Some(1.5), true), (130, 110, 1, None, true)],
            limited: &[true, false],
        },
        HearingCase {
            name: "refusals, orders and reports without a word end none, with one they name it",
            answers: &[
                (100, 90, 1, Some(1.5), false),
                (130, 110, 1, None, false),
                (150, 140, 1, None, true),
            ],
            limited: &[true, true, false],
        },
        HearingCase {
            name: "zero is a limit",
            answers: &[(100, 90, 1, Some(0.0), true)],
            limited: &[true],
        },
        HearingCase {
            name: "a later life has no limit of the one before to end, and names its own",
            answers: &[
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
        for ((began, asked, born, said, absence_is_conclusive), limited) in
            case.answers.iter().zip(case.limited)
        {
            let said = said.map_or(Declared::Absent, named);
            let word = LimitDeclaration {
                limit: said,
                requested_at: at(*asked),
                absence_is_conclusive: *absence_is_conclusive,
            };
            share.receive_declaration(&engine, *born, word, at(*began));
            assert_eq!(share.declares_limit(&engine), *limited, "{}, at {began}", case.name);
        }
    }
}

#[test]
fn lines_on_an_engine_that_changes_its_word_with_each_answer_are_few() {
    let engine: EngineName = Arc::from("e1");
    let mut share = LimitShare::default();
    let mut news = Vec::new();
    for number in 0..1000u64 {
        let now = at(1000 + number * 10);
        let said = match number % 3 {
            0 => named(1.0 + number as f64),
            1 => Declared::Absent,
            _ => Declared::Unreadable,
        };
        let asked = now - Duration::from_millis(5);
        share.receive_declaration(
            &engine,
            1,
            LimitDeclaration { limit: said, requested_at: asked, absence_is_conclusive: true },
            now,
        );
        news.extend(share.take_events(now));
    }
    // Ten seconds: a line a second on the limit, and one on what can not be read.
    assert!((2..=22).contains(&news.len()), "{} lines", news.len());
    let unreadable = news.iter().filter_map(|news| match news {
        LimitEvent::Unreadable { answers, .. } => Some(*answers),
        _ => None,
    });
    assert!(unreadable.sum::<u64>() > 300, "what was left out is counted");
}
