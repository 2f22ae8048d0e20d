//! The control thread: everything that the host believes, and its part in placement.

pub mod announcements;
pub mod domain;
pub mod engine_list;
pub mod era;
pub mod feed;
pub mod freshness;
pub mod host_count;
pub mod membership;
pub mod mirror;
pub mod operator;
pub mod orders;
pub mod placing;
pub mod plan_lines;
pub mod state;
pub mod sums;

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use tokio::{runtime::Builder, task::LocalSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    codec::KeyedTopic,
    control::{
        membership::{keep_membership, own_member},
        state::ControlState,
    },
    host::SharedState,
    peers::{client::run_peer_client, feed::run_feed_client, server::run_peer_server},
    store::{
        Backoff, MAX_BACKOFF, StoreBackoff, StoreClient,
        follow::{FollowOptions, LONG_POLL_WAIT, follow_topic},
        membership::leave,
    },
};

/// How often the thread looks at its domains when nothing wakes it.
const TICK: Duration = Duration::from_millis(50);

/// The least time between two looks, so that what comes together is handled together.
const LEAST_TICK: Duration = Duration::from_millis(4);

/// The least time between two reads of the engines' entries, so that heartbeats come in batches.
const ENGINES_REST: Duration = Duration::from_millis(700);

/// The least time between two reads of the configuration.
const CONFIGURATION_REST: Duration = Duration::from_millis(20);

/// Into how many parts the bound for withdrawn keys is cut to get the time that the store holds a read of the
/// configuration. A call that began just after the one before has told nothing until it is answered, so
/// that a host that loses the store knows its configuration up to two such times before: a fifth of the
/// bound, and the rest is left for serving through an outage. Half the time again would double the calls.
const FRESHNESS_PARTS: u32 = 10;

/// Into how many parts the bound for a change is cut to get the time that the store holds a read that tells of it. A connection that
/// went silent shows only when a read on it is given up: with two parts and the patience beyond them a change is in
/// force 1.6 s after that at most, where two seconds are given; with one part it took 2.8 s.
const CHANGE_PARTS: u32 = 2;

/// The longest pause between reads of the configuration that fail, for the few hosts that read it for all.
const READER_PAUSE: Duration = Duration::from_millis(250);

/// The time to live of this host's membership, where the store allows one as short.
const MEMBERSHIP: Duration = Duration::from_secs(2);

/// Control state as its tasks share it.
pub type SharedControl = Rc<RefCell<ControlState>>;

/// Runs the control thread until the host stops.
pub fn run_control(shared: &Arc<SharedState>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the control thread can not run: {error}");
            return;
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, control(shared));
}

async fn control(shared: &Arc<SharedState>) {
    let state: SharedControl = Rc::new(RefCell::new(ControlState::new(Arc::clone(shared))));
    let tasks = [
        tokio::task::spawn_local(follow_configuration(Rc::clone(&state))),
        tokio::task::spawn_local(follow_engines(Rc::clone(&state))),
        tokio::task::spawn_local(keep_membership(Rc::clone(&state))),
        tokio::task::spawn_local(run_peer_server(Rc::clone(&state))),
        tokio::task::spawn_local(run_peer_client(Rc::clone(&state))),
        tokio::task::spawn_local(run_feed_client(Rc::clone(&state))),
    ];
    let mut stopping = shared.stopping.subscribe();
    loop {
        let pause = state.borrow_mut().tick(&state);
        tokio::time::sleep(LEAST_TICK).await;
        tokio::select! {
            () = tokio::time::sleep(pause.saturating_sub(LEAST_TICK)) => {}
            () = shared.wake_control.notified() => {}
            changed = stopping.wait_for(|stopping| *stopping) => {
                drop(changed);
                break;
            }
        }
    }
    // The lease passes on before anything else ends, so that the next placer begins at once.
    tasks[2].abort();
    state.borrow_mut().leave_group();
    state.borrow_mut().stop_reading();
    let mut client = store_client(&state);
    if let Err(error) = leave(&mut client, own_member(shared)).await {
        log::debug!("leave: {error}");
    }
    loop {
        state.borrow_mut().tick(&state);
        tokio::time::sleep(TICK).await;
    }
}

fn store_client(state: &SharedControl) -> StoreClient {
    let state = state.borrow();
    let shared = state.shared();
    let calls = shared.metrics.store_calls.clone();
    let dialect = Arc::clone(&shared.codecs.store);
    StoreClient::new(dialect, shared.profile.store_address, calls, state.eras().clone())
}

fn backoff(shared: &SharedState, salt: u64) -> Backoff {
    Backoff::new(xxh3_64(shared.profile.name.as_bytes()) ^ salt)
}

async fn follow_configuration(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let client = store_client(&state);
    let bounds = &shared.profile.bounds;
    let bound = bounds.max_revocation_delay;
    let wait = read_wait(bounds.max_configuration_delay);
    let terms = FollowOptions {
        topic: KeyedTopic::Configuration,
        min_interval: CONFIGURATION_REST,
        poll_wait: bound.map_or(wait, |bound| (bound / FRESHNESS_PARTS).min(wait)),
        clock: Arc::clone(&shared.clock),
        max_backoff: reader_pause(&state, bound.is_some()),
    };
    let sink = |update| state.borrow_mut().configuration_updated(update);
    let gate = state.borrow().following();
    let returns = state.borrow().store_returns();
    let pause = StoreBackoff::probing(backoff(&shared, 0x1111), returns);
    follow_topic(client, terms, pause, gate, sink).await;
}

/// Returns how long the store holds a read that tells of changes which are to be in force within `bound`.
fn read_wait(bound: Duration) -> Duration {
    (bound / CHANGE_PARTS).min(LONG_POLL_WAIT)
}

/// Returns how long a host pauses at most between reads of the configuration that fail: where keys are served by
/// it, those that read for others find out soon that the store is back, and their followers with them.
fn reader_pause(state: &SharedControl, serves_keys: bool) -> Box<dyn Fn() -> Duration> {
    let state = Rc::clone(state);
    Box::new(move || {
        let reads = serves_keys && state.borrow().reads_for_others();
        if reads { READER_PAUSE } else { MAX_BACKOFF }
    })
}

async fn follow_engines(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let client = store_client(&state);
    let sink = |update| state.borrow_mut().engines_updated(update);
    let gate = state.borrow().following();
    let terms = FollowOptions {
        topic: KeyedTopic::Engines,
        min_interval: ENGINES_REST,
        poll_wait: read_wait(shared.profile.bounds.max_leaving_delay),
        clock: Arc::clone(&shared.clock),
        max_backoff: Box::new(|| MAX_BACKOFF),
    };
    let returns = state.borrow().store_returns();
    let pause = StoreBackoff::passive(backoff(&shared, 0x2222), returns);
    follow_topic(client, terms, pause, gate, sink).await;
}
