//! The host's part in giving turns at the weight store.

use crate::{
    id::HostId,
    load::WeightStoreLimits,
    message::{LoadAsk, LoadTurn, PeerMessage},
    node::NodeCore,
    settings::SettingKey,
};

impl NodeCore {
    pub(super) fn take_load_ask(&mut self, from: HostId, ask: &LoadAsk) {
        if self.turns_host != self.config.host {
            // The asker's view differs; it repeats its ask when the views agree.
            return;
        }
        let now = self.now();
        self.turns.request_turn(from, ask, now);
        if let Some(turn) = self.turns.lost_grant(ask) {
            self.send(from, PeerMessage::LoadGrant(turn));
        }
        self.give_turns();
        let place = self.turns.queue_position(ask.engine, ask.adapter);
        self.send(from, PeerMessage::LoadPlace(place));
    }

    pub(super) fn take_load_end(&mut self, turn: LoadTurn) {
        let now = self.now();
        self.turns.release_turn(turn, now);
        self.give_turns();
    }

    pub(super) fn take_load_grant(&mut self, from: HostId, turn: LoadTurn) {
        if self.controls.contains_key(&turn.engine) {
            self.control(turn.engine, |control, now, out| {
                control.turn_came(turn.adapter, now, out);
            });
            return;
        }
        self.send(from, PeerMessage::LoadEnd(turn));
    }

    /// Gives the turns that are due, if this host gives them.
    pub(super) fn give_turns(&mut self) {
        if self.turns_host != self.config.host || self.turns.is_empty() {
            return;
        }
        let limits = self.store_limits();
        let now = self.now();
        for given in self.turns.grant_turns(limits, now) {
            self.send(given.owner, PeerMessage::LoadGrant(given.turn));
        }
    }

    /// Returns the store's limits, less the part of the halls that are out of reach: they give
    /// turns of their own meanwhile.
    fn store_limits(&self) -> WeightStoreLimits {
        let mut halls: Vec<_> =
            self.backends.engines.values().map(|view| view.facts.hall).collect();
        halls.sort_unstable();
        halls.dedup();
        let reached = halls.iter().filter(|hall| self.members.hall_reachable(**hall)).count();
        let fraction = reached.max(1) as f64 / halls.len().max(1) as f64;
        let parallel_loads = self.site_number(SettingKey::StoreParallelLoads);
        WeightStoreLimits {
            loads_per_second: self.site_fraction(SettingKey::StoreLoadsPerSecond),
            parallel_loads: usize::try_from(parallel_loads).unwrap_or(usize::MAX),
            fraction,
        }
    }
}
