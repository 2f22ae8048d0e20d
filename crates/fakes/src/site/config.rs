//! The configuration of a site, the requests of callers and the actions of scripts.

use std::sync::Arc;

use reelreel_core::{
    engine::{ResidencyPolicy, ValuePolicy},
    id::{EngineId, HallId, HostId},
    node::{NodeTimes, ServerId},
    settings::ChangeRecord,
};

use crate::engine::EngineConfig;

/// A request from a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The host that receives it; `None` for a random ready host.
    pub host: Option<HostId>,
    /// The adapter as `service/organisation/adapter`; empty for the plain service.
    pub adapter: String,
    /// The version, if the request names one.
    pub version: Option<u32>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the caller declares the request repeatable, if it does.
    pub repeatable: Option<bool>,
    /// How long the caller waits for the first token, in milliseconds.
    pub max_wait_ms: u64,
    /// The number of tokens to generate.
    pub tokens: u32,
}

/// A mechanism to disable, to verify that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteMutation {
    /// Engines do not check fencing tokens, although the host list says that they do.
    IgnoreFence,
    /// Hosts take an interrupted request for one that did not run.
    InterruptedMeansNotRun,
    /// Hosts read only their own claims.
    OwnClaimsFirst,
    /// Neither the host list nor the reports show that an engine is leaving.
    HideLeaving,
    /// A host that is asked to stop exits immediately.
    ExitAtOnce,
    /// Some hosts read the settings stream out of order.
    ShuffleSettings,
    /// An answer is delivered to the first open request on the same backend server.
    AnswerFirstWaiting,
    /// Requests run on another version than the one they name.
    WrongVersion,
}

/// The configuration of a [`FakeSite`](crate::FakeSite).
#[derive(Clone)]
pub struct SiteConfig {
    /// The hosts and their halls.
    pub hosts: Vec<(HostId, HallId)>,
    /// The engines.
    pub engines: Vec<EngineConfig>,
    /// The plain servers and their halls.
    pub servers: Vec<(ServerId, HallId)>,
    /// The name of the service of the plain servers.
    pub plain_service: String,
    /// How many consecutive loads the weight store serves per second.
    pub loads_per_second: f64,
    /// The timeouts and intervals of the hosts.
    pub times: NodeTimes,
    /// The policy that decides which adapters are resident.
    pub policy: Arc<dyn ResidencyPolicy>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The disabled mechanism, if any.
    pub mutation: Option<SiteMutation>,
}

impl SiteConfig {
    /// Creates a configuration without hosts, engines and servers.
    pub fn new(seed: u64) -> Self {
        Self {
            hosts: Vec::new(),
            engines: Vec::new(),
            servers: Vec::new(),
            plain_service: String::from("orders"),
            loads_per_second: 3.0,
            times: NodeTimes::default(),
            policy: Arc::new(ValuePolicy),
            seed,
            mutation: None,
        }
    }
}

/// An action of a script on the site.
#[derive(Debug, Clone)]
pub enum SiteAction {
    /// Publishes a change of the settings.
    Publish(ChangeRecord),
    /// Starts the planned stop of a host, which starts again 15 s after its end.
    DrainHost(HostId),
    /// Starts the planned stop of an engine, which starts again 10 s after its end.
    DrainEngine(EngineId),
    /// Kills a host and restarts it after the given milliseconds.
    KillHost(HostId, u64),
    /// Restarts an engine without adapters.
    RestartEngine(EngineId),
    /// Makes the weight store unavailable for the given milliseconds.
    StoreUnavailable(u64),
    /// Isolates a hall from the other halls and from the platform for the given milliseconds.
    PartitionHall(HallId, u64),
}
