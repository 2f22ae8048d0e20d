//! Tests of the frame codec and of the committed generated code.

use std::{fs, path::Path, time::Duration};

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    chart::MemberState,
    clock::HybridTimestamp,
    engine::EngineInfo,
    gossip::{DigestVersion, EngineDigest},
    id::AdapterKey,
    member::MemberUpdate,
    message::{
        Heartbeat, LoadAsk, LoadPlace, LoadTurn, PeerMessage, PermitAsk, PermitCheck, PermitDone,
        PermitGranted, PermitQueued, PermitRefusal, PermitRefused, SettingsPull, SettingsRecords,
        SettingsState, SyncAsk, SyncReply,
    },
    node::{HostEntry, HostKind, ServerInfo},
    request::{PermitRequest, RefusalKind},
    settings::fold::LogRecord,
};
use reelreel_wire::{FrameCodec, FrameError, PeerFrame};
use tokio_util::codec::{Decoder, Encoder};

const REQUEST: u128 = u128::MAX - 12_345;
const ADAPTER: AdapterKey = AdapterKey { adapter: 94_000, version: 7 };

fn member(state: MemberState) -> MemberUpdate {
    let address = String::from("10.0.0.1:7000");
    MemberUpdate { host: 370, hall: 7, address, incarnation: 1 << 40, refutations: 2, state }
}

fn digest() -> EngineDigest {
    EngineDigest {
        engine: 6_000,
        incarnation: 9,
        owner: 370,
        token: u64::MAX,
        sequence: 3,
        serving: true,
        residents: vec![ADAPTER, ADAPTER],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        sequence: 5,
        sender: member(MemberState::Leaving),
        revision: 3_600,
        era: 2,
        next_offset: 3_700,
        table_hash: u64::MAX,
        members: vec![member(MemberState::Suspect), member(MemberState::Dead)],
        digests: vec![digest()],
    }
}

fn refused(reason: PermitRefusal, retry_after: Option<Duration>) -> PeerMessage {
    let (request, attempt, engine) = (REQUEST, 2, 3);
    PeerMessage::PermitRefused(PermitRefused { request, attempt, engine, reason, retry_after })
}

fn backends() -> Vec<HostEntry> {
    let engine = EngineInfo {
        engine: 1,
        hall: 2,
        service: String::from("assist"),
        address: String::from("10.0.0.2:1"),
        slots: 8,
        streams: 64,
        checks_fence: true,
        incarnation: 4,
    };
    let server = ServerInfo {
        server: 3,
        hall: 2,
        service: String::from("orders"),
        address: String::from("10.0.0.3:1"),
        incarnation: 5,
    };
    vec![
        HostEntry { kind: HostKind::Engine(engine), leaving: true },
        HostEntry { kind: HostKind::Server(server), leaving: false },
    ]
}

