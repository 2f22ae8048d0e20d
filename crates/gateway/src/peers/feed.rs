//! Follows a machine that reads the store, instead of reading it.

use std::{net::SocketAddr, time::Duration};

use tokio::time::timeout;

use crate::{
    control::SharedControl,
    events::MachineEvent,
    peers::{
        client::connect,
        frame::{FollowFrame, FrameBody, PeerFrame},
    },
};

/// How long a reader may be silent before it is left.
const SILENCE: Duration = Duration::from_millis(600);

/// The pause before readers are looked for again.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Follows one reader after the other for ever, while this machine is none itself.
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

/// Follows one reader until it falls silent or lets this machine go; returns whether it ever told
/// anything.
async fn follow(state: &SharedControl, reader: SocketAddr) -> bool {
    let Some(mut stream) = connect(reader).await else { return false };
    let greeting = PeerFrame::new(FrameBody::Follow(FollowFrame {}));
    if stream.send(&greeting).await.is_err() {
        return false;
    }
    let mut told = false;
    loop {
        let Ok(Some(frame)) = timeout(SILENCE, stream.receive()).await else { break };
        let Some(FrameBody::State(frame)) = frame.body else { continue };
        let mut state = state.borrow_mut();
        if state.is_reader() {
            break;
        }
        state.peer_state(&frame);
        if !told && state.is_complete() {
            told = true;
            state.set_following(true);
            let reader = reader.to_string();
            state.shared().events.write(MachineEvent::Following { reader });
        }
    }
    if told {
        let reader = reader.to_string();
        state.borrow().shared().events.write(MachineEvent::ReaderLost { reader });
    }
    told
}
