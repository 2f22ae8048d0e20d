//! Tracks what one engine holds despite lost answers, delayed orders and other placers.
//!
//! An engine counts the orders that it has taken, and each order names the sequence number that it
//! expects, so the engine refuses an order that arrives after a later one. When the sequence number
//! is uncertain, a report settles it. A report counts only if its state cannot be older than the
//! last order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{
        EngineEntry, EngineIncarnation, LoadedModel, ModelKey, WeightVersion, adapter_name,
        base_model,
    },
    placement::{EngineWeightCache, LoadObservation, OrderId, OrderKind, PlannedOrder},
};

/// Maximum age of the state in a report when the report arrives.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// Typical age of the state in a report.
const TYPICAL_REPORT_AGE: Duration = Duration::from_millis(100);

/// Maximum deviation of that age from the typical age, in either direction.
const REPORT_AGE_UNCERTAINTY: Duration = Duration::from_millis(40);

/// Delay between a load's due time and the report request, so that the report shows the engine just
/// after the load.
const OVERDUE_REPORT_DELAY: Duration = Duration::from_millis(130);

/// How long a host's message that it cannot use an engine stays valid. It must exceed the host's
/// first reconnect interval of 400 ms, after which the host reports again.
const UNREACHABLE_TTL: Duration = Duration::from_millis(1500);

/// Number of hosts that must report an engine as unreachable. A single host may itself be cut off.
const MIN_UNREACHABLE_HOSTS: usize = 2;

/// Maximum number of pending loads per engine.
pub const MAX_PENDING_LOADS: usize = 4;

/// Engine state returned on request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Incarnation of the reporting engine, or zero if the report does not state it.
    pub incarnation: EngineIncarnation,
    /// Number of orders taken.
    pub sequence: u64,
    /// Whether the engine is loading or unloading a base model.
    pub model_change_in_progress: bool,
    /// Models and adapters that the engine has loaded.
    pub loaded_models: Vec<LoadedModel>,
    /// Models and adapters that the engine is loading.
    pub pending: Vec<LoadedModel>,
}

/// A load that was ordered and is not yet known to be complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    /// Model or adapter to load.
    pub key: ModelKey,
    /// Version to load, or the default version.
    pub version: WeightVersion,
    /// When the load started, as far as the placer knows.
    pub started_at: ClockMillis,
    /// When the load is expected to complete.
    pub due: ClockMillis,
    /// Earliest due time, set after the engine denied holding the model or adapter.
    pub not_before: ClockMillis,
    /// Order that started the load, or `None` if it was another placer's.
    pub order_id: Option<OrderId>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Whether a host has sent the engine requests for this key. A later crash may then be due to
    /// those requests instead of the load.
    pub has_requests: bool,
}

impl PendingLoad {
    /// Returns whether this is an adapter load from the weight store.
    pub fn is_store_adapter(&self) -> bool {
        self.from_store && adapter_name(&self.key).is_some()
    }
}

/// An unanswered load order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnresolvedLoad {
    /// Model or adapter of the order.
    pub key: ModelKey,
    /// When the order was counted by the weight store's rate limiter, if it was.
    pub counted_at: Option<ClockMillis>,
}

/// Maximum time after which an engine may still execute an unanswered order.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// An unanswered load order that an engine may still execute once it reaches the expected sequence
/// number.
///
/// In the incarnation that the order was sent to, another order takes that sequence number. The
/// next incarnation under the same name starts counting again and may reach the number while it is
/// full.
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

