//! Heartbeats and gossip that keep the hosts' tables in sync.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    StorePosition,
    chart::{DrainState, MemberState},
    gossip::EngineDigest,
    id::{EngineId, HostId},
    member::{MemberEntry, MemberUpdate},
    message::{Heartbeat, PeerMessage, SettingsPull, SyncAsk, SyncReply},
    node::{NodeAction, NodeCore},
};

/// The maximum number of member updates in a heartbeat, about 40 bytes each.
const MEMBERS_PER_HEARTBEAT: usize = 8;

/// The maximum number of engine digests in a heartbeat, about 100 bytes each.
const DIGESTS_PER_HEARTBEAT: usize = 16;

/// The minimum time between two full synchronisations that this host requests.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// The receiver's ID in messages to seed addresses, whose hosts are not known.
const UNKNOWN_HOST: HostId = 0;

/// Every this many heartbeats, one also goes to a dead host, to detect healed network partitions.
const DEAD_PROBE_PERIOD: u64 = 4;

impl NodeCore {
    /// Sends heartbeats if they are due.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        if now < self.next_heartbeat_at {
            return;
        }
        // Jitter spreads the heartbeats of hosts that started at the same time.
        self.next_heartbeat_at = now + self.config.times.heartbeat.mul_f64(self.heartbeat_jitter());
        self.heartbeat_sequence += 1;
        self.contact_seeds();
        for host in self.choose_heartbeat_targets() {
            self.members.record_heartbeat_sent(host, now);
            let heartbeat = self.heartbeat(self.heartbeat_sequence);
            self.send(host, PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends heartbeats to the configured seed addresses while no other host is known.
    fn contact_seeds(&mut self) {
        if self.members.others().next().is_some() {
            return;
        }
        for address in self.config.seeds.clone() {
            let heartbeat = self.heartbeat(self.heartbeat_sequence);
            let stamp = self.timeline.tick(self.reading.wall_millis);
            let message = PeerMessage::Heartbeat(heartbeat);
            self.actions.push(NodeAction::SendMessage {
                to: UNKNOWN_HOST,
                address,
                stamp,
                message,
            });
        }
    }

    /// Sends a host a heartbeat outside the regular schedule.
    fn send_heartbeat(&mut self, host: HostId) {
        self.heartbeat_sequence += 1;
        let heartbeat = self.heartbeat(self.heartbeat_sequence);
        self.send(host, PeerMessage::Heartbeat(heartbeat));
    }

    fn heartbeat_jitter(&mut self) -> f64 {
        use rand::RngExt;
        self.rng.random_range(0.9..1.1)
    }

    fn choose_heartbeat_targets(&mut self) -> Vec<HostId> {
        let (dead, live): (Vec<&MemberEntry>, Vec<&MemberEntry>) =
            self.members.others().partition(|entry| entry.update.state == MemberState::Dead);
        let live: Vec<HostId> = live.iter().map(|entry| entry.update.host).collect();
        let dead: Vec<HostId> = dead.iter().map(|entry| entry.update.host).collect();
        let mut targets: Vec<HostId> =
            live.sample(&mut self.rng, self.config.times.fanout).copied().collect();
        targets.shuffle(&mut self.rng);
        if self.heartbeat_sequence.is_multiple_of(DEAD_PROBE_PERIOD) || live.is_empty() {
            targets.extend(dead.choose(&mut self.rng));
        }
        targets
    }

    fn heartbeat(&mut self, sequence: u64) -> Heartbeat {
        let members = self.member_gossip.take(MEMBERS_PER_HEARTBEAT);
        let members = members.into_iter().filter_map(|host| self.member_update(host)).collect();
        let engines = self.digest_gossip.take(DIGESTS_PER_HEARTBEAT);
        let digests = engines.into_iter().filter_map(|engine| self.digest(engine)).collect();
        Heartbeat {
            sequence,
            sender: self.members.own().clone(),
            revision: self.settings.revision(),
            era: self.settings.era(),
            next_offset: self.settings.next_offset(),
            table_hash: self.table_hash(),
            members,
            digests,
        }
    }

    fn member_update(&self, host: HostId) -> Option<MemberUpdate> {
        if host == self.config.host {
            return Some(self.members.own().clone());
        }
        self.members.find(host).map(|entry| entry.update.clone())
    }

    fn digest(&self, engine: EngineId) -> Option<EngineDigest> {
        self.backends.engines.get(&engine)?.digest.clone()
    }

    /// Hashes the engine digests, which all hosts keep in sync.
    fn table_hash(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        for digest in self.backends.engines.values().filter_map(|view| view.digest.as_ref()) {
            hasher.update(&digest.engine.to_le_bytes());
            hasher.update(&digest.incarnation.to_le_bytes());
            hasher.update(&digest.token.to_le_bytes());
            hasher.update(&digest.sequence.to_le_bytes());
        }
        hasher.digest()
    }

    pub(super) fn handle_heartbeat(&mut self, from: HostId, heartbeat: &Heartbeat) {
        self.merge_heartbeat(from, heartbeat);
        let mut ack = self.heartbeat(heartbeat.sequence);
        // A host suspected or declared dead must learn of it, so that it can refute.
        let known_update = self.member_update(from);
        if let Some(known_update) =
            known_update.filter(|known| known.state != heartbeat.sender.state)
        {
            ack.members.push(known_update);
        }
        self.send(from, PeerMessage::HeartbeatAck(ack));
    }

    /// Merges the contents of a heartbeat or a heartbeat ack.
    pub(super) fn merge_heartbeat(&mut self, from: HostId, heartbeat: &Heartbeat) {
        self.merge_member(&heartbeat.sender);
        for update in &heartbeat.members {
            self.merge_member(update);
        }
        for digest in &heartbeat.digests {
            self.merge_digest(digest);
        }
        let peer_position = StorePosition { era: heartbeat.era, offset: heartbeat.next_offset };
        let own_position =
            StorePosition { era: self.settings.era(), offset: self.settings.next_offset() };
        if peer_position > own_position {
            self.pull_settings(from);
        } else if self.settings.revision() > 0 {
            self.confirm_settings();
        }
        if heartbeat.table_hash != self.table_hash() || !self.host_list_known {
            self.send_sync_ask(from);
        }
        self.update_ownership();
    }

    pub(super) fn merge_member(&mut self, update: &MemberUpdate) {
        let now = self.now();
        let known_incarnation =
            self.members.find(update.host).map(|entry| entry.update.incarnation);
        if !self.members.apply_update(update, now) {
            return;
        }
        self.member_changed(update.host);
        // A new incarnation proves that the old process has ended and sends nothing more.
        if known_incarnation
            .is_some_and(|incarnation| incarnation != 0 && incarnation < update.incarnation)
        {
            self.holder_gone(update.host, true, Some(update.incarnation));
        }
    }

    /// Gossips a member's change of state and reacts to it.
    pub(super) fn member_changed(&mut self, host: HostId) {
        let hosts = self.members.live_count();
        self.member_gossip.add(host, hosts);
        self.ownership_dirty = true;
        let Some(entry) = self.members.find(host) else { return };
        let state = entry.update.state;
        self.record_event(format!("host {host}"), state.name());
        if state == MemberState::Dead {
            self.holder_gone(host, false, None);
        }
    }

    fn merge_digest(&mut self, digest: &EngineDigest) {
        let engine = digest.engine;
        let owner = digest.owner;
        let (token, incarnation) = (digest.token, digest.incarnation);
        if !self.backends.store_digest(digest) {
            self.digest_gossip.record_duplicate(engine);
            return;
        }
        let hosts = self.members.live_count();
        self.digest_gossip.add(engine, hosts);
        if owner == self.config.host {
            return;
        }
        let still_owner = self.owner_of(engine) == Some(self.config.host);
        self.with_controller(engine, |controller, now, out| {
            if (incarnation, token) <= (controller.incarnation(), controller.token()) {
                return;
            }
            if still_owner {
                controller.observe_higher_token(token, now, out);
            } else {
                controller.unassign(now, out);
            }
        });
    }

    fn send_sync_ask(&mut self, from: HostId) {
        let now = self.now();
        if now.since(self.last_sync_at) < SYNC_INTERVAL {
            return;
        }
        self.last_sync_at = now;
        let known = self.backends.engines.values().filter_map(|view| view.digest.as_ref());
        let ask = SyncAsk {
            digests: known.map(EngineDigest::version).collect(),
            members: self.all_members(),
            wants_backends: !self.host_list_known,
        };
        self.send(from, PeerMessage::SyncAsk(ask));
    }

    fn all_members(&self) -> Vec<MemberUpdate> {
        let others = self.members.others().map(|entry| entry.update.clone());
        others.chain([self.members.own().clone()]).collect()
    }

    pub(super) fn handle_sync_ask(&mut self, from: HostId, ask: &SyncAsk) {
        for update in &ask.members {
            self.merge_member(update);
        }
        let known = |engine: EngineId| ask.digests.iter().find(|known| known.engine == engine);
        let newer = |digest: &&EngineDigest| {
            known(digest.engine).is_none_or(|known| *known < digest.version())
        };
        let held = self.backends.engines.values().filter_map(|view| view.digest.as_ref());
        let digests = held.filter(newer).cloned().collect();
        let backends = if ask.wants_backends { self.backends.host_entries() } else { Vec::new() };
        let reply = SyncReply { digests, members: self.all_members(), backends };
        self.send(from, PeerMessage::SyncReply(reply));
        self.update_ownership();
    }

    pub(super) fn handle_sync_reply(&mut self, reply: SyncReply) {
        for update in &reply.members {
            self.merge_member(update);
        }
        if !self.host_list_known && !reply.backends.is_empty() {
            self.record_event("host list", "taken from a peer");
            self.adopt_backends(reply.backends);
        }
        for digest in &reply.digests {
            self.merge_digest(digest);
        }
        self.update_ownership();
    }

    /// Requests the settings records that this host lacks from a peer.
    fn pull_settings(&mut self, from: HostId) {
        const PULL_INTERVAL: Duration = Duration::from_millis(300);
        let now = self.now();
        if now.since(self.progress.last_settings_pull_at) < PULL_INTERVAL {
            return;
        }
        self.progress.last_settings_pull_at = now;
        let pull =
            SettingsPull { era: self.settings.era(), next_offset: self.settings.next_offset() };
        self.send(from, PeerMessage::SettingsPull(pull));
    }

    /// Begins a graceful shutdown and tells peers of the hall at once, so that they take over the
    /// engines.
    pub(super) fn begin_drain(&mut self) {
        use crate::chart::DrainEvent;
        if self.drain != DrainState::Serving {
            return;
        }
        self.drain = self.drain.after(DrainEvent::StopAsked);
        self.drain_started_at = self.now();
        self.members.leave();
        self.record_event("host", "stopping");
        self.ownership_dirty = true;
        let hall = self.config.hall;
        let peers: Vec<HostId> = self
            .members
            .others()
            .filter(|entry| entry.update.hall == hall && entry.update.state != MemberState::Dead)
            .map(|entry| entry.update.host)
            .collect();
        for host in peers {
            self.send_heartbeat(host);
        }
        self.update_ownership();
        self.advance_drain();
    }
}
