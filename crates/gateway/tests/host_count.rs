//! How many hosts share a budget, by what placers say.

use std::time::Duration;

use reelreel_core::ClockMillis;
use reelreel_gateway::control::host_count::HostCount;

/// What placers said, and the count at a later moment.
struct CountCase {
    name: &'static str,
    /// Rising times with the hosts that a placer heard from. Unit: milliseconds.
    told: &'static [(u64, u32)],
    count: u32,
}

const COUNT_CASES: &[CountCase] = &[
    CountCase { name: "nothing said", told: &[], count: 24 },
    CountCase { name: "a rise counts at once", told: &[(100, 6), (150, 8)], count: 8 },
    CountCase {
        name: "a placer that has just begun",
        told: &[(100, 6), (200, 1), (250, 1), (300, 2), (400, 6)],
        count: 6,
    },
    CountCase { name: "a fall within a window", told: &[(100, 6), (5000, 4), (9900, 4)], count: 6 },
    CountCase {
        name: "a fall that lasts for two windows",
        told: &[(100, 6), (5000, 4), (10_100, 4), (15_000, 4), (20_200, 4)],
        count: 4,
    },
    CountCase { name: "a word after a long silence", told: &[(100, 6), (40_000, 4)], count: 4 },
];

#[test]
fn a_fall_counts_once_it_has_lasted() {
    for case in COUNT_CASES {
        let mut count = HostCount::new(Duration::from_secs(10));
        for (at, hosts) in case.told {
            count.record(*hosts, ClockMillis::from_millis(*at));
        }
        assert_eq!(count.get(24), case.count, "{}", case.name);
    }
}
