//! One host's tracker: when a prompt part is quarantined, and how often it is probed.

use reelreel_core::{
    ClockMillis,
    fleet::prompt::{PromptMetadata, PromptPart, PromptPartId},
    fleet::quarantine::{
        InterruptedRun, QuarantineEvent, QuarantineThresholds, QuarantineTracker, RequestMark,
        RequestTraits, TraitKind, engine_incarnation_id,
    },
};

use crate::random::Random;

const SERVICE: &str = "service";
const FIRST_PART: PromptPartId = 1;
const POISON_PART: PromptPartId = 2;

/// A request that no engine has run.
const OTHER_REQUEST: RequestMark = 99;

fn at(millis: u64) -> ClockMillis {
    ClockMillis::from_millis(10_000_000 + millis)
}

fn tracker(host: &str) -> QuarantineTracker {
    QuarantineTracker::new(host, QuarantineThresholds::default())
}

/// Returns the traits of a request whose prompt has these parts, and one of its own.
fn traits(request: RequestMark, service: &str, parts: &[PromptPartId]) -> RequestTraits {
    let own_part = u64::MAX - u64::try_from(request).unwrap_or_default();
    let all_parts = parts.iter().chain([&own_part]);
    let parts = all_parts.map(|id| PromptPart { id: *id, tokens: 100 }).collect();
    RequestTraits::new(request, service, &PromptMetadata { length: 0, parts })
}

fn poison(request: RequestMark) -> RequestTraits {
    traits(request, SERVICE, &[FIRST_PART, POISON_PART])
}

fn interrupted(request: RequestMark, sent_at: u64, has_answered: bool) -> InterruptedRun {
    InterruptedRun {
        traits: poison(request),
        organisation: None,
        began: at(sent_at),
        version: 1,
        has_answered,
    }
}

