//! Plans orders: which models and adapters to load, on which engines, and what to evict for them.
//!
//! An adapter is loaded as soon as a request waits for it. Adapters load in parallel, and an engine
//! reloads recently held adapters from its local weight cache. Base model loads share the weight
//! store's rate limit. The planner's view of each engine stays correct when answers are lost or
//! delayed. `load_candidates` chooses what to load and `load_target` chooses where.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineEntry, EngineName, LoadedModel, ModelKey, WeightVersion, adapter_name,
        prefill_speed::PrefillSpeed, routes::ModelHosting, work::EngineWork,
    },
    placement::{
        DemandEntry, DemandTracker, EngineInventory, EngineWeightCache, HostWork, LoadRateLimiter,
        OrderAnswer, OrderId, OrderKind, PlacementAction, PlannedOrder, StoreThroughput,
        ThroughputEstimator, WorkTracker,
        engine_reports::loads_at_exit,
        inventory::PendingLoad,
        limited_engines::LimitedEngines,
        load_suspects::LoadSuspects,
        residency::{ResidencyPolicy, RunTimeEstimator, StandingResidency},
        round_totals::RoundTotals,
        unanswered_orders::{counts_toward_rate_limit, resolve_unanswered_loads},
    },
    popularity::DecayedRate,
};

/// Change of an engine's prefill backlog, as prefill time, that is too small to affect the choice
/// of an engine.
const PREFILL_BACKLOG_STEP: Duration = Duration::from_millis(10);

/// Half-life of the load order rate from which queueing delays are estimated.
const LOAD_RATE_HALF_LIFE: Duration = Duration::from_millis(1500);

/// Load order rate assumed when there were no recent loads. Unit: loads per second.
const MIN_LOAD_RATE: f64 = 4.0;

/// Maximum number of unanswered load orders at one sequence number before a report is requested.
const MAX_UNRESOLVED_LOADS: usize = 2;

/// Number of loads that the previous placer is assumed to have started just before a tenure.
const ASSUMED_PRIOR_LOADS: usize = 6;

/// Version of weights for which the operator named no version.
pub const DEFAULT_VERSION: WeightVersion = 1;

/// Plans the placement of one domain.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    pub(super) hosting: ModelHosting,
    pub(super) engines: BTreeMap<EngineName, EngineInventory>,
    pub(super) demand: DemandTracker,
    pub(super) work: WorkTracker,
    pub(super) load_rate_limiter: LoadRateLimiter,
    pub(super) versions: HashMap<ModelKey, WeightVersion>,
    pub(super) throughput_estimator: ThroughputEstimator,
    /// Rate of load orders, from which queueing delays are estimated.
    load_rate: DecayedRate,
    pub(super) prefill_speed: PrefillSpeed,
    pub(super) outstanding_orders: HashMap<OrderId, PlannedOrder>,
    pub(super) totals: RoundTotals,
    last_order_id: OrderId,
    /// Requested keys that the last round ordered no load for, the next one first.
    pub(super) load_queue: Vec<ModelKey>,
    residency: &'static dyn ResidencyPolicy,
    pub(super) run_time: RunTimeEstimator,
    /// Engines that evict an adapter to make room for a key, and since when.
    pub(super) making_room: HashMap<ModelKey, (EngineName, ClockMillis)>,
    /// The number of parallel loads that was assumed last.
    assumed_parallel_loads: f64,
    pub(super) load_suspects: LoadSuspects,
    pub(super) limited_engines: LimitedEngines,
    /// Loads that were pending when their engine was delisted or restarted, and that may have
    /// crashed it.
    pub(super) interrupted_loads: Vec<(Arc<EngineEntry>, PendingLoad)>,
}

