//! Connects to the placers of other hosts, and to any host while the store can not be read.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::{ServiceName, freshness::PeerClock};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle};

use crate::{
    control::{SharedControl, domain::PEER_QUEUE_LENGTH, state::ControlState},
    peers::{
        PeerStream,
        frame::{DemandFrame, EncodedFrame, FrameBody},
        state_frames::AskFrame,
    },
    timer::reached,
};

/// How long a placer may be silent: as long as its lease lives, and four times as long as it lets pass between two words.
/// A connection may go silent for good without a reset, and after a cut the next word would come seconds late.
const PLACER_SILENCE: Duration = Duration::from_secs(2);

/// How often the placers are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a connection to a peer may take.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// How long a peer may take to answer.
const ANSWER_PATIENCE: Duration = Duration::from_millis(700);

/// How many looks pass between two asks of a peer for what the store does not tell.
const LOOKS_PER_ASK: u32 = 4;

/// How many peers a host that has started asks until one has answered: each takes 0.4 s, and within three seconds a host that starts
/// is to know what is in force.
const MOST_FIRST_ASKS: u32 = 8;

impl ControlState {
    /// Returns whether a peer is to be asked for what it has read from the store, after so many asks.
    ///
    /// A host that has started asks also where the store answers it, if it reads for others or the store ever came back from an older
    /// copy: such a store says less than peers knew before. All others hear it from whom they follow.
    fn lacks_peers_word(&self, asks: u32) -> bool {
        let unheard = !self.has_peer_state() && asks < MOST_FIRST_ASKS;
        let fell = self.eras().known() > 0;
        !self.is_complete() || (unheard && (self.is_assigned_reader() || fell))
    }
}

/// Keeps one connection to each foreign placer for ever.
pub async fn run_peer_client(state: SharedControl) {
    let mut tasks: HashMap<ServiceName, (SocketAddr, JoinHandle<()>)> = HashMap::new();
    let mut looks = 0;
    loop {
        let placers = state.borrow().remote_placers();
        tasks.retain(|service, (address, task)| {
            let kept = placers.iter().any(|(name, placer)| name == service && placer == address);
            if !kept && !task.is_finished() {
                task.abort();
                state.borrow_mut().handle_placer_disconnect(service);
            }
            kept && !task.is_finished()
        });
        for (service, address) in placers {
            tasks.entry(service.clone()).or_insert_with(|| {
                let talk = talk_with_placer(Rc::clone(&state), service, address);
                (address, tokio::task::spawn_local(talk))
            });
        }
        let asks = looks / LOOKS_PER_ASK;
        if looks % LOOKS_PER_ASK == 0 && state.borrow().lacks_peers_word(asks) {
            ask_any_peer(&state, asks).await;
        }
        looks += 1;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Connects to another host, unless that takes too long.
pub(super) async fn connect(state: &SharedControl, address: SocketAddr) -> Option<PeerStream> {
    let connecting = TcpStream::connect(address);
    let socket = tokio::time::timeout(CONNECT_PATIENCE, connecting).await.ok()?.ok()?;
    let sent = state.borrow().shared().metrics.peer_bytes.clone();
    Some(PeerStream::new(socket, sent))
}

/// Sends demand and receives plans until the connection ends.
async fn talk_with_placer(state: SharedControl, service: ServiceName, address: SocketAddr) {
    let Some(mut stream) = connect(&state, address).await else { return };
    let (sender, mut frames) = mpsc::channel(PEER_QUEUE_LENGTH);
    if !greet(&state, &service, &sender) {
        return;
    }
    let clock = Arc::clone(&state.borrow().shared().clock);
    let mut heard = clock.now();
    loop {
        let alive = tokio::select! {
            received = stream.receive() => match received.and_then(|frame| frame.body) {
                Some(FrameBody::Plan(plan)) => {
                    state.borrow_mut().apply_placer_plan(&plan);
                    heard = clock.now();
                    true
                }
                Some(FrameBody::Sums(sums)) => {
                    state.borrow_mut().apply_published_aggregates(&sums);
                    heard = clock.now();
                    true
                }
                Some(_) => true,
                None => false,
            },
            () = reached(&*clock, heard + PLACER_SILENCE) => false,
            frame = frames.recv() => match frame {
                Some(frame) => stream.send(frame).await.is_ok(),
                None => false,
            },
        };
        if !alive {
            break;
        }
    }
    state.borrow_mut().handle_placer_disconnect(&service);
}

/// Opens the way for demand, and tells what waits already.
fn greet(
    state: &SharedControl,
    service: &ServiceName,
    sender: &mpsc::Sender<EncodedFrame>,
) -> bool {
    let mut state = state.borrow_mut();
    let host = state.shared().profile.name.to_string();
    state.shared().demand().resend_all(service);
    state.resend_reports(service);
    let Some(domain) = state.domain(service) else { return false };
    let hello = DemandFrame { host, service: service.to_string(), ..DemandFrame::default() };
    let sent = sender.try_send(FrameBody::Demand(hello).encoded()).is_ok();
    domain.placer_sender = Some(sender.clone());
    sent
}

/// Asks one of the known hosts for what it has read from the store.
async fn ask_any_peer(state: &SharedControl, turn: u32) {
    let mut peers = state.borrow().other_members();
    peers.extend_from_slice(&state.borrow().shared().profile.seeds);
    let own = state.borrow().shared().profile.peers;
    peers.retain(|peer| *peer != own);
    let Some(place) = (turn as usize).checked_rem(peers.len()) else { return };
    let asked = state.borrow().shared().clock.now().as_millis();
    let asking = async {
        let mut stream = connect(state, peers[place]).await?;
        stream.send(FrameBody::Ask(AskFrame { asked }).encoded()).await.ok()?;
        stream.receive().await?.body
    };
    let answer = tokio::time::timeout(ANSWER_PATIENCE, asking).await.ok().flatten();
    if let Some(FrameBody::State(frame)) = answer {
        let clock = frame.clock.as_ref().map(PeerClock::from);
        state.borrow_mut().apply_peer_state(&frame, peers[place], clock);
    }
}
