//! Everything that the host believes, and how each message changes it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use reelreel_core::{
    ClockMillis, StorePosition,
    chart::{FreshnessState, TenureState},
    fleet::{
        EngineEntry, EngineIncarnation, EngineName, ModelKey, ServiceName,
        engine_choice::PublishedVersions,
        freshness::{ConfigurationFreshness, PeerClock},
        routes::RouteTable,
    },
    id::{StoreEra, generation_token},
    placement::{LeaseRules, PlacementPlanner},
};

use tokio::sync::watch;

use crate::{
    codec::KeyedRecord,
    control::{
        domain::PlacementDomain, feed::FeedSource, host_count::HostCount, mirror::TopicMirror,
        orders::OrderClients, sums::SumLane,
    },
    events::HostEvent,
    host::SharedState,
    peers::engine_messages::{EngineUpdate, decode_engines, encode_engines},
    peers::state_frames::{KeyedRecordMessage, PartitionOwnerMessage, StateFrame},
    store::{
        StoreRecoveries,
        era::{EraStatus, EraTracker},
        health::StoreHealth,
        membership::{GroupMember, MembershipUpdate},
    },
    table::{ServingTable, copies_by_key},
};

/// Everything that the host believes.
pub struct ControlState {
    pub(super) shared: Arc<SharedState>,
    pub(super) configuration: TopicMirror<Bytes>,
    pub(super) engine_records: TopicMirror<()>,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) engines: BTreeMap<EngineName, Arc<EngineEntry>>,
    /// Engines that were ever seen leaving, and in which life; a later record of the same life does not undo it.
    pub(super) leaving: HashMap<EngineName, EngineIncarnation>,
    /// The last life of each engine that is gone.
    pub(super) departed: HashMap<EngineName, EngineIncarnation>,
    pub(super) versions: HashMap<ModelKey, PublishedVersions>,
    pub(super) domains: BTreeMap<ServiceName, PlacementDomain>,
    pub(super) owners: HashMap<u32, GroupMember>,
    /// Until when this host reads the store for others, as far as the group goes.
    pub(super) reads_until: ClockMillis,
    pub(super) health: StoreHealth,
    pub(super) eras: EraTracker,
    heard_peer: bool,
    /// When this host began to read.
    pub(super) started: ClockMillis,
    /// Whether this host may serve by what it has read from the store.
    pub(super) trusted: bool,
    /// The era of the store that was last taken into account.
    pub(super) noted_era: StoreEra,
    pub(super) feed: FeedSource,
    pub(super) following: watch::Sender<bool>,
    /// Counts how often the store has answered again after a failure.
    store_returns: watch::Sender<u32>,
    host_count: HostCount,
    pub(super) lane: SumLane,
    /// Engines whose entries have gone just after an outage, and until when they count.
    pub(super) lapsed: BTreeMap<EngineName, ClockMillis>,
    /// Listings of engines by a store that came back older, and from when on they count unless the engine writes again before.
    pub(super) withheld: BTreeMap<EngineName, (EngineUpdate, ClockMillis)>,
    pub(super) clients: OrderClients,
    pub(super) changed: bool,
    pub(super) lease_states: HashMap<ServiceName, TenureState>,
    pub(super) freshness: ConfigurationFreshness,
    pub(super) told_freshness: FreshnessState,
}

