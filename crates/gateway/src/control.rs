//! The control thread: tracks the state of the fleet and takes part in placement.

pub mod announcements;
pub mod domain;
pub mod engine_list;
pub mod era;
pub mod feed;
pub mod freshness;
pub mod host_count;
pub mod membership;
pub mod topic_mirror;
pub mod configuration;
pub mod orders;
pub mod restore_record;
pub mod stream_records;
pub mod placement;
pub mod plan_encoding;
pub mod state;
pub mod aggregates;

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use tokio::{runtime::Builder, task::LocalSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    codec::KeyedTopic,
    control::{
        membership::{maintain_membership, own_member},
        restore_record::maintain_restore_record,
        state::ControlState,
        stream_records::maintain_stream_records,
    },
    host::SharedState,
    peers::{
        client::run_peer_client, feed::run_feed_client, origins::run_origin_sender,
        server::run_peer_server,
    },
    store::{
        Backoff, MAX_BACKOFF, StoreBackoff, StoreClient,
        follow::{FollowOptions, LONG_POLL_WAIT, follow_topic},
        membership::leave,
    },
};

/// Interval of ticks when nothing wakes the thread.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two ticks, so that messages are handled in batches.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(4);

/// Minimum time between two reads of the engines' entries, so that heartbeats arrive in batches.
const ENGINES_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum time between two reads of the configuration.
const CONFIGURATION_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Divides the revocation bound to get the long-poll time of the configuration. A read confirms the
/// configuration only when it is answered, so a host that loses the store last confirmed it up to
/// two long polls earlier. This uses a fifth of the bound and leaves the rest for serving keys
/// through an outage.
const REVOCATION_BOUND_DIVISOR: u32 = 10;

/// Maximum long-poll time of the configuration until the state of this host is verified.
const UNVERIFIED_POLL_WAIT: Duration = Duration::from_millis(150);

/// Divides the bound for a change to get the long-poll time. A connection that is lost silently is
/// detected only when a read on it times out, so the long poll and the client's timeout must both
/// fit into the bound.
const CHANGE_BOUND_DIVISOR: u32 = 2;

/// Maximum backoff between failed reads of the configuration on hosts that read it for others.
const MAX_READER_BACKOFF: Duration = Duration::from_millis(250);

/// Time to live of this host's group membership, unless the store requires a longer one.
const MEMBERSHIP_TTL: Duration = Duration::from_secs(2);

/// Control state shared by the tasks of the control thread.
pub type SharedControl = Rc<RefCell<ControlState>>;

/// Runs the control thread until the host has ended.
pub fn run_control(shared: &Arc<SharedState>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("failed to start the control thread: {error}");
            return;
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        tokio::select! {
            () = run_control_loop(shared) => {}
            () = shared.wait_until_ended() => {}
        }
    });
}