fn messages() -> Vec<PeerMessage> {
    let (request, attempt, engine) = (REQUEST, 9, 6_000);
    let wait = Some(Duration::from_millis(1_500));
    let permit = PermitRequest {
        request,
        service: 1,
        organisation: 2,
        adapter: ADAPTER,
        worth: 2.5,
        share: 0.5,
        queue_limit: 64,
        stall_weight: 3.0,
        // The deadline is not encoded; `max_wait` is.
        deadline: ClockMillis::default(),
    };
    let version = DigestVersion { engine, incarnation: 2, token: 3, sequence: 4 };
    let record = LogRecord { offset: 7, written_millis: 8, payload: vec![0, 255, 3] };
    let mut messages = vec![
        PeerMessage::Heartbeat(heartbeat()),
        PeerMessage::HeartbeatAck(heartbeat()),
        PeerMessage::SyncAsk(SyncAsk {
            digests: vec![version],
            members: vec![member(MemberState::Alive)],
            wants_backends: true,
        }),
        PeerMessage::SyncReply(SyncReply {
            digests: vec![digest()],
            members: vec![member(MemberState::Alive)],
            backends: backends(),
        }),
        PeerMessage::PermitAsk(PermitAsk {
            engine,
            attempt,
            max_wait: Duration::from_millis(900),
            request: permit,
            may_load: true,
            replica: true,
        }),
        PeerMessage::PermitQueued(PermitQueued { request, attempt }),
        PeerMessage::PermitGranted(PermitGranted {
            request,
            attempt,
            engine,
            token: 1 << 41,
            fill: 140,
            stalled: true,
        }),
        PeerMessage::PermitDone(PermitDone { request, attempt, engine, clean: true }),
        PeerMessage::PermitCheck(PermitCheck {
            engine,
            permits: vec![PermitQueued { request, attempt }],
        }),
        PeerMessage::LoadAsk(LoadAsk { engine, adapter: ADAPTER, value: 1.25, running: true }),
        PeerMessage::LoadPlace(LoadPlace {
            engine,
            adapter: ADAPTER,
            before: 3,
            turn: Duration::from_millis(333),
        }),
        PeerMessage::LoadGrant(LoadTurn { engine, adapter: ADAPTER }),
        PeerMessage::LoadEnd(LoadTurn { engine, adapter: ADAPTER }),
        PeerMessage::SettingsPull(SettingsPull { era: 2, next_offset: 44 }),
        PeerMessage::SettingsRecords(SettingsRecords { era: 2, records: vec![record] }),
        PeerMessage::SettingsState(SettingsState { era: 2, snapshot: vec![1, 2, 3] }),
    ];
    messages.extend([
        refused(PermitRefusal::NotOwner, None),
        refused(PermitRefusal::Leaving, wait),
        refused(PermitRefusal::Elsewhere(77), None),
        refused(PermitRefusal::NotResident, None),
        refused(PermitRefusal::Final(RefusalKind::Overloaded), wait),
        refused(PermitRefusal::Final(RefusalKind::LoadTooLate), wait),
        refused(PermitRefusal::Final(RefusalKind::LoadFailed), wait),
        refused(PermitRefusal::Final(RefusalKind::DeadlinePassed), None),
    ]);
    messages
}

fn frame(message: PeerMessage) -> PeerFrame {
    PeerFrame { from: 12, stamp: HybridTimestamp { wall_millis: 99, counter: 3 }, message }
}

#[test]
fn every_message_round_trips_through_split_reads() {
    let mut bytes = BytesMut::new();
    let mut codec = FrameCodec::default();
    for message in messages() {
        codec.encode(frame(message), &mut bytes).expect("frame encodes");
    }
    let mut received = Vec::new();
    let mut buffer = BytesMut::new();
    for chunk in bytes.chunks(7) {
        buffer.extend_from_slice(chunk);
        while let Some(frame) = codec.decode(&mut buffer).expect("frame decodes") {
            received.push(frame);
        }
    }
    let sent: Vec<PeerFrame> = messages().into_iter().map(frame).collect();
    assert_eq!(received, sent);
}

#[test]
fn frames_without_body_or_over_the_limit_are_rejected() {
    let mut codec = FrameCodec::default();
    let mut empty = BytesMut::from(&[0, 0, 0, 0][..]);
    assert!(matches!(codec.decode(&mut empty), Err(FrameError::Message(_))));
    let mut huge = BytesMut::from(&[255, 255, 255, 255, 0][..]);
    assert!(matches!(codec.decode(&mut huge), Err(FrameError::Connection(_))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0xf4a3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Decoding a frame with one corrupted byte returns a frame or an error and never panics.
    #[test]
    fn corrupted_frames_never_panic(
        index in 0..24usize,
        position in 4..200usize,
        byte in any::<u8>(),
    ) {
        let mut codec = FrameCodec::default();
        let mut bytes = BytesMut::new();
        let messages = messages();
        let message = messages[index % messages.len()].clone();
        codec.encode(frame(message), &mut bytes).expect("frame encodes");
        let position = position.min(bytes.len() - 1);
        bytes[position] = byte;
        drop(codec.decode(&mut bytes));
    }
}

#[test]
fn the_committed_code_matches_the_generator_output() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directory = std::env::temp_dir().join(format!("reelreel-frames-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("temporary directory is created");
    let descriptors =
        protox::compile(["peer.proto"], [package.join("proto")]).expect("peer.proto compiles");
    prost_build::Config::new()
        .out_dir(&directory)
        .compile_fds(descriptors)
        .expect("code generation succeeds");
    let name = "reelreel.peer.rs";
    let generated = fs::read_to_string(directory.join(name)).expect("generated file exists");
    let committed = fs::read_to_string(package.join("src/generated").join(name));
    fs::remove_dir_all(&directory).expect("temporary directory is removed");
    let hint = "run `cargo run -p reelreel-wire --example generate`";
    assert!(committed.expect("committed file exists") == generated, "{hint}");
}
