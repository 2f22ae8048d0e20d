//! The protocol between hosts: demand reports to the placer, its plans in return, and store data
//! for hosts that do not read the store themselves.

pub mod client;
pub mod departure_messages;
pub mod engine_messages;
pub mod feed;
pub mod frame;
pub mod limit_messages;
pub mod origin_messages;
pub mod origins;
pub mod server;
pub mod service_load_messages;
pub mod state_frames;
pub mod aggregate_frames;
pub mod suspect_messages;
pub mod tunnel_messages;

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use prometheus_client::metrics::{counter::Counter, family::Family};
use prost::Message;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use frame::{EncodedFrame, PeerFrame};

use crate::metrics::FrameLabels;

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for sending a small frame. It passes only when the buffers on the way are full, so the peer is several seconds behind.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Rate at which a link carries a frame beside other traffic at least. Unit: bytes per second.
const MIN_FRAME_RATE: f64 = 400_000.0;

/// Maximum time in which a frame may arrive whose bytes keep arriving: the largest one at the minimum
/// rate takes less.
const FRAME_TIMEOUT: Duration = Duration::from_secs(12);

/// Why no frame was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveFailure {
    /// The peer was silent for too long, or a frame took too long.
    TimedOut,
    /// The connection ended, or a frame is malformed.
    Ended,
}

impl ReceiveFailure {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TimedOut => "timed_out",
            Self::Ended => "ended",
        }
    }
}

/// A framed connection between two hosts.
pub struct PeerStream {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    closed: bool,
    sent_bytes: Family<FrameLabels, Counter>,
}

impl PeerStream {
    /// Wraps a connected socket; `sent_bytes` counts sent bytes by kind of frame.
    pub fn new(socket: TcpStream, sent_bytes: Family<FrameLabels, Counter>) -> Self {
        let _ = socket.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { framed: Framed::new(socket, codec), closed: false, sent_bytes }
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// Returns the socket's error, or a timeout.
    pub async fn send(&mut self, frame: EncodedFrame) -> std::io::Result<()> {
        let labels = FrameLabels { kind: String::from(frame.kind) };
        self.sent_bytes.get_or_create(&labels).inc_by(frame.bytes.len() as u64);
        let sending_time = Duration::from_secs_f64(frame.bytes.len() as f64 / MIN_FRAME_RATE);
        timeout(SEND_TIMEOUT + sending_time, self.framed.send(frame.bytes)).await?
    }

    /// Receives the next frame; `None` when the connection ended or the frame is malformed.
    pub async fn receive(&mut self) -> Option<PeerFrame> {
        let next = self.framed.next().await;
        self.closed = next.is_none();
        let bytes = next?.ok()?;
        PeerFrame::decode(bytes).ok()
    }

    /// Receives the next frame from a peer that may be silent for `max_silence`.
    ///
    /// A large frame over a slow link takes longer; as long as its bytes arrive, it is waited for.
    ///
    /// # Errors
    /// Returns why no frame was received.
    pub async fn receive_within(
        &mut self,
        max_silence: Duration,
    ) -> Result<PeerFrame, ReceiveFailure> {
        let until = Instant::now() + FRAME_TIMEOUT;
        loop {
            let received = self.received_part();
            match timeout(max_silence, self.receive()).await {
                Ok(frame) => return frame.ok_or(ReceiveFailure::Ended),
                Err(_) if self.received_part() > received && Instant::now() < until => {}
                Err(_) => return Err(ReceiveFailure::TimedOut),
            }
        }
    }

    /// Returns the socket, or `None` if bytes after the last frame were received.
    pub fn into_socket(self) -> Option<TcpStream> {
        let parts = self.framed.into_parts();
        parts.read_buf.is_empty().then_some(parts.io)
    }

    /// Returns the received part of a frame that is not complete. Unit: bytes.
    pub fn received_part(&self) -> usize {
        self.framed.read_buffer().len()
    }

    /// Returns whether the peer closed the connection cleanly, as opposed to a connection error.
    pub const fn is_closed(&self) -> bool {
        self.closed
    }
}
