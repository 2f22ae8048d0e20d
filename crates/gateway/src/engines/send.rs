//! One request to one engine, up to the head of its answer.

use std::{pin::pin, time::Duration};

use bytes::Bytes;
use reelreel_core::fleet::announcement::EngineAnnouncements;
use reelreel_http::{BodyDecoder, BodyFraming, HttpStream, ReadError, ResponseHead};
use tokio::io::AsyncWriteExt;

use crate::{
    codec::{RequestCodec, ResponseMetadata},
    engines::EngineLease,
};

/// The longest head of an engine's answer.
const HEAD_LIMIT: usize = 16 * 1024;

/// The longest answer to another request that is read over.
const STRAY_LIMIT: usize = 256 * 1024;

/// How many answers to other requests are read over.
const MOST_STRAYS: u32 = 3;

/// An engine's answer, its body not read yet.
#[derive(Debug)]
pub struct EngineAnswer {
    /// The head.
    pub head: ResponseHead,
    /// What the head says.
    pub facts: ResponseMetadata,
    /// Cuts the body.
    pub decoder: BodyDecoder,
    /// Whether the connection may serve another request once the body is whole.
    pub reusable: bool,
    /// What responses to other requests announced that came before this one.
    pub stray: EngineAnnouncements,
}

impl EngineAnswer {
    /// Returns how long the engine keeps the connection, where it says so.
    pub fn kept(&self) -> Option<Duration> {
        let value = self.head.fields.text("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        let seconds = timeout.unwrap_or(value).trim().parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// Why there is no answer; the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// The connection failed, or what came is no answer.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Only answers to other requests came.
    #[error("the engine answered other requests only")]
    Strays,
}

/// Sends a request and reads answers until one belongs to it.
///
/// The answer is read while the request is still written: an engine may answer before it has read a
/// long body. Such a connection is not used again.
///
/// # Errors
/// Returns that no answer came; the request may have run.
pub async fn send_request(
    lease: &mut EngineLease,
    dialect: &dyn RequestCodec,
    request: &Bytes,
    method: &str,
    id: &str,
) -> Result<EngineAnswer, SendFailure> {
    let (mut head, written) = write_and_read(&mut lease.stream, request).await?;
    let mut reusable = written;
    let mut stray = EngineAnnouncements::default();
    for _ in 0..MOST_STRAYS {
        if matches!(head.status, 100..=199) {
            head = lease.stream.read_response_head(HEAD_LIMIT).await?;
            continue;
        }
        let framing = BodyFraming::of_response(&head, method).map_err(ReadError::from)?;
        let mut decoder = BodyDecoder::new(framing);
        let facts = dialect.decode_response(&head);
        let refusal = facts.not_run || facts.misdirected;
        let own = facts.id.as_deref().map_or(refusal, |answered| answered == id);
        if own {
            reusable &= head.keeps_connection() && framing != BodyFraming::UntilClose;
            return Ok(EngineAnswer { head, facts, decoder, reusable, stray });
        }
        stray = facts.announcements.merged(stray);
        if framing == BodyFraming::UntilClose || !head.keeps_connection() {
            break;
        }
        reusable = false;
        let body = lease.stream.read_whole_body(&mut decoder, STRAY_LIMIT).await?;
        if body.is_none() {
            break;
        }
        head = lease.stream.read_response_head(HEAD_LIMIT).await?;
    }
    Err(SendFailure::Strays)
}

/// Writes the request while reading the first head; returns whether all of it was written.
async fn write_and_read(
    stream: &mut HttpStream,
    request: &Bytes,
) -> Result<(ResponseHead, bool), ReadError> {
    let (mut reader, mut writer) = stream.halves();
    let mut write = pin!(writer.write_all(request));
    let mut read = pin!(reader.read_response_head(HEAD_LIMIT));
    let mut ended = false;
    let mut written = false;
    loop {
        tokio::select! {
            biased;
            outcome = &mut write, if !ended => {
                // When writing fails, an answer may have come before; reading tells.
                ended = true;
                written = outcome.is_ok();
            }
            head = &mut read => return Ok((head?, written)),
        }
    }
}
