//! What one engine holds, kept true in spite of lost answers, late orders and other placers.
//!
//! An engine counts the orders that it has taken. Each order names the count that it expects, so an
//! order that arrives late, after another one, is refused by the engine itself. Whenever the count
//! is in doubt, a report settles it; a report counts only when it can not be older than the last
//! order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineBirth, EngineEntry, HeldModel, ModelKey, WeightVersion, adapter_name, base_model,
    },
    placement::{EngineWeightCache, LoadObservation, OrderId, OrderKind, PlannedOrder},
};

/// How old the state in a report may be when it arrives.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// How old the state in a report is as a rule. Source: the users' pages, some hundred milliseconds.
const TYPICAL_REPORT_AGE: Duration = Duration::from_millis(100);

/// By how much that may be wrong either way.
const REPORT_AGE_UNCERTAINTY: Duration = Duration::from_millis(40);

/// How long after a load is due a report is asked for: one that shows the engine just after the load has ended.
const OVERDUE_REPORT_DELAY: Duration = Duration::from_millis(130);

/// How long a host's report holds that it can't use an engine: hosts leave one that they can't connect to for 400 ms at first,
/// and report it again when they have tried again.
const UNREACHABLE_TTL: Duration = Duration::from_millis(1500);

/// How many hosts must say so: one may be cut off itself.
const MIN_UNREACHABLE_HOSTS: usize = 2;

/// How many loads may be in transit to one engine.
pub const MAX_PENDING_LOADS: usize = 4;

/// What an engine tells when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The life of the engine that tells it; zero where it does not say.
    pub born: EngineBirth,
    /// How many orders it had taken.
    pub sequence: u64,
    /// Whether a model's order is under way.
    pub model_change_in_progress: bool,
    /// What it held.
    pub held: Vec<HeldModel>,
    /// What was in transit to it.
    pub pending: Vec<HeldModel>,
}

/// A load that was ordered and has not been seen to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    /// What is loaded.
    pub key: ModelKey,
    /// Its version, where one is named.
    pub version: WeightVersion,
    /// When it was ordered.
    pub started_at: ClockMillis,
    /// When it is expected to end.
    pub due: ClockMillis,
    /// Before when it is not expected, since its engine said that it was not there.
    pub not_before: ClockMillis,
    /// The order that began it; of another placer's order nothing is known.
    pub order_id: Option<OrderId>,
    /// Whether it uses the weight store.
    pub from_store: bool,
    /// Whether a host sent requests for it to the engine: whatever ends the engine then need not be the load.
    pub has_requests: bool,
}

impl PendingLoad {
    /// Returns whether it is an adapter from the weight store.
    pub fn is_store_adapter(&self) -> bool {
        self.from_store && adapter_name(&self.key).is_some()
    }
}

/// A load order that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnresolvedLoad {
    /// What was to be loaded.
    pub key: ModelKey,
    /// When the order was counted against the weight store's rate, if it was.
    pub counted_at: Option<ClockMillis>,
}

/// How long after it was sent an order without an answer may still be carried out. Source: the users' pages, seconds; twelve
/// were seen.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// A load order without an answer, which may still be carried out once the engine has taken as many orders as it names.
///
/// In the life to which it was sent another order takes its place at that count. The next life under the same name counts
/// anew, and may come by the same count while it is full.
#[derive(Debug, Clone, PartialEq, Eq)]
struct UnansweredLoad {
    key: ModelKey,
    expected_sequence: u64,
    sent_at: ClockMillis,
}

impl UnansweredLoad {
    fn new(order: &PlannedOrder, sent_at: ClockMillis) -> Self {
        let key = Arc::clone(&order.key);
        Self { key, expected_sequence: order.expected_sequence, sent_at }
    }
}

