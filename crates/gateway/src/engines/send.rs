//! Sends a request to an engine and reads the head of the response.

use std::{pin::pin, time::Duration};

use reelreel_core::fleet::announcement::EngineAnnouncements;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError, ResponseHead};

use crate::{
    codec::ResponseMetadata, engines::EngineConnection, host::SharedState,
    traffic::forward::ForwardedRequest,
};

/// Maximum size of a response head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Maximum size of a response body to another request that is skipped.
const UNRELATED_BODY_LIMIT: usize = 256 * 1024;

/// Maximum number of response heads that are considered for one request.
const UNRELATED_RESPONSE_LIMIT: u32 = 3;

/// An engine's response whose body has not been read.
#[derive(Debug)]
pub struct EngineResponse {
    /// The status and header fields.
    pub head: ResponseHead,
    /// Values read from the header fields.
    pub metadata: ResponseMetadata,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Decoder of the body.
    pub decoder: BodyDecoder,
    /// Whether the connection can be reused after the body has been read.
    pub reusable: bool,
    /// Announcements of preceding responses to other requests.
    pub unrelated_announcements: EngineAnnouncements,
}

impl EngineResponse {
    /// Returns the keep-alive time that the engine announces.
    pub fn keep_alive(&self) -> Option<Duration> {
        let value = self.head.fields.text("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        let seconds = timeout.unwrap_or(value).trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// Why there is no response; the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection failed or the response is malformed.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Only responses to other requests were received.
    #[error("engine sent only responses to other requests")]
    OnlyUnrelated,
}

/// Sends a request and reads responses until one belongs to it.
///
/// The response is read while the request is written: an engine may respond before it has read a
/// long body. Such a connection is not reused.
///
/// # Errors
/// Returns why there is no response; the request may have run.
pub async fn send_request(
    connection: &mut EngineConnection,
    shared: &SharedState,
    request: &ForwardedRequest,
    method: &str,
    id: &str,
) -> Result<EngineResponse, SendError> {
    let (mut head, fully_written) = write_and_read(&mut connection.stream, request).await?;
    let mut reusable = fully_written;
    let mut unrelated_announcements = EngineAnnouncements::default();
    for _ in 0..UNRELATED_RESPONSE_LIMIT {
        if matches!(head.status, 100..=199) {
            head = connection.stream.read_response_head(HEAD_LIMIT).await?;
            continue;
        }
        let framing = BodyFraming::of_response(&head, method).map_err(ReadError::from)?;
        let mut decoder = BodyDecoder::new(framing);
        let metadata = shared.codecs.request.decode_response(&head);
        if metadata.id.as_deref() == Some(id) {
            reusable &= head.keeps_connection() && framing != BodyFraming::UntilClose;
            return Ok(EngineResponse {
                head,
                metadata,
                framing,
                decoder,
                reusable,
                unrelated_announcements,
            });
        }
        shared.metrics.count_skipped_response(metadata.id.is_some());
        unrelated_announcements = metadata.announcements.merged(unrelated_announcements);
        if framing == BodyFraming::UntilClose || !head.keeps_connection() {
            break;
        }
        reusable = false;
        let body = connection.stream.read_full_body(&mut decoder, UNRELATED_BODY_LIMIT).await?;
        if body.is_none() {
            break;
        }
        head = connection.stream.read_response_head(HEAD_LIMIT).await?;
    }
    Err(SendError::OnlyUnrelated)
}

/// Writes the request while reading the first head; returns whether the request was fully written.
async fn write_and_read(
    stream: &mut HttpStream,
    request: &ForwardedRequest,
) -> Result<(ResponseHead, bool), ReadError> {
    let (mut reader, mut writer) = stream.split();
    let mut write = pin!(async {
        writer.write(&request.head).await?;
        writer.write(&request.body).await
    });
    let mut read = pin!(reader.read_response_head(HEAD_LIMIT));
    let mut write_finished = false;
    let mut fully_written = false;
    loop {
        tokio::select! {
            biased;
            outcome = &mut write, if !write_finished => {
                // After a failed write there may still be a response to read.
                write_finished = true;
                fully_written = outcome.is_ok();
            }
            head = &mut read => return Ok((head?, fully_written)),
        }
    }
}
