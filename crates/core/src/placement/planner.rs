//! Picks the next orders: what to load where, and what makes room for it.
//!
//! The weight store's rate is what a day is short of, so the planner keeps one load after another
//! under way and always picks the one worth most: what waits for it, and how often it is asked for.
//! What an engine held lately comes back without the store and is not counted.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        ADAPTER_SEPARATOR, EngineEntry, EngineName, HeldModel, ModelKey, WeightVersion,
        adapter_name, base_model, routes::ModelHosting,
    },
    placement::{
        DemandBook, DemandEntry, EngineInventory, EngineReport, LoadWindow,
        inventory::{DoubtedLoad, MOST_IN_TRANSIT, PendingLoad},
    },
};

/// Numbers the orders of one planner.
pub type OrderId = u64;

/// How long a load from the weight store is expected to take until reports tell better.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(250);

/// How long a load of something an engine held lately takes.
const REMEMBERED_LOAD_TIME: Duration = Duration::from_millis(40);

/// How much sooner than its turn a load may be ordered, since turns are looked at in steps.
const TICK_SLACK: Duration = Duration::from_millis(10);

/// What is added to the expected time of a load, for the order's way to the engine.
const ORDER_TIME: Duration = Duration::from_millis(10);

/// Requests a second to one copy from which on another copy is worth a load.
const COPY_RATE: f64 = 3.0;

/// How many seconds of future requests a load is credited with.
const RATE_HORIZON: f64 = 6.0;

/// What an engine without any base model is worth to fill.
const EMPTY_ENGINE_WORTH: f64 = 20.0;

/// What each request is worth that was asked for since its adapter was last there.
///
/// It does not fade, so that what is asked for seldom but steadily has its turn.
const UNSERVED_WEIGHT: f64 = 0.3;

/// What a load is worth that nobody waits for, compared with one that somebody does.
const IDLE_FACTOR: f64 = 0.25;

/// How much more the newest version of a held adapter is worth than a new adapter.
const VERSION_FACTOR: f64 = 2.0;

/// The value below which nothing is loaded.
const LEAST_WORTH: f64 = 0.05;

/// The most orders that one round of planning gives.
const MOST_ORDERS: usize = 8;

/// Loads that another placer is assumed to have begun just before a tenure.
const ASSUMED_LOADS: usize = 6;

/// The version of weights for which no other was named.
pub const FIRST_VERSION: WeightVersion = 1;

/// How often an order without an answer is given again before a report is asked for.
const MOST_DOUBTED: usize = 2;

/// What an order asks an engine for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or adapter, or replace its version.
    Load {
        /// Whether the weight store is needed for it.
        from_store: bool,
    },
    /// Drop an adapter or model.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The order's number.
    pub id: OrderId,
    /// The engine that it goes to.
    pub engine: Arc<EngineEntry>,
    /// What it asks for.
    pub kind: OrderKind,
    /// The model or adapter.
    pub key: ModelKey,
    /// The version to load, where one was named.
    pub version: Option<WeightVersion>,
    /// The number of orders that the engine must have taken before.
    pub expected_sequence: u64,
    /// What the load was worth when it was picked.
    pub worth: f64,
    /// Requests that waited for it.
    pub waiting: u32,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already, or was done at once.
    Done,
    /// Another order is under way, or its count of orders is another.
    Conflict,
    /// It has seen a later holder's token.
    Fenced,
    /// Another engine has the address.
    OtherEngine,
    /// It does not accept such an order.
    Rejected,
    /// No connection came about, so that nothing was sent.
    NotSent,
    /// No answer: the order may have been taken, or may be carried out later.
    Unknown,
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAction {
    /// Send an order.
    Order(PlannedOrder),
    /// Ask an engine for a report.
    Report(Arc<EngineEntry>),
}

/// A load that would be worth something.
#[derive(Debug, Clone)]
struct LoadCandidate {
    key: ModelKey,
    worth: f64,
    /// The one engine that it is for; any engine of the domain otherwise.
    engine: Option<EngineName>,
}

/// Decides the placement of one domain.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    hosting: ModelHosting,
    engines: BTreeMap<EngineName, EngineInventory>,
    demand: DemandBook,
    window: LoadWindow,
    versions: HashMap<ModelKey, WeightVersion>,
    load_time: Duration,
    last_load: ClockMillis,
    next_order: OrderId,
    outstanding: HashMap<OrderId, PlannedOrder>,
    queue: Vec<ModelKey>,
}

