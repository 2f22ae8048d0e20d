//! The HTTP interface of the engine: OpenAI-compatible completions, orders, reports and fault
//! switches.

use std::{
    io,
    sync::PoisonError,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::{
    engine::{
        orders::{OrderBody, OrderError},
        state::{EngineShared, Sequence, Slot},
    },
    fault::FaultKind,
    http::{StreamWriter, header, read_body, respond_json, split_url},
};

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: usize,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
}

const fn default_max_tokens() -> usize {
    16
}

#[derive(Serialize)]
struct ErrorBody {
    code: &'static str,
    token: u64,
}

fn refuse(request: Request, status: u16, code: &'static str, token: u64) {
    respond_json(request, status, &ErrorBody { code, token });
}

pub(super) fn serve(shared: &EngineShared, mut request: Request) {
    let (segments, query) = split_url(request.url());
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (request.method().clone(), &segments[..]) {
        (Method::Post, ["v1", "completions"]) => handle_completion(shared, request, false),
        (Method::Post, ["v1", "chat", "completions"]) => handle_completion(shared, request, true),
        (Method::Get, ["v1", "streams", id]) => {
            let from = query.get("from").and_then(|text| text.parse().ok()).unwrap_or(0);
            let chat = query.get("chat").is_some_and(|text| text == "true");
            if attach(shared, id) {
                drop(stream(shared, request, id, from, chat));
            } else {
                refuse(request, 404, "no_such_stream", 0);
            }
        }
        (Method::Delete, ["v1", "streams", id]) => {
            cancel_stream(shared, id);
            refuse(request, 200, "cancelled", 0);
        }
        (Method::Post, ["orders"]) => handle_order(shared, request),
        (Method::Get, ["report"]) => match shared.faults.reports.apply(|| shared.report()) {
            Some(report) => respond_json(request, 200, &report),
            None => refuse(request, 503, "unavailable", 0),
        },
        (Method::Get, ["evidence"]) => respond_json(request, 200, &shared.evidence()),
        (Method::Put, ["switch", name]) => {
            let body = read_body(&mut request);
            set_fault(shared, name, &body);
            refuse(request, 200, "switched", 0);
        }
        _ => refuse(request, 404, "no_such_path", 0),
    }
}

fn set_fault(shared: &EngineShared, name: &str, body: &[u8]) {
    let kind = serde_json::from_slice::<FaultKind>(body).unwrap_or_default();
    match name {
        "leave" => shared.leave(),
        "restart" => shared.restart(),
        "orders" => shared.faults.orders.set(kind),
        "loads" => shared.faults.loads.set(kind),
        "requests" => shared.faults.requests.set(kind),
        "reports" => shared.faults.reports.set(kind),
        "cut_after" => {
            let tokens = serde_json::from_slice(body).unwrap_or(0);
            shared.faults.cut_after.store(tokens, Ordering::Relaxed);
        }
        _ => {}
    }
}

fn handle_order(shared: &EngineShared, mut request: Request) {
    let body = read_body(&mut request);
    let Ok(order) = serde_json::from_slice::<OrderBody>(&body) else {
        refuse(request, 400, "not_an_order", 0);
        return;
    };
    match shared.faults.orders.apply(|| shared.order(&order)) {
        Some(Ok(done)) => respond_json(request, 200, &done),
        Some(Err(OrderError::Fenced(token))) => refuse(request, 409, "stale_token", token),
        Some(Err(OrderError::NoSlot)) => refuse(request, 422, "no_slot", 0),
        Some(Err(OrderError::LoadFailed)) => refuse(request, 422, "load_failed", 0),
        None => refuse(request, 504, "lost", 0),
    }
}

fn handle_completion(shared: &EngineShared, mut request: Request, chat: bool) {
    let id = header(&request, "x-request-id").unwrap_or_default().to_owned();
    let token = header(&request, "x-fence-token").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = read_body(&mut request);
    let Ok(body) = serde_json::from_slice::<CompletionBody>(&body) else {
        refuse(request, 400, "bad_request", 0);
        return;
    };
    match shared.faults.requests.kind() {
        FaultKind::Delay(millis) => std::thread::sleep(Duration::from_millis(millis)),
        FaultKind::Refuse => {
            refuse(request, 503, "leaving", 0);
            return;
        }
        _ => {}
    }
    if let Err((status, code, token)) = admit(shared, &id, token, &body) {
        refuse(request, status, code, token);
        return;
    }
    if shared.faults.requests.kind() == FaultKind::LoseAnswer {
        refuse(request, 500, "broken", 0);
        return;
    }
    if body.stream {
        drop(stream(shared, request, &id, 0, chat));
    } else {
        respond_with_completion(shared, request, &id, chat);
    }
}

/// Checks a request and adds it to the batch under one lock, so that a concurrent unload or fence
/// is not missed.
fn admit(
    shared: &EngineShared,
    id: &str,
    token: u64,
    body: &CompletionBody,
) -> Result<(), (u16, &'static str, u64)> {
    shared.check_fence(token).map_err(|token| (409, "stale_token", token))?;
    let mut state = shared.lock();
    if shared.options.checks_fence && token < state.token {
        return Err((409, "stale_token", state.token));
    }
    if state.leaving {
        return Err((503, "leaving", 0));
    }
    if state.slots.get(&body.model) != Some(&Slot::Loaded) {
        return Err((404, "not_resident", 0));
    }
    let running = state.sequences.values().filter(|sequence| sequence.is_running()).count();
    if running >= shared.options.streams * 2 {
        return Err((429, "full", 0));
    }
    let sequence = Sequence {
        adapter: body.model.clone(),
        target_tokens: body.max_tokens,
        produced_tokens: 0,
        interrupted: false,
        priority: body.priority,
        readers: 1,
        unread_since: Instant::now(),
    };
    state.sequences.insert(id.to_owned(), sequence);
    *state.evidence.runs.entry(id.to_owned()).or_default() += 1;
    state.evidence.adapters.insert(id.to_owned(), body.model.clone());
    state.record_change();
    Ok(())
}

