//! What one host's book says after each kind of thing that can happen, and that words are merged in whichever order they come.

use std::sync::Arc;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    fleet::quarantine::{
        CRASHES_UNTIL_QUARANTINED, InterruptedRun, QuarantineEvent, QuarantineTracker, RequestMark,
        SuspectReport, engine_incarnation_id,
    },
};

const BAD: RequestMark = 7;

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(10_000_000 + millis)
}

fn book(host: &str) -> QuarantineTracker {
    QuarantineTracker::new(host, CRASHES_UNTIL_QUARANTINED)
}

fn run(mark: RequestMark, began: u64) -> InterruptedRun {
    InterruptedRun { mark, organisation: Some(Arc::from("north")), began: at(began), version: 1 }
}

/// One thing that happens to the bad request.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Its engine ends: which, when the run began, and when the engine ended.
    Ends(&'static str, u64, u64),
    /// It runs whole at this time.
    Whole(u64),
    /// It is tried at this time.
    Tried(u64),
}

struct BookCase {
    name: &'static str,
    steps: &'static [Step],
    /// When it is looked at, and with which version named.
    look: (u64, u64),
    held: bool,
}

const CASES: &[BookCase] = &[
    BookCase { name: "one end", steps: &[Step::Ends("a", 0, 50)], look: (60, 1), held: false },
    BookCase {
        name: "two ends, one after the other",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 60, 90)],
        look: (100, 1),
        held: true,
    },
    BookCase {
        name: "two engines end together",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 10, 50)],
        look: (60, 1),
        held: false,
    },
    BookCase {
        name: "a rack goes while the same request runs at four engines, twice",
        steps: &[
            Step::Ends("a", 0, 50),
            Step::Ends("b", 10, 51),
            Step::Ends("c", 20, 52),
            Step::Ends("d", 30, 53),
        ],
        look: (60, 1),
        held: false,
    },
    BookCase {
        name: "the same life is heard of twice",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("a", 60, 90)],
        look: (100, 1),
        held: false,
    },
    BookCase {
        name: "the next life of an engine whose entry has not come yet",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("a", 2050, 2100)],
        look: (2200, 1),
        held: true,
    },
    BookCase {
        name: "a whole run between the ends",
        steps: &[Step::Ends("a", 0, 50), Step::Whole(55), Step::Ends("b", 60, 90)],
        look: (100, 1),
        held: false,
    },
    BookCase {
        name: "a whole run after the ends",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 60, 90), Step::Whole(95)],
        look: (100, 1),
        held: false,
    },
    BookCase {
        name: "the hold is over",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 60, 90)],
        look: (10_100, 1),
        held: false,
    },
    BookCase {
        name: "it is being tried",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 60, 90), Step::Tried(10_100)],
        look: (10_150, 1),
        held: true,
    },
    BookCase {
        name: "the try ended an engine",
        steps: &[
            Step::Ends("a", 0, 50),
            Step::Ends("b", 60, 90),
            Step::Tried(10_100),
            Step::Ends("c", 10_100, 10_150),
        ],
        look: (60_000, 1),
        held: true,
    },
    BookCase {
        name: "five ends hold for eight minutes",
        steps: &[
            Step::Ends("a", 0, 50),
            Step::Ends("b", 60, 90),
            Step::Ends("c", 100, 150),
            Step::Ends("d", 160, 200),
            Step::Ends("e", 210, 250),
        ],
        look: (240_000, 1),
        held: true,
    },
    BookCase {
        name: "a newer version is tried sooner",
        steps: &[
            Step::Ends("a", 0, 50),
            Step::Ends("b", 60, 90),
            Step::Ends("c", 100, 150),
            Step::Ends("d", 160, 200),
            Step::Ends("e", 210, 250),
        ],
        look: (120_300, 2),
        held: false,
    },
    BookCase {
        name: "but not at once",
        steps: &[Step::Ends("a", 0, 50), Step::Ends("b", 60, 90), Step::Ends("c", 100, 150)],
        look: (30_000, 2),
        held: true,
    },
];

