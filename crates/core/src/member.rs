//! Membership of the entry hosts, with failure detection by heartbeats.
//!
//! The protocol is SWIM (Das et al., 2002) without indirect probes: a host that does not answer a
//! heartbeat is suspected, the suspicion is gossiped, and the host refutes it by gossiping a higher
//! refutation count. The platform's host list, which lags, is used only to seed the table.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    chart::{MemberEvent, MemberState},
    clock::ClockMillis,
    id::{HallId, HostId, Incarnation},
};

/// The gossiped state of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The host.
    pub host: HostId,
    /// The host's data hall.
    pub hall: HallId,
    /// The host's address for peers, as `ip:port`.
    pub address: String,
    /// The host's incarnation, from the start time of its process.
    pub incarnation: Incarnation,
    /// Number of suspicions that the host has refuted in this incarnation.
    pub refutations: u32,
    /// The host's state, as seen by the sender.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns the version, which orders the updates of one host.
    const fn version(&self) -> (Incarnation, u32, u8) {
        (self.incarnation, self.refutations, state_precedence(self.state))
    }
}

/// The entry of another host in the membership table.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The latest update.
    pub update: MemberUpdate,
    /// Time at which the state was entered.
    pub state_since: ClockMillis,
    /// Time at which the oldest unanswered heartbeat was sent.
    pub heartbeat_sent_at: Option<ClockMillis>,
}

/// Returns the precedence of a state among updates with the same incarnation and refutation count.
const fn state_precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Leaving => 2,
        MemberState::Dead => 3,
    }
}

/// The timeouts of the membership protocol.
#[derive(Debug, Clone, Copy)]
pub struct MemberTimeouts {
    /// Time after which a host that has not answered a heartbeat is suspected.
    pub ack_timeout: Duration,
    /// Time after which a suspected host that has not refuted is considered dead.
    pub suspicion_timeout: Duration,
    /// Time for which a dead host is kept, so that stale updates about it are recognised.
    pub dead_retention: Duration,
}

/// The membership table: all known hosts of the site.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: MemberUpdate,
    members: BTreeMap<HostId, MemberEntry>,
    timeouts: MemberTimeouts,
}

impl MemberTable {
    /// Creates a table that contains only the host itself.
    pub const fn new(own: MemberUpdate, timeouts: MemberTimeouts) -> Self {
        Self { own, members: BTreeMap::new(), timeouts }
    }

    /// Returns the host's own entry.
    pub const fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Iterates over all other known hosts.
    pub fn others(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the entry of another host.
    pub fn find(&self, host: HostId) -> Option<&MemberEntry> {
        self.members.get(&host)
    }

    /// Returns the number of hosts that are not dead, including this host.
    pub fn live_count(&self) -> usize {
        let live = |entry: &&MemberEntry| entry.update.state != MemberState::Dead;
        1 + self.members.values().filter(live).count()
    }

    /// Iterates over the hosts that may own resources: those alive or suspected, including this host.
    /// Restricted to one hall if given.
    pub fn eligible_owners(&self, hall: Option<HallId>) -> impl Iterator<Item = HostId> {
        let eligible = move |update: &&MemberUpdate| {
            let live = matches!(update.state, MemberState::Alive | MemberState::Suspect);
            live && hall.is_none_or(|hall| hall == update.hall)
        };
        let others = self.members.values().map(|entry| &entry.update);
        others.chain([&self.own]).filter(eligible).map(|update| update.host)
    }

    /// Returns whether a hall has a host that is not dead.
    pub fn hall_reachable(&self, hall: HallId) -> bool {
        let others = self.members.values().map(|entry| &entry.update);
        others
            .chain([&self.own])
            .any(|update| update.hall == hall && update.state != MemberState::Dead)
    }

    /// Applies an update from a peer or the host list. Returns whether it changed the table.
    ///
    /// An update that claims this host is suspected or dead is refuted by raising its refutation
    /// count.
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

    /// Records a message received directly from a host. Returns whether the host's state changed.
    pub fn record_contact(&mut self, host: HostId, now: ClockMillis) -> bool {
        let Some(entry) = self.members.get_mut(&host) else { return false };
        entry.heartbeat_sent_at = None;
        // A dead host becomes alive again only by an update from itself, which has its incarnation.
        if entry.update.state != MemberState::Suspect {
            return false;
        }
        Self::transition(entry, MemberEvent::Heard, now)
    }

    /// Records that a heartbeat was sent to a host.
    pub fn record_heartbeat_sent(&mut self, host: HostId, now: ClockMillis) {
        if let Some(entry) = self.members.get_mut(&host) {
            entry.heartbeat_sent_at.get_or_insert(now);
        }
    }

    /// Applies the timeouts. Returns the hosts whose state changed.
    pub fn expire(&mut self, now: ClockMillis) -> Vec<HostId> {
        let timeouts = self.timeouts;
        let mut changed = Vec::new();
        for (host, entry) in &mut self.members {
            let missed = entry
                .heartbeat_sent_at
                .is_some_and(|sent_at| now.since(sent_at) > timeouts.ack_timeout);
            if missed {
                entry.heartbeat_sent_at = None;
            }
            let time_in_state = now.since(entry.state_since);
            let event = match entry.update.state {
                MemberState::Alive if missed => MemberEvent::Missed,
                MemberState::Suspect if time_in_state > timeouts.suspicion_timeout => {
                    MemberEvent::TimedOut
                }
                MemberState::Leaving if missed && time_in_state > timeouts.suspicion_timeout => {
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
            !dead || now.since(entry.state_since) <= timeouts.dead_retention
        });
        changed
    }

    /// Marks this host as leaving.
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
