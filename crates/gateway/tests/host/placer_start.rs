//! What a host knows that becomes the placer right after its start.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use reelreel_core::{ClockSource, ManualClock, StorePosition, placement::StoreThroughput};
use reelreel_gateway::{
    codec::{GroupAssignment, KeyedRecord},
    control::{
        domain::{AwaitedLoads, PlanSubscriber},
        state::ControlState,
    },
    events::EventLog,
    host::SharedState,
    peers::frame::DemandFrame,
    store::{follow::TopicUpdate, membership::MembershipUpdate},
};
use tokio::sync::mpsc;

use crate::{
    codec::codecs,
    site::{TestProfile, free_address, routes},
};

/// Starts a host that the group makes the placer before it has heard any other host.
fn new_placer(clock: &Arc<ManualClock>) -> Rc<RefCell<ControlState>> {
    let tables = HashMap::from([(1, Arc::new(routes(1, false)))]);
    let events = EventLog::start_to(Arc::from("new"), std::io::sink()).expect("a thread");
    let profile = TestProfile::new(free_address()).profile("new");
    let source: Arc<dyn ClockSource> = clock.clone();
    let shared = SharedState::new(profile, codecs(Arc::new(tables)), events, source);
    let mut state = ControlState::new(Arc::new(shared));
    let record = KeyedRecord {
        key: String::from("routes"),
        value: Bytes::from("1"),
        position: StorePosition { era: 0, offset: 0 },
    };
    let (end, requested_at) = (StorePosition { era: 0, offset: 1 }, clock.now());
    let records = vec![record];
    state.apply_configuration_update(TopicUpdate::Snapshot { records, end, requested_at });
    let assignment = GroupAssignment { era: 0, generation: 5, partitions: vec![0, 1, 2, 3] };
    state.apply_membership_update(MembershipUpdate::Joined { assignment, sent: clock.now() });
    let state = Rc::new(RefCell::new(state));
    tick(&state);
    state
}

fn tick(state: &Rc<RefCell<ControlState>>) {
    let _delay = state.borrow_mut().tick(state);
}

fn throughput(state: &Rc<RefCell<ControlState>>) -> Option<StoreThroughput> {
    state.borrow_mut().domain("assist").expect("the service has a domain").store_throughput
}

/// Guards against a new placer that replaces what all hosts know of the weight store by what it
/// assumes.
#[test]
fn a_new_placer_takes_the_throughput_of_the_weight_store_from_its_peers() {
    let clock = Arc::new(ManualClock::new(3_600_000));
    let state = new_placer(&clock);
    let measured = StoreThroughput { parallel_loads: 32.0, load_time: Duration::from_millis(500) };
    let hello = DemandFrame {
        host: String::from("other"),
        service: String::from("assist"),
        store_throughput: Some(measured.into()),
        ..DemandFrame::default()
    };
    let (frames, _receiver) = mpsc::channel(64);
    let awaiting_estimates = AwaitedLoads::default();
    let subscriber = PlanSubscriber { host: Arc::from("other"), frames, awaiting_estimates };
    assert_eq!(throughput(&state), None, "an assumed throughput is published");
    assert!(state.borrow_mut().handle_peer_demand(&hello, Some(subscriber)));
    clock.advance(Duration::from_millis(50));
    tick(&state);
    let known = throughput(&state).expect("a known throughput");
    let ratio = known.parallel_loads / measured.parallel_loads;
    assert!((0.9..1.1).contains(&ratio), "{known:?}");
}
