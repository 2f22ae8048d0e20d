//! The border to other entry hosts: frames over TCP, one connection for each direction.
//!
//! A message that can not be sent is dropped and counted: every exchange between hosts stands the
//! loss of a message, and a queue of old ones would only be late.

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

/// Messages that wait for one host at most.
const QUEUE: usize = 1024;

/// How long another host may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// How long to leave a host alone after it could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// A message on its way out.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// Where to.
    pub address: String,
    /// The sender's stamp.
    pub stamp: HybridTimestamp,
    /// The message.
    pub message: PeerMessage,
}

/// Counts of the border.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Messages dropped because their host was not reached or its queue was full.
    pub dropped: AtomicU64,
    /// Bytes that could not be read as frames.
    pub unreadable: AtomicU64,
}

/// The running border.
pub struct PeerBorder {
    /// The way out.
    pub sender: UnboundedSender<OutgoingMessage>,
    /// Its counts.
    pub counters: Arc<PeerCounters>,
    /// The thread; it ends when all senders are dropped.
    pub thread: JoinHandle<()>,
}

/// Starts the border on a bound listener.
///
/// # Errors
/// Returns why the listener or the thread can not be set up.
pub fn start_peers(
    host: HostId,
    listener: std::net::TcpListener,
    control: ControlSender,
) -> std::io::Result<PeerBorder> {
    listener.set_nonblocking(true)?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let counters = Arc::new(PeerCounters::default());
    let counted = Arc::clone(&counters);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = thread::Builder::new().name(String::from("peers")).spawn(move || {
        runtime.block_on(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    tokio::spawn(accept(listener, control, Arc::clone(&counted)));
                }
                Err(error) => log::error!("peers can not be listened to: {error}"),
            }
            send_all(host, receiver, counted).await;
        });
    })?;
    Ok(PeerBorder { sender, counters, thread })
}

async fn accept(listener: TcpListener, control: ControlSender, counters: Arc<PeerCounters>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(receive(stream, address, control.clone(), Arc::clone(&counters)));
            }
            Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
        }
    }
}

async fn receive(
    stream: TcpStream,
    address: SocketAddr,
    control: ControlSender,
    counters: Arc<PeerCounters>,
) {
    let mut frames = Framed::new(stream, FrameCodec::default());
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(PeerFrame { from, stamp, message }) => {
                control.event(NodeEvent::Peer { from, stamp, message });
            }
            Err(error) => {
                counters.unreadable.fetch_add(1, Ordering::Relaxed);
                log::debug!("connection from {address} closed: {error}");
                return;
            }
        }
    }
}

async fn send_all(
    host: HostId,
    mut messages: UnboundedReceiver<OutgoingMessage>,
    counters: Arc<PeerCounters>,
) {
    let mut queues: HashMap<String, mpsc::Sender<PeerFrame>> = HashMap::new();
    while let Some(OutgoingMessage { address, stamp, message }) = messages.recv().await {
        let frame = PeerFrame { from: host, stamp, message };
        let queue = queues.entry(address.clone()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            tokio::spawn(send_to(address, receiver, Arc::clone(&counters)));
            sender
        });
        if queue.try_send(frame).is_err() {
            counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn send_to(address: String, mut frames: Receiver<PeerFrame>, counters: Arc<PeerCounters>) {
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
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }
}

async fn connect(address: &str) -> Option<Framed<TcpStream, FrameCodec>> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Framed::new(stream, FrameCodec::default()))
}
