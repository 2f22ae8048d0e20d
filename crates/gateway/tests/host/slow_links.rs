//! Hosts whose links are slow, but not cut.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use prost::Message;
use reelreel_core::placement::HostCapacity;
use reelreel_gateway::peers::{
    frame::{FrameBody, PeerFrame},
    state_frames::{KeyedRecordMessage, StateFrame},
};

use crate::{
    engine::EngineBehaviour,
    isolation::LinkedFleet,
    links::CutForm,
    site::{MODEL_NAME, TestSite, wait_until},
};

/// Number of events of a stream that lasts about a second.
const SECOND_LONG_STREAM: u32 = 66;

/// Number of streams that a host relays at a time.
const STREAMS: usize = 6;

/// Time from the start of the streams until the link is slow.
const START_TIME: Duration = Duration::from_millis(250);

/// For how long a link is slow.
const SLOW_TIME: Duration = Duration::from_millis(600);

/// Guards against a host that interrupts streams which go on, because connects to engines time out.
#[test]
fn streams_go_on_while_connects_to_engines_time_out() {
    let fleet = LinkedFleet::start_hosts(2);
    // Quick connects give a short timeout.
    fleet.engines.iter().for_each(|engine| engine.close_connection_every(1));
    fleet.measure(&[], "quick", START_TIME * 2);
    fleet.engines.iter().for_each(|engine| engine.close_connection_every(0));
    for engine in &fleet.engines {
        engine.set_behaviours(&[EngineBehaviour::Stream(SECOND_LONG_STREAM)]);
    }
    let (host, links) = &fleet.hosts[0];
    for path in ["/stream/a", "/resumable/a"] {
        let stream = |number: usize| {
            let fields = format!("X-Request: {path}-{number}\r\nX-Model: {MODEL_NAME}\r\n");
            host.post(path, &fields, "{}")
        };
        let broken = thread::scope(|scope| {
            let stream = &stream;
            let running: Vec<_> =
                (0..STREAMS).map(|number| scope.spawn(move || stream(number))).collect();
            thread::sleep(START_TIME);
            links.cut(CutForm::HangNew);
            // These need connections of their own.
            for number in STREAMS..2 * STREAMS {
                scope.spawn(move || stream(number));
            }
            thread::sleep(SLOW_TIME);
            links.repair();
            let responses = running.into_iter().map(|running| running.join().expect("a response"));
            responses.filter(|response| !response.ends_with("0\r\n\r\n")).count()
        });
        assert_eq!(broken, 0, "{path}: streams of {STREAMS} that were broken off");
        wait_until("the host is connected", || !host.shared.links.is_isolated());
    }
}

/// Size of a frame with the complete state. Unit: bytes.
const FRAME_BYTES: usize = 400_000;

/// Number of parts in which a slow link brings such a frame, and the time that each takes. The whole
/// frame takes longer than a silent reader is waited for.
const FRAME_PARTS: usize = 20;
const PART_TIME: Duration = Duration::from_millis(100);

/// The revision that only readers know.
const READERS_REVISION: u64 = 2;

fn length_delimited(body: FrameBody) -> Vec<u8> {
    let frame = PeerFrame { body: Some(body) }.encode_to_vec();
    let length = u32::try_from(frame.len()).expect("a short frame");
    [&length.to_be_bytes(), frame.as_slice()].concat()
}

fn receive_frame(socket: &mut TcpStream) -> Option<PeerFrame> {
    let mut length = [0; 4];
    socket.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    socket.read_exact(&mut bytes).ok()?;
    PeerFrame::decode(bytes.as_slice()).ok()
}

/// Sends the complete state over a slow link to a host that follows; returns `None` if it leaves.
fn feed_slowly(socket: &mut TcpStream) -> Option<()> {
    let record = KeyedRecordMessage {
        key: String::from("routes"),
        value: READERS_REVISION.to_string().into(),
        offset: 100,
        era: 0,
    };
    let names = vec!["n".repeat(FRAME_BYTES)];
    let state =
        StateFrame { configuration: vec![record], names, complete: true, ..Default::default() };
    let frame = length_delimited(FrameBody::State(state));
    for part in frame.chunks(frame.len().div_ceil(FRAME_PARTS)) {
        socket.write_all(part).ok()?;
        thread::sleep(PART_TIME);
    }
    loop {
        let heartbeat = StateFrame::default();
        socket.write_all(&length_delimited(FrameBody::State(heartbeat))).ok()?;
        thread::sleep(PART_TIME);
    }
}

/// Adds a reader at the end of a slow link; returns the number of feeds that were requested.
fn add_slow_reader(site: &TestSite) -> Arc<AtomicU32> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    site.store.add_member(&listener.local_addr().expect("an address").to_string());
    let feeds: Arc<AtomicU32> = Arc::default();
    let counter = Arc::clone(&feeds);
    thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || {
                while let Some(frame) = receive_frame(&mut socket) {
                    if matches!(frame.body, Some(FrameBody::Follow(_))) {
                        counter.fetch_add(1, Ordering::Relaxed);
                        if feed_slowly(&mut socket).is_none() {
                            return;
                        }
                    }
                }
            });
        }
    });
    feeds
}

/// Guards against a follower that drops its reader in the middle of a large frame, and has all of it
/// sent again.
#[test]
fn a_large_configuration_reaches_a_follower_with_a_slow_link() {
    let site = TestSite::start();
    let feeds = [(); 3].map(|()| add_slow_reader(&site));
    let capacity = HostCapacity { cpu_share: 0.1, bandwidth_mbps: 10.0 };
    let host = site.start_host_with_capacity("narrow", Vec::new(), capacity);
    let revision = i64::try_from(READERS_REVISION).expect("a small number");
    wait_until("the configuration is in force", || host.shared.metrics.revision.get() == revision);
    let requested: u32 = feeds.iter().map(|feeds| feeds.load(Ordering::Relaxed)).sum();
    assert_eq!(requested, 1, "feeds requested until the configuration was in force");
}