#[test]
fn a_request_is_held_back_after_ends_in_a_row() {
    for case in CASES {
        let mut book = book("one");
        for step in case.steps {
            match *step {
                Step::Ends(engine, began, ended) => {
                    book.record_crash(
                        engine_incarnation_id(engine, 0),
                        &[run(BAD, began)],
                        at(ended),
                    );
                }
                Step::Whole(now) => book.record_completion(BAD, at(now)),
                Step::Tried(now) => {
                    assert!(book.record_start(BAD, at(now)), "{}: a try is told", case.name);
                }
            }
        }
        let (look, version) = case.look;
        assert_eq!(
            book.quarantine_left(BAD, version, at(look)).is_some(),
            case.held,
            "{}",
            case.name
        );
        assert_eq!(
            book.quarantine_left(BAD + 1, version, at(look)),
            None,
            "{}: another request",
            case.name
        );
    }
}

/// Brings the ends of two engines under one request to a host, by the words of two others through the one that adds up.
fn told_through(adding: &mut QuarantineTracker, to: &mut QuarantineTracker, now: ClockMillis) {
    let words = adding.take_unpublished(now);
    to.receive(&words, false, now);
}

#[test]
fn hosts_that_saw_one_end_each_know_it_together() {
    let (mut one, mut two, mut three, mut late) =
        (book("one"), book("two"), book("three"), book("late"));
    one.record_crash(engine_incarnation_id("a", 0), &[run(BAD, 0)], at(50));
    two.record_crash(engine_incarnation_id("b", 0), &[run(BAD, 60)], at(90));
    for host in [&mut one, &mut two] {
        assert_eq!(host.quarantine_left(BAD, 1, at(95)), None, "no host knows it alone");
    }
    three.receive(&one.take_pending(at(100)), true, at(110));
    assert!(three.take_unpublished(at(110)).is_empty(), "one end concerns nobody else");
    three.receive(&two.take_pending(at(100)), true, at(120));
    assert!(three.quarantine_left(BAD, 1, at(120)).is_some());
    told_through(&mut three, &mut one, at(130));
    assert!(one.quarantine_left(BAD, 1, at(140)).is_some());
    // Who begins to listen later hears it at once.
    late.receive(&three.snapshot(at(200)), false, at(210));
    assert!(late.quarantine_left(BAD, 1, at(210)).is_some());
    let news = late.take_events();
    let [QuarantineEvent::Quarantined { mark: BAD, organisation, crashes: 2, .. }] = &news[..]
    else {
        panic!("{news:?}");
    };
    assert_eq!(organisation.as_deref(), Some("north"));
    // A whole run at any host clears it at all.
    one.record_completion(BAD, at(300));
    three.receive(&one.take_pending(at(300)), true, at(310));
    told_through(&mut three, &mut late, at(320));
    assert_eq!(late.quarantine_left(BAD, 1, at(330)), None);
    assert_eq!(late.take_events(), [QuarantineEvent::Cleared { mark: BAD }]);
}

/// A request that many callers send breaks off at the hosts that had it at engines which ended, and runs whole at all others:
/// these know of no end until they hear of two, and say at once that it is not the one.
#[test]
fn a_common_request_is_cleared_by_hosts_that_saw_no_end() {
    let (mut one, mut two, mut adding, mut other) =
        (book("one"), book("two"), book("adding"), book("other"));
    one.record_crash(engine_incarnation_id("a", 0), &[run(BAD, 0)], at(50));
    other.record_completion(BAD, at(500));
    two.record_crash(engine_incarnation_id("b", 0), &[run(BAD, 600)], at(900));
    for host in [&mut one, &mut two] {
        adding.receive(&host.take_pending(at(1000)), true, at(1000));
    }
    told_through(&mut adding, &mut other, at(1000));
    assert_eq!(other.quarantine_left(BAD, 1, at(1001)), None);
    adding.receive(&other.take_pending(at(1010)), true, at(1010));
    assert_eq!(adding.quarantine_left(BAD, 1, at(1010)), None, "one end is left");
    told_through(&mut adding, &mut one, at(1020));
    assert_eq!(one.quarantine_left(BAD, 1, at(1020)), None);
}