impl ControlState {
    /// Starts with nothing known.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let freshness = ConfigurationFreshness::new(shared.profile.bounds.max_revocation_delay);
        shared.accept_keys_until(freshness.keys_valid_until());
        let lane = SumLane::new(&shared);
        let started = shared.clock.now();
        let host_count = HostCount::new(shared.profile.bounds.retry_policy.window);
        Self {
            told_freshness: freshness.state(),
            freshness,
            shared,
            configuration: TopicMirror::default(),
            engine_records: TopicMirror::default(),
            routes: None,
            engines: BTreeMap::new(),
            leaving: HashMap::new(),
            departed: HashMap::new(),
            versions: HashMap::new(),
            domains: BTreeMap::new(),
            owners: HashMap::new(),
            reads_until: ClockMillis::default(),
            health: StoreHealth::default(),
            eras: EraTracker::default(),
            heard_peer: false,
            started,
            trusted: false,
            noted_era: 0,
            feed: FeedSource::default(),
            following: watch::Sender::new(false),
            store_returns: watch::Sender::new(0),
            host_count,
            lane,
            lapsed: BTreeMap::new(),
            withheld: BTreeMap::new(),
            clients: OrderClients::default(),
            changed: false,
            lease_states: HashMap::new(),
        }
    }

    /// Returns what the host's threads share.
    pub const fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Returns a receiver that tells whether another host reads the store for this one.
    pub fn following(&self) -> watch::Receiver<bool> {
        self.following.subscribe()
    }

    /// Returns a receiver that tells when the store has answered again after a failure.
    pub fn store_returns(&self) -> StoreRecoveries {
        self.store_returns.subscribe()
    }

    /// Returns the kept connections for orders.
    pub const fn order_clients(&mut self) -> &mut OrderClients {
        &mut self.clients
    }

    /// Returns the planner of a service, while this host holds its lease.
    pub fn planner(&mut self, service: &str) -> Option<&mut PlacementPlanner> {
        self.domains.get_mut(service)?.planner.as_mut()
    }

    pub(super) fn lease_rules(&self) -> LeaseRules {
        let profile = &self.shared.profile;
        LeaseRules {
            time_to_live: super::MEMBERSHIP.max(profile.min_membership_ttl),
            handover_wait: profile.bounds.handover_wait,
            engines_enforce_fencing: profile.bounds.engines_enforce_fencing,
        }
    }

    /// Counts a call to the store as answered or not.
    pub(super) fn note_health(&mut self, answered: bool) {
        let now = self.shared.clock.now();
        if answered {
            self.store_answered(now);
        } else {
            self.health.record_failure(now);
        }
    }

    /// Takes that the reader that this host follows has said something.
    pub fn reader_responded(&mut self) {
        self.health.record_reader_update(self.shared.clock.now());
    }

    fn store_answered(&mut self, now: ClockMillis) {
        if self.health.record_response(now) {
            self.store_returns.send_modify(|returns| *returns = returns.wrapping_add(1));
        }
    }

    /// Takes what was learned of the group.
    pub fn membership_updated(&mut self, update: MembershipUpdate) {
        self.note_era();
        let now = self.shared.clock.now();
        match update {
            MembershipUpdate::Joined { assignment: share, sent } => {
                self.store_answered(now);
                self.dealt(&share.partitions, sent);
                let token = generation_token(share.era, share.generation);
                for domain in self.domains.values_mut() {
                    let listed = share.partitions.contains(&domain.partition);
                    domain.tenure.handle_join(listed, token, sent, now);
                }
            }
            MembershipUpdate::Failed => {
                self.shared.metrics.store_failures.inc();
                self.health.record_failure(now);
                for domain in self.domains.values_mut() {
                    domain.tenure.handle_join_failure(now);
                }
            }
            MembershipUpdate::Owners(owners) => {
                self.owners = owners;
                self.owners_changed();
                self.changed = true;
            }
        }
    }

    /// Takes that this host leaves the group for good.
    pub fn leave_group(&mut self) {
        for domain in self.domains.values_mut() {
            domain.tenure.handle_leave();
        }
    }

    /// Returns how many hosts share what is counted over all of them, at least one.
    pub fn hosts(&self) -> u32 {
        self.host_count.get(self.shared.profile.partitions)
    }

    /// Takes how many hosts a placer hears from.
    pub(super) fn hosts_counted(&mut self, count: u32) {
        let before = self.hosts();
        self.host_count.told(count, self.shared.clock.now());
        self.changed |= self.hosts() != before;
    }

    /// Returns the members of the group other than this host.
    pub fn other_members(&self) -> Vec<SocketAddr> {
        let own = self.shared.profile.peer_address;
        let members: BTreeSet<SocketAddr> =
            self.owners.values().map(|member| member.address).collect();
        members.into_iter().filter(|member| *member != own).collect()
    }

    /// Returns the services whose plan another host makes, with that host.
    pub fn foreign_placers(&self) -> Vec<(ServiceName, SocketAddr)> {
        let own = self.shared.profile.peer_address;
        let placers = self.domains.values().filter_map(|domain| {
            let placer = self.owners.get(&domain.partition)?.address;
            let foreign = placer != own && !domain.leads;
            foreign.then(|| (Arc::clone(&domain.service), placer))
        });
        placers.collect()
    }

    /// Returns a domain.
    pub fn domain(&mut self, service: &str) -> Option<&mut PlacementDomain> {
        self.domains.get_mut(service)
    }

    /// Takes that the connection to the placer of a service has ended.
    pub fn placer_lost(&mut self, service: &str) {
        if let Some(domain) = self.domains.get_mut(service) {
            domain.placer = None;
            domain.begin_telling();
            domain.plan_live = false;
            self.shared.shared_work().clear();
        }
    }

    /// Returns what this host has read from the store, for a peer that can not.
    pub fn state_frame(&self) -> StateFrame {
        let (names, engines) = encode_engines(&self.listed_engines());
        let configuration = self.configuration.records.iter().map(|(key, (position, value))| {
            let (key, value) = (key.clone(), value.clone());
            KeyedRecordMessage { key, value, offset: position.offset, era: position.era }
        });
        StateFrame {
            configuration: configuration.collect(),
            names,
            engines,
            owners: self.owner_lines(),
            complete: true,
            engines_end: self.engine_records.end().offset,
            engines_era: self.engine_records.end().era,
            ..self.fresh_frame()
        }
    }

    /// Takes what `peer` has read from the store; `clock` tells its clock's readings.
    ///
    /// What a peer says of the present state counts only if it knows the store's newest era; its records have an order of their own.
    pub fn peer_state(&mut self, frame: &StateFrame, peer: SocketAddr, clock: Option<PeerClock>) {
        let current = self.eras.observe(frame.era, peer.to_string()) == EraStatus::Current;
        self.note_era();
        let records: Vec<KeyedRecord> = frame.configuration.iter().map(Into::into).collect();
        self.take_configuration(&records);
        let updates = decode_engines(&frame.names, &frame.engines);
        let read_to = frame.engines_read_to();
        // A peer that has read nothing yet does not know that there are no engines.
        let whole = (frame.complete && read_to > StorePosition::default()).then_some(read_to);
        self.take_passed_on(updates, whole);
        self.heard_peer |= whole.is_some();
        if current {
            self.take_owners(&frame.owners);
        }
        self.publish();
        if let Some(clock) = clock.filter(|_| current && frame.confirmed_at > 0) {
            let moment = clock.to_local(ClockMillis::from_millis(frame.confirmed_at));
            self.configuration_confirmed(moment);
        }
    }

    fn take_owners(&mut self, lines: &[PartitionOwnerMessage]) {
        let owner =
            |line: &PartitionOwnerMessage| Some((line.partition, line.member.parse().ok()?));
        let owners: HashMap<u32, GroupMember> = lines.iter().filter_map(owner).collect();
        if !owners.is_empty() && owners != self.owners {
            self.owners = owners;
            self.changed = true;
        }
    }

    /// Returns whether a peer has told everything that it read since this process started.
    pub const fn has_heard_peer(&self) -> bool {
        self.heard_peer
    }

    /// Returns whether configuration and engines are known.
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.engine_records.known
    }

    /// Publishes what is believed, if it changed.
    pub(super) fn publish(&mut self) {
        self.note_trust(self.shared.clock.now());
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>> = HashMap::new();
        let mut held = BTreeMap::new();
        for entry in self.engines.values() {
            engines.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
            let planned =
                self.domains.get(&entry.service).and_then(|domain| domain.plan.get(&entry.name));
            let models = planned.unwrap_or(&entry.loaded_models).clone();
            held.insert(Arc::clone(&entry.name), models);
        }
        let estimates = self.domains.values().flat_map(|domain| &domain.estimates);
        let table = ServingTable {
            routes: self.routes.clone().filter(|_| self.trusted),
            engines,
            copies: copies_by_key(&held),
            versions: self.versions.clone(),
            estimates: estimates.map(|(key, time)| (Arc::clone(key), *time)).collect(),
            engines_known: self.engine_records.known,
            hosts: self.hosts(),
        };
        let metrics = &self.shared.metrics;
        metrics.engines.set(i64::try_from(self.engines.len()).unwrap_or(i64::MAX));
        let hosts = table.hosts;
        if metrics.hosts.set(i64::from(hosts)) != i64::from(hosts) {
            self.shared.events.write(HostEvent::HostsCounted { hosts });
        }
        let leases = self.domains.values().filter(|domain| domain.tenure.is_holder()).count();
        metrics.leases.set(i64::try_from(leases).unwrap_or(i64::MAX));
        self.shared.table.send_replace(Arc::new(table));
    }
}
