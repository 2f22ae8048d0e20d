//! Forwards requests to plain services.

use std::{io, net::TcpStream, sync::mpsc};

use reelreel_core::{
    NodeEvent,
    node::{DispatchResult, NotRunReason, RequestDispatch},
    request::RequestTarget,
};

use super::{
    CallerServer,
    connection::{HttpRequest, write_open_response, write_response},
    exchange::wait_for_decision,
    open_body::is_delimited_by_connection,
    refusal,
    request::parse_headers,
};
use crate::{
    clients::failed_before_sending,
    control::{ControlInput, RequestDecision},
};

/// Maximum size of a plain service's response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// The highest status code that a response may have (RFC 9110 section 15).
const MAX_STATUS: u16 = 599;

/// Request headers that are forwarded; the others are for this connection or this host.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "authorization", "idempotency-key"];

type ServerResponse = ureq::http::Response<ureq::Body>;

/// Forwards a request to the service whose path prefix matches.
pub(super) fn forward(
    server: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
) -> io::Result<()> {
    let keep_alive = request.head.keep_alive;
    let id = server.next_request_id();
    let target = RequestTarget::Path(request.head.path().to_owned());
    let arrived = match parse_headers(id, &request.head, target) {
        Ok(arrived) => arrived,
        Err(refusal) => return refusal::refuse(stream, &refusal, keep_alive),
    };
    let (sender, decisions) = mpsc::channel();
    server.control.send_input(ControlInput::RequestArrived(arrived, sender));
    loop {
        let dispatch = match wait_for_decision(server, stream, id, &decisions) {
            RequestDecision::Refuse(refusal) => {
                return refusal::refuse(stream, &refusal, keep_alive);
            }
            RequestDecision::Dispatch(dispatch) => dispatch,
        };
        if server.is_expired(&dispatch) {
            let result = DispatchResult::NotRun(NotRunReason::DispatchTooLate);
            server.control.send_event(NodeEvent::DispatchEnded { request: id, result });
            continue;
        }
        let result = match send_request(server, &dispatch, request) {
            Ok(response) => {
                let method = request.head.method.as_str();
                let forwarded = forward_response(stream, response, method, keep_alive);
                let result = match &forwarded {
                    Ok(ForwardedBody::Framed | ForwardedBody::Open) => DispatchResult::Answered,
                    Ok(ForwardedBody::Incomplete) => {
                        DispatchResult::Interrupted { answer_started: false }
                    }
                    Err(_) => DispatchResult::CallerGone,
                };
                server.control.send_event(NodeEvent::DispatchEnded { request: id, result });
                match forwarded {
                    Ok(ForwardedBody::Framed) => return Ok(()),
                    Ok(ForwardedBody::Open) => return Err(io::ErrorKind::ConnectionAborted.into()),
                    Ok(ForwardedBody::Incomplete) => continue,
                    Err(error) => return Err(error),
                }
            }
            Err(error) if failed_before_sending(&error) => {
                DispatchResult::NotRun(NotRunReason::NoConnection)
            }
            Err(_) => DispatchResult::Interrupted { answer_started: false },
        };
        server.control.send_event(NodeEvent::DispatchEnded { request: id, result });
    }
}

fn send_request(
    server: &CallerServer,
    dispatch: &RequestDispatch,
    request: &HttpRequest,
) -> Result<ServerResponse, ureq::Error> {
    let HttpRequest { head, body } = request;
    let mut call = ureq::http::Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{}{}", dispatch.address, head.target))
        .header("connection", "close")
        .header("x-request-id", format!("{:x}", dispatch.request));
    for name in FORWARDED_HEADERS {
        if let Some(value) = head.header(name) {
            call = call.header(name, value);
        }
    }
    let call = call.body(body.clone()).map_err(ureq::Error::Http)?;
    let response = server.backends.run(call)?;
    match response.status().as_u16() {
        status if status > MAX_STATUS => Err(ureq::Error::StatusCode(status)),
        _ => Ok(response),
    }
}

/// What the caller got of a server's response.
enum ForwardedBody {
    /// The whole body, with its length.
    Framed,
    /// The body without a length, which ends with the caller's connection.
    Open,
    /// Nothing, since the response is incomplete.
    Incomplete,
}

/// Writes a server's response to the caller.
fn forward_response(
    stream: &mut TcpStream,
    mut response: ServerResponse,
    method: &str,
    keep_alive: bool,
) -> io::Result<ForwardedBody> {
    let status = response.status().as_u16();
    let is_open = is_delimited_by_connection(&response, method);
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let Ok(body) = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec() else {
        return Ok(ForwardedBody::Incomplete);
    };
    if is_open {
        write_open_response(stream, status, &content_type, &body)?;
        return Ok(ForwardedBody::Open);
    }
    let headers = [("content-type", content_type.as_str())];
    write_response(stream, status, &headers, &body, keep_alive)?;
    Ok(ForwardedBody::Framed)
}
