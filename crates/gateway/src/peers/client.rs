//! Connections to remote placers, and to any host for store data that this host can not read itself.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use futures_util::stream::{self, StreamExt};
use reelreel_core::fleet::{ServiceName, freshness::PeerClock};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{SharedControl, domain::PEER_QUEUE_LENGTH, state::ControlState},
    peers::{
        PeerStream,
        frame::{DemandFrame, EncodedFrame, FrameBody},
        state_frames::StateRequestFrame,
    },
    timer::sleep_until,
};

/// Timeout for frames from a placer: its lease's time to live, four times its keep-alive interval.
///
/// It detects connections that broke without a reset.
const PLACER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the set of placers is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a peer may be silent before it has sent its response to a state request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of polls between two state requests.
const POLLS_PER_STATE_REQUEST: u32 = 4;

/// Maximum number of state requests that a starting host sends until a peer responds.
///
/// One is sent every 0.4 s, and a starting host must know the configuration in force within three seconds.
const MAX_INITIAL_STATE_REQUESTS: u32 = 8;

/// Number of known hosts that a host asks in one round whether their state is verified.
const CANDIDATES_PER_ROUND: usize = 8;

/// Number of hosts that are asked at the same time.
const PARALLEL_VERIFICATIONS: usize = 4;

impl ControlState {
    /// Returns whether to request a peer's store data, after `attempt` earlier attempts.
    ///
    /// A starting host also requests it while the store responds, if the host reads for others or the store was ever restored from
    /// an older copy: such a store may lack records that peers have. Other hosts get these from the reader that they follow.
    fn needs_peer_state(&self, attempt: u32) -> bool {
        let initial = !self.has_peer_state() && attempt < MAX_INITIAL_STATE_REQUESTS;
        let store_was_restored = self.eras().current() > 0;
        !self.is_complete() || (initial && (self.is_assigned_reader() || store_was_restored))
    }
}