/// The placer's view of one engine.
#[derive(Debug, Clone)]
pub struct EngineInventory {
    /// Entry of the engine in the engine list.
    pub entry: Arc<EngineEntry>,
    /// Number of orders taken, if known.
    pub sequence: Option<u64>,
    /// Models and adapters that the engine has loaded.
    pub held: BTreeMap<ModelKey, WeightVersion>,
    /// Loads in progress.
    pub pending: Vec<PendingLoad>,
    /// Models and adapters that the engine can probably reload without the weight store.
    pub weight_cache: EngineWeightCache,
    /// Adapters that the engine drops once their open requests have ended.
    pub unloading: BTreeSet<ModelKey>,
    /// Order that has been sent and not yet answered.
    pub outstanding_order: Option<OrderKind>,
    /// Unanswered load orders at the current sequence number. At most one of them may still be
    /// executed.
    pub unresolved_loads: Vec<UnresolvedLoad>,
    /// Recent unanswered load orders to this incarnation.
    unanswered_loads: Vec<UnansweredLoad>,
    /// Load orders to previous incarnations that may still be executed in this one.
    previous_unanswered_loads: Vec<UnansweredLoad>,
    /// When the last order was issued.
    pub last_order_sent_at: ClockMillis,
    /// When the last order was issued or answered.
    pub last_order_activity_at: ClockMillis,
    /// When a report was last requested.
    pub report_requested_at: ClockMillis,
    /// Whether a requested report is outstanding.
    pub report_pending: bool,
    /// Whether the engine last reported a base model load or unload in progress.
    pub model_change_in_progress: bool,
    /// When the engine last denied holding something that is in `held`, until a report settles it.
    pub contradicted_at: Option<ClockMillis>,
    /// Hosts that could not connect to the engine, with the time of their message.
    unreachable_from: BTreeMap<Arc<str>, ClockMillis>,
    /// Whether the servable models have changed since they were last published.
    pub residency_changed: bool,
}

