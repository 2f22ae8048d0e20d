//! A single host core, driven event by event: permit asks, leaving engines and snapshots.

use std::time::Duration;

use reelreel_core::{
    ClockMillis, NodeAction, NodeConfig, NodeCore, NodeEvent,
    clock::HybridTimestamp,
    engine::EngineInfo,
    gossip::EngineDigest,
    id::request_id,
    message::{PeerMessage, PermitAsk, PermitGranted, PermitRefusal, PermitRefused, SyncReply},
    node::{AppendResult, ClockReading, HostEntry, HostKind, HostListChange, LogStream},
    request::{ArrivedRequest, RequestTarget},
    settings::{ChangeRecord, SettingsTree, fold::LogRecord, read_tree},
};

const TREE: &str =
    "[service.assist]\n[service.assist.organisation.north.adapter.brakes]\nversion = 1\n";

const OWNER: u32 = 2;

fn reading(millis: u64) -> ClockReading {
    ClockReading { now: ClockMillis::from_millis(millis), wall_millis: millis }
}

/// Creates a host in hall 9 that knows one engine and its owner in hall 1.
fn new_host() -> NodeCore {
    let mut host = NodeCore::new(NodeConfig::new(1, 9, 1));
    host.start(reading(1));
    let tree = read_tree(TREE).expect("the tree is valid");
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
    host.handle(reading(2), read);
    let address = String::from("10.0.0.2:7000");
    let engine = EngineInfo {
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
    host.handle(
        reading(3),
        NodeEvent::HostListChanged(HostListChange { entries, ..HostListChange::default() }),
    );
    host
}

fn find_permit_ask(actions: &[NodeAction]) -> Option<PermitAsk> {
    actions.iter().find_map(|action| match action {
        NodeAction::SendMessage { message: PeerMessage::PermitAsk(ask), .. } => Some(ask.clone()),
        _ => None,
    })
}

fn message_from_owner(message: PeerMessage) -> NodeEvent {
    NodeEvent::PeerMessage { from: OWNER, stamp: HybridTimestamp::default(), message }
}

fn arrival(counter: u32) -> NodeEvent {
    NodeEvent::RequestArrived(ArrivedRequest {
        id: request_id(1, 1, counter),
        target: RequestTarget::Model(String::from("north/brakes")),
        max_wait: Some(Duration::from_secs(10)),
        repeatable: None,
        key: None,
        max_tokens: None,
    })
}

#[test]
fn a_leaving_engine_is_used_again_only_in_a_later_incarnation() {
    let mut host = new_host();
    let is_refused = |millis, host: &mut NodeCore, counter| {
        let actions = host.handle(reading(millis), arrival(counter));
        let refused = actions.iter().any(|action| matches!(action, NodeAction::Refuse { .. }));
        assert_ne!(refused, find_permit_ask(&actions).is_some(), "{actions:?}");
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
        message_from_owner(PeerMessage::SyncReply(SyncReply {
            digests: vec![digest],
            ..SyncReply::default()
        }))
    };
    host.handle(reading(2_000), digest(5, 1));
    assert!(!is_refused(2_001, &mut host, 1));
    let refused = PermitRefused {
        request: request_id(1, 1, 1),
        attempt: 1,
        engine: 1,
        reason: PermitRefusal::Leaving,
        retry_after: None,
    };
    host.handle(reading(2_002), message_from_owner(PeerMessage::PermitRefused(refused)));
    assert!(is_refused(2_003, &mut host, 2), "the owner reported the engine as leaving");
    host.handle(reading(2_004), digest(5, 2));
    assert!(
        is_refused(2_005, &mut host, 3),
        "a later digest of the same incarnation does not clear the mark"
    );
    host.handle(reading(2_006), digest(6, 1));
    assert!(!is_refused(2_007, &mut host, 4), "the engine serves in a new incarnation");
}

#[test]
fn a_request_keeps_asking_for_five_seconds_without_an_owner() {
    let mut host = new_host();
    let request = request_id(1, 1, 1);
    let mut actions = host.handle(reading(3_000), arrival(1));
    let mut last_ask = None;
    let mut asks = 0;
    for millis in (3_000..8_000).step_by(20) {
        let refused = actions.iter().any(|action| matches!(action, NodeAction::Refuse { .. }));
        assert!(!refused, "refused after {} ms and {asks} asks", millis - 3_000);
        let mut next = host.handle(reading(millis), NodeEvent::Tick);
        if let Some(ask) = find_permit_ask(&actions) {
            asks += 1;
            let refused = PermitRefused {
                request,
                attempt: ask.attempt,
                engine: ask.engine,
                reason: PermitRefusal::NotOwner,
                retry_after: None,
            };
            let message = PeerMessage::PermitRefused(refused);
            next.extend(host.handle(reading(millis), message_from_owner(message)));
        }
        actions = next;
    }
    for millis in (8_000..10_000).step_by(20) {
        last_ask = find_permit_ask(&actions).or(last_ask);
        if last_ask.is_some() {
            break;
        }
        actions = host.handle(reading(millis), NodeEvent::Tick);
    }
    let ask = last_ask.expect("the request is asked for again");
    let granted = PermitGranted {
        request,
        attempt: ask.attempt,
        engine: ask.engine,
        token: 1 << 40,
        fill: 10,
        stalled: false,
    };
    let actions =
        host.handle(reading(10_000), message_from_owner(PeerMessage::PermitGranted(granted)));
    let sent = actions.iter().any(|action| matches!(action, NodeAction::Dispatch(_)));
    assert!(sent, "{actions:?}");
}

#[test]
fn a_superseded_permit_ask_is_withdrawn() {
    let mut host = new_host();
    let actions = host.handle(reading(3_000), arrival(1));
    let first = find_permit_ask(&actions).expect("a first ask");
    // Without an answer, the request is routed again after the ask timeout of 500 ms.
    let actions = host.handle(reading(3_600), NodeEvent::Tick);
    let second = find_permit_ask(&actions).expect("a second ask");
    assert_eq!(second.attempt, first.attempt + 1);
    let withdrawn = actions.iter().any(|action| match action {
        NodeAction::SendMessage { message: PeerMessage::PermitDone(done), .. } => {
            done.attempt == first.attempt && done.clean
        }
        _ => false,
    });
    assert!(withdrawn, "{actions:?}");
}

#[test]
fn snapshots_are_written_by_age_and_renewed_before_log_retention() {
    const MINUTE: u64 = 60_000;
    let mut host = new_host();
    // The host in hall 1 answers no heartbeats, so this host soon is the only live one.
    let mut written = Vec::new();
    for minute in 0..800 {
        for second in 0..4 {
            let now = 5_000 + minute * MINUTE + second * 5_000;
            for action in host.handle(reading(now), NodeEvent::Tick) {
                if let NodeAction::Append { stream: LogStream::Snapshots, ticket, .. } = action {
                    written.push(minute);
                    let result = AppendResult::Written;
                    host.handle(reading(now), NodeEvent::AppendEnded { ticket, result });
                }
            }
        }
    }
    assert_eq!(written.len(), 3, "{written:?}");
    assert!((30..=31).contains(&written[0]), "30 minutes after the change: {written:?}");
    assert!((390..=392).contains(&written[1]), "6 hours later: {written:?}");
}
