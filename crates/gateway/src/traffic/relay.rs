//! Relays an engine's response to the client, buffered or event by event.

use std::{io::ErrorKind, pin::pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use reelreel_core::{
    ClockMillis,
    fleet::{health::EngineOutcome, quarantine::QuarantinedTrait, routes::RouteKind},
};
use reelreel_http::{
    BodyFraming, ResponseHead,
    body::{LAST_CHUNK, write_chunk},
};

use crate::{
    engines::{EngineConnection, EngineResponse},
    traffic::{
        body_end::{BodyEnd, ResponseEnd},
        buffer_budget::{BudgetedBody, LARGE_BODY_BYTES, OverflowPolicy, read_budgeted_body},
        exchange::{ConnectionAction, Exchange, READ_AHEAD_LIMIT, SendOutcome},
        first_event::PaceObserver,
        preflight::SendRejection,
        resume::ResumeFailure,
        stream::{EventSplitter, EventTracker},
    },
};

/// Maximum size of a response body that is buffered.
const BUFFERED_BODY_LIMIT: usize = 8 * 1024 * 1024;

/// How long an unneeded response body is read so that its connection can be kept.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Time beyond the deadline in which the engine may end a response itself.
const STREAM_DEADLINE_SLACK: Duration = Duration::from_millis(120);

/// Time for which a response has to be unread for its end to be caused by that. Engines abort
/// responses that stay unread for some seconds.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Size up to which a body is copied behind its head, so that both are sent in one write.
/// Unit: bytes.
const COPIED_BODY_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of a stream that are relayed after its deadline: what had arrived by then is
/// delivered. Unit: bytes.
const LATE_BYTES_LIMIT: usize = 256 * 1024;

/// Maximum number of resumes of one stream.
const RESUME_LIMIT: u32 = 3;

/// Outcome of relaying what one engine sends of a stream.
enum SegmentOutcome {
    /// The stream is complete.
    Complete,
    /// The stream ended with its connection, which does not show whether it is complete.
    Closed,
    /// The engine's response was interrupted.
    Interrupted,
    /// A part of the prompt was quarantined before the first event of the stream.
    Quarantined(QuarantinedTrait),
    /// The client disconnected.
    ClientGone,
    /// The client did not read the response.
    ClientSlow,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// What shows the client the end of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamDelimiter {
    /// The last chunk.
    LastChunk,
    /// The close of its connection.
    Connection,
}

/// State of a stream to the client.
struct StreamProgress {
    pending_head: Option<ResponseHead>,
    splitter: EventSplitter,
    /// When events were last relayed.
    last_event: Option<ClockMillis>,
    resumable: bool,
    delimiter: StreamDelimiter,
    keep_connection: bool,
}

impl Exchange<'_> {
    /// Reads the complete body of a response.
    ///
    /// # Errors
    /// Returns the outcome of the send if the body could not be read.
    pub async fn read_full_body(
        &mut self,
        connection: &mut EngineConnection,
        response: &mut EngineResponse,
    ) -> Result<Bytes, SendOutcome> {
        // Releases the memory of an earlier send's response.
        self.response_memory = None;
        let mut memory = self.traffic.response_buffers.reservation();
        let announced = announced_length(&response.head, &self.request.head.method);
        let framing = response.framing;
        let (stream, decoder) = (&mut connection.stream, &mut response.decoder);
        let reading = async {
            let (limit, policy) = (BUFFERED_BODY_LIMIT, OverflowPolicy::Pause);
            let reading =
                read_budgeted_body(stream, decoder, announced, limit, &mut memory, policy);
            match reading.await? {
                BudgetedBody::Complete(body) => Ok(Some(body)),
                BudgetedBody::TooLarge | BudgetedBody::NoMemory => Ok(None),
            }
        };
        let outcome = tokio::select! {
            biased;
            body = reading => match body {
                Ok(Some(body)) => {
                    self.record_end(framing, BodyEnd::of_framing(framing));
                    Ok(body)
                }
                Ok(None) => Err(SendOutcome::Failed),
                Err(error) => {
                    self.record_end(framing, BodyEnd::from(&error));
                    Err(SendOutcome::Failed)
                }
            },
            () = self.client.wait_closed(READ_AHEAD_LIMIT) => {
                Err(SendOutcome::Finished(ConnectionAction::Reset, "client_gone"))
            }
            () = self.deadline.clone().expired(STREAM_DEADLINE_SLACK) =>
                Err(SendOutcome::DeadlineExceeded),
        };
        self.longest_unread = memory.paused();
        if outcome.is_ok() {
            self.response_memory = Some(memory);
        }
        outcome
    }

    /// Records how the body of a response ended.
    fn record_end(&mut self, framing: BodyFraming, end: BodyEnd) {
        self.traffic.shared.metrics.count_body_end(framing, end);
        self.response_end = Some(ResponseEnd { framing, end });
    }

    /// Returns whether the current response ended after it had been left unread for so long that
    /// its engine may have aborted it for that.
    pub(super) fn was_left_unread(&self) -> bool {
        self.longest_unread >= UNREAD_LIMIT && self.traffic.bounds_slow_readers()
    }

    /// Returns the connection to the pool if it can be reused, and closes it otherwise.
    pub fn keep_or_close(&self, connection: EngineConnection, response: &EngineResponse) {
        let fully_read = !connection.stream.has_buffered_bytes() && response.decoder.is_done();
        let (engine, incarnation) = (&connection.entry.name, connection.entry.incarnation);
        let departing = self.traffic.shared.departures().is_departing(engine, incarnation);
        if response.reusable && fully_read && !departing {
            connection.keep(response.keep_alive(), self.traffic.now());
        } else {
            connection.close();
        }
    }

    /// Reads an unneeded response body so that the connection can be kept.
    pub async fn drain_and_keep(
        &self,
        mut connection: EngineConnection,
        mut response: EngineResponse,
    ) {
        let reading = connection.stream.read_full_body(&mut response.decoder, LARGE_BODY_BYTES);
        match tokio::time::timeout(DRAIN_TIMEOUT, reading).await {
            Ok(Ok(Some(_))) => self.keep_or_close(connection, &response),
            _ => connection.close(),
        }
    }

    /// Relays a response whose body has been read.
    pub async fn relay_buffered(
        &mut self,
        response: &EngineResponse,
        body: &Bytes,
    ) -> ConnectionAction {
        // A length would vouch for the end of a body that was delimited by its connection.
        let is_open = response.framing == BodyFraming::UntilClose;
        let keep_connection = self.keeps_client_connection() && !is_open;
        let mut head = relayed_head(&response.head);
        if !is_open && !matches!(head.status, 204 | 304) && self.request.head.method != "HEAD" {
            head.fields.push("Content-Length", body.len().to_string());
        }
        if !keep_connection {
            head.fields.push("Connection", "close");
        }
        // A copy of a large body would double its memory while the client reads slowly.
        let copied = if body.len() <= COPIED_BODY_BYTES { body.len() } else { 0 };
        let mut bytes = BytesMut::with_capacity(512 + copied);
        head.write_to(&mut bytes);
        bytes.extend_from_slice(&body[..copied]);
        self.status = head.status;
        self.record_first_byte();
        self.client.reset_on_drop(is_open);
        if self.write_to_client(&bytes).await.is_err()
            || self.write_to_client(&body[copied..]).await.is_err()
        {
            return ConnectionAction::Reset;
        }
        self.client.reset_on_drop(false);
        if keep_connection { ConnectionAction::Keep } else { ConnectionAction::Close }
    }

    /// Writes to the client until the request's deadline.
    ///
    /// Nothing is read from the engine meanwhile, so that a slow client makes its engine wait.
    async fn write_to_client(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        tokio::select! {
            biased;
            written = self.client.write(bytes) => written,
            () = self.deadline.clone().expired(STREAM_DEADLINE_SLACK) =>
                Err(ErrorKind::TimedOut.into()),
        }
    }

    fn record_first_byte(&mut self) {
        if self.first_byte_ms == 0 {
            self.first_byte_ms = self.elapsed_ms().max(1);
            let seconds = Duration::from_millis(self.first_byte_ms).as_secs_f64();
            self.traffic.shared.metrics.first_byte.observe(seconds);
        }
    }

    /// Relays a stream event by event, and resumes an interrupted one at another engine if
    /// possible.
    pub async fn relay_stream(
        &mut self,
        connection: EngineConnection,
        response: EngineResponse,
        sent_at: ClockMillis,
    ) -> SendOutcome {
        // The last chunk would vouch for the end of a stream that was delimited by its connection.
        let delimiter =
            if self.request.head.is_http11 && response.framing != BodyFraming::UntilClose {
                StreamDelimiter::LastChunk
            } else {
                StreamDelimiter::Connection
            };
        let keep_connection =
            self.keeps_client_connection() && delimiter == StreamDelimiter::LastChunk;
        let mut progress = StreamProgress {
            pending_head: Some(relayed_stream_head(&response.head, delimiter, keep_connection)),
            splitter: EventSplitter::default(),
            last_event: None,
            resumable: self.route.kind == RouteKind::Stream { resumable: true },
            delimiter,
            keep_connection,
        };
        self.status = response.head.status;
        let mut segment = (connection, response, sent_at);
        let mut resumes = 0;
        loop {
            let (mut connection, mut response, sent_at) = segment;
            let entry = Arc::clone(&connection.entry);
            let mut outcome =
                self.relay_segment(&mut connection, &mut response, &mut progress, sent_at).await;
            let mut has_ended = false;
            if matches!(outcome, SegmentOutcome::Closed) {
                has_ended = self.ended_with_engine(&entry).await;
                if has_ended || connection.stream.has_failed() {
                    outcome = SegmentOutcome::Interrupted;
                }
            }
            match outcome {
                SegmentOutcome::Complete => {
                    self.record_complete_run();
                    self.keep_or_close(connection, &response);
                    return SendOutcome::Finished(self.end_stream(&mut progress).await, "answered");
                }
                SegmentOutcome::Closed => {
                    self.record_complete_run();
                    connection.close();
                    return self.end_open_stream(&mut progress).await;
                }
                SegmentOutcome::ClientGone => {
                    connection.close();
                    return SendOutcome::Finished(ConnectionAction::Reset, "client_gone");
                }
                SegmentOutcome::ClientSlow => {
                    connection.close();
                    return self.end_unread_stream();
                }
                SegmentOutcome::DeadlineExceeded => {
                    connection.close();
                    return stream_failure(&progress, "time_over");
                }
                SegmentOutcome::Quarantined(quarantined) => {
                    connection.close();
                    self.status = 0;
                    return SendOutcome::Rejected(SendRejection::Quarantined(quarantined));
                }
                SegmentOutcome::Interrupted => {
                    connection.close();
                    has_ended |= self.handle_interrupted_run(&entry).await;
                    if self.was_left_unread() {
                        // Another engine would wait for the same client.
                        return self.end_unread_stream();
                    }
                }
            }
            self.record_interruption(&entry.name, has_ended);
            if progress.pending_head.is_some() {
                // The client has got nothing, so the request may be sent again from its start.
                self.status = 0;
                return SendOutcome::Failed;
            }
            progress.splitter.drop_partial();
            resumes += 1;
            let next = if !progress.resumable {
                Err(ResumeFailure::NotResumable)
            } else if resumes > RESUME_LIMIT {
                Err(ResumeFailure::ResumeLimit)
            } else {
                let last_event = progress.last_event.unwrap_or_else(|| self.traffic.now());
                self.resume(progress.splitter.last_id(), last_event).await
            };
            match next {
                Ok(next) => segment = next,
                Err(failure) => {
                    self.record_resume_failure(failure);
                    return stream_failure(&progress, failure.outcome());
                }
            }
        }
    }

    /// Ends a stream that its client did not read.
    fn end_unread_stream(&self) -> SendOutcome {
        self.traffic.shared.metrics.unread_responses.inc();
        SendOutcome::Finished(ConnectionAction::Reset, "client_slow")
    }

    /// Relays what one engine sends of a stream.
    async fn relay_segment(
        &mut self,
        connection: &mut EngineConnection,
        response: &mut EngineResponse,
        progress: &mut StreamProgress,
        sent_at: ClockMillis,
    ) -> SegmentOutcome {
        let framing = response.framing;
        let has_events = has_events(response);
        let mut tracker = EventTracker::default();
        let mut awaiting_first_byte = true;
        let mut late_bytes = 0;
        let mut pace = PaceObserver::new(self.traffic, &self.service, &connection.entry);
        let mut lost = pin!(connection.lost(&self.traffic.shared.clock));
        let mut part_quarantined = pin!(self.part_quarantined());
        loop {
            pace.record_wait();
            let chunk = tokio::select! {
                biased;
                chunk = connection.stream.read_body(&mut response.decoder) => chunk,
                () = self.client.wait_closed(READ_AHEAD_LIMIT) => return SegmentOutcome::ClientGone,
                () = &mut lost, if progress.resumable => {
                    self.record_end(framing, BodyEnd::Abandoned);
                    return SegmentOutcome::Interrupted;
                }
                quarantined = &mut part_quarantined,
                    if awaiting_first_byte && progress.pending_head.is_some() =>
                        return SegmentOutcome::Quarantined(quarantined),
                () = self.deadline.clone().expired(STREAM_DEADLINE_SLACK) =>
                    return SegmentOutcome::DeadlineExceeded,
            };
            let data = match chunk {
                Ok(Some(data)) => data,
                Ok(None) => {
                    let end = if has_events && tracker.is_within_event() {
                        BodyEnd::WithinEvent
                    } else {
                        BodyEnd::of_framing(framing)
                    };
                    self.record_end(framing, end);
                    pace.record_end();
                    return match end {
                        BodyEnd::Announced => SegmentOutcome::Complete,
                        BodyEnd::Closed => SegmentOutcome::Closed,
                        BodyEnd::WithinEvent
                        | BodyEnd::Truncated
                        | BodyEnd::Reset
                        | BodyEnd::Abandoned => SegmentOutcome::Interrupted,
                    };
                }
                Err(error) => {
                    self.record_end(framing, BodyEnd::from(&error));
                    return SegmentOutcome::Interrupted;
                }
            };
            // The branch of the deadline is not reached while bytes are always available.
            if self.deadline.has_expired(STREAM_DEADLINE_SLACK) {
                late_bytes += data.len();
                if late_bytes > LATE_BYTES_LIMIT {
                    return SegmentOutcome::DeadlineExceeded;
                }
            }
            pace.record_data();
            tracker.push(&data);
            connection.record_received(self.traffic.now());
            if std::mem::take(&mut awaiting_first_byte) {
                connection.record_prefill_done();
                self.record_first_event();
                let (time, prompt_tokens) =
                    (self.traffic.now().since(sent_at), self.metadata.prompt.tokens());
                self.traffic.record_prefill_time(
                    &self.service,
                    prompt_tokens,
                    self.prefill_ahead,
                    time,
                );
                let delay = self.traffic.now().since(sent_at);
                self.record_outcome(&connection.entry, EngineOutcome::Answered(delay));
            }
            let events = if progress.resumable {
                match progress.splitter.push(&data) {
                    Some(events) => events,
                    None => return SegmentOutcome::Interrupted,
                }
            } else {
                data
            };
            if events.is_empty() {
                continue;
            }
            self.record_software(&connection.entry.software);
            let unread_since = self.traffic.now();
            let relayed = self.relay_events(&events, progress).await;
            self.longest_unread = self.longest_unread.max(self.traffic.now().since(unread_since));
            match relayed {
                Ok(()) => {}
                Err(error)
                    if error.kind() == ErrorKind::TimedOut
                        && self.traffic.bounds_slow_readers() =>
                {
                    return SegmentOutcome::ClientSlow;
                }
                Err(_) => return SegmentOutcome::ClientGone,
            }
        }
    }

    async fn relay_events(
        &mut self,
        events: &[u8],
        progress: &mut StreamProgress,
    ) -> std::io::Result<()> {
        let now = self.traffic.now();
        if let Some(last) = progress.last_event.replace(now) {
            self.longest_event_gap = self.longest_event_gap.max(now.since(last));
        }
        let mut bytes = BytesMut::with_capacity(events.len() + 512);
        self.write_pending_head(progress, &mut bytes);
        match progress.delimiter {
            StreamDelimiter::LastChunk => write_chunk(events, &mut bytes),
            StreamDelimiter::Connection => bytes.extend_from_slice(events),
        }
        self.write_to_client(&bytes).await
    }

    /// Appends the head of a stream to `bytes` unless it has been sent.
    fn write_pending_head(&mut self, progress: &mut StreamProgress, bytes: &mut BytesMut) {
        let Some(head) = progress.pending_head.take() else { return };
        head.write_to(bytes);
        self.record_first_byte();
        // Until its end, the stream must not look complete if this process ends.
        self.client.reset_on_drop(progress.delimiter == StreamDelimiter::Connection);
    }

    async fn end_stream(&mut self, progress: &mut StreamProgress) -> ConnectionAction {
        let end = match progress.delimiter {
            StreamDelimiter::LastChunk => LAST_CHUNK,
            StreamDelimiter::Connection => b"",
        };
        if self.write_rest(progress, end).await.is_err() {
            return ConnectionAction::Reset;
        }
        if progress.keep_connection { ConnectionAction::Keep } else { ConnectionAction::Close }
    }

    /// Ends a stream whose last segment ended with its connection.
    ///
    /// If the client expects a last chunk, it gets none: nothing shows that the stream is complete.
    async fn end_open_stream(&mut self, progress: &mut StreamProgress) -> SendOutcome {
        let outcome = match progress.delimiter {
            StreamDelimiter::Connection => "answered",
            StreamDelimiter::LastChunk => "stream_broken",
        };
        if self.write_rest(progress, b"").await.is_err() {
            return SendOutcome::Finished(ConnectionAction::Reset, outcome);
        }
        SendOutcome::Finished(ConnectionAction::Close, outcome)
    }

    /// Writes what has not been sent of a stream, and `end`.
    async fn write_rest(
        &mut self,
        progress: &mut StreamProgress,
        end: &[u8],
    ) -> std::io::Result<()> {
        let rest = progress.splitter.finish();
        let mut bytes = BytesMut::new();
        self.write_pending_head(progress, &mut bytes);
        match progress.delimiter {
            StreamDelimiter::LastChunk => write_chunk(&rest, &mut bytes),
            StreamDelimiter::Connection => bytes.extend_from_slice(&rest),
        }
        bytes.extend_from_slice(end);
        if !bytes.is_empty() {
            self.write_to_client(&bytes).await?;
        }
        self.client.reset_on_drop(false);
        Ok(())
    }
}

