//! The estimated number of hosts that share a budget.

use std::time::Duration;

use reelreel_core::ClockMillis;
use reelreel_gateway::control::host_count::HostCount;

/// Reports of placers, and the expected count after the last one.
struct CountCase {
    name: &'static str,
    /// Times with the number of hosts that follow a placer. Unit: milliseconds.
    counts: &'static [(u64, u32)],
    expected: u32,
}

const COUNT_CASES: &[CountCase] = &[
    CountCase { name: "no reports", counts: &[], expected: 24 },
    CountCase { name: "increase applies at once", counts: &[(100, 6), (150, 8)], expected: 8 },
    CountCase {
        name: "new placer",
        counts: &[(100, 6), (200, 1), (250, 1), (300, 2), (400, 6)],
        expected: 6,
    },
    CountCase {
        name: "decrease within a window",
        counts: &[(100, 6), (5000, 4), (9900, 4)],
        expected: 6,
    },
    CountCase {
        name: "decrease over two windows",
        counts: &[(100, 6), (5000, 4), (10_100, 4), (15_000, 4), (20_200, 4)],
        expected: 4,
    },
    CountCase { name: "report after a long pause", counts: &[(100, 6), (40_000, 4)], expected: 4 },
];

#[test]
fn a_decrease_takes_effect_once_it_has_lasted() {
    for case in COUNT_CASES {
        let mut count = HostCount::new(Duration::from_secs(10));
        for (at_ms, hosts) in case.counts {
            count.record(*hosts, ClockMillis::from_millis(*at_ms));
        }
        assert_eq!(count.get(24), case.expected, "{}", case.name);
    }
}