/// Another host adds up by the time the request is cleared: it tells those who were told of the ends by the one before.
#[test]
fn a_clearing_is_told_to_all_by_whoever_adds_up_then() {
    let (mut first, mut next, mut other) = (book("first"), book("next"), book("other"));
    for (engine, began) in [("a", 0), ("b", 100)] {
        first.record_crash(engine_incarnation_id(engine, 0), &[run(BAD, began)], at(began + 50));
    }
    first.publish_own();
    let words = first.take_unpublished(at(200));
    next.receive(&words, false, at(200));
    other.receive(&words, false, at(200));
    assert!(other.quarantine_left(BAD, 1, at(210)).is_some());
    next.record_completion(BAD, at(300));
    next.publish_own();
    told_through(&mut next, &mut other, at(310));
    assert_eq!(other.quarantine_left(BAD, 1, at(310)), None);
}

#[test]
fn a_host_that_has_nobody_to_tell_says_it_all_again_later() {
    let mut host = book("one");
    host.record_crash(engine_incarnation_id("a", 0), &[run(BAD, 0)], at(50));
    let lost = host.take_pending(at(60));
    host.resend(&lost);
    assert_eq!(host.take_pending(at(60)), lost);
    assert!(host.take_pending(at(60)).is_empty());
    host.resend_all();
    assert_eq!(host.take_pending(at(60)).len(), 1);
}

/// A flood of bad bodies drives out what is known least, never what is held back, and the bound holds.
#[test]
fn a_flood_of_bodies_is_bounded_and_frees_nothing_that_is_held_back() {
    let mut host = book("one");
    host.record_crash(engine_incarnation_id("a", 0), &[run(BAD, 0)], at(50));
    host.record_crash(engine_incarnation_id("b", 0), &[run(BAD, 60)], at(90));
    for number in 0..20_000_u64 {
        let mark = 1000 + RequestMark::from(number);
        let life = engine_incarnation_id(&number.to_string(), 0);
        host.record_crash(life, &[run(mark, 100)], at(100 + number / 10));
    }
    let (suspects, held) = host.counts();
    assert!(suspects <= 2048, "{suspects} suspects");
    assert_eq!(held, 1);
    assert!(host.quarantine_left(BAD, 1, at(2200)).is_some());
    assert!(host.is_suspect(1000 + 19_999), "the newest is known");
    host.evict_expired(at(2200 + 700_000));
    assert_eq!(host.counts(), (0, 0), "nothing is known for ever");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0009_0a4a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Words that come in another order, or twice, say the same.
    #[test]
    fn words_in_any_order_say_the_same(
        ends in proptest::collection::vec((0..6_u64, 0..2000_u64), 1..8),
        cleared in proptest::option::of(0..2000_u64),
        order in Just((0..16_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut words: Vec<SuspectReport> = Vec::new();
        let now = at(3000);
        for (engine, began) in &ends {
            let mut host = book("saw");
            // One life ends once, whoever saw it.
            let ended = 2400 + engine * 10;
            host.record_crash(engine_incarnation_id("e", *engine), &[run(BAD, *began)], at(ended));
            words.extend(host.take_pending(now));
        }
        if let Some(cleared) = cleared {
            let mut host = book("whole");
            host.receive(&words, false, now);
            host.record_completion(BAD, at(cleared));
            words.extend(host.take_pending(now));
        }
        let (mut straight, mut shuffled) = (book("host"), book("host"));
        straight.receive(&words, false, now);
        for place in &order {
            if let Some(word) = words.get(*place % words.len()) {
                shuffled.receive(std::slice::from_ref(word), false, now);
            }
        }
        for word in &words {
            shuffled.receive(std::slice::from_ref(word), false, now);
        }
        prop_assert_eq!(straight.quarantine_left(BAD, 1, now), shuffled.quarantine_left(BAD, 1, now));
        prop_assert_eq!(straight.is_suspect(BAD), shuffled.is_suspect(BAD));
    }
}
