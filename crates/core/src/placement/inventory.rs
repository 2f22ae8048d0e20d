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
        EngineEntry, EngineIncarnation, LoadedModel, ModelKey, WeightVersion, adapter_name,
        base_model,
    },
    placement::{EngineMemory, LoadSight, OrderId, OrderKind, PlannedOrder},
};

/// How old the state in a report may be when it arrives.
pub const REPORT_LAG: Duration = Duration::from_millis(250);

/// How old the state in a report is as a rule. Source: the users' pages, some hundred milliseconds.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// By how much that may be wrong either way.
const REPORT_BLUR: Duration = Duration::from_millis(40);

/// How long after a load is due a report is asked for: one that shows the engine just after the load has ended.
const REPORT_DELAY: Duration = Duration::from_millis(130);

/// How long a host's report holds that it can't use an engine: hosts leave one that they can't connect to for 400 ms at first,
/// and report it again when they have tried again.
const UNREACHED_HOLDS: Duration = Duration::from_millis(1500);

/// How many hosts must say so: one may be cut off itself.
const LEAST_UNREACHED: usize = 2;

/// How many loads may be in transit to one engine.
pub const MOST_IN_TRANSIT: usize = 4;

/// What an engine tells when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The life of the engine that tells it; zero where it does not say.
    pub born: EngineIncarnation,
    /// How many orders it had taken.
    pub sequence: u64,
    /// Whether a model's order is under way.
    pub busy: bool,
    /// What it held.
    pub held: Vec<LoadedModel>,
    /// What was in transit to it.
    pub pending: Vec<LoadedModel>,
}

/// A load that was ordered and has not been seen to end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingLoad {
    /// What is loaded.
    pub key: ModelKey,
    /// Its version, where one is named.
    pub version: WeightVersion,
    /// When it was ordered.
    pub began: ClockMillis,
    /// When it is expected to end.
    pub due: ClockMillis,
    /// Before when it is not expected, since its engine said that it was not there.
    pub not_before: ClockMillis,
    /// The order that began it; of another placer's order nothing is known.
    pub order: Option<OrderId>,
    /// Whether it uses the weight store.
    pub from_store: bool,
    /// Whether a host sent requests for it to the engine: whatever ends the engine then need not be the load.
    pub used: bool,
}

impl PendingLoad {
    /// Returns whether it is an adapter from the weight store.
    pub fn is_store_adapter(&self) -> bool {
        self.from_store && adapter_name(&self.key).is_some()
    }
}

/// A load order that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoubtedLoad {
    /// What was to be loaded.
    pub key: ModelKey,
    /// When the order was counted against the weight store's rate, if it was.
    pub noted: Option<ClockMillis>,
}

/// How long after it was sent an order without an answer may still be carried out. Source: the users' pages, seconds; twelve
/// were seen.
const LATE_ORDER: Duration = Duration::from_secs(15);

/// A load order without an answer, which may still be carried out once the engine has taken as many orders as it names.
///
/// In the life to which it was sent another order takes its place at that count. The next life under the same name counts
/// anew, and may come by the same count while it is full.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LateLoad {
    key: ModelKey,
    expected_sequence: u64,
    sent: ClockMillis,
}

impl LateLoad {
    fn new(order: &PlannedOrder, sent: ClockMillis) -> Self {
        let key = Arc::clone(&order.key);
        Self { key, expected_sequence: order.expected_sequence, sent }
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
    pub memory: EngineMemory,
    /// What it drops as soon as its runs have ended.
    pub closing: BTreeSet<ModelKey>,
    /// The order that is on its way.
    pub order: Option<OrderKind>,
    /// Load orders without an answer at the present count of orders: one may still be carried out.
    pub doubted: Vec<DoubtedLoad>,
    /// Load orders to this life that got no answer lately.
    unanswered: Vec<LateLoad>,
    /// Load orders to the life before that may still be carried out in this one.
    late: Vec<LateLoad>,
    /// When the last order was given.
    pub noted: ClockMillis,
    /// When the last order ended.
    pub ordered: ClockMillis,
    /// When a report was last asked for.
    pub asked: ClockMillis,
    /// Whether a report is on its way.
    pub asking: bool,
    /// Whether the engine said that it is busy with a model.
    pub busy: bool,
    /// When a host was told that it lacks something that it is taken to hold, until a report has settled that.
    pub contradicted: Option<ClockMillis>,
    /// Hosts that could not connect to it, and when they said so.
    unreached: BTreeMap<Arc<str>, ClockMillis>,
    /// Whether what requests may be sent to has changed since it was last told.
    pub touched: bool,
}

impl EngineInventory {
    /// Starts with what the engine's entry says that it holds.
    pub fn new(entry: Arc<EngineEntry>) -> Self {
        let held = entry.loaded_models.iter().map(|model| (Arc::clone(&model.key), model.version));
        Self {
            held: held.collect(),
            entry,
            sequence: None,
            pending: Vec::new(),
            memory: EngineMemory::default(),
            closing: BTreeSet::new(),
            order: None,
            doubted: Vec::new(),
            unanswered: Vec::new(),
            late: Vec::new(),
            noted: ClockMillis::default(),
            ordered: ClockMillis::default(),
            asked: ClockMillis::default(),
            asking: false,
            busy: false,
            contradicted: None,
            unreached: BTreeMap::new(),
            touched: true,
        }
    }

