//! Metrics of a host, in the Prometheus text format.

mod cold;
mod host_load;
mod quarantine;
mod streams;
mod tunnels;

use std::{
    collections::BTreeSet,
    sync::{Mutex, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use reelreel_core::fleet::{
    announcement::{Declared, EngineAnnouncements},
    engine_choice::HealthSignal,
    engine_links::ConnectFailure,
    service_limit::PublishedLimit,
};
use reelreel_http::BodyFraming;

use crate::traffic::body_end::BodyEnd;

pub use crate::metrics::{
    cold::ColdMetrics,
    host_load::{HostLoadMetrics, IntakePauseCause},
    quarantine::QuarantineMetrics,
    streams::StreamMetrics,
    tunnels::TunnelMetrics,
};

/// Labels of request counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The route, or `none`.
    pub route: String,
    /// How the request ended.
    pub outcome: String,
}

/// Labels of counters of frames between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FrameLabels {
    /// The kind of frame.
    pub kind: String,
}

/// Maximum number of organisations with counters of their own, in order of first use. Others share a counter, which
/// bounds the number of time series.
const MAX_ORGANISATIONS: usize = 64;

/// Labels of organisation counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrganisationLabels {
    /// The organisation, or `others`.
    pub organisation: String,
    /// How the request ended.
    pub outcome: String,
}

/// Labels of order counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// Load or unload.
    pub kind: String,
    /// The engine's response.
    pub answer: String,
}

/// The purpose of a call to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EngineCallKind {
    /// The first attempt at a client's request.
    Request,
    /// A retry of a request.
    Repeat,
    /// The resumption of an interrupted stream.
    Resume,
    /// An order to load or unload a model or adapter.
    Order,
    /// A request for the engine's report of its loaded models.
    Report,
}

/// Labels of counters of calls to engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineCallLabels {
    /// The purpose of the call.
    pub kind: EngineCallKind,
    /// Whether the engine had declared a limit.
    pub limited: bool,
}

/// Kinds of announcements in engines' responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AnnouncementKind {
    /// The engine's request limit over all hosts.
    Limit,
    /// The engine is leaving.
    Departure,
    /// The engine requests a cooldown from this host.
    Cooldown,
    /// The engine is brittle.
    RejectionBound,
    /// A malformed announcement, which has no effect.
    Unreadable,
}

/// Labels of announcement counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnnouncementLabels {
    /// The kind of announcement.
    pub kind: AnnouncementKind,
}

/// Labels of counters of rejections by engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectionLabels {
    /// Whether the rejected request was a retry.
    pub repeat: bool,
    /// Whether the engine requested a cooldown.
    pub cooldown: bool,
    /// Whether the rejection carries the request's id.
    pub has_id: bool,
}

/// The connection over which a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RepeatConnection {
    /// One that has carried the request before.
    Same,
    /// Another one that was open.
    Other,
    /// A new one.
    New,
}

/// Labels of the counter of repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RepeatLabels {
    /// The connection.
    pub connection: RepeatConnection,
}

/// Labels of the counter of skipped responses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SkippedLabels {
    /// Whether the response carries an id, which is another request's.
    pub has_id: bool,
}

/// What became of a request to a plain service whose limit all hosts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ServiceDecision {
    /// Admitted.
    Admitted,
    /// Refused by the limit.
    Refused,
    /// Sent to a full server.
    ServerFull,
}

/// Labels of the counters of decisions about plain services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceDecisionLabels {
    /// The service.
    pub service: String,
    /// The decision.
    pub decision: ServiceDecision,
}

/// Labels of the limits of plain services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Labels of the counter of choices diverted by an engine's health.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HealthDiversionLabels {
    /// The health signal: failures, delay or backoff.
    pub signal: &'static str,
}

/// Labels of the counter of engines chosen by their expected time to the first event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FirstEventChoiceLabels {
    /// The age of the engines' reported work: current or stale.
    pub view: &'static str,
    /// The engine's data hall: own or other.
    pub hall: &'static str,
}

/// Labels of the counter of failed connects to engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectFailureLabels {
    /// Why the connection was not established.
    pub cause: &'static str,
}

/// Labels of the counter of read bodies of engines' responses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BodyEndLabels {
    /// The framing of the body.
    pub framing: &'static str,
    /// How the body ended.
    pub end: &'static str,
}

