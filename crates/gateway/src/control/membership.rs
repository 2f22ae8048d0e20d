//! Membership of this host in the group while the group needs it.

use std::{sync::Arc, time::Duration};

use reelreel_core::placement::graded_group::CapacityGrade;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{MEMBERSHIP_TTL, SharedControl, backoff, state::ControlState, store_client},
    host::SharedState,
    store::{
        Backoff, MAX_BACKOFF, StoreBackoff, StoreClient, StoreError,
        membership::{
            GroupMember, MembershipNeed, MembershipUpdate, leave, owners, run_membership,
        },
    },
};

/// How often a host outside the group checks whether it should join.
const CANDIDACY_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// How long a host with low capacity waits for others to join first.
///
/// Hosts with high capacity join at once, but the store lists them as owners only after the members
/// have joined again.
const LOW_CAPACITY_JOIN_DELAY: Duration = Duration::from_secs(3);

/// Maximum backoff between failed joins. A join is cheap for the store, and leases depend on it.
const MAX_JOIN_BACKOFF: Duration = Duration::from_secs(1);

/// Minimum number of consecutive checks after which a host with low capacity joins.
const LOW_CAPACITY_CHECKS: u64 = 3;

/// A host with low capacity makes one more check per this much of its jitter. Unit: milliseconds.
const JITTER_MILLIS_PER_CHECK: u64 = 200;

/// Time over which hosts with low capacity spread their joins. Unit: milliseconds.
const LOW_CAPACITY_JITTER_MILLIS: u64 = 2000;

/// A host that stands in for larger ones makes one more check per this much of its jitter. Unit:
/// milliseconds.
const GRADED_JITTER_MILLIS_PER_CHECK: u64 = 500;

/// How many consecutive checks must show that the group needs this host, and the delay before they
/// count.
#[derive(Clone, Copy)]
struct JoinPolicy {
    delay: Duration,
    checks: u64,
}

impl JoinPolicy {
    /// Hosts with high capacity join at once. Those with low capacity are spread out, so that they
    /// do not all join together when members are missing.
    fn new(shared: &SharedState) -> Self {
        if shared.profile.capacity.has_high_capacity() {
            return Self { delay: Duration::ZERO, checks: 1 };
        }
        let jitter_millis = jitter_millis(shared);
        Self {
            delay: LOW_CAPACITY_JOIN_DELAY + Duration::from_millis(jitter_millis),
            checks: LOW_CAPACITY_CHECKS + jitter_millis / JITTER_MILLIS_PER_CHECK,
        }
    }

    /// Where members are selected by their capacity, the largest hosts join at once. Others are
    /// spread out, so that they do not all stand in for the same missing member.
    fn graded(state: &ControlState) -> Self {
        let shared = state.shared();
        if !shared.profile.capacity.has_high_capacity() {
            return Self::new(shared);
        }
        let extra_checks = jitter_millis(shared) / GRADED_JITTER_MILLIS_PER_CHECK;
        let checks = if state.graded_group().is_largest() { 1 } else { 1 + extra_checks };
        Self { delay: Duration::ZERO, checks }
    }
}

fn jitter_millis(shared: &SharedState) -> u64 {
    xxh3_64(shared.profile.name.as_bytes()) % LOW_CAPACITY_JITTER_MILLIS
}

/// Keeps this host a member of the group whenever the group needs it; never returns.
pub async fn maintain_membership(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let mut client = store_client(&state);
    let returns = state.borrow().store_returns();
    let mut store_backoff = StoreBackoff::passive(backoff(&shared, 0x4444), returns);
    let mut jitter = backoff(&shared, 0x5555);
    let time_to_live = MEMBERSHIP_TTL.max(shared.profile.min_membership_ttl);
    let sink = |update| state.borrow_mut().apply_membership_update(update);
    let mut is_needed = false;
    loop {
        if !is_needed {
            wait_until_needed(&state, &mut client, &mut store_backoff, &mut jitter).await;
        }
        let member = own_member(&state.borrow());
        let need = || membership_need(&state.borrow(), member);
        let backoff = backoff(&shared, 0x3333).with_max_delay(MAX_JOIN_BACKOFF);
        let clock = Arc::clone(&shared.clock);
        let ended =
            run_membership(&mut client, member, time_to_live, clock, backoff, need, sink).await;
        // A renamed member joins again at once, so that a group of one is not without a member.
        is_needed = ended == MembershipNeed::Renamed;
        state.borrow_mut().leave_group();
        if let Err(error) = leave(&mut client, member).await {
            log::debug!("failed to leave the group: {error}");
        }
    }
}

/// Returns this host as a member of the group.
///
/// Its name contains its capacity only where members are selected by it.
pub fn own_member(state: &ControlState) -> GroupMember {
    let profile = &state.shared().profile;
    GroupMember {
        address: profile.peer_address,
        strong: profile.capacity.has_high_capacity(),
        grade: state.selects_by_grade().then(|| CapacityGrade::new(profile.capacity)),
    }
}

/// Returns whether this host stays in the group as `member`.
fn membership_need(state: &ControlState, member: GroupMember) -> MembershipNeed {
    if state.shared().links.is_isolated() {
        MembershipNeed::Isolated
    } else if own_member(state) != member {
        MembershipNeed::Renamed
    } else if state.should_leave() {
        MembershipNeed::Unneeded
    } else {
        MembershipNeed::Needed
    }
}

/// Waits until this host should be a member of the group.
///
/// Hosts outside the group learn its members from the reader that they follow, and ask the store
/// only while they follow none.
async fn wait_until_needed(
    state: &SharedControl,
    client: &mut StoreClient,
    backoff: &mut StoreBackoff,
    jitter: &mut Backoff,
) {
    let shared = Arc::clone(state.borrow().shared());
    let policy = JoinPolicy::new(&shared);
    let started_at = shared.clock.now();
    let mut needed_checks = 0;
    loop {
        let is_following = *state.borrow().following().borrow();
        if !is_following || state.borrow().should_join() {
            if let Err(error) = fetch_owners(state, client).await {
                log::debug!("failed to read the partition owners: {error}");
                backoff.wait_after_failure(MAX_BACKOFF).await;
                continue;
            }
            backoff.reset();
            let graded =
                state.borrow().selects_by_grade().then(|| JoinPolicy::graded(&state.borrow()));
            let policy = graded.unwrap_or(policy);
            let too_early = shared.clock.now().since(started_at) < policy.delay;
            let is_needed = !too_early && state.borrow().should_join();
            needed_checks = if is_needed { needed_checks + 1 } else { 0 };
            if needed_checks >= policy.checks {
                return;
            }
        }
        tokio::time::sleep(jitter.jitter(CANDIDACY_CHECK_INTERVAL)).await;
    }
}

async fn fetch_owners(state: &SharedControl, client: &mut StoreClient) -> Result<(), StoreError> {
    let owners = owners(client).await;
    let mut state = state.borrow_mut();
    match owners {
        Ok(owners) => {
            state.apply_membership_update(MembershipUpdate::Owners(owners));
            Ok(())
        }
        Err(error) => {
            state.apply_membership_update(MembershipUpdate::Failed);
            Err(error)
        }
    }
}
