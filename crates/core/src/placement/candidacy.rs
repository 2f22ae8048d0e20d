//! Which hosts stand for leases and read the store for the others.
//!
//! Every host could do both, but each member of the group and each reader of the store costs
//! calls, and a small host that is dealt a large domain falls behind. So a few hosts stand,
//! strong ones first; the others follow them.

/// The part of a processor from which on a host counts as strong.
const HIGH_CAPACITY_CPU_SHARE: f64 = 0.2;

/// The bandwidth from which on a host counts as strong. Unit: megabits a second.
const HIGH_CAPACITY_BANDWIDTH_MBPS: f64 = 50.0;

/// How many members a group has before strong hosts stay out of it.
const MAX_HIGH_CAPACITY_MEMBERS: usize = 8;

/// How many members a group has before all other hosts stay out of it.
const MIN_MEMBERS: usize = 3;

/// What a host has to work with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostCapacity {
    /// Its share of a processor.
    pub cpu_share: f64,
    /// What its link carries. Unit: megabits a second.
    pub bandwidth_mbps: f64,
}

impl HostCapacity {
    /// Returns whether the host can bear the work of a large domain.
    pub fn has_high_capacity(&self) -> bool {
        self.cpu_share >= HIGH_CAPACITY_CPU_SHARE
            && self.bandwidth_mbps >= HIGH_CAPACITY_BANDWIDTH_MBPS
    }

    /// Returns whether the host joins a group that has `members` already, `high_capacity_members` ones among them.
    ///
    /// Strong hosts do not count weak members, who only stand in for them.
    pub fn should_join(&self, members: usize, high_capacity_members: usize) -> bool {
        if self.has_high_capacity() {
            high_capacity_members < MAX_HIGH_CAPACITY_MEMBERS
        } else {
            members < MIN_MEMBERS
        }
    }
}

impl HostCapacity {
    /// Returns whether a member leaves its work to the `high_capacity_members` members that the group has again.
    pub fn should_leave(&self, high_capacity_members: usize) -> bool {
        !self.has_high_capacity() && high_capacity_members >= MIN_MEMBERS
    }
}

/// How many partitions make their holders read the store for the others.
const MAX_READER_PARTITIONS: u32 = 3;

/// Returns the partitions whose holders read the store for the others, spread over all of them.
pub fn reader_partitions(partitions: u32) -> impl Iterator<Item = u32> {
    let readers = MAX_READER_PARTITIONS.min(partitions);
    (0..readers).map(move |index| index * partitions / readers)
}
