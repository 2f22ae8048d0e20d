//! What a host knows of the backend servers: the host list, digests, and its own experience.

use std::collections::{BTreeMap, HashMap};

use crate::{
    clock::ClockMillis,
    engine::EngineInfo,
    gossip::EngineDigest,
    id::{AdapterKey, EngineId, Incarnation},
    node::{HostEntry, HostKind, ServerInfo},
};

/// Names a plain server, as in the platform's host list.
pub type ServerId = u32;

/// What says that a backend server is leaving. It sticks until a later life of the server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeavingMark {
    /// The life, as the host list counts it, in which it was seen leaving.
    listed_incarnation: Option<Incarnation>,
    /// The life as the server itself counted it then; zero where that was not known.
    own_incarnation: Incarnation,
}

impl LeavingMark {
    /// Says whether nothing new may go there.
    pub(super) const fn is_set(self) -> bool {
        self.listed_incarnation.is_some()
    }

    /// Takes an entry of the host list.
    fn apply_listing(&mut self, incarnation: Incarnation, leaving: bool) {
        if self.listed_incarnation.is_some_and(|left| left < incarnation) {
            self.listed_incarnation = None;
        }
        if leaving {
            self.listed_incarnation = Some(incarnation);
        }
    }

    /// Notes any other sign; says whether it is the first.
    pub(super) fn mark(&mut self, listed: Incarnation, own: Incarnation) -> bool {
        self.own_incarnation = self.own_incarnation.max(own);
        self.listed_incarnation.replace(listed).is_none()
    }

    /// Takes the word that the server serves in a life of its own counting.
    fn apply_serving(&mut self, own: Incarnation) {
        if own > self.own_incarnation {
            self.listed_incarnation = None;
        }
    }
}

/// One engine as an entry host sees it.
#[derive(Debug, Clone)]
pub(super) struct EngineView {
    pub(super) info: EngineInfo,
    pub(super) digest: Option<EngineDigest>,
    pub(super) leaving_mark: LeavingMark,
    /// Not to be tried before.
    pub(super) avoid_until: ClockMillis,
    /// How full it was at the last permit, in hundredths, and our permits since.
    pub(super) fill: u32,
    pub(super) outstanding: u32,
}

impl EngineView {
    /// Says whether new work may go there.
    pub(super) fn accepts_requests(&self, now: ClockMillis) -> bool {
        !self.leaving_mark.is_set() && now >= self.avoid_until
    }

    /// Estimates how full it is, in hundredths.
    pub(super) fn estimated_fill(&self) -> u32 {
        self.fill.max(100 * self.outstanding / self.info.streams.max(1))
    }
}

/// One plain server as an entry host sees it.
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
    /// Takes an engine of the host list. Being listed as leaving sticks until a later life.
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

    /// Takes a plain server of the host list.
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

    /// Forgets an engine that the host list has no more.
    pub(super) fn remove_engine(&mut self, engine: EngineId) {
        if let Some(view) = self.engines.remove(&engine) {
            self.unindex_residents(view.digest.as_ref());
        }
        self.rebuild_service_index();
    }

    /// Takes a digest; says whether it was newer than the one known.
    pub(super) fn put_digest(&mut self, digest: &EngineDigest) -> bool {
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

    /// Forgets that an engine holds an adapter, when its owner says that it does not.
    pub(super) fn remove_holder(&mut self, engine: EngineId, adapter: AdapterKey) {
        if let Some(holders) = self.holders.get_mut(&adapter) {
            holders.retain(|holder| *holder != engine);
        }
    }

    /// Lists the backend servers as entries of the host list, for a host that has not seen it.
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

    /// Lists the engines that hold an adapter, as far as is known here.
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