impl PlacementPlanner {
    /// Starts without engines.
    pub fn new(hosting: ModelHosting, window: LoadWindow) -> Self {
        Self {
            hosting,
            engines: BTreeMap::new(),
            demand: DemandBook::default(),
            window,
            versions: HashMap::new(),
            load_time: FIRST_LOAD_TIME,
            last_load: ClockMillis::default(),
            next_order: 0,
            outstanding: HashMap::new(),
            queue: Vec::new(),
        }
    }

    /// Begins a tenure: whatever was known may have changed under another placer.
    pub fn begin_tenure(&mut self, now: ClockMillis) {
        for inventory in self.engines.values_mut() {
            inventory.sequence = None;
            inventory.ordering = false;
        }
        self.outstanding.clear();
        self.window.assume(ASSUMED_LOADS, now);
    }

    /// Takes the domain's engines as they are listed now.
    pub fn engines_listed(&mut self, entries: &[Arc<EngineEntry>]) {
        let names: BTreeSet<&EngineName> = entries.iter().map(|entry| &entry.name).collect();
        self.engines.retain(|name, _| names.contains(name));
        for entry in entries {
            let name = Arc::clone(&entry.name);
            let new = || EngineInventory::new(Arc::clone(entry));
            let inventory = self.engines.entry(name).or_insert_with(new);
            inventory.entry = Arc::clone(entry);
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

    /// Takes an engine's report that was asked for at `asked`.
    pub fn report_arrived(&mut self, engine: &str, report: &EngineReport, asked: ClockMillis) {
        let Some(inventory) = self.engines.get_mut(engine) else { return };
        let expected: Vec<ModelKey> = inventory
            .pending
            .iter()
            .filter(|load| asked >= load.due && adapter_name(&load.key).is_some())
            .map(|load| Arc::clone(&load.key))
            .collect();
        if !inventory.take_report(report, asked) {
            return;
        }
        let late = expected.iter().any(|key| report.pending.iter().any(|load| load.key == *key));
        if late {
            self.load_time = (self.load_time * 11 / 10).min(FIRST_LOAD_TIME * 8);
        }
    }

    /// Takes that an engine gave no report.
    pub fn report_failed(&mut self, engine: &str) {
        if let Some(inventory) = self.engines.get_mut(engine) {
            inventory.asking = false;
        }
    }

    /// Takes an engine's word, or silence, on an order.
    pub fn order_answered(&mut self, id: OrderId, answer: OrderAnswer, now: ClockMillis) {
        let Some(order) = self.outstanding.remove(&id) else { return };
        let version = self.newest(&order.key);
        let from_store = order.kind == OrderKind::Load { from_store: true };
        let due = self.load_due(&order.key, from_store, now);
        let Some(inventory) = self.engines.get_mut(&order.engine.name) else { return };
        inventory.ordering = false;
        inventory.ordered = now;
        let noted = inventory.noted;
        settle_doubts(inventory, &mut self.window, &order, answer, noted);
        match (answer, order.kind) {
            (OrderAnswer::Accepted, OrderKind::Load { from_store }) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                self.demand.served(&order.key);
                inventory.pending.push(PendingLoad {
                    key: Arc::clone(&order.key),
                    version,
                    began: now,
                    due,
                    from_store,
                });
            }
            // The adapter keeps its place until its runs have ended, which a report tells.
            (OrderAnswer::Accepted, OrderKind::Unload) => {
                inventory.sequence = None;
                inventory.closing.insert(Arc::clone(&order.key));
            }
            (OrderAnswer::Done, OrderKind::Unload) => {
                inventory.sequence = Some(order.expected_sequence + 1);
                inventory.held.remove(&order.key);
                inventory.remembered.insert(Arc::clone(&order.key));
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
        }
        self.demand.forget_old(now);
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
            if inventory.needs_report(now) {
                inventory.asking = true;
                inventory.asked = now;
                actions.push(PlacementAction::Report(Arc::clone(&inventory.entry)));
            }
        }
        actions
    }

    fn wanted_orders(&mut self, now: ClockMillis) -> Vec<PlannedOrder> {
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
            match self.order_for(&candidate, now) {
                Some(order) => orders.push(order),
                None => self.queue.push(candidate.key),
            }
        }
        orders
    }

