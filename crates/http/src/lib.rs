//! Strict HTTP/1.1 heads and bodies over TCP, for both sides of a forwarder.
//!
//! A forwarder must frame a message exactly as its peers do, and must know in every case whether a
//! message was whole. So this crate parses heads with `httparse`, refuses what two readers could
//! frame differently, and hands bodies on part by part together with how they ended.
//!
//! [`head`] holds heads and header fields, [`body`] how a body is cut, and [`connection`] one
//! socket with its read buffer.

pub mod body;
pub mod connection;
pub mod head;

pub use body::{BodyDecoder, BodyError, BodyFraming, BodyPart};
pub use connection::{HttpStream, ReadError};
pub use head::{HeadError, HeaderField, HeaderFields, RequestHead, ResponseHead};