impl PlacementPlanner {
    /// Creates a planner without engines.
    pub fn new(hosting: ModelHosting, load_rate_limiter: LoadRateLimiter) -> Self {
        let throughput_estimator =
            ThroughputEstimator::new(StoreThroughput::assumed(hosting.loads_per_second));
        Self {
            hosting,
            engines: BTreeMap::new(),
            demand: DemandTracker::default(),
            work: WorkTracker::default(),
            load_rate_limiter,
            versions: HashMap::new(),
            throughput_estimator,
            load_rate: DecayedRate::default(),
            prefill_speed: PrefillSpeed::default(),
            outstanding_orders: HashMap::new(),
            totals: RoundTotals::default(),
            last_order_id: 0,
            load_queue: Vec::new(),
            residency: &StandingResidency,
            run_time: RunTimeEstimator::default(),
            making_room: HashMap::new(),
            assumed_parallel_loads: 0.0,
            load_suspects: LoadSuspects::default(),
            limited_engines: LimitedEngines::default(),
            interrupted_loads: Vec::new(),
        }
    }

    /// Begins a tenure, discarding state that another placer may have changed.
    pub fn begin_tenure(&mut self, now: ClockMillis) {
        for (_, order) in self.outstanding_orders.drain() {
            if let Some(inventory) = self.engines.get_mut(&order.engine.name) {
                inventory.record_unanswered(&order);
            }
        }
        for inventory in self.engines.values_mut() {
            inventory.sequence = None;
            inventory.outstanding_order = None;
        }
        self.load_rate_limiter.record_assumed(ASSUMED_PRIOR_LOADS, now);
    }

    /// Sets the engines currently listed in the domain.
    pub fn set_engines(&mut self, entries: &[Arc<EngineEntry>]) {
        let names: BTreeSet<&EngineName> = entries.iter().map(|entry| &entry.name).collect();
        let removed = self.engines.extract_if(.., |name, _| !names.contains(name));
        self.interrupted_loads.extend(removed.flat_map(|(_, inventory)| loads_at_exit(&inventory)));
        for entry in entries {
            let name = Arc::clone(&entry.name);
            let new_inventory = || EngineInventory::new(Arc::clone(entry));
            let inventory = self.engines.entry(name).or_insert_with(new_inventory);
            if !inventory.entry.is_incarnation(entry.incarnation) {
                // A restarted engine holds none of its previous models and has taken no orders.
                let engine_orders = self.outstanding_orders.values();
                let engine_orders = engine_orders.filter(|order| order.engine.name == entry.name);
                self.interrupted_loads.extend(loads_at_exit(inventory));
                *inventory = inventory.next_incarnation(Arc::clone(entry), engine_orders);
            }
            inventory.entry = Arc::clone(entry);
        }
    }

    /// Restores the weight caches, as known to the previous placer, of listed engines.
    pub fn restore_weight_caches(&mut self, caches: &HashMap<EngineName, EngineWeightCache>) {
        for (engine, cache) in caches {
            if let Some(inventory) = self.engines.get_mut(engine) {
                inventory.weight_cache.clone_from(cache);
            }
        }
    }

    /// Restores the weight store throughput estimated by the previous placer.
    pub fn restore_throughput(&mut self, throughput: StoreThroughput) {
        self.throughput_estimator = ThroughputEstimator::new(throughput);
    }

    /// Assumes a throughput of the weight store that no placer has measured yet, unless loads have
    /// been started. The engines of a new fleet are listed one after the other, so the assumption
    /// follows their number.
    pub fn assume_throughput(&mut self) {
        let loads_per_second = self.hosting.loads_per_second;
        let parallel_loads =
            self.residency.assumed_parallel_loads(loads_per_second, self.engines.len());
        let assumed = StoreThroughput::assumed(parallel_loads);
        let unchanged = (assumed.parallel_loads - self.assumed_parallel_loads).abs() < 0.5;
        if !unchanged && !self.throughput_estimator.has_loads() {
            self.assumed_parallel_loads = assumed.parallel_loads;
            self.restore_throughput(assumed);
        }
    }

    /// Returns the estimated throughput of the weight store.
    pub fn store_throughput(&self) -> StoreThroughput {
        self.throughput_estimator.throughput()
    }

    /// Sets the hosting configuration of the service.
    pub fn set_hosting(&mut self, hosting: &ModelHosting) {
        if self.hosting != *hosting {
            self.hosting.clone_from(hosting);
        }
    }

    /// Sets the policy that chooses the orders.
    pub fn set_residency_policy(&mut self, policy: &'static dyn ResidencyPolicy) {
        self.residency = policy;
    }

    /// Sets the versions named by the operator.
    pub fn set_versions(&mut self, versions: &HashMap<ModelKey, WeightVersion>) {
        self.versions.clone_from(versions);
    }

