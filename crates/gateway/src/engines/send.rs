//! One request to one engine, up to the head of its answer.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use reelreel_core::fleet::announcement::EngineAnnouncements;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError, ResponseHead};
use tokio::io::AsyncWriteExt;

use crate::{
    border::{AnswerFacts, ExchangeDialect},
    engines::EngineConnection,
};

/// The longest head of an engine's answer.
const HEAD_LIMIT: usize = 16 * 1024;

/// The longest answer to another request that is read over.
const UNRELATED_BODY_LIMIT: usize = 256 * 1024;

/// How many answers to other requests are read over.
const UNRELATED_RESPONSE_LIMIT: u32 = 3;

/// An engine's answer, its body not read yet.
#[derive(Debug)]
pub struct EngineResponse {
    /// The head.
    pub head: ResponseHead,
    /// What the head says.
    pub facts: AnswerFacts,
    /// Cuts the body.
    pub decoder: BodyDecoder,
    /// Whether the connection may serve another request once the body is whole.
    pub reusable: bool,
    /// What responses to other requests announced that came before this one.
    pub unrelated_announcements: EngineAnnouncements,
}

impl EngineResponse {
    /// Returns how long the engine keeps the connection, where it says so.
    pub fn keep_alive(&self) -> Option<Duration> {
        let value = self.head.fields.text("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        let seconds = timeout.unwrap_or(value).trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// Why there is no answer; the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection failed, or what came is no answer.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Only answers to other requests came.
    #[error("the engine answered other requests only")]
    OnlyUnrelated,
}

/// Sends a request and reads answers until one belongs to it.
///
/// The answer is read while the request is still written: an engine may answer before it has read a
/// long body. Such a connection is not used again.
///
/// # Errors
/// Returns that no answer came; the request may have run.
pub async fn send_request(
    connection: &mut EngineConnection,
    dialect: &dyn ExchangeDialect,
    request: &Bytes,
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
        let facts = dialect.answer_facts(&head);
        let rejected = facts.not_run || facts.misdirected;
        let matches_request = facts.id.as_deref().map_or(rejected, |response_id| response_id == id);
        if matches_request {
            reusable &= head.keeps_connection() && framing != BodyFraming::UntilClose;
            return Ok(EngineResponse { head, facts, decoder, reusable, unrelated_announcements });
        }
        unrelated_announcements = facts.announcements.merged(unrelated_announcements);
        if framing == BodyFraming::UntilClose || !head.keeps_connection() {
            break;
        }
        reusable = false;
        let body = connection.stream.read_whole_body(&mut decoder, UNRELATED_BODY_LIMIT).await?;
        if body.is_none() {
            break;
        }
        head = connection.stream.read_response_head(HEAD_LIMIT).await?;
    }
    Err(SendError::OnlyUnrelated)
}

/// Writes the request while reading the first head; returns whether all of it was written.
async fn write_and_read(
    stream: &mut HttpStream,
    request: &Bytes,
) -> Result<(ResponseHead, bool), ReadError> {
    let (mut reader, mut writer) = stream.halves();
    let mut write = pin!(writer.write_all(request));
    let mut read = pin!(reader.read_response_head(HEAD_LIMIT));
    let mut write_finished = false;
    let mut fully_written = false;
    loop {
        tokio::select! {
            biased;
            outcome = &mut write, if !write_finished => {
                // When writing fails, an answer may have come before; reading tells.
                write_finished = true;
                fully_written = outcome.is_ok();
            }
            head = &mut read => return Ok((head?, fully_written)),
        }
    }
}
