//! Connect timeouts, and backoff of data halls that are cut off.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    fleet::reachability::{ConnectTimeEstimator, HallReachability},
};

/// Connections of one host, and the resulting timeout.
struct TimeoutCase {
    name: &'static str,
    /// Unit: milliseconds.
    connect_times: &'static [u64],
    /// Minimum and maximum. Unit: milliseconds.
    timeout: (u64, u64),
}

const TIMEOUT_CASES: &[TimeoutCase] = &[
    TimeoutCase { name: "no connections", connect_times: &[], timeout: (300, 300) },
    TimeoutCase { name: "few connections", connect_times: &[3, 3, 3], timeout: (300, 300) },
    TimeoutCase { name: "fast", connect_times: &[3, 4, 3, 5, 3, 4, 3, 3, 4], timeout: (80, 80) },
    TimeoutCase {
        name: "host with scheduling delays",
        connect_times: &[3, 60, 4, 50, 3, 70, 3, 55, 4, 60],
        timeout: (200, 300),
    },
    TimeoutCase {
        name: "always slow",
        connect_times: &[150, 160, 150, 155, 150, 160, 150, 150, 155],
        timeout: (200, 300),
    },
];

#[test]
fn the_connect_timeout_follows_recent_connect_times() {
    for case in TIMEOUT_CASES {
        let mut estimator = ConnectTimeEstimator::default();
        for time in case.connect_times {
            estimator.record(Duration::from_millis(*time));
        }
        let (least, most) = case.timeout;
        let expected = Duration::from_millis(least)..=Duration::from_millis(most);
        let timeout = estimator.timeout();
        assert!(expected.contains(&timeout), "{}: {timeout:?}", case.name);
    }
}

/// Result of a connection to an engine of a hall.
#[derive(Debug, Clone, Copy)]
enum Observation {
    Timeout(usize),
    Success,
}

struct HallCase {
    name: &'static str,
    /// Times in milliseconds, with the result at that time.
    observations: &'static [(u64, Observation)],
    /// Whether the hall is in a backoff after one second.
    in_backoff: bool,
}

const HALL_CASES: &[HallCase] = &[
    HallCase {
        name: "repeated timeouts of one engine",
        observations: &[
            (900, Observation::Timeout(1)),
            (920, Observation::Timeout(1)),
            (940, Observation::Timeout(1)),
        ],
        in_backoff: false,
    },
    HallCase {
        name: "timeouts of three engines",
        observations: &[
            (900, Observation::Timeout(1)),
            (920, Observation::Timeout(2)),
            (940, Observation::Timeout(3)),
        ],
        in_backoff: true,
    },
    HallCase {
        name: "success in between",
        observations: &[
            (900, Observation::Timeout(1)),
            (920, Observation::Timeout(2)),
            (930, Observation::Success),
            (940, Observation::Timeout(3)),
        ],
        in_backoff: false,
    },
    HallCase {
        name: "success afterwards",
        observations: &[
            (900, Observation::Timeout(1)),
            (920, Observation::Timeout(2)),
            (940, Observation::Timeout(3)),
            (990, Observation::Success),
        ],
        in_backoff: false,
    },
    HallCase {
        name: "backoff is over",
        observations: &[
            (500, Observation::Timeout(1)),
            (520, Observation::Timeout(2)),
            (540, Observation::Timeout(3)),
        ],
        in_backoff: false,
    },
    HallCase {
        name: "timeout after the first backoff",
        observations: &[
            (200, Observation::Timeout(1)),
            (220, Observation::Timeout(2)),
            (240, Observation::Timeout(3)),
            (700, Observation::Timeout(1)),
        ],
        in_backoff: true,
    },
];

#[test]
fn a_hall_backs_off_after_several_engines_time_out() {
    for case in HALL_CASES {
        let mut hall = HallReachability::default();
        for (at, observation) in case.observations {
            match observation {
                Observation::Timeout(engine) => {
                    let engine = Arc::from(format!("engine-{engine}"));
                    hall.record_timeout(&engine, ClockMillis::from_millis(*at));
                }
                Observation::Success => hall.record_success(),
            }
        }
        assert_eq!(
            hall.is_in_backoff(ClockMillis::from_millis(1000)),
            case.in_backoff,
            "{}",
            case.name
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(27), ..ProptestConfig::default() })]

    /// However long a hall was cut off, connections must be tried again within two seconds.
    #[test]
    fn the_backoff_of_a_hall_is_bounded(timeouts in prop::collection::vec((0..9_usize, 1..400_u64), 0..200)) {
        let mut hall = HallReachability::default();
        let mut now = 1000;
        for (engine, elapsed) in timeouts {
            now += elapsed;
            // No connections are made during a backoff.
            if !hall.is_in_backoff(ClockMillis::from_millis(now)) {
                hall.record_timeout(&Arc::from(format!("engine-{engine}")), ClockMillis::from_millis(now));
            }
        }
        prop_assert!(!hall.is_in_backoff(ClockMillis::from_millis(now + 1600)));
    }
}
