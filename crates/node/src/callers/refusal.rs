//! Error responses to callers.

use std::{io, net::TcpStream};

use reelreel_core::{CallerOutcome, RequestRefusal, clock::duration_millis};
use serde::Serialize;
use serde_json::json;

use super::connection::write_response;

/// The body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    /// The refusal kind; docs/OPERATORS.md lists them.
    #[serde(rename = "type")]
    kind: reelreel_core::RefusalKind,
    message: &'a str,
    /// `not_run` or `unknown`.
    outcome: CallerOutcome,
    remedy: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the JSON body of an error response.
pub(super) fn error_body(refusal: &RequestRefusal) -> Vec<u8> {
    let error = ErrorDetail {
        kind: refusal.kind,
        message: &refusal.message,
        outcome: refusal.outcome,
        remedy: refusal.kind.remedy(),
        retry_after_ms: refusal.retry_after.map(duration_millis),
    };
    serde_json::to_vec(&ErrorBody { error }).unwrap_or_else(|_| json!({}).to_string().into_bytes())
}

/// Writes an error response.
pub(super) fn refuse(
    stream: &mut TcpStream,
    refusal: &RequestRefusal,
    keep_alive: bool,
) -> io::Result<()> {
    refuse_with_status(stream, refusal, refusal.kind.status(), keep_alive)
}

/// Writes an error response with a status that differs from the kind's usual one.
pub(super) fn refuse_with_status(
    stream: &mut TcpStream,
    refusal: &RequestRefusal,
    status: u16,
    keep_alive: bool,
) -> io::Result<()> {
    // Retry-After is in whole seconds; the body has the exact delay.
    let seconds =
        refusal.retry_after.map(|after| duration_millis(after).div_ceil(1000).max(1).to_string());
    let mut headers = vec![("content-type", "application/json")];
    if let Some(seconds) = &seconds {
        headers.push(("retry-after", seconds));
    }
    write_response(stream, status, &headers, &error_body(refusal), keep_alive)
}