async fn run_control_loop(shared: &Arc<SharedState>) {
    let state: SharedControl = Rc::new(RefCell::new(ControlState::new(Arc::clone(shared))));
    let tasks = [
        tokio::task::spawn_local(follow_configuration(Rc::clone(&state))),
        tokio::task::spawn_local(follow_engines(Rc::clone(&state))),
        tokio::task::spawn_local(maintain_membership(Rc::clone(&state))),
        tokio::task::spawn_local(run_peer_server(Rc::clone(&state))),
        tokio::task::spawn_local(run_peer_client(Rc::clone(&state))),
        tokio::task::spawn_local(run_feed_client(Rc::clone(&state))),
        tokio::task::spawn_local(run_origin_sender(Rc::clone(&state))),
        tokio::task::spawn_local(maintain_restore_record(Rc::clone(&state))),
        tokio::task::spawn_local(maintain_stream_records(Rc::clone(&state))),
    ];
    let mut stopping = shared.stopping.subscribe();
    loop {
        let delay = state.borrow_mut().tick(&state);
        tokio::time::sleep(MIN_TICK_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(delay.saturating_sub(MIN_TICK_INTERVAL)) => {}
            () = shared.wake_control.notified() => {}
            changed = stopping.wait_for(|stopping| *stopping) => {
                drop(changed);
                break;
            }
        }
    }
    // Gives up the lease before anything else stops, so that the next placer can start at once.
    tasks[2].abort();
    state.borrow_mut().leave_group();
    state.borrow_mut().stop_reading();
    let mut client = store_client(&state);
    let member = own_member(&state.borrow());
    if let Err(error) = leave(&mut client, member).await {
        log::debug!("failed to leave the group: {error}");
    }
    loop {
        state.borrow_mut().tick(&state);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

fn store_client(state: &SharedControl) -> StoreClient {
    let state = state.borrow();
    let shared = state.shared();
    let calls = shared.metrics.store_calls.clone();
    let codec = Arc::clone(&shared.codecs.store);
    StoreClient::new(codec, shared.profile.store_address, calls, state.eras().clone())
}

fn backoff(shared: &SharedState, salt: u64) -> Backoff {
    Backoff::new(xxh3_64(shared.profile.name.as_bytes()) ^ salt)
}

async fn follow_configuration(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let client = store_client(&state);
    let bounds = &shared.profile.bounds;
    let revocation_bound = bounds.max_revocation_delay;
    let options = FollowOptions {
        topic: KeyedTopic::Configuration,
        min_interval: CONFIGURATION_READ_INTERVAL,
        poll_wait: configuration_poll_wait(&state),
        clock: Arc::clone(&shared.clock),
        max_backoff: max_backoff(&state, revocation_bound.is_some()),
    };
    let sink = |update| state.borrow_mut().apply_configuration_update(update);
    let following = state.borrow().following();
    let returns = state.borrow().store_returns();
    let backoff = StoreBackoff::probing(backoff(&shared, 0x1111), returns);
    follow_topic(client, options, backoff, following, sink).await;
}

/// Returns the long-poll time of the configuration.
///
/// It is short until the state of this host is verified, since only a read that is requested after
/// that confirms that keys may be accepted.
fn configuration_poll_wait(state: &SharedControl) -> Box<dyn Fn() -> Duration> {
    let shared = Arc::clone(state.borrow().shared());
    let bounds = &shared.profile.bounds;
    let wait = long_poll_time(bounds.max_configuration_delay);
    let wait = bounds
        .max_revocation_delay
        .map_or(wait, |bound| (bound / REVOCATION_BOUND_DIVISOR).min(wait));
    let state = Rc::clone(state);
    Box::new(move || {
        let state = state.borrow();
        let is_unverified = state.eras().current() > 0 && !state.is_verified();
        if is_unverified { wait.min(UNVERIFIED_POLL_WAIT) } else { wait }
    })
}

/// Returns the long-poll time of a read whose changes must be in force within `bound`.
fn long_poll_time(bound: Duration) -> Duration {
    (bound / CHANGE_BOUND_DIVISOR).min(LONG_POLL_WAIT)
}

/// Returns the maximum backoff between failed reads of the configuration. Where the configuration
/// authorizes keys, hosts that read for others retry sooner, so that they and their followers
/// recover quickly.
fn max_backoff(state: &SharedControl, serves_keys: bool) -> Box<dyn Fn() -> Duration> {
    let state = Rc::clone(state);
    Box::new(move || {
        let serves_followers = serves_keys && state.borrow().is_assigned_reader();
        if serves_followers { MAX_READER_BACKOFF } else { MAX_BACKOFF }
    })
}

async fn follow_engines(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let client = store_client(&state);
    let sink = |update| state.borrow_mut().apply_engines_update(update);
    let following = state.borrow().following();
    let leaving_wait = long_poll_time(shared.profile.bounds.max_leaving_delay);
    let options = FollowOptions {
        topic: KeyedTopic::Engines,
        min_interval: ENGINES_READ_INTERVAL,
        poll_wait: Box::new(move || leaving_wait),
        clock: Arc::clone(&shared.clock),
        max_backoff: Box::new(|| MAX_BACKOFF),
    };
    let returns = state.borrow().store_returns();
    let backoff = StoreBackoff::passive(backoff(&shared, 0x2222), returns);
    follow_topic(client, options, backoff, following, sink).await;
}
