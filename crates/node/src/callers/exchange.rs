//! Handles completion requests: waits for the control thread's decision, sends the request to an
//! engine and forwards the response.

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
    connection::{
        ChunkedWriter, HttpRequest, is_closed_by_caller, write_open_response, write_response,
    },
    events::EventReader,
    open_body::is_delimited_by_connection,
    refusal,
    request::{CompletionRequest, parse_completion},
};
use crate::{
    clients::failed_before_sending,
    control::{ControlInput, RequestDecision},
};

/// How often a waiting connection thread checks whether its caller has disconnected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of times an interrupted stream is resumed.
const MAX_RESUMES: u32 = 3;

/// Delay before an interrupted stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

type EngineResponse = ureq::http::Response<ureq::Body>;

/// Handles one completion request.
pub(super) fn serve_completion(
    server: &CallerServer,
    stream: &mut TcpStream,
    request: &HttpRequest,
    chat: bool,
) -> io::Result<()> {
    let keep_alive = request.head.keep_alive;
    let id = server.next_request_id();
    let completion = match parse_completion(id, request) {
        Ok(completion) => completion,
        Err(refusal) => return refusal::refuse(stream, &refusal, keep_alive),
    };
    let (sender, decisions) = mpsc::channel();
    server.control.send_input(ControlInput::RequestArrived(completion.arrived.clone(), sender));
    let mut exchange = Exchange { server, completion, chat, keep_alive, id };
    exchange.run(stream, &decisions)
}

/// Waits for the control thread's decision; reports to it if the caller disconnects meanwhile.
pub(super) fn wait_for_decision(
    server: &CallerServer,
    stream: &TcpStream,
    id: RequestId,
    decisions: &Receiver<RequestDecision>,
) -> RequestDecision {
    let mut reported = false;
    loop {
        match decisions.recv_timeout(CALLER_POLL_INTERVAL) {
            Ok(decision) => return decision,
            Err(RecvTimeoutError::Timeout) => {
                if !reported && is_closed_by_caller(stream) {
                    reported = true;
                    server.control.send_event(NodeEvent::CallerGone(id));
                }
            }
            Err(RecvTimeoutError::Disconnected) => {
                let message = "this host stopped while the request waited";
                return RequestDecision::Refuse(RequestRefusal::not_run(
                    RefusalKind::Stopping,
                    message,
                ));
            }
        }
    }
}

struct Exchange<'a> {
    server: &'a CallerServer,
    completion: CompletionRequest,
    chat: bool,
    keep_alive: bool,
    id: RequestId,
}

/// The outcome of one dispatch to an engine.
enum DispatchOutcome {
    /// No complete response was written; the control thread decides how to continue.
    Incomplete(DispatchResult),
    /// A complete response was written, with the result of writing it.
    Written(io::Result<()>),
}

