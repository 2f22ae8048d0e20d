//! Granting of load turns at the weight store.
//!
//! One host of the site, the scheduling host, grants the turns.

use crate::{
    id::HostId,
    load::WeightStoreLimits,
    message::{LoadAsk, LoadTurn, PeerMessage},
    node::NodeCore,
    settings::SettingKey,
};

impl NodeCore {
    pub(super) fn handle_load_ask(&mut self, from: HostId, ask: &LoadAsk) {
        if self.scheduling_host != self.config.host {
            // The hosts' member tables differ; the owner repeats its ask, which then reaches the
            // scheduling host.
            return;
        }
        let now = self.now();
        self.load_scheduler.request_turn(from, ask, now);
        if let Some(turn) = self.load_scheduler.lost_grant(ask) {
            self.send(from, PeerMessage::LoadGrant(turn));
        }
        self.grant_turns();
        let place = self.load_scheduler.queue_position(ask.engine, ask.adapter);
        self.send(from, PeerMessage::LoadPlace(place));
    }

    pub(super) fn handle_load_end(&mut self, turn: LoadTurn) {
        let now = self.now();
        self.load_scheduler.release_turn(turn, now);
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

    /// Grants the turns that are due if this host is the scheduling host.
    pub(super) fn grant_turns(&mut self) {
        if self.scheduling_host != self.config.host || self.load_scheduler.is_empty() {
            return;
        }
        let limits = self.store_limits();
        let now = self.now();
        for grant in self.load_scheduler.grant_turns(limits, now) {
            self.send(grant.owner, PeerMessage::LoadGrant(grant.turn));
        }
    }

    /// Returns the store's limits, less the share of unreachable halls, which grant their own
    /// turns.
    fn store_limits(&self) -> WeightStoreLimits {
        let mut halls: Vec<_> = self.backends.engines.values().map(|view| view.info.hall).collect();
        halls.sort_unstable();
        halls.dedup();
        let reached = halls.iter().filter(|hall| self.members.hall_reachable(**hall)).count();
        let fraction = reached.max(1) as f64 / halls.len().max(1) as f64;
        let parallel_loads = self.site_integer(SettingKey::StoreParallelLoads);
        WeightStoreLimits {
            loads_per_second: self.site_float(SettingKey::StoreLoadsPerSecond),
            parallel_loads: usize::try_from(parallel_loads).unwrap_or(usize::MAX),
            fraction,
        }
    }
}
