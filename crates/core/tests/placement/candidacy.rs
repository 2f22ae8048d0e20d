//! Selection of lease candidates and store readers.

use std::collections::BTreeSet;

use reelreel_core::placement::{HostCapacity, candidacy::reader_partitions};

struct CandidacyCase {
    name: &'static str,
    capacity: HostCapacity,
    members: usize,
    high_capacity_members: usize,
    should_join: bool,
}

const HIGH_CAPACITY: HostCapacity = HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 };
const LOW_CPU: HostCapacity = HostCapacity { cpu_share: 0.12, ..HIGH_CAPACITY };
const LOW_BANDWIDTH: HostCapacity = HostCapacity { bandwidth_mbps: 10.0, ..HIGH_CAPACITY };

const CASES: &[CandidacyCase] = &[
    CandidacyCase {
        name: "high capacity, first member",
        capacity: HIGH_CAPACITY,
        members: 0,
        high_capacity_members: 0,
        should_join: true,
    },
    CandidacyCase {
        name: "high capacity, eighth member",
        capacity: HIGH_CAPACITY,
        members: 7,
        high_capacity_members: 7,
        should_join: true,
    },
    CandidacyCase {
        name: "high capacity, ninth member",
        capacity: HIGH_CAPACITY,
        members: 8,
        high_capacity_members: 8,
        should_join: false,
    },
    CandidacyCase {
        name: "high capacity, other members without",
        capacity: HIGH_CAPACITY,
        members: 9,
        high_capacity_members: 0,
        should_join: true,
    },
    CandidacyCase {
        name: "low CPU share, first member",
        capacity: LOW_CPU,
        members: 0,
        high_capacity_members: 0,
        should_join: true,
    },
    CandidacyCase {
        name: "low CPU share, third member",
        capacity: LOW_CPU,
        members: 2,
        high_capacity_members: 2,
        should_join: true,
    },
    CandidacyCase {
        name: "low CPU share, fourth member",
        capacity: LOW_CPU,
        members: 3,
        high_capacity_members: 3,
        should_join: false,
    },
    CandidacyCase {
        name: "low bandwidth, fourth member",
        capacity: LOW_BANDWIDTH,
        members: 3,
        high_capacity_members: 3,
        should_join: false,
    },
];

#[test]
fn low_capacity_hosts_join_only_small_groups() {
    for case in CASES {
        assert_eq!(
            case.capacity.should_join(case.members, case.high_capacity_members),
            case.should_join,
            "{}",
            case.name
        );
    }
}

#[test]
fn low_capacity_members_leave_when_enough_high_capacity_members_joined() {
    assert!(!LOW_CPU.should_leave(2));
    assert!(LOW_CPU.should_leave(3));
    assert!(!HIGH_CAPACITY.should_leave(8));
}

#[test]
fn reader_partitions_are_distinct_and_in_range() {
    for partitions in 0..60 {
        let readers: Vec<u32> = reader_partitions(partitions).collect();
        let distinct: BTreeSet<u32> = readers.iter().copied().collect();
        assert_eq!(distinct.len(), readers.len(), "{partitions}");
        assert!(readers.iter().all(|reader| *reader < partitions), "{partitions}");
        assert_eq!(readers.len(), partitions.min(3) as usize, "{partitions}");
    }
}
