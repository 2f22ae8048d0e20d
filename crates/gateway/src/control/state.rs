//! Everything that the machine believes, and how each message changes it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use reelreel_core::{
    ClockSource,
    chart::TenureState,
    fleet::{
        EngineEntry, EngineName, ModelKey, ServiceName, choice::NamedVersion, routes::RouteTable,
    },
    placement::{LeaseRules, PlacementPlanner},
};

use crate::{
    border::{ConfigurationRecord, KeyedRecord},
    control::{domain::PlacementDomain, mirror::TopicMirror, orders::OrderClients},
    events::MachineEvent,
    machine::SharedState,
    peers::frame::{RecordLine, StateFrame},
    store::{follow::TopicUpdate, membership::MembershipUpdate},
    table::{ServingTable, copies_by_key},
};

/// Everything that the machine believes.
pub struct ControlState {
    pub(super) shared: Arc<SharedState>,
    configuration: TopicMirror,
    engine_records: TopicMirror,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) engines: BTreeMap<EngineName, Arc<EngineEntry>>,
    /// Engines that were ever seen leaving; a later record of the same life does not undo it.
    leaving: BTreeSet<EngineName>,
    pub(super) versions: HashMap<ModelKey, NamedVersion>,
    pub(super) domains: BTreeMap<ServiceName, PlacementDomain>,
    owners: HashMap<u32, SocketAddr>,
    clients: OrderClients,
    pub(super) changed: bool,
    pub(super) lease_states: HashMap<ServiceName, TenureState>,
}

