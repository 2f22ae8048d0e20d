//! The policy for engines with far fewer places than adapters in demand.
//!
//! An engine reloads an adapter that it held lately within some 30 ms from its own memory; the
//! weight store takes ten times as long and is shared by all engines. So an adapter returns to an
//! engine that remembers it, whichever idle adapter has to make room there, and each adapter has
//! as many copies as its requests need slots. Requests that wait come before everything else.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    clock::ClockMillis,
    fleet::{ModelKey, adapter_name, base_model},
    placement::{
        EngineInventory, OrderKind, PlacementPlanner, PlannedOrder,
        load_candidates::LoadCandidate,
        residency::{
            ResidencyPolicy,
            engine_places::{EnginePlaces, ORDER_TIME},
        },
        round_totals::RoundTotals,
    },
};

/// Maximum number of orders issued per planning round.
const MAX_ORDERS_PER_ROUND: usize = 48;

/// Share of an engine's slots that one adapter's requests may take before another copy is loaded.
/// The rest serves the engine's other adapters.
const MAX_SLOT_SHARE: f64 = 0.5;

/// Number of missed requests from which an adapter's rate no longer counts in full: the rate is at
/// most this number divided by the time since the last request. One requested twenty times a second
/// loses value 100 ms after its last request, one requested every second after two seconds.
const MISSED_REQUESTS: f64 = 2.0;

/// How long an order in progress at an engine that remembers the adapter is waited for, instead of
/// loading from the weight store elsewhere. An answer takes a few milliseconds.
const ORDER_WAIT: Duration = Duration::from_millis(60);

/// Additional cost of a load from the weight store, which other engines' loads wait for.
const STORE_LOAD_COST: Duration = Duration::from_millis(100);

/// Number of loads in progress from which an engine gets none from the weight store. The rest of
/// what it can load at once is left to adapters that it remembers.
const MAX_PENDING_STORE_LOADS: u32 = 3;

/// Expected requests per second up to which an idle adapter gives way to a copy that no request
/// waits for, relative to the requests that the copy would take over.
const COPY_DISPLACEMENT_SHARE: f64 = 0.5;

/// Loads adapters where they are remembered, and copies by the slots that their requests take.
#[derive(Debug, Clone, Copy, Default)]
pub struct AffinityResidency;

impl ResidencyPolicy for AffinityResidency {
    /// A fleet that starts empty loads hundreds of adapters at once; one for each engine is assumed
    /// to be within what the weight store carries.
    fn assumed_parallel_loads(&self, loads_per_second: f64, engines: usize) -> f64 {
        loads_per_second.max(engines as f64)
    }

    fn plan_orders(&self, planner: &mut PlacementPlanner, now: ClockMillis) -> Vec<PlannedOrder> {
        planner.totals = RoundTotals::for_held(planner, now);
        planner.update_run_time(now);
        planner.making_room.retain(|_, (_, ordered_at)| now.since(*ordered_at) < ORDER_WAIT);
        let mut round = ResidencyRound::new(planner, now);
        planner.load_queue.clear();
        let mut orders = round.order_models(planner);
        for wanted in wanted_adapters(planner, now) {
            let may_order = orders.len() < MAX_ORDERS_PER_ROUND;
            let order = if may_order { round.order_adapter(planner, &wanted) } else { None };
            let loads = order.as_ref().is_some_and(|order| order.key == wanted.key);
            // The load is still to be ordered while another adapter is evicted for it.
            if wanted.waiting > 0 && !loads {
                planner.load_queue.push(wanted.key);
            }
            orders.extend(order);
        }
        orders
    }
}

/// An adapter that another copy is wanted of.
#[derive(Debug, Clone)]
struct WantedAdapter {
    key: ModelKey,
    /// Number of requests that a copy would serve, by their value.
    value: f64,
    waiting: u32,
    since: ClockMillis,
}

