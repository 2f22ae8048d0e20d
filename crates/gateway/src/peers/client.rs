//! Connects to the placers of other hosts, and to any host while the store can not be read.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::{ServiceName, freshness::PeerClock};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle};

use crate::{
    control::{SharedControl, domain::PEER_QUEUE, state::ControlState},
    peers::{
        PeerStream,
        frame::{DemandFrame, EncodedFrame, FrameBody},
        state_frames::StateRequestFrame,
    },
    timer::sleep_until,
};

/// How long a placer may be silent: as long as its lease lives, and four times as long as it lets pass between two words.
/// A connection may go silent for good without a reset, and after a cut the next word would come seconds late.
const PLACER_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the placers are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a peer may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// How many looks pass between two asks of a peer for what the store does not tell.
const POLLS_PER_STATE_REQUEST: u32 = 4;

/// How many peers a host that has started asks until one has answered: each takes 0.4 s, and within three seconds a host that starts
/// is to know what is in force.
const MAX_INITIAL_STATE_REQUESTS: u32 = 8;

impl ControlState {
    /// Returns whether a peer is to be asked for what it has read from the store, after so many asks.
    ///
    /// A host that has started asks also where the store answers it, if it reads for others or the store ever came back from an older
    /// copy: such a store says less than peers knew before. All others hear it from whom they follow.
    fn needs_peer_state(&self, requests: u32) -> bool {
        let initial = !self.has_heard_peer() && requests < MAX_INITIAL_STATE_REQUESTS;
        let store_was_restored = self.eras().current() > 0;
        !self.is_complete() || (initial && (self.reads_for_others() || store_was_restored))
    }
}

/// Keeps one connection to each foreign placer for ever.
pub async fn run_peer_client(state: SharedControl) {
    let mut tasks: HashMap<ServiceName, (SocketAddr, JoinHandle<()>)> = HashMap::new();
    let mut polls = 0;
    loop {
        let placers = state.borrow().foreign_placers();
        tasks.retain(|service, (address, task)| {
            let current = placers.iter().any(|(name, placer)| name == service && placer == address);
            if !current && !task.is_finished() {
                task.abort();
                state.borrow_mut().placer_lost(service);
            }
            current && !task.is_finished()
        });
        for (service, address) in placers {
            tasks.entry(service.clone()).or_insert_with(|| {
                let exchange = exchange_with_placer(Rc::clone(&state), service, address);
                (address, tokio::task::spawn_local(exchange))
            });
        }
        let requests = polls / POLLS_PER_STATE_REQUEST;
        if polls % POLLS_PER_STATE_REQUEST == 0 && state.borrow().needs_peer_state(requests) {
            request_peer_state(&state, requests).await;
        }
        polls += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Connects to another host, unless that takes too long.
pub(super) async fn connect(state: &SharedControl, address: SocketAddr) -> Option<PeerStream> {
    let connecting = TcpStream::connect(address);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    let sent = state.borrow().shared().metrics.peer_sent_bytes.clone();
    Some(PeerStream::new(socket, sent))
}

/// Sends demand and receives plans until the connection ends.
async fn exchange_with_placer(state: SharedControl, service: ServiceName, address: SocketAddr) {
    let Some(mut stream) = connect(&state, address).await else { return };
    let (sender, mut frames) = mpsc::channel(PEER_QUEUE);
    if !subscribe(&state, &service, &sender) {
        return;
    }
    let clock = Arc::clone(&state.borrow().shared().clock);
    let mut received_at = clock.now();
    loop {
        let alive = tokio::select! {
            received = stream.receive() => match received.and_then(|frame| frame.body) {
                Some(FrameBody::Plan(plan)) => {
                    state.borrow_mut().peer_plan(&plan);
                    received_at = clock.now();
                    true
                }
                Some(FrameBody::Aggregate(sums)) => {
                    state.borrow_mut().sums_received(&sums);
                    received_at = clock.now();
                    true
                }
                Some(_) => true,
                None => false,
            },
            () = sleep_until(&*clock, received_at + PLACER_TIMEOUT) => false,
            frame = frames.recv() => match frame {
                Some(frame) => stream.send(frame).await.is_ok(),
                None => false,
            },
        };
        if !alive {
            break;
        }
    }
    state.borrow_mut().placer_lost(&service);
}

/// Opens the way for demand, and tells what waits already.
fn subscribe(
    state: &SharedControl,
    service: &ServiceName,
    sender: &mpsc::Sender<EncodedFrame>,
) -> bool {
    let mut state = state.borrow_mut();
    let host = state.shared().profile.name.to_string();
    state.shared().demand().tell_again(service);
    state.resend_sums(service);
    let Some(domain) = state.domain(service) else { return false };
    let hello = DemandFrame { host, service: service.to_string(), ..DemandFrame::default() };
    let sent = sender.try_send(FrameBody::Demand(hello).encoded()).is_ok();
    domain.placer = Some(sender.clone());
    sent
}

/// Asks one of the known hosts for what it has read from the store.
async fn request_peer_state(state: &SharedControl, attempt: u32) {
    let mut peers = state.borrow().other_members();
    peers.extend_from_slice(&state.borrow().shared().profile.seeds);
    let own_address = state.borrow().shared().profile.peer_address;
    peers.retain(|peer| *peer != own_address);
    let Some(index) = (attempt as usize).checked_rem(peers.len()) else { return };
    let requested_at = state.borrow().shared().clock.now().as_millis();
    let request = async {
        let mut stream = connect(state, peers[index]).await?;
        stream
            .send(FrameBody::StateRequest(StateRequestFrame { requested_at }).encoded())
            .await
            .ok()?;
        stream.receive().await?.body
    };
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, request).await.ok().flatten();
    if let Some(FrameBody::State(frame)) = response {
        let clock = frame.clock.as_ref().map(PeerClock::from);
        state.borrow_mut().peer_state(&frame, peers[index], clock);
    }
}