/// Maintains one connection to each remote placer. Never returns.
pub async fn run_peer_client(state: SharedControl) {
    let mut tasks: HashMap<ServiceName, (SocketAddr, JoinHandle<()>)> = HashMap::new();
    let mut state_request: Option<JoinHandle<()>> = None;
    let mut search = VerificationSearch::default();
    let mut polls = 0;
    loop {
        let placers = state.borrow().remote_placers();
        tasks.retain(|service, (address, task)| {
            let current = placers.iter().any(|(name, placer)| name == service && placer == address);
            if !current && !task.is_finished() {
                task.abort();
                state.borrow_mut().handle_placer_disconnect(service);
            }
            current && !task.is_finished()
        });
        for (service, address) in placers {
            tasks.entry(service.clone()).or_insert_with(|| {
                let exchange = exchange_with_placer(Rc::clone(&state), service, address);
                (address, tokio::task::spawn_local(exchange))
            });
        }
        let attempt = polls / POLLS_PER_STATE_REQUEST;
        let is_requesting = state_request.as_ref().is_some_and(|request| !request.is_finished());
        if polls % POLLS_PER_STATE_REQUEST == 0
            && !is_requesting
            && state.borrow().needs_peer_state(attempt)
        {
            let request = request_peer_state(Rc::clone(&state), attempt);
            state_request = Some(tokio::task::spawn_local(request));
        }
        search.poll(&state, polls);
        polls += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Connects to another host; `None` on an error or a timeout.
pub(super) async fn connect(state: &SharedControl, address: SocketAddr) -> Option<PeerStream> {
    let connecting = TcpStream::connect(address);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    let sent_bytes = state.borrow().shared().metrics.peer_sent_bytes.clone();
    Some(PeerStream::new(socket, sent_bytes))
}

/// Sends demand to a placer and receives its plans until the connection ends.
async fn exchange_with_placer(state: SharedControl, service: ServiceName, address: SocketAddr) {
    let Some(mut stream) = connect(&state, address).await else { return };
    let (sender, mut frames) = mpsc::channel(PEER_QUEUE_LENGTH);
    if !subscribe(&state, &service, &sender) {
        return;
    }
    let clock = Arc::clone(&state.borrow().shared().clock);
    let mut received_at = clock.now();
    loop {
        let alive = tokio::select! {
            // What has arrived counts before the timeout, also after a pause of this process.
            biased;
            received = stream.receive() => match received.and_then(|frame| frame.body) {
                Some(FrameBody::Plan(plan)) => {
                    state.borrow_mut().apply_placer_plan(&plan);
                    received_at = clock.now();
                    true
                }
                Some(FrameBody::Aggregate(aggregate)) => {
                    state.borrow_mut().apply_published_aggregates(&aggregate);
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
    state.borrow_mut().handle_placer_disconnect(&service);
}

/// Subscribes to a placer's plans and queues the current demand for it.
fn subscribe(
    state: &SharedControl,
    service: &ServiceName,
    sender: &mpsc::Sender<EncodedFrame>,
) -> bool {
    let mut state = state.borrow_mut();
    let host = state.shared().profile.name.to_string();
    state.shared().demand().resend_all(service);
    state.resend_reports(service);
    let Some(domain) = state.domain(service) else { return false };
    let hello = DemandFrame {
        host,
        service: service.to_string(),
        store_throughput: domain.store_throughput.map(Into::into),
        ..DemandFrame::default()
    };
    let sent = sender.try_send(FrameBody::Demand(hello).encoded()).is_ok();
    domain.placer_sender = Some(sender.clone());
    sent
}

/// Returns the addresses of the other hosts that this one knows.
fn known_peers(state: &ControlState) -> Vec<SocketAddr> {
    let mut peers = state.other_members();
    let profile = &state.shared().profile;
    peers.extend(profile.seeds.iter().filter(|seed| **seed != profile.peer_address));
    peers
}

/// The search for a peer whose state is verified.
#[derive(Default)]
struct VerificationSearch {
    round: usize,
    task: Option<JoinHandle<()>>,
    /// The hosts that were known when the last round began.
    known_hosts: Vec<SocketAddr>,
    /// The poll from which the next round begins, even if no other hosts are known by then.
    next_poll: u32,
}

impl VerificationSearch {
    /// Begins the next round if it is due and this host still needs a verified peer.
    fn poll(&mut self, state: &SharedControl, polls: u32) {
        let is_running = self.task.as_ref().is_some_and(|task| !task.is_finished());
        if is_running || !state.borrow().needs_verified_peer() {
            return;
        }
        let mut known_hosts = known_peers(&state.borrow());
        known_hosts.extend(state.borrow().verified_followers());
        if polls < self.next_poll && known_hosts == self.known_hosts {
            return;
        }
        let request = find_verified_peer(Rc::clone(state), self.round);
        self.task = Some(tokio::task::spawn_local(request));
        self.round += 1;
        self.known_hosts = known_hosts;
        self.next_poll = polls + POLLS_PER_STATE_REQUEST;
    }
}

/// Asks several hosts at once whether their state is verified, and requests the store data of the
/// first one whose state is.
async fn find_verified_peer(state: SharedControl, round: usize) {
    let candidates = verification_candidates(&state.borrow(), round);
    let requests = candidates.into_iter().map(|peer| request_verified_state(&state, peer));
    let mut responses = stream::iter(requests).buffer_unordered(PARALLEL_VERIFICATIONS);
    while let Some(is_verified) = responses.next().await {
        if is_verified {
            return;
        }
    }
}

/// Returns the hosts to ask in a round: followers that say that they are verified, and some of the
/// other known hosts, in an order that differs between hosts and rounds.
fn verification_candidates(state: &ControlState, round: usize) -> Vec<SocketAddr> {
    let name = &state.shared().profile.name;
    let mut peers = known_peers(state);
    peers.sort_by_cached_key(|peer| xxh3_64(format!("{name} {peer}").as_bytes()));
    peers.dedup();
    let rounds = peers.chunks(CANDIDATES_PER_ROUND).len().max(1);
    let candidates = peers.into_iter().skip(round % rounds * CANDIDATES_PER_ROUND);
    let followers = state.verified_followers().iter().copied();
    followers.chain(candidates.take(CANDIDATES_PER_ROUND)).collect()
}

/// Requests a host's store data if its state is verified; returns whether it was received.
async fn request_verified_state(state: &SharedControl, peer: SocketAddr) -> bool {
    let Some(mut stream) = connect(state, peer).await else { return false };
    for verification_only in [true, false] {
        let requested_at = state.borrow().shared().clock.now().as_millis();
        let request = StateRequestFrame { requested_at, verification_only };
        if stream.send(FrameBody::StateRequest(request).encoded()).await.is_err() {
            return false;
        }
        let Ok(response) = stream.receive_within(RESPONSE_TIMEOUT).await else { return false };
        let Some(FrameBody::State(frame)) = response.body else { return false };
        let clock = frame.clock.as_ref().map(PeerClock::from);
        state.borrow_mut().apply_peer_state(&frame, peer, clock);
        if !frame.verified {
            return false;
        }
    }
    true
}

/// Requests store data from one of the known hosts, a different one on each attempt.
async fn request_peer_state(state: SharedControl, attempt: u32) {
    let peers = known_peers(&state.borrow());
    let Some(index) = (attempt as usize).checked_rem(peers.len()) else { return };
    let requested_at = state.borrow().shared().clock.now().as_millis();
    let request = StateRequestFrame { requested_at, verification_only: false };
    let response = async {
        let mut stream = connect(&state, peers[index]).await?;
        stream.send(FrameBody::StateRequest(request).encoded()).await.ok()?;
        stream.receive_within(RESPONSE_TIMEOUT).await.ok()?.body
    };
    if let Some(FrameBody::State(frame)) = response.await {
        let clock = frame.clock.as_ref().map(PeerClock::from);
        state.borrow_mut().apply_peer_state(&frame, peers[index], clock);
    }
}
