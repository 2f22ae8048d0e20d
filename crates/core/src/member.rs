//! Which entry hosts there are: heartbeats to a few, suspicion before death, incarnations.
//!
//! The scheme is SWIM's (Das et al., 2002) without its indirect probes: a host that misses an
//! answer is suspected, the suspicion is passed on, and the host refutes it by passing on a higher
//! count of refutations. The platform's lagging host list only seeds the table.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{MemberEvent, MemberState},
    clock::ClockMillis,
    id::{HallId, HostId, Incarnation},
};

/// One host as another one passes it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The host.
    pub host: HostId,
    /// Its data hall.
    pub hall: HallId,
    /// Its address for peers, as `ip:port`.
    pub address: String,
    /// Its life: when its process started.
    pub incarnation: Incarnation,
    /// Counts the false suspicions that it refuted in this life.
    pub refutations: u32,
    /// What is believed of it.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns what orders two updates of one host: the later one has the higher version.
    const fn version(&self) -> (Incarnation, u32, u8) {
        (self.incarnation, self.refutations, state_precedence(self.state))
    }
}

/// What a host knows of another one.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The state as passed on.
    pub update: MemberUpdate,
    /// When the state was entered.
    pub state_since: ClockMillis,
    /// When a heartbeat went out that is not yet answered.
    pub heartbeat_sent_at: Option<ClockMillis>,
}

/// How far one state of the same incarnation outdoes another.
const fn state_precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

/// The times that membership goes by.
#[derive(Debug, Clone, Copy)]
pub struct MemberTimeouts {
    /// How long an answer may take before the host is suspected.
    pub ack_timeout: Duration,
    /// How long a suspected host has to refute.
    pub suspicion_timeout: Duration,
    /// How long a dead host is remembered, so that old news of it is recognised.
    pub dead_retention: Duration,
}

/// The table of hosts of the site.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: MemberUpdate,
    members: BTreeMap<HostId, MemberEntry>,
    times: MemberTimeouts,
}

impl MemberTable {
    /// Starts with nobody but the host itself.
    pub const fn new(own: MemberUpdate, times: MemberTimeouts) -> Self {
        Self { own, members: BTreeMap::new(), times }
    }

    /// Returns the host's own entry.
    pub const fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns all other hosts known.
    pub fn others(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Finds another host.
    pub fn find(&self, host: HostId) -> Option<&MemberEntry> {
        self.members.get(&host)
    }

    /// Counts the hosts that are not dead, the host itself included.
    pub fn live_count(&self) -> usize {
        let live = |entry: &&MemberEntry| entry.update.state != MemberState::Dead;
        1 + self.members.values().filter(live).count()
    }

    /// Lists the hosts that may own things, the host itself included: alive or only suspected.
    pub fn eligible_owners(&self, hall: Option<HallId>) -> impl Iterator<Item = HostId> {
        let eligible = move |update: &&MemberUpdate| {
            let live = matches!(update.state, MemberState::Alive | MemberState::Suspect);
            live && hall.is_none_or(|hall| hall == update.hall)
        };
        let others = self.members.values().map(|entry| &entry.update);
        others.chain([&self.own]).filter(eligible).map(|update| update.host)
    }

    /// Says whether a hall has a host that is not dead.
    pub fn hall_reachable(&self, hall: HallId) -> bool {
        let others = self.members.values().map(|entry| &entry.update);
        others
            .chain([&self.own])
            .any(|update| update.hall == hall && update.state != MemberState::Dead)
    }

    /// Takes in what a peer or the host list says of a host; says whether it changed the table.
    ///
    /// A claim against the host itself is refuted: its count of refutations is raised.
    pub fn apply_update(&mut self, update: &MemberUpdate, now: ClockMillis) -> bool {
        if update.host == self.own.host {
            return self.refute(update);
        }
        let Some(entry) = self.members.get_mut(&update.host) else {
            if update.state == MemberState::Dead {
                return false;
            }
            let entry =
                MemberEntry { update: update.clone(), state_since: now, heartbeat_sent_at: None };
            self.members.insert(update.host, entry);
            return true;
        };
        if update.version() <= entry.update.version() {
            return false;
        }
        if update.state != entry.update.state {
            entry.state_since = now;
        }
        if update.incarnation > entry.update.incarnation {
            entry.heartbeat_sent_at = None;
        }
        entry.update = update.clone();
        true
    }

    fn refute(&mut self, update: &MemberUpdate) -> bool {
        let same_incarnation = update.incarnation == self.own.incarnation;
        if !same_incarnation || update.version() <= self.own.version() {
            return false;
        }
        self.own.refutations = update.refutations + 1;
        true
    }

    /// Notes an answer or any other message straight from a host; says whether its state changed.
    pub fn record_contact(&mut self, host: HostId, now: ClockMillis) -> bool {
        let Some(entry) = self.members.get_mut(&host) else { return false };
        entry.heartbeat_sent_at = None;
        // A dead host is alive again only by its own word, which carries its incarnation.
        if entry.update.state != MemberState::Suspect {
            return false;
        }
        Self::transition(entry, MemberEvent::Heard, now)
    }

    /// Notes that a heartbeat went out to a host.
    pub fn record_heartbeat_sent(&mut self, host: HostId, now: ClockMillis) {
        if let Some(entry) = self.members.get_mut(&host) {
            entry.heartbeat_sent_at.get_or_insert(now);
        }
    }

    /// Moves suspicions on; returns the hosts whose state changed.
    pub fn expire(&mut self, now: ClockMillis) -> Vec<HostId> {
        let times = self.times;
        let mut changed = Vec::new();
        for (host, entry) in &mut self.members {
            let missed = entry
                .heartbeat_sent_at
                .is_some_and(|sent_at| now.since(sent_at) > times.ack_timeout);
            if missed {
                entry.heartbeat_sent_at = None;
            }
            let time_in_state = now.since(entry.state_since);
            let event = match entry.update.state {
                MemberState::Alive if missed => MemberEvent::Missed,
                MemberState::Suspect if time_in_state > times.suspicion_timeout => {
                    MemberEvent::TimedOut
                }
                MemberState::Leaving if missed && time_in_state > times.suspicion_timeout => {
                    MemberEvent::TimedOut
                }
                _ => continue,
            };
            if Self::transition(entry, event, now) {
                changed.push(*host);
            }
        }
        self.members.retain(|_, entry| {
            let dead = entry.update.state == MemberState::Dead;
            !dead || now.since(entry.state_since) <= times.dead_retention
        });
        changed
    }

    /// Says that this host is stopping.
    pub fn leave(&mut self) {
        self.own.state = self.own.state.after(MemberEvent::Left);
    }

    fn transition(entry: &mut MemberEntry, event: MemberEvent, now: ClockMillis) -> bool {
        let state = entry.update.state.after(event);
        if state == entry.update.state {
            return false;
        }
        entry.update.state = state;
        entry.state_since = now;
        true
    }
}
