//! HTTP calls with a buffered response, over a connection that is reused for the next call.

use std::{net::SocketAddr, time::Duration};

use bytes::BytesMut;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError};

use crate::codec::{CallRequest, CallResponse};

/// Maximum size of a response head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Maximum size of a response body.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

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
    NoResponse(ReadError),
    /// No response within the timeout; the call may have been carried out.
    #[error("timed out waiting for a response")]
    TimedOut,
}

/// Client of one address that makes one call at a time.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    idle: Option<HttpStream>,
}

impl CallClient {
    /// Creates a client without a connection.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, idle: None }
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
        let exchange = send_and_receive(&mut stream, self.address, request);
        let response = match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response.map_err(CallError::NoResponse)?,
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
    let body = stream.read_full_body(&mut decoder, BODY_LIMIT).await?.unwrap_or_default();
    Ok(CallResponse { head, body })
}
