//! Accepts connections from other hosts.

use std::{rc::Rc, sync::Arc, time::Duration};

use reelreel_core::fleet::stream_origins::KnownOrigin;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

use crate::{
    control::{
        SharedControl,
        domain::{AwaitedLoads, PEER_QUEUE_LENGTH, PlanSubscriber},
    },
    peers::{
        PeerStream,
        frame::{DemandFrame, EncodedFrame, FrameBody},
        origin_messages::{OriginRequestFrame, OriginResponseFrame, StreamOriginsFrame},
        tunnel_messages::TunnelRequestFrame,
    },
    traffic::tunnels::TunnelSocket,
};

/// Delay after a failed bind or accept.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Accepts and serves connections. Never returns.
pub async fn run_peer_server(state: SharedControl) {
    let address = state.borrow().shared().profile.peer_address;
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => {
                log::warn!("failed to listen for peers on {address}: {error}");
                tokio::time::sleep(LISTEN_RETRY_DELAY).await;
            }
        }
    };
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::task::spawn_local(serve_peer(Rc::clone(&state), socket));
            }
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                tokio::time::sleep(LISTEN_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one peer until it disconnects, or until this host is not the placer of a service that it subscribed to.
async fn serve_peer(state: SharedControl, socket: TcpStream) {
    let sent_bytes = state.borrow().shared().metrics.peer_sent_bytes.clone();
    let mut stream = PeerStream::new(socket, sent_bytes);
    let (sender, mut frames) = mpsc::channel(PEER_QUEUE_LENGTH);
    let mut subscribed: Vec<String> = Vec::new();
    loop {
        tokio::select! {
            received = stream.receive() => {
                let Some(frame) = received else {
                    if stream.is_closed() {
                        remove_subscriber(&state, &sender, &subscribed);
                    }
                    return;
                };
                match frame.body {
                    Some(FrameBody::Demand(demand)) => {
                        let accepted = handle_demand(&state, &demand, &sender, &mut subscribed);
                        if !accepted {
                            return;
                        }
                    }
                    Some(FrameBody::HostReport(report)) => state.borrow_mut().aggregate_peer_reports(&report),
                    Some(FrameBody::StateRequest(request)) => {
                        let response = if request.verification_only {
                            state.borrow().verification_frame()
                        } else {
                            state.borrow().response_frame(request.requested_at)
                        };
                        if stream.send(FrameBody::State(response).encoded()).await.is_err() {
                            return;
                        }
                    }
                    Some(FrameBody::TunnelRequest(request)) => {
                        hand_over_tunnel(&state, stream, request);
                        return;
                    }
                    Some(FrameBody::StreamOrigins(frame)) => receive_origins(&state, &frame),
                    Some(FrameBody::OriginRequest(request)) => {
                        let response = origin_response(&state, &request);
                        if stream.send(FrameBody::OriginResponse(response).encoded()).await.is_err() {
                            return;
                        }
                    }
                    Some(FrameBody::Follow(follow)) => {
                        state.borrow_mut().record_follower(&follow);
                        // The feed owns the sender; dropping it there ends this task.
                        if state.borrow_mut().add_follower(sender.clone(), follow.requested_at) {
                            feed_follower(&state, stream, sender, frames).await;
                        }
                        return;
                    }
                    _ => {}
                }
            }
            frame = frames.recv() => {
                let Some(frame) = frame else { return };
                if stream.send(frame).await.is_err() {
                    return;
                }
            }
        }
        if !is_subscribed(&state, &sender, &subscribed) {
            return;
        }
    }
}

/// Records streams that another host reports to this one as their keeper.
fn receive_origins(state: &SharedControl, frame: &StreamOriginsFrame) {
    let shared = Arc::clone(state.borrow().shared());
    let now = shared.clock.now();
    let mut origins = shared.stream_origins();
    frame.origins().for_each(|(stream, software)| origins.receive(stream, &software, now));
}

fn origin_response(state: &SharedControl, request: &OriginRequestFrame) -> OriginResponseFrame {
    let state = state.borrow();
    let software = match state.shared().stream_origins().origin_of(request.stream) {
        KnownOrigin::Software(software) => Some(software.to_string()),
        KnownOrigin::Ambiguous | KnownOrigin::Unknown => None,
    };
    OriginResponseFrame { software }
}

/// Hands a request for a tunnel over to the traffic thread; drops it if too many wait there.
fn hand_over_tunnel(state: &SharedControl, stream: PeerStream, request: TunnelRequestFrame) {
    let Some(Ok(socket)) = stream.into_socket().map(TcpStream::into_std) else { return };
    let shared = Arc::clone(state.borrow().shared());
    let _ = shared.tunnel_sockets.try_send(TunnelSocket { socket, request });
}

/// Sends the feed until this host drops the follower or the follower disconnects.
async fn feed_follower(
    state: &SharedControl,
    mut stream: PeerStream,
    sender: mpsc::Sender<EncodedFrame>,
    mut frames: mpsc::Receiver<EncodedFrame>,
) {
    drop(sender);
    loop {
        tokio::select! {
            received = stream.receive() => {
                let Some(frame) = received else { return };
                let Some(FrameBody::Follow(follow)) = frame.body else { continue };
                state.borrow_mut().record_follower(&follow);
                let response = state.borrow().clock_frame(follow.requested_at);
                if stream.send(FrameBody::State(response).encoded()).await.is_err() {
                    return;
                }
            }
            frame = frames.recv() => {
                let Some(frame) = frame else { return };
                if stream.send(frame).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Processes demand; returns false when this host is not the placer of the service.
fn handle_demand(
    state: &SharedControl,
    demand: &DemandFrame,
    sender: &mpsc::Sender<EncodedFrame>,
    subscribed: &mut Vec<String>,
) -> bool {
    let new = !subscribed.contains(&demand.service);
    let new_subscriber = new.then(|| PlanSubscriber {
        host: Arc::from(demand.host.as_str()),
        frames: sender.clone(),
        awaiting_estimates: AwaitedLoads::default(),
    });
    let accepted = state.borrow_mut().handle_peer_demand(demand, new_subscriber);
    if new && accepted {
        subscribed.push(demand.service.clone());
    }
    accepted
}

/// Removes a peer that closed its connection cleanly, so that it does not count as unreachable.
fn remove_subscriber(
    state: &SharedControl,
    sender: &mpsc::Sender<EncodedFrame>,
    subscribed: &[String],
) {
    let mut state = state.borrow_mut();
    for service in subscribed {
        if let Some(domain) = state.domain(service) {
            domain.remove_subscriber(sender);
        }
    }
}

/// Returns whether this host is still the placer of all services that the peer subscribed to.
fn is_subscribed(
    state: &SharedControl,
    sender: &mpsc::Sender<EncodedFrame>,
    subscribed: &[String],
) -> bool {
    let mut state = state.borrow_mut();
    subscribed.iter().all(|service| {
        state.domain(service).is_some_and(|domain| {
            let mut subscribers = domain.subscribers.iter();
            domain.holds_lease
                && subscribers.any(|subscriber| subscriber.frames.same_channel(sender))
        })
    })
}