/// The metrics of a host.
pub struct HostMetrics {
    registry: Mutex<Registry>,
    /// Requests by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests by organisation and outcome.
    organisation_requests: Family<OrganisationLabels, Counter>,
    /// The organisations with counters of their own.
    labelled_organisations: Mutex<BTreeSet<String>>,
    /// Time to the first byte of a response.
    pub first_byte: Histogram,
    /// Time that requests waited for an adapter to load.
    pub load_wait: Histogram,
    /// Orders by kind and response.
    pub orders: Family<OrderLabels, Counter>,
    /// Retries of requests.
    pub retries: Counter,
    /// Retries denied by the retry budget.
    pub retries_refused: Counter,
    /// New connections to engines.
    pub engine_connects: Counter,
    /// Failed connects to engines, by cause.
    connect_failures: Family<ConnectFailureLabels, Counter>,
    /// Engines to which the last connect failed.
    pub unconnected_engines: Gauge,
    /// Failed calls to the store.
    pub store_failures: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// The latest known era of the store.
    pub store_era: Gauge,
    /// Offset up to which this host knows the configuration topic.
    pub configuration_read_to: Gauge,
    /// Offset up to which this host knows the engines' topic.
    pub engines_read_to: Gauge,
    /// Bytes of frames sent to other hosts, by kind.
    pub peer_sent_bytes: Family<FrameLabels, Counter>,
    /// Whether another host reads the store for this one.
    pub following: Gauge,
    /// Number of hosts that share fleet-wide budgets.
    pub hosts: Gauge,
    /// Whether that number is assumed, because no placer has reported it yet.
    pub hosts_assumed: Gauge,
    /// Open client connections.
    pub connections: Gauge,
    /// Open requests.
    pub open_requests: Gauge,
    /// Memory reserved for the bodies of requests and responses. Unit: bytes.
    pub buffered_bytes: Gauge,
    /// Requests refused because the memory for bodies was used up.
    pub buffers_refused: Counter,
    /// Bodies of engines' responses, by framing and end.
    body_ends: Family<BodyEndLabels, Counter>,
    /// Responses that ended because their clients did not read them.
    pub unread_responses: Counter,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Placement leases that this host holds.
    pub leases: Gauge,
    /// Listed engines.
    pub engines: Gauge,
    /// Engines that ended, and requests in quarantine.
    pub quarantine: QuarantineMetrics,
    /// Engines with a declared limit.
    pub limited_engines: Gauge,
    /// Requests diverted from the best engine because of its limit.
    pub limit_diverted: Counter,
    /// Requests that waited for a permit.
    pub limit_waited: Counter,
    /// Requests refused because no permit was available in time.
    pub limit_refused: Counter,
    /// Engine choices that skipped an engine in a cooldown.
    pub cooldown_diverted: Counter,
    /// Requests that waited for the end of a cooldown or for another copy.
    pub cooldown_waited: Counter,
    /// Requests refused because all suitable engines were in a cooldown.
    pub cooldown_refused: Counter,
    /// Responses dropped because they ran on another version of the weights than requested.
    pub other_versions: Counter,
    /// Calls to engines by purpose.
    engine_calls: Family<EngineCallLabels, Counter>,
    /// Announcements in engines' responses, by kind.
    announcements: Family<AnnouncementLabels, Counter>,
    /// Requests rejected by engines.
    rejections: Family<RejectionLabels, Counter>,
    /// Requests that were sent again, by connection.
    repeats: Family<RepeatLabels, Counter>,
    /// Responses of engines that did not belong to the request of their connection.
    skipped_responses: Family<SkippedLabels, Counter>,
    /// Engine choices that skipped the least loaded engine because of its health, by signal.
    health_diversions: Family<HealthDiversionLabels, Counter>,
    /// Requests to plain services by decision.
    service_decisions: Family<ServiceDecisionLabels, Counter>,
    /// The published limits of plain services; -1 where there is none.
    service_limits: Family<ServiceLabels, Gauge>,
    /// Engines chosen by their expected time to the first event.
    first_event_choices: Family<FirstEventChoiceLabels, Counter>,
    /// Listed engines that are leaving.
    pub departing_engines: Gauge,
    /// Engines in a cooldown that they requested from this host.
    pub cooling_engines: Gauge,
    /// Requests whose adapter no engine holds.
    pub cold: ColdMetrics,
    /// Use of the host's own resources.
    pub host_load: HostLoadMetrics,
    /// Resumed streams.
    pub streams: StreamMetrics,
    /// Links to engines, and tunnels.
    pub tunnels: TunnelMetrics,
    /// Fraction of a service's requests that are admitted by priority.
    pub admission_level: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
}

