//! One host's tracker: quarantine after each kind of event, and merging of reports in any order.

use std::sync::Arc;

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    fleet::prompt::{PromptMetadata, PromptPart},
    fleet::quarantine::{
        InterruptedRun, QuarantineEvent, QuarantineThresholds, QuarantineTracker, RequestMark,
        RequestTrait, RequestTraits, SuspectReport, TraitKind, engine_incarnation_id,
    },
};

const POISON: RequestMark = 7;
const POISON_REQUEST: RequestTrait = RequestTrait { kind: TraitKind::Request, mark: POISON };

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(10_000_000 + millis)
}

fn tracker(host: &str) -> QuarantineTracker {
    QuarantineTracker::new(host, QuarantineThresholds::default())
}

/// Returns the traits of a request without a prompt.
fn traits(mark: RequestMark) -> RequestTraits {
    RequestTraits::new(mark, "service", &PromptMetadata::default())
}

fn interrupted(traits: RequestTraits, sent_at: u64) -> InterruptedRun {
    let organisation = Some(Arc::from("north"));
    InterruptedRun { traits, organisation, began: at(sent_at), version: 1, has_answered: false }
}

/// Returns the traits of a request that has a prompt part in common with others.
fn with_part(mark: RequestMark) -> RequestTraits {
    let parts = [2, 1000].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    RequestTraits::new(mark, "service", &PromptMetadata { length: 0, parts })
}

fn run(mark: RequestMark, sent_at: u64) -> InterruptedRun {
    interrupted(traits(mark), sent_at)
}

/// An event of the poison request.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Its engine crashes: the engine, when the run was sent, and when the engine crashed.
    Crash(&'static str, u64, u64),
    /// It completes.
    Complete(u64),
    /// It is probed.
    Probe(u64),
}

struct TrackerCase {
    name: &'static str,
    steps: &'static [Step],
    /// When the quarantine is checked, and the current version of the model.
    checked_at: (u64, u64),
    is_quarantined: bool,
}

const CASES: &[TrackerCase] = &[
    TrackerCase {
        name: "one crash",
        steps: &[Step::Crash("a", 0, 50)],
        checked_at: (60, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "two consecutive crashes",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 60, 90)],
        checked_at: (100, 1),
        is_quarantined: true,
    },
    TrackerCase {
        name: "two engines crash together",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 10, 50)],
        checked_at: (60, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "a rack fails while the same request runs at four engines",
        steps: &[
            Step::Crash("a", 0, 50),
            Step::Crash("b", 10, 51),
            Step::Crash("c", 20, 52),
            Step::Crash("d", 30, 53),
        ],
        checked_at: (60, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "the same crash is reported twice",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("a", 60, 90)],
        checked_at: (100, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "the next incarnation of an engine whose entry is not updated yet",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("a", 2050, 2100)],
        checked_at: (2200, 1),
        is_quarantined: true,
    },
    TrackerCase {
        name: "a completed run between the crashes",
        steps: &[Step::Crash("a", 0, 50), Step::Complete(55), Step::Crash("b", 60, 90)],
        checked_at: (100, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "a completed run after the crashes",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 60, 90), Step::Complete(95)],
        checked_at: (100, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "the quarantine is over",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 60, 90)],
        checked_at: (10_100, 1),
        is_quarantined: false,
    },
    TrackerCase {
        name: "it is being probed",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 60, 90), Step::Probe(10_100)],
        checked_at: (10_150, 1),
        is_quarantined: true,
    },
    TrackerCase {
        name: "the probe crashed an engine",
        steps: &[
            Step::Crash("a", 0, 50),
            Step::Crash("b", 60, 90),
            Step::Probe(10_100),
            Step::Crash("c", 10_100, 10_150),
        ],
        checked_at: (60_000, 1),
        is_quarantined: true,
    },
    TrackerCase {
        name: "five crashes quarantine for eight minutes",
        steps: &[
            Step::Crash("a", 0, 50),
            Step::Crash("b", 60, 90),
            Step::Crash("c", 100, 150),
            Step::Crash("d", 160, 200),
            Step::Crash("e", 210, 250),
        ],
        checked_at: (240_000, 1),
        is_quarantined: true,
    },
    TrackerCase {
        name: "a newer version is probed sooner",
        steps: &[
            Step::Crash("a", 0, 50),
            Step::Crash("b", 60, 90),
            Step::Crash("c", 100, 150),
            Step::Crash("d", 160, 200),
            Step::Crash("e", 210, 250),
        ],
        checked_at: (120_300, 2),
        is_quarantined: false,
    },
    TrackerCase {
        name: "a newer version is not probed at once",
        steps: &[Step::Crash("a", 0, 50), Step::Crash("b", 60, 90), Step::Crash("c", 100, 150)],
        checked_at: (30_000, 2),
        is_quarantined: true,
    },
];

