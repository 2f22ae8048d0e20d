//! Choice of loads, engines and evictions.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, LoadedModel, work::EngineWork},
    placement::{EngineWeightCache, HostWork, OrderKind, PlacementAction},
};

use crate::simulation::*;

#[test]
fn requested_adapter_loads_within_one_load_time() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.request(7, 1);
    simulation.step(1, OrderOutcome::Answered);
    for _ in 0..30 {
        simulation.step(10, OrderOutcome::Answered);
    }
    assert!(simulation.any_engine_holds(&key(7)));
    assert!(simulation.is_published(&key(7)));
}

#[test]
fn listed_models_are_published_before_the_first_report() {
    let mut planner = planner();
    let mut engine = TestEngine::new(0, 0);
    let held = vec![LoadedModel { key: key(5), version: 1 }];
    engine.entry = Arc::new(EngineEntry { loaded_models: held.clone(), ..(*engine.entry).clone() });
    planner.set_engines(&[Arc::clone(&engine.entry)]);
    planner.begin_tenure(ClockMillis::from_millis(10));
    planner.plan(true, ClockMillis::from_millis(10));
    assert_eq!(planner.residency(), [(Arc::clone(&engine.entry.name), held)]);
}

/// Guards against attributing the models and sequence number of a previous incarnation to a
/// restarted engine.
#[test]
fn restarted_engine_starts_with_an_empty_inventory() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    simulation.request(4, 1);
    settle(&mut simulation);
    assert!(simulation.is_published(&key(4)));
    simulation.restart_engine(0);
    assert!(!simulation.is_published(&key(4)), "{:?}", simulation.planner.residency());
    // Both the previously held adapter and a new one load.
    simulation.request(5, 1);
    settle(&mut simulation);
    for number in [4, 5] {
        assert!(
            simulation.any_engine_holds(&key(number)) && simulation.is_published(&key(number)),
            "{number}"
        );
    }
}

#[test]
fn adapters_load_in_parallel() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    for number in 0..6 {
        simulation.request(number, 1);
    }
    for _ in 0..40 {
        simulation.step(10, OrderOutcome::Answered);
    }
    let held = (0..6).filter(|number| simulation.any_engine_holds(&key(*number))).count();
    assert_eq!(held, 6, "sequential loads would take 1.5 s");
}

#[test]
fn adapters_without_waiting_requests_are_not_loaded() {
    let mut simulation = Simulation::new(2);
    settle(&mut simulation);
    simulation.request(3, 0);
    settle(&mut simulation);
    assert_eq!(simulation.load_orders, 0);
}

#[test]
fn full_engine_evicts_the_least_recently_requested_adapter() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    for number in 0..4 {
        simulation.request(number, 1);
        settle(&mut simulation);
        simulation.request(number, 0);
    }
    for _ in 0..100 {
        simulation.step(20, OrderOutcome::Answered);
    }
    simulation.request(9, 1);
    settle(&mut simulation);
    assert!(simulation.any_engine_holds(&key(9)));
    assert!(
        !simulation.any_engine_holds(&key(0)),
        "least recently requested adapter was not evicted"
    );
    assert!(simulation.any_engine_holds(&key(3)));
}

#[test]
fn new_version_replaces_the_held_version() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    simulation.request(1, 1);
    settle(&mut simulation);
    simulation.planner.set_versions(&HashMap::from([(key(1), 2)]));
    simulation.request(1, 1);
    let actions = simulation.planner.plan(true, simulation.time());
    let replaced = actions.iter().any(|action| {
        matches!(action, PlacementAction::SendOrder(order) if order.version == Some(2) && order.key == key(1))
    });
    assert!(replaced, "{actions:?}");
}