fn attach(shared: &EngineShared, id: &str) -> bool {
    let mut state = shared.lock();
    let Some(sequence) = state.sequences.get_mut(id).filter(|sequence| !sequence.interrupted)
    else {
        return false;
    };
    sequence.readers += 1;
    true
}

fn detach(shared: &EngineShared, id: &str) {
    let mut state = shared.lock();
    if let Some(sequence) = state.sequences.get_mut(id) {
        sequence.readers = sequence.readers.saturating_sub(1);
        sequence.unread_since = Instant::now();
    }
}

fn cancel_stream(shared: &EngineShared, id: &str) {
    let mut state = shared.lock();
    if let Some(sequence) = state.sequences.get_mut(id) {
        sequence.interrupted = true;
        state.record_change();
    }
    drop(state);
    shared.stepped.notify_all();
}

/// Waits for more than `seen_tokens` tokens; returns the number of tokens and whether the sequence
/// is complete, or `None` if it was interrupted.
fn wait_for(shared: &EngineShared, id: &str, seen_tokens: usize) -> Option<(usize, bool)> {
    let mut state = shared.lock();
    loop {
        let sequence = state.sequences.get(id).filter(|sequence| !sequence.interrupted)?;
        if sequence.produced_tokens > seen_tokens
            || sequence.produced_tokens >= sequence.target_tokens
        {
            return Some((
                sequence.produced_tokens,
                sequence.produced_tokens >= sequence.target_tokens,
            ));
        }
        let wait = Duration::from_millis(200);
        state = shared.stepped.wait_timeout(state, wait).unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn event(id: &str, model: &str, index: usize, chat: bool) -> String {
    let text = format!(" {index}");
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": null })
    };
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let body = json!({ "id": id, "object": object, "model": model, "choices": [choice] });
    format!("id: {index}\ndata: {body}\n\n")
}

fn served_model(shared: &EngineShared, id: &str) -> String {
    let state = shared.lock();
    state.sequences.get(id).map(|sequence| sequence.adapter.clone()).unwrap_or_default()
}

fn stream(
    shared: &EngineShared,
    request: Request,
    id: &str,
    from: usize,
    chat: bool,
) -> io::Result<()> {
    let model = served_model(shared, id);
    let headers = [
        ("content-type", "text/event-stream"),
        ("x-served-model", model.as_str()),
        ("x-base-model", shared.options.base_model.as_str()),
        ("x-request-id", id),
    ];
    let result = StreamWriter::begin(request, &headers)
        .and_then(|writer| write_tokens(shared, writer, id, &model, from, chat));
    detach(shared, id);
    result
}

fn write_tokens(
    shared: &EngineShared,
    mut writer: StreamWriter,
    id: &str,
    model: &str,
    from: usize,
    chat: bool,
) -> io::Result<()> {
    let interrupted = || io::Error::other("stream was interrupted");
    let mut written_tokens = from;
    loop {
        let (produced_tokens, is_complete) =
            wait_for(shared, id, written_tokens).ok_or_else(interrupted)?;
        for index in written_tokens..produced_tokens {
            writer.write(&event(id, model, index, chat))?;
            let cut_after = shared.faults.cut_after.load(Ordering::Relaxed);
            if cut_after > 0 && index + 1 == cut_after {
                return Err(interrupted());
            }
        }
        written_tokens = produced_tokens.max(written_tokens);
        if is_complete {
            writer.write("data: [DONE]\n\n")?;
            return writer.end();
        }
    }
}

fn respond_with_completion(shared: &EngineShared, request: Request, id: &str, chat: bool) {
    let model = served_model(shared, id);
    let mut seen_tokens = 0;
    loop {
        match wait_for(shared, id, seen_tokens) {
            Some((produced_tokens, true)) => {
                detach(shared, id);
                let token_texts: Vec<String> =
                    (0..produced_tokens).map(|index| format!(" {index}")).collect();
                let text = token_texts.concat();
                let choice = if chat {
                    json!({ "index": 0, "message": { "role": "assistant", "content": text },
                            "finish_reason": "length" })
                } else {
                    json!({ "index": 0, "text": text, "finish_reason": "length" })
                };
                let object = if chat { "chat.completion" } else { "text_completion" };
                let body = json!({ "id": id, "object": object, "model": model,
                    "choices": [choice], "usage": { "completion_tokens": produced_tokens } });
                write_completion(request, &model, shared, id, &body);
                return;
            }
            Some((produced_tokens, false)) => seen_tokens = produced_tokens,
            None => {
                detach(shared, id);
                refuse(request, 500, "cut", 0);
                return;
            }
        }
    }
}

fn write_completion(
    request: Request,
    model: &str,
    shared: &EngineShared,
    id: &str,
    body: &serde_json::Value,
) {
    let header = |name: &str, value: &str| {
        tiny_http::Header::from_bytes(name, value).expect("header names and models are ASCII")
    };
    let response = tiny_http::Response::from_string(body.to_string())
        .with_header(header("content-type", "application/json"))
        .with_header(header("x-served-model", model))
        .with_header(header("x-base-model", &shared.options.base_model))
        .with_header(header("x-request-id", id));
    drop(request.respond(response));
}
