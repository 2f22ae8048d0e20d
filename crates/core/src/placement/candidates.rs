//! What is worth loading now.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::ClockMillis,
    fleet::{EngineName, ModelKey, adapter_name, base_model, routes::ModelSize},
    placement::{EngineInventory, PlacementPlanner},
};

/// The part of an engine's time that reading for one adapter may take before another copy is worth a
/// load. What else it reads then queues behind that adapter for a fifth of the time.
const COPY_SHARE: f64 = 0.2;

/// The same by the last seconds alone, in which chance weighs more.
const COPY_BURST_SHARE: f64 = 0.4;

/// The part of an engine's slots from which on it counts as busy.
const BUSY_PART: f64 = 0.75;

/// Requests a second for an adapter from which on busy engines make another copy worth a load.
const BUSY_RATE: f64 = 0.3;

/// How long requests wait for an adapter that is there before it counts as out of their reach.
const OUT_OF_REACH: Duration = Duration::from_millis(700);

/// Within which time an adapter that is ordered has come and all hosts know of it.
const LOAD_SPREADS: Duration = Duration::from_millis(600);

/// How long after a suspect's load is due it is not known whether its engine lives: a report is asked for after 130 ms and given up
/// after 500.
const UNPROVED: Duration = Duration::from_millis(700);

/// How many seconds of future requests a load is credited with.
pub(super) const RATE_HORIZON: f64 = 6.0;

/// What an engine without any base model is worth to fill.
const EMPTY_ENGINE_WORTH: f64 = 20.0;

/// How much more the newest version of an adapter in use is worth than a new adapter.
const VERSION_FACTOR: f64 = 2.0;

/// What each request is worth that was asked for since its adapter was last there.
///
/// It does not fade, so that what is asked for seldom but steadily has its turn.
const UNSERVED_WEIGHT: f64 = 0.3;

/// The value below which nothing is loaded.
const LEAST_WORTH: f64 = 0.05;

/// A load that would be worth something.
#[derive(Debug, Clone)]
pub(super) struct LoadCandidate {
    pub(super) key: ModelKey,
    pub(super) worth: f64,
    /// The one engine that it is for; any engine of the domain otherwise.
    pub(super) engine: Option<EngineName>,
}

impl PlacementPlanner {
    /// Returns every load that would be worth something, in no order.
    pub(super) fn candidates(&self, now: ClockMillis) -> Vec<LoadCandidate> {
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
        candidates.retain(|candidate| !self.is_barred(&candidate.key, now));
        candidates
    }

    /// Returns whether an adapter is not to be loaded now, since engines ended under its loads: for a while, and then by one engine
    /// at a time.
    fn is_barred(&self, key: &ModelKey, now: ClockMillis) -> bool {
        if !self.load_suspects.is_suspect(key) {
            return false;
        }
        let ordered = self.outstanding.values().any(|order| order.key == *key);
        let coming = || self.engines.values().flat_map(|inventory| &inventory.pending);
        ordered
            || coming().any(|load| load.key == *key && now < load.due + UNPROVED)
            || self.load_suspects.held(key, self.newest(key), now).is_some()
    }

    /// Returns a load of the most wanted base model for each engine that has none.
    fn empty_engines(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let empty = self.engines.values().filter(|inventory| {
            let any = |size: &ModelSize| inventory.has_model(&size.name);
            let idle = !inventory.entry.leaving && !inventory.busy;
            idle && self.bears_requests(inventory) && !self.hosting.models.iter().any(any)
        });
        let empty: Vec<&EngineInventory> = empty.collect();
        if empty.is_empty() {
            return Vec::new();
        }
        let wanted = self.hosting.models.iter().max_by(|left, right| {
            let rate = |name: &str| self.model_rate(name, now) / (1.0 + self.model_copies(name));
            rate(&left.name).total_cmp(&rate(&right.name))
        });
        let Some(model) = wanted else { return Vec::new() };
        empty
            .into_iter()
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

    /// Returns the adapters whose newest version no engine holds, though an older one is held.
    ///
    /// The new version goes to any engine, best to one that does not have to wait for runs on the
    /// older one. The older copies are dropped when their places are needed.
    fn outdated(&self, now: ClockMillis) -> Vec<LoadCandidate> {
        let stale = self.versions.keys().filter(|key| {
            let held = self.engines.values().any(|inventory| inventory.held.contains_key(*key));
            held && self.copies(key) == 0.0
        });
        let candidates = stale.map(|key| LoadCandidate {
            key: Arc::clone(key),
            worth: VERSION_FACTOR * self.interest(key, now),
            engine: None,
        });
        candidates.filter(|candidate| candidate.worth >= LEAST_WORTH).collect()
    }

    /// Returns how much an adapter is wanted: by what waits, and by what will come.
    pub(super) fn interest(&self, key: &str, now: ClockMillis) -> f64 {
        self.demand.waiting_worth(key) + RATE_HORIZON * self.demand.rate(key, now)
    }

    /// Returns what one more copy of an adapter is worth.
    ///
    /// The first copy is worth something only when somebody waits for it; another one only when the
    /// copies there are asked for more than they can bear.
    fn worth(&self, key: &str, now: ClockMillis) -> f64 {
        let copies = self.copies(key);
        if copies > 0.0 && (self.is_out_of_reach(key, now) || self.is_closed(key, now)) {
            return self.interest(key, now);
        }
        if copies > 0.0 {
            let rate = self.demand.rate(key, now);
            if rate >= BUSY_RATE && self.totals.least_busy(key) >= BUSY_PART {
                return RATE_HORIZON * rate;
            }
            return self.copy_worth(key, copies, now);
        }
        if self.demand.waiting(key) == 0 {
            return 0.0;
        }
        self.interest(key, now) + UNSERVED_WEIGHT * self.demand.unserved(key).powi(2)
    }

    /// Returns what one more copy than `copies` is worth: the requests that it takes off those.
    pub(super) fn copy_worth(&self, key: &str, copies: f64, now: ClockMillis) -> f64 {
        let spare = |rate: f64, tokens: f64, most: f64| {
            let share = self.reading.utilization_for(tokens) / copies;
            if share > most { rate / copies * (1.0 - most / share) } else { 0.0 }
        };
        let lasting = (self.demand.rate(key, now), self.demand.reading_rate(key, now));
        let burst = (self.demand.burst_rate(key, now), self.demand.burst_reading_rate(key, now));
        let spare =
            spare(lasting.0, lasting.1, COPY_SHARE).max(spare(burst.0, burst.1, COPY_BURST_SHARE));
        RATE_HORIZON * spare
    }

    /// Returns whether requests wait for an adapter though its copies are there: then those who wait
    /// can not reach them.
    fn is_out_of_reach(&self, key: &str, now: ClockMillis) -> bool {
        let Some(since) = self.demand.waiting_since(key) else { return false };
        let there = self.totals.latest_due(key).max(since);
        now.since(there) >= OUT_OF_REACH && !self.totals.is_ordered(key)
    }

    /// Returns whether requests wait for an adapter at a host that can use none of its copies, and no other copy is on its way
    /// or has just come.
    fn is_closed(&self, key: &str, now: ClockMillis) -> bool {
        let loaded = now.since(self.demand.last_loaded(key)) >= LOAD_SPREADS;
        loaded && self.demand.copies_closed(key) && !self.totals.is_ordered(key)
    }

    /// Returns how many engines hold the newest version of an adapter, or are getting it.
    pub(super) fn copies(&self, key: &str) -> f64 {
        f64::from(self.totals.copies(key))
    }
}
