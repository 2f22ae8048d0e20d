//! Counters, gauges and histograms, in the text format that Prometheus reads.

use std::{collections::BTreeSet, sync::Mutex};

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
use reelreel_core::fleet::announcement::{Declared, EngineAnnouncements};

/// What tells request counters apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The route, or `none`.
    pub route: String,
    /// How the request ended.
    pub outcome: String,
}

/// What tells counters of frames between hosts apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FrameLabels {
    /// The kind of frame.
    pub kind: String,
}

/// How many organisations have counters of their own: those that are seen first. Others are counted together, so that
/// what a host serves as text stays short.
const MAX_ORGANISATIONS: usize = 64;

/// What tells counters of organisations apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrganisationLabels {
    /// The organisation, or `others`.
    pub organisation: String,
    /// How the request ended.
    pub outcome: String,
}

/// What tells order counters apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// Load or unload.
    pub kind: String,
    /// What the engine said.
    pub answer: String,
}

/// What a host calls an engine for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EngineCallKind {
    /// A client's request, sent for the first time.
    Request,
    /// One that was sent before.
    Repeat,
    /// The rest of a stream that broke off.
    Resume,
    /// An order to load or unload something.
    Order,
    /// A question for what it holds.
    Report,
}

/// What tells counters of calls to engines apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineCallLabels {
    /// What the call was for.
    pub kind: EngineCallKind,
    /// Whether the engine had named a limit.
    pub limited: bool,
}

/// What engines announce in their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AnnouncementKind {
    /// How many requests they take from all hosts together.
    Limit,
    /// That they are leaving.
    Departure,
    /// That they want no requests from this host for a while.
    Cooldown,
    /// Something that can't be read, and has no effect.
    Unreadable,
}

/// What tells counters of announcements apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnnouncementLabels {
    /// What was announced.
    pub kind: AnnouncementKind,
}

/// What tells counters of rejections by engines apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectionLabels {
    /// Whether the request had been sent before.
    pub repeat: bool,
    /// Whether the engine asked for a cooldown.
    pub cooldown: bool,
}

/// Everything that a host counts.
pub struct HostMetrics {
    registry: Mutex<Registry>,
    /// Requests by route and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests by organisation and outcome.
    organisation_requests: Family<OrganisationLabels, Counter>,
    /// The organisations that have counters of their own.
    labelled_organisations: Mutex<BTreeSet<String>>,
    /// Time to the first byte of an answer.
    pub first_byte: Histogram,
    /// Time that requests waited for an adapter.
    pub load_wait: Histogram,
    /// Orders by kind and answer.
    pub orders: Family<OrderLabels, Counter>,
    /// Requests sent again.
    pub retries: Counter,
    /// Further sends that the retry budget refused.
    pub retries_refused: Counter,
    /// Streams taken up at another engine.
    pub resumes: Counter,
    /// New connections to engines.
    pub engine_connects: Counter,
    /// Calls to the store that had no useful answer.
    pub store_failures: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// The newest era of the store that was heard of.
    pub store_era: Gauge,
    /// Up to which offset of the operator's topic this host knows it.
    pub configuration_read_to: Gauge,
    /// Up to which offset of the engines' topic this host knows it.
    pub engines_read_to: Gauge,
    /// Bytes of frames sent to other hosts, by kind.
    pub peer_sent_bytes: Family<FrameLabels, Counter>,
    /// Whether another host reads the store for this one.
    pub following: Gauge,
    /// The hosts that share what is counted over all of them.
    pub hosts: Gauge,
    /// Client connections that are open.
    pub connections: Gauge,
    /// Requests that are open.
    pub open_requests: Gauge,
    /// The configuration in force.
    pub revision: Gauge,
    /// Placement domains whose lease this host holds.
    pub leases: Gauge,
    /// Engines that are listed.
    pub engines: Gauge,
    /// Engines that ended while this host had runs at them.
    pub engines_ended: Counter,
    /// Requests under which engines ended since they last ran whole.
    pub suspects: Gauge,
    /// Those of them that are held back.
    pub held_requests: Gauge,
    /// Engines that have named a limit.
    pub limited_engines: Gauge,
    /// Requests that went to another engine than the one that was best but for its limit.
    pub limit_diverted: Counter,
    /// Requests that waited for a permit.
    pub limit_waited: Counter,
    /// Requests that were refused since there was no permit in time.
    pub limit_refused: Counter,
    /// Choices that passed over an engine within a cooldown.
    pub cooldown_diverted: Counter,
    /// Requests that waited for the end of a cooldown, or for another copy.
    pub cooldown_waited: Counter,
    /// Requests that were refused since all engines that could run them were within a cooldown.
    pub cooldown_refused: Counter,
    /// Answers on another version of weights than was asked for, which no caller got.
    pub other_versions: Counter,
    /// Calls to engines by what they were for.
    engine_calls: Family<EngineCallLabels, Counter>,
    /// Responses of engines with announcements, by what they announce.
    announcements: Family<AnnouncementLabels, Counter>,
    /// Requests that engines rejected.
    rejections: Family<RejectionLabels, Counter>,
    /// Listed engines that are leaving.
    pub departing_engines: Gauge,
    /// Engines within a cooldown that they have asked this host for.
    pub cooling_engines: Gauge,
}