    /// Returns every load that would be worth something, in no order.
    fn candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let mut candidates = self.empty_engines(now);
        for key in self.demand.keys() {
            if adapter_name(key).is_none() {
                continue;
            }
            let worth = self.worth(key, now);
            if worth >= LEAST_WORTH {
                candidates.push(LoadCandidate { key: Arc::clone(key), worth, engine: None });
            }
        }
        candidates.extend(self.outdated(now));
        candidates
    }

    /// Returns a load of the most wanted base model for each engine that has none.
    fn empty_engines(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let wanted = self.hosting.models.iter().max_by(|left, right| {
            let rate = |name: &str| self.model_rate(name, now) / (1.0 + self.model_copies(name));
            rate(&left.name).total_cmp(&rate(&right.name))
        });
        let Some(model) = wanted else { return Vec::new() };
        let empty = self.engines.values().filter(|inventory| {
            let any = |size: &crate::fleet::routes::ModelSize| inventory.has_model(&size.name);
            !inventory.entry.leaving && !inventory.busy && !self.hosting.models.iter().any(any)
        });
        empty
            .map(|inventory| LoadCandidate {
                key: Arc::from(model.name.as_str()),
                worth: EMPTY_ENGINE_WORTH,
                engine: Some(Arc::clone(&inventory.entry.name)),
            })
            .collect()
    }

    fn model_rate(&self, model: &str, now: ClockMillis) -> f64 {
        let keys = self.demand.keys().filter(|key| base_model(key) == model);
        keys.map(|key| self.demand.rate(key, now)).sum()
    }

    fn model_copies(&self, model: &str) -> f64 {
        self.engines.values().filter(|inventory| inventory.has_model(model)).count() as f64
    }

    /// Returns a replacement for each held adapter whose newest version is not there yet.
    fn outdated(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let mut candidates = Vec::new();
        for (key, version) in &self.versions {
            for (name, inventory) in &self.engines {
                let held = inventory.held.get(key).is_some_and(|held| held < version);
                if !held || inventory.has(key, *version) {
                    continue;
                }
                let worth = VERSION_FACTOR * self.interest(key, now) / self.copies(key).max(1.0);
                if worth >= LEAST_WORTH {
                    let (key, engine) = (Arc::clone(key), Some(Arc::clone(name)));
                    candidates.push(LoadCandidate { key, worth, engine });
                }
            }
        }
        candidates
    }

    fn interest(&self, key: &str, now: ClockMillis) -> f64 {
        self.demand.waiting_worth(key) + RATE_HORIZON * self.demand.rate(key, now)
    }

    /// Returns what one more copy of an adapter is worth.
    fn worth(&self, key: &str, now: ClockMillis) -> f64 {
        let copies = self.copies(key);
        if copies == 0.0 {
            return self.interest(key, now) + UNSERVED_WEIGHT * self.demand.unserved(key).powi(2);
        }
        let spare = self.demand.rate(key, now) / copies - COPY_RATE;
        (RATE_HORIZON * spare).max(0.0)
    }

    /// Returns how many engines hold the newest version of an adapter, or are getting it.
    fn copies(&self, key: &str) -> f64 {
        let newest = self.newest(key);
        let holders = self
            .engines
            .values()
            .filter(|inventory| !inventory.entry.leaving && inventory.has(key, newest));
        let ordered = self
            .outstanding
            .values()
            .filter(|order| matches!(order.kind, OrderKind::Load { .. }) && &*order.key == key);
        (holders.count() + ordered.count()) as f64
    }

    fn newest(&self, key: &str) -> WeightVersion {
        self.versions.get(key).copied().unwrap_or(FIRST_VERSION)
    }

    fn order_for(&mut self, candidate: &LoadCandidate, now: ClockMillis) -> Option<PlannedOrder> {
        let key = &candidate.key;
        let store_free = self.store_is_free(now);
        let engines: Vec<&EngineInventory> = match &candidate.engine {
            Some(name) => self.engines.get(name).into_iter().collect(),
            None => self.engines.values().collect(),
        };
        let able = engines.into_iter().filter(|inventory| self.is_able(inventory, candidate));
        let best = able
            .filter(|inventory| store_free || self.comes_back(inventory, key))
            .min_by_key(|inventory| {
                let remembered = self.comes_back(inventory, key);
                let full = !self.has_place(inventory, key);
                let doubted = inventory.doubted.iter().any(|load| load.key == *key);
                (
                    !doubted,
                    !remembered,
                    full,
                    self.load_of(inventory, now),
                    Arc::clone(&inventory.entry.name),
                )
            })?;
        let name = Arc::clone(&best.entry.name);
        if self.has_place(best, key) {
            let from_store = !self.comes_back(best, key);
            let kind = OrderKind::Load { from_store };
            return self.give(&name, kind, Arc::clone(key), candidate.worth, now);
        }
        let victim = self.victim(best, candidate.worth, now)?;
        self.give(&name, OrderKind::Unload, victim, candidate.worth, now)
    }

    /// Returns whether the engine has held this version and can bring it back by itself.
    fn comes_back(&self, inventory: &EngineInventory, key: &str) -> bool {
        inventory.remembered.contains(key) && !self.versions.contains_key(key)
    }

    fn is_able(&self, inventory: &EngineInventory, candidate: &LoadCandidate) -> bool {
        let key = &candidate.key;
        let ready = !inventory.entry.leaving && inventory.sequence.is_some();
        let idle = !inventory.ordering && !inventory.busy;
        let transit = inventory.pending.len() < MOST_IN_TRANSIT;
        let is_adapter = adapter_name(key).is_some();
        let model_held = inventory.held.contains_key(base_model(key));
        let absent = !inventory.has(key, self.newest(key));
        ready && idle && transit && absent && (!is_adapter || model_held)
    }

    fn store_is_free(&mut self, now: ClockMillis) -> bool {
        let under_way = self.loads_under_way(now) + self.loads_ordered(now);
        let paced = now.since(self.last_load) + TICK_SLACK >= self.window.pace();
        under_way <= self.loads_at_once() && paced && self.window.has_room(now)
    }

    fn loads_under_way(&self, now: ClockMillis) -> usize {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        loads.filter(|load| load.from_store && now < load.due).count()
    }

    /// Returns how many loads were ordered and not answered yet.
    ///
    /// An order without an answer holds the store up no longer than a load takes.
    fn loads_ordered(&self, now: ClockMillis) -> usize {
        let ordered = self.engines.values().filter(|inventory| {
            let waited = now.since(inventory.ordered);
            inventory.ordering && inventory.loads_from_store && waited < self.load_time
        });
        ordered.count()
    }

    /// Returns when a load that begins now is expected to end.
    ///
    /// Loads beyond those that the store serves at full speed share it, so the new one ends after
    /// what is left of the others.
    fn load_due(&self, key: &str, from_store: bool, now: ClockMillis) -> ClockMillis {
        if !from_store {
            return now + REMEMBERED_LOAD_TIME + ORDER_TIME;
        }
        let model = self.hosting.model(key);
        let time = model.map_or(self.load_time, |model| model.load_time);
        let shared = if self.loads_under_way(now) >= self.loads_at_once() {
            self.store_busy(now)
        } else {
            Duration::ZERO
        };
        now + time + shared + ORDER_TIME
    }

    /// Returns how many loads at once keep the store at its rate.
    fn loads_at_once(&self) -> usize {
        let at_once = self.hosting.loads_per_second * self.load_time.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let at_once = at_once.round() as usize;
        at_once.max(1)
    }

    fn has_place(&self, inventory: &EngineInventory, key: &str) -> bool {
        if adapter_name(key).is_none() || inventory.held.contains_key(key) {
            return true;
        }
        let places = usize::try_from(self.hosting.most_adapters).unwrap_or(usize::MAX);
        inventory.adapters_taken() < places && self.has_weight_room(inventory, key)
    }

    fn has_weight_room(&self, inventory: &EngineInventory, key: &str) -> bool {
        let model = self.hosting.model(base_model(key));
        let adapter = model.map_or(0.0, |model| model.adapter_megabytes);
        let coming =
            inventory.pending.iter().filter(|load| !inventory.held.contains_key(&load.key));
        let keys = inventory.held.keys().chain(coming.map(|load| &load.key));
        let taken: f64 = keys.map(|key| self.megabytes(key)).sum();
        taken + adapter <= self.hosting.weight_megabytes
    }

    fn megabytes(&self, key: &str) -> f64 {
        let Some(model) = self.hosting.model(base_model(key)) else { return 0.0 };
        if key.contains(ADAPTER_SEPARATOR) {
            model.adapter_megabytes
        } else {
            model.weight_megabytes
        }
    }

    /// Returns the engine's load by what it holds, in requests for a thousand seconds.
    fn load_of(&self, inventory: &EngineInventory, now: ClockMillis) -> u64 {
        let keys = inventory.held.keys().chain(inventory.pending.iter().map(|load| &load.key));
        let rate: f64 =
            keys.map(|key| self.demand.rate(key, now) / self.copies(key).max(1.0)).sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small, positive"
        )]
        let load = (rate * 1000.0) as u64;
        load
    }

    /// Returns the adapter that is worth least at an engine, if it is worth less than `worth`.
    fn victim(
        &self,
        inventory: &EngineInventory,
        worth: f64,
        now: ClockMillis,
    ) -> Option<ModelKey> {
        let adapters = inventory.held.keys().filter(|key| adapter_name(key).is_some());
        let stays = |key: &ModelKey| {
            let pending = inventory.pending.iter().any(|load| load.key == *key);
            pending || inventory.closing.contains(key)
        };
        adapters
            .filter(|key| !stays(key))
            .map(|key| (self.interest(key, now) / self.copies(key).max(1.0), key))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .filter(|(kept, _)| *kept < worth)
            .map(|(_, key)| Arc::clone(key))
    }

    fn give(
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
        inventory.ordering = true;
        inventory.ordered = now;
        inventory.noted = now;
        inventory.loads_from_store = kind == (OrderKind::Load { from_store: true });
        if kind == (OrderKind::Load { from_store: true }) {
            self.window.note(now);
            self.last_load = now;
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
        self.outstanding.insert(order.id, order.clone());
        Some(order)
    }

    /// Returns what requests may be sent to at each engine.
    ///
    /// What is being replaced is left out until its new version is there.
    pub fn residency(&self) -> Vec<(EngineName, Vec<HeldModel>)> {
        let mut residency = Vec::with_capacity(self.engines.len());
        for (name, inventory) in &self.engines {
            let usable = inventory.held.iter().filter(|(key, version)| {
                let mut replaced = inventory.pending.iter();
                let replaced = replaced.any(|load| load.key == **key && load.version > **version);
                !replaced && !inventory.closing.contains(*key)
            });
            let held = usable
                .map(|(key, version)| HeldModel { key: Arc::clone(key), version: *version })
                .collect();
            residency.push((Arc::clone(name), held));
        }
        residency
    }

    /// Returns in what time a key that was asked for is expected to be loaded.
    pub fn estimate(&self, key: &str, now: ClockMillis) -> Option<Duration> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        if let Some(load) = loads.filter(|load| &*load.key == key).min_by_key(|load| load.due) {
            return Some(load.due.since(now) + ORDER_TIME);
        }
        if self.outstanding.values().any(|order| &*order.key == key) {
            return Some(self.load_time + ORDER_TIME);
        }
        let place = self.queue.iter().position(|queued| &**queued == key)?;
        let turns = place / self.loads_at_once() + 1;
        let step = (self.load_time + ORDER_TIME).max(self.window.pace());
        Some(step.saturating_mul(u32::try_from(turns).unwrap_or(u32::MAX)) + self.store_busy(now))
    }

    /// Returns how long the store is still taken by the loads under way.
    fn store_busy(&self, now: ClockMillis) -> Duration {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        let due = loads.filter(|load| load.from_store).map(|load| load.due.since(now));
        due.max().unwrap_or_default()
    }

    /// Returns the engines as the planner knows them, for status pages and tests.
    pub fn inventories(&self) -> impl Iterator<Item = &EngineInventory> {
        self.engines.values()
    }

    /// Returns when the planner has something to do next, at the latest.
    pub fn next_due(&self) -> Option<ClockMillis> {
        let loads = self.engines.values().flat_map(|inventory| &inventory.pending);
        loads.map(|load| Reverse(load.due)).max().map(|Reverse(due)| due)
    }
}

