//! Follows a host that reads the store, in place of reading the store itself.

use std::{net::SocketAddr, time::Duration};

use reelreel_core::{ClockMillis, fleet::freshness::PeerClock};

use crate::{
    control::SharedControl,
    events::HostEvent,
    peers::{
        PeerStream, ReceiveFailure, client::connect, frame::FrameBody, state_frames::FollowFrame,
    },
};

/// How long a reader may be silent. It sends heartbeats more often.
const READER_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the reader's clock is requested again, so that a drift of 100 ppm adds up to at most three
/// milliseconds.
const CLOCK_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before readers are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Follows readers, one at a time, while this host is not a reader itself. Never returns.
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

/// Follows one reader until it times out or ends the feed; returns whether this host followed it.
async fn follow(state: &SharedControl, reader: SocketAddr) -> bool {
    let Some(mut stream) = connect(state, reader).await else { return false };
    let Some(mut requested_at) = request_feed(state, &mut stream).await else { return false };
    let mut clock = None;
    let mut followed = false;
    let mut is_synchronized = false;
    let cause = loop {
        let frame = match stream.receive_within(READER_TIMEOUT).await {
            Ok(frame) => frame,
            Err(failure) => break failure.name(),
        };
        let Some(FrameBody::State(frame)) = frame.body else { continue };
        clock = frame.clock.as_ref().map(PeerClock::from).or(clock);
        if state.borrow().shared().clock.now().since(requested_at) >= CLOCK_INTERVAL {
            let Some(sent_at) = request_feed(state, &mut stream).await else {
                break ReceiveFailure::Ended.name();
            };
            requested_at = sent_at;
        }
        let mut state = state.borrow_mut();
        if state.is_reader() {
            break "reads_store";
        }
        state.reader_responded();
        if is_synchronized && frame.verified {
            state.verify_by_reader(&frame, reader);
        }
        state.apply_peer_state(&frame, reader, clock);
        is_synchronized |= frame.complete;
        if !state.is_complete() {
            continue;
        }
        // The reader still reads an earlier era of the store and would miss all changes.
        if frame.era < state.eras().current() {
            state.set_following(false);
            continue;
        }
        let reads_store = state.reads_store();
        state.set_following(!reads_store);
        if !std::mem::replace(&mut followed, true) {
            let reader = reader.to_string();
            state.shared().events.write(HostEvent::Following { reader });
        }
    };
    if followed {
        state.borrow().shared().events.write(HostEvent::ReaderLost {
            reader: reader.to_string(),
            cause: cause.into(),
            received: stream.received_part() as u64,
        });
    }
    followed
}

/// Requests a reader's feed, or its clock where the feed is active; returns when the request was sent.
async fn request_feed(state: &SharedControl, stream: &mut PeerStream) -> Option<ClockMillis> {
    let (now, verified_address) = {
        let state = state.borrow();
        (state.shared().clock.now(), state.verified_address())
    };
    let requested_at = now.as_millis();
    let request = FrameBody::Follow(FollowFrame { requested_at, verified_address });
    stream.send(request.encoded()).await.ok().map(|()| now)
}
