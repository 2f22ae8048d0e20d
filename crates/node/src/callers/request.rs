//! What a caller's headers and body say, checked before anything else happens.

use std::time::Duration;

use reelreel_core::{
    RequestRefusal,
    id::RequestId,
    request::{ArrivedRequest, IdempotencyKey, RefusalKind, RequestTarget},
};
use serde_json::{Map, Value};

use super::connection::{HttpHead, HttpRequest};

/// The longest idempotency key, in bytes.
const LONGEST_KEY: usize = 256;

/// The longest deadline a caller may name.
const LONGEST_DEADLINE: u64 = 3_600_000;

/// A completion as its caller asked for it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct CompletionCall {
    /// The request as the core takes it.
    pub(super) arrived: ArrivedRequest,
    /// The whole body, passed on but for what this layer decides.
    pub(super) body: Map<String, Value>,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
}

fn bad(message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(RefusalKind::BadRequest, message)
}

/// Reads the headers that every request may have.
pub(super) fn read_headers(
    id: RequestId,
    head: &HttpHead,
    target: RequestTarget,
) -> Result<ArrivedRequest, RequestRefusal> {
    let max_wait = read_deadline(head)?;
    let repeatable = match text_header(head, "x-repeatable")? {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(other) => {
            return Err(bad(format!("X-Repeatable is `{other}`; it must be true or false")));
        }
    };
    let key = read_key(head)?;
    Ok(ArrivedRequest { id, target, max_wait, repeatable, key, max_tokens: None })
}

fn text_header<'a>(head: &'a HttpHead, name: &str) -> Result<Option<&'a str>, RequestRefusal> {
    match head.header(name) {
        Some(value) => Ok(Some(value.trim())),
        None if head.has(name) => Err(bad(format!("the header {name} is not plain text"))),
        None => Ok(None),
    }
}

fn read_deadline(head: &HttpHead) -> Result<Option<Duration>, RequestRefusal> {
    let Some(text) = text_header(head, "x-deadline-ms")? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(millis) if (1..=LONGEST_DEADLINE).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(bad(format!(
            "X-Deadline-Ms is `{text}`; it must be a whole number from 1 to {LONGEST_DEADLINE}"
        ))),
    }
}

fn read_key(head: &HttpHead) -> Result<Option<IdempotencyKey>, RequestRefusal> {
    let Some(text) = text_header(head, "idempotency-key")? else { return Ok(None) };
    if text.is_empty() || text.len() > LONGEST_KEY {
        return Err(bad(format!("Idempotency-Key must have 1 to {LONGEST_KEY} bytes")));
    }
    let created_millis = match text_header(head, "idempotency-created-ms")? {
        None => None,
        Some(text) => Some(text.parse::<u64>().map_err(|_| {
            bad("Idempotency-Created-Ms must be milliseconds since the Unix epoch")
        })?),
    };
    Ok(Some(IdempotencyKey { text: text.to_owned(), created_millis }))
}

/// Reads a completion.
pub(super) fn read_completion(
    id: RequestId,
    request: &HttpRequest,
) -> Result<CompletionCall, RequestRefusal> {
    let body: Value = serde_json::from_slice(&request.body)
        .map_err(|error| bad(format!("the body is not valid JSON: {error}")))?;
    let Value::Object(body) = body else { return Err(bad("the body is not a JSON object")) };
    let Some(Value::String(model)) = body.get("model") else {
        return Err(bad("`model` is missing; name it as organisation/adapter, with @version"));
    };
    let target = RequestTarget::Model(model.clone());
    let mut arrived = read_headers(id, &request.head, target)?;
    arrived.max_tokens = match body.get("max_tokens").or(body.get("max_completion_tokens")) {
        None | Some(Value::Null) => None,
        Some(value) => {
            let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
            let number = number.filter(|number| *number > 0);
            Some(number.ok_or_else(|| bad("`max_tokens` must be a positive whole number"))?)
        }
    };
    if let Some(value) = body.get("repeatable") {
        let flag = value.as_bool().ok_or_else(|| bad("`repeatable` must be true or false"))?;
        arrived.repeatable = arrived.repeatable.or(Some(flag));
    }
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(value) => value.as_bool().ok_or_else(|| bad("`stream` must be true or false"))?,
    };
    Ok(CompletionCall { arrived, body, stream })
}