/// Returns the kind under which a declaration is counted, unless it is absent.
const fn declared_kind<Value>(
    declared: &Declared<Value>,
    kind: AnnouncementKind,
) -> Option<AnnouncementKind> {
    match declared {
        Declared::Absent => None,
        Declared::Present(_) => Some(kind),
        Declared::Unreadable => Some(AnnouncementKind::Unreadable),
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

impl Default for HostMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::default(),
            requests: Family::default(),
            organisation_requests: Family::default(),
            labelled_organisations: Mutex::default(),
            first_byte: latency_histogram(),
            load_wait: latency_histogram(),
            orders: Family::default(),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            engine_connects: Counter::default(),
            connect_failures: Family::default(),
            unconnected_engines: Gauge::default(),
            store_failures: Counter::default(),
            store_calls: Counter::default(),
            store_era: Gauge::default(),
            configuration_read_to: Gauge::default(),
            engines_read_to: Gauge::default(),
            peer_sent_bytes: Family::default(),
            following: Gauge::default(),
            hosts: Gauge::default(),
            hosts_assumed: Gauge::default(),
            connections: Gauge::default(),
            open_requests: Gauge::default(),
            buffered_bytes: Gauge::default(),
            buffers_refused: Counter::default(),
            body_ends: Family::default(),
            unread_responses: Counter::default(),
            revision: Gauge::default(),
            leases: Gauge::default(),
            engines: Gauge::default(),
            quarantine: QuarantineMetrics::default(),
            limited_engines: Gauge::default(),
            limit_diverted: Counter::default(),
            limit_waited: Counter::default(),
            limit_refused: Counter::default(),
            cooldown_diverted: Counter::default(),
            cooldown_waited: Counter::default(),
            cooldown_refused: Counter::default(),
            other_versions: Counter::default(),
            engine_calls: Family::default(),
            announcements: Family::default(),
            rejections: Family::default(),
            repeats: Family::default(),
            skipped_responses: Family::default(),
            health_diversions: Family::default(),
            service_decisions: Family::default(),
            service_limits: Family::default(),
            first_event_choices: Family::default(),
            departing_engines: Gauge::default(),
            cooling_engines: Gauge::default(),
            cold: ColdMetrics::default(),
            host_load: HostLoadMetrics::default(),
            streams: StreamMetrics::default(),
            tunnels: TunnelMetrics::default(),
            admission_level: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl HostMetrics {
    fn register(&self) {
        let mut registry = Registry::with_prefix("reelreel");
        registry.register("requests", "Requests by route and outcome", self.requests.clone());
        let help = "Requests by organisation and outcome";
        registry.register("organisation_requests", help, self.organisation_requests.clone());
        let help = "Time to the first byte of an answer, in seconds";
        registry.register("first_byte_seconds", help, self.first_byte.clone());
        let help = "Time that requests waited for an adapter, in seconds";
        registry.register("load_wait_seconds", help, self.load_wait.clone());
        registry.register("orders", "Orders to engines by kind and answer", self.orders.clone());
        registry.register("retries", "Requests sent again", self.retries.clone());
        let help = "Further sends that the retry budget refused";
        registry.register("retries_refused", help, self.retries_refused.clone());
        self.quarantine.register(&mut registry);
        let help = "Engines that have said how many requests a second they take";
        registry.register("limited_engines", help, self.limited_engines.clone());
        let help =
            "Requests that went to another engine than the one that was best but for its limit";
        registry.register("limit_diverted", help, self.limit_diverted.clone());
        let help = "Requests that waited for a permit of an engine that has named a limit";
        registry.register("limit_waited", help, self.limit_waited.clone());
        let help = "Requests that were refused since engines had named limits";
        registry.register("limit_refused", help, self.limit_refused.clone());
        let help =
            "Calls to engines by what they were for, and whether the engine had named a limit";
        registry.register("engine_calls", help, self.engine_calls.clone());
        let help = "Responses of engines that announce something, by what they announce";
        registry.register("engine_announcements", help, self.announcements.clone());
        let help = "Requests that engines rejected, and whether they asked for a cooldown";
        registry.register("engine_rejections", help, self.rejections.clone());
        let help = "Choices that passed over an engine within a cooldown";
        registry.register("cooldown_diverted", help, self.cooldown_diverted.clone());
        let help = "Requests that waited for the end of a cooldown, or for another copy";
        registry.register("cooldown_waited", help, self.cooldown_waited.clone());
        let help = "Requests that were refused since engines were within a cooldown";
        registry.register("cooldown_refused", help, self.cooldown_refused.clone());
        let help = "Answers on another version of weights than was asked for, which were dropped";
        registry.register("other_versions", help, self.other_versions.clone());
        let help = "Choices that skipped the least loaded engine because of its health";
        registry.register("health_diverted", help, self.health_diversions.clone());
        let help = "Requests to plain services, and sends to full servers, by decision";
        registry.register("service_decisions", help, self.service_decisions.clone());
        let help = "Published limits of plain services in requests per second, or -1";
        registry.register("service_limit", help, self.service_limits.clone());
        let help = "Engines chosen by their expected time to the first event";
        registry.register("first_event_choices", help, self.first_event_choices.clone());
        let help = "Listed engines that are leaving";
        registry.register("departing_engines", help, self.departing_engines.clone());
        let help = "Engines within a cooldown that they have asked this host for";
        registry.register("cooling_engines", help, self.cooling_engines.clone());
        let help = "Fraction of a service's requests that this host admits, by priority and share";
        registry.register("admission_level", help, self.admission_level.clone());
        registry.register(
            "engine_connects",
            "New connections to engines",
            self.engine_connects.clone(),
        );
        let help = "Failed connects to engines, by cause";
        registry.register("engine_connect_failures", help, self.connect_failures.clone());
        let help = "Engines to which the last connect failed";
        registry.register("unconnected_engines", help, self.unconnected_engines.clone());
        let help = "Calls to the store without a useful answer";
        registry.register("store_failures", help, self.store_failures.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let help =
            "How often the store has come back from an older copy, as far as this host has heard";
        registry.register("store_era", help, self.store_era.clone());
        let help = "Up to which offset of the operator's topic this host knows it";
        registry.register("configuration_read_to", help, self.configuration_read_to.clone());
        let help = "Up to which offset of the engines' topic this host knows it";
        registry.register("engines_read_to", help, self.engines_read_to.clone());
        let help = "Bytes of frames sent to other hosts by kind";
        registry.register("peer_sent_bytes", help, self.peer_sent_bytes.clone());
        let help = "Whether another host reads the store for this one";
        registry.register("following", help, self.following.clone());
        let help = "Hosts that share what is counted over all of them";
        registry.register("hosts", help, self.hosts.clone());
        let help = "Whether that number is assumed, since no placer has reported it";
        registry.register("hosts_assumed", help, self.hosts_assumed.clone());
        registry.register("connections", "Open client connections", self.connections.clone());
        registry.register("open_requests", "Open requests", self.open_requests.clone());
        let help = "Memory reserved for the bodies of requests and responses";
        registry.register("buffered_bytes", help, self.buffered_bytes.clone());
        let help = "Requests refused because the memory for bodies was used up";
        registry.register("buffers_refused", help, self.buffers_refused.clone());
        let help = "Bodies of engines' responses, by framing and how they ended";
        registry.register("engine_body_ends", help, self.body_ends.clone());
        let help = "Responses that ended because their clients did not read them";
        registry.register("unread_responses", help, self.unread_responses.clone());
        registry.register("configuration", "Configuration in force", self.revision.clone());
        registry.register("leases", "Placement leases that are held", self.leases.clone());
        registry.register("engines", "Engines that are listed", self.engines.clone());
        self.cold.register(&mut registry);
        self.host_load.register(&mut registry);
        self.streams.register(&mut registry);
        self.tunnels.register(&mut registry);
        self.register_repeats(&mut registry);
        *self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = registry;
    }

    fn register_repeats(&self, registry: &mut Registry) {
        let help =
            "Requests that were sent again, by whether their connection had carried them before";
        registry.register("engine_repeats", help, self.repeats.clone());
        let help = "Responses of engines that were skipped since they belonged to another request";
        registry.register("engine_skipped_responses", help, self.skipped_responses.clone());
    }

    /// Counts a request of an organisation.
    pub fn count_organisation(&self, organisation: &str, outcome: &str) {
        let mut labelled_organisations =
            self.labelled_organisations.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let has_own_counters = labelled_organisations.contains(organisation)
            || labelled_organisations.len() < MAX_ORGANISATIONS;
        if has_own_counters && !labelled_organisations.contains(organisation) {
            labelled_organisations.insert(organisation.to_owned());
        }
        drop(labelled_organisations);
        let organisation = if has_own_counters { organisation } else { "others" };
        let (organisation, outcome) = (organisation.to_owned(), outcome.to_owned());
        self.organisation_requests
            .get_or_create(&OrganisationLabels { organisation, outcome })
            .inc();
    }

    /// Counts a decision about a request to a plain service.
    pub fn count_service_decision(&self, service: &str, decision: ServiceDecision) {
        let labels = ServiceDecisionLabels { service: service.to_owned(), decision };
        self.service_decisions.get_or_create(&labels).inc();
    }

    /// Sets the published limit of a plain service.
    #[expect(clippy::cast_possible_truncation, reason = "whole requests per second")]
    pub fn set_service_limit(&self, service: &str, limit: Option<&PublishedLimit>) {
        let labels = ServiceLabels { service: service.to_owned() };
        let limit = limit.map_or(-1, |limit| limit.rate.round() as i64);
        self.service_limits.get_or_create(&labels).set(limit);
    }

    /// Counts a call to an engine.
    pub fn count_engine_call(&self, kind: EngineCallKind, limited: bool) {
        self.engine_calls.get_or_create(&EngineCallLabels { kind, limited }).inc();
    }

    /// Counts the announcements in an engine's response.
    pub fn count_announcements(&self, announcements: &EngineAnnouncements) {
        let EngineAnnouncements { limit, departure, cooldown, rejection_bound } = announcements;
        let kinds = [
            declared_kind(limit, AnnouncementKind::Limit),
            declared_kind(departure, AnnouncementKind::Departure),
            declared_kind(cooldown, AnnouncementKind::Cooldown),
            declared_kind(rejection_bound, AnnouncementKind::RejectionBound),
        ];
        for kind in kinds.into_iter().flatten() {
            self.announcements.get_or_create(&AnnouncementLabels { kind }).inc();
        }
    }

    /// Counts a request that an engine rejected.
    pub fn count_rejection(&self, repeat: bool, cooldown: bool, has_id: bool) {
        self.rejections.get_or_create(&RejectionLabels { repeat, cooldown, has_id }).inc();
    }

    /// Counts a request that is sent again.
    pub fn count_repeat(&self, connection: RepeatConnection) {
        self.repeats.get_or_create(&RepeatLabels { connection }).inc();
    }

    /// Counts a response that did not belong to the request of its connection.
    pub fn count_skipped_response(&self, has_id: bool) {
        self.skipped_responses.get_or_create(&SkippedLabels { has_id }).inc();
    }

    /// Counts a failed connect to an engine.
    pub fn count_connect_failure(&self, failure: ConnectFailure) {
        let labels = ConnectFailureLabels { cause: failure.name() };
        self.connect_failures.get_or_create(&labels).inc();
    }

    /// Counts the body of an engine's response.
    pub fn count_body_end(&self, framing: BodyFraming, end: BodyEnd) {
        let labels = BodyEndLabels { framing: framing.name(), end: end.name() };
        self.body_ends.get_or_create(&labels).inc();
    }

    /// Counts an engine choice that was diverted by a health signal.
    pub fn count_health_diversion(&self, signal: HealthSignal) {
        let signal = match signal {
            HealthSignal::Failures => "failures",
            HealthSignal::Delay => "delay",
            HealthSignal::Backoff => "backoff",
        };
        self.health_diversions.get_or_create(&HealthDiversionLabels { signal }).inc();
    }

    /// Counts an engine that was chosen by its expected time to the first event.
    pub fn count_first_event_choice(&self, view_is_stale: bool, in_own_hall: bool) {
        let view = if view_is_stale { "stale" } else { "current" };
        let hall = if in_own_hall { "own" } else { "other" };
        self.first_event_choices.get_or_create(&FirstEventChoiceLabels { view, hall }).inc();
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = encode(&mut text, &registry);
        text
    }
}