#[test]
fn new_version_loads_on_an_engine_without_the_old_one() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.request(1, 1);
    settle(&mut simulation);
    let holds = |engine: &&TestEngine| engine.held.contains_key(&key(1));
    let holder = simulation.engines.iter().find(holds).map(|engine| Arc::clone(&engine.entry.name));
    simulation.planner.set_versions(&HashMap::from([(key(1), 2)]));
    simulation.request(1, 1);
    let actions = simulation.planner.plan(true, simulation.time());
    let loads = actions.iter().filter_map(|action| match action {
        PlacementAction::SendOrder(order) if order.key == key(1) => Some(&order.engine.name),
        _ => None,
    });
    let loads: Vec<_> = loads.collect();
    assert_eq!(loads.len(), 1, "{actions:?}");
    assert_ne!(Some(loads[0]), holder.as_ref(), "would wait for open requests on the old version");
}

#[test]
fn new_placer_reloads_from_an_engine_weight_cache() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    let engine = Arc::clone(&simulation.engines[2].entry.name);
    let mut cache = EngineWeightCache::default();
    cache.insert(&key(1));
    simulation.planner.restore_weight_caches(&HashMap::from([(Arc::clone(&engine), cache)]));
    simulation.request(1, 1);
    let actions = simulation.planner.plan(true, simulation.time());
    let orders = actions.iter().filter_map(|action| match action {
        PlacementAction::SendOrder(order) => Some((Arc::clone(&order.engine.name), order.kind)),
        PlacementAction::RequestReport(_) => None,
    });
    let orders: Vec<_> = orders.collect();
    assert_eq!(orders, [(engine, OrderKind::Load { from_store: false })]);
}

#[test]
fn loads_beyond_store_parallelism_delay_each_other() {
    // The planner initially assumes that the store serves 8 loads in parallel.
    let mut simulation = Simulation::new(6);
    settle(&mut simulation);
    let started_at = simulation.time();
    for number in 0..12 {
        simulation.request(number, 1);
    }
    for _ in 0..4 {
        simulation.step(4, OrderOutcome::Answered);
    }
    let due_delays = |simulation: &Simulation| -> Vec<u128> {
        let loads = simulation.planner.inventories().flat_map(|inventory| &inventory.pending);
        loads.map(|load| load.due.since(started_at).as_millis()).collect()
    };
    let delays = due_delays(&simulation);
    assert_eq!(delays.len(), 12, "{delays:?}");
    assert!(delays.iter().all(|due| (320..420).contains(due)), "{delays:?}");
}

#[test]
fn requests_still_waiting_despite_a_copy_get_another_copy() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.request(1, 1);
    for _ in 0..14 {
        simulation.step(20, OrderOutcome::Answered);
    }
    simulation.request(1, 0);
    settle(&mut simulation);
    let holders = |simulation: &Simulation| {
        simulation.engines.iter().filter(|engine| engine.held.contains_key(&key(1))).count()
    };
    assert_eq!(holders(&simulation), 1);
    // A host that cannot reach the holder keeps waiting.
    simulation.request(1, 1);
    for _ in 0..52 {
        simulation.step(20, OrderOutcome::Answered);
    }
    assert_eq!(holders(&simulation), 2);
}

struct EvictionCase {
    name: &'static str,
    /// Adapters with open requests, out of four. Adapter 0 has the lowest value.
    open_requests: &'static [usize],
    /// Adapter that is evicted, if any.
    evicted: Option<usize>,
}

