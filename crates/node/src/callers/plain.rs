//! Calls to plain services, passed on as they are.

use std::{io, net::TcpStream, sync::mpsc};

use reelreel_core::{
    NodeEvent,
    node::{DispatchResult, NotRunReason, RequestDispatch},
    request::RequestTarget,
};

use super::{
    CallerServer,
    connection::{HttpRequest, write_whole},
    exchange::next_order,
    refusal,
    request::read_headers,
};
use crate::{
    clients::never_connected,
    control::{ControlInput, TrafficOrder},
};

/// The largest answer of a plain service, in bytes.
const MOST_ANSWER: u64 = 16 << 20;

/// Headers that are passed on; the rest concerns this connection or this layer.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", "authorization", "idempotency-key"];

type ServerAnswer = ureq::http::Response<ureq::Body>;

/// Passes a call on to the service below whose prefix the path lies.
pub(super) fn forward(
    border: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
) -> io::Result<()> {
    let keep_alive = request.head.keep_alive;
    let id = border.next_request();
    let target = RequestTarget::Path(request.head.path().to_owned());
    let arrived = match read_headers(id, &request.head, target) {
        Ok(arrived) => arrived,
        Err(refusal) => return refusal::refuse(stream, &refusal, keep_alive),
    };
    let (sender, orders) = mpsc::channel();
    border.control.input(ControlInput::Arrived(arrived, sender));
    loop {
        let order = match next_order(border, stream, id, &orders) {
            TrafficOrder::Refuse(refusal) => return refusal::refuse(stream, &refusal, keep_alive),
            TrafficOrder::Dispatch(order) => order,
        };
        if border.is_late(&order) {
            let result = DispatchResult::NotRun(NotRunReason::DispatchTooLate);
            border.control.event(NodeEvent::DispatchEnded { request: id, result });
            continue;
        }
        let result = match call(border, &order, request) {
            Ok(answer) => {
                let written = pass(stream, answer, keep_alive);
                let result = match &written {
                    Ok(Some(())) => DispatchResult::Answered,
                    Ok(None) => DispatchResult::Interrupted { answer_started: false },
                    Err(_) => DispatchResult::CallerGone,
                };
                border.control.event(NodeEvent::DispatchEnded { request: id, result });
                match written {
                    Ok(Some(())) => return Ok(()),
                    Ok(None) => continue,
                    Err(error) => return Err(error),
                }
            }
            Err(error) if never_connected(&error) => {
                DispatchResult::NotRun(NotRunReason::NoConnection)
            }
            Err(_) => DispatchResult::Interrupted { answer_started: false },
        };
        border.control.event(NodeEvent::DispatchEnded { request: id, result });
    }
}

fn call(
    border: &CallerServer,
    order: &RequestDispatch,
    request: &HttpRequest,
) -> Result<ServerAnswer, ureq::Error> {
    let HttpRequest { head, body } = request;
    let mut call = ureq::http::Request::builder()
        .method(head.method.as_str())
        .uri(format!("http://{}{}", order.address, head.target))
        .header("connection", "close")
        .header("x-request-id", format!("{:x}", order.request));
    for name in PASSED_HEADERS {
        if let Some(value) = head.header(name) {
            call = call.header(name, value);
        }
    }
    let call = call.body(body.clone()).map_err(ureq::Error::Http)?;
    border.backends.run(call)
}

/// Writes a server's answer to the caller; `None` means that it broke off before it was whole.
fn pass(
    stream: &mut TcpStream,
    mut answer: ServerAnswer,
    keep_alive: bool,
) -> io::Result<Option<()>> {
    let status = answer.status().as_u16();
    let kind = answer
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let Ok(body) = answer.body_mut().with_config().limit(MOST_ANSWER).read_to_vec() else {
        return Ok(None);
    };
    let headers = [("content-type", kind.as_str())];
    write_whole(stream, status, &headers, &body, keep_alive).map(Some)
}
