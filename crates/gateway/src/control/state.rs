//! The state of the control thread, and how messages change it.

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
        state_verification::StateVerification,
    },
    id::{StoreEra, generation_token},
    placement::{LeaseRules, PlacementPlanner},
};

use tokio::sync::watch;

use crate::{
    codec::KeyedRecord,
    control::{
        aggregates::AggregateSet,
        domain::PlacementDomain,
        feed::FollowerFeed,
        host_count::{HostCount, HostReport},
        orders::OrderClients,
        topic_mirror::TopicMirror,
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

/// Everything that this host knows about the fleet.
pub struct ControlState {
    pub(super) shared: Arc<SharedState>,
    pub(super) configuration: TopicMirror<Bytes>,
    pub(super) engine_records: TopicMirror<()>,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) engines: BTreeMap<EngineName, Arc<EngineEntry>>,
    /// Incarnations of engines that are known to be leaving. A later record of the same incarnation
    /// does not reverse this.
    pub(super) leaving_incarnations: HashMap<EngineName, EngineIncarnation>,
    /// The last incarnation of each engine that has been removed.
    pub(super) last_incarnations: HashMap<EngineName, EngineIncarnation>,
    pub(super) versions: HashMap<ModelKey, PublishedVersions>,
    pub(super) domains: BTreeMap<ServiceName, PlacementDomain>,
    pub(super) owners: HashMap<u32, GroupMember>,
    /// Until when the group assigns this host to read the store for others.
    pub(super) reader_until: ClockMillis,
    pub(super) store_health: StoreHealth,
    pub(super) eras: EraTracker,
    /// The first peer that has sent its complete state since this process started.
    pub(super) peer_state_source: Option<SocketAddr>,
    /// Whether the state includes what the store had before its last restore.
    pub(super) verification: StateVerification,
    /// The last era in which a verified peer has sent its state.
    pub(super) compared_era: StoreEra,
    /// Followers that say that their state is verified, while this host's is not.
    pub(super) verified_followers: BTreeSet<SocketAddr>,
    /// The last era in which the store is known to have the configuration in force.
    pub(super) routes_era: StoreEra,
    /// The last era whose restore record is known to be written.
    pub(super) recorded_era: StoreEra,
    /// When this host started to read the store.
    pub(super) started_at: ClockMillis,
    /// Whether this host may serve by what it has read from the store.
    pub(super) may_serve: bool,
    /// The last era of the store that was handled.
    pub(super) last_known_era: StoreEra,
    pub(super) feed: FollowerFeed,
    pub(super) following: watch::Sender<bool>,
    /// Counts how often the store has become available again.
    store_returns: watch::Sender<u32>,
    pub(super) host_count: HostCount,
    pub(super) aggregates: AggregateSet,
    /// Engines whose entries were removed, and until when they stay listed.
    pub(super) unlisted_until: BTreeMap<EngineName, ClockMillis>,
    /// Deferred listings from a restored store, and when they are applied unless the engine writes
    /// again before.
    pub(super) deferred_listings: BTreeMap<EngineName, (EngineUpdate, ClockMillis)>,
    pub(super) order_clients: OrderClients,
    pub(super) table_changed: bool,
    pub(super) lease_states: HashMap<ServiceName, TenureState>,
    pub(super) freshness: ConfigurationFreshness,
    pub(super) logged_freshness: FreshnessState,
}

impl ControlState {
    /// Creates a state in which nothing is known.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let freshness = ConfigurationFreshness::new(shared.profile.bounds.max_revocation_delay);
        shared.accept_keys_until(freshness.keys_valid_until());
        let aggregates = AggregateSet::new(&shared);
        let started_at = shared.clock.now();
        let host_count = HostCount::new(shared.profile.bounds.retry_policy.window);
        Self {
            logged_freshness: freshness.state(),
            freshness,
            shared,
            configuration: TopicMirror::default(),
            engine_records: TopicMirror::default(),
            routes: None,
            engines: BTreeMap::new(),
            leaving_incarnations: HashMap::new(),
            last_incarnations: HashMap::new(),
            versions: HashMap::new(),
            domains: BTreeMap::new(),
            owners: HashMap::new(),
            reader_until: ClockMillis::default(),
            store_health: StoreHealth::default(),
            eras: EraTracker::default(),
            peer_state_source: None,
            verification: StateVerification::new(started_at),
            compared_era: 0,
            verified_followers: BTreeSet::new(),
            routes_era: 0,
            recorded_era: 0,
            started_at,
            may_serve: false,
            last_known_era: 0,
            feed: FollowerFeed::default(),
            following: watch::Sender::new(false),
            store_returns: watch::Sender::new(0),
            host_count,
            aggregates,
            unlisted_until: BTreeMap::new(),
            deferred_listings: BTreeMap::new(),
            order_clients: OrderClients::default(),
            table_changed: false,
            lease_states: HashMap::new(),
        }
    }

    /// Returns the state that is shared between the host's threads.
    pub const fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Returns a receiver of whether another host reads the store for this one.
    pub fn following(&self) -> watch::Receiver<bool> {
        self.following.subscribe()
    }

    /// Returns a receiver that is notified when the store becomes available again.
    pub fn store_returns(&self) -> StoreRecoveries {
        self.store_returns.subscribe()
    }

    /// Returns the open connections for orders.
    pub const fn order_clients(&mut self) -> &mut OrderClients {
        &mut self.order_clients
    }

    /// Returns the planner of a service, while this host holds its lease.
    pub fn planner(&mut self, service: &str) -> Option<&mut PlacementPlanner> {
        self.domains.get_mut(service)?.planner.as_mut()
    }

    pub(super) fn lease_rules(&self) -> LeaseRules {
        let profile = &self.shared.profile;
        LeaseRules {
            time_to_live: super::MEMBERSHIP_TTL.max(profile.min_membership_ttl),
            handover_wait: profile.bounds.handover_wait,
            engines_enforce_fencing: profile.bounds.engines_enforce_fencing,
        }
    }

    /// Records whether a call to the store was answered.
    pub(super) fn record_store_call(&mut self, answered: bool) {
        let now = self.shared.clock.now();
        if answered {
            self.record_store_response(now);
        } else {
            self.store_health.record_failure(now);
        }
    }

    /// Records that the reader that this host follows has sent something.
    pub fn reader_responded(&mut self) {
        self.store_health.record_reader_update(self.shared.clock.now());
    }

    fn record_store_response(&mut self, now: ClockMillis) {
        if self.store_health.record_response(now) {
            self.store_returns.send_modify(|returns| *returns = returns.wrapping_add(1));
        }
    }

    /// Applies an update of the group membership.
    pub fn apply_membership_update(&mut self, update: MembershipUpdate) {
        self.handle_new_era();
        let now = self.shared.clock.now();
        match update {
            MembershipUpdate::Joined { assignment, sent } => {
                self.record_store_response(now);
                self.handle_assignment(&assignment.partitions, sent);
                let token = generation_token(assignment.era, assignment.generation);
                for domain in self.domains.values_mut() {
                    let listed = assignment.partitions.contains(&domain.partition);
                    domain.tenure.handle_join(listed, token, sent, now);
                }
            }
            MembershipUpdate::Failed => {
                self.shared.metrics.store_failures.inc();
                self.store_health.record_failure(now);
                for domain in self.domains.values_mut() {
                    domain.tenure.handle_join_failure(now);
                }
            }
            MembershipUpdate::Owners(owners) => {
                self.owners = owners;
                self.update_origin_keepers();
                self.queue_owners();
                self.table_changed = true;
            }
        }
    }

    /// Ends the tenures of this host, which leaves the group.
    pub fn leave_group(&mut self) {
        for domain in self.domains.values_mut() {
            domain.tenure.handle_leave();
        }
    }

    /// Returns the estimated number of hosts that share fleet-wide budgets, at least one.
    pub fn hosts(&self) -> u32 {
        self.host_count.get(self.shared.profile.partitions)
    }

    /// Records a placer's report of the number of hosts.
    pub(super) fn record_host_report(&mut self, report: HostReport) {
        let previous = (self.hosts(), self.host_count.is_assumed());
        self.host_count.record_report(report, self.shared.clock.now());
        self.table_changed |= (self.hosts(), self.host_count.is_assumed()) != previous;
    }

    /// Returns the addresses of the other members of the group.
    pub fn other_members(&self) -> Vec<SocketAddr> {
        let own_address = self.shared.profile.peer_address;
        let members: BTreeSet<SocketAddr> =
            self.owners.values().map(|member| member.address).collect();
        members.into_iter().filter(|member| *member != own_address).collect()
    }

    /// Returns the services whose placer is another host, with that host's address.
    pub fn remote_placers(&self) -> Vec<(ServiceName, SocketAddr)> {
        let own_address = self.shared.profile.peer_address;
        let placers = self.domains.values().filter_map(|domain| {
            let placer = self.owners.get(&domain.partition)?.address;
            let is_remote = placer != own_address && !domain.holds_lease;
            is_remote.then(|| (Arc::clone(&domain.service), placer))
        });
        placers.collect()
    }

    /// Returns the placement domain of a service.
    pub fn domain(&mut self, service: &str) -> Option<&mut PlacementDomain> {
        self.domains.get_mut(service)
    }

    /// Handles the end of the connection to a service's placer.
    pub fn handle_placer_disconnect(&mut self, service: &str) {
        if let Some(domain) = self.domains.get_mut(service) {
            domain.placer_sender = None;
            domain.reset_encoding_state();
            domain.plan_up_to_date = false;
            self.shared.shared_work().clear();
        }
    }

    /// Returns what this host has read from the store, for a peer that cannot read it.
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
            owners: self.owner_messages(),
            complete: true,
            engines_end: self.engine_records.end().offset,
            engines_era: self.engine_records.end().era,
            ..self.freshness_frame()
        }
    }

    /// Applies what `peer` has read from the store; `clock` converts times of its clock.
    ///
    /// The peer's owners and confirmation count only if it knows the latest era of the store. Its
    /// records are ordered on their own and always apply.
    pub fn apply_peer_state(
        &mut self,
        frame: &StateFrame,
        peer: SocketAddr,
        clock: Option<PeerClock>,
    ) {
        let is_current = self.eras.observe(frame.era, peer.to_string()) == EraStatus::Current;
        self.handle_new_era();
        let records: Vec<KeyedRecord> = frame.configuration.iter().map(Into::into).collect();
        self.apply_configuration(&records);
        let updates = decode_engines(&frame.names, &frame.engines);
        let read_to = frame.engines_read_to();
        // A peer that has read nothing yet cannot know that there are no engines.
        let full_read_end =
            (frame.complete && read_to > StorePosition::default()).then_some(read_to);
        self.apply_peer_engines(updates, full_read_end);
        if full_read_end.is_some() {
            self.peer_state_source.get_or_insert(peer);
            self.verification.record_complete_state();
            if is_current && frame.verified {
                self.record_verified_peer(peer);
            }
        }
        if is_current {
            self.apply_owners(&frame.owners);
        }
        self.publish();
        if let Some(clock) = clock.filter(|_| is_current && frame.confirmed_at > 0) {
            let confirmed_at = clock.to_local(ClockMillis::from_millis(frame.confirmed_at));
            self.confirm_configuration(confirmed_at);
        }
    }

    fn apply_owners(&mut self, messages: &[PartitionOwnerMessage]) {
        let owner = |message: &PartitionOwnerMessage| {
            Some((message.partition, message.member.parse().ok()?))
        };
        let owners: HashMap<u32, GroupMember> = messages.iter().filter_map(owner).collect();
        if !owners.is_empty() && owners != self.owners {
            self.owners = owners;
            self.update_origin_keepers();
            self.table_changed = true;
        }
    }

    /// Updates the hosts that keep the origins of streams: the members of the group.
    fn update_origin_keepers(&self) {
        let members: BTreeSet<SocketAddr> =
            self.owners.values().map(|owner| owner.address).collect();
        self.shared.stream_origins().set_hosts(members.into_iter().collect());
    }

    /// Returns whether a peer has sent its complete state since this process started.
    pub const fn has_peer_state(&self) -> bool {
        self.peer_state_source.is_some()
    }

    /// Returns whether the configuration and the engines are known.
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.engine_records.fully_read
    }

    /// Publishes the serving table if anything in it has changed.
    pub(super) fn publish(&mut self) {
        self.update_may_serve(self.shared.clock.now());
        if !std::mem::take(&mut self.table_changed) {
            return;
        }
        let mut engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>> = HashMap::new();
        let mut loaded = BTreeMap::new();
        for entry in self.engines.values() {
            engines.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
            let planned =
                self.domains.get(&entry.service).and_then(|domain| domain.plan.get(&entry.name));
            let models = planned.unwrap_or(&entry.loaded_models).clone();
            loaded.insert(Arc::clone(&entry.name), models);
        }
        let estimates = self.domains.values().flat_map(|domain| &domain.estimates);
        let table = ServingTable {
            routes: self.routes.clone().filter(|_| self.may_serve),
            engines,
            copies: copies_by_key(&loaded),
            versions: self.versions.clone(),
            estimates: estimates.map(|(key, schedule)| (Arc::clone(key), *schedule)).collect(),
            engines_known: self.engine_records.fully_read,
            hosts: self.hosts(),
        };
        let metrics = &self.shared.metrics;
        metrics.engines.set(i64::try_from(self.engines.len()).unwrap_or(i64::MAX));
        metrics.hosts_assumed.set(i64::from(self.host_count.is_assumed()));
        let hosts = table.hosts;
        if metrics.hosts.set(i64::from(hosts)) != i64::from(hosts) {
            self.shared.events.write(HostEvent::HostsCounted { hosts });
        }
        let leases = self.domains.values().filter(|domain| domain.tenure.is_holder()).count();
        metrics.leases.set(i64::try_from(leases).unwrap_or(i64::MAX));
        self.shared.table.send_replace(Arc::new(table));
    }
}
