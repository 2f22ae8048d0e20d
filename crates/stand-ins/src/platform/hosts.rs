//! The list of live and leaving hosts, which shows changes after a lag.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// The role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host of reelreel.
    Entry,
    /// A model engine.
    Engine,
    /// A server of a plain service.
    Server,
}

impl HostRole {
    /// Parses a role; unknown roles are parsed as servers.
    pub fn parse(text: &str) -> Self {
        match text {
            "entry" => Self::Entry,
            "engine" => Self::Engine,
            _ => Self::Server,
        }
    }
}

/// The state of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is live.
    Live,
    /// The host is leaving.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The role.
    pub role: HostRole,
    /// The ID, unique within the role.
    pub id: u32,
    /// The data hall.
    pub hall: u16,
    /// The address as `ip:port`.
    pub address: String,
    /// The state.
    pub state: HostState,
    /// The incarnation that the platform assigned.
    pub incarnation: u64,
    /// The name of the service, for engines and servers.
    #[serde(default)]
    pub service: String,
    /// The number of adapter slots, for engines.
    #[serde(default)]
    pub slots: u32,
    /// The number of concurrent requests, for engines.
    #[serde(default)]
    pub streams: u32,
    /// Whether the host checks fencing tokens, for engines.
    #[serde(default)]
    pub checks_fence: bool,
}

impl HostRecord {
    /// Creates the entry of a live host in its first incarnation.
    pub fn new(role: HostRole, id: u32, hall: u16, address: impl Into<String>) -> Self {
        Self {
            role,
            id,
            hall,
            address: address.into(),
            state: HostState::Live,
            incarnation: 1,
            service: String::new(),
            slots: 0,
            streams: 0,
            checks_fence: false,
        }
    }

    /// Sets the service.
    #[must_use]
    pub fn service(mut self, service: impl Into<String>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the fields of an engine: adapter slots, concurrent requests and fence checks.
    #[must_use]
    pub const fn engine(mut self, slots: u32, streams: u32, checks_fence: bool) -> Self {
        self.slots = slots;
        self.streams = streams;
        self.checks_fence = checks_fence;
        self
    }
}

/// The changes since a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HostChanges {
    /// The version to pass to the next call.
    pub version: u64,
    /// New and changed entries.
    pub entries: Vec<HostRecord>,
    /// Removed entries.
    pub removed: Vec<(HostRole, u32)>,
}

#[derive(Debug, Clone)]
enum HostChange {
    Put(HostRecord),
    Remove(HostRole, u32),
}

#[derive(Debug, Default)]
struct ChangeLog {
    changes: Vec<(Instant, HostChange)>,
}

/// The host list, stored as a log of changes.
#[derive(Debug)]
pub struct HostList {
    state: Mutex<ChangeLog>,
    lag: Duration,
}

impl HostList {
    /// Creates an empty list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { state: Mutex::default(), lag }
    }

    fn lock(&self) -> MutexGuard<'_, ChangeLog> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or changes an entry.
    pub fn put(&self, record: HostRecord) {
        self.lock().changes.push((Instant::now(), HostChange::Put(record)));
    }

    /// Removes an entry.
    pub fn remove(&self, role: HostRole, id: u32) {
        self.lock().changes.push((Instant::now(), HostChange::Remove(role, id)));
    }

    /// Returns the changes since a version that are older than the lag.
    pub fn since(&self, version: u64) -> HostChanges {
        let state = self.lock();
        let visible_count =
            state.changes.iter().take_while(|(at, _)| at.elapsed() >= self.lag).count();
        let skip = usize::try_from(version).unwrap_or(usize::MAX);
        let mut latest: BTreeMap<(HostRole, u32), Option<HostRecord>> = BTreeMap::new();
        for (_, change) in state.changes.iter().take(visible_count).skip(skip) {
            match change {
                HostChange::Put(record) => {
                    latest.insert((record.role, record.id), Some(record.clone()));
                }
                HostChange::Remove(role, id) => {
                    latest.insert((*role, *id), None);
                }
            }
        }
        let mut changes = HostChanges { version: visible_count as u64, ..HostChanges::default() };
        for (name, record) in latest {
            match record {
                Some(record) => changes.entries.push(record),
                None => changes.removed.push(name),
            }
        }
        changes
    }
}
