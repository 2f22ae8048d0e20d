//! This host's membership in the group to whose members the store assigns the placement leases.

use std::{collections::HashMap, fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis, ClockSource,
    id::{GroupGeneration, StoreEra},
    placement::graded_group::CapacityGrade,
};

use crate::{
    codec::GroupAssignment,
    store::{Backoff, StoreClient, StoreError},
};

/// Timeout of a join; a later response could confirm a lease that has expired.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of joins per time to live.
const JOINS_PER_TTL: u32 = 3;

/// Delay before the next join while the group is rebalancing.
///
/// A partition passes on only when its previous owner joins again, and a starting fleet rebalances with every new member.
/// At the usual interval, domains would be without a placer for seconds.
const REBALANCE_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of consecutive joins at that delay, so that a group that never settles does not overload the store.
const MAX_REBALANCE_JOINS: u32 = 12;

/// Number of owner queries within one time to live after a rebalance.
const OWNER_QUERIES_PER_TTL: u32 = 2;

/// Number of consecutive checks after which an unneeded member leaves the group.
const UNNEEDED_CHECKS: u32 = 4;

/// Suffix of the address in the name of a member without high capacity.
const WEAK_SUFFIX: &str = "/weak";

/// Precedes the CPU share and the bandwidth in the name of a member.
const GRADE_SEPARATOR: char = '/';

/// A member of the group, as encoded in its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupMember {
    /// The member's address for peers.
    pub address: SocketAddr,
    /// Whether the host has high capacity.
    pub strong: bool,
    /// The host's capacity; absent where members are not selected by it.
    pub grade: Option<CapacityGrade>,
}

impl GroupMember {
    /// Returns the member's capacity, or the minimum that it is known to have.
    pub fn known_grade(&self) -> CapacityGrade {
        self.grade.unwrap_or(CapacityGrade {
            sufficient: self.strong,
            millicores: 0,
            bandwidth_mbps: 0,
        })
    }
}

impl fmt::Display for GroupMember {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.address)?;
        if let Some(grade) = self.grade {
            let (millicores, mbps) = (grade.millicores, grade.bandwidth_mbps);
            write!(formatter, "{GRADE_SEPARATOR}{millicores}{GRADE_SEPARATOR}{mbps}")?;
        }
        formatter.write_str(if self.strong { "" } else { WEAK_SUFFIX })
    }
}

impl FromStr for GroupMember {
    type Err = std::net::AddrParseError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let rest = name.strip_suffix(WEAK_SUFFIX);
        let strong = rest.is_none();
        let mut parts = rest.unwrap_or(name).split(GRADE_SEPARATOR);
        let address = parts.next().unwrap_or_default().parse()?;
        let grade = parse_grade(parts, strong);
        Ok(Self { address, strong, grade })
    }
}

/// Parses the parts of a member's name that follow the address.
fn parse_grade<'name>(
    mut parts: impl Iterator<Item = &'name str>,
    sufficient: bool,
) -> Option<CapacityGrade> {
    let millicores = parts.next()?.parse().ok()?;
    let bandwidth_mbps = parts.next()?.parse().ok()?;
    Some(CapacityGrade { sufficient, millicores, bandwidth_mbps })
}

/// An update of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipUpdate {
    /// The store assigned partitions to this host.
    Joined {
        /// The assignment.
        assignment: GroupAssignment,
        /// When the join was sent.
        sent: ClockMillis,
    },
    /// A join failed.
    Failed,
    /// The owners of the partitions.
    Owners(HashMap<u32, GroupMember>),
}

/// Decides when to query the owners of the partitions.
///
/// After a rebalance, a partition passes on only when its previous owner joins again or expires, and the store sends no
/// notification of that. A single query at the rebalance could therefore leave members with a wrong placer until the next
/// one, so queries are repeated for one time to live.
#[derive(Debug)]
struct OwnerQuerySchedule {
    time_to_live: Duration,
    /// The last assignment.
    assignment: GroupAssignment,
    /// When the assignment last changed.
    changed_at: ClockMillis,
    /// When the owners were last queried since that change.
    queried_at: Option<ClockMillis>,
}

impl OwnerQuerySchedule {
    fn new(time_to_live: Duration) -> Self {
        let assignment = GroupAssignment { era: 0, generation: 0, partitions: Vec::new() };
        Self { time_to_live, assignment, changed_at: ClockMillis::default(), queried_at: None }
    }

