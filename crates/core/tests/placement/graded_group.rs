//! Selection of group members by their capacity, over many hosts that decide by the members that
//! they know.

use std::{collections::BTreeMap, net::SocketAddr};

use reelreel_core::placement::{
    HostCapacity,
    graded_group::{CapacityGrade, GradedGroup},
};

const PARTITIONS: u32 = 24;
/// Steps of the simulation, an interval of joins or checks each. Unit: milliseconds.
const STEP_MILLIS: u64 = 600;
/// Checks until an unneeded member leaves, as in the gateway.
const UNNEEDED_CHECKS: u32 = 4;
/// Steps until a lost member is no longer listed.
const EXPIRY_STEPS: u64 = 4;

const LARGE: HostCapacity = HostCapacity { cpu_share: 0.5, bandwidth_mbps: 200.0 };
const MEDIUM: HostCapacity = HostCapacity { cpu_share: 0.31, bandwidth_mbps: 60.0 };
const NARROW: HostCapacity = HostCapacity { cpu_share: 0.5, bandwidth_mbps: 26.0 };
const SMALL: HostCapacity = HostCapacity { cpu_share: 0.12, bandwidth_mbps: 10.0 };

struct SimulatedHost {
    capacity: HostCapacity,
    alive: bool,
    is_member: bool,
    unneeded: u32,
    needed: u32,
    lost_at: u64,
}

struct SimulatedFleet {
    hosts: BTreeMap<SocketAddr, SimulatedHost>,
    step: u64,
}

impl SimulatedFleet {
    /// Creates hosts of mixed sizes, all members if `joined`, as when the configuration is read
    /// only after the first join.
    fn new(sizes: &[(HostCapacity, usize)], joined: bool) -> Self {
        let capacities = sizes.iter().flat_map(|(size, count)| vec![*size; *count]);
        let hosts = capacities.enumerate().map(|(index, capacity)| {
            // Spreads the sizes over the order of the addresses.
            let port = 1000 + u16::try_from(index * 37 % 101).expect("a port");
            let host = SimulatedHost {
                capacity,
                alive: true,
                is_member: joined,
                unneeded: 0,
                needed: 0,
                lost_at: 0,
            };
            (SocketAddr::from(([127, 0, 0, 1], port)), host)
        });
        Self { hosts: hosts.collect(), step: 0 }
    }

    /// Returns the owners of the partitions: the members in order of their addresses, in turn.
    fn owners(&self) -> BTreeMap<SocketAddr, HostCapacity> {
        let listed = self.hosts.iter().filter(|(_, host)| {
            host.is_member && (host.alive || self.step < host.lost_at + EXPIRY_STEPS)
        });
        listed.take(PARTITIONS as usize).map(|(address, host)| (*address, host.capacity)).collect()
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step += 1;
            let owners = self.owners();
            let addresses: Vec<SocketAddr> = self.hosts.keys().copied().collect();
            for address in addresses {
                self.run_host(address, &owners);
            }
        }
    }

    fn run_host(&mut self, address: SocketAddr, owners: &BTreeMap<SocketAddr, HostCapacity>) {
        let host = self.hosts.get_mut(&address).expect("a host");
        let members = owners.iter().map(|(at, size)| (*at, CapacityGrade::new(*size)));
        let group =
            GradedGroup::new(address, CapacityGrade::new(host.capacity), members, PARTITIONS);
        if !host.alive {
            return;
        }
        if host.is_member {
            host.unneeded = if group.should_leave() { host.unneeded + 1 } else { 0 };
            host.is_member = host.unneeded < UNNEEDED_CHECKS;
            return;
        }
        host.needed = if group.should_join() { host.needed + 1 } else { 0 };
        // Spreads stand-ins, as the gateway does by their names.
        let jitter = if group.is_largest() { 0 } else { u32::from(address.port()) % 4 };
        host.is_member = host.needed > jitter;
        host.unneeded = 0;
    }

    /// Removes or restarts all hosts of a size.
    fn set_alive(&mut self, size: HostCapacity, alive: bool) {
        let step = self.step;
        for host in self.hosts.values_mut().filter(|host| host.capacity == size) {
            host.alive = alive;
            host.lost_at = step;
            host.is_member &= !alive;
        }
    }

    fn members(&self, size: HostCapacity) -> usize {
        self.owners().values().filter(|capacity| **capacity == size).count()
    }
}

struct FleetCase {
    name: &'static str,
    sizes: &'static [(HostCapacity, usize)],
    joined: bool,
    /// The size of which all members are.
    placers: HostCapacity,
    /// The size that stands in when those are lost.
    stand_ins: HostCapacity,
}

