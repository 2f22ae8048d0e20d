//! Cuts a byte stream into frames.

use bytes::BytesMut;
use prost::Message;
use reelreel_core::{clock::HybridTimestamp, id::HostId, message::PeerMessage};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{convert::DecodeError, peer};

/// The largest frame: a snapshot of the settings of 94,000 adapters takes a quarter of it.
pub const MOST_FRAME_BYTES: usize = 64 << 20;

/// One message on its way between two hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerFrame {
    /// The sender.
    pub from: HostId,
    /// The sender's stamp.
    pub stamp: HybridTimestamp,
    /// The message.
    pub message: PeerMessage,
}

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or the frame is larger than [`MOST_FRAME_BYTES`].
    #[error("connection failed: {0}; it is opened anew with the next message")]
    Connection(#[from] std::io::Error),
    /// The frame is no protocol buffer of ours.
    #[error("frame can not be read: {0}; check that both hosts run a version that knows it")]
    Encoding(#[from] prost::DecodeError),
    /// The frame lacks something that its message needs.
    #[error(transparent)]
    Message(#[from] DecodeError),
}

/// Turns bytes into frames and back.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let lengths =
            LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME_BYTES).new_codec();
        Self { lengths }
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let Some(bytes) = self.lengths.decode(source)? else { return Ok(None) };
        let frame = peer::Frame::decode(bytes)?;
        Ok(Some(PeerFrame::try_from(frame)?))
    }
}

impl Encoder<PeerFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: PeerFrame, target: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = peer::Frame::from(frame).encode_to_vec();
        self.lengths.encode(bytes::Bytes::from(bytes), target)?;
        Ok(())
    }
}
