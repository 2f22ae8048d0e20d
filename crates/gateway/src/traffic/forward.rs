//! Serialization of a client's request for an engine.
//!
//! Every send goes through [`forwarded_request`], including repeats and resumed streams, so that
//! header fields which clients must not set are removed in one place.

use bytes::{Bytes, BytesMut};
use reelreel_http::{HeaderFields, RequestHead};

use crate::{
    codec::{ForwardMetadata, RequestCodec},
    traffic::exchange::ClientRequest,
};

/// Buffer capacity reserved for the head, in bytes.
const TYPICAL_HEAD_BYTES: usize = 512;

/// Size up to which a body is copied behind its head, so that both are sent in one write.
/// Unit: bytes.
const COPIED_BODY_BYTES: usize = 16 * 1024;

/// A serialized request.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// The head, and the body if it is small.
    pub head: Bytes,
    /// The rest of the body, shared with the client's request: a copy for each send would double
    /// the memory of a body while its engine reads slowly.
    pub body: Bytes,
}

/// Serializes a request with its method, target and body unaltered and the metadata of this send.
pub fn forwarded_request(
    codec: &dyn RequestCodec,
    request: &ClientRequest,
    metadata: &ForwardMetadata<'_>,
) -> ForwardedRequest {
    let mut fields = forwarded_fields(codec, &request.head.fields);
    let bodiless = matches!(request.head.method.as_str(), "GET" | "HEAD");
    if !request.body.is_empty() || !bodiless {
        fields.push("Content-Length", request.body.len().to_string());
    }
    codec.set_forward_metadata(&mut fields, metadata);
    let head = RequestHead {
        method: request.head.method.clone(),
        target: request.head.target.clone(),
        is_http11: true,
        fields,
    };
    let copied = if request.body.len() <= COPIED_BODY_BYTES { request.body.len() } else { 0 };
    let mut bytes = BytesMut::with_capacity(TYPICAL_HEAD_BYTES + copied);
    head.write_to(&mut bytes);
    bytes.extend_from_slice(&request.body[..copied]);
    ForwardedRequest { head: bytes.freeze(), body: request.body.slice(copied..) }
}

/// Returns the client's header fields that are forwarded unaltered.
///
/// Leaves out hop-by-hop fields, `Content-Length`, and the fields that only the system sets.
pub fn forwarded_fields(codec: &dyn RequestCodec, fields: &HeaderFields) -> HeaderFields {
    let mut passed = fields.end_to_end();
    passed.remove_all(&["Content-Length"]);
    passed.remove_all(codec.reserved_fields());
    passed
}