    /// Records the demand reported by a host.
    pub fn record_demand(&mut self, host: &Arc<str>, entries: &[DemandEntry], now: ClockMillis) {
        self.demand.record(host, entries, now);
    }

    /// Sets the measured prefill speed of the domain's engines.
    pub fn set_prefill_speed(&mut self, speed: &PrefillSpeed) {
        self.prefill_speed.clone_from(speed);
    }

    /// Records the work that a host reports for engines.
    pub fn record_work(&mut self, host: &Arc<str>, host_work: &HostWork, now: ClockMillis) {
        self.work.record(host, host_work, now);
        for entry in host_work.open_requests.iter().filter(|entry| entry.open > 0) {
            if let Some(inventory) = self.engines.get_mut(&entry.engine) {
                inventory.record_requests(&entry.key);
            }
        }
        for absent in &host_work.absent {
            self.record_absence(absent, now);
        }
        for engine in &host_work.unreachable {
            if let Some(inventory) = self.engines.get_mut(engine) {
                inventory.record_unreachable_from(host, now);
            }
        }
    }

    /// Returns the work of engines where it has changed since the last call.
    pub fn take_changed_work(&mut self) -> Vec<(EngineName, EngineWork)> {
        self.work.take_changed(self.prefill_speed.tokens_in(PREFILL_BACKLOG_STEP))
    }

