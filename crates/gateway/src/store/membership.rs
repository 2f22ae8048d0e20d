//! This host's membership in the group to which the store deals the placement leases.

use std::{collections::HashMap, fmt, net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis, ClockSource,
    id::{GroupGeneration, StoreEra},
};

use crate::{
    border::GroupShare,
    store::{Backoff, StoreClient, StoreError},
};

/// How long a join may take; a later answer would confirm a lease that has run out.
const JOIN_PATIENCE: Duration = Duration::from_millis(700);

/// How many joins go into one time to live.
const JOINS_PER_LIFE: u32 = 3;

/// The pause before the next join while the group changes: a partition passes on only when the member that had it has
/// joined again, and a fleet that starts changes with every member. At a third of the time to live three such steps
/// take two seconds in which nobody places; at this pause a third of a second (the store answers within a few
/// milliseconds, and a join costs it a tenth of a call).
const CHANGE_PAUSE: Duration = Duration::from_millis(100);

/// How many such joins may follow one another, so that a group that never settles is not joined ever faster.
const MOST_CHANGE_JOINS: u32 = 12;

/// How many times the holders of the partitions are asked for within one time to live after a change.
const OWNERS_ASKS: u32 = 2;

/// How many looks in a row show a member that the group does not need it.
const UNNEEDED_LOOKS: u32 = 4;

/// What stands behind the address in the name of a weak member.
const WEAK_MARK: &str = "/weak";

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
        let mark = if self.strong { "" } else { WEAK_MARK };
        write!(formatter, "{}{mark}", self.address)
    }
}

impl FromStr for GroupMember {
    type Err = std::net::AddrParseError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let address = name.strip_suffix(WEAK_MARK);
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
        share: GroupShare,
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
struct OwnersWatch {
    time_to_live: Duration,
    /// What was last dealt, and when it changed.
    share: GroupShare,
    changed: ClockMillis,
    /// When the holders were last told.
    told: Option<ClockMillis>,
}

impl OwnersWatch {
    fn new(time_to_live: Duration) -> Self {
        let share = GroupShare { era: 0, generation: 0, partitions: Vec::new() };
        Self { time_to_live, share, changed: ClockMillis::default(), told: None }
    }

    /// Takes what a join dealt; returns whether the holders are to be asked for.
    fn is_due(&mut self, share: &GroupShare, now: ClockMillis) -> bool {
        let mut share = share.clone();
        share.partitions.sort_unstable();
        if self.share != share {
            self.share = share;
            self.changed = now;
            self.told = None;
        }
        let Some(told) = self.told else { return true };
        let settled = told.since(self.changed) >= self.time_to_live;
        !settled && now.since(told) >= self.time_to_live / OWNERS_ASKS
    }
}

/// Stays in the group until `unneeded` has held for some looks, and hands every update to `sink`.
pub async fn stay_member(
    client: &mut StoreClient,
    member: GroupMember,
    time_to_live: Duration,
    clock: Arc<dyn ClockSource>,
    mut backoff: Backoff,
    unneeded: impl Fn() -> bool,
    sink: impl Fn(MembershipUpdate),
) {
    let mut unneeded_looks = 0;
    let mut heard: (StoreEra, GroupGeneration) = (0, 0);
    let mut watch = OwnersWatch::new(time_to_live);
    let mut change_joins = 0;
    let name = member.to_string();
    loop {
        let sent = clock.now();
        unneeded_looks = if unneeded() { unneeded_looks + 1 } else { 0 };
        if unneeded_looks >= UNNEEDED_LOOKS {
            return;
        }
        // A store that came back older counts again: a generation heard before would give up what was never taken from this host.
        let generation = if heard.0 == client.eras().known() { heard.1 } else { 0 };
        match join(client, &name, time_to_live, generation).await {
            Ok(share) => {
                backoff.succeeded();
                let changed = (share.era, share.generation) != heard;
                change_joins = if changed { change_joins + 1 } else { 0 };
                heard = (share.era, share.generation);
                let due = watch.is_due(&share, sent);
                sink(MembershipUpdate::Joined { share, sent });
                if due && let Ok(owners) = owners(client).await {
                    watch.told = Some(sent);
                    sink(MembershipUpdate::Owners(owners));
                }
            }
            Err(error) => {
                log::debug!("join: {error}");
                sink(MembershipUpdate::Failed);
                tokio::time::sleep(backoff.failed()).await;
                continue;
            }
        }
        let changes = (1..=MOST_CHANGE_JOINS).contains(&change_joins);
        let usual = if changes { CHANGE_PAUSE } else { time_to_live / JOINS_PER_LIFE };
        let pause = backoff.spread(usual);
        tokio::time::sleep(pause).await;
    }
}

async fn join(
    client: &mut StoreClient,
    member: &str,
    time_to_live: Duration,
    generation: GroupGeneration,
) -> Result<GroupShare, StoreError> {
    let call = client.dialect().join(member, time_to_live, generation);
    let answer = client.call(&call, JOIN_PATIENCE).await?;
    Ok(client.dialect().join_answer(&answer)?)
}

/// Asks who holds which partition.
///
/// # Errors
/// Returns that the store gave no useful answer.
pub async fn owners(client: &mut StoreClient) -> Result<HashMap<u32, GroupMember>, StoreError> {
    let call = client.dialect().owners();
    let answer = client.call(&call, JOIN_PATIENCE).await?;
    let owners = client.dialect().owners_answer(&answer)?;
    let known = owners.into_iter().filter_map(|(part, name)| Some((part, name.parse().ok()?)));
    Ok(known.collect())
}

/// Leaves the group, so that the leases pass on at once.
///
/// # Errors
/// Returns that the store gave no answer; the membership then ends with its time to live.
pub async fn leave(client: &mut StoreClient, member: GroupMember) -> Result<(), StoreError> {
    let call = client.dialect().leave(&member.to_string());
    client.call(&call, JOIN_PATIENCE).await?;
    Ok(())
}
