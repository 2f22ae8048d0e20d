//! HTTP calls with a buffered response, over a connection that is reused for the next call.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError, ResponseHead};

use crate::codec::{CallRequest, CallResponse};

/// Maximum size of a response head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Maximum size of a response body, unless a client has its own.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// Maximum number of interim responses before a response.
const INTERIM_RESPONSE_LIMIT: usize = 3;

/// Maximum time of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connect failed: nothing was sent.
    #[error("failed to connect: {0}")]
    NotSent(std::io::Error),
    /// No valid response to a sent call; it may have been carried out.
    #[error("failed to get a response: {0}")]
    NoResponse(#[from] ReadError),
    /// Only interim responses to a sent call; it may have been carried out.
    #[error("received {INTERIM_RESPONSE_LIMIT} interim responses and no final one")]
    OnlyInterim,
    /// The response to a sent call is longer than the limit; the call may have been carried out.
    #[error("the response is longer than {0} bytes")]
    TooLong(usize),
    /// No response within the timeout; the call may have been carried out.
    #[error("timed out waiting for a response")]
    TimedOut,
}

/// Client of one address that makes one call at a time.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    body_limit: usize,
    idle: Option<HttpStream>,
}

impl CallError {
    /// Returns the error of a failed connect: nothing was sent.
    pub const fn connect_error(&self) -> Option<&std::io::Error> {
        match self {
            Self::NotSent(error) => Some(error),
            _ => None,
        }
    }
}

impl CallClient {
    /// Creates a client without a connection.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, body_limit: BODY_LIMIT, idle: None }
    }

    /// Sets the maximum size of a response body. Unit: bytes.
    #[must_use]
    pub const fn with_body_limit(mut self, body_limit: usize) -> Self {
        self.body_limit = body_limit;
        self
    }

    /// Closes the idle connection: the next call opens a new one.
    pub fn close(&mut self) {
        self.idle = None;
    }

    /// Makes one call.
    ///
    /// # Errors
    /// Returns why there is no response, and by that whether the call may have been carried out.
    pub async fn call(
        &mut self,
        request: &CallRequest,
        timeout: Duration,
    ) -> Result<CallResponse, CallError> {
        let mut stream = match self.idle.take() {
            Some(stream) if stream.is_idle() => stream,
            _ => HttpStream::connect(self.address, CONNECT_TIMEOUT.min(timeout))
                .await
                .map_err(CallError::NotSent)?,
        };
        let exchange = send_and_receive(&mut stream, self.address, request, self.body_limit);
        let response = match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response?,
            Err(_) => return Err(CallError::TimedOut),
        };
        if response.head.keeps_connection() && !stream.has_buffered_bytes() {
            stream.release_buffer();
            self.idle = Some(stream);
        }
        Ok(response)
    }
}

async fn send_and_receive(
    stream: &mut HttpStream,
    address: SocketAddr,
    request: &CallRequest,
    body_limit: usize,
) -> Result<CallResponse, CallError> {
    let mut head = request.head.clone();
    head.fields.push("Host", address.to_string());
    if !request.body.is_empty() || head.method != "GET" {
        head.fields.push("Content-Length", request.body.len().to_string());
    }
    let mut bytes = BytesMut::with_capacity(256 + request.body.len());
    head.write_to(&mut bytes);
    bytes.extend_from_slice(&request.body);
    stream.write(&bytes).await.map_err(ReadError::from)?;
    let head = read_final_head(stream).await?;
    let framing = BodyFraming::of_response(&head, &request.head.method).map_err(ReadError::from)?;
    let mut decoder = BodyDecoder::new(framing);
    let body = stream.read_full_body(&mut decoder, body_limit).await?;
    body.map(|body| CallResponse { head, body }).ok_or(CallError::TooLong(body_limit))
}

async fn read_final_head(stream: &mut HttpStream) -> Result<ResponseHead, CallError> {
    for _ in 0..=INTERIM_RESPONSE_LIMIT {
        let head = stream.read_response_head(HEAD_LIMIT).await?;
        if !matches!(head.status, 100..=199) {
            return Ok(head);
        }
    }
    Err(CallError::OnlyInterim)
}
