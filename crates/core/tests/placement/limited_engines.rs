//! Placement on engines with request limits.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::fleet::{EngineName, limits::limit::RequestLimit};

use crate::simulation::*;

/// Sets a limit for some engines. Unit: requests per second.
fn set_limit(simulation: &mut Simulation, engines: &[usize], per_second: f64) {
    let limits: HashMap<EngineName, RequestLimit> = engines
        .iter()
        .map(|index| {
            let limit = RequestLimit::new(per_second).expect("limit is valid");
            (Arc::clone(&simulation.engines[*index].entry.name), limit)
        })
        .collect();
    simulation.planner.set_limits(limits);
}

/// Advances for long enough to complete a load, but not until copies count as unreachable.
fn settle_briefly(simulation: &mut Simulation) {
    for _ in 0..25 {
        simulation.step(20, OrderOutcome::Answered);
    }
}

/// Guards against loading adapters onto an engine that can hardly serve requests.
#[test]
fn limited_engine_gets_no_calls_while_others_are_unlimited() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    set_limit(&mut simulation, &[0], 1.6);
    let sequence = simulation.engines[0].sequence;
    for number in 0..8 {
        simulation.request(number, 1);
        settle(&mut simulation);
        simulation.request(number, 0);
    }
    assert_eq!(simulation.engines[0].sequence, sequence, "limited engine got orders");
    assert!((0..8).any(|number| simulation.any_engine_holds(&key(number))));
    assert!(
        simulation
            .pending_reports
            .iter()
            .all(|(_, _, name, _)| *name != *simulation.engines[0].entry.name)
    );
}

/// An adapter held only by a limited engine is loaded once elsewhere. When the limit ends, both
/// copies count.
#[test]
fn copy_on_a_limited_engine_does_not_count_for_waiting_requests() {
    let mut simulation = Simulation::new(3);
    settle(&mut simulation);
    simulation.request(1, 1);
    settle_briefly(&mut simulation);
    simulation.request(1, 0);
    let holds = |engine: &TestEngine| engine.held.contains_key(&key(1));
    let holder = simulation.engines.iter().position(holds).expect("no engine holds the adapter");
    set_limit(&mut simulation, &[holder], 1.0);
    // Nothing is loaded without waiting requests.
    let loads = simulation.load_orders;
    settle(&mut simulation);
    assert_eq!(simulation.load_orders, loads);
    simulation.request(1, 1);
    settle_briefly(&mut simulation);
    simulation.request(1, 0);
    let holders = simulation.engines.iter().filter(|engine| holds(engine)).count();
    assert_eq!((holders, simulation.load_orders), (2, loads + 1));
    // Repeated limits cause no further loads, since one copy suffices for the demand.
    for _ in 0..10 {
        simulation.planner.set_limits(HashMap::new());
        for _ in 0..4 {
            settle(&mut simulation);
        }
        set_limit(&mut simulation, &[holder], 1.0);
        simulation.request(1, 1);
        settle_briefly(&mut simulation);
        simulation.request(1, 0);
    }
    assert_eq!(simulation.load_orders, loads + 1);
}

/// When all engines are limited, waiting adapters still load, using at most half of the limits.
#[test]
fn orders_use_at_most_half_of_the_limits_when_all_engines_are_limited() {
    let mut simulation = Simulation::new(2);
    settle(&mut simulation);
    set_limit(&mut simulation, &[0, 1], 1.0);
    let orders_before: u64 = simulation.engines.iter().map(|engine| engine.sequence).sum();
    for number in 0..12 {
        simulation.request(number, 1);
    }
    // Ten seconds at 0.5 calls per second and engine.
    for _ in 0..500 {
        simulation.step(20, OrderOutcome::Answered);
    }
    let orders_after: u64 = simulation.engines.iter().map(|engine| engine.sequence).sum();
    assert!(
        (1..=12).contains(&(orders_after - orders_before)),
        "{} orders in ten seconds",
        orders_after - orders_before
    );
    assert!((0..12).any(|number| simulation.any_engine_holds(&key(number))));
}
