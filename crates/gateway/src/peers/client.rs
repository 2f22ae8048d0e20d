//! Connections to remote placers, and to any host for store data that this host can not read itself.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::{ServiceName, freshness::PeerClock};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle};

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

/// Requests store data from one of the known hosts, a different one on each attempt.
async fn request_peer_state(state: SharedControl, attempt: u32) {
    let mut peers = state.borrow().other_members();
    peers.extend_from_slice(&state.borrow().shared().profile.seeds);
    let own_address = state.borrow().shared().profile.peer_address;
    peers.retain(|peer| *peer != own_address);
    let Some(index) = (attempt as usize).checked_rem(peers.len()) else { return };
    let requested_at = state.borrow().shared().clock.now().as_millis();
    let request = async {
        let mut stream = connect(&state, peers[index]).await?;
        stream
            .send(FrameBody::StateRequest(StateRequestFrame { requested_at }).encoded())
            .await
            .ok()?;
        stream.receive_within(RESPONSE_TIMEOUT).await.ok()?.body
    };
    if let Some(FrameBody::State(frame)) = request.await {
        let clock = frame.clock.as_ref().map(PeerClock::from);
        state.borrow_mut().apply_peer_state(&frame, peers[index], clock);
    }
}
