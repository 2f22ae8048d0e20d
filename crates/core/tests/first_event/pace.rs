//! Recent speed of engines from the pauses of streams.

use std::time::Duration;

use reelreel_core::{
    ClockMillis,
    fleet::engine_pace::{EnginePace, ServicePace},
};

struct PaceCase {
    name: &'static str,
    /// Pauses of the engine, one after another, after many of 20 ms at others. Unit: milliseconds.
    pauses: &'static [u64],
    /// Fraction of a pause in which the host waited for the engine.
    waited: f64,
    /// Time since the last pause. Unit: milliseconds.
    age: u64,
    slowness: std::ops::RangeInclusive<f64>,
}

const PACE_CASES: &[PaceCase] = &[
    PaceCase { name: "nothing known", pauses: &[], waited: 1.0, age: 0, slowness: 1.0..=1.0 },
    PaceCase { name: "usual", pauses: &[20; 10], waited: 1.0, age: 0, slowness: 0.9..=1.1 },
    PaceCase { name: "a slow spell", pauses: &[50; 5], waited: 1.0, age: 0, slowness: 1.9..=2.6 },
    PaceCase {
        name: "a spell that ended",
        pauses: &[50, 50, 50, 50, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20],
        waited: 1.0,
        age: 0,
        slowness: 0.9..=1.4,
    },
    PaceCase { name: "long ago", pauses: &[50; 5], waited: 1.0, age: 1000, slowness: 1.0..=1.15 },
    PaceCase { name: "a slow client", pauses: &[200; 5], waited: 0.2, age: 0, slowness: 1.0..=1.0 },
];

/// Guards against spells that are not seen while they last, or that are held against an engine
/// afterwards, and against slow clients that count as slow engines.
#[test]
fn slow_spells_are_seen_and_forgotten() {
    for case in PACE_CASES {
        let mut service = ServicePace::default();
        let mut now = ClockMillis::from_millis(1000);
        let (mut usual, mut pace) = (EnginePace::default(), EnginePace::default());
        for _ in 0..200 {
            now = now + Duration::from_millis(20);
            let pause = Duration::from_millis(20);
            usual.record_pause(pause, pause, &mut service, now);
        }
        for pause in case.pauses {
            let pause = Duration::from_millis(*pause);
            now = now + pause;
            pace.record_pause(pause, pause.mul_f64(case.waited), &mut service, now);
        }
        let slowness = pace.slowness(now + Duration::from_millis(case.age));
        assert!(case.slowness.contains(&slowness), "{}: {slowness}", case.name);
    }
}
