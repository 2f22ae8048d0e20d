//! Frames: each message comes back as it went, damaged bytes are refused, the code is up to date.

use std::{fs, path::Path, time::Duration};

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use reelreel_core::{
    ClockMillis,
    chart::MemberState,
    clock::HybridTimestamp,
    engine::EngineFacts,
    gossip::{DigestVersion, EngineDigest},
    id::AdapterKey,
    member::MemberUpdate,
    message::{
        Heartbeat, LoadAsk, LoadPlace, LoadTurn, PeerMessage, PermitAsk, PermitCheck, PermitDone,
        PermitGranted, PermitQueued, PermitRefusal, PermitRefused, SettingsPull, SettingsRecords,
        SettingsState, SyncAsk, SyncReply,
    },
    node::{HostEntry, HostKind, ServerFacts},
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
    let engine = EngineFacts {
        engine: 1,
        hall: 2,
        service: String::from("assist"),
        address: String::from("10.0.0.2:1"),
        slots: 8,
        streams: 64,
        checks_fence: true,
        incarnation: 4,
    };
    let server = ServerFacts {
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
        // The deadline does not travel; patience does.
        deadline: ClockMillis::default(),
    };
    let version = DigestVersion { engine, incarnation: 2, token: 3, sequence: 4 };
    let record = LogRecord { offset: 7, written_millis: 8, payload: vec![0, 255, 3] };
    let mut all = vec![
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
    all.extend([
        refused(PermitRefusal::NotOwner, None),
        refused(PermitRefusal::Leaving, wait),
        refused(PermitRefusal::Elsewhere(77), None),
        refused(PermitRefusal::NotResident, None),
        refused(PermitRefusal::Final(RefusalKind::Overloaded), wait),
        refused(PermitRefusal::Final(RefusalKind::LoadTooLate), wait),
        refused(PermitRefusal::Final(RefusalKind::LoadFailed), wait),
        refused(PermitRefusal::Final(RefusalKind::DeadlinePassed), None),
    ]);
    all
}

fn frame(message: PeerMessage) -> PeerFrame {
    PeerFrame { from: 12, stamp: HybridTimestamp { wall_millis: 99, counter: 3 }, message }
}

#[test]
fn every_message_comes_back_as_it_went_also_in_pieces() {
    let mut bytes = BytesMut::new();
    let mut codec = FrameCodec::default();
    for message in messages() {
        codec.encode(frame(message), &mut bytes).expect("it can be written");
    }
    let mut received = Vec::new();
    let mut buffer = BytesMut::new();
    for piece in bytes.chunks(7) {
        buffer.extend_from_slice(piece);
        while let Some(frame) = codec.decode(&mut buffer).expect("it can be read") {
            received.push(frame);
        }
    }
    let sent: Vec<PeerFrame> = messages().into_iter().map(frame).collect();
    assert_eq!(received, sent);
}

#[test]
fn a_frame_without_its_body_or_too_long_is_refused() {
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

    /// Whatever bytes come, reading them ends in a frame or an error.
    #[test]
    fn damaged_frames_are_refused_without_harm(
        which in 0..24usize,
        place in 4..200usize,
        byte in any::<u8>(),
    ) {
        let mut codec = FrameCodec::default();
        let mut bytes = BytesMut::new();
        let messages = messages();
        let message = messages[which % messages.len()].clone();
        codec.encode(frame(message), &mut bytes).expect("it can be written");
        let place = place.min(bytes.len() - 1);
        bytes[place] = byte;
        drop(codec.decode(&mut bytes));
    }
}

#[test]
fn the_committed_code_is_what_the_generator_writes() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = std::env::temp_dir().join(format!("reelreel-frames-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let descriptors =
        protox::compile(["peer.proto"], [package.join("proto")]).expect("the file is sound");
    prost_build::Config::new()
        .out_dir(&folder)
        .compile_fds(descriptors)
        .expect("the generator runs");
    let name = "reelreel.peer.rs";
    let fresh = fs::read_to_string(folder.join(name)).expect("it wrote a file");
    let committed = fs::read_to_string(package.join("src/generated").join(name));
    fs::remove_dir_all(&folder).expect("the folder goes");
    let hint = "run `cargo run -p reelreel-wire --example generate`";
    assert!(committed.expect("it is committed") == fresh, "{hint}");
}
