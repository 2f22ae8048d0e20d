//! Streams that clients resume: only at engines of the software version that began them.

use std::{sync::Arc, time::Duration};

use reelreel_core::fleet::{
    EngineEntry, SoftwareVersion,
    routes::RouteKind,
    stream_origins::{StreamId, stream_id},
};

use crate::{
    peers::origins::find_origin,
    traffic::{
        exchange::{ConnectionAction, Exchange},
        local_response::LocalResponse,
    },
};

/// Nobody knows which software version began a stream.
const UNKNOWN_ORIGIN: LocalResponse = LocalResponse::refusal(
    "it is not known which software version began this stream; begin it anew",
    Duration::from_millis(100),
);

/// No engine runs the software version that began a stream.
const ORIGIN_GONE: LocalResponse = LocalResponse::refusal(
    "no engine runs the software version that began this stream; begin it anew",
    Duration::from_millis(100),
);

impl Exchange<'_> {
    /// Finds the software version that a resumed stream needs; returns the result of a refusal if it
    /// can't go on.
    pub(super) async fn find_required_software(
        &mut self,
    ) -> Option<(ConnectionAction, &'static str)> {
        let resumable = self.route.kind == RouteKind::Stream { resumable: true };
        let resumed = self.metadata.resumed.as_ref().filter(|_| resumable)?;
        let software = match &resumed.begun_as {
            Some(attempt) => find_origin(&self.traffic.shared, stream_id(attempt)).await,
            None => self.sole_software(),
        };
        let Some(software) = software else {
            return Some(self.respond(UNKNOWN_ORIGIN, "origin_unknown").await);
        };
        let table = self.traffic.table();
        let runs = table.ready_engines(&self.service).any(|entry| entry.software == software);
        self.required_software = Some(software);
        if !runs {
            return Some(self.respond(ORIGIN_GONE, "software_gone").await);
        }
        None
    }

    /// Returns the only software version that can have begun a stream of the service, if there is only
    /// one.
    fn sole_software(&self) -> Option<SoftwareVersion> {
        let table = self.traffic.table();
        let listed = table.engines.get(&self.service).into_iter().flatten();
        let origins = self.traffic.shared.stream_origins();
        origins.sole_software(&self.service, listed.map(|entry| &**entry), self.traffic.now())
    }

    /// Records the software version of an engine whose events are relayed. The first one is that of
    /// the stream.
    pub(super) fn record_software(&mut self, software: &SoftwareVersion) {
        if self.software.last() == Some(software) {
            return;
        }
        if self.software.is_empty() {
            self.record_origin(software);
        } else {
            self.traffic.shared.metrics.streams.software_joins.inc();
        }
        self.software.push(Arc::clone(software));
    }

    /// Records which software version began the stream, also for other hosts.
    fn record_origin(&self, software: &SoftwareVersion) {
        if self.route.kind != (RouteKind::Stream { resumable: true }) {
            return;
        }
        let now = self.traffic.now();
        self.traffic.shared.stream_origins().record(self.stream_id(), software, now);
    }

    /// Returns the identity of the stream that the request begins or resumes.
    fn stream_id(&self) -> StreamId {
        let resumed = self.metadata.resumed.as_ref();
        let begun_as = resumed.and_then(|resumed| resumed.begun_as.as_deref());
        stream_id(begun_as.unwrap_or(&self.metadata.id))
    }

    /// Returns the software version that the engine of the next run must have, if any: that of the
    /// events which the client has got.
    pub(super) fn needed_software(&self) -> Option<&SoftwareVersion> {
        self.software.first().or(self.required_software.as_ref())
    }

    /// Returns whether an engine runs the software version that the next run needs.
    pub(super) fn allows_software(&self, entry: &EngineEntry) -> bool {
        self.needed_software().is_none_or(|software| *software == entry.software)
    }
}
