//! One host, driven event by event: asking on, signs of leaving, snapshots by time.

use std::time::Duration;

use reelreel_core::{
    ClockMillis, NodeConfig, NodeCore, NodeEvent, NodeOrder,
    clock::HybridTimestamp,
    engine::EngineFacts,
    gossip::EngineDigest,
    id::request_id,
    message::{PeerMessage, PermitAsk, PermitGranted, PermitRefusal, PermitRefused, SyncReply},
    node::{AppendResult, HostChange, HostEntry, HostKind, LogStream, NodeReading},
    request::{ArrivedRequest, RequestTarget},
    settings::{ChangeRecord, SettingsTree, fold::LogRecord, read_tree},
};

const TREE: &str =
    "[service.assist]\n[service.assist.organisation.north.adapter.brakes]\nversion = 1\n";

const OWNER: u32 = 2;

fn reading(millis: u64) -> NodeReading {
    NodeReading { now: ClockMillis::from_millis(millis), wall_millis: millis }
}

/// Makes a host in hall 9 that knows one engine and one host in hall 1.
fn core() -> NodeCore {
    let mut core = NodeCore::new(NodeConfig::new(1, 9, 1));
    core.start(reading(1));
    let tree = read_tree(TREE).expect("no mistakes");
    let record = ChangeRecord {
        format: 1,
        change_id: String::from("first"),
        base_revision: 0,
        author: String::new(),
        message: String::new(),
        edits: SettingsTree::default().diff_edits(&tree),
    };
    let payload = serde_json::to_vec(&record).expect("JSON");
    let records = vec![LogRecord { offset: 0, written_millis: 0, payload }];
    let read =
        NodeEvent::LogRead { stream: LogStream::Settings, era: 0, first: 0, records, end: 1 };
    core.handle(reading(2), read);
    let address = String::from("10.0.0.2:7000");
    let engine = EngineFacts {
        engine: 1,
        hall: 1,
        service: String::from("assist"),
        address: String::from("10.0.0.9:8000"),
        slots: 4,
        streams: 8,
        checks_fence: true,
        incarnation: 1,
    };
    let entries = vec![
        HostEntry { kind: HostKind::Entry { host: OWNER, hall: 1, address }, leaving: false },
        HostEntry { kind: HostKind::Engine(engine), leaving: false },
    ];
    core.handle(reading(3), NodeEvent::Hosts(HostChange { entries, ..HostChange::default() }));
    core
}

fn ask_of(orders: &[NodeOrder]) -> Option<PermitAsk> {
    orders.iter().find_map(|order| match order {
        NodeOrder::Send { message: PeerMessage::PermitAsk(ask), .. } => Some(ask.clone()),
        _ => None,
    })
}

fn from_owner(message: PeerMessage) -> NodeEvent {
    NodeEvent::Peer { from: OWNER, stamp: HybridTimestamp::default(), message }
}

fn arrival(counter: u32) -> NodeEvent {
    NodeEvent::Arrived(ArrivedRequest {
        id: request_id(1, 1, counter),
        target: RequestTarget::Model(String::from("north/brakes")),
        max_wait: Some(Duration::from_secs(10)),
        repeatable: None,
        key: None,
        max_tokens: None,
    })
}

#[test]
fn a_leaving_engine_is_used_again_only_in_a_later_life() {
    let mut core = core();
    let left = |millis, core: &mut NodeCore, counter| {
        let orders = core.handle(reading(millis), arrival(counter));
        let refused = orders.iter().any(|order| matches!(order, NodeOrder::Refuse { .. }));
        assert_ne!(refused, ask_of(&orders).is_some(), "{orders:?}");
        refused
    };
    let digest = |incarnation, sequence| {
        let digest = EngineDigest {
            engine: 1,
            incarnation,
            owner: OWNER,
            token: 1 << 40,
            sequence,
            serving: true,
            residents: Vec::new(),
        };
        from_owner(PeerMessage::SyncReply(SyncReply {
            digests: vec![digest],
            ..SyncReply::default()
        }))
    };
    core.handle(reading(2_000), digest(5, 1));
    assert!(!left(2_001, &mut core, 1));
    let refused = PermitRefused {
        request: request_id(1, 1, 1),
        attempt: 1,
        engine: 1,
        reason: PermitRefusal::Leaving,
        retry_after: None,
    };
    core.handle(reading(2_002), from_owner(PeerMessage::PermitRefused(refused)));
    assert!(left(2_003, &mut core, 2), "its owner says that it is leaving");
    core.handle(reading(2_004), digest(5, 2));
    assert!(left(2_005, &mut core, 3), "late news of the same life takes nothing back");
    core.handle(reading(2_006), digest(6, 1));
    assert!(!left(2_007, &mut core, 4), "it is back in a new life");
}