/// Returns the adapters to load, the most valuable first and among equals the longest awaited.
fn wanted_adapters(planner: &PlacementPlanner, now: ClockMillis) -> Vec<WantedAdapter> {
    let mut wanted = planner.awaited_adapters(now);
    wanted.extend(planner.crowded_adapters(now));
    wanted.retain(|wanted| !planner.is_load_blocked(&wanted.key, now));
    wanted.sort_by(|left, right| {
        let by_value = right.value.total_cmp(&left.value);
        by_value.then(left.since.cmp(&right.since)).then_with(|| left.key.cmp(&right.key))
    });
    wanted
}

impl PlacementPlanner {
    /// Returns the adapters that requests wait for and no usable engine holds or is loading.
    fn awaited_adapters(&self, now: ClockMillis) -> Vec<WantedAdapter> {
        let awaited = self.demand.waiting_keys().filter(|key| adapter_name(key).is_some());
        let awaited = awaited.filter(|key| {
            self.copies(key) == 0.0
                || self.copies_seem_unreachable(key, now)
                || self.needs_copy_elsewhere(key, now)
        });
        let wanted = awaited.map(|key| WantedAdapter {
            key: Arc::clone(key),
            value: self.demand.waiting_value(key) + self.demand.request_rate(key, now),
            waiting: self.demand.waiting_requests(key),
            since: self.demand.waiting_since(key).unwrap_or(now),
        });
        wanted.collect()
    }

    /// Returns the adapters whose copies have more requests than [`MAX_SLOT_SHARE`] allows.
    fn crowded_adapters(&self, now: ClockMillis) -> Vec<WantedAdapter> {
        let max_requests = MAX_SLOT_SHARE * self.mean_slots();
        let run_time = self.run_time.get().as_secs_f64();
        let crowded = self.totals.open_requests().filter_map(|(key, open)| {
            let copies = self.copies(key);
            let demanded = self.demand.burst_request_rate(key, now) * run_time;
            let waiting = f64::from(self.demand.waiting_requests(key));
            let concurrency = demanded.max(f64::from(open) + waiting);
            let excess = concurrency - copies * max_requests;
            let crowded = copies > 0.0 && excess > 0.0 && !self.totals.is_load_ordered(key);
            crowded.then(|| WantedAdapter {
                key: Arc::clone(key),
                value: excess,
                waiting: 0,
                since: now,
            })
        });
        crowded.collect()
    }

    /// Returns whether an engine is evicting another adapter to make room for `key`. Otherwise the
    /// next rounds would evict one at other engines as well.
    fn is_making_room(&self, key: &ModelKey) -> bool {
        let inventory = self.making_room.get(key).and_then(|(engine, _)| self.engines.get(engine));
        inventory.is_some_and(|inventory| inventory.outstanding_order.is_some())
    }

    fn mean_slots(&self) -> f64 {
        let slots: u32 = self.engines.values().map(|inventory| inventory.entry.slots).sum();
        f64::from(slots) / self.engines.len().max(1) as f64
    }

    /// Returns the requests per second that an engine's copy of an adapter is expected to serve:
    /// its share of the adapter's rate, unless so many requests are missing that the demand has
    /// moved. Zero once a later version was named.
    pub(super) fn expected_copy_rate(
        &self,
        inventory: &EngineInventory,
        key: &ModelKey,
        now: ClockMillis,
    ) -> f64 {
        if inventory.held.get(key).is_some_and(|held| *held < self.latest_version(key)) {
            return 0.0;
        }
        let silence = now.since(self.demand.last_wanted_at(key)).as_secs_f64();
        let rate = self.demand.request_rate(key, now).min(MISSED_REQUESTS / silence.max(0.001));
        rate / self.copies(key).max(1.0)
    }
}

/// The engines' places during a planning round.
#[derive(Debug)]
struct ResidencyRound {
    places: Vec<EnginePlaces>,
    /// Indices of the engines by the cost of a load there.
    by_cost: Vec<usize>,
    /// Indices of engines with an unanswered load order, by its adapter.
    unresolved: HashMap<ModelKey, usize>,
    /// Number of engines that can take an order now.
    accepting: usize,
    now: ClockMillis,
}