/// Guards against unloading an adapter with open requests, which blocks its engine for other
/// orders.
#[test]
fn only_adapters_without_open_requests_are_evicted() {
    let cases = [
        EvictionCase { name: "no open requests", open_requests: &[], evicted: Some(0) },
        EvictionCase {
            name: "open request on the least valuable adapter",
            open_requests: &[0],
            evicted: Some(1),
        },
        EvictionCase {
            name: "one adapter without open requests",
            open_requests: &[0, 1, 3],
            evicted: Some(2),
        },
        EvictionCase {
            name: "open requests on all adapters",
            open_requests: &[0, 1, 2, 3],
            evicted: None,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(1);
        settle(&mut simulation);
        for number in 0..4 {
            simulation.request(number, 1);
            for _ in 0..14 {
                simulation.step(20, OrderOutcome::Answered);
            }
            simulation.request(number, 0);
        }
        for (number, more) in [(1, 1), (2, 2), (3, 3)] {
            for _ in 0..more {
                simulation.request(number, 0);
            }
        }
        settle(&mut simulation);
        simulation.report_open_requests(0, case.open_requests);
        simulation.request(9, 9);
        settle(&mut simulation);
        for number in 0..4 {
            let kept = case.evicted != Some(number);
            assert_eq!(
                simulation.any_engine_holds(&key(number)),
                kept,
                "{}: adapter {number}",
                case.name
            );
        }
        assert_eq!(simulation.any_engine_holds(&key(9)), case.evicted.is_some(), "{}", case.name);
        // The adapters can be evicted once their requests have ended.
        simulation.report_requests_ended(0, case.open_requests);
        simulation.request(9, 9);
        settle(&mut simulation);
        assert!(simulation.any_engine_holds(&key(9)), "{}: after the requests ended", case.name);
    }
}

fn holders(simulation: &Simulation, number: usize) -> usize {
    simulation.engines.iter().filter(|engine| engine.held.contains_key(&key(number))).count()
}

/// Guards against a burst being detected only by the slow rate, after queues have filled up.
#[test]
fn burst_gets_copies_within_two_load_times() {
    let mut simulation = Simulation::new(6);
    settle(&mut simulation);
    for _ in 0..30 {
        simulation.request(1, 3);
        simulation.step(20, OrderOutcome::Answered);
    }
    assert!(
        holders(&simulation, 1) >= 3,
        "{} copies for fifty requests a second",
        holders(&simulation, 1)
    );
}

/// Guards against two adapters evicting each other's copies indefinitely.
#[test]
fn adapters_in_steady_demand_do_not_evict_each_other() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.slow_down_prefill();
    for number in 0..10 {
        simulation.request(number, 1);
    }
    settle(&mut simulation);
    let mut loads_before = 0;
    for round in 0..25 {
        for number in 0..10 {
            // Requests wait only for adapters that are not loaded.
            simulation.request(number, u32::from(!simulation.any_engine_holds(&key(number))));
        }
        for _ in 0..20 {
            simulation.step(20, OrderOutcome::Answered);
        }
        if round == 14 {
            loads_before = simulation.load_orders;
        }
    }
    let loads = simulation.load_orders - loads_before;
    assert!(loads <= 4, "{loads} loads in four seconds of constant demand");
}

#[test]
fn adapter_on_busy_engines_gets_another_copy() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.request(1, 1);
    for _ in 0..14 {
        simulation.step(20, OrderOutcome::Answered);
    }
    for _ in 0..5 {
        simulation.request(1, 0);
        settle(&mut simulation);
    }
    assert_eq!(holders(&simulation, 1), 1);
    let holder = simulation.engines.iter().find(|engine| engine.held.contains_key(&key(1)));
    let name = Arc::clone(&holder.expect("no engine holds the adapter").entry.name);
    let host = Arc::from("host");
    let work = EngineWork { open: 13, pending_prefill_tokens: 0 };
    let host_work = HostWork { engines: vec![(name, work)], ..HostWork::default() };
    simulation.planner.record_work(&host, &host_work, simulation.time());
    settle(&mut simulation);
    assert_eq!(holders(&simulation, 1), 2, "13 of 16 slots are in use");
}

#[test]
fn planner_without_permission_to_order_only_requests_reports() {
    let mut simulation = Simulation::new(2);
    simulation.request(1, 1);
    for _ in 0..20 {
        simulation.now += 50;
        let actions = simulation.planner.plan(false, simulation.time());
        let orders = actions.iter().any(|action| matches!(action, PlacementAction::SendOrder(_)));
        assert!(!orders);
    }
}

#[test]
fn base_model_loads_stay_within_the_rate_limit() {
    let mut simulation = Simulation::new(12);
    for engine in &mut simulation.engines {
        engine.held.clear();
    }
    for _ in 0..10 {
        simulation.step(20, OrderOutcome::Answered);
    }
    // Limit for the five-second window: 3.3 per second plus ten percent, plus three.
    let ordered = simulation.load_orders;
    assert!(ordered > 0);
    assert!(ordered <= 21, "{ordered} base model loads within the window");
}