impl Exchange<'_> {
    fn run(
        &mut self,
        stream: &mut TcpStream,
        decisions: &Receiver<RequestDecision>,
    ) -> io::Result<()> {
        loop {
            let dispatch = match wait_for_decision(self.server, stream, self.id, decisions) {
                RequestDecision::Refuse(refusal) => {
                    return refusal::refuse(stream, &refusal, self.keep_alive);
                }
                RequestDecision::Dispatch(dispatch) => dispatch,
            };
            if self.server.is_expired(&dispatch) {
                self.report_result(DispatchResult::NotRun(NotRunReason::DispatchTooLate));
                continue;
            }
            match self.dispatch(stream, &dispatch) {
                DispatchOutcome::Written(result) => {
                    self.report_result(DispatchResult::Answered);
                    return result;
                }
                DispatchOutcome::Incomplete(result) => {
                    self.report_result(result);
                    let started =
                        matches!(result, DispatchResult::Interrupted { answer_started: true });
                    if started || result == DispatchResult::CallerGone {
                        return Self::abort_stream(stream, decisions);
                    }
                }
            }
        }
    }

    fn report_result(&self, result: DispatchResult) {
        self.server.control.send_event(NodeEvent::DispatchEnded { request: self.id, result });
    }

    /// Ends a started stream with an error event and without the last chunk, so that the caller
    /// detects that it is incomplete.
    fn abort_stream(
        stream: &mut TcpStream,
        decisions: &Receiver<RequestDecision>,
    ) -> io::Result<()> {
        if let Ok(RequestDecision::Refuse(refusal)) = decisions.recv_timeout(Duration::from_secs(2))
        {
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

    fn dispatch(&self, stream: &mut TcpStream, dispatch: &RequestDispatch) -> DispatchOutcome {
        let sent = self.send(dispatch);
        let mut response = match sent {
            Ok(response) => response,
            Err(error) if failed_before_sending(&error) => {
                return DispatchOutcome::Incomplete(DispatchResult::NotRun(
                    NotRunReason::NoConnection,
                ));
            }
            Err(_) => {
                return DispatchOutcome::Incomplete(DispatchResult::Interrupted {
                    answer_started: false,
                });
            }
        };
        let status = response.status().as_u16();
        if status != 200 {
            return self.handle_error_status(stream, &mut response);
        }
        if !self.is_response_to(&response, dispatch) {
            log::error!(
                "engine at {} responded for another model or request; response discarded",
                dispatch.address
            );
            self.cancel(dispatch);
            return DispatchOutcome::Incomplete(DispatchResult::Interrupted {
                answer_started: false,
            });
        }
        if self.completion.stream {
            self.forward_stream(stream, response, dispatch)
        } else {
            self.forward_body(stream, &mut response)
        }
    }

    fn send(&self, dispatch: &RequestDispatch) -> Result<EngineResponse, ureq::Error> {
        let path = if self.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let mut body = self.completion.body.clone();
        body.insert(String::from("model"), Value::from(dispatch.adapter_name.as_str()));
        body.insert(String::from("max_tokens"), Value::from(dispatch.max_tokens));
        body.insert(String::from("priority"), Value::from(dispatch.priority));
        body.remove("repeatable");
        let body = serde_json::to_vec(&body).unwrap_or_default();
        self.server
            .backends
            .post(format!("http://{}{path}", dispatch.address))
            .header("content-type", "application/json")
            .header("connection", "close")
            .header("x-request-id", format!("{:x}", self.id))
            .header("x-fence-token", dispatch.token.to_string())
            .send(&body[..])
    }

    /// Returns whether the engine confirms that the response is to this request and by the requested
    /// base model, adapter and version.
    fn is_response_to(&self, response: &EngineResponse, dispatch: &RequestDispatch) -> bool {
        let header =
            |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let base = dispatch.base_model.as_str();
        let base_matches = base.is_empty() || header("x-base-model") == Some(base);
        base_matches
            && header("x-served-model") == Some(dispatch.adapter_name.as_str())
            && header("x-request-id") == Some(format!("{:x}", self.id).as_str())
    }

    fn handle_error_status(
        &self,
        stream: &mut TcpStream,
        response: &mut EngineResponse,
    ) -> DispatchOutcome {
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let Ok(body) = body else {
            return DispatchOutcome::Incomplete(DispatchResult::Interrupted {
                answer_started: false,
            });
        };
        if let Some(reason) = not_run_reason(status, &body) {
            return DispatchOutcome::Incomplete(DispatchResult::NotRun(reason));
        }
        if (400..500).contains(&status) {
            // The engine rejected the request itself; its response is forwarded.
            return self.write_body(stream, response, &body);
        }
        DispatchOutcome::Incomplete(DispatchResult::BackendError)
    }

    fn forward_body(
        &self,
        stream: &mut TcpStream,
        response: &mut EngineResponse,
    ) -> DispatchOutcome {
        match response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec() {
            Ok(body) => self.write_body(stream, response, &body),
            Err(_) => {
                DispatchOutcome::Incomplete(DispatchResult::Interrupted { answer_started: false })
            }
        }
    }

    /// Writes an engine's response whose body has been read.
    fn write_body(
        &self,
        stream: &mut TcpStream,
        response: &EngineResponse,
        body: &[u8],
    ) -> DispatchOutcome {
        const JSON: &str = "application/json";
        let status = response.status().as_u16();
        if is_delimited_by_connection(response, "POST") {
            let written = write_open_response(stream, status, JSON, body);
            return DispatchOutcome::Written(
                written.and(Err(io::ErrorKind::ConnectionAborted.into())),
            );
        }
        let headers = [("content-type", JSON)];
        DispatchOutcome::Written(write_response(stream, status, &headers, body, self.keep_alive))
    }

    /// Forwards a stream event by event, and resumes it if it is interrupted.
    fn forward_stream(
        &self,
        stream: &mut TcpStream,
        response: EngineResponse,
        dispatch: &RequestDispatch,
    ) -> DispatchOutcome {
        let mut writer: Option<ChunkedWriter<'_>> = None;
        let mut stream = Some(stream);
        let mut expected = 0;
        let mut source = Some(response);
        let mut resumes = 0;
        loop {
            let result = match source.take() {
                Some(response) => {
                    self.forward_events(response, &mut stream, &mut writer, &mut expected)
                }
                None => StreamResult::Interrupted,
            };
            match result {
                StreamResult::Complete => {
                    let ended = writer.map_or(Ok(()), ChunkedWriter::finish);
                    return DispatchOutcome::Written(ended);
                }
                StreamResult::CallerGone => {
                    self.cancel(dispatch);
                    return DispatchOutcome::Incomplete(DispatchResult::CallerGone);
                }
                StreamResult::Interrupted if resumes < MAX_RESUMES => {
                    resumes += 1;
                    thread::sleep(RESUME_DELAY);
                    source = self.resume(dispatch, expected);
                }
                StreamResult::Interrupted => {
                    self.cancel(dispatch);
                    let answer_started = writer.is_some();
                    return DispatchOutcome::Incomplete(DispatchResult::Interrupted {
                        answer_started,
                    });
                }
            }
        }
    }

    fn forward_events<'s>(
        &self,
        response: EngineResponse,
        stream: &mut Option<&'s mut TcpStream>,
        writer: &mut Option<ChunkedWriter<'s>>,
        expected: &mut u64,
    ) -> StreamResult {
        let mut events = EventReader::new(response.into_body().into_reader());
        loop {
            let Ok(Some(event)) = events.next_event() else { return StreamResult::Interrupted };
            // A gap or a repeated event means that this is not the continuation of the stream.
            if event.event_id.is_some_and(|event_id| event_id != *expected) {
                return StreamResult::Interrupted;
            }
            if writer.is_none() {
                let headers =
                    [("content-type", "text/event-stream"), ("cache-control", "no-store")];
                let Some(stream) = stream.take() else { return StreamResult::CallerGone };
                match ChunkedWriter::start(stream, &headers, self.keep_alive) {
                    Ok(started) => *writer = Some(started),
                    Err(_) => return StreamResult::CallerGone,
                }
            }
            let written = writer.as_mut().map(|writer| writer.write(&event.bytes));
            if !matches!(written, Some(Ok(()))) {
                return StreamResult::CallerGone;
            }
            *expected += u64::from(event.event_id.is_some());
            if event.done {
                return StreamResult::Complete;
            }
        }
    }

    /// Resumes an interrupted stream at the engine, from the first missing event.
    fn resume(&self, dispatch: &RequestDispatch, from: u64) -> Option<EngineResponse> {
        let url = format!(
            "http://{}/v1/streams/{:x}?from={from}&chat={}",
            dispatch.address, self.id, self.chat
        );
        let response = self.server.backends.get(url).header("connection", "close").call().ok()?;
        (response.status().as_u16() == 200 && self.is_response_to(&response, dispatch))
            .then_some(response)
    }

    /// Cancels the request at the engine.
    fn cancel(&self, dispatch: &RequestDispatch) {
        let url = format!("http://{}/v1/streams/{:x}", dispatch.address, self.id);
        drop(self.server.backends.delete(url).header("connection", "close").call());
    }
}

enum StreamResult {
    Complete,
    Interrupted,
    CallerGone,
}

#[derive(Deserialize)]
struct EngineErrorBody {
    code: String,
}

/// Returns the reason if the engine reports that it did not run the request.
fn not_run_reason(status: u16, body: &[u8]) -> Option<NotRunReason> {
    let error: EngineErrorBody = serde_json::from_slice(body).ok()?;
    match (status, error.code.as_str()) {
        (409, "stale_token") => Some(NotRunReason::StaleToken),
        (404, "not_resident") => Some(NotRunReason::NotResident),
        (503, "leaving") => Some(NotRunReason::Leaving),
        (429, "full") => Some(NotRunReason::Full),
        _ => None,
    }
}
