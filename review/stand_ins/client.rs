//! A client: one request on a connection of its own, and what came back.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{http::Connection, http::Message};

/// The host name of all routes.
pub const HOST_NAME: &str = "desk.example";

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id of the attempt.
    pub id: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The adapter, for requests to model engines.
    pub adapter: Option<&'static str>,
    /// The time that the client waits.
    pub deadline: Duration,
    /// The body.
    pub body: String,
}

impl Request {
    /// Returns the request's head, without the field that frames the body.
    pub fn head(&self) -> String {
        let model = self.adapter.map_or_else(String::new, |adapter| {
            let (id, model) = (&self.id, crate::engine::MODEL);
            format!(
                "Model: {model}/{adapter}\r\nToken-Usage: 200,80\r\nPrompt-Prefix: 5c1e07a2:100,{id}:100\r\n"
            )
        });
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{model}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
        )
    }
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// As its framing says that a whole answer ends.
    Whole,
    /// Before that, with this cause.
    Cut(String),
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The head.
    pub head: Message,
    /// What came of the body.
    pub body: String,
    /// How the body's end was framed.
    pub framing: &'static str,
    /// How it ended.
    pub end: AnswerEnd,
}

impl Answer {
    /// Returns a description for the record.
    pub fn describe(&self) -> String {
        let end = match &self.end {
            AnswerEnd::Whole => String::from("whole"),
            AnswerEnd::Cut(cause) => format!("cut ({cause})"),
        };
        let retry = self.head.field("retry-after");
        let retry = retry.map_or_else(String::new, |time| format!(", Retry-After {time}"));
        format!(
            "{}{retry}, {} bytes, framing {}, {end}",
            self.head.status(),
            self.body.len(),
            self.framing
        )
    }
}

/// Sends a request and reads its answer.
///
/// # Errors
/// Returns an error if there was no answer.
pub fn send(address: SocketAddr, request: &Request) -> io::Result<Answer> {
    let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    socket.set_read_timeout(Some(request.deadline + Duration::from_secs(1)))?;
    let mut connection = Connection::new(socket);
    let head = request.head();
    let text = format!("{head}Content-Length: {}\r\n\r\n{}", request.body.len(), request.body);
    connection.write(text.as_bytes())?;
    read_answer(&mut connection)
}

/// Reads an answer.
///
/// # Errors
/// Returns an error if there was no answer.
pub fn read_answer(connection: &mut Connection) -> io::Result<Answer> {
    let head = connection.read_head()?.ok_or(io::Error::from(ErrorKind::UnexpectedEof))?;
    let mut body = Vec::new();
    let (framing, result) = if head.field("transfer-encoding").is_some() {
        ("chunked", read_chunks(connection, &mut body))
    } else if let Some(length) = head.field("content-length") {
        let length = length.parse().unwrap_or_default();
        let read = connection.read_exact(length);
        ("length", read.map(|bytes| body.extend(bytes)))
    } else {
        // RFC 9112, section 6.3: such a body ends when the connection is closed.
        ("connection", read_until_close(connection, &mut body))
    };
    let end = match result {
        Ok(()) => AnswerEnd::Whole,
        Err(error) => AnswerEnd::Cut(error.kind().to_string()),
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { head, body, framing, end })
}

fn read_chunks(connection: &mut Connection, body: &mut Vec<u8>) -> io::Result<()> {
    while let Some(chunk) = connection.read_chunk()? {
        body.extend(chunk);
    }
    Ok(())
}

fn read_until_close(connection: &mut Connection, body: &mut Vec<u8>) -> io::Result<()> {
    while let Some(bytes) = connection.read_some()? {
        body.extend(bytes);
    }
    Ok(())
}
