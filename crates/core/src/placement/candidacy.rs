//! Selects the hosts that are candidates for leases and that read the store for the others.
//!
//! Any host could do both, but every group member and every reader adds calls to the store, and a
//! small host cannot keep up with a large domain. So only a few hosts take part, preferably ones
//! with high capacity, and the others follow them.

/// CPU share from which a host has high capacity.
const HIGH_CAPACITY_CPU_SHARE: f64 = 0.2;

/// Bandwidth from which a host has high capacity. Unit: megabits per second.
const HIGH_CAPACITY_BANDWIDTH_MBPS: f64 = 50.0;

/// Number of high-capacity members from which further high-capacity hosts stay out of a group.
const MAX_HIGH_CAPACITY_MEMBERS: usize = 8;

/// Number of members from which hosts without high capacity stay out of a group.
const MIN_MEMBERS: usize = 3;

/// Resources of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostCapacity {
    /// CPU share of the host, in cores.
    pub cpu_share: f64,
    /// Bandwidth of the host's network link. Unit: megabits per second.
    pub bandwidth_mbps: f64,
}

impl HostCapacity {
    /// Returns whether the host can handle a large domain.
    pub fn has_high_capacity(&self) -> bool {
        self.cpu_share >= HIGH_CAPACITY_CPU_SHARE
            && self.bandwidth_mbps >= HIGH_CAPACITY_BANDWIDTH_MBPS
    }

    /// Returns whether the host joins a group with `members` members, `high_capacity_members` of
    /// which have high capacity.
    ///
    /// High-capacity hosts ignore other members, who only stand in for them.
    pub fn should_join(&self, members: usize, high_capacity_members: usize) -> bool {
        if self.has_high_capacity() {
            high_capacity_members < MAX_HIGH_CAPACITY_MEMBERS
        } else {
            members < MIN_MEMBERS
        }
    }
}

impl HostCapacity {
    /// Returns whether a member leaves because the group has enough `high_capacity_members`.
    pub fn should_leave(&self, high_capacity_members: usize) -> bool {
        !self.has_high_capacity() && high_capacity_members >= MIN_MEMBERS
    }
}

/// Maximum number of partitions whose holders read the store for other hosts.
const MAX_READER_PARTITIONS: u32 = 3;

/// Returns the partitions whose holders read the store for other hosts, spread evenly.
pub fn reader_partitions(partitions: u32) -> impl Iterator<Item = u32> {
    let readers = MAX_READER_PARTITIONS.min(partitions);
    (0..readers).map(move |index| index * partitions / readers)
}
