//! How a host finds out that a data hall is cut off, and how long it tries.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    fleet::reachability::{ConnectTimeEstimator, HallReachability},
};

/// Connections of one host, and how long the next one may take.
struct PatienceCase {
    name: &'static str,
    /// How long they took, in turn. Unit: milliseconds.
    times: &'static [u64],
    /// The least and the most. Unit: milliseconds.
    patience: (u64, u64),
}

const PATIENCE_CASES: &[PatienceCase] = &[
    PatienceCase { name: "nothing seen", times: &[], patience: (300, 300) },
    PatienceCase { name: "few seen", times: &[3, 3, 3], patience: (300, 300) },
    PatienceCase { name: "quick", times: &[3, 4, 3, 5, 3, 4, 3, 3, 4], patience: (80, 80) },
    PatienceCase {
        name: "a host that is held up",
        times: &[3, 60, 4, 50, 3, 70, 3, 55, 4, 60],
        patience: (200, 300),
    },
    PatienceCase {
        name: "slow all the time",
        times: &[150, 160, 150, 155, 150, 160, 150, 150, 155],
        patience: (200, 300),
    },
];

#[test]
fn connections_are_given_as_long_as_they_took_with_room() {
    for case in PATIENCE_CASES {
        let mut connects = ConnectTimeEstimator::default();
        for time in case.times {
            connects.record(Duration::from_millis(*time));
        }
        let (least, most) = case.patience;
        let expected = Duration::from_millis(least)..=Duration::from_millis(most);
        let patience = connects.timeout();
        assert!(expected.contains(&patience), "{}: {patience:?}", case.name);
    }
}

/// What a host hears of a hall's engines.
#[derive(Debug, Clone, Copy)]
enum Hears {
    Silence(usize),
    Answer,
}

struct HallCase {
    name: &'static str,
    /// What is heard, and when. Unit: milliseconds.
    heard: &'static [(u64, Hears)],
    /// Whether the hall is left alone at one second.
    left: bool,
}

const HALL_CASES: &[HallCase] = &[
    HallCase {
        name: "one engine silent again and again",
        heard: &[(900, Hears::Silence(1)), (920, Hears::Silence(1)), (940, Hears::Silence(1))],
        left: false,
    },
    HallCase {
        name: "three engines silent",
        heard: &[(900, Hears::Silence(1)), (920, Hears::Silence(2)), (940, Hears::Silence(3))],
        left: true,
    },
    HallCase {
        name: "one answered in between",
        heard: &[
            (900, Hears::Silence(1)),
            (920, Hears::Silence(2)),
            (930, Hears::Answer),
            (940, Hears::Silence(3)),
        ],
        left: false,
    },
    HallCase {
        name: "one answers after all",
        heard: &[
            (900, Hears::Silence(1)),
            (920, Hears::Silence(2)),
            (940, Hears::Silence(3)),
            (990, Hears::Answer),
        ],
        left: false,
    },
    HallCase {
        name: "long ago",
        heard: &[(500, Hears::Silence(1)), (520, Hears::Silence(2)), (540, Hears::Silence(3))],
        left: false,
    },
    HallCase {
        name: "still silent after the first rest",
        heard: &[
            (200, Hears::Silence(1)),
            (220, Hears::Silence(2)),
            (240, Hears::Silence(3)),
            (700, Hears::Silence(1)),
        ],
        left: true,
    },
];

#[test]
fn a_hall_is_left_alone_once_several_engines_are_silent() {
    for case in HALL_CASES {
        let mut hall = HallReachability::default();
        for (at, heard) in case.heard {
            match heard {
                Hears::Silence(engine) => {
                    let engine = Arc::from(format!("engine-{engine}"));
                    hall.record_timeout(&engine, ClockMillis::from_millis(*at));
                }
                Hears::Answer => hall.record_success(),
            }
        }
        assert_eq!(hall.is_in_backoff(ClockMillis::from_millis(1000)), case.left, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(27), ..ProptestConfig::default() })]

    /// However long a cut lasts, a hall that is back is tried within two seconds.
    #[test]
    fn a_hall_is_never_left_for_long(silences in prop::collection::vec((0..9_usize, 1..400_u64), 0..200)) {
        let mut hall = HallReachability::default();
        let mut now = 1000;
        for (engine, passed) in silences {
            now += passed;
            // Nothing is sent to a hall that is left alone.
            if !hall.is_in_backoff(ClockMillis::from_millis(now)) {
                hall.record_timeout(&Arc::from(format!("engine-{engine}")), ClockMillis::from_millis(now));
            }
        }
        prop_assert!(!hall.is_in_backoff(ClockMillis::from_millis(now + 1600)));
    }
}