impl EngineInventory {
    /// Creates an inventory from the engine's list entry.
    pub fn new(entry: Arc<EngineEntry>) -> Self {
        let held = entry.loaded_models.iter().map(|model| (Arc::clone(&model.key), model.version));
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

    /// Creates the inventory of the engine's next incarnation. `outstanding_orders` are unanswered
    /// orders to this one.
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

    /// Records that an order to this incarnation was not answered.
    pub fn record_unanswered(&mut self, order: &PlannedOrder) {
        if matches!(order.kind, OrderKind::Load { .. })
            && self.entry.is_incarnation(order.engine.incarnation)
        {
            self.unanswered_loads.push(UnansweredLoad::new(order, self.last_order_sent_at));
        }
    }

    /// Drops unanswered orders that can no longer be executed.
    pub fn drop_expired_unanswered(&mut self, now: ClockMillis) {
        for loads in [&mut self.unanswered_loads, &mut self.previous_unanswered_loads] {
            loads.retain(|load| now.since(load.sent_at) < MAX_ORDER_DELAY);
        }
    }

    /// Returns the loads that orders to previous incarnations may still cause: one per sequence
    /// number that has not been reached.
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

    /// Returns whether a report is needed before further orders or decisions.
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

    /// Applies a report that was requested at `requested_at` and returns whether it was current
    /// enough.
    ///
    /// A report of an incarnation that is not listed yet is ignored, because its list entry creates
    /// a new inventory.
    pub fn apply_report(&mut self, report: &EngineReport, requested_at: ClockMillis) -> bool {
        self.report_pending = false;
        if !self.entry.is_incarnation(report.incarnation) {
            self.sequence = None;
            return false;
        }
        let fresh = requested_at.since(self.last_order_activity_at) >= MAX_REPORT_AGE
            && self.outstanding_order.is_none();
        if !fresh {
            return false;
        }
        let held: BTreeMap<ModelKey, WeightVersion> =
            report.loaded_models.iter().map(|held| (Arc::clone(&held.key), held.version)).collect();
        let recently_held: Vec<ModelKey> = self.held.keys().chain(held.keys()).cloned().collect();
        for key in recently_held {
            self.record_cached(&key);
        }
        self.held = held;
        self.residency_changed = true;
        self.unloading.retain(|key| self.held.contains_key(key));
        self.model_change_in_progress = report.model_change_in_progress;
        // The report may describe the engine before it denied holding the model or adapter.
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

    /// Records that `host` could not connect to the engine.
    pub fn record_unreachable_from(&mut self, host: &Arc<str>, now: ClockMillis) {
        self.unreachable_from.retain(|_, reported_at| now.since(*reported_at) < UNREACHABLE_TTL);
        self.unreachable_from.insert(Arc::clone(host), now);
    }

    /// Returns whether enough hosts cannot use the engine that its models need copies elsewhere.
    pub fn is_unreachable(&self, now: ClockMillis) -> bool {
        let recent = self
            .unreachable_from
            .values()
            .filter(|reported_at| now.since(**reported_at) < UNREACHABLE_TTL);
        recent.count() >= MIN_UNREACHABLE_HOSTS
    }

    /// Records that a host has requests for `key` on this engine.
    pub fn record_requests(&mut self, key: &str) {
        for load in self.pending.iter_mut().filter(|load| &*load.key == key) {
            load.has_requests = true;
        }
    }

    /// Returns the pending adapter loads started earlier than `before` that have no requests: a
    /// crash of the engine may be due to one of them.
    pub fn possible_crash_causes(&self, before: ClockMillis) -> impl Iterator<Item = &PendingLoad> {
        self.pending.iter().filter(move |load| {
            adapter_name(&load.key).is_some() && !load.has_requests && load.started_at < before
        })
    }

    /// Returns what a report requested at `requested_at` shows about pending adapter loads from the
    /// weight store.
    pub fn load_observations(
        &self,
        report: &EngineReport,
        requested_at: ClockMillis,
    ) -> Vec<LoadObservation> {
        let observed_at = requested_at - TYPICAL_REPORT_AGE;
        let adapters = self.pending.iter().filter(|load| load.is_store_adapter());
        let observations = adapters.filter_map(|load| {
            let still_pending = report.pending.iter().any(|pending| pending.key == load.key);
            let is_loaded = report
                .loaded_models
                .iter()
                .any(|loaded| loaded.key == load.key && loaded.version >= load.version);
            let observed = still_pending || is_loaded;
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

    /// Records that the engine holds `key` or has just dropped it.
    pub fn record_cached(&mut self, key: &ModelKey) {
        self.weight_cache.insert(key);
    }

    /// Returns whether `key` is probably in the engine's weight cache.
    pub fn has_cached(&self, key: &str) -> bool {
        self.weight_cache.contains(key)
    }

    /// Adds loads that are due to `held` until a report corrects it.
    ///
    /// Returns whether there were any.
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

    /// Returns whether the engine holds or is loading a base model.
    pub fn has_model(&self, model: &str) -> bool {
        self.held.contains_key(model) || self.pending.iter().any(|load| &*load.key == model)
    }

    /// Returns whether the engine holds or is loading `key` in `version` or a later one.
    pub fn has(&self, key: &str, version: WeightVersion) -> bool {
        let held = self.held.get(key).is_some_and(|held| *held >= version);
        held || self.pending.iter().any(|load| &*load.key == key && load.version >= version)
    }

    /// Returns the held models and adapters that are not being replaced or unloaded.
    pub fn servable_models(&self) -> Vec<LoadedModel> {
        let servable = self.held.iter().filter(|(key, version)| {
            let mut loads = self.pending.iter();
            let replaced = loads.any(|load| load.key == **key && load.version > **version);
            !replaced && !self.unloading.contains(*key)
        });
        servable
            .map(|(key, version)| LoadedModel { key: Arc::clone(key), version: *version })
            .collect()
    }

    /// Returns the number of adapters that may occupy the engine: held, pending and possibly loaded
    /// late.
    pub fn reserved_adapter_count(&self) -> usize {
        let held = self.held.keys().filter(|key| adapter_name(key).is_some());
        let pending = self
            .pending
            .iter()
            .filter(|load| adapter_name(&load.key).is_some() && !self.held.contains_key(&load.key));
        held.count() + pending.count() + self.possible_late_loads().count()
    }

    /// Returns the number of held adapters of a base model.
    pub fn adapters_of_model(&self, model: &str) -> usize {
        let adapters = self.held.keys().filter(|key| adapter_name(key).is_some());
        adapters.filter(|key| base_model(key) == model).count()
    }
}
