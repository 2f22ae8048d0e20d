//! Tells keepers which software versions began streams, and asks them.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use reelreel_core::fleet::{
    SoftwareVersion,
    stream_origins::{KEEPERS, KnownOrigin, StreamId},
};
use tokio::{net::TcpStream, sync::mpsc, time::timeout};

use crate::{
    control::SharedControl,
    host::SharedState,
    peers::{
        PeerStream,
        client::connect,
        frame::{EncodedFrame, FrameBody},
        origin_messages::{OriginRequestFrame, StreamOriginsFrame},
    },
};

/// Interval at which new streams are sent to their keepers.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// The same as long as one software version began all streams.
const SINGLE_VERSION_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// How long a connection to a keeper stays open without new streams.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of frames that wait for a keeper.
const QUEUE_LENGTH: usize = 32;

/// Maximum time until a keeper must have answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of hosts that are asked: one more than keepers, in case one of these has come or gone since.
const ASKED_HOSTS: usize = KEEPERS + 1;

/// Sends new streams to their keepers. Never returns.
pub async fn run_origin_sender(state: SharedControl) {
    let shared = Arc::clone(state.borrow().shared());
    let own_address = shared.profile.peer_address;
    let mut senders: HashMap<SocketAddr, mpsc::Sender<EncodedFrame>> = HashMap::new();
    loop {
        let several = shared.stream_origins().has_several_versions();
        let interval = if several { SEND_INTERVAL } else { SINGLE_VERSION_SEND_INTERVAL };
        tokio::time::sleep(interval).await;
        let mut unsent = shared.stream_origins().take_unsent();
        unsent.remove(&own_address);
        for (keeper, origins) in unsent {
            let frame = FrameBody::StreamOrigins(StreamOriginsFrame::new(&origins)).encoded();
            send_to(&state, &mut senders, keeper, frame);
        }
        senders.retain(|_, sender| !sender.is_closed());
    }
}

/// Queues a frame for a keeper. If the keeper is too far behind, it is not told.
fn send_to(
    state: &SharedControl,
    senders: &mut HashMap<SocketAddr, mpsc::Sender<EncodedFrame>>,
    keeper: SocketAddr,
    frame: EncodedFrame,
) {
    let sender = match senders.entry(keeper) {
        Entry::Occupied(entry) if !entry.get().is_closed() => entry.into_mut(),
        entry => {
            let (sender, frames) = mpsc::channel(QUEUE_LENGTH);
            tokio::task::spawn_local(forward_frames(SharedControl::clone(state), keeper, frames));
            entry.insert_entry(sender).into_mut()
        }
    };
    let _ = sender.try_send(frame);
}

/// Sends frames to a keeper until the connection fails or there has been none for some time.
async fn forward_frames(
    state: SharedControl,
    keeper: SocketAddr,
    mut frames: mpsc::Receiver<EncodedFrame>,
) {
    let Some(mut stream) = connect(&state, keeper).await else { return };
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.recv()).await {
        if stream.send(frame).await.is_err() {
            return;
        }
    }
}

/// Returns the software version that began a stream, as this host or a keeper knows it.
pub async fn find_origin(shared: &SharedState, stream: StreamId) -> Option<SoftwareVersion> {
    match shared.stream_origins().origin_of(stream) {
        KnownOrigin::Software(software) => return Some(software),
        KnownOrigin::Ambiguous => return None,
        KnownOrigin::Unknown => {}
    }
    let own_address = shared.profile.peer_address;
    let hosts = shared.stream_origins().hosts_to_ask(stream, ASKED_HOSTS);
    let others = hosts.into_iter().filter(|host| *host != own_address);
    let mut answers: FuturesUnordered<_> =
        others.map(|host| timeout(ASK_TIMEOUT, ask(shared, host, stream))).collect();
    while let Some(answer) = answers.next().await {
        if let Ok(Some(software)) = answer {
            return Some(software);
        }
    }
    None
}

async fn ask(shared: &SharedState, host: SocketAddr, stream: StreamId) -> Option<SoftwareVersion> {
    let socket = TcpStream::connect(host).await.ok()?;
    let mut peer = PeerStream::new(socket, shared.metrics.peer_sent_bytes.clone());
    let request = FrameBody::OriginRequest(OriginRequestFrame { stream });
    peer.send(request.encoded()).await.ok()?;
    match peer.receive().await?.body? {
        FrameBody::OriginResponse(response) => response.software.map(SoftwareVersion::from),
        _ => None,
    }
}