/// Returns the kind under which a declaration is counted, if it says anything.
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
            resumes: Counter::default(),
            engine_connects: Counter::default(),
            store_failures: Counter::default(),
            store_calls: Counter::default(),
            store_era: Gauge::default(),
            configuration_read_to: Gauge::default(),
            engines_read_to: Gauge::default(),
            peer_sent_bytes: Family::default(),
            following: Gauge::default(),
            hosts: Gauge::default(),
            connections: Gauge::default(),
            open_requests: Gauge::default(),
            revision: Gauge::default(),
            leases: Gauge::default(),
            engines: Gauge::default(),
            engines_ended: Counter::default(),
            suspects: Gauge::default(),
            held_requests: Gauge::default(),
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
            departing_engines: Gauge::default(),
            cooling_engines: Gauge::default(),
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
        let help = "Engines that ended while this host had runs at them";
        registry.register("engines_ended", help, self.engines_ended.clone());
        let help = "Requests under which engines ended since they last ran whole";
        registry.register("suspects", help, self.suspects.clone());
        let help = "Requests that are held back since engines ended under them";
        registry.register("held_requests", help, self.held_requests.clone());
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
        let help = "Listed engines that are leaving";
        registry.register("departing_engines", help, self.departing_engines.clone());
        let help = "Engines within a cooldown that they have asked this host for";
        registry.register("cooling_engines", help, self.cooling_engines.clone());
        registry.register("resumes", "Streams taken up at another engine", self.resumes.clone());
        registry.register(
            "engine_connects",
            "New connections to engines",
            self.engine_connects.clone(),
        );
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
        registry.register("connections", "Open client connections", self.connections.clone());
        registry.register("open_requests", "Open requests", self.open_requests.clone());
        registry.register("configuration", "Configuration in force", self.revision.clone());
        registry.register("leases", "Placement leases that are held", self.leases.clone());
        registry.register("engines", "Engines that are listed", self.engines.clone());
        *self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = registry;
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

    /// Counts a call to an engine.
    pub fn count_engine_call(&self, kind: EngineCallKind, limited: bool) {
        self.engine_calls.get_or_create(&EngineCallLabels { kind, limited }).inc();
    }

    /// Counts what a response of an engine announces.
    pub fn count_announcements(&self, announcements: &EngineAnnouncements) {
        let EngineAnnouncements { limit, departure, cooldown } = announcements;
        let kinds = [
            declared_kind(limit, AnnouncementKind::Limit),
            declared_kind(departure, AnnouncementKind::Departure),
            declared_kind(cooldown, AnnouncementKind::Cooldown),
        ];
        for kind in kinds.into_iter().flatten() {
            self.announcements.get_or_create(&AnnouncementLabels { kind }).inc();
        }
    }

    /// Counts a request that an engine rejected.
    pub fn count_rejection(&self, repeat: bool, cooldown: bool) {
        self.rejections.get_or_create(&RejectionLabels { repeat, cooldown }).inc();
    }

    /// Writes all metrics as text.
    pub fn encode(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string can not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
