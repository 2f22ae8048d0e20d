//! Granting of load turns at the weight store.
//!
//! One host of the site, the turns host, grants the turns.

use crate::{
    id::HostId,
    load::StoreLimits,
    message::{LoadAsk, LoadTurn, PeerMessage},
    node::NodeCore,
    settings::SettingKey,
};

impl NodeCore {
    pub(super) fn handle_load_ask(&mut self, from: HostId, ask: &LoadAsk) {
        if self.turns_host != self.config.host {
            // The hosts' member tables differ; the owner repeats its ask, which then reaches the
            // turns host.
            return;
        }
        let now = self.now();
        self.store_turns.ask(from, ask, now);
        if let Some(turn) = self.store_turns.given_again(ask) {
            self.send(from, PeerMessage::LoadGrant(turn));
        }
        self.grant_turns();
        let place = self.store_turns.place(ask.engine, ask.adapter);
        self.send(from, PeerMessage::LoadPlace(place));
    }

    pub(super) fn handle_load_end(&mut self, turn: LoadTurn) {
        let now = self.now();
        self.store_turns.end(turn, now);
        self.grant_turns();
    }

    pub(super) fn handle_load_grant(&mut self, from: HostId, turn: LoadTurn) {
        if self.controllers.contains_key(&turn.engine) {
            self.with_controller(turn.engine, |controller, now, out| {
                controller.handle_turn(turn.adapter, now, out);
            });
            return;
        }
        self.send(from, PeerMessage::LoadEnd(turn));
    }

    /// Grants the turns that are due if this host is the turns host.
    pub(super) fn grant_turns(&mut self) {
        if self.turns_host != self.config.host || self.store_turns.is_empty() {
            return;
        }
        let limits = self.store_limits();
        let now = self.now();
        for given in self.store_turns.give(limits, now) {
            self.send(given.owner, PeerMessage::LoadGrant(given.turn));
        }
    }

    /// Returns the store's limits, less the share of unreachable halls, which grant their own
    /// turns.
    fn store_limits(&self) -> StoreLimits {
        let mut halls: Vec<_> = self.backends.engines.values().map(|view| view.info.hall).collect();
        halls.sort_unstable();
        halls.dedup();
        let reached = halls.iter().filter(|hall| self.members.hall_reachable(**hall)).count();
        let part = reached.max(1) as f64 / halls.len().max(1) as f64;
        let parallel = self.site_number(SettingKey::StoreParallelLoads);
        StoreLimits {
            per_second: self.site_fraction(SettingKey::StoreLoadsPerSecond),
            parallel: usize::try_from(parallel).unwrap_or(usize::MAX),
            part,
        }
    }
}
