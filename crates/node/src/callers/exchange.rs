//! A completion: permitted by the control thread, answered by an engine, passed on to the caller.

use std::{
    io,
    net::TcpStream,
    sync::mpsc::{self, Receiver, RecvTimeoutError},
    thread,
    time::Duration,
};

use reelreel_core::{
    NodeEvent, RequestRefusal,
    id::RequestId,
    node::{DispatchResult, NotRunReason, RequestDispatch},
    request::RefusalKind,
};
use serde::Deserialize;
use serde_json::Value;

use super::{
    CallerServer,
    connection::{HttpRequest, PieceWriter, caller_gone, write_whole},
    events::EventReader,
    refusal,
    request::{CompletionCall, read_completion},
};
use crate::{
    clients::never_connected,
    control::{ControlInput, TrafficOrder},
};

/// How often a waiting thread looks whether its caller is still there.
const CALLER_LOOK: Duration = Duration::from_millis(100);

/// How often a broken stream is taken up again where it broke off.
const MOST_RESUMES: u32 = 3;

/// How long to wait before taking a broken stream up again.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// The largest answer that is not streamed, in bytes.
const MOST_WHOLE: u64 = 16 << 20;

type EngineAnswer = ureq::http::Response<ureq::Body>;

/// Serves one completion.
pub(super) fn complete(
    border: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
    chat: bool,
) -> io::Result<()> {
    let keep_alive = request.head.keep_alive;
    let id = border.next_request();
    let call = match read_completion(id, request) {
        Ok(call) => call,
        Err(refusal) => return refusal::refuse(stream, &refusal, keep_alive),
    };
    let (sender, orders) = mpsc::channel();
    border.control.input(ControlInput::Arrived(call.arrived.clone(), sender));
    let mut exchange = Exchange { border, call, chat, keep_alive, id };
    exchange.run(stream, &orders)
}

/// Waits for the control thread's word, and tells it when the caller hangs up meanwhile.
pub(super) fn next_order(
    border: &CallerServer,
    stream: &TcpStream,
    id: RequestId,
    orders: &Receiver<TrafficOrder>,
) -> TrafficOrder {
    let mut gone = false;
    loop {
        match orders.recv_timeout(CALLER_LOOK) {
            Ok(order) => return order,
            Err(RecvTimeoutError::Timeout) => {
                if !gone && caller_gone(stream) {
                    gone = true;
                    border.control.event(NodeEvent::CallerGone(id));
                }
            }
            Err(RecvTimeoutError::Disconnected) => {
                let message = "this host stopped while the request waited";
                return TrafficOrder::Refuse(RequestRefusal::not_run(
                    RefusalKind::Stopping,
                    message,
                ));
            }
        }
    }
}

struct Exchange<'a> {
    border: &'a CallerServer,
    call: CompletionCall,
    chat: bool,
    keep_alive: bool,
    id: RequestId,
}

/// How far an exchange got.
enum Progress {
    /// It ended; the control thread says what follows, and whether the caller has seen any of it.
    Ended(DispatchResult),
    /// The answer, or what is known of it, was written whole.
    Written(io::Result<()>),
}