#[test]
fn a_request_is_quarantined_after_consecutive_crashes() {
    for case in CASES {
        let mut tracker = tracker("one");
        for step in case.steps {
            match *step {
                Step::Crash(engine, sent_at, crashed_at) => {
                    tracker.record_crash(
                        engine_incarnation_id(engine, 0),
                        &[run(POISON, sent_at)],
                        at(crashed_at),
                    );
                }
                Step::Complete(now) => tracker.record_completion(&traits(POISON), at(now)),
                Step::Probe(now) => {
                    assert!(
                        tracker.record_start(&traits(POISON), at(now)),
                        "{}: a probe is reported",
                        case.name
                    );
                }
            }
        }
        let (checked_at, version) = case.checked_at;
        assert_eq!(
            tracker.quarantine_left(&traits(POISON), version, at(checked_at)).is_some(),
            case.is_quarantined,
            "{}",
            case.name
        );
        assert_eq!(
            tracker.quarantine_left(&traits(POISON + 1), version, at(checked_at)),
            None,
            "{}: another request",
            case.name
        );
    }
}

/// Delivers the coordinator's publications to a host.
fn publish_to(coordinator: &mut QuarantineTracker, to: &mut QuarantineTracker, now: ClockMillis) {
    let reports = coordinator.take_unpublished(now);
    to.receive(&reports, false, now);
}

#[test]
fn hosts_combine_crashes_that_each_saw_once() {
    let (mut one, mut two, mut coordinator, mut late) =
        (tracker("one"), tracker("two"), tracker("three"), tracker("late"));
    one.record_crash(engine_incarnation_id("a", 0), &[run(POISON, 0)], at(50));
    two.record_crash(engine_incarnation_id("b", 0), &[run(POISON, 60)], at(90));
    for host in [&mut one, &mut two] {
        assert_eq!(
            host.quarantine_left(&traits(POISON), 1, at(95)),
            None,
            "no host quarantines it alone"
        );
    }
    coordinator.receive(&one.take_pending(at(100)), true, at(110));
    assert!(coordinator.take_unpublished(at(110)).is_empty(), "one crash is not published");
    coordinator.receive(&two.take_pending(at(100)), true, at(120));
    assert!(coordinator.quarantine_left(&traits(POISON), 1, at(120)).is_some());
    publish_to(&mut coordinator, &mut one, at(130));
    assert!(one.quarantine_left(&traits(POISON), 1, at(140)).is_some());
    // A new subscriber receives the snapshot.
    late.receive(&coordinator.snapshot(at(200)), false, at(210));
    assert!(late.quarantine_left(&traits(POISON), 1, at(210)).is_some());
    let events = late.take_events();
    let [QuarantineEvent::Quarantined { suspect: POISON_REQUEST, organisation, crashes: 2, .. }] =
        &events[..]
    else {
        panic!("{events:?}");
    };
    assert_eq!(organisation.as_deref(), Some("north"));
    // A completed run at any host clears the request on all.
    one.record_completion(&traits(POISON), at(300));
    coordinator.receive(&one.take_pending(at(300)), true, at(310));
    publish_to(&mut coordinator, &mut late, at(320));
    assert_eq!(late.quarantine_left(&traits(POISON), 1, at(330)), None);
    assert_eq!(late.take_events(), [QuarantineEvent::Cleared { suspect: POISON_REQUEST }]);
}

