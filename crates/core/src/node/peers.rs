//! Signs of life and the tables that hosts keep in step.

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
    node::{NodeCore, NodeOrder},
};

/// Member changes in one heartbeat at most; about 40 bytes each.
const MEMBERS_PER_HEARTBEAT: usize = 8;

/// Engine digests in one heartbeat at most; about 100 bytes each.
const DIGESTS_PER_HEARTBEAT: usize = 16;

/// The least time between two full exchanges that one host asks for.
const SYNC_PAUSE: Duration = Duration::from_secs(5);

/// Stands for the host at an address of which nothing else is known.
const UNKNOWN_HOST: HostId = 0;

/// One heartbeat in this many also goes to a host believed dead, to find healed cuts.
const TRY_DEAD_EVERY: u64 = 4;

impl NodeCore {
    /// Sends heartbeats when they are due.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now();
        if now < self.next_heartbeat {
            return;
        }
        // Jitter keeps hosts that started together from beating together.
        self.next_heartbeat = now + self.config.times.heartbeat.mul_f64(self.beat_factor());
        self.heartbeat_sequence += 1;
        self.greet_seeds();
        for host in self.pick_peers() {
            self.members.record_heartbeat_sent(host, now);
            let heartbeat = self.heartbeat(self.heartbeat_sequence);
            self.send(host, PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Greets the hosts named in the settings, as long as nobody else is known.
    fn greet_seeds(&mut self) {
        if self.members.others().next().is_some() {
            return;
        }
        for address in self.config.seeds.clone() {
            let heartbeat = self.heartbeat(self.heartbeat_sequence);
            let stamp = self.timeline.tick(self.reading.wall_millis);
            let message = PeerMessage::Heartbeat(heartbeat);
            self.orders.push(NodeOrder::Send { to: UNKNOWN_HOST, address, stamp, message });
        }
    }

    /// Exchanges tables with one host out of turn.
    fn greet(&mut self, host: HostId) {
        self.heartbeat_sequence += 1;
        let heartbeat = self.heartbeat(self.heartbeat_sequence);
        self.send(host, PeerMessage::Heartbeat(heartbeat));
    }

    fn beat_factor(&mut self) -> f64 {
        use rand::RngExt;
        self.rng.random_range(0.9..1.1)
    }

    fn pick_peers(&mut self) -> Vec<HostId> {
        let (dead, live): (Vec<&MemberEntry>, Vec<&MemberEntry>) =
            self.members.others().partition(|entry| entry.update.state == MemberState::Dead);
        let live: Vec<HostId> = live.iter().map(|entry| entry.update.host).collect();
        let dead: Vec<HostId> = dead.iter().map(|entry| entry.update.host).collect();
        let mut picked: Vec<HostId> =
            live.sample(&mut self.rng, self.config.times.fanout).copied().collect();
        picked.shuffle(&mut self.rng);
        if self.heartbeat_sequence.is_multiple_of(TRY_DEAD_EVERY) || live.is_empty() {
            picked.extend(dead.choose(&mut self.rng));
        }
        picked
    }

    fn heartbeat(&mut self, sequence: u64) -> Heartbeat {
        let members = self.member_gossip.take(MEMBERS_PER_HEARTBEAT);
        let members = members.into_iter().filter_map(|host| self.member_update(host)).collect();
        let engines = self.digest_gossip.take(DIGESTS_PER_HEARTBEAT);
        let digests = engines.into_iter().filter_map(|engine| self.digest(engine)).collect();
        Heartbeat {
            sequence,
            sender: self.members.own().clone(),
            revision: self.fold.revision(),
            era: self.fold.era(),
            next_offset: self.fold.next_offset(),
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

    /// Hashes the tables that hosts keep in step.
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

    pub(super) fn take_heartbeat(&mut self, from: HostId, heartbeat: &Heartbeat) {
        self.absorb(from, heartbeat);
        let mut ack = self.heartbeat(heartbeat.sequence);
        // A host that is believed to be gone must hear of it, so that it can refute.
        let believed = self.member_update(from);
        if let Some(believed) = believed.filter(|known| known.state != heartbeat.sender.state) {
            ack.members.push(believed);
        }
        self.send(from, PeerMessage::HeartbeatAck(ack));
    }

    /// Takes in what a heartbeat, or its answer, passes on.
    pub(super) fn absorb(&mut self, from: HostId, heartbeat: &Heartbeat) {
        self.hear_member(&heartbeat.sender);
        for update in &heartbeat.members {
            self.hear_member(update);
        }
        for digest in &heartbeat.digests {
            self.hear_digest(digest);
        }
        let told = StorePosition { era: heartbeat.era, offset: heartbeat.next_offset };
        let own = StorePosition { era: self.fold.era(), offset: self.fold.next_offset() };
        if told > own {
            self.pull_settings(from);
        } else if self.fold.revision() > 0 {
            self.confirm_settings();
        }
        if heartbeat.table_hash != self.table_hash() || !self.hosts_known {
            self.ask_sync(from);
        }
        self.settle_ownership();
    }

    pub(super) fn hear_member(&mut self, update: &MemberUpdate) {
        let now = self.now();
        let known_life = self.members.find(update.host).map(|entry| entry.update.incarnation);
        if !self.members.apply_update(update, now) {
            return;
        }
        self.member_changed(update.host);
        // A new life says that the old process is gone, and all it could still send.
        if known_life.is_some_and(|life| life != 0 && life < update.incarnation) {
            self.holder_gone(update.host, true, Some(update.incarnation));
        }
    }

    /// Passes on that a host's state changed and acts on it.
    pub(super) fn member_changed(&mut self, host: HostId) {
        let hosts = self.members.live_count();
        self.member_gossip.add(host, hosts);
        self.view_dirty = true;
        let Some(entry) = self.members.find(host) else { return };
        let state = entry.update.state;
        self.note(format!("host {host}"), state.name());
        if state == MemberState::Dead {
            self.holder_gone(host, false, None);
        }
    }

    fn hear_digest(&mut self, digest: &EngineDigest) {
        let engine = digest.engine;
        let owner = digest.owner;
        let (token, incarnation) = (digest.token, digest.incarnation);
        if !self.backends.put_digest(digest) {
            self.digest_gossip.record_duplicate(engine);
            return;
        }
        let hosts = self.members.live_count();
        self.digest_gossip.add(engine, hosts);
        if owner == self.config.host {
            return;
        }
        let still_owner = self.owner_of(engine) == Some(self.config.host);
        self.control(engine, |control, now, out| {
            if (incarnation, token) <= (control.incarnation(), control.token()) {
                return;
            }
            if still_owner {
                control.overtaken(token, now, out);
            } else {
                control.unassign(now, out);
            }
        });
    }

    fn ask_sync(&mut self, from: HostId) {
        let now = self.now();
        if now.since(self.last_sync) < SYNC_PAUSE {
            return;
        }
        self.last_sync = now;
        let known = self.backends.engines.values().filter_map(|view| view.digest.as_ref());
        let ask = SyncAsk {
            digests: known.map(EngineDigest::version).collect(),
            members: self.all_members(),
            wants_backends: !self.hosts_known,
        };
        self.send(from, PeerMessage::SyncAsk(ask));
    }

    fn all_members(&self) -> Vec<MemberUpdate> {
        let others = self.members.others().map(|entry| entry.update.clone());
        others.chain([self.members.own().clone()]).collect()
    }

    pub(super) fn take_sync_ask(&mut self, from: HostId, ask: &SyncAsk) {
        for update in &ask.members {
            self.hear_member(update);
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
        self.settle_ownership();
    }

    pub(super) fn take_sync_reply(&mut self, reply: SyncReply) {
        for update in &reply.members {
            self.hear_member(update);
        }
        if !self.hosts_known && !reply.backends.is_empty() {
            self.note("host list", "taken from a peer");
            self.take_backends(reply.backends);
        }
        for digest in &reply.digests {
            self.hear_digest(digest);
        }
        self.settle_ownership();
    }

    /// Asks a host for the settings records that are missing here.
    fn pull_settings(&mut self, from: HostId) {
        const PULL_PAUSE: Duration = Duration::from_millis(300);
        let now = self.now();
        if now.since(self.progress.pulled_at) < PULL_PAUSE {
            return;
        }
        self.progress.pulled_at = now;
        let pull = SettingsPull { era: self.fold.era(), next_offset: self.fold.next_offset() };
        self.send(from, PeerMessage::SettingsPull(pull));
    }

    /// Begins the planned stop: peers are told at once, so that they take the engines over.
    pub(super) fn stop_asked(&mut self) {
        use crate::chart::DrainEvent;
        if self.drain != DrainState::Serving {
            return;
        }
        self.drain = self.drain.after(DrainEvent::StopAsked);
        self.drain_since = self.now();
        self.members.leave();
        self.note("host", "stopping");
        self.view_dirty = true;
        let hall = self.config.hall;
        let peers: Vec<HostId> = self
            .members
            .others()
            .filter(|entry| entry.update.hall == hall && entry.update.state != MemberState::Dead)
            .map(|entry| entry.update.host)
            .collect();
        for host in peers {
            self.greet(host);
        }
        self.settle_ownership();
        self.go_on_draining();
    }
}
