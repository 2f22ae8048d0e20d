//! Strict HTTP/1.1 parsing and writing over TCP, for the client and server side of a proxy.
//!
//! A proxy must frame each message exactly as its peers do and must detect truncated messages.
//! This crate parses heads with `httparse`, rejects messages that two parsers could frame
//! differently (request smuggling), and returns bodies incrementally with their end state.
//!
//! [`head`] has message heads and header fields, [`body`] body framing, and [`connection`] a
//! socket with its read buffer.

pub mod body;
pub mod connection;
pub mod head;

pub use body::{BodyDecoder, BodyError, BodyFraming, BodyPart};
pub use connection::{ByteCounter, HttpStream, ReadError, set_dead_peer_timeout};
pub use head::{HeadError, HeaderField, HeaderFields, RequestHead, ResponseHead};