impl ResidencyRound {
    fn new(planner: &PlacementPlanner, now: ClockMillis) -> Self {
        let engines = planner.engines.values();
        let places = engines.filter_map(|inventory| EnginePlaces::of(planner, inventory, now));
        let places: Vec<EnginePlaces> = places.collect();
        let mut by_cost: Vec<usize> = (0..places.len()).collect();
        by_cost.sort_by_key(|index| (places[*index].load_cost(), places[*index].open));
        let mut unresolved = HashMap::new();
        for (index, places) in places.iter().enumerate() {
            let inventory = planner.engines.get(&places.engine);
            let loads = inventory.into_iter().flat_map(|inventory| &inventory.unresolved_loads);
            unresolved.extend(loads.map(|load| (Arc::clone(&load.key), index)));
        }
        let accepting = places.iter().filter(|places| places.accepts).count();
        Self { places, by_cost, unresolved, accepting, now }
    }

    /// Orders base models for empty engines, and new versions of adapters in use. Queues base models
    /// that can not be ordered yet.
    fn order_models(&mut self, planner: &mut PlacementPlanner) -> Vec<PlannedOrder> {
        let mut candidates = planner.base_model_candidates(self.now);
        candidates.extend(planner.outdated_adapter_candidates(self.now));
        let mut orders: Vec<PlannedOrder> = Vec::new();
        let mut ordered: HashSet<ModelKey> = HashSet::new();
        for LoadCandidate { key, value, engine } in candidates {
            if planner.is_load_blocked(&key, self.now)
                || (engine.is_none() && !ordered.insert(Arc::clone(&key)))
            {
                continue;
            }
            let candidate = LoadCandidate { key, value, engine };
            if let Some(order) = planner.order_for(&candidate, self.now) {
                self.mark_ordered(&order);
                orders.push(order);
            } else if adapter_name(&candidate.key).is_none()
                && !planner.load_queue.contains(&candidate.key)
            {
                planner.load_queue.push(candidate.key);
            }
        }
        orders
    }

    fn mark_ordered(&mut self, order: &PlannedOrder) {
        let engine = &order.engine.name;
        if let Some(index) = self.places.iter().position(|places| places.engine == *engine) {
            self.start_order(index);
        }
    }

    fn start_order(&mut self, index: usize) {
        let places = &mut self.places[index];
        self.accepting -= usize::from(places.accepts);
        (places.accepts, places.accepts_soon) = (false, true);
    }

    /// Orders a load of an adapter, or the eviction that makes room for it.
    fn order_adapter(
        &mut self,
        planner: &mut PlacementPlanner,
        wanted: &WantedAdapter,
    ) -> Option<PlannedOrder> {
        if planner.is_making_room(&wanted.key) {
            return None;
        }
        let index = self.choose_engine(planner, wanted)?;
        let now = self.now;
        let fits = self.fits(planner, index, &wanted.key);
        self.start_order(index);
        let places = &mut self.places[index];
        let engine = Arc::clone(&places.engine);
        if !fits {
            let victim = places.idle.pop()?;
            planner.making_room.insert(Arc::clone(&wanted.key), (Arc::clone(&engine), now));
            return planner.issue_order(&engine, OrderKind::Unload, victim.key, wanted.value, now);
        }
        places.free -= 1;
        let inventory = planner.engines.get(&engine)?;
        let from_store = !planner.is_cached(inventory, &wanted.key);
        let kind = OrderKind::Load { from_store };
        planner.issue_order(&engine, kind, Arc::clone(&wanted.key), wanted.value, now)
    }

