//! A client's request as an engine gets it.
//!
//! Every send goes through [`forwarded_request`], the first one, a repeat and a stream that goes on
//! elsewhere alike, so that what a client may not decide is taken out in one place.

use bytes::{Bytes, BytesMut};
use reelreel_http::{HeaderFields, RequestHead};

use crate::{
    codec::{ForwardMetadata, RequestCodec},
    entry::exchange::ClientRequest,
};

/// What a head takes beside the body, so that writing it seldom allocates again. Unit: bytes.
const USUAL_HEAD: usize = 512;

/// Writes a request with its method, target and body unaltered and the terms of this send.
pub fn forwarded_request(
    dialect: &dyn RequestCodec,
    request: &ClientRequest,
    terms: &ForwardMetadata<'_>,
) -> Bytes {
    let mut fields = passed_fields(dialect, &request.head.fields);
    let bodiless = matches!(request.head.method.as_str(), "GET" | "HEAD");
    if !request.body.is_empty() || !bodiless {
        fields.push("Content-Length", request.body.len().to_string());
    }
    dialect.set_forward_metadata(&mut fields, terms);
    let head = RequestHead {
        method: request.head.method.clone(),
        target: request.head.target.clone(),
        modern: true,
        fields,
    };
    let mut bytes = BytesMut::with_capacity(USUAL_HEAD + request.body.len());
    head.write_to(&mut bytes);
    bytes.extend_from_slice(&request.body);
    bytes.freeze()
}

/// Returns the client's fields that an engine gets as they are.
///
/// Fields of the connection, of the body's framing, and those that only the system sets are left out.
pub fn passed_fields(dialect: &dyn RequestCodec, fields: &HeaderFields) -> HeaderFields {
    let mut passed = fields.end_to_end();
    passed.remove_all(&["Content-Length"]);
    passed.remove_all(dialect.reserved_fields());
    passed
}
