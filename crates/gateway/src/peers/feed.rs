//! Follows a host that reads the store, instead of reading it.

use std::{net::SocketAddr, time::Duration};

use reelreel_core::{ClockMillis, fleet::freshness::PeerClock};
use tokio::time::timeout;

use crate::{
    control::SharedControl,
    events::HostEvent,
    peers::{PeerStream, client::connect, frame::FrameBody, state_frames::FollowFrame},
};

/// How long a reader may be silent before it is left.
const SILENCE: Duration = Duration::from_millis(600);

/// How often the reader's clock is asked for anew: clocks that run 100 parts in a million apart, the most that
/// common hosts do, are three milliseconds apart by then.
const CLOCK_INTERVAL: Duration = Duration::from_secs(30);

/// The pause before readers are looked for again.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Follows one reader after the other for ever, while this host is none itself.
pub async fn run_feed_client(state: SharedControl) {
    loop {
        let readers =
            if state.borrow().is_reader() { Vec::new() } else { state.borrow().other_readers() };
        for reader in readers {
            if follow(&state, reader).await {
                state.borrow().set_following(false);
                break;
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Follows one reader until it falls silent or lets this host go; returns whether it ever told
/// anything.
async fn follow(state: &SharedControl, reader: SocketAddr) -> bool {
    let Some(mut stream) = connect(state, reader).await else { return false };
    let Some(mut asked) = ask_to_follow(state, &mut stream).await else { return false };
    let mut clock = None;
    let mut told = false;
    loop {
        let Ok(Some(frame)) = timeout(SILENCE, stream.receive()).await else { break };
        let Some(FrameBody::State(frame)) = frame.body else { continue };
        clock = frame.clock.as_ref().map(PeerClock::from).or(clock);
        if state.borrow().shared().clock.now().since(asked) >= CLOCK_INTERVAL {
            let Some(again) = ask_to_follow(state, &mut stream).await else { break };
            asked = again;
        }
        let mut state = state.borrow_mut();
        if state.is_reader() {
            break;
        }
        state.reader_responded();
        state.apply_peer_state(&frame, reader, clock);
        if !state.is_complete() {
            continue;
        }
        // A reader that still reads a store which is gone tells of no change.
        if frame.era < state.eras().known() {
            state.set_following(false);
            continue;
        }
        let reads_store = state.reads_store();
        state.set_following(!reads_store);
        if !std::mem::replace(&mut told, true) {
            let reader = reader.to_string();
            state.shared().events.write(HostEvent::Following { reader });
        }
    }
    if told {
        let reader = reader.to_string();
        state.borrow().shared().events.write(HostEvent::ReaderLost { reader });
    }
    told
}

/// Asks a reader for its feed, or for its clock where it feeds already; returns when.
async fn ask_to_follow(state: &SharedControl, stream: &mut PeerStream) -> Option<ClockMillis> {
    let now = state.borrow().shared().clock.now();
    let ask = FrameBody::Follow(FollowFrame { asked: now.as_millis() });
    stream.send(ask.encoded()).await.ok().map(|()| now)
}