impl ControlState {
    /// Starts with nothing known.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            configuration: TopicMirror::default(),
            engine_records: TopicMirror::default(),
            routes: None,
            engines: BTreeMap::new(),
            leaving: BTreeSet::new(),
            versions: HashMap::new(),
            domains: BTreeMap::new(),
            owners: HashMap::new(),
            clients: OrderClients::default(),
            changed: false,
            lease_states: HashMap::new(),
        }
    }

    /// Returns what the machine's threads share.
    pub const fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Returns the kept connections for orders.
    pub const fn order_clients(&mut self) -> &mut OrderClients {
        &mut self.clients
    }

    /// Returns the planner of a service, while this machine holds its lease.
    pub fn planner(&mut self, service: &str) -> Option<&mut PlacementPlanner> {
        self.domains.get_mut(service)?.planner.as_mut()
    }

    /// Takes what was read of the configuration.
    pub fn configuration_updated(&mut self, update: TopicUpdate) {
        self.configuration.note_reachability(&self.shared, "configuration", &update);
        let (TopicUpdate::Whole { records, .. } | TopicUpdate::Records(records)) = update else {
            return;
        };
        self.take_configuration(&records);
    }

    fn take_configuration(&mut self, records: &[KeyedRecord]) {
        for record in records {
            if !self.configuration.take(record) || record.value.is_empty() {
                continue;
            }
            match self.shared.dialects.store.configuration(record) {
                Ok(ConfigurationRecord::Routes(routes)) => self.take_routes(routes),
                Ok(ConfigurationRecord::Version(key, version)) => self.take_version(key, version),
                Ok(ConfigurationRecord::Other) => {}
                Err(error) => log::warn!("record {}: {error}", record.key),
            }
        }
        self.publish();
    }

    /// Takes a configuration; within one life of the process the revision never falls.
    fn take_routes(&mut self, routes: Arc<RouteTable>) {
        let newer = self.routes.as_ref().is_none_or(|old| old.revision() < routes.revision());
        if !newer {
            return;
        }
        let revision = routes.revision();
        self.shared.events.write(MachineEvent::ConfigurationInForce { revision });
        self.shared.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        for service in routes.hosting_services() {
            if !self.domains.contains_key(&service.name) {
                let name = Arc::clone(&service.name);
                let partitions = self.shared.profile.partitions;
                let domain =
                    PlacementDomain::new(Arc::clone(&name), partitions, self.lease_rules());
                self.domains.insert(name, domain);
            }
        }
        self.routes = Some(routes);
        self.changed = true;
    }

    fn lease_rules(&self) -> LeaseRules {
        let profile = &self.shared.profile;
        LeaseRules {
            time_to_live: super::MEMBERSHIP.max(profile.shortest_membership),
            handover_wait: profile.bounds.lease,
            engines_check: profile.bounds.engines_check_fences,
        }
    }

    fn take_version(&mut self, key: ModelKey, version: u64) {
        let since = self.shared.clock.now();
        let named = self.versions.entry(key).or_insert(NamedVersion { version, since });
        if named.version < version {
            *named = NamedVersion { version, since };
        }
        self.changed = true;
    }

    /// Takes what was read of the engines' entries.
    pub fn engines_updated(&mut self, update: TopicUpdate) {
        self.engine_records.note_reachability(&self.shared, "engines", &update);
        match update {
            TopicUpdate::Away => return,
            TopicUpdate::Whole { records, end } => {
                for key in self.engine_records.dropped(&records, end) {
                    self.engine_records.records.remove(&key);
                    self.drop_engine(&key);
                }
                self.engine_records.known = true;
                self.take_engines(&records);
            }
            TopicUpdate::Records(records) => self.take_engines(&records),
        }
        self.publish();
    }

    fn take_engines(&mut self, records: &[KeyedRecord]) {
        for record in records {
            if !self.engine_records.take(record) {
                continue;
            }
            if record.value.is_empty() {
                self.drop_engine(&record.key);
                continue;
            }
            match self.shared.dialects.store.engine(record) {
                Ok(entry) => self.take_engine(entry),
                Err(error) => log::warn!("engine {}: {error}", record.key),
            }
        }
    }

    fn take_engine(&mut self, mut entry: EngineEntry) {
        if entry.leaving && self.leaving.insert(Arc::clone(&entry.name)) {
            let engine = entry.name.to_string();
            self.shared.events.write(MachineEvent::EngineLeaving { engine });
        }
        entry.leaving |= self.leaving.contains(&entry.name);
        let old = self.engines.get(&entry.name);
        if old.is_none() {
            self.shared.events.write(MachineEvent::EngineJoined {
                engine: entry.name.to_string(),
                service: entry.service.to_string(),
                address: entry.address,
            });
        }
        // A heartbeat is newer than a plan that nobody keeps up to date.
        if let Some(domain) = self.domains.get_mut(&entry.service)
            && !domain.plan_live
        {
            self.changed |= domain.plan.remove(&entry.name).is_some();
        }
        let unchanged = old.is_some_and(|old| {
            old.leaving == entry.leaving && old.address == entry.address && old.held == entry.held
        });
        self.changed |= !unchanged;
        self.engines.insert(Arc::clone(&entry.name), Arc::new(entry));
    }

    fn drop_engine(&mut self, name: &str) {
        if let Some(entry) = self.engines.remove(name) {
            let engine = name.to_owned();
            self.shared.events.write(MachineEvent::EngineGone { engine });
            if let Some(domain) = self.domains.get_mut(&entry.service) {
                domain.plan.remove(name);
                domain.memories.remove(name);
            }
            let engines = &self.engines;
            self.clients.retain(|engine| engines.contains_key(engine));
            self.changed = true;
        }
    }

    /// Takes what was learned of the group.
    pub fn membership_updated(&mut self, update: MembershipUpdate) {
        let now = self.shared.clock.now();
        match update {
            MembershipUpdate::Joined { share, sent } => {
                for domain in self.domains.values_mut() {
                    let listed = share.partitions.contains(&domain.partition);
                    domain.tenure.joined(listed, share.generation, sent, now);
                }
            }
            MembershipUpdate::Failed => {
                self.shared.metrics.store_failures.inc();
                for domain in self.domains.values_mut() {
                    domain.tenure.join_failed(now);
                }
            }
            MembershipUpdate::Owners(owners) => {
                self.owners = owners;
                self.changed = true;
            }
        }
    }

    /// Takes that this machine leaves the group for good.
    pub fn leave_group(&mut self) {
        for domain in self.domains.values_mut() {
            domain.tenure.left();
        }
    }

    /// Returns how many machines the group has, at least one.
    pub fn machines(&self) -> u32 {
        let members: BTreeSet<&SocketAddr> = self.owners.values().collect();
        u32::try_from(members.len()).unwrap_or(1).max(1)
    }

    /// Returns the machines that other than this one are known.
    pub fn other_machines(&self) -> Vec<SocketAddr> {
        let own = self.shared.profile.peers;
        let members: BTreeSet<SocketAddr> = self.owners.values().copied().collect();
        members.into_iter().filter(|member| *member != own).collect()
    }

    /// Returns the services whose plan another machine makes, with that machine.
    pub fn foreign_placers(&self) -> Vec<(ServiceName, SocketAddr)> {
        let own = self.shared.profile.peers;
        let placers = self.domains.values().filter_map(|domain| {
            let placer = *self.owners.get(&domain.partition)?;
            let foreign = placer != own && domain.planner.is_none();
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
            domain.plan_live = false;
        }
    }

    /// Returns what this machine has read from the store, for a peer that can not.
    pub fn state_frame(&self) -> StateFrame {
        StateFrame {
            configuration: self.configuration.lines(),
            engines: self.engine_records.lines(),
            machines: self.owners.values().map(ToString::to_string).collect(),
        }
    }

    /// Takes what a peer has read from the store.
    pub fn peer_state(&mut self, frame: &StateFrame) {
        let records = |lines: &[RecordLine]| -> Vec<KeyedRecord> {
            let record = |line: &RecordLine| KeyedRecord {
                key: line.key.clone(),
                value: line.value.clone(),
                offset: line.offset,
            };
            lines.iter().map(record).collect()
        };
        self.take_configuration(&records(&frame.configuration));
        self.take_engines(&records(&frame.engines));
        self.engine_records.known |= !frame.engines.is_empty();
        self.publish();
    }

    /// Returns whether configuration and engines are known.
    pub fn is_complete(&self) -> bool {
        self.routes.is_some() && self.engine_records.known
    }

    /// Publishes what is believed, if it changed.
    pub(super) fn publish(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let mut engines: HashMap<ServiceName, Vec<Arc<EngineEntry>>> = HashMap::new();
        let mut held = BTreeMap::new();
        for entry in self.engines.values() {
            engines.entry(Arc::clone(&entry.service)).or_default().push(Arc::clone(entry));
            let planned =
                self.domains.get(&entry.service).and_then(|domain| domain.plan.get(&entry.name));
            let models = planned.unwrap_or(&entry.held).clone();
            held.insert(Arc::clone(&entry.name), models);
        }
        let estimates = self.domains.values().flat_map(|domain| &domain.estimates);
        let table = ServingTable {
            routes: self.routes.clone(),
            engines,
            copies: copies_by_key(&held),
            versions: self.versions.clone(),
            estimates: estimates.map(|(key, time)| (Arc::clone(key), *time)).collect(),
            engines_known: self.engine_records.known,
            machines: self.machines(),
        };
        let metrics = &self.shared.metrics;
        metrics.engines.set(i64::try_from(self.engines.len()).unwrap_or(i64::MAX));
        let leases = self.domains.values().filter(|domain| domain.tenure.is_holder()).count();
        metrics.leases.set(i64::try_from(leases).unwrap_or(i64::MAX));
        self.shared.table.send_replace(Arc::new(table));
    }
}
