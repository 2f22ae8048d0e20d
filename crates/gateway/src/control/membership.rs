//! This host's membership in the group, from the moment that the group needs it.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{MEMBERSHIP, SharedControl, backoff, store_client},
    host::SharedState,
    store::{
        Backoff, MAX_BACKOFF, StoreBackoff, StoreClient, StoreError,
        membership::{GroupMember, MembershipUpdate, leave, owners, run_membership},
    },
};

/// How often a host outside the group looks whether it should join.
const CANDIDACY_INTERVAL: Duration = Duration::from_millis(600);

/// How long a weak host leaves the group to strong ones.
///
/// Strong ones join at once, but the store lists them as holders only after others joined again.
const WEAK_DELAY: Duration = Duration::from_secs(3);

/// The longest pause between joins that fail: a join costs the store little, and the leases wait for it.
const LONGEST_JOIN_PAUSE: Duration = Duration::from_secs(1);

/// How many looks in a row show a weak host that the group lacks members.
const WEAK_LOOKS: u64 = 3;

/// Each such part of its spread makes a weak host look once more. Unit: milliseconds.
const WEAK_SPREAD_STEP: u64 = 200;

/// Over which time weak hosts spread, so that not all join at once. Unit: milliseconds.
const WEAK_SPREAD_MILLIS: u64 = 2000;

/// How many looks in a row must show that the group needs this host, and from when on they count.
struct JoinPatience {
    delay: Duration,
    looks: u64,
}

impl JoinPatience {
    /// Strong hosts join at once; not all weak ones that see that members are missing stand in at
    /// the same time.
    fn new(shared: &SharedState) -> Self {
        if shared.profile.capacity.has_high_capacity() {
            return Self { delay: Duration::ZERO, looks: 1 };
        }
        let spread = xxh3_64(shared.profile.name.as_bytes()) % WEAK_SPREAD_MILLIS;
        Self {
            delay: WEAK_DELAY + Duration::from_millis(spread),
            looks: WEAK_LOOKS + spread / WEAK_SPREAD_STEP,
        }
    }
}

/// Is a member of the group whenever the group needs this host, for ever.
pub async fn keep_membership(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let mut client = store_client(&state);
    let returns = state.borrow().store_returns();
    let mut pause = StoreBackoff::passive(backoff(&shared, 0x4444), returns);
    let mut spread = backoff(&shared, 0x5555);
    let time_to_live = MEMBERSHIP.max(shared.profile.min_membership_ttl);
    let member = own_member(&shared);
    let unneeded = || shared.profile.capacity.should_leave(state.borrow().strong_members());
    let sink = |update| state.borrow_mut().membership_updated(update);
    loop {
        await_candidacy(&state, &mut client, &mut pause, &mut spread).await;
        let backoff = backoff(&shared, 0x3333).with_max_delay(LONGEST_JOIN_PAUSE);
        let clock = Arc::clone(&shared.clock);
        run_membership(&mut client, member, time_to_live, clock, backoff, unneeded, sink).await;
        state.borrow_mut().leave_group();
        if let Err(error) = leave(&mut client, member).await {
            log::debug!("leave: {error}");
        }
    }
}

/// Returns this host as a member of the group.
pub fn own_member(shared: &SharedState) -> GroupMember {
    GroupMember {
        address: shared.profile.peer_address,
        strong: shared.profile.capacity.has_high_capacity(),
    }
}

/// Waits until this host should be a member of the group.
///
/// Hosts that stay out of the group learn from the reader that they follow who is in it, and ask
/// the store only while they follow none.
async fn await_candidacy(
    state: &SharedControl,
    client: &mut StoreClient,
    pause: &mut StoreBackoff,
    spread: &mut Backoff,
) {
    let shared = Arc::clone(state.borrow().shared());
    let patience = JoinPatience::new(&shared);
    let began = shared.clock.now();
    let mut wanted = 0;
    loop {
        let follows = *state.borrow().following().borrow();
        if !follows || state.borrow().should_join() {
            if let Err(error) = learn_owners(state, client).await {
                log::debug!("owners: {error}");
                pause.wait_after_failure(MAX_BACKOFF).await;
                continue;
            }
            pause.reset();
            let early = shared.clock.now().since(began) < patience.delay;
            let want = !early && state.borrow().should_join();
            wanted = if want { wanted + 1 } else { 0 };
            if wanted >= patience.looks {
                return;
            }
        }
        tokio::time::sleep(spread.jitter(CANDIDACY_INTERVAL)).await;
    }
}

async fn learn_owners(state: &SharedControl, client: &mut StoreClient) -> Result<(), StoreError> {
    let owners = owners(client).await;
    let mut state = state.borrow_mut();
    match owners {
        Ok(owners) => {
            state.membership_updated(MembershipUpdate::Owners(owners));
            Ok(())
        }
        Err(error) => {
            state.membership_updated(MembershipUpdate::Failed);
            Err(error)
        }
    }
}
