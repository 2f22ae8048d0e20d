//! Parsing and validation of request headers and completion bodies.

use std::time::Duration;

use reelreel_core::{
    RequestRefusal,
    id::RequestId,
    request::{ArrivedRequest, IdempotencyKey, RefusalKind, RequestTarget},
};
use serde_json::{Map, Value};

use super::connection::{HttpHead, HttpRequest};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A completion request.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct CompletionRequest {
    /// The request as passed to the core.
    pub(super) arrived: ArrivedRequest,
    /// The body as sent; the fields that this host sets are replaced before it is forwarded.
    pub(super) body: Map<String, Value>,
    /// Whether the response is streamed.
    pub(super) stream: bool,
}

fn bad_request(message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::BadRequest, message)
}

/// Parses the headers that all requests may have.
pub(super) fn parse_headers(
    id: RequestId,
    head: &HttpHead,
    target: RequestTarget,
) -> Result<ArrivedRequest, RequestRefusal> {
    let max_wait = parse_deadline(head)?;
    let repeatable = match text_header(head, "x-repeatable")? {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(other) => {
            return Err(bad_request(format!(
                "X-Repeatable is `{other}`; it must be true or false"
            )));
        }
    };
    let key = parse_idempotency_key(head)?;
    Ok(ArrivedRequest { id, target, max_wait, repeatable, key, max_tokens: None })
}

fn text_header<'a>(head: &'a HttpHead, name: &str) -> Result<Option<&'a str>, RequestRefusal> {
    match head.header(name) {
        Some(value) => Ok(Some(value.trim())),
        None if head.has_header(name) => {
            Err(bad_request(format!("the header {name} is not plain text")))
        }
        None => Ok(None),
    }
}

fn parse_deadline(head: &HttpHead) -> Result<Option<Duration>, RequestRefusal> {
    let Some(text) = text_header(head, "x-deadline-ms")? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(bad_request(format!(
            "X-Deadline-Ms is `{text}`; it must be a whole number from 1 to {MAX_DEADLINE_MS}"
        ))),
    }
}

fn parse_idempotency_key(head: &HttpHead) -> Result<Option<IdempotencyKey>, RequestRefusal> {
    let Some(text) = text_header(head, "idempotency-key")? else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(bad_request(format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes")));
    }
    let created_millis = match text_header(head, "idempotency-created-ms")? {
        None => None,
        Some(text) => Some(text.parse::<u64>().map_err(|_| {
            bad_request("Idempotency-Created-Ms must be milliseconds since the Unix epoch")
        })?),
    };
    Ok(Some(IdempotencyKey { text: text.to_owned(), created_millis }))
}

/// Parses a completion request.
pub(super) fn parse_completion(
    id: RequestId,
    request: &HttpRequest,
) -> Result<CompletionRequest, RequestRefusal> {
    let body: Value = serde_json::from_slice(&request.body)
        .map_err(|error| bad_request(format!("the body is not valid JSON: {error}")))?;
    let Value::Object(body) = body else {
        return Err(bad_request("the body is not a JSON object"));
    };
    let Some(Value::String(model)) = body.get("model") else {
        return Err(bad_request(
            "`model` is missing; name it as organisation/adapter, with @version",
        ));
    };
    let target = RequestTarget::Model(model.clone());
    let mut arrived = parse_headers(id, &request.head, target)?;
    arrived.max_tokens = match body.get("max_tokens").or(body.get("max_completion_tokens")) {
        None | Some(Value::Null) => None,
        Some(value) => {
            let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
            let number = number.filter(|number| *number > 0);
            Some(
                number
                    .ok_or_else(|| bad_request("`max_tokens` must be a positive whole number"))?,
            )
        }
    };
    if let Some(value) = body.get("repeatable") {
        let flag =
            value.as_bool().ok_or_else(|| bad_request("`repeatable` must be true or false"))?;
        arrived.repeatable = arrived.repeatable.or(Some(flag));
    }
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(value) => {
            value.as_bool().ok_or_else(|| bad_request("`stream` must be true or false"))?
        }
    };
    Ok(CompletionRequest { arrived, body, stream })
}