    /// Starts with the next life of the same engine; `outstanding` are orders to the life before that have no answer yet.
    #[must_use]
    pub fn next_life<'order>(
        &self,
        entry: Arc<EngineEntry>,
        outstanding: impl Iterator<Item = &'order PlannedOrder>,
    ) -> Self {
        let mut next = Self::new(entry);
        next.late.extend(self.late.iter().chain(&self.unanswered).cloned());
        let loads = outstanding.filter(|order| matches!(order.kind, OrderKind::Load { .. }));
        next.late.extend(loads.map(|order| LateLoad::new(order, self.noted)));
        next
    }

    /// Takes that an order to this life has no answer.
    pub fn note_unanswered(&mut self, order: &PlannedOrder) {
        if matches!(order.kind, OrderKind::Load { .. })
            && self.entry.is_incarnation(order.engine.incarnation)
        {
            self.unanswered.push(LateLoad::new(order, self.noted));
        }
    }

    /// Forgets orders without an answer that are not carried out any more.
    pub fn forget_late(&mut self, now: ClockMillis) {
        for loads in [&mut self.unanswered, &mut self.late] {
            loads.retain(|load| now.since(load.sent) < LATE_ORDER);
        }
    }

    /// Returns what orders to the life before may still bring: one load for each count of orders that lies ahead.
    pub fn may_come_late(&self) -> impl Iterator<Item = &ModelKey> {
        let ahead = |load: &&LateLoad| {
            self.sequence.is_none_or(|sequence| load.expected_sequence >= sequence)
        };
        let by_count: BTreeMap<u64, &ModelKey> = self
            .late
            .iter()
            .filter(ahead)
            .filter(|load| !self.held.contains_key(&load.key))
            .map(|load| (load.expected_sequence, &load.key))
            .collect();
        by_count.into_values()
    }

    /// Returns whether a report is needed before anything can be ordered or decided.
    pub fn needs_report(&self, now: ClockMillis) -> bool {
        if self.asking || self.order.is_some() {
            return false;
        }
        let settled = now.since(self.ordered) >= REPORT_LAG;
        let rested = now.since(self.asked) >= REPORT_LAG;
        let overdue = self.pending.iter().any(|load| now >= load.due + REPORT_DELAY);
        settled
            && rested
            && (self.sequence.is_none()
                || self.busy
                || self.contradicted.is_some()
                || overdue
                || !self.closing.is_empty())
    }

    /// Takes a report that was asked for at `asked`; returns whether it counted.
    ///
    /// One of a life that is not listed yet does not: its entry comes within a moment, and brings a new inventory.
    pub fn take_report(&mut self, report: &EngineReport, asked: ClockMillis) -> bool {
        self.asking = false;
        if !self.entry.is_incarnation(report.born) {
            self.sequence = None;
            return false;
        }
        let fresh = asked.since(self.ordered) >= REPORT_LAG && self.order.is_none();
        if !fresh {
            return false;
        }
        let held: BTreeMap<ModelKey, WeightVersion> =
            report.held.iter().map(|held| (Arc::clone(&held.key), held.version)).collect();
        let known: Vec<ModelKey> = self.held.keys().chain(held.keys()).cloned().collect();
        for key in known {
            self.remember(&key);
        }
        self.held = held;
        self.touched = true;
        self.closing.retain(|key| self.held.contains_key(key));
        self.busy = report.busy;
        // A report may show the engine as it was before it said so.
        self.contradicted = self.contradicted.filter(|said| asked < *said + REPORT_LAG);
        if self.sequence.is_some_and(|known| known < report.sequence) {
            self.doubted.clear();
        }
        self.sequence = Some(report.sequence);
        self.pending.retain(|load| report.pending.iter().any(|pending| pending.key == load.key));
        for pending in &report.pending {
            if !self.pending.iter().any(|load| load.key == pending.key) {
                self.pending.push(PendingLoad {
                    key: Arc::clone(&pending.key),
                    version: pending.version,
                    began: asked,
                    due: asked + REPORT_LAG,
                    not_before: ClockMillis::default(),
                    order: None,
                    from_store: true,
                    used: false,
                });
            }
        }
        true
    }

