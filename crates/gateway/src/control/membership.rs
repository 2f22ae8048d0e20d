//! This host's membership in the group, from the moment that the group needs it.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{MEMBERSHIP_TTL, SharedControl, backoff, store_client},
    host::SharedState,
    store::{
        Backoff, LONGEST_PAUSE, StoreClient, StoreError, StorePause,
        membership::{GroupMember, MembershipUpdate, leave, owners, stay_member},
    },
};

/// How often a host outside the group looks whether it should join.
const CANDIDACY_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// How long a weak host leaves the group to strong ones.
///
/// Strong ones join at once, but the store lists them as holders only after others joined again.
const LOW_CAPACITY_JOIN_DELAY: Duration = Duration::from_secs(3);

/// The longest pause between joins that fail: a join costs the store little, and the leases wait for it.
const MAX_JOIN_BACKOFF: Duration = Duration::from_secs(1);

/// How many looks in a row show a weak host that the group lacks members.
const LOW_CAPACITY_CHECKS: u64 = 3;

/// Each such part of its spread makes a weak host look once more. Unit: milliseconds.
const JITTER_MILLIS_PER_CHECK: u64 = 200;

/// Over which time weak hosts spread, so that not all join at once. Unit: milliseconds.
const LOW_CAPACITY_JITTER_MILLIS: u64 = 2000;

/// How many looks in a row must show that the group needs this host, and from when on they count.
struct JoinPolicy {
    delay: Duration,
    checks: u64,
}

impl JoinPolicy {
    /// Strong hosts join at once; not all weak ones that see that members are missing stand in at
    /// the same time.
    fn new(shared: &SharedState) -> Self {
        if shared.profile.capacity.has_high_capacity() {
            return Self { delay: Duration::ZERO, checks: 1 };
        }
        let jitter_millis = xxh3_64(shared.profile.name.as_bytes()) % LOW_CAPACITY_JITTER_MILLIS;
        Self {
            delay: LOW_CAPACITY_JOIN_DELAY + Duration::from_millis(jitter_millis),
            checks: LOW_CAPACITY_CHECKS + jitter_millis / JITTER_MILLIS_PER_CHECK,
        }
    }
}

/// Is a member of the group whenever the group needs this host, for ever.
pub async fn maintain_membership(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let mut client = store_client(&state);
    let returns = state.borrow().store_returns();
    let mut pause = StorePause::woken(backoff(&shared, 0x4444), returns);
    let mut jitter = backoff(&shared, 0x5555);
    let time_to_live = MEMBERSHIP_TTL.max(shared.profile.shortest_membership);
    let member = own_member(&shared);
    let should_leave =
        || shared.profile.capacity.should_leave(state.borrow().high_capacity_members());
    let sink = |update| state.borrow_mut().apply_membership_update(update);
    loop {
        wait_until_needed(&state, &mut client, &mut pause, &mut jitter).await;
        let backoff = backoff(&shared, 0x3333).longest(MAX_JOIN_BACKOFF);
        let clock = Arc::clone(&shared.clock);
        stay_member(&mut client, member, time_to_live, clock, backoff, should_leave, sink).await;
        state.borrow_mut().leave_group();
        if let Err(error) = leave(&mut client, member).await {
            log::debug!("leave: {error}");
        }
    }
}

/// Returns this host as a member of the group.
pub fn own_member(shared: &SharedState) -> GroupMember {
    GroupMember {
        address: shared.profile.peers,
        strong: shared.profile.capacity.has_high_capacity(),
    }
}

/// Waits until this host should be a member of the group.
///
/// Hosts that stay out of the group learn from the reader that they follow who is in it, and ask
/// the store only while they follow none.
async fn wait_until_needed(
    state: &SharedControl,
    client: &mut StoreClient,
    pause: &mut StorePause,
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
                log::debug!("owners: {error}");
                pause.after_failure(LONGEST_PAUSE).await;
                continue;
            }
            pause.succeeded();
            let too_early = shared.clock.now().since(started_at) < policy.delay;
            let is_needed = !too_early && state.borrow().should_join();
            needed_checks = if is_needed { needed_checks + 1 } else { 0 };
            if needed_checks >= policy.checks {
                return;
            }
        }
        tokio::time::sleep(jitter.spread(CANDIDACY_CHECK_INTERVAL)).await;
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