#[test]
fn a_request_outlasts_five_seconds_without_an_owner() {
    let mut core = core();
    let request = request_id(1, 1, 1);
    let mut orders = core.handle(reading(3_000), arrival(1));
    let mut last_ask = None;
    let mut asks = 0;
    for millis in (3_000..8_000).step_by(20) {
        let refused = orders.iter().any(|order| matches!(order, NodeOrder::Refuse { .. }));
        assert!(!refused, "refused after {} ms and {asks} asks", millis - 3_000);
        let mut next = core.handle(reading(millis), NodeEvent::Tick);
        if let Some(ask) = ask_of(&orders) {
            asks += 1;
            let refused = PermitRefused {
                request,
                attempt: ask.attempt,
                engine: ask.engine,
                reason: PermitRefusal::NotOwner,
                retry_after: None,
            };
            let message = PeerMessage::PermitRefused(refused);
            next.extend(core.handle(reading(millis), from_owner(message)));
        }
        orders = next;
    }
    for millis in (8_000..10_000).step_by(20) {
        last_ask = ask_of(&orders).or(last_ask);
        if last_ask.is_some() {
            break;
        }
        orders = core.handle(reading(millis), NodeEvent::Tick);
    }
    let ask = last_ask.expect("it asks on");
    let granted = PermitGranted {
        request,
        attempt: ask.attempt,
        engine: ask.engine,
        token: 1 << 40,
        fill: 10,
        stalled: false,
    };
    let orders = core.handle(reading(10_000), from_owner(PeerMessage::PermitGranted(granted)));
    let sent = orders.iter().any(|order| matches!(order, NodeOrder::Dispatch(_)));
    assert!(sent, "{orders:?}");
}

#[test]
fn an_ask_that_is_given_up_for_another_is_withdrawn() {
    let mut core = core();
    let orders = core.handle(reading(3_000), arrival(1));
    let first = ask_of(&orders).expect("it asks");
    // No answer comes: after half a second it is routed anew.
    let orders = core.handle(reading(3_600), NodeEvent::Tick);
    let second = ask_of(&orders).expect("it asks again");
    assert_eq!(second.attempt, first.attempt + 1);
    let withdrawn = orders.iter().any(|order| match order {
        NodeOrder::Send { message: PeerMessage::PermitDone(done), .. } => {
            done.attempt == first.attempt && done.clean
        }
        _ => false,
    });
    assert!(withdrawn, "{orders:?}");
}

#[test]
fn a_snapshot_is_written_by_time_too_and_anew_before_the_log_forgets_it() {
    const MINUTE: u64 = 60_000;
    let mut core = core();
    // The host in hall 1 is not there: after a few silent heartbeats only this one is left.
    let mut written = Vec::new();
    for minute in 0..800 {
        for second in 0..4 {
            let now = 5_000 + minute * MINUTE + second * 5_000;
            for order in core.handle(reading(now), NodeEvent::Tick) {
                if let NodeOrder::Append { stream: LogStream::Snapshots, ticket, .. } = order {
                    written.push(minute);
                    let result = AppendResult::Written;
                    core.handle(reading(now), NodeEvent::AppendEnded { ticket, result });
                }
            }
        }
    }
    assert_eq!(written.len(), 3, "{written:?}");
    assert!((30..=31).contains(&written[0]), "half an hour after the change: {written:?}");
    assert!((390..=392).contains(&written[1]), "six hours after that: {written:?}");
}
