//! Selects group members by their capacity where decisions about requests must be early.
//!
//! Under shortage the placer of a large domain needs most of a host's share of a core. So the
//! largest hosts take the group over, and smaller ones are members only while larger ones are
//! missing. Each host decides by the members that it knows.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::placement::HostCapacity;

/// Number of larger members from which a host stays out of the group. Three members keep a placer
/// and three readers through the loss of one of them.
const SUFFICIENT_LARGER_MEMBERS: usize = 3;

/// Number of members of a host's capacity or more from which the host stays out of the group.
const MAX_MEMBERS: usize = 8;

/// Number of partitions per member. With fewer, a member could be assigned none, and so be unknown
/// to the others.
const MIN_PARTITIONS_PER_MEMBER: usize = 2;

/// Capacity of a host in comparison to others. A host without high capacity is below all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityGrade {
    /// Whether the host has high capacity.
    pub sufficient: bool,
    /// CPU share of the host. Unit: thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the host's network link. Unit: megabits per second.
    pub bandwidth_mbps: u32,
}

impl CapacityGrade {
    /// Returns the grade of a host.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    pub fn new(capacity: HostCapacity) -> Self {
        Self {
            sufficient: capacity.has_high_capacity(),
            millicores: (capacity.cpu_share * 1000.0).round() as u32,
            bandwidth_mbps: capacity.bandwidth_mbps.round() as u32,
        }
    }
}

/// The group as one host knows it.
#[derive(Debug, Clone)]
pub struct GradedGroup {
    own_address: SocketAddr,
    own_grade: CapacityGrade,
    others: BTreeMap<SocketAddr, CapacityGrade>,
    max_members: usize,
}

impl GradedGroup {
    /// Creates the view of the host at `own_address` of the members that own the `partitions`.
    pub fn new(
        own_address: SocketAddr,
        own_grade: CapacityGrade,
        members: impl IntoIterator<Item = (SocketAddr, CapacityGrade)>,
        partitions: u32,
    ) -> Self {
        let mut others: BTreeMap<_, _> = members.into_iter().collect();
        others.remove(&own_address);
        let max_members = partitions as usize / MIN_PARTITIONS_PER_MEMBER;
        let max_members = max_members.clamp(SUFFICIENT_LARGER_MEMBERS, MAX_MEMBERS);
        Self { own_address, own_grade, others, max_members }
    }

    /// Returns whether the host joins the group: it is among the largest, or stands in for larger
    /// hosts that are missing.
    pub fn should_join(&self) -> bool {
        let limit = if self.own_grade.sufficient && self.is_largest() {
            self.max_members
        } else {
            SUFFICIENT_LARGER_MEMBERS
        };
        self.others.values().filter(|grade| **grade >= self.own_grade).count() < limit
    }

    /// Returns whether the host, a member, leaves: there are enough larger members, or too many of
    /// at least its capacity.
    ///
    /// Of members of the same capacity those with higher addresses leave, so that not all leave.
    pub fn should_leave(&self) -> bool {
        let own_rank = (std::cmp::Reverse(self.own_grade), self.own_address);
        let preceding = self
            .others
            .iter()
            .filter(|(address, grade)| (std::cmp::Reverse(**grade), **address) < own_rank);
        self.larger_members() >= SUFFICIENT_LARGER_MEMBERS || preceding.count() >= self.max_members
    }

    /// Returns whether no member is larger than the host.
    pub fn is_largest(&self) -> bool {
        self.larger_members() == 0
    }

    fn larger_members(&self) -> usize {
        self.others.values().filter(|grade| **grade > self.own_grade).count()
    }
}