/// One engine as its placer knows it.
#[derive(Debug, Clone)]
pub struct EngineInventory {
    /// The engine as listed.
    pub entry: Arc<EngineEntry>,
    /// Orders taken, when that is known.
    pub sequence: Option<u64>,
    /// What it holds.
    pub held: BTreeMap<ModelKey, WeightVersion>,
    /// What is in transit to it.
    pub pending: Vec<PendingLoad>,
    /// What it held before and may bring back without the weight store, the latest last.
    pub weight_cache: EngineWeightCache,
    /// What it drops as soon as its runs have ended.
    pub unloading: BTreeSet<ModelKey>,
    /// The order that is on its way.
    pub outstanding_order: Option<OrderKind>,
    /// Load orders without an answer at the present count of orders: one may still be carried out.
    pub unresolved_loads: Vec<UnresolvedLoad>,
    /// Load orders to this life that got no answer lately.
    unanswered_loads: Vec<UnansweredLoad>,
    /// Load orders to the life before that may still be carried out in this one.
    previous_unanswered_loads: Vec<UnansweredLoad>,
    /// When the last order was given.
    pub last_order_sent_at: ClockMillis,
    /// When the last order ended.
    pub last_order_activity_at: ClockMillis,
    /// When a report was last asked for.
    pub report_requested_at: ClockMillis,
    /// Whether a report is on its way.
    pub report_pending: bool,
    /// Whether the engine said that it is busy with a model.
    pub model_change_in_progress: bool,
    /// When a host was told that it lacks something that it is taken to hold, until a report has settled that.
    pub contradicted_at: Option<ClockMillis>,
    /// Hosts that could not connect to it, and when they said so.
    unreachable_from: BTreeMap<Arc<str>, ClockMillis>,
    /// Whether what requests may be sent to has changed since it was last told.
    pub residency_changed: bool,
}

impl EngineInventory {
    /// Starts with what the engine's entry says that it holds.
    pub fn new(entry: Arc<EngineEntry>) -> Self {
        let held = entry.held.iter().map(|model| (Arc::clone(&model.key), model.version));
        Self {
            held: held.collect(),
            entry,
            sequence: None,
            pending: Vec::new(),
            weight_cache: EngineWeightCache::default(),
            unloading: BTreeSet::new(),
            outstanding_order: None,
            unresolved_loads: Vec::new(),
            unanswered_loads: Vec::new(),
            previous_unanswered_loads: Vec::new(),
            last_order_sent_at: ClockMillis::default(),
            last_order_activity_at: ClockMillis::default(),
            report_requested_at: ClockMillis::default(),
            report_pending: false,
            model_change_in_progress: false,
            contradicted_at: None,
            unreachable_from: BTreeMap::new(),
            residency_changed: true,
        }
    }

