//! What a site is made of, what callers ask and what scripts do.

use std::sync::Arc;

use reelreel_core::{
    engine::{ResidencyPolicy, ValuePolicy},
    id::{EngineId, HallId, HostId},
    node::{NodeTimes, ServerId},
    settings::ChangeRecord,
};

use crate::engine::EngineConfig;

/// A call by a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The host it goes to; the balancer picks a ready one where it is `None`.
    pub host: Option<HostId>,
    /// The adapter as service/organisation/adapter; empty for the plain service.
    pub adapter: String,
    /// The version, where the caller names one.
    pub version: Option<u32>,
    /// The idempotency key.
    pub key: Option<String>,
    /// What the caller says of repeating it.
    pub repeatable: Option<bool>,
    /// How long it waits for the first token, in milliseconds.
    pub max_wait_ms: u64,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// A switch that breaks one mechanism, to show that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteMutation {
    /// Engines do not check tokens although the host list says that they do, and holders report
    /// every end as clean.
    IgnoreFence,
    /// A broken exchange is taken for one that never began.
    InterruptedMeansNotRun,
    /// Every host reads its own claims first.
    OwnClaimsFirst,
    /// Nobody shows that a backend server is leaving.
    HideLeaving,
    /// A stopping host exits at once.
    ExitAtOnce,
    /// Hosts read the settings stream in different orders.
    ShuffleSettings,
    /// An answer goes to whichever request waits first, instead of the one it is for.
    AnswerFirstWaiting,
    /// Requests are run on another version than the one they named.
    WrongVersion,
}

/// What a site is made of.
#[derive(Clone)]
pub struct SiteConfig {
    /// Hosts and their halls.
    pub hosts: Vec<(HostId, HallId)>,
    /// Engines.
    pub engines: Vec<EngineConfig>,
    /// Plain servers and their halls.
    pub servers: Vec<(ServerId, HallId)>,
    /// The service of the plain servers.
    pub plain_service: String,
    /// Loads a second of the weight store.
    pub loads_per_second: f64,
    /// The hosts' times.
    pub times: NodeTimes,
    /// How loads are valued.
    pub policy: Arc<dyn ResidencyPolicy>,
    /// Seeds everything.
    pub seed: u64,
    /// Whether messages between hosts take time at all; policies are measured without.
    pub mutation: Option<SiteMutation>,
}

impl SiteConfig {
    /// Makes a shape with nothing in it.
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

/// What the site's scripts do.
#[derive(Debug, Clone)]
pub enum SiteAction {
    /// Publishes a change.
    Publish(ChangeRecord),
    /// Begins a host's planned stop; it comes back 15 s after it ended.
    DrainHost(HostId),
    /// Begins an engine's planned stop; it comes back 10 s after it ended.
    DrainEngine(EngineId),
    /// Kills a host; it comes back after that many milliseconds.
    KillHost(HostId, u64),
    /// Restarts an engine with nothing loaded.
    RestartEngine(EngineId),
    /// Switches the store off for that many milliseconds.
    StoreUnavailable(u64),
    /// Cuts a hall off from the others and from the platform for that many milliseconds.
    PartitionHall(HallId, u64),
}
