//! This host's membership in the group to which the store deals the placement leases.

use std::{collections::HashMap, fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis, ClockSource,
    id::{GroupGeneration, StoreEra},
};

use crate::{
    codec::GroupAssignment,
    store::{Backoff, StoreClient, StoreError},
};

/// How long a join may take; a later answer would confirm a lease that has run out.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// How many joins go into one time to live.
const JOINS_PER_TTL: u32 = 3;

/// The pause before the next join while the group changes: a partition passes on only when the member that had it has
/// joined again, and a fleet that starts changes with every member. At a third of the time to live three such steps
/// take two seconds in which nobody places; at this pause a third of a second (the store answers within a few
/// milliseconds, and a join costs it a tenth of a call).
const REBALANCE_JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// How many such joins may follow one another, so that a group that never settles is not joined ever faster.
const MAX_REBALANCE_JOINS: u32 = 12;

/// How many times the holders of the partitions are asked for within one time to live after a change.
const OWNER_QUERIES_PER_TTL: u32 = 2;

/// How many looks in a row show a member that the group does not need it.
const UNNEEDED_CHECKS: u32 = 4;

/// What stands behind the address in the name of a weak member.
const WEAK_SUFFIX: &str = "/weak";

/// A member of the group, as its name tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupMember {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Whether it is a strong host.
    pub strong: bool,
}

impl fmt::Display for GroupMember {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.strong { "" } else { WEAK_SUFFIX };
        write!(formatter, "{}{suffix}", self.address)
    }
}

impl FromStr for GroupMember {
    type Err = std::net::AddrParseError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let address = name.strip_suffix(WEAK_SUFFIX);
        let strong = address.is_none();
        Ok(Self { address: address.unwrap_or(name).parse()?, strong })
    }
}

/// What was learned of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipUpdate {
    /// The store dealt the host its share.
    Joined {
        /// What was dealt.
        assignment: GroupAssignment,
        /// When the join was sent.
        sent: ClockMillis,
    },
    /// A join got no useful answer.
    Failed,
    /// Who holds which partition.
    Owners(HashMap<u32, GroupMember>),
}

/// Tells when to ask who holds which partition.
///
/// A change of the group deals the partitions anew, but one passes on only when the member that had it has joined again
/// or its time to live is over, and nothing tells of that. Members that asked once, at the change, took another host for the
/// placer until the next change, and with them all that follow them.
#[derive(Debug)]
struct OwnerQuerySchedule {
    time_to_live: Duration,
    /// What was last dealt, and when it changed.
    assignment: GroupAssignment,
    changed_at: ClockMillis,
    /// When the holders were last told.
    queried_at: Option<ClockMillis>,
}

impl OwnerQuerySchedule {
    fn new(time_to_live: Duration) -> Self {
        let assignment = GroupAssignment { era: 0, generation: 0, partitions: Vec::new() };
        Self { time_to_live, assignment, changed_at: ClockMillis::default(), queried_at: None }
    }

    /// Takes what a join dealt; returns whether the holders are to be asked for.
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

/// Stays in the group until `unneeded` has held for some looks, and hands every update to `sink`.
pub async fn run_membership(
    client: &mut StoreClient,
    member: GroupMember,
    time_to_live: Duration,
    clock: Arc<dyn ClockSource>,
    mut backoff: Backoff,
    is_unneeded: impl Fn() -> bool,
    sink: impl Fn(MembershipUpdate),
) {
    let mut unneeded_checks = 0;
    let mut last_seen: (StoreEra, GroupGeneration) = (0, 0);
    let mut owner_queries = OwnerQuerySchedule::new(time_to_live);
    let mut rebalance_joins = 0;
    let name = member.to_string();
    loop {
        let sent = clock.now();
        unneeded_checks = if is_unneeded() { unneeded_checks + 1 } else { 0 };
        if unneeded_checks >= UNNEEDED_CHECKS {
            return;
        }
        // A store that came back older counts again: a generation heard before would give up what was never taken from this host.
        let generation = if last_seen.0 == client.eras().current() { last_seen.1 } else { 0 };
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
                log::debug!("join: {error}");
                sink(MembershipUpdate::Failed);
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
        }
        let rebalancing = (1..=MAX_REBALANCE_JOINS).contains(&rebalance_joins);
        let interval =
            if rebalancing { REBALANCE_JOIN_INTERVAL } else { time_to_live / JOINS_PER_TTL };
        let delay = backoff.jitter(interval);
        tokio::time::sleep(delay).await;
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

/// Asks who holds which partition.
///
/// # Errors
/// Returns that the store gave no useful answer.
pub async fn owners(client: &mut StoreClient) -> Result<HashMap<u32, GroupMember>, StoreError> {
    let call = client.codec().encode_owners_request();
    let response = client.call(&call, JOIN_TIMEOUT).await?;
    let owners = client.codec().decode_owners(&response)?;
    let members =
        owners.into_iter().filter_map(|(partition, name)| Some((partition, name.parse().ok()?)));
    Ok(members.collect())
}

/// Leaves the group, so that the leases pass on at once.
///
/// # Errors
/// Returns that the store gave no answer; the membership then ends with its time to live.
pub async fn leave(client: &mut StoreClient, member: GroupMember) -> Result<(), StoreError> {
    let call = client.codec().encode_leave(&member.to_string());
    client.call(&call, JOIN_TIMEOUT).await?;
    Ok(())
}
