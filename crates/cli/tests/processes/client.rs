//! A test client that sends requests and reads responses to their end.

use std::{
    fmt::Write as _,
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use serde_json::{Value, json};

/// The response to a streamed completion.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Number of tokens received in order.
    pub(crate) tokens: usize,
    /// Whether the stream ended with `[DONE]` and the final HTTP chunk.
    pub(crate) complete: bool,
    /// Request id in the engine's response.
    pub(crate) id: String,
    /// Adapter that served the request.
    pub(crate) model: String,
    /// Type and outcome of the error, if any.
    pub(crate) error: Option<(String, String)>,
}

/// A completion request.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) model: &'static str,
    pub(crate) tokens: usize,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Completion {
    pub(crate) fn new(model: &'static str, tokens: usize) -> Self {
        Self { model, tokens, headers: Vec::new() }
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Requests a streamed completion and reads it to its end.
pub(crate) fn stream(host: &str, completion: &Completion) -> StreamAnswer {
    let body = json!({
        "model": completion.model,
        "prompt": "p",
        "max_tokens": completion.tokens,
        "stream": true,
    });
    let Some(text) = post(host, "/v1/completions", &completion.headers, &body.to_string()) else {
        return StreamAnswer::default();
    };
    parse_answer(&text)
}

/// Sends a request on a new connection and returns everything received until it closes.
pub(crate) fn post(
    host: &str,
    path: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> Option<String> {
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        let _infallible = write!(head, "{name}: {value}\r\n");
    }
    let _infallible = write!(head, "content-length: {}\r\n\r\n{body}", body.len());
    exchange(host, head.as_bytes())
}

/// Writes raw bytes and reads until the host closes the connection.
pub(crate) fn exchange(host: &str, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(host).ok()?;
    stream.set_read_timeout(Some(Duration::from_mins(1))).ok()?;
    stream.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    // A killed host resets the connection; the data received before still counts.
    let _reset = stream.read_to_end(&mut answer);
    Some(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns the HTTP status of a response.
pub(crate) fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the JSON body of a response with a Content-Length.
pub(crate) fn json_body(answer: &str) -> Value {
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
    serde_json::from_str(body).unwrap_or_default()
}

fn parse_answer(text: &str) -> StreamAnswer {
    let mut answer = StreamAnswer { status: status(text), ..StreamAnswer::default() };
    let mut done = false;
    let mut error_event = false;
    for line in text.lines() {
        if line == "data: [DONE]" {
            done = true;
        } else if line == "event: error" {
            error_event = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if error_event {
                answer.error = Some(parse_error(&value));
            } else if value["choices"][0]["text"] == format!(" {}", answer.tokens) {
                answer.tokens += 1;
                value["id"].as_str().unwrap_or_default().clone_into(&mut answer.id);
                value["model"].as_str().unwrap_or_default().clone_into(&mut answer.model);
            }
        }
    }
    if answer.status != 200 {
        answer.error = Some(parse_error(&json_body(text)));
    }
    answer.complete = done && text.ends_with("0\r\n\r\n");
    answer
}

fn parse_error(value: &Value) -> (String, String) {
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    (field("type"), field("outcome"))
}