#[derive(Debug, Clone, Copy)]
enum PartStep {
    /// An engine crashes before it begins to answer: the engine, the request, when it was sent, and when the engine
    /// crashed.
    Crash(&'static str, RequestMark, u64, u64),
    /// An engine crashes while it answers.
    CrashInAnswer(&'static str, RequestMark, u64, u64),
    /// An answer begins.
    FirstEvent(RequestMark, u64),
}

struct PartCase {
    name: &'static str,
    steps: &'static [PartStep],
    is_quarantined: bool,
}

const CASES: &[PartCase] = &[
    PartCase { name: "one crash", steps: &[PartStep::Crash("a", 1, 0, 50)], is_quarantined: false },
    PartCase {
        name: "two consecutive crashes under two requests",
        steps: &[PartStep::Crash("a", 1, 0, 50), PartStep::Crash("b", 2, 60, 90)],
        is_quarantined: true,
    },
    PartCase {
        name: "two consecutive crashes under the same request",
        steps: &[PartStep::Crash("a", 1, 0, 50), PartStep::Crash("b", 1, 60, 90)],
        is_quarantined: false,
    },
    PartCase {
        name: "a repeated request, then another",
        steps: &[
            PartStep::Crash("a", 1, 0, 50),
            PartStep::Crash("b", 1, 60, 90),
            PartStep::Crash("c", 2, 100, 150),
        ],
        is_quarantined: true,
    },
    PartCase {
        name: "engines crash together",
        steps: &[
            PartStep::Crash("a", 1, 0, 50),
            PartStep::Crash("b", 2, 10, 52),
            PartStep::Crash("c", 3, 20, 54),
        ],
        is_quarantined: false,
    },
    PartCase {
        name: "crashes well apart of requests that were sent together",
        steps: &[PartStep::Crash("a", 1, 0, 300), PartStep::Crash("b", 2, 10, 600)],
        is_quarantined: true,
    },
    PartCase {
        name: "an answer begins between the crashes",
        steps: &[
            PartStep::Crash("a", 1, 0, 50),
            PartStep::FirstEvent(2, 55),
            PartStep::Crash("b", 3, 60, 90),
        ],
        is_quarantined: false,
    },
    PartCase {
        name: "an answer begins after the crashes",
        steps: &[
            PartStep::Crash("a", 1, 0, 50),
            PartStep::Crash("b", 2, 60, 90),
            PartStep::FirstEvent(3, 95),
        ],
        is_quarantined: false,
    },
    PartCase {
        name: "the engines had begun to answer",
        steps: &[PartStep::CrashInAnswer("a", 1, 0, 50), PartStep::CrashInAnswer("b", 2, 60, 90)],
        is_quarantined: false,
    },
    PartCase {
        name: "answers began before two crashes",
        steps: &[
            PartStep::FirstEvent(1, 0),
            PartStep::Crash("a", 2, 10, 50),
            PartStep::Crash("b", 3, 60, 90),
        ],
        is_quarantined: false,
    },
    PartCase {
        name: "answers began before four crashes",
        steps: &[
            PartStep::FirstEvent(1, 0),
            PartStep::Crash("a", 2, 10, 50),
            PartStep::Crash("b", 3, 60, 90),
            PartStep::Crash("c", 4, 100, 150),
            PartStep::Crash("d", 5, 160, 200),
        ],
        is_quarantined: true,
    },
];

impl PartStep {
    fn apply(self, tracker: &mut QuarantineTracker) {
        let (engine, run, crashed_at) = match self {
            Self::Crash(engine, request, sent_at, crashed_at) => {
                (engine, interrupted(request, sent_at, false), crashed_at)
            }
            Self::CrashInAnswer(engine, request, sent_at, crashed_at) => {
                (engine, interrupted(request, sent_at, true), crashed_at)
            }
            Self::FirstEvent(request, now) => {
                return tracker.record_first_event(&poison(request), at(now));
            }
        };
        tracker.record_crash(engine_incarnation_id(engine, 0), &[run], at(crashed_at));
    }
}

#[test]
fn a_part_is_quarantined_if_it_explains_consecutive_crashes() {
    for case in CASES {
        let mut tracker = tracker("one");
        for step in case.steps {
            step.apply(&mut tracker);
        }
        let quarantined = tracker.quarantine_left(&poison(OTHER_REQUEST), 1, at(700));
        let kind = quarantined.map(|quarantined| quarantined.suspect.kind);
        let expected = case.is_quarantined.then_some(TraitKind::PromptPart);
        assert_eq!(kind, expected, "{}", case.name);
    }
}

/// Runs two requests with the poison part into crashes.
fn crash_twice(tracker: &mut QuarantineTracker) {
    PartStep::Crash("a", 1, 0, 50).apply(tracker);
    PartStep::Crash("b", 2, 60, 90).apply(tracker);
}

/// Guards against rejecting requests that share less than the poison part.
#[test]
fn a_part_is_quarantined_at_its_service_only() {
    let mut tracker = tracker("one");
    PartStep::FirstEvent(3, 0).apply(&mut tracker);
    let mut other = QuarantineTracker::new("two", QuarantineThresholds::default());
    crash_twice(&mut other);
    let is_quarantined =
        |traits: &RequestTraits| other.quarantine_left(traits, 1, at(100)).is_some();
    assert!(is_quarantined(&traits(OTHER_REQUEST, SERVICE, &[POISON_PART])));
    assert!(!is_quarantined(&traits(OTHER_REQUEST, "another service", &[POISON_PART])));
    assert!(!is_quarantined(&traits(OTHER_REQUEST, SERVICE, &[])), "its own part is no trait");
    // The host that has seen an answer begin with the first part and the poison part tells the others.
    let reports = other.take_pending(at(100));
    tracker.receive(&reports, true, at(100));
    assert_eq!(tracker.quarantine_left(&poison(OTHER_REQUEST), 1, at(100)), None);
    let published = tracker.take_unpublished(at(110));
    other.receive(&published, false, at(110));
    assert_eq!(other.quarantine_left(&poison(OTHER_REQUEST), 1, at(110)), None);
    let was_cleared = |event: &QuarantineEvent| matches!(event, QuarantineEvent::Cleared { .. });
    assert_eq!(other.take_events().iter().filter(|event| was_cleared(event)).count(), 2);
}

/// Guards against a snapshot without a quarantined part where many requests are quarantined too.
#[test]
fn a_host_that_starts_later_learns_of_quarantined_parts_first() {
    let (mut coordinator, mut late) = (tracker("coordinator"), tracker("late"));
    for request in 0..200 {
        let own = traits(1000 + request, SERVICE, &[]);
        for (engine, sent_at) in [("a", 0), ("b", 60), ("c", 120)] {
            let run = InterruptedRun { traits: own.clone(), ..interrupted(0, sent_at, false) };
            let incarnation = engine_incarnation_id(engine, 0);
            coordinator.record_crash(incarnation, &[run], at(sent_at + 50));
        }
    }
    crash_twice(&mut coordinator);
    late.receive(&coordinator.snapshot(at(200)), false, at(200));
    assert!(late.quarantine_left(&poison(OTHER_REQUEST), 1, at(210)).is_some());
}

/// The hosts of a fleet whose reports arrive at once.
struct PartFleet {
    trackers: Vec<QuarantineTracker>,
}

impl PartFleet {
    fn exchange(&mut self, now: ClockMillis) {
        let Some((coordinator, others)) = self.trackers.split_first_mut() else { return };
        for other in &mut *others {
            coordinator.receive(&other.take_pending(now), true, now);
        }
        coordinator.publish_own();
        let reports = coordinator.take_unpublished(now);
        for other in others {
            other.receive(&reports, false, now);
        }
    }
}

/// Guards against probes that each host counts for itself, and against hosts that start again and send at once.
#[test]
fn a_part_is_probed_at_most_three_times_in_the_day_after_the_fifth_crash() {
    const HOSTS: u64 = 60;
    const DAY_SECONDS: u64 = 86_400;
    let mut fleet =
        PartFleet { trackers: (0..HOSTS).map(|host| tracker(&format!("host-{host}"))).collect() };
    let mut random = Random(0x71);
    let (mut crashes, mut late_probes, mut fifth_at) = (0_u64, 0, None);
    for second in 0..2 * DAY_SECONDS {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below 60")]
        let host = (random.next() * HOSTS as f64) as usize;
        let now = at(second * 1000);
        if second % 600 == 0 {
            fleet.trackers.iter_mut().for_each(|tracker| tracker.evict_expired(now));
        }
        if second % 3600 == 1800 && host > 0 {
            let mut restarted = tracker(&format!("host-{host}"));
            restarted.receive(&fleet.trackers[0].snapshot(now), false, now);
            fleet.trackers[host] = restarted;
        }
        let request = RequestMark::from(1000 + second);
        if fleet.trackers[host].quarantine_left(&poison(request), 1, now).is_some() {
            continue;
        }
        let _ = fleet.trackers[host].record_start(&poison(request), now);
        fleet.exchange(now);
        let crashed_at = second * 1000 + 300;
        let run = interrupted(request, second * 1000, false);
        let incarnation = engine_incarnation_id("engine", second);
        fleet.trackers[host].record_crash(incarnation, &[run], at(crashed_at));
        fleet.exchange(at(crashed_at));
        crashes += 1;
        if fifth_at.is_some_and(|fifth_at| second > fifth_at + 3) {
            late_probes += u64::from(fifth_at.is_some_and(|at| second <= at + DAY_SECONDS));
        }
        if crashes == 5 {
            fifth_at = Some(second);
        }
    }
    assert!(fifth_at.is_some(), "{crashes} crashes");
    assert!(late_probes <= 3, "{late_probes} probes");
}