    /// Handles an engine's answer to an order, or the lack of one.
    pub fn handle_order_answer(&mut self, id: OrderId, answer: OrderAnswer, now: ClockMillis) {
        let Some(order) = self.outstanding_orders.remove(&id) else { return };
        let version = self.latest_version(&order.key);
        let load_time = self.expected_load_time(&order.key, order.kind.loads_from_store());
        let due = now + load_time;
        let Some(inventory) = self.engines.get_mut(&order.engine.name) else { return };
        if !inventory.entry.is_incarnation(order.engine.incarnation) {
            // The next incarnation may have taken the order, so only a report can settle its
            // sequence number.
            inventory.sequence = None;
            inventory.last_order_activity_at = now;
            return;
        }
        inventory.outstanding_order = None;
        inventory.last_order_activity_at = now;
        inventory.residency_changed = true;
        resolve_unanswered_loads(inventory, &mut self.load_rate_limiter, &order, answer);
        match (answer, order.kind) {
            (OrderAnswer::Accepted, OrderKind::Load { from_store }) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.pending.push(PendingLoad {
                    key: Arc::clone(&order.key),
                    version,
                    started_at: now,
                    due,
                    not_before: ClockMillis::default(),
                    order_id: Some(order.id),
                    from_store,
                    has_requests: false,
                });
                if from_store && adapter_name(&order.key).is_some() {
                    self.throughput_estimator.load_started(order.id, &order.engine.name, now);
                    self.update_due_times(now);
                }
                self.demand.record_load_order(&order.key, now);
            }
            // The adapter stays until its open requests have ended, which a report shows.
            (OrderAnswer::Accepted, OrderKind::Unload) => {
                inventory.sequence = None;
                inventory.unloading.insert(Arc::clone(&order.key));
            }
            (OrderAnswer::Done, OrderKind::Unload) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.held.remove(&order.key);
                inventory.record_cached(&order.key);
            }
            // The same order is issued again. The engine refuses whichever attempt arrives second.
            (OrderAnswer::Unknown, _)
                if inventory.unresolved_loads.len() <= MAX_UNRESOLVED_LOADS => {}
            // Whether the sequence number advanced is unknown, so a report is needed.
            _ => inventory.sequence = None,
        }
    }

    /// Returns the orders to send and the reports to request now.
    ///
    /// Only reports are requested unless `may_order` is set.
    pub fn plan(&mut self, may_order: bool, now: ClockMillis) -> Vec<PlacementAction> {
        for inventory in self.engines.values_mut() {
            inventory.complete_due_loads(now);
            inventory.drop_expired_unanswered(now);
        }
        self.demand.drop_expired(now);
        self.work.drop_expired(now);
        self.record_interrupted_loads(now);
        let mut actions = self.due_report_requests(now);
        if may_order {
            let orders = self.residency.plan_orders(self, now);
            actions.extend(orders.into_iter().map(PlacementAction::SendOrder));
        }
        actions
    }

    fn due_report_requests(&mut self, now: ClockMillis) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for inventory in self.engines.values_mut() {
            let callable =
                !inventory.entry.leaving && self.limited_engines.may_call(inventory, now);
            if callable && inventory.needs_report(now) {
                inventory.report_pending = true;
                inventory.report_requested_at = now;
                actions.push(PlacementAction::RequestReport(Arc::clone(&inventory.entry)));
            }
        }
        actions
    }

    /// Returns the version of `key` that the operator named last, or the default version.
    pub(super) fn latest_version(&self, key: &str) -> WeightVersion {
        self.versions.get(key).copied().unwrap_or(DEFAULT_VERSION)
    }

    /// Creates an order and treats it as taken by the engine until its answer arrives.
    pub(super) fn issue_order(
        &mut self,
        engine: &EngineName,
        kind: OrderKind,
        key: ModelKey,
        value: f64,
        now: ClockMillis,
    ) -> Option<PlannedOrder> {
        let version = self.versions.get(&key).copied();
        let waiting = self.demand.waiting_requests(&key);
        let inventory = self.engines.get_mut(engine)?;
        let expected_sequence = inventory.sequence?;
        inventory.outstanding_order = Some(kind);
        inventory.last_order_activity_at = now;
        inventory.last_order_sent_at = now;
        if counts_toward_rate_limit(kind, &key) {
            self.load_rate_limiter.record(now);
        }
        self.last_order_id += 1;
        let order = PlannedOrder {
            id: self.last_order_id,
            engine: Arc::clone(&inventory.entry),
            kind,
            key,
            version,
            expected_sequence,
            value,
            waiting,
        };
        if matches!(kind, OrderKind::Load { .. }) {
            self.load_rate.add(1.0, now, LOAD_RATE_HALF_LIFE);
        }
        self.outstanding_orders.insert(order.id, order.clone());
        self.totals.record_order(&order);
        Some(order)
    }

    /// Returns the models and adapters that requests may be sent to on each engine.
    ///
    /// A version that is being replaced is left out.
    pub fn residency(&self) -> Vec<(EngineName, Vec<LoadedModel>)> {
        let engines = self.engines.iter();
        engines.map(|(name, inventory)| (Arc::clone(name), inventory.servable_models())).collect()
    }

    /// Returns the servable models of engines where they may have changed since the last call.
    pub fn take_changed_residency(&mut self) -> Vec<(EngineName, Vec<LoadedModel>)> {
        let mut changed = Vec::new();
        for (name, inventory) in &mut self.engines {
            if std::mem::take(&mut inventory.residency_changed) {
                changed.push((Arc::clone(name), inventory.servable_models()));
            }
        }
        changed
    }

    /// Returns the expected delay until a requested key is loaded.
    pub fn estimated_load_delay(&self, key: &str, now: ClockMillis) -> Option<Duration> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        if let Some(load) = loads.filter(|load| &*load.key == key).min_by_key(|load| load.due) {
            return Some(load.due.since(now));
        }
        if self.outstanding_orders.values().any(|order| &*order.key == key) {
            return Some(self.store_throughput().load_time);
        }
        if let Some(quarantine) =
            self.load_suspects.remaining_quarantine(key, self.latest_version(key), now)
        {
            return Some(quarantine + self.store_throughput().load_time);
        }
        let position = self.load_queue.iter().position(|queued| &**queued == key)?;
        let rate = self.load_rate.per_second(now, LOAD_RATE_HALF_LIFE).max(MIN_LOAD_RATE);
        let queue_delay = Duration::from_secs_f64((position + 1) as f64 / rate);
        Some(self.store_throughput().load_time + queue_delay)
    }

    /// Returns the planner's view of each engine, for status pages and tests.
    pub fn inventories(&self) -> impl Iterator<Item = &EngineInventory> {
        self.engines.values()
    }

    /// Returns when the next pending load is expected to complete.
    pub fn next_load_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        let due = loads.map(|load| load.due).filter(|due| *due > now);
        due.map(Reverse).max().map(|Reverse(due)| due)
    }
}
