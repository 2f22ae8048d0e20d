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
        EngineEntry, EngineName, LoadedModel, ModelKey, WeightVersion, adapter_name,
        prefill_speed::PrefillSpeed, routes::ModelHosting, work::EngineWork,
    },
    placement::{
        DemandBook, DemandEntry, EngineInventory, EngineMemory, HostWork, LoadWindow, OrderAnswer,
        OrderId, OrderKind, PaceLearner, PlacementAction, PlannedOrder, StorePace, WorkBook,
        doubts::{counts_against_rate, settle_doubts},
        inventory::PendingLoad,
        limited::LimitedEngines,
        load_suspects::LoadSuspects,
        signs::loads_at_end,
        totals::RoundTotals,
    },
    popularity::DecayedRate,
};

/// How much reading more or less makes no difference to who chooses an engine: a third of what counts as one open
/// request there.
const UNREAD_STEP: Duration = Duration::from_millis(10);

/// The half-life of the rate of loads by which the turns of what queues are expected: as fast as demand
/// moves within a burst.
const LOAD_RATE_HALF_LIFE: Duration = Duration::from_millis(1500);

/// The rate that is expected while nothing was loaded lately. Unit: loads a second; one takes its place
/// after a load time.
const LEAST_LOAD_RATE: f64 = 4.0;

/// How often an order without an answer is given again before a report is asked for.
const MOST_DOUBTED: usize = 2;

/// The most orders that one round of planning gives.
const MOST_ORDERS: usize = 16;

/// Loads that another placer is assumed to have begun just before a tenure.
const ASSUMED_LOADS: usize = 6;

/// The version of weights for which no other was named.
pub const FIRST_VERSION: WeightVersion = 1;

/// Decides the placement of one domain.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    pub(super) hosting: ModelHosting,
    pub(super) engines: BTreeMap<EngineName, EngineInventory>,
    pub(super) demand: DemandBook,
    pub(super) work: WorkBook,
    pub(super) window: LoadWindow,
    pub(super) versions: HashMap<ModelKey, WeightVersion>,
    pub(super) store: PaceLearner,
    /// How many loads were ordered lately: what queues has its turn at that rate.
    load_rate: DecayedRate,
    pub(super) reading: PrefillSpeed,
    pub(super) outstanding: HashMap<OrderId, PlannedOrder>,
    pub(super) totals: RoundTotals,
    next_order: OrderId,
    queue: Vec<ModelKey>,
    pub(super) load_suspects: LoadSuspects,
    pub(super) limited: LimitedEngines,
    /// Loads of engines that are listed no more, or in another life, which had given no sign that they lived through them.
    pub(super) ended_loads: Vec<(Arc<EngineEntry>, PendingLoad)>,
}

impl PlacementPlanner {
    /// Starts without engines.
    pub fn new(hosting: ModelHosting, window: LoadWindow) -> Self {
        let store = PaceLearner::new(StorePace::assumed(hosting.loads_per_second));
        Self {
            hosting,
            engines: BTreeMap::new(),
            demand: DemandBook::default(),
            work: WorkBook::default(),
            window,
            versions: HashMap::new(),
            store,
            load_rate: DecayedRate::default(),
            reading: PrefillSpeed::default(),
            outstanding: HashMap::new(),
            totals: RoundTotals::default(),
            next_order: 0,
            queue: Vec::new(),
            load_suspects: LoadSuspects::default(),
            limited: LimitedEngines::default(),
            ended_loads: Vec::new(),
        }
    }

    /// Begins a tenure: whatever was known may have changed under another placer.
    pub fn begin_tenure(&mut self, now: ClockMillis) {
        for (_, order) in self.outstanding.drain() {
            if let Some(inventory) = self.engines.get_mut(&order.engine.name) {
                inventory.note_unanswered(&order);
            }
        }
        for inventory in self.engines.values_mut() {
            inventory.sequence = None;
            inventory.order = None;
        }
        self.window.assume(ASSUMED_LOADS, now);
    }

    /// Takes the domain's engines as they are listed now.
    pub fn engines_listed(&mut self, entries: &[Arc<EngineEntry>]) {
        let names: BTreeSet<&EngineName> = entries.iter().map(|entry| &entry.name).collect();
        let gone = self.engines.extract_if(.., |name, _| !names.contains(name));
        self.ended_loads.extend(gone.flat_map(|(_, inventory)| loads_at_end(&inventory)));
        for entry in entries {
            let name = Arc::clone(&entry.name);
            let new = || EngineInventory::new(Arc::clone(entry));
            let inventory = self.engines.entry(name).or_insert_with(new);
            if !inventory.entry.is_incarnation(entry.incarnation) {
                // Another life under the same name holds nothing of before and has taken no order.
                let outstanding = self.outstanding.values();
                let outstanding = outstanding.filter(|order| order.engine.name == entry.name);
                self.ended_loads.extend(loads_at_end(inventory));
                *inventory = inventory.next_life(Arc::clone(entry), outstanding);
            }
            inventory.entry = Arc::clone(entry);
        }
    }

