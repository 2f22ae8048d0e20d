//! Passing an engine's answer on to the client, whole or event by event.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, health::EngineOutcome, limits::share::PermitUse, routes::RouteKind},
};
use reelreel_http::{
    BodyDecoder, ResponseHead,
    body::{LAST_CHUNK, write_chunk},
};

use crate::{
    engines::{EngineAnswer, EngineLease, EnginePool, send_request},
    entry::{
        exchange::{Exchange, ExchangeEnd, SENT_AHEAD, SendEnd},
        pick::EnginePick,
        stream::EventCutter,
    },
};

/// The longest answer that is read whole before it is passed on.
const WHOLE_LIMIT: usize = 8 * 1024 * 1024;

/// How long the rest of an answer that nobody needs is read for, to keep its connection.
const DRAIN_PATIENCE: Duration = Duration::from_millis(50);

/// How long an open stream may go on beyond the request's time, for the engine's own end.
const STREAM_SLACK: Duration = Duration::from_millis(120);

/// How many times one answer goes on at another engine.
const MOST_RESUMES: u32 = 3;

/// How passing an engine's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// The engine broke off.
    Broken,
    /// The client is gone.
    ClientGone,
    /// The time is over.
    TimeOver,
}

/// What the client has got of a stream so far.
struct StreamProgress {
    head: Option<ResponseHead>,
    cutter: EventCutter,
    /// When events were last passed on.
    last_event: Option<ClockMillis>,
    resumable: bool,
    chunked: bool,
    keep: bool,
}