const FLEETS: &[FleetCase] = &[
    FleetCase {
        name: "27 hosts from an empty group",
        sizes: &[(LARGE, 6), (MEDIUM, 12), (NARROW, 9)],
        joined: false,
        placers: LARGE,
        stand_ins: MEDIUM,
    },
    FleetCase {
        name: "27 hosts that all joined before the configuration was known",
        sizes: &[(LARGE, 6), (MEDIUM, 12), (NARROW, 9)],
        joined: true,
        placers: LARGE,
        stand_ins: MEDIUM,
    },
    FleetCase {
        name: "68 hosts from an empty group",
        sizes: &[(LARGE, 12), (MEDIUM, 20), (SMALL, 36)],
        joined: false,
        placers: LARGE,
        stand_ins: MEDIUM,
    },
    FleetCase {
        name: "68 hosts that all joined before the configuration was known",
        sizes: &[(SMALL, 36), (MEDIUM, 20), (LARGE, 12)],
        joined: true,
        placers: LARGE,
        stand_ins: MEDIUM,
    },
    FleetCase {
        name: "68 hosts with few large ones",
        sizes: &[(LARGE, 3), (SMALL, 65)],
        joined: true,
        placers: LARGE,
        stand_ins: SMALL,
    },
];

/// Steps until traffic begins, 14 s after the start.
const STEPS_BEFORE_TRAFFIC: u64 = 14_000 / STEP_MILLIS;

/// Guards against leases on small hosts while large ones exist, and against a group without members
/// when the large ones are lost or return.
#[test]
fn large_hosts_hold_the_group_and_smaller_ones_stand_in() {
    for case in FLEETS {
        let name = case.name;
        let mut fleet = SimulatedFleet::new(case.sizes, case.joined);
        fleet.run(STEPS_BEFORE_TRAFFIC);
        let large = fleet.members(case.placers);
        assert!((3..=8).contains(&large), "{name}: {large}");
        assert_eq!(large, fleet.owners().len(), "{name}");

        fleet.set_alive(case.placers, false);
        fleet.run(EXPIRY_STEPS + 8);
        assert!(fleet.members(case.stand_ins) >= 1, "{name}: {:?}", fleet.owners());
        assert_eq!(fleet.members(case.stand_ins), fleet.owners().len(), "{name}");

        fleet.set_alive(case.placers, true);
        for _ in 0..12 {
            fleet.run(1);
            let covered = fleet.members(case.stand_ins) >= 1 || fleet.members(case.placers) >= 3;
            assert!(covered, "{name}: a gap at step {}", fleet.step);
        }
        assert_eq!(fleet.members(case.placers), fleet.owners().len(), "{name}");
    }
}

/// Guards against joins and departures, each of which moves leases, once the group has settled.
#[test]
fn settled_groups_do_not_change() {
    for case in FLEETS {
        let mut fleet = SimulatedFleet::new(case.sizes, case.joined);
        fleet.run(STEPS_BEFORE_TRAFFIC);
        let settled = fleet.owners();
        for _ in 0..100 {
            fleet.run(1);
            assert!(fleet.owners().keys().eq(settled.keys()), "{}", case.name);
        }
    }
}

struct GradedCase {
    name: &'static str,
    own: HostCapacity,
    others: &'static [(HostCapacity, u16)],
    joins: bool,
    leaves: bool,
}

const GRADED_CASES: &[GradedCase] = &[
    GradedCase { name: "first", own: SMALL, others: &[], joins: true, leaves: false },
    GradedCase {
        name: "two larger",
        own: MEDIUM,
        others: &[(LARGE, 2)],
        joins: true,
        leaves: false,
    },
    GradedCase {
        name: "two larger, one stand-in",
        own: MEDIUM,
        others: &[(LARGE, 2), (MEDIUM, 1)],
        joins: false,
        leaves: false,
    },
    GradedCase {
        name: "three larger",
        own: MEDIUM,
        others: &[(LARGE, 3)],
        joins: false,
        leaves: true,
    },
    GradedCase {
        name: "only smaller ones",
        own: LARGE,
        others: &[(MEDIUM, 8), (NARROW, 8)],
        joins: true,
        leaves: false,
    },
    GradedCase {
        name: "a narrow link ranks below a small share of a core",
        own: NARROW,
        others: &[(MEDIUM, 3)],
        joins: false,
        leaves: true,
    },
    GradedCase {
        name: "eight of the same size before it",
        own: LARGE,
        others: &[(LARGE, 8)],
        joins: false,
        leaves: true,
    },
];

/// Guards against a wrong count of larger members for a single decision.
#[test]
fn hosts_join_and_leave_by_the_members_they_know() {
    for case in GRADED_CASES {
        let sizes = case.others.iter().flat_map(|(size, count)| vec![*size; usize::from(*count)]);
        let others = sizes.zip(1..).map(|(size, port)| {
            (SocketAddr::from(([127, 0, 0, 1], port)), CapacityGrade::new(size))
        });
        let own = SocketAddr::from(([127, 0, 0, 1], 100));
        let group = GradedGroup::new(own, CapacityGrade::new(case.own), others, PARTITIONS);
        assert_eq!(group.should_join(), case.joins, "{}", case.name);
        assert_eq!(group.should_leave(), case.leaves, "{}", case.name);
    }
}
