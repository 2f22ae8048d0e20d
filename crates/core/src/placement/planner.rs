//! Picks the next orders: what to load where, and what makes room for it.
//!
//! An adapter is loaded as soon as a request waits for it: adapters come several at a time, and an
//! engine brings back what it held lately by itself. Base models share the weight store's rate and
//! its ceiling. The planner keeps what it knows of each engine true through answers that are lost or
//! late; `candidates` says what is worth loading, and `target` where.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineEntry, EngineName, HeldModel, ModelKey, WeightVersion, adapter_name,
        reading::ReadingSpeed, routes::ModelHosting, work::EngineWork,
    },
    placement::{
        DemandEntry, DemandTracker, EngineInventory, EngineWeightCache, HostWork, LoadRateLimiter,
        OrderAnswer, OrderId, OrderKind, PlacementAction, PlannedOrder, StoreThroughput,
        ThroughputEstimator, WorkTracker,
        engine_reports::loads_at_exit,
        inventory::PendingLoad,
        limited_engines::LimitedEngines,
        load_suspects::LoadSuspects,
        round_totals::RoundTotals,
        unanswered_orders::{counts_toward_rate_limit, resolve_unanswered_loads},
    },
    popularity::DecayedRate,
};

/// How much reading more or less makes no difference to who chooses an engine: a third of what counts as one open
/// request there.
const PREFILL_BACKLOG_STEP: Duration = Duration::from_millis(10);

/// The half-life of the rate of loads by which the turns of what queues are expected: as fast as demand
/// moves within a burst.
const LOAD_RATE_HALF_LIFE: Duration = Duration::from_millis(1500);

/// The rate that is expected while nothing was loaded lately. Unit: loads a second; one takes its place
/// after a load time.
const MIN_LOAD_RATE: f64 = 4.0;

/// How often an order without an answer is given again before a report is asked for.
const MAX_UNRESOLVED_LOADS: usize = 2;

/// The most orders that one round of planning gives.
const MAX_ORDERS_PER_ROUND: usize = 16;

/// Loads that another placer is assumed to have begun just before a tenure.
const ASSUMED_PRIOR_LOADS: usize = 6;

/// The version of weights for which no other was named.
pub const DEFAULT_VERSION: WeightVersion = 1;

/// Decides the placement of one domain.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    pub(super) hosting: ModelHosting,
    pub(super) engines: BTreeMap<EngineName, EngineInventory>,
    pub(super) demand: DemandTracker,
    pub(super) work: WorkTracker,
    pub(super) load_rate_limiter: LoadRateLimiter,
    pub(super) versions: HashMap<ModelKey, WeightVersion>,
    pub(super) throughput_estimator: ThroughputEstimator,
    /// How many loads were ordered lately: what queues has its turn at that rate.
    load_rate: DecayedRate,
    pub(super) prefill_speed: ReadingSpeed,
    pub(super) outstanding_orders: HashMap<OrderId, PlannedOrder>,
    pub(super) totals: RoundTotals,
    last_order_id: OrderId,
    load_queue: Vec<ModelKey>,
    pub(super) load_suspects: LoadSuspects,
    pub(super) limited_engines: LimitedEngines,
    /// Loads of engines that are listed no more, or in another life, which had given no sign that they lived through them.
    pub(super) interrupted_loads: Vec<(Arc<EngineEntry>, PendingLoad)>,
}