impl Exchange<'_> {
    /// Reads an answer's body whole.
    ///
    /// # Errors
    /// Returns how the send ended instead.
    pub async fn read_whole(
        &mut self,
        lease: &mut EngineLease,
        answer: &mut EngineAnswer,
    ) -> Result<Bytes, SendEnd> {
        let reading = lease.stream.read_whole_body(&mut answer.decoder, WHOLE_LIMIT);
        tokio::select! {
            biased;
            body = reading => match body {
                Ok(Some(body)) => Ok(body),
                Ok(None) | Err(_) => Err(SendEnd::Failed),
            },
            () = self.client.closed(SENT_AHEAD) => {
                Err(SendEnd::Over(ExchangeEnd::Reset, "client_gone"))
            }
            () = self.deadline.clone().over(STREAM_SLACK) => Err(SendEnd::TimeOver),
        }
    }

    /// Keeps the engine's connection if it may serve another request.
    pub fn keep_or_close(&self, lease: EngineLease, answer: &EngineAnswer) {
        let clean = !lease.stream.has_unused_bytes() && answer.decoder.is_done();
        let (engine, born) = (&lease.entry.name, lease.entry.incarnation);
        let departing = self.traffic.shared.departures().is_departing(engine, born);
        if answer.reusable && clean && !departing {
            lease.keep(answer.kept(), self.traffic.now());
        } else {
            lease.close();
        }
    }

    /// Reads the rest of an answer that nobody needs, to keep its connection.
    pub async fn drain_and_keep(&self, mut lease: EngineLease, mut answer: EngineAnswer) {
        let reading = lease.stream.read_whole_body(&mut answer.decoder, WHOLE_LIMIT);
        match tokio::time::timeout(DRAIN_PATIENCE, reading).await {
            Ok(Ok(Some(_))) => self.keep_or_close(lease, &answer),
            _ => lease.close(),
        }
    }

    /// Passes a whole answer on.
    pub async fn pass_whole(&mut self, answer: &EngineAnswer, body: &Bytes) -> ExchangeEnd {
        let keep = self.keeps_client();
        let mut head = client_head(&answer.head);
        if !matches!(head.status, 204 | 304) && self.request.head.method != "HEAD" {
            head.fields.push("Content-Length", body.len().to_string());
        }
        if !keep {
            head.fields.push("Connection", "close");
        }
        let mut bytes = BytesMut::with_capacity(512 + body.len());
        head.write_to(&mut bytes);
        bytes.extend_from_slice(body);
        self.status = head.status;
        self.note_first();
        if self.write_client(&bytes).await.is_err() {
            return ExchangeEnd::Reset;
        }
        if keep { ExchangeEnd::Keep } else { ExchangeEnd::Close }
    }

    /// Writes to the client, for no longer than the request's time.
    async fn write_client(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        tokio::select! {
            biased;
            written = self.client.write(bytes) => written,
            () = self.deadline.clone().over(STREAM_SLACK) => Err(ErrorKind::TimedOut.into()),
        }
    }

    fn note_first(&mut self) {
        if self.first == 0 {
            self.first = self.elapsed().max(1);
            let seconds = Duration::from_millis(self.first).as_secs_f64();
            self.traffic.shared.metrics.first_byte.observe(seconds);
        }
    }

    /// Passes a stream on event by event, and takes a resumable one up elsewhere when it breaks.
    pub async fn pass_stream(
        &mut self,
        lease: EngineLease,
        answer: EngineAnswer,
        began: ClockMillis,
    ) -> SendEnd {
        let chunked = self.request.head.modern;
        let keep = self.keeps_client() && chunked;
        let mut progress = StreamProgress {
            head: Some(stream_head(&answer.head, chunked, keep)),
            cutter: EventCutter::default(),
            last_event: None,
            resumable: self.route.kind == RouteKind::Stream { resumable: true },
            chunked,
            keep,
        };
        self.status = answer.head.status;
        let mut part = (lease, answer, began);
        let mut resumes = 0;
        loop {
            let (mut lease, mut answer, began) = part;
            let entry = Arc::clone(&lease.entry);
            let end = self.pass_part(&mut lease, &mut answer.decoder, &mut progress, began).await;
            match end {
                PartEnd::Whole => {
                    self.ran_whole();
                    self.keep_or_close(lease, &answer);
                    return SendEnd::Over(self.end_stream(&mut progress).await, "answered");
                }
                PartEnd::ClientGone => {
                    lease.close();
                    return SendEnd::Over(ExchangeEnd::Reset, "client_gone");
                }
                PartEnd::TimeOver => {
                    lease.close();
                    return stream_failed(&progress, "time_over");
                }
                PartEnd::Broken => {
                    lease.close();
                    self.broke_off(&entry).await;
                }
            }
            if progress.head.is_some() {
                // Nothing has reached the client: the request may go elsewhere as a whole.
                self.status = 0;
                return SendEnd::Failed;
            }
            progress.cutter.drop_partial();
            resumes += 1;
            if !progress.resumable || resumes > MOST_RESUMES {
                return stream_failed(&progress, "stream_broken");
            }
            match self.resume(&entry, &progress).await {
                Some(next) => part = next,
                None => return stream_failed(&progress, "stream_broken"),
            }
        }
    }

    /// Passes on what one engine sends of a stream.
    async fn pass_part(
        &mut self,
        lease: &mut EngineLease,
        decoder: &mut BodyDecoder,
        progress: &mut StreamProgress,
        began: ClockMillis,
    ) -> PartEnd {
        let mut first = true;
        loop {
            let part = tokio::select! {
                biased;
                part = lease.stream.read_body(decoder) => part,
                () = self.client.closed(SENT_AHEAD) => return PartEnd::ClientGone,
                () = self.deadline.clone().over(STREAM_SLACK) => return PartEnd::TimeOver,
            };
            let data = match part {
                Ok(Some(data)) => data,
                Ok(None) => return PartEnd::Whole,
                Err(_) => return PartEnd::Broken,
            };
            if std::mem::take(&mut first) {
                lease.prompt_read();
                let (time, prompt) = (self.traffic.now().since(began), self.facts.prompt.tokens());
                self.traffic.note_reading(&self.service, prompt, self.ahead, time);
                let delay = self.traffic.now().since(began);
                self.note(&lease.entry, EngineOutcome::Answered(delay));
            }
            let events = if progress.resumable {
                match progress.cutter.push(&data) {
                    Some(events) => events,
                    None => return PartEnd::Broken,
                }
            } else {
                data
            };
            if events.is_empty() {
                continue;
            }
            if self.pass_events(&events, progress).await.is_err() {
                return PartEnd::ClientGone;
            }
        }
    }

    async fn pass_events(
        &mut self,
        events: &[u8],
        progress: &mut StreamProgress,
    ) -> std::io::Result<()> {
        let now = self.traffic.now();
        if let Some(last) = progress.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        let mut bytes = BytesMut::with_capacity(events.len() + 512);
        if let Some(head) = progress.head.take() {
            head.write_to(&mut bytes);
            self.note_first();
        }
        if progress.chunked {
            write_chunk(events, &mut bytes);
        } else {
            bytes.extend_from_slice(events);
        }
        self.write_client(&bytes).await
    }

    async fn end_stream(&mut self, progress: &mut StreamProgress) -> ExchangeEnd {
        let rest = progress.cutter.finish();
        let mut bytes = BytesMut::new();
        if let Some(head) = progress.head.take() {
            head.write_to(&mut bytes);
            self.note_first();
        }
        if progress.chunked {
            write_chunk(&rest, &mut bytes);
            bytes.extend_from_slice(LAST_CHUNK);
        } else {
            bytes.extend_from_slice(&rest);
        }
        if !bytes.is_empty() && self.write_client(&bytes).await.is_err() {
            return ExchangeEnd::Reset;
        }
        if progress.keep { ExchangeEnd::Keep } else { ExchangeEnd::Close }
    }

    /// Takes a broken stream up at another engine, after the last event that the client has.
    async fn resume(
        &mut self,
        broken: &EngineEntry,
        progress: &StreamProgress,
    ) -> Option<(EngineLease, EngineAnswer, ClockMillis)> {
        let used_up = self.sent_to.len() >= self.route.attempt_limit.max(1) as usize;
        if used_up || !self.may_send_again() {
            return None;
        }
        let excluded = [Arc::clone(&broken.name)];
        let pick = self.pick_to_resume(&excluded).await;
        let EnginePick::Engine(entry, version) = pick else { return None };
        let mut permit = self.hold_permit(&entry, PermitUse::Resumed)?;
        let now = self.traffic.now();
        let terms = self.connect_terms(true);
        let connecting = EnginePool::connect(&self.traffic.pool, &entry, terms, now);
        let mut lease = connecting.await.ok()?;
        let Ok(request) = self.begin_send(&entry, version, progress.cutter.last_id(), &mut permit)
        else {
            lease.close();
            return None;
        };
        self.traffic.shared.metrics.resumes.inc();
        let dialect = Arc::clone(&self.traffic.shared.codecs.request);
        let (method, id) = (self.request.head.method.clone(), self.facts.id.clone());
        let sending = send_request(&mut lease, &*dialect, &request, &method, &id);
        let answer = tokio::select! {
            biased;
            answer = sending => Some(answer),
            () = self.client.closed(SENT_AHEAD) => None,
            () = self.deadline.clone().over(Duration::ZERO) => None,
        };
        if let Some(Ok(answer)) = &answer {
            self.note_announcements(&entry, answer, now);
        }
        match answer {
            Some(Ok(answer))
                if answer.head.status == 200
                    && answer.facts.signed
                    && !self.ran_on_other(&entry, &answer, version) =>
            {
                Some((lease, answer, now))
            }
            Some(Err(_)) => {
                lease.close();
                self.broke_off(&entry).await;
                None
            }
            _ => {
                lease.close();
                None
            }
        }
    }
}

/// Ends a stream that can not go on: with an answer, as long as the client has got nothing.
const fn stream_failed(progress: &StreamProgress, outcome: &'static str) -> SendEnd {
    if progress.head.is_some() {
        return SendEnd::TimeOver;
    }
    SendEnd::Over(ExchangeEnd::Reset, outcome)
}

/// Returns an engine's head without what concerned only its connection and framing.
fn client_head(head: &ResponseHead) -> ResponseHead {
    let mut fields = head.fields.end_to_end();
    fields.remove_all(&["Content-Length"]);
    ResponseHead { status: head.status, reason: head.reason.clone(), modern: true, fields }
}

fn stream_head(head: &ResponseHead, chunked: bool, keep: bool) -> ResponseHead {
    let mut head = client_head(head);
    if chunked {
        head.fields.push("Transfer-Encoding", "chunked");
    }
    if !keep {
        head.fields.push("Connection", "close");
    }
    head
}