    /// Records the assignment of a join; returns whether to query the owners.
    fn is_due(&mut self, assignment: &GroupAssignment, now: ClockMillis) -> bool {
        let mut assignment = assignment.clone();
        assignment.partitions.sort_unstable();
        if self.assignment != assignment {
            self.assignment = assignment;
            self.changed_at = now;
            self.queried_at = None;
        }
        let Some(queried_at) = self.queried_at else { return true };
        let settled = queried_at.since(self.changed_at) >= self.time_to_live;
        !settled && now.since(queried_at) >= self.time_to_live / OWNER_QUERIES_PER_TTL
    }
}

/// Whether a member stays in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipNeed {
    /// The group needs the member.
    Needed,
    /// The group does not need the member.
    Unneeded,
    /// The host is to be a member by another name.
    Renamed,
    /// The host can't give orders to engines, so another one must hold its leases.
    Isolated,
}

/// Stays in the group until `need` was unneeded in several consecutive checks, is renamed or isolated; passes every
/// update to `sink`. Returns why the member leaves.
pub async fn run_membership(
    client: &mut StoreClient,
    member: GroupMember,
    time_to_live: Duration,
    clock: Arc<dyn ClockSource>,
    mut backoff: Backoff,
    need: impl Fn() -> MembershipNeed,
    sink: impl Fn(MembershipUpdate),
) -> MembershipNeed {
    let mut unneeded_checks = 0;
    let mut last_seen: (StoreEra, GroupGeneration) = (0, 0);
    let mut owner_queries = OwnerQuerySchedule::new(time_to_live);
    let mut rebalance_joins = 0;
    let name = member.to_string();
    let eras = client.eras().clone();
    loop {
        let sent = clock.now();
        unneeded_checks = match need() {
            MembershipNeed::Needed => 0,
            MembershipNeed::Unneeded => unneeded_checks + 1,
            MembershipNeed::Renamed => return MembershipNeed::Renamed,
            MembershipNeed::Isolated => return MembershipNeed::Isolated,
        };
        if unneeded_checks >= UNNEEDED_CHECKS {
            return MembershipNeed::Unneeded;
        }
        // A restored store counts generations anew: sending one of an earlier era would give up partitions that this host still owns.
        let generation = if last_seen.0 == eras.current() { last_seen.1 } else { 0 };
        match join(client, &name, time_to_live, generation).await {
            Ok(assignment) => {
                backoff.reset();
                let changed = (assignment.era, assignment.generation) != last_seen;
                rebalance_joins = if changed { rebalance_joins + 1 } else { 0 };
                last_seen = (assignment.era, assignment.generation);
                let due = owner_queries.is_due(&assignment, sent);
                sink(MembershipUpdate::Joined { assignment, sent });
                if due && let Ok(owners) = owners(client).await {
                    owner_queries.queried_at = Some(sent);
                    sink(MembershipUpdate::Owners(owners));
                }
            }
            Err(error) => {
                log::debug!("failed to join the group: {error}");
                sink(MembershipUpdate::Failed);
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
        }
        let rebalancing = (1..=MAX_REBALANCE_JOINS).contains(&rebalance_joins);
        let interval =
            if rebalancing { REBALANCE_JOIN_INTERVAL } else { time_to_live / JOINS_PER_TTL };
        let delay = backoff.jitter(interval);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            // The restored store may lack this membership, by which starting hosts find this one.
            () = eras.wait_until_later(last_seen.0) => {}
        }
    }
}

async fn join(
    client: &mut StoreClient,
    member: &str,
    time_to_live: Duration,
    generation: GroupGeneration,
) -> Result<GroupAssignment, StoreError> {
    let call = client.codec().encode_join(member, time_to_live, generation);
    let response = client.call(&call, JOIN_TIMEOUT).await?;
    Ok(client.codec().decode_assignment(&response)?)
}

/// Queries the owners of the partitions.
///
/// # Errors
/// Returns that the call failed.
pub async fn owners(client: &mut StoreClient) -> Result<HashMap<u32, GroupMember>, StoreError> {
    let call = client.codec().encode_owners_request();
    let response = client.call(&call, JOIN_TIMEOUT).await?;
    let owners = client.codec().decode_owners(&response)?;
    let members =
        owners.into_iter().filter_map(|(partition, name)| Some((partition, name.parse().ok()?)));
    Ok(members.collect())
}

/// Leaves the group, so that its leases pass on immediately.
///
/// # Errors
/// Returns that the call failed; the membership then ends with its time to live.
pub async fn leave(client: &mut StoreClient, member: GroupMember) -> Result<(), StoreError> {
    let call = client.codec().encode_leave(&member.to_string());
    client.call(&call, JOIN_TIMEOUT).await?;
    Ok(())
}
