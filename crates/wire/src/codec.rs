//! Length-delimited framing of peer messages.

use bytes::BytesMut;
use prost::Message;
use reelreel_core::{clock::HybridTimestamp, id::HostId, message::PeerMessage};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{convert::DecodeError, peer};

/// Maximum frame size; it must have room for a snapshot of all settings.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerFrame {
    /// The sender.
    pub from: HostId,
    /// The sender's hybrid timestamp.
    pub stamp: HybridTimestamp,
    /// The message.
    pub message: PeerMessage,
}

/// An error while reading or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or the frame is larger than [`MAX_FRAME_BYTES`].
    #[error("connection failed: {0}; the sender reconnects with the next message")]
    Connection(#[from] std::io::Error),
    /// The frame is not a valid protobuf message.
    #[error("frame could not be decoded: {0}; check that both hosts run compatible versions")]
    Encoding(#[from] prost::DecodeError),
    /// A required field is missing or invalid.
    #[error(transparent)]
    Message(#[from] DecodeError),
}

/// Encodes and decodes [`PeerFrame`]s.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let framing = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { framing }
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let Some(bytes) = self.framing.decode(source)? else { return Ok(None) };
        let frame = peer::Frame::decode(bytes)?;
        Ok(Some(PeerFrame::try_from(frame)?))
    }
}

impl Encoder<PeerFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: PeerFrame, target: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = peer::Frame::from(frame).encode_to_vec();
        self.framing.encode(bytes::Bytes::from(bytes), target)?;
        Ok(())
    }
}
