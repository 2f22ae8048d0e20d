//! Transport of peer messages over TCP, with one connection for each direction.
//!
//! A message that can not be sent is dropped and counted: all protocols between hosts tolerate
//! message loss, and queued messages would be outdated on delivery.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use reelreel_core::{NodeEvent, clock::HybridTimestamp, id::HostId, message::PeerMessage};
use reelreel_wire::{FrameCodec, PeerFrame};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Builder,
    sync::mpsc::{self, Receiver, UnboundedReceiver, UnboundedSender},
    time::timeout,
};
use tokio_util::codec::Framed;

use crate::control::ControlSender;

/// Maximum number of queued messages for one host.
const QUEUE_CAPACITY: usize = 1024;

/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed send or accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// A message to send.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The receiver's address.
    pub address: String,
    /// The sender's hybrid timestamp.
    pub stamp: HybridTimestamp,
    /// The message.
    pub message: PeerMessage,
}

/// Counters of the transport.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Messages dropped because the host was unreachable or its queue was full.
    pub dropped: AtomicU64,
    /// Connections closed because of an invalid frame or a read error.
    pub unreadable: AtomicU64,
}

/// The running transport.
pub struct PeerTransport {
    /// Accepts messages to send.
    pub sender: UnboundedSender<OutgoingMessage>,
    /// The counters.
    pub counters: Arc<PeerCounters>,
    /// The transport thread, which ends when all senders are dropped.
    pub thread: JoinHandle<()>,
}

/// Starts the transport on a bound listener.
///
/// # Errors
/// Returns why the listener, the runtime or the thread could not be set up.
pub fn start_peers(
    host: HostId,
    listener: std::net::TcpListener,
    control: ControlSender,
) -> std::io::Result<PeerTransport> {
    listener.set_nonblocking(true)?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let counters = Arc::new(PeerCounters::default());
    let thread_counters = Arc::clone(&counters);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = thread::Builder::new().name(String::from("peers")).spawn(move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::spawn(accept_peers(listener, control, Arc::clone(&thread_counters)));
                }
                Err(error) => log::error!("can not accept connections from peers: {error}"),
            }
            route_messages(host, receiver, thread_counters).await;
        });
    })?;
    Ok(PeerTransport { sender, counters, thread })
}

async fn accept_peers(listener: TcpListener, control: ControlSender, counters: Arc<PeerCounters>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(receive_frames(
                    stream,
                    address,
                    control.clone(),
                    Arc::clone(&counters),
                ));
            }
            Err(_) => tokio::time::sleep(RECONNECT_DELAY).await,
        }
    }
}

async fn receive_frames(
    stream: TcpStream,
    address: SocketAddr,
    control: ControlSender,
    counters: Arc<PeerCounters>,
) {
    let mut frames = Framed::new(stream, FrameCodec::default());
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(PeerFrame { from, stamp, message }) => {
                control.send_event(NodeEvent::PeerMessage { from, stamp, message });
            }
            Err(error) => {
                counters.unreadable.fetch_add(1, Ordering::Relaxed);
                log::debug!("closed peer connection from {address}: {error}");
                return;
            }
        }
    }
}

async fn route_messages(
    host: HostId,
    mut messages: UnboundedReceiver<OutgoingMessage>,
    counters: Arc<PeerCounters>,
) {
    let mut queues: HashMap<String, mpsc::Sender<PeerFrame>> = HashMap::new();
    while let Some(OutgoingMessage { address, stamp, message }) = messages.recv().await {
        let frame = PeerFrame { from: host, stamp, message };
        let queue = queues.entry(address.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(send_frames(address, receiver, Arc::clone(&counters)));
            sender
        });
        if queue.try_send(frame).is_err() {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn send_frames(
    address: String,
    mut frames: Receiver<PeerFrame>,
    counters: Arc<PeerCounters>,
) {
    let mut connection: Option<Framed<TcpStream, FrameCodec>> = None;
    while let Some(frame) = frames.recv().await {
        if connection.is_none() {
            connection = connect(&address).await;
        }
        let sent = match connection.as_mut() {
            Some(connection) => connection.send(frame).await.is_ok(),
            None => false,
        };
        if !sent {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
            connection = None;
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }
}

async fn connect(address: &str) -> Option<Framed<TcpStream, FrameCodec>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Framed::new(stream, FrameCodec::default()))
}