    /// Returns the engine where the adapter's first request would be answered soonest.
    ///
    /// Returns `None` if there is none now, or if that engine has an order in progress.
    fn choose_engine(
        &self,
        planner: &mut PlacementPlanner,
        wanted: &WantedAdapter,
    ) -> Option<usize> {
        if self.accepting == 0 {
            return None;
        }
        let max_rate =
            if wanted.waiting > 0 { f64::INFINITY } else { COPY_DISPLACEMENT_SHARE * wanted.value };
        let remembering = self.best_remembering(planner, wanted, max_rate);
        let fetch_time = planner.expected_load_time(&wanted.key, true) + STORE_LOAD_COST;
        let limit = remembering.map(|(cost, _)| cost);
        let fetching = || self.best_fetching(planner, wanted, max_rate);
        let fetching = fetching().map(|(cost, index)| (cost + fetch_time, index));
        let fetching = fetching.filter(|(cost, _)| limit.is_none_or(|limit| *cost < limit));
        let fetching = fetching.filter(|_| planner.store_has_capacity(&wanted.key, self.now));
        let remembering =
            || remembering.map(|(_, index)| index).filter(|index| self.places[*index].accepts);
        fetching.map(|(_, index)| index).or_else(remembering)
    }

    /// Returns whether an engine has a free place and memory for an adapter that it lacks.
    fn fits(&self, planner: &PlacementPlanner, index: usize, key: &ModelKey) -> bool {
        let places = &self.places[index];
        let inventory = planner.engines.get(&places.engine);
        places.free > 0 && inventory.is_some_and(|inventory| planner.may_hold(inventory, key))
    }

    /// Returns whether an engine that lacks an adapter can take it, possibly after evicting one that
    /// is expected to serve fewer than `max_rate` requests per second.
    fn can_take(
        &self,
        planner: &PlacementPlanner,
        index: usize,
        key: &ModelKey,
        max_rate: f64,
    ) -> bool {
        let places = &self.places[index];
        let Some(inventory) = planner.engines.get(&places.engine) else { return false };
        let lacks = inventory.held.contains_key(base_model(key))
            && planner.suits_needed_software(inventory, key)
            && !inventory.has(key, planner.latest_version(key));
        lacks && (places.can_evict(max_rate) || self.fits(planner, index, key))
    }

    /// Returns the engine that remembers the adapter with the lowest cost.
    fn best_remembering(
        &self,
        planner: &PlacementPlanner,
        wanted: &WantedAdapter,
        max_rate: f64,
    ) -> Option<(Duration, usize)> {
        if planner.versions.contains_key(&wanted.key) {
            return None;
        }
        let load_time = planner.expected_load_time(&wanted.key, false);
        let options = self.places.iter().enumerate().filter_map(|(index, places)| {
            let inventory = planner.engines.get(&places.engine)?;
            let usable = inventory.has_cached(&wanted.key)
                && self.can_take(planner, index, &wanted.key, max_rate);
            let soon =
                places.accepts_soon && self.now.since(inventory.last_order_sent_at) < ORDER_WAIT;
            if !usable || !(places.accepts || soon) {
                return None;
            }
            let wait = if places.accepts { Duration::ZERO } else { ORDER_TIME };
            Some((load_time + wait + places.load_cost(), index))
        });
        options.min()
    }

    /// Returns the engine to fetch an adapter to from the weight store, with its cost beyond that
    /// of the fetch. An engine that may still execute an unanswered order for it comes first.
    fn best_fetching(
        &self,
        planner: &PlacementPlanner,
        wanted: &WantedAdapter,
        max_rate: f64,
    ) -> Option<(Duration, usize)> {
        let fetches = |index: &usize| {
            let places = &self.places[*index];
            places.accepts
                && places.pending < MAX_PENDING_STORE_LOADS
                && self.can_take(planner, *index, &wanted.key, max_rate)
        };
        let unresolved = self.unresolved.get(&wanted.key).copied().filter(fetches);
        let index = unresolved.or_else(|| self.by_cost.iter().copied().find(fetches))?;
        Some((self.places[index].load_cost(), index))
    }
}
