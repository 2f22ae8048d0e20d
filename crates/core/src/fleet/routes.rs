//! Routes and services of the operator's configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    fleet::ServiceName,
    organisation::{KeyError, OrganisationDirectory, OrganisationEntry, key::PresentedKey},
};

/// Revision of the configuration; later ones are higher.
pub type ConfigRevision = u64;

/// Whether a request may be sent again if its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// Whether an interrupted stream may be continued on another engine.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its weight among the services of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the route's other services.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// Name given by the operator.
    pub name: String,
    /// The value of the `Host` header that it matches.
    pub host: String,
    /// The path prefix that it matches, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be sent again.
    pub kind: RouteKind,
    /// Maximum time for a request.
    pub timeout: Duration,
    /// Target for the time to the answer, or to its first event.
    pub latency_target: Duration,
    /// Target for the maximum gap between two events of a stream, if configured.
    pub max_event_gap: Option<Duration>,
    /// Priority of its requests; zero is the most urgent.
    pub priority: u8,
    /// Services that run its requests, at least one.
    pub backends: Vec<WeightedBackend>,
    /// Maximum number of engines that one request is sent to.
    pub attempt_limit: u32,
    /// Whether it serves requests without a key.
    pub public: bool,
}

impl RouteEntry {
    /// Returns the service for a request, distributed by weight.
    ///
    /// The same `request_hash` maps to the same service as long as the route does not change.
    pub fn service(&self, request_hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut offset = request_hash.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if offset < weight {
                return Some(&backend.service);
            }
            offset -= weight;
        }
        None
    }
}

/// Sizes of a base model and its adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSize {
    /// The model's name.
    pub name: String,
    /// Size of the model's weights. Unit: megabytes.
    pub weight_megabytes: f64,
    /// Size of one adapter. Unit: megabytes.
    pub adapter_megabytes: f64,
    /// Time to load the model's weights if nothing else is being loaded.
    pub load_time: Duration,
}

/// Capacity of a service's engines for models and adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelHosting {
    /// The models that may be loaded.
    pub models: Vec<ModelSize>,
    /// Memory for weights and adapters. Unit: megabytes.
    pub memory_megabytes: f64,
    /// Maximum number of adapters.
    pub adapter_limit: u32,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_second: f64,
}

impl ModelHosting {
    /// Returns the sizes of a model.
    pub fn model(&self, name: &str) -> Option<&ModelSize> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// Maximum number of connections to one of its engines from all hosts.
    pub connection_limit: u32,
    /// Capacity of its engines; absent for plain services, whose engines hold no models.
    pub hosting: Option<ModelHosting>,
}

/// Limits on client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head. Unit: bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body. Unit: bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    revision: ConfigRevision,
    limits: ClientLimits,
    /// Routes by host, with the longest prefix first.
    routes: HashMap<String, Vec<Arc<RouteEntry>>>,
    services: HashMap<ServiceName, Arc<ServiceEntry>>,
    /// Absent if requests carry no keys.
    organisations: Option<OrganisationDirectory>,
    tight_timeouts: bool,
}

/// Maximum ratio of timeout to latency target of a route with a tight timeout. A client may wait
/// for a third of its remaining time before a retry, so it has time for at most two of them.
const TIGHT_TIMEOUT_RATIO: u32 = 9;

impl RouteTable {
    /// Creates the table of one configuration.
    pub fn new(
        revision: ConfigRevision,
        limits: ClientLimits,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
    ) -> Self {
        let tight_timeouts = most_timeouts_are_tight(&routes);
        let mut table = Self { revision, limits, tight_timeouts, ..Self::default() };
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            table.routes.entry(host).or_default().push(Arc::new(route));
        }
        for routes in table.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for service in services {
            table.services.insert(Arc::clone(&service.name), Arc::new(service));
        }
        table
    }

    /// Returns whether most streaming routes have a tight timeout: refused clients have little time
    /// to retry, so decisions about their requests must be early and must be kept.
    pub const fn has_tight_timeouts(&self) -> bool {
        self.tight_timeouts
    }

    /// Sets the organisations; every route that is not public then requires a key.
    #[must_use]
    pub fn with_organisations(self, organisations: OrganisationDirectory) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// Returns the organisations, if requests carry keys.
    pub const fn organisations(&self) -> Option<&OrganisationDirectory> {
        self.organisations.as_ref()
    }

    /// Returns whether requests to a route require a key.
    pub const fn requires_key(&self, route: &RouteEntry) -> bool {
        self.organisations.is_some() && !route.public
    }

    /// Returns the organisation of a request, or `None` if the route requires no key.
    ///
    /// A key presented on a public route is ignored.
    ///
    /// # Errors
    /// Returns why the key belongs to no organisation.
    pub fn identify(
        &self,
        route: &RouteEntry,
        key: &PresentedKey,
    ) -> Result<Option<Arc<OrganisationEntry>>, KeyError> {
        match &self.organisations {
            Some(organisations) if !route.public => {
                organisations.identify(key).map(|organisation| Some(Arc::clone(organisation)))
            }
            _ => Ok(None),
        }
    }

    /// Returns the revision of the configuration.
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns the limits on client connections.
    pub const fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the route of a request: the one with the longest matching prefix for its host.
    ///
    /// A port in `host` and a query in `target` are ignored.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = target.split('?').next().unwrap_or(target);
        self.routes.get(&name)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// Returns the service whose placer also does the tasks that are common to all services: the
    /// first service with models by name, or the first of all if none has models.
    pub fn coordinating_service(&self) -> Option<&ServiceName> {
        let hosting = self.services_with_models().map(|service| &service.name).min();
        hosting.or_else(|| self.services.keys().min())
    }

    /// Returns the shortest latency target of the routes to a service.
    pub fn shortest_latency_target(&self, service: &str) -> Option<Duration> {
        let leads_there =
            |route: &RouteEntry| route.backends.iter().any(|backend| &*backend.service == service);
        let routes = self.routes.values().flatten().filter(|route| leads_there(route));
        routes.map(|route| route.latency_target).min()
    }

    /// Returns the services whose engines hold models.
    pub fn services_with_models(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values().filter(|service| service.hosting.is_some())
    }
}

/// Returns whether more than half of the streaming routes have a tight timeout.
fn most_timeouts_are_tight(routes: &[RouteEntry]) -> bool {
    let streaming = || routes.iter().filter(|route| route.kind.is_stream());
    let tight = streaming()
        .filter(|route| route.timeout <= route.latency_target * TIGHT_TIMEOUT_RATIO)
        .count();
    2 * tight > streaming().count()
}
