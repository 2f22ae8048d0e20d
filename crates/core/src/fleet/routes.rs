//! Routes and services as the operator's configuration gives them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    fleet::ServiceName,
    organisation::{KeyError, OrganisationDirectory, OrganisationEntry, key::PresentedKey},
};

/// Counts configurations; later ones have higher numbers.
pub type ConfigRevision = u64;

/// What may be done with a request whose outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run any number of times.
    Repeatable,
    /// It may run at most once.
    Single,
    /// Its answer is a stream of events; a resumable one may go on at another engine.
    Stream {
        /// Whether a broken stream may go on at another engine.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedBackend {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// The operator's name for it.
    pub name: String,
    /// The value of `Host` that it answers to.
    pub host: String,
    /// The beginning of the paths that it answers to, with a slash at both ends.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// Within which time an answer, or its first event, is wanted.
    pub latency_target: Duration,
    /// The longest pause between two events with which a stream is still in time, where one is named.
    pub max_event_gap: Option<Duration>,
    /// The rank of its requests; zero is the most urgent.
    pub priority: u8,
    /// The services that run its requests, at least one.
    pub backends: Vec<WeightedBackend>,
    /// To how many engines one request may be sent.
    pub attempt_limit: u32,
    /// Whether it serves everybody, without a key.
    pub public: bool,
}

impl RouteEntry {
    /// Returns the service for a request with this number, spread by weight.
    ///
    /// The same number leads to the same service as long as the route does not change.
    pub fn service(&self, number: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut offset = number.checked_rem(total)?;
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

/// The size of one base model and of its adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSize {
    /// The model's name.
    pub name: String,
    /// The size of its weights. Unit: megabytes.
    pub weight_megabytes: f64,
    /// The size of one adapter. Unit: megabytes.
    pub adapter_megabytes: f64,
    /// How long its weights take to load when nothing else loads.
    pub load_time: Duration,
}

/// What the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelHosting {
    /// The models that may be ordered.
    pub models: Vec<ModelSize>,
    /// Room for weights and adapters together. Unit: megabytes.
    pub memory_megabytes: f64,
    /// Places for adapters.
    pub adapter_limit: u32,
    /// How many loads a second the weight store allows over all engines.
    pub loads_per_second: f64,
}

impl ModelHosting {
    /// Returns the size of a model.
    pub fn model(&self, name: &str) -> Option<&ModelSize> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one of its engines takes from all hosts together.
    pub connection_limit: u32,
    /// What its engines can hold; absent for plain services.
    pub hosting: Option<ModelHosting>,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head. Unit: bytes.
    pub head_bytes: usize,
    /// The longest body. Unit: bytes.
    pub body_bytes: usize,
    /// How long a head may take from its first byte on.
    pub head_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits for the time before any configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One whole configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    revision: ConfigRevision,
    limits: ClientLimits,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<RouteEntry>>>,
    services: HashMap<ServiceName, Arc<ServiceEntry>>,
    /// Absent where requests carry no keys.
    organisations: Option<OrganisationDirectory>,
}

impl RouteTable {
    /// Builds the table of one configuration.
    pub fn new(
        revision: ConfigRevision,
        limits: ClientLimits,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
    ) -> Self {
        let mut table = Self { revision, limits, ..Self::default() };
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

    /// Sets the organisations; from then on every route that is not public asks for a key.
    #[must_use]
    pub fn with_organisations(self, organisations: OrganisationDirectory) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// Returns the organisations, where requests carry keys.
    pub const fn organisations(&self) -> Option<&OrganisationDirectory> {
        self.organisations.as_ref()
    }

    /// Returns whether a route's requests are served only with a key.
    pub const fn requires_key(&self, route: &RouteEntry) -> bool {
        self.organisations.is_some() && !route.public
    }

    /// Returns the organisation that asks on a route; none where the route asks for no key.
    ///
    /// A key that is shown on a public route is passed over.
    ///
    /// # Errors
    /// Returns why the request belongs to no organisation.
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

    /// Returns the configuration's number.
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Returns what clients may send.
    pub const fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the route of a request: of those of its host, the one with the longest prefix.
    ///
    /// A port in `host` and a query in `target` are passed over.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = target.split('?').next().unwrap_or(target);
        self.routes.get(&name)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// Returns the service whose placer also does what is done once for all services: the first one with models by name, and the
    /// first of all where none has any.
    pub fn coordinating_service(&self) -> Option<&ServiceName> {
        let hosting = self.services_with_models().map(|service| &service.name).min();
        hosting.or_else(|| self.services.keys().min())
    }

    /// Iterates over the services whose engines hold models.
    pub fn services_with_models(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values().filter(|service| service.hosting.is_some())
    }
}