/// A common request is interrupted at a few hosts and completes at many. Hosts that saw no crash clear it once two
/// crashes are published.
#[test]
fn a_common_request_is_cleared_by_hosts_that_saw_no_crash() {
    let (mut one, mut two, mut coordinator, mut other) =
        (tracker("one"), tracker("two"), tracker("coordinator"), tracker("other"));
    one.record_crash(engine_incarnation_id("a", 0), &[run(POISON, 0)], at(50));
    other.record_completion(&traits(POISON), at(500));
    two.record_crash(engine_incarnation_id("b", 0), &[run(POISON, 600)], at(900));
    for host in [&mut one, &mut two] {
        coordinator.receive(&host.take_pending(at(1000)), true, at(1000));
    }
    publish_to(&mut coordinator, &mut other, at(1000));
    assert_eq!(other.quarantine_left(&traits(POISON), 1, at(1001)), None);
    coordinator.receive(&other.take_pending(at(1010)), true, at(1010));
    assert_eq!(
        coordinator.quarantine_left(&traits(POISON), 1, at(1010)),
        None,
        "one crash is left"
    );
    publish_to(&mut coordinator, &mut one, at(1020));
    assert_eq!(one.quarantine_left(&traits(POISON), 1, at(1020)), None);
}

/// A coordinator that did not publish the crashes still publishes that the request is cleared.
#[test]
fn a_later_coordinator_publishes_that_a_request_is_cleared() {
    let (mut first, mut next, mut other) = (tracker("first"), tracker("next"), tracker("other"));
    for (engine, sent_at) in [("a", 0), ("b", 100)] {
        first.record_crash(
            engine_incarnation_id(engine, 0),
            &[run(POISON, sent_at)],
            at(sent_at + 50),
        );
    }
    first.publish_own();
    let reports = first.take_unpublished(at(200));
    next.receive(&reports, false, at(200));
    other.receive(&reports, false, at(200));
    assert!(other.quarantine_left(&traits(POISON), 1, at(210)).is_some());
    next.record_completion(&traits(POISON), at(300));
    next.publish_own();
    publish_to(&mut next, &mut other, at(310));
    assert_eq!(other.quarantine_left(&traits(POISON), 1, at(310)), None);
}

#[test]
fn unsent_reports_are_sent_again() {
    let mut host = tracker("one");
    host.record_crash(engine_incarnation_id("a", 0), &[run(POISON, 0)], at(50));
    let lost = host.take_pending(at(60));
    host.resend(&lost);
    assert_eq!(host.take_pending(at(60)), lost);
    assert!(host.take_pending(at(60)).is_empty());
    host.resend_all();
    assert_eq!(host.take_pending(at(60)).len(), 1);
}