    /// Takes what engines held lately under the placer before, for engines that are listed.
    pub fn recall(&mut self, memories: &HashMap<EngineName, EngineMemory>) {
        for (engine, memory) in memories {
            if let Some(inventory) = self.engines.get_mut(engine) {
                inventory.memory.clone_from(memory);
            }
        }
    }

    /// Takes the weight store's pace as the placer before had learnt it.
    pub fn pace_known(&mut self, pace: StorePace) {
        self.store = PaceLearner::new(pace);
    }

    /// Returns the weight store's pace as far as it is known.
    pub fn pace(&self) -> StorePace {
        self.store.pace()
    }

    /// Takes the service's hosting as it is configured now.
    pub fn hosting_changed(&mut self, hosting: &ModelHosting) {
        if self.hosting != *hosting {
            self.hosting.clone_from(hosting);
        }
    }

    /// Takes the versions that the operator named.
    pub fn versions_named(&mut self, versions: &HashMap<ModelKey, WeightVersion>) {
        self.versions.clone_from(versions);
    }

    /// Takes what a host was asked for.
    pub fn demand_noted(&mut self, host: &Arc<str>, entries: &[DemandEntry], now: ClockMillis) {
        self.demand.note(host, entries, now);
    }

    /// Takes how fast the domain's engines read prompts, as far as this host has learnt it.
    pub fn reading_learnt(&mut self, speed: &PrefillSpeed) {
        self.reading.clone_from(speed);
    }

    /// Takes what a host has at engines.
    pub fn work_noted(&mut self, host: &Arc<str>, told: &HostWork, now: ClockMillis) {
        self.work.note(host, told, now);
        for run in told.runs.iter().filter(|run| run.open > 0) {
            if let Some(inventory) = self.engines.get_mut(&run.engine) {
                inventory.note_use(&run.key);
            }
        }
        for absent in &told.absent {
            self.absence_noted(absent, now);
        }
        for engine in &told.unreached {
            if let Some(inventory) = self.engines.get_mut(engine) {
                inventory.unreached_by(host, now);
            }
        }
    }

    /// Returns what engines have to do, where that has changed since the last call.
    pub fn take_changed_work(&mut self) -> Vec<(EngineName, EngineWork)> {
        self.work.take_changed(self.reading.tokens_in(UNREAD_STEP))
    }