/// Returns the outcome of a stream that can't continue: the client still gets an error response if
/// it has got nothing, and a reset otherwise.
const fn stream_failure(progress: &StreamProgress, outcome: &'static str) -> SendOutcome {
    if progress.pending_head.is_some() {
        return SendOutcome::DeadlineExceeded;
    }
    SendOutcome::Finished(ConnectionAction::Reset, outcome)
}

/// Returns the body length that a response head announces, or zero.
fn announced_length(head: &ResponseHead, method: &str) -> usize {
    match BodyFraming::of_response(head, method) {
        Ok(BodyFraming::Length(length)) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => 0,
    }
}

/// Returns a response head without the engine's hop-by-hop fields and `Content-Length`.
fn relayed_head(head: &ResponseHead) -> ResponseHead {
    let mut fields = head.fields.end_to_end();
    fields.remove_all(&["Content-Length"]);
    ResponseHead { status: head.status, reason: head.reason.clone(), is_http11: true, fields }
}

/// Returns whether the body of a streaming route's response is a series of events.
///
/// A body of undeclared type whose framing shows its end may be another one.
fn has_events(response: &EngineResponse) -> bool {
    match response.head.fields.text("content-type") {
        Some(content_type) => {
            let media_type = content_type.split(';').next().unwrap_or_default();
            media_type.trim().eq_ignore_ascii_case("text/event-stream")
        }
        None => response.framing == BodyFraming::UntilClose,
    }
}

fn relayed_stream_head(
    head: &ResponseHead,
    delimiter: StreamDelimiter,
    keep_connection: bool,
) -> ResponseHead {
    let mut head = relayed_head(head);
    if delimiter == StreamDelimiter::LastChunk {
        head.fields.push("Transfer-Encoding", "chunked");
    }
    if !keep_connection {
        head.fields.push("Connection", "close");
    }
    head
}
