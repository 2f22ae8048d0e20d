//! The list of live and leaving hosts, which lags.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// What a host is.
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
    /// Reads a role; anything unknown is a server.
    pub fn parse(text: &str) -> Self {
        match text {
            "entry" => Self::Entry,
            "engine" => Self::Engine,
            _ => Self::Server,
        }
    }
}

/// What the list says of a host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// What it is.
    pub role: HostRole,
    /// Its number within its role.
    pub id: u32,
    /// Its data hall.
    pub hall: u16,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Its state.
    pub state: HostState,
    /// Its life, as the platform counts it.
    pub incarnation: u64,
    /// The service, for engines and servers.
    #[serde(default)]
    pub service: String,
    /// Adapter slots, for engines.
    #[serde(default)]
    pub slots: u32,
    /// Requests at once, for engines.
    #[serde(default)]
    pub streams: u32,
    /// Whether it checks fences, for engines.
    #[serde(default)]
    pub checks_fence: bool,
}

impl HostRecord {
    /// Makes the entry of a live host in its first life.
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

    /// Sets what an engine has: adapter slots, requests at once, whether it checks fences.
    #[must_use]
    pub const fn engine(mut self, slots: u32, streams: u32, checks_fence: bool) -> Self {
        self.slots = slots;
        self.streams = streams;
        self.checks_fence = checks_fence;
        self
    }
}

/// What changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HostChanges {
    /// The version to ask from next time.
    pub version: u64,
    /// Entries that are new or changed.
    pub entries: Vec<HostRecord>,
    /// Entries that are gone.
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

/// The list, as the changes it was made by.
#[derive(Debug)]
pub struct HostList {
    state: Mutex<ChangeLog>,
    lag: Duration,
}

impl HostList {
    /// Starts an empty list that shows each change only after `lag`.
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

    /// Returns what changed since a version and is old enough to be shown.
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