    /// Takes an engine's word, or silence, on an order.
    pub fn order_answered(&mut self, id: OrderId, answer: OrderAnswer, now: ClockMillis) {
        let Some(order) = self.outstanding.remove(&id) else { return };
        let version = self.newest(&order.key);
        let time = self.load_time_of(&order.key, order.kind.loads_from_store());
        let due = now + time;
        let Some(inventory) = self.engines.get_mut(&order.engine.name) else { return };
        if !inventory.entry.is_incarnation(order.engine.incarnation) {
            // The next life may have taken the order of the one before: a report settles its count.
            inventory.sequence = None;
            inventory.ordered = now;
            return;
        }
        inventory.order = None;
        inventory.ordered = now;
        inventory.touched = true;
        settle_doubts(inventory, &mut self.window, &order, answer);
        match (answer, order.kind) {
            (OrderAnswer::Accepted, OrderKind::Load { from_store }) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.pending.push(PendingLoad {
                    key: Arc::clone(&order.key),
                    version,
                    began: now,
                    due,
                    not_before: ClockMillis::default(),
                    order: Some(order.id),
                    from_store,
                    used: false,
                });
                if from_store && adapter_name(&order.key).is_some() {
                    self.store.load_began(order.id, &order.engine.name, now);
                    self.project_store(now);
                }
                self.demand.served(&order.key, now);
            }
            // The adapter keeps its place until its runs have ended, which a report tells.
            (OrderAnswer::Accepted, OrderKind::Unload) => {
                inventory.sequence = None;
                inventory.closing.insert(Arc::clone(&order.key));
            }
            (OrderAnswer::Done, OrderKind::Unload) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.held.remove(&order.key);
                inventory.remember(&order.key);
            }
            // The same order is given again: whichever comes first makes the engine refuse the other.
            (OrderAnswer::Unknown, _) if inventory.doubted.len() <= MOST_DOUBTED => {}
            // The counts of orders that changed nothing are not told: a report settles them.
            _ => inventory.sequence = None,
        }
    }

    /// Returns the orders to give and the reports to ask for now.
    ///
    /// Without `acting` only reports are asked for.
    pub fn plan(&mut self, acting: bool, now: ClockMillis) -> Vec<PlacementAction> {
        for inventory in self.engines.values_mut() {
            inventory.settle_due(now);
            inventory.forget_late(now);
        }
        self.demand.forget_old(now);
        self.work.forget_old(now);
        self.count_ended_loads(now);
        let mut actions = self.wanted_reports(now);
        if acting {
            let orders = self.wanted_orders(now);
            actions.extend(orders.into_iter().map(PlacementAction::Order));
        }
        actions
    }

    fn wanted_reports(&mut self, now: ClockMillis) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for inventory in self.engines.values_mut() {
            let called = !inventory.entry.leaving && self.limited.may_call(inventory, now);
            if called && inventory.needs_report(now) {
                inventory.asking = true;
                inventory.asked = now;
                actions.push(PlacementAction::Report(Arc::clone(&inventory.entry)));
            }
        }
        actions
    }

    fn wanted_orders(&mut self, now: ClockMillis) -> Vec<PlannedOrder> {
        self.totals = RoundTotals::count(self, now);
        let mut candidates = self.candidates(now);
        candidates.sort_by(|left, right| {
            right.worth.total_cmp(&left.worth).then_with(|| left.key.cmp(&right.key))
        });
        let mut orders = Vec::new();
        self.queue.clear();
        for candidate in candidates {
            if orders.len() >= MOST_ORDERS {
                break;
            }
            let given = orders.iter().any(|order: &PlannedOrder| order.key == candidate.key);
            if given && candidate.engine.is_none() {
                continue;
            }
            match self.order_for(&candidate, now) {
                Some(order) => orders.push(order),
                None => self.queue.push(candidate.key),
            }
        }
        orders
    }

    /// Returns the version of `key` that counts: the one named last.
    pub(super) fn newest(&self, key: &str) -> WeightVersion {
        self.versions.get(key).copied().unwrap_or(FIRST_VERSION)
    }

    /// Gives an order: from now on it counts as taken until an answer says otherwise.
    pub(super) fn give(
        &mut self,
        engine: &EngineName,
        kind: OrderKind,
        key: ModelKey,
        worth: f64,
        now: ClockMillis,
    ) -> Option<PlannedOrder> {
        let version = self.versions.get(&key).copied();
        let waiting = self.demand.waiting(&key);
        let inventory = self.engines.get_mut(engine)?;
        let expected_sequence = inventory.sequence?;
        inventory.order = Some(kind);
        inventory.ordered = now;
        inventory.noted = now;
        if counts_against_rate(kind, &key) {
            self.window.note(now);
        }
        self.next_order += 1;
        let order = PlannedOrder {
            id: self.next_order,
            engine: Arc::clone(&inventory.entry),
            kind,
            key,
            version,
            expected_sequence,
            worth,
            waiting,
        };
        if matches!(kind, OrderKind::Load { .. }) {
            self.load_rate.add(1.0, now, LOAD_RATE_HALF_LIFE);
        }
        self.outstanding.insert(order.id, order.clone());
        self.totals.note_order(&order);
        Some(order)
    }

    /// Returns what requests may be sent to at each engine.
    ///
    /// What is being replaced is left out until its new version is there.
    pub fn residency(&self) -> Vec<(EngineName, Vec<LoadedModel>)> {
        let engines = self.engines.iter();
        engines.map(|(name, inventory)| (Arc::clone(name), inventory.usable())).collect()
    }

    /// Returns the same for the engines that may have changed since the last call.
    pub fn take_changed_residency(&mut self) -> Vec<(EngineName, Vec<LoadedModel>)> {
        let mut changed = Vec::new();
        for (name, inventory) in &mut self.engines {
            if std::mem::take(&mut inventory.touched) {
                changed.push((Arc::clone(name), inventory.usable()));
            }
        }
        changed
    }

    /// Returns in what time a key that was asked for is expected to be loaded.
    pub fn estimate(&self, key: &str, now: ClockMillis) -> Option<Duration> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        if let Some(load) = loads.filter(|load| &*load.key == key).min_by_key(|load| load.due) {
            return Some(load.due.since(now));
        }
        if self.outstanding.values().any(|order| &*order.key == key) {
            return Some(self.pace().load_time);
        }
        if let Some(held) = self.load_suspects.held(key, self.newest(key), now) {
            return Some(held + self.pace().load_time);
        }
        let place = self.queue.iter().position(|queued| &**queued == key)?;
        let rate = self.load_rate.per_second(now, LOAD_RATE_HALF_LIFE).max(LEAST_LOAD_RATE);
        let turn = Duration::from_secs_f64((place + 1) as f64 / rate);
        Some(self.pace().load_time + turn)
    }

    /// Returns the engines as the planner knows them, for status pages and tests.
    pub fn inventories(&self) -> impl Iterator<Item = &EngineInventory> {
        self.engines.values()
    }

    /// Returns when the next load is expected to end, if one is under way.
    pub fn next_due(&self, now: ClockMillis) -> Option<ClockMillis> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        let due = loads.map(|load| load.due).filter(|due| *due > now);
        due.map(Reverse).max().map(|Reverse(due)| due)
    }
}