/// A flood of bad bodies evicts the suspects with the fewest crashes, and the bound holds.
#[test]
fn a_flood_of_bodies_is_bounded_and_releases_no_quarantined_request() {
    let mut host = tracker("one");
    host.record_crash(engine_incarnation_id("a", 0), &[run(POISON, 0)], at(50));
    host.record_crash(engine_incarnation_id("b", 0), &[run(POISON, 60)], at(90));
    for number in 0..20_000_u64 {
        let mark = 1000 + RequestMark::from(number);
        let incarnation = engine_incarnation_id(&number.to_string(), 0);
        host.record_crash(incarnation, &[run(mark, 100)], at(100 + number / 10));
    }
    let (suspects, quarantined) = host.counts();
    assert!(suspects <= 2048, "{suspects} suspects");
    assert_eq!(quarantined, 1);
    assert!(host.quarantine_left(&traits(POISON), 1, at(2200)).is_some());
    assert!(host.is_suspect(&traits(1000 + 19_999)), "the newest is kept");
    host.evict_expired(at(2200 + 700_000));
    assert_eq!(host.counts(), (0, 0), "all suspects expire");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x0009_0a4a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Reports that arrive in another order or twice have the same effect.
    #[test]
    fn reports_in_any_order_have_the_same_effect(
        crashes in proptest::collection::vec((0..6_u64, 0..2000_u64), 1..8),
        cleared_at in proptest::option::of(0..2000_u64),
        order in Just((0..16_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut reports: Vec<SuspectReport> = Vec::new();
        let now = at(3000);
        for (engine, sent_at) in &crashes {
            let mut host = tracker("crashed");
            // Each incarnation crashes once, whichever host reports it.
            let crashed_at = 2400 + engine * 10;
            host.record_crash(engine_incarnation_id("e", *engine), &[run(POISON, *sent_at)], at(crashed_at));
            reports.extend(host.take_pending(now));
        }
        if let Some(cleared_at) = cleared_at {
            let mut host = tracker("completed");
            host.receive(&reports, false, now);
            host.record_completion(&traits(POISON), at(cleared_at));
            reports.extend(host.take_pending(now));
        }
        let (mut in_order, mut shuffled) = (tracker("host"), tracker("host"));
        in_order.receive(&reports, false, now);
        for index in &order {
            if let Some(report) = reports.get(*index % reports.len()) {
                shuffled.receive(std::slice::from_ref(report), false, now);
            }
        }
        for report in &reports {
            shuffled.receive(std::slice::from_ref(report), false, now);
        }
        prop_assert_eq!(in_order.quarantine_left(&traits(POISON), 1, now), shuffled.quarantine_left(&traits(POISON), 1, now));
        prop_assert_eq!(in_order.is_suspect(&traits(POISON)), shuffled.is_suspect(&traits(POISON)));
    }

    /// Reports on a prompt part that arrive in another order or twice have the same effect, also those of different
    /// requests that one crash interrupted.
    #[test]
    fn part_reports_in_any_order_have_the_same_effect(
        crashes in proptest::collection::vec((0..6_u64, 0..4000_u64, 0..3_u64), 1..8),
        cleared_at in proptest::option::of(0..4000_u64),
        order in Just((0..16_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let request = |number: u64| with_part(RequestMark::from(number));
        let mut reports: Vec<SuspectReport> = Vec::new();
        let now = at(5000);
        for (engine, age, number) in &crashes {
            let mut host = tracker("crashed");
            // Each incarnation crashes once, whichever host reports it.
            let crashed_at = 600 * (engine + 1);
            let sent_at = crashed_at.saturating_sub(*age);
            host.record_crash(
                engine_incarnation_id("e", *engine),
                &[interrupted(request(*number), sent_at)],
                at(crashed_at),
            );
            reports.extend(host.take_pending(now));
        }
        if let Some(cleared_at) = cleared_at {
            let mut host = tracker("completed");
            host.receive(&reports, false, now);
            host.record_completion(&request(0), at(cleared_at));
            reports.extend(host.take_pending(now));
        }
        let (mut in_order, mut shuffled) = (tracker("host"), tracker("host"));
        in_order.receive(&reports, false, now);
        for index in &order {
            if let Some(report) = reports.get(*index % reports.len()) {
                shuffled.receive(std::slice::from_ref(report), false, now);
            }
        }
        for report in &reports {
            shuffled.receive(std::slice::from_ref(report), false, now);
        }
        let other = with_part(RequestMark::from(99_u64));
        prop_assert_eq!(
            in_order.quarantine_left(&other, 1, now),
            shuffled.quarantine_left(&other, 1, now)
        );
        prop_assert_eq!(in_order.is_suspect(&other), shuffled.is_suspect(&other));
    }
}