    /// Takes that a host could not connect to it.
    pub fn unreached_by(&mut self, host: &Arc<str>, now: ClockMillis) {
        self.unreached.retain(|_, said| now.since(*said) < UNREACHED_HOLDS);
        self.unreached.insert(Arc::clone(host), now);
    }

    /// Returns whether hosts can't use it, so that another copy of what it holds is worth a load.
    pub fn is_unreached(&self, now: ClockMillis) -> bool {
        let lately = self.unreached.values().filter(|said| now.since(**said) < UNREACHED_HOLDS);
        lately.count() >= LEAST_UNREACHED
    }

    /// Takes that a host has requests for `key` there.
    pub fn note_use(&mut self, key: &str) {
        for load in self.pending.iter_mut().filter(|load| &*load.key == key) {
            load.used = true;
        }
    }

    /// Returns the adapters on their way that began before `moment` and were not used: what may have ended the engine if it has ended.
    pub fn unproved_loads(&self, moment: ClockMillis) -> impl Iterator<Item = &PendingLoad> {
        self.pending.iter().filter(move |load| {
            adapter_name(&load.key).is_some() && !load.used && load.began < moment
        })
    }

    /// Returns what a report that was asked for at `asked` shows of the adapters on their way from the store.
    pub fn load_sights(&self, report: &EngineReport, asked: ClockMillis) -> Vec<LoadSight> {
        let at = asked - REPORT_AGE;
        let adapters = self.pending.iter().filter(|load| load.is_store_adapter());
        let sights = adapters.filter_map(|load| {
            let on_its_way = report.pending.iter().any(|pending| pending.key == load.key);
            let there =
                report.held.iter().any(|held| held.key == load.key && held.version >= load.version);
            let seen = on_its_way || there;
            let order = load.order?;
            seen.then_some(LoadSight { load: order, there: !on_its_way, at, blur: REPORT_BLUR })
        });
        sights.collect()
    }

    /// Takes that the engine holds, or has just dropped, a model or adapter.
    pub fn remember(&mut self, key: &ModelKey) {
        self.memory.note(key);
    }

    /// Returns whether the engine held something lately.
    pub fn remembers(&self, key: &str) -> bool {
        self.memory.contains(key)
    }

    /// Moves loads whose time has come to what is held; a later report corrects it.
    ///
    /// Returns whether anything moved.
    pub fn settle_due(&mut self, now: ClockMillis) -> bool {
        let mut landed = Vec::new();
        for load in &self.pending {
            let known = self.held.get(&load.key).is_some_and(|held| *held >= load.version);
            if now >= load.due && !known && !self.busy {
                self.held.insert(Arc::clone(&load.key), load.version);
                landed.push(Arc::clone(&load.key));
            }
        }
        for key in &landed {
            self.remember(key);
        }
        self.touched |= !landed.is_empty();
        !landed.is_empty()
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
    pub fn usable(&self) -> Vec<LoadedModel> {
        let usable = self.held.iter().filter(|(key, version)| {
            let mut loads = self.pending.iter();
            let replaced = loads.any(|load| load.key == **key && load.version > **version);
            !replaced && !self.closing.contains(*key)
        });
        usable
            .map(|(key, version)| LoadedModel { key: Arc::clone(key), version: *version })
            .collect()
    }

    /// Returns how many places for adapters are taken, those in transit included.
    pub fn adapters_taken(&self) -> usize {
        let held = self.held.keys().filter(|key| adapter_name(key).is_some());
        let coming = self
            .pending
            .iter()
            .filter(|load| adapter_name(&load.key).is_some() && !self.held.contains_key(&load.key));
        held.count() + coming.count() + self.may_come_late().count()
    }

    /// Returns how many adapters of a model the engine holds.
    pub fn adapters_of(&self, model: &str) -> usize {
        let adapters = self.held.keys().filter(|key| adapter_name(key).is_some());
        adapters.filter(|key| base_model(key) == model).count()
    }
}
