//! Codec for the messages between entry hosts.
//!
//! [`FrameCodec`] decodes length-delimited protobuf frames into a
//! [`PeerMessage`](reelreel_core::message::PeerMessage) with its sender and timestamp, and encodes
//! them. The protobuf types are generated from `proto/peer.proto` by
//! `cargo run -p reelreel-wire --example generate` and committed, so that the build does not need
//! the generator.

mod codec;
mod convert;

#[allow(missing_docs, clippy::pedantic, reason = "generated from proto/peer.proto")]
#[rustfmt::skip]
#[path = "generated/reelreel.peer.rs"]
pub mod peer;

pub use codec::{FrameCodec, FrameError, MAX_FRAME_BYTES, PeerFrame};
pub use convert::DecodeError;
