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
const READER_TIMEOUT: Duration = Duration::from_millis(600);

/// How often the reader's clock is asked for anew: clocks that run 100 parts in a million apart, the most that
/// common hosts do, are three milliseconds apart by then.
const CLOCK_INTERVAL: Duration = Duration::from_secs(30);

/// The pause before readers are looked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

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
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Follows one reader until it falls silent or lets this host go; returns whether it ever followed
/// anything.
async fn follow(state: &SharedControl, reader: SocketAddr) -> bool {
    let Some(mut stream) = connect(state, reader).await else { return false };
    let Some(mut requested_at) = request_feed(state, &mut stream).await else { return false };
    let mut clock = None;
    let mut followed = false;
    loop {
        let Ok(Some(frame)) = timeout(READER_TIMEOUT, stream.receive()).await else { break };
        let Some(FrameBody::State(frame)) = frame.body else { continue };
        clock = frame.clock.as_ref().map(PeerClock::from).or(clock);
        if state.borrow().shared().clock.now().since(requested_at) >= CLOCK_INTERVAL {
            let Some(sent_at) = request_feed(state, &mut stream).await else { break };
            requested_at = sent_at;
        }
        let mut state = state.borrow_mut();
        if state.is_reader() {
            break;
        }
        state.reader_responded();
        state.peer_state(&frame, reader, clock);
        if !state.is_complete() {
            continue;
        }
        // A reader that still reads a store which is gone tells of no change.
        if frame.era < state.eras().current() {
            state.set_following(false);
            continue;
        }
        let reads_itself = state.reads_itself();
        state.set_following(!reads_itself);
        if !std::mem::replace(&mut followed, true) {
            let reader = reader.to_string();
            state.shared().events.write(HostEvent::Following { reader });
        }
    }
    if followed {
        let reader = reader.to_string();
        state.borrow().shared().events.write(HostEvent::ReaderLost { reader });
    }
    followed
}

/// Asks a reader for its feed, or for its clock where it feeds already; returns when.
async fn request_feed(state: &SharedControl, stream: &mut PeerStream) -> Option<ClockMillis> {
    let now = state.borrow().shared().clock.now();
    let request = FrameBody::Follow(FollowFrame { requested_at: now.as_millis() });
    stream.send(request.encoded()).await.ok().map(|()| now)
}