impl Exchange<'_> {
    fn run(&mut self, stream: &mut TcpStream, orders: &Receiver<TrafficOrder>) -> io::Result<()> {
        loop {
            let order = match next_order(self.border, stream, self.id, orders) {
                TrafficOrder::Refuse(refusal) => {
                    return refusal::refuse(stream, &refusal, self.keep_alive);
                }
                TrafficOrder::Dispatch(order) => order,
            };
            if self.border.is_late(&order) {
                self.end(DispatchResult::NotRun(NotRunReason::DispatchTooLate));
                continue;
            }
            match self.dispatch(stream, &order) {
                Progress::Written(result) => {
                    self.end(DispatchResult::Answered);
                    return result;
                }
                Progress::Ended(result) => {
                    self.end(result);
                    let begun =
                        matches!(result, DispatchResult::Interrupted { answer_started: true });
                    if begun || result == DispatchResult::CallerGone {
                        return Self::break_off(stream, orders);
                    }
                }
            }
        }
    }

    fn end(&self, result: DispatchResult) {
        self.border.control.event(NodeEvent::DispatchEnded { request: self.id, result });
    }

    /// Ends an answer that has begun with an error event, and not as if it were whole.
    fn break_off(stream: &mut TcpStream, orders: &Receiver<TrafficOrder>) -> io::Result<()> {
        if let Ok(TrafficOrder::Refuse(refusal)) = orders.recv_timeout(Duration::from_secs(2)) {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend_from_slice(&refusal::error_body(&refusal));
            event.extend_from_slice(b"\n\n");
            let mut framed = format!("{:x}\r\n", event.len()).into_bytes();
            framed.extend_from_slice(&event);
            framed.extend_from_slice(b"\r\n");
            drop(io::Write::write_all(stream, &framed));
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    fn dispatch(&self, stream: &mut TcpStream, order: &RequestDispatch) -> Progress {
        let sent = self.send(order);
        let mut engine_answer = match sent {
            Ok(answer) => answer,
            Err(error) if never_connected(&error) => {
                return Progress::Ended(DispatchResult::NotRun(NotRunReason::NoConnection));
            }
            Err(_) => {
                return Progress::Ended(DispatchResult::Interrupted { answer_started: false });
            }
        };
        let status = engine_answer.status().as_u16();
        if status != 200 {
            return self.not_answered(stream, &mut engine_answer);
        }
        if !self.echoes(&engine_answer, order) {
            log::error!("engine at {} answered for another adapter", order.address);
            self.cancel(order);
            return Progress::Ended(DispatchResult::Interrupted { answer_started: false });
        }
        if self.call.stream {
            self.pass_stream(stream, engine_answer, order)
        } else {
            self.pass_whole(stream, &mut engine_answer)
        }
    }

    fn send(&self, order: &RequestDispatch) -> Result<EngineAnswer, ureq::Error> {
        let path = if self.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let mut body = self.call.body.clone();
        body.insert(String::from("model"), Value::from(order.adapter_name.as_str()));
        body.insert(String::from("max_tokens"), Value::from(order.max_tokens));
        body.insert(String::from("priority"), Value::from(order.priority));
        body.remove("repeatable");
        let body = serde_json::to_vec(&body).unwrap_or_default();
        self.border
            .backends
            .post(format!("http://{}{path}", order.address))
            .header("content-type", "application/json")
            .header("connection", "close")
            .header("x-request-id", format!("{:x}", self.id))
            .header("x-fence-token", order.token.to_string())
            .send(&body[..])
    }

    /// An answer is taken only if the engine says that it is by the very base model, adapter and
    /// version.
    fn echoes(&self, answer: &EngineAnswer, order: &RequestDispatch) -> bool {
        let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
        let base = order.base_model.as_str();
        let same_base = base.is_empty() || header("x-base-model") == Some(base);
        same_base
            && header("x-served-model") == Some(order.adapter_name.as_str())
            && header("x-request-id") == Some(format!("{:x}", self.id).as_str())
    }

    fn not_answered(&self, stream: &mut TcpStream, answer: &mut EngineAnswer) -> Progress {
        let status = answer.status().as_u16();
        let body = answer.body_mut().with_config().limit(MOST_WHOLE).read_to_vec();
        let Ok(body) = body else {
            return Progress::Ended(DispatchResult::Interrupted { answer_started: false });
        };
        if let Some(reason) = not_run_reason(status, &body) {
            return Progress::Ended(DispatchResult::NotRun(reason));
        }
        if (400..500).contains(&status) {
            // The engine itself refuses the request: that is the caller's answer.
            let headers = [("content-type", "application/json")];
            return Progress::Written(write_whole(
                stream,
                status,
                &headers,
                &body,
                self.keep_alive,
            ));
        }
        Progress::Ended(DispatchResult::BackendError)
    }

    fn pass_whole(&self, stream: &mut TcpStream, answer: &mut EngineAnswer) -> Progress {
        match answer.body_mut().with_config().limit(MOST_WHOLE).read_to_vec() {
            Ok(body) => {
                let headers = [("content-type", "application/json")];
                Progress::Written(write_whole(stream, 200, &headers, &body, self.keep_alive))
            }
            Err(_) => Progress::Ended(DispatchResult::Interrupted { answer_started: false }),
        }
    }

    /// Passes a stream on, event by event, and takes it up again where it breaks off.
    fn pass_stream(
        &self,
        stream: &mut TcpStream,
        answer: EngineAnswer,
        order: &RequestDispatch,
    ) -> Progress {
        let mut writer: Option<PieceWriter<'_>> = None;
        let mut stream = Some(stream);
        let mut expected = 0;
        let mut source = Some(answer);
        let mut resumes = 0;
        loop {
            let result = match source.take() {
                Some(answer) => self.pass_events(answer, &mut stream, &mut writer, &mut expected),
                None => StreamEnding::Broken,
            };
            match result {
                StreamEnding::Complete => {
                    let ended = writer.map_or(Ok(()), PieceWriter::end);
                    return Progress::Written(ended);
                }
                StreamEnding::CallerGone => {
                    self.cancel(order);
                    return Progress::Ended(DispatchResult::CallerGone);
                }
                StreamEnding::Broken if resumes < MOST_RESUMES => {
                    resumes += 1;
                    thread::sleep(RESUME_PAUSE);
                    source = self.resume(order, expected);
                }
                StreamEnding::Broken => {
                    self.cancel(order);
                    let answer_started = writer.is_some();
                    return Progress::Ended(DispatchResult::Interrupted { answer_started });
                }
            }
        }
    }

    fn pass_events<'s>(
        &self,
        answer: EngineAnswer,
        stream: &mut Option<&'s mut TcpStream>,
        writer: &mut Option<PieceWriter<'s>>,
        expected: &mut u64,
    ) -> StreamEnding {
        let mut events = EventReader::new(answer.into_body().into_reader());
        loop {
            let Ok(Some(event)) = events.next_event() else { return StreamEnding::Broken };
            // A gap or a repeated event means that the stream is not the one that was left.
            if event.number.is_some_and(|number| number != *expected) {
                return StreamEnding::Broken;
            }
            if writer.is_none() {
                let headers =
                    [("content-type", "text/event-stream"), ("cache-control", "no-store")];
                let Some(stream) = stream.take() else { return StreamEnding::CallerGone };
                match PieceWriter::begin(stream, &headers, self.keep_alive) {
                    Ok(begun) => *writer = Some(begun),
                    Err(_) => return StreamEnding::CallerGone,
                }
            }
            let written = writer.as_mut().map(|writer| writer.write(&event.bytes));
            if !matches!(written, Some(Ok(()))) {
                return StreamEnding::CallerGone;
            }
            *expected += u64::from(event.number.is_some());
            if event.done {
                return StreamEnding::Complete;
            }
        }
    }

    /// Takes a broken stream up at the engine, from the first event that is missing.
    fn resume(&self, order: &RequestDispatch, from: u64) -> Option<EngineAnswer> {
        let url = format!(
            "http://{}/v1/streams/{:x}?from={from}&chat={}",
            order.address, self.id, self.chat
        );
        let answer = self.border.backends.get(url).header("connection", "close").call().ok()?;
        (answer.status().as_u16() == 200 && self.echoes(&answer, order)).then_some(answer)
    }

    /// Tells the engine that nobody waits for the answer any more.
    fn cancel(&self, order: &RequestDispatch) {
        let url = format!("http://{}/v1/streams/{:x}", order.address, self.id);
        drop(self.border.backends.delete(url).header("connection", "close").call());
    }
}

enum StreamEnding {
    Complete,
    Broken,
    CallerGone,
}

#[derive(Deserialize)]
struct EngineProblem {
    code: String,
}

/// Returns why the engine says that it did not run a request, if it says so.
fn not_run_reason(status: u16, body: &[u8]) -> Option<NotRunReason> {
    let problem: EngineProblem = serde_json::from_slice(body).ok()?;
    match (status, problem.code.as_str()) {
        (409, "stale_token") => Some(NotRunReason::StaleToken),
        (404, "not_resident") => Some(NotRunReason::NotResident),
        (503, "leaving") => Some(NotRunReason::Leaving),
        (429, "full") => Some(NotRunReason::Full),
        _ => None,
    }
}