/// Settles what earlier orders without an answer have become, from the answer to a later one.
///
/// All of them named the same count of orders, so the engine carried out one of them at most. An
/// accepted order makes it refuse the earlier ones; a conflict shows that one of those was first.
fn settle_doubts(
    inventory: &mut EngineInventory,
    window: &mut LoadWindow,
    order: &PlannedOrder,
    answer: OrderAnswer,
    noted: ClockMillis,
) {
    let from_store = order.kind == OrderKind::Load { from_store: true };
    match answer {
        OrderAnswer::Unknown => {
            if from_store {
                inventory.doubted.push(DoubtedLoad { key: Arc::clone(&order.key), noted });
            }
        }
        OrderAnswer::Accepted => {
            for load in inventory.doubted.drain(..) {
                window.refund(load.noted);
            }
        }
        OrderAnswer::Conflict | OrderAnswer::Done => {
            if from_store {
                window.refund(noted);
            }
            for load in inventory.doubted.drain(..).skip(1) {
                window.refund(load.noted);
            }
        }
        OrderAnswer::NotSent | OrderAnswer::Fenced | OrderAnswer::Rejected => {
            if from_store {
                window.refund(noted);
            }
        }
        OrderAnswer::OtherEngine => inventory.doubted.clear(),
    }
}
