//! Calls with a whole answer, over a connection that is kept for the next call.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError};

use crate::codec::{CallRequest, CallResponse};

/// The longest head of an answer.
const HEAD_LIMIT: usize = 16 * 1024;

/// The longest body of an answer.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// How long a connection may take to come about.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about, so that nothing was sent.
    #[error("no connection came about: {0}")]
    NotSent(std::io::Error),
    /// It was sent and may have been carried out.
    #[error("no answer came: {0}")]
    NoAnswer(ReadError),
    /// It was sent, and the patience is over.
    #[error("no answer came in time")]
    TimedOut,
}

/// Calls one address, one call at a time.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    kept: Option<HttpStream>,
}

impl CallClient {
    /// Starts without a connection.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, kept: None }
    }

    /// Closes the kept connection: the next call opens a new one.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// Makes one call.
    ///
    /// # Errors
    /// Returns whether the call may have been carried out.
    pub async fn call(
        &mut self,
        request: &CallRequest,
        patience: Duration,
    ) -> Result<CallResponse, CallError> {
        let mut stream = match self.kept.take() {
            Some(stream) if stream.is_quiet() => stream,
            _ => HttpStream::connect(self.address, CONNECT_PATIENCE.min(patience))
                .await
                .map_err(CallError::NotSent)?,
        };
        let exchange = exchange(&mut stream, self.address, request);
        let answer = match tokio::time::timeout(patience, exchange).await {
            Ok(answer) => answer.map_err(CallError::NoAnswer)?,
            Err(_) => return Err(CallError::TimedOut),
        };
        if answer.head.keeps_connection() && !stream.has_unused_bytes() {
            stream.release_buffer();
            self.kept = Some(stream);
        }
        Ok(answer)
    }
}

async fn exchange(
    stream: &mut HttpStream,
    address: SocketAddr,
    request: &CallRequest,
) -> Result<CallResponse, ReadError> {
    let mut head = request.head.clone();
    head.fields.push("Host", address.to_string());
    if !request.body.is_empty() || head.method != "GET" {
        head.fields.push("Content-Length", request.body.len().to_string());
    }
    let mut bytes = BytesMut::with_capacity(256 + request.body.len());
    head.write_to(&mut bytes);
    bytes.extend_from_slice(&request.body);
    stream.write(&bytes).await?;
    let head = stream.read_response_head(HEAD_LIMIT).await?;
    let framing = BodyFraming::of_response(&head, &request.head.method)?;
    let mut decoder = BodyDecoder::new(framing);
    let body = stream.read_whole_body(&mut decoder, BODY_LIMIT).await?.unwrap_or_default();
    Ok(CallResponse { head, body })
}