impl PlacementPlanner {
    /// Starts without engines.
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
            prefill_speed: ReadingSpeed::default(),
            outstanding_orders: HashMap::new(),
            totals: RoundTotals::default(),
            last_order_id: 0,
            load_queue: Vec::new(),
            load_suspects: LoadSuspects::default(),
            limited_engines: LimitedEngines::default(),
            interrupted_loads: Vec::new(),
        }
    }

    /// Begins a tenure: whatever was known may have changed under another placer.
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

    /// Takes the domain's engines as they are listed now.
    pub fn set_engines(&mut self, entries: &[Arc<EngineEntry>]) {
        let names: BTreeSet<&EngineName> = entries.iter().map(|entry| &entry.name).collect();
        let removed = self.engines.extract_if(.., |name, _| !names.contains(name));
        self.interrupted_loads.extend(removed.flat_map(|(_, inventory)| loads_at_exit(&inventory)));
        for entry in entries {
            let name = Arc::clone(&entry.name);
            let new_inventory = || EngineInventory::new(Arc::clone(entry));
            let inventory = self.engines.entry(name).or_insert_with(new_inventory);
            if !inventory.entry.is_life(entry.born) {
                // Another life under the same name holds nothing of before and has taken no order.
                let engine_orders = self.outstanding_orders.values();
                let engine_orders = engine_orders.filter(|order| order.engine.name == entry.name);
                self.interrupted_loads.extend(loads_at_exit(inventory));
                *inventory = inventory.next_incarnation(Arc::clone(entry), engine_orders);
            }
            inventory.entry = Arc::clone(entry);
        }
    }

    /// Takes what engines held lately under the placer before, for engines that are listed.
    pub fn restore_weight_caches(&mut self, caches: &HashMap<EngineName, EngineWeightCache>) {
        for (engine, cache) in caches {
            if let Some(inventory) = self.engines.get_mut(engine) {
                inventory.weight_cache.clone_from(cache);
            }
        }
    }

    /// Takes the weight store's pace as the placer before had learnt it.
    pub fn restore_throughput(&mut self, throughput: StoreThroughput) {
        self.throughput_estimator = ThroughputEstimator::new(throughput);
    }

    /// Returns the weight store's pace as far as it is known.
    pub fn store_throughput(&self) -> StoreThroughput {
        self.throughput_estimator.throughput()
    }

    /// Takes the service's hosting as it is configured now.
    pub fn set_hosting(&mut self, hosting: &ModelHosting) {
        if self.hosting != *hosting {
            self.hosting.clone_from(hosting);
        }
    }

    /// Takes the versions that the operator named.
    pub fn set_versions(&mut self, versions: &HashMap<ModelKey, WeightVersion>) {
        self.versions.clone_from(versions);
    }

    /// Takes what a host was asked for.
    pub fn record_demand(&mut self, host: &Arc<str>, entries: &[DemandEntry], now: ClockMillis) {
        self.demand.record(host, entries, now);
    }

    /// Takes how fast the domain's engines read prompts, as far as this host has learnt it.
    pub fn set_prefill_speed(&mut self, speed: &ReadingSpeed) {
        self.prefill_speed.clone_from(speed);
    }

    /// Takes what a host has at engines.
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

    /// Returns what engines have to do, where that has changed since the last call.
    pub fn take_changed_work(&mut self) -> Vec<(EngineName, EngineWork)> {
        self.work.take_changed(self.prefill_speed.tokens_in(PREFILL_BACKLOG_STEP))
    }

    /// Takes an engine's word, or silence, on an order.
    pub fn handle_order_answer(&mut self, id: OrderId, answer: OrderAnswer, now: ClockMillis) {
        let Some(order) = self.outstanding_orders.remove(&id) else { return };
        let version = self.latest_version(&order.key);
        let load_time = self.expected_load_time(&order.key, order.kind.loads_from_store());
        let due = now + load_time;
        let Some(inventory) = self.engines.get_mut(&order.engine.name) else { return };
        if !inventory.entry.is_life(order.engine.born) {
            // The next life may have taken the order of the one before: a report settles its count.
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
            // The adapter keeps its place until its runs have ended, which a report tells.
            (OrderAnswer::Accepted, OrderKind::Unload) => {
                inventory.sequence = None;
                inventory.unloading.insert(Arc::clone(&order.key));
            }
            (OrderAnswer::Done, OrderKind::Unload) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.held.remove(&order.key);
                inventory.record_cached(&order.key);
            }
            // The same order is given again: whichever comes first makes the engine refuse the other.
            (OrderAnswer::Unknown, _)
                if inventory.unresolved_loads.len() <= MAX_UNRESOLVED_LOADS => {}
            // The counts of orders that changed nothing are not told: a report settles them.
            _ => inventory.sequence = None,
        }
    }

    /// Returns the orders to give and the reports to ask for now.
    ///
    /// Without `may_order` only reports are asked for.
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
            let orders = self.plan_orders(now);
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

    fn plan_orders(&mut self, now: ClockMillis) -> Vec<PlannedOrder> {
        self.totals = RoundTotals::compute(self, now);
        let mut candidates = self.load_candidates(now);
        candidates.sort_by(|left, right| {
            right.value.total_cmp(&left.value).then_with(|| left.key.cmp(&right.key))
        });
        let mut orders = Vec::new();
        self.load_queue.clear();
        for candidate in candidates {
            if orders.len() >= MAX_ORDERS_PER_ROUND {
                break;
            }
            let already_ordered =
                orders.iter().any(|order: &PlannedOrder| order.key == candidate.key);
            if already_ordered && candidate.engine.is_none() {
                continue;
            }
            match self.order_for(&candidate, now) {
                Some(order) => orders.push(order),
                None => self.load_queue.push(candidate.key),
            }
        }
        orders
    }

    /// Returns the version of `key` that counts: the one named last.
    pub(super) fn latest_version(&self, key: &str) -> WeightVersion {
        self.versions.get(key).copied().unwrap_or(DEFAULT_VERSION)
    }

    /// Gives an order: from now on it counts as taken until an answer says otherwise.
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

    /// Returns what requests may be sent to at each engine.
    ///
    /// What is being replaced is left out until its new version is there.
    pub fn residency(&self) -> Vec<(EngineName, Vec<HeldModel>)> {
        let engines = self.engines.iter();
        engines.map(|(name, inventory)| (Arc::clone(name), inventory.servable_models())).collect()
    }

    /// Returns the same for the engines that may have changed since the last call.
    pub fn take_changed_residency(&mut self) -> Vec<(EngineName, Vec<HeldModel>)> {
        let mut changed = Vec::new();
        for (name, inventory) in &mut self.engines {
            if std::mem::take(&mut inventory.residency_changed) {
                changed.push((Arc::clone(name), inventory.servable_models()));
            }
        }
        changed
    }

    /// Returns in what time a key that was asked for is expected to be loaded.
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

    /// Returns the engines as the planner knows them, for status pages and tests.
    pub fn inventories(&self) -> impl Iterator<Item = &EngineInventory> {
        self.engines.values()
    }

    /// Returns when the next load is expected to end, if one is under way.
    pub fn next_load_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        let due = loads.map(|load| load.due).filter(|due| *due > now);
        due.map(Reverse).max().map(|Reverse(due)| due)
    }
}
