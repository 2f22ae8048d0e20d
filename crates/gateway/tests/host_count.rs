//! The estimated number of hosts that share a budget.

use std::time::Duration;

use reelreel_core::ClockMillis;
use reelreel_gateway::control::host_count::{HostCount, HostReport, SubscriberCount};

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

/// Reports of placers whose counts may be incomplete, and the expected count after the last one.
struct ReportCase {
    name: &'static str,
    /// Times, the number of hosts and whether that number is complete. Unit: milliseconds.
    reports: &'static [(u64, u32, bool)],
    expected: u32,
}

const REPORT_CASES: &[ReportCase] = &[
    ReportCase { name: "new placer of a new fleet", reports: &[(100, 1, false)], expected: 24 },
    ReportCase { name: "more hosts than assumed", reports: &[(100, 30, false)], expected: 30 },
    ReportCase {
        name: "complete count of a small fleet",
        reports: &[(100, 1, false), (200, 7, false), (2300, 7, true)],
        expected: 7,
    },
    ReportCase {
        name: "incomplete count after a complete one",
        reports: &[(100, 7, true), (200, 1, false)],
        expected: 7,
    },
    ReportCase {
        name: "incomplete counts for a window",
        reports: &[(100, 3, false), (5000, 4, false), (10_200, 4, false)],
        expected: 4,
    },
    ReportCase {
        name: "incomplete count after a long pause",
        reports: &[(100, 6, true), (40_000, 1, false)],
        expected: 6,
    },
];

/// Guards against hosts that divide a budget by the count of a placer that has just begun.
#[test]
fn an_incomplete_count_does_not_lower_the_estimate() {
    for case in REPORT_CASES {
        let mut count = HostCount::new(Duration::from_secs(10));
        for (at_ms, hosts, complete) in case.reports {
            let report = HostReport { hosts: *hosts, complete: *complete };
            count.record_report(report, ClockMillis::from_millis(*at_ms));
        }
        assert_eq!(count.get(24), case.expected, "{}", case.name);
    }
}

/// Guards against a placer that publishes its first subscribers as the number of all hosts.
#[test]
fn a_new_placer_reports_what_it_knew_until_its_count_is_complete() {
    let at = ClockMillis::from_millis;
    let mut count = SubscriberCount::default();
    count.begin_tenure(72, at(1000));
    count.update(1, at(1000));
    assert_eq!(count.report(1), HostReport { hosts: 72, complete: false });
    count.record_subscription(at(1500));
    count.update(2, at(3400));
    assert_eq!(count.report(2), HostReport { hosts: 72, complete: false });
    count.update(2, at(3500));
    assert_eq!(count.report(2), HostReport { hosts: 2, complete: true });
    count.record_subscription(at(9000));
    assert_eq!(count.report(3), HostReport { hosts: 3, complete: false });
    count.begin_tenure(0, at(20_000));
    assert_eq!(count.report(1), HostReport { hosts: 1, complete: false });
}
