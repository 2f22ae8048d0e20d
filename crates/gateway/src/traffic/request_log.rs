//! Metrics and log event of a completed request.

use std::time::Duration;

use reelreel_core::{clock::duration_millis, fleet::quarantine::format_mark};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    events::{HostEvent, RequestEvent},
    metrics::RequestLabels,
    traffic::{body_end::BodyEnd, exchange::Exchange},
};

/// One in this many requests that were answered in time is logged.
pub const LOG_SAMPLE_INTERVAL: u64 = 16;

/// Maximum number of prompt parts in a log event.
const LOGGED_PART_LIMIT: usize = 16;

impl Exchange<'_> {
    /// Records the outcome of the request in the metrics and the event log.
    ///
    /// Requests that were answered in time are sampled, unless a response was broken off or a stream
    /// was resumed.
    pub fn log(&self, outcome: &'static str) {
        let shared = &self.traffic.shared;
        let labels = RequestLabels { route: self.route.name.clone(), outcome: outcome.to_owned() };
        shared.metrics.requests.get_or_create(&labels).inc();
        if let Some(organisation) = &self.organisation {
            shared.metrics.count_organisation(&organisation.name, outcome);
        }
        self.record_return();
        self.record_slot_time(outcome);
        let late = outcome == "answered" && self.is_late();
        let id_hash = xxh3_64(self.metadata.id.as_bytes());
        let unusual_end = self.response_end.filter(|response| response.end != BodyEnd::Announced);
        let broken_off = unusual_end.is_some_and(|response| response.end != BodyEnd::Closed);
        let resumed = self.metadata.resumed.as_ref();
        let joined: Vec<String> = match &self.software[..] {
            [_, _, ..] => self.software.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        };
        let logged_parts = if outcome == "answered" { 0 } else { LOGGED_PART_LIMIT };
        let parts = self.traits.shared().take(logged_parts);
        let answered_in_time = outcome == "answered" && !late && !broken_off;
        let answered_in_time = answered_in_time && resumed.is_none() && joined.is_empty();
        if answered_in_time && !id_hash.is_multiple_of(LOG_SAMPLE_INTERVAL) {
            return;
        }
        shared.events.write(HostEvent::Request(Box::new(RequestEvent {
            id: self.metadata.id.clone(),
            route: self.route.name.clone(),
            outcome: outcome.into(),
            late,
            organisation: self.organisation.as_ref().map(|entry| entry.name.to_string()),
            fingerprint: None,
            mark: (outcome != "answered").then(|| format_mark(self.traits.request_mark())),
            parts: parts.map(|part| format_mark(part.mark)).collect(),
            held_by: self.held_by.map(format_mark),
            status: self.status,
            retry_after: self.retry_after.map(duration_millis),
            key: self.metadata.model.as_ref().map(ToString::to_string),
            engine: self.sent_to.last().map(ToString::to_string),
            software: self.software.last().map(ToString::to_string),
            resumes: resumed.map(|resumed| resumed.begun_as.clone().unwrap_or_default()),
            joined,
            limited_by: self.limited_by.as_ref().map(ToString::to_string),
            cooling_by: self.cooling_by.as_ref().map(ToString::to_string),
            level: self.refused_at_level,
            sends: self.sends,
            rejections: self.rejections,
            same_connection: self.same_connection,
            unconnected: self.failed_connects,
            connect_failure: self.connect_failure.map(|failure| failure.name().into()),
            tunnel: self.tunnel_host.map(|address| address.to_string()),
            prompt: self.metadata.prompt.tokens(),
            waited: duration_millis(self.waited),
            cold: self.cold_cause.map(|cause| cause.name().into()),
            sent: self.last_sent_ms,
            first: self.first_byte_ms,
            pause: duration_millis(self.longest_event_gap),
            body_end: unusual_end.map(|response| response.end.name().into()),
            framing: unusual_end.map(|response| response.framing.name().into()),
            not_resumed: self.resume_failure.map(|failure| failure.name().into()),
            total: self.elapsed_ms(),
            revision: self.revision,
        })));
    }

    /// Returns whether the first byte missed the latency target or a gap between events was too
    /// long.
    fn is_late(&self) -> bool {
        let first_byte = Duration::from_millis(self.first_byte_ms);
        let gap_exceeded =
            self.route.max_event_gap.is_some_and(|limit| self.longest_event_gap > limit);
        first_byte > self.route.latency_target || gap_exceeded
    }
}
