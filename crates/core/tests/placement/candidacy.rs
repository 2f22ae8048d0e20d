//! Which hosts stand for leases and read the store.

use std::collections::BTreeSet;

use reelreel_core::placement::{HostCapacity, candidacy::reader_partitions};

struct CandidacyCase {
    name: &'static str,
    capacity: HostCapacity,
    members: usize,
    strong: usize,
    joins: bool,
}

const STRONG: HostCapacity = HostCapacity { cpu_share: 0.25, bandwidth_mbps: 1000.0 };
const SLOW: HostCapacity = HostCapacity { cpu_share: 0.12, ..STRONG };
const NARROW: HostCapacity = HostCapacity { bandwidth_mbps: 10.0, ..STRONG };

const CASES: &[CandidacyCase] = &[
    CandidacyCase { name: "the first", capacity: STRONG, members: 0, strong: 0, joins: true },
    CandidacyCase { name: "the eighth", capacity: STRONG, members: 7, strong: 7, joins: true },
    CandidacyCase { name: "the ninth", capacity: STRONG, members: 8, strong: 8, joins: false },
    CandidacyCase {
        name: "beside weak ones",
        capacity: STRONG,
        members: 9,
        strong: 0,
        joins: true,
    },
    CandidacyCase { name: "slow, alone", capacity: SLOW, members: 0, strong: 0, joins: true },
    CandidacyCase { name: "slow, the third", capacity: SLOW, members: 2, strong: 2, joins: true },
    CandidacyCase { name: "slow, the fourth", capacity: SLOW, members: 3, strong: 3, joins: false },
    CandidacyCase { name: "a narrow link", capacity: NARROW, members: 3, strong: 3, joins: false },
];

#[test]
fn strong_hosts_join_first_and_weak_ones_only_while_the_group_is_small() {
    for case in CASES {
        assert_eq!(
            case.capacity.should_join(case.members, case.strong),
            case.joins,
            "{}",
            case.name
        );
    }
}

#[test]
fn weak_members_leave_when_enough_strong_ones_are_back() {
    assert!(!SLOW.should_leave(2));
    assert!(SLOW.should_leave(3));
    assert!(!STRONG.should_leave(8));
}

#[test]
fn reader_partitions_are_distinct_and_exist() {
    for partitions in 0..60 {
        let readers: Vec<u32> = reader_partitions(partitions).collect();
        let distinct: BTreeSet<u32> = readers.iter().copied().collect();
        assert_eq!(distinct.len(), readers.len(), "{partitions}");
        assert!(readers.iter().all(|reader| *reader < partitions), "{partitions}");
        assert_eq!(readers.len(), partitions.min(3) as usize, "{partitions}");
    }
}
