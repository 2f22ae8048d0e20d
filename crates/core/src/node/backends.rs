//! The table of backend servers: host list entries, digests and this host's own observations.

use std::collections::{BTreeMap, HashMap};

use crate::{
    clock::ClockMillis,
    engine::EngineInfo,
    gossip::EngineDigest,
    id::{AdapterKey, EngineId, Incarnation},
    node::{HostEntry, HostKind, ServerInfo},
};

/// The ID of a plain server in the platform's host list.
pub type ServerId = u32;

/// Whether a backend server is leaving. The mark stays until a later incarnation of the server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeavingMark {
    /// The host list's incarnation of the server when it was marked as leaving.
    listed_incarnation: Option<Incarnation>,
    /// The server's own incarnation at that time; zero if unknown.
    own_incarnation: Incarnation,
}

impl LeavingMark {
    /// Returns whether the server is leaving.
    pub(super) const fn is_set(self) -> bool {
        self.listed_incarnation.is_some()
    }

    /// Applies a host-list entry.
    fn apply_listing(&mut self, incarnation: Incarnation, leaving: bool) {
        if self.listed_incarnation.is_some_and(|left| left < incarnation) {
            self.listed_incarnation = None;
        }
        if leaving {
            self.listed_incarnation = Some(incarnation);
        }
    }

    /// Sets the mark; returns whether it was not set before.
    pub(super) fn mark(&mut self, listed: Incarnation, own: Incarnation) -> bool {
        self.own_incarnation = self.own_incarnation.max(own);
        self.listed_incarnation.replace(listed).is_none()
    }

    /// Clears the mark if the server reports that it serves in a later incarnation.
    fn apply_serving(&mut self, own: Incarnation) {
        if own > self.own_incarnation {
            self.listed_incarnation = None;
        }
    }
}

/// An engine as seen by this host.
#[derive(Debug, Clone)]
pub(super) struct EngineView {
    pub(super) info: EngineInfo,
    pub(super) digest: Option<EngineDigest>,
    pub(super) leaving_mark: LeavingMark,
    /// The engine is not used before this time.
    pub(super) avoid_until: ClockMillis,
    /// The load at the last permit, in percent of the engine's streams.
    pub(super) fill: u32,
    /// This host's dispatches in progress.
    pub(super) outstanding: u32,
}

impl EngineView {
    /// Returns whether new requests may be sent to the engine.
    pub(super) fn accepts_requests(&self, now: ClockMillis) -> bool {
        !self.leaving_mark.is_set() && now >= self.avoid_until
    }

    /// Estimates the engine's load in percent.
    pub(super) fn estimated_fill(&self) -> u32 {
        self.fill.max(100 * self.outstanding / self.info.streams.max(1))
    }
}

/// A plain server as seen by this host.
#[derive(Debug, Clone)]
pub(super) struct ServerView {
    pub(super) info: ServerInfo,
    pub(super) leaving_mark: LeavingMark,
    pub(super) avoid_until: ClockMillis,
    pub(super) outstanding: u32,
}

/// All backend servers of the site.
#[derive(Debug, Default)]
pub(super) struct BackendTable {
    pub(super) engines: BTreeMap<EngineId, EngineView>,
    pub(super) servers: BTreeMap<ServerId, ServerView>,
    pub(super) by_service: BTreeMap<String, Vec<EngineId>>,
    holders: HashMap<AdapterKey, Vec<EngineId>>,
}

impl BackendTable {
    /// Inserts or updates an engine from the host list.
    pub(super) fn upsert_engine(&mut self, info: EngineInfo, leaving: bool) {
        let incarnation = info.incarnation;
        let engine = info.engine;
        let view = self.engines.entry(engine).or_insert_with(|| EngineView {
            info: info.clone(),
            digest: None,
            leaving_mark: LeavingMark::default(),
            avoid_until: ClockMillis::default(),
            fill: 0,
            outstanding: 0,
        });
        if incarnation < view.info.incarnation {
            return;
        }
        view.leaving_mark.apply_listing(incarnation, leaving);
        view.info = info;
        self.rebuild_service_index();
    }

    /// Inserts or updates a plain server from the host list.
    pub(super) fn upsert_server(&mut self, info: ServerInfo, leaving: bool) {
        let incarnation = info.incarnation;
        let view = self.servers.entry(info.server).or_insert_with(|| ServerView {
            info: info.clone(),
            leaving_mark: LeavingMark::default(),
            avoid_until: ClockMillis::default(),
            outstanding: 0,
        });
        if incarnation < view.info.incarnation {
            return;
        }
        view.leaving_mark.apply_listing(incarnation, leaving);
        view.info = info;
    }

    /// Removes an engine that is no longer in the host list.
    pub(super) fn remove_engine(&mut self, engine: EngineId) {
        if let Some(view) = self.engines.remove(&engine) {
            self.unindex_residents(view.digest.as_ref());
        }
        self.rebuild_service_index();
    }

    /// Stores a digest; returns whether it was newer than the known one.
    pub(super) fn store_digest(&mut self, digest: &EngineDigest) -> bool {
        let Some(view) = self.engines.get_mut(&digest.engine) else { return false };
        if view.digest.as_ref().is_some_and(|known| known.version() >= digest.version()) {
            return false;
        }
        if digest.serving {
            view.leaving_mark.apply_serving(digest.incarnation);
        }
        let old = view.digest.replace(digest.clone());
        self.unindex_residents(old.as_ref());
        for adapter in &digest.residents {
            self.holders.entry(*adapter).or_default().push(digest.engine);
        }
        true
    }

    fn unindex_residents(&mut self, digest: Option<&EngineDigest>) {
        let Some(digest) = digest else { return };
        for adapter in &digest.residents {
            if let Some(holders) = self.holders.get_mut(adapter) {
                holders.retain(|engine| *engine != digest.engine);
                if holders.is_empty() {
                    self.holders.remove(adapter);
                }
            }
        }
    }

    /// Removes an engine from an adapter's holders, after its owner reported that it is not
    /// resident.
    pub(super) fn remove_holder(&mut self, engine: EngineId, adapter: AdapterKey) {
        if let Some(holders) = self.holders.get_mut(&adapter) {
            holders.retain(|holder| *holder != engine);
        }
    }

    /// Returns the backend servers as host-list entries, for peers that have not received the list.
    pub(super) fn host_entries(&self) -> Vec<HostEntry> {
        let engine = |view: &EngineView| HostEntry {
            kind: HostKind::Engine(view.info.clone()),
            leaving: view.leaving_mark.is_set(),
        };
        let server = |view: &ServerView| HostEntry {
            kind: HostKind::Server(view.info.clone()),
            leaving: view.leaving_mark.is_set(),
        };
        let servers = self.servers.values().map(server);
        self.engines.values().map(engine).chain(servers).collect()
    }

    /// Returns the engines known to hold an adapter.
    pub(super) fn holders(&self, adapter: AdapterKey) -> &[EngineId] {
        self.holders.get(&adapter).map_or(&[], Vec::as_slice)
    }

    fn rebuild_service_index(&mut self) {
        self.by_service.clear();
        for (engine, view) in &self.engines {
            self.by_service.entry(view.info.service.clone()).or_default().push(*engine);
        }
    }
}