    /// Starts with the next life of the same engine; `outstanding_orders` are orders to the life before that have no answer yet.
    #[must_use]
    pub fn next_incarnation<'order>(
        &self,
        entry: Arc<EngineEntry>,
        outstanding_orders: impl Iterator<Item = &'order PlannedOrder>,
    ) -> Self {
        let mut next = Self::new(entry);
        next.previous_unanswered_loads
            .extend(self.previous_unanswered_loads.iter().chain(&self.unanswered_loads).cloned());
        let loads = outstanding_orders.filter(|order| matches!(order.kind, OrderKind::Load { .. }));
        next.previous_unanswered_loads
            .extend(loads.map(|order| UnansweredLoad::new(order, self.last_order_sent_at)));
        next
    }

    /// Takes that an order to this life has no answer.
    pub fn record_unanswered(&mut self, order: &PlannedOrder) {
        if matches!(order.kind, OrderKind::Load { .. }) && self.entry.is_life(order.engine.born) {
            self.unanswered_loads.push(UnansweredLoad::new(order, self.last_order_sent_at));
        }
    }

    /// Forgets orders without an answer that are not carried out any more.
    pub fn drop_expired_unanswered(&mut self, now: ClockMillis) {
        for loads in [&mut self.unanswered_loads, &mut self.previous_unanswered_loads] {
            loads.retain(|load| now.since(load.sent_at) < MAX_ORDER_DELAY);
        }
    }

    /// Returns what orders to the life before may still bring: one load for each count of orders that lies ahead.
    pub fn possible_late_loads(&self) -> impl Iterator<Item = &ModelKey> {
        let can_still_run = |load: &&UnansweredLoad| {
            self.sequence.is_none_or(|sequence| load.expected_sequence >= sequence)
        };
        let by_sequence: BTreeMap<u64, &ModelKey> = self
            .previous_unanswered_loads
            .iter()
            .filter(can_still_run)
            .filter(|load| !self.held.contains_key(&load.key))
            .map(|load| (load.expected_sequence, &load.key))
            .collect();
        by_sequence.into_values()
    }

    /// Returns whether a report is needed before anything can be ordered or decided.
    pub fn needs_report(&self, now: ClockMillis) -> bool {
        if self.report_pending || self.outstanding_order.is_some() {
            return false;
        }
        let orders_settled = now.since(self.last_order_activity_at) >= MAX_REPORT_AGE;
        let interval_elapsed = now.since(self.report_requested_at) >= MAX_REPORT_AGE;
        let overdue = self.pending.iter().any(|load| now >= load.due + OVERDUE_REPORT_DELAY);
        orders_settled
            && interval_elapsed
            && (self.sequence.is_none()
                || self.model_change_in_progress
                || self.contradicted_at.is_some()
                || overdue
                || !self.unloading.is_empty())
    }

    /// Takes a report that was asked for at `requested_at`; returns whether it counted.
    ///
    /// One of a life that is not listed yet does not: its entry comes within a moment, and brings a new inventory.
    pub fn apply_report(&mut self, report: &EngineReport, requested_at: ClockMillis) -> bool {
        self.report_pending = false;
        if !self.entry.is_life(report.born) {
            self.sequence = None;
            return false;
        }
        let fresh = requested_at.since(self.last_order_activity_at) >= MAX_REPORT_AGE
            && self.outstanding_order.is_none();
        if !fresh {
            return false;
        }
        let held: BTreeMap<ModelKey, WeightVersion> =
            report.held.iter().map(|held| (Arc::clone(&held.key), held.version)).collect();
        let recently_held: Vec<ModelKey> = self.held.keys().chain(held.keys()).cloned().collect();
        for key in recently_held {
            self.record_cached(&key);
        }
        self.held = held;
        self.residency_changed = true;
        self.unloading.retain(|key| self.held.contains_key(key));
        self.model_change_in_progress = report.model_change_in_progress;
        // A report may show the engine as it was before it said so.
        self.contradicted_at =
            self.contradicted_at.filter(|reported_at| requested_at < *reported_at + MAX_REPORT_AGE);
        if self.sequence.is_some_and(|sequence| sequence < report.sequence) {
            self.unresolved_loads.clear();
        }
        self.sequence = Some(report.sequence);
        self.pending.retain(|load| report.pending.iter().any(|pending| pending.key == load.key));
        for pending in &report.pending {
            if !self.pending.iter().any(|load| load.key == pending.key) {
                self.pending.push(PendingLoad {
                    key: Arc::clone(&pending.key),
                    version: pending.version,
                    started_at: requested_at,
                    due: requested_at + MAX_REPORT_AGE,
                    not_before: ClockMillis::default(),
                    order_id: None,
                    from_store: true,
                    has_requests: false,
                });
            }
        }
        true
    }

    /// Takes that a host could not connect to it.
    pub fn record_unreachable_from(&mut self, host: &Arc<str>, now: ClockMillis) {
        self.unreachable_from.retain(|_, reported_at| now.since(*reported_at) < UNREACHABLE_TTL);
        self.unreachable_from.insert(Arc::clone(host), now);
    }

    /// Returns whether hosts can't use it, so that another copy of what it holds is worth a load.
    pub fn is_unreachable(&self, now: ClockMillis) -> bool {
        let recent = self
            .unreachable_from
            .values()
            .filter(|reported_at| now.since(**reported_at) < UNREACHABLE_TTL);
        recent.count() >= MIN_UNREACHABLE_HOSTS
    }

    /// Takes that a host has requests for `key` there.
    pub fn record_requests(&mut self, key: &str) {
        for load in self.pending.iter_mut().filter(|load| &*load.key == key) {
            load.has_requests = true;
        }
    }

    /// Returns the adapters on their way that began before `before` and were not used: what may have ended the engine if it has ended.
    pub fn possible_crash_causes(&self, before: ClockMillis) -> impl Iterator<Item = &PendingLoad> {
        self.pending.iter().filter(move |load| {
            adapter_name(&load.key).is_some() && !load.has_requests && load.started_at < before
        })
    }

    /// Returns what a report that was asked for at `requested_at` shows of the adapters on their way from the store.
    pub fn load_observations(
        &self,
        report: &EngineReport,
        requested_at: ClockMillis,
    ) -> Vec<LoadObservation> {
        let observed_at = requested_at - TYPICAL_REPORT_AGE;
        let adapters = self.pending.iter().filter(|load| load.is_store_adapter());
        let observations = adapters.filter_map(|load| {
            let still_pending = report.pending.iter().any(|pending| pending.key == load.key);
            let is_held =
                report.held.iter().any(|held| held.key == load.key && held.version >= load.version);
            let observed = still_pending || is_held;
            let order_id = load.order_id?;
            observed.then_some(LoadObservation {
                load: order_id,
                completed: !still_pending,
                observed_at,
                uncertainty: REPORT_AGE_UNCERTAINTY,
            })
        });
        observations.collect()
    }

    /// Takes that the engine holds, or has just dropped, a model or adapter.
    pub fn record_cached(&mut self, key: &ModelKey) {
        self.weight_cache.insert(key);
    }

    /// Returns whether the engine held something lately.
    pub fn has_cached(&self, key: &str) -> bool {
        self.weight_cache.contains(key)
    }

    /// Moves loads whose time has come to what is held; a later report corrects it.
    ///
    /// Returns whether anything moved.
    pub fn complete_due_loads(&mut self, now: ClockMillis) -> bool {
        let mut completed = Vec::new();
        for load in &self.pending {
            let already_held = self.held.get(&load.key).is_some_and(|held| *held >= load.version);
            if now >= load.due && !already_held && !self.model_change_in_progress {
                self.held.insert(Arc::clone(&load.key), load.version);
                completed.push(Arc::clone(&load.key));
            }
        }
        for key in &completed {
            self.record_cached(key);
        }
        self.residency_changed |= !completed.is_empty();
        !completed.is_empty()
    }

    /// Returns whether the engine holds a base model, or is getting it.
    pub fn has_model(&self, model: &str) -> bool {
        self.held.contains_key(model) || self.pending.iter().any(|load| &*load.key == model)
    }

    /// Returns whether the engine holds `key` in `version` or a later one, or is getting it.
    pub fn has(&self, key: &str, version: WeightVersion) -> bool {
        let held = self.held.get(key).is_some_and(|held| *held >= version);
        held || self.pending.iter().any(|load| &*load.key == key && load.version >= version)
    }

    /// Returns what requests may be sent to, without what is being replaced or dropped.
    pub fn servable_models(&self) -> Vec<HeldModel> {
        let servable = self.held.iter().filter(|(key, version)| {
            let mut loads = self.pending.iter();
            let replaced = loads.any(|load| load.key == **key && load.version > **version);
            !replaced && !self.unloading.contains(*key)
        });
        servable
            .map(|(key, version)| HeldModel { key: Arc::clone(key), version: *version })
            .collect()
    }

    /// Returns how many places for adapters are taken, those in transit included.
    pub fn reserved_adapter_count(&self) -> usize {
        let held = self.held.keys().filter(|key| adapter_name(key).is_some());
        let pending = self
            .pending
            .iter()
            .filter(|load| adapter_name(&load.key).is_some() && !self.held.contains_key(&load.key));
        held.count() + pending.count() + self.possible_late_loads().count()
    }

    /// Returns how many adapters of a model the engine holds.
    pub fn adapters_of_model(&self, model: &str) -> usize {
        let adapters = self.held.keys().filter(|key| adapter_name(key).is_some());
        adapters.filter(|key| base_model(key) == model).count()
    }
}
