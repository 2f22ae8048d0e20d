//! The frames between reelreel's own processes.
//!
//! [`FrameCodec`] cuts a byte stream into frames by length and turns each into a
//! [`PeerMessage`](reelreel_core::message::PeerMessage) with its sender and stamp. The frames are
//! protocol buffers; the code for them is generated from `proto/peer.proto` by
//! `cargo run -p reelreel-wire --example generate` and committed, so that the build needs no
//! generator.

mod codec;
mod convert;

#[allow(missing_docs, clippy::pedantic, reason = "generated from proto/peer.proto")]
#[rustfmt::skip]
#[path = "generated/reelreel.peer.rs"]
pub mod peer;

pub use codec::{FrameCodec, FrameError, MAX_FRAME_BYTES, PeerFrame};
pub use convert::DecodeError;
