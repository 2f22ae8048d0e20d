//! Schedules of loads: ordered, queued or unknown.

use std::time::Duration;

use reelreel_core::placement::{LoadSchedule, OrderKind, PlacementAction};

use crate::simulation::*;

fn schedule(simulation: &Simulation, number: usize) -> LoadSchedule {
    simulation.planner.load_schedule(&key(number), simulation.time())
}

fn is_loading(simulation: &Simulation, number: usize) -> bool {
    matches!(schedule(simulation, number), LoadSchedule::Loading { .. })
}

/// Guards against hosts that take a queued load for one that is ordered, and wait for it.
#[test]
fn of_several_requested_adapters_those_without_an_order_are_queued() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    for number in [1, 2, 3] {
        simulation.request(number, 1);
    }
    simulation.step(1, OrderOutcome::Answered);
    let loading = [1, 2, 3].into_iter().filter(|number| is_loading(&simulation, *number));
    assert_eq!(loading.count(), 1, "an engine takes one order at a time");
    for number in [1, 2, 3] {
        let due = schedule(&simulation, number).due().expect("a schedule");
        assert!(due > simulation.time(), "{number}");
    }
    for _ in 0..4 {
        simulation.step(4, OrderOutcome::Answered);
    }
    assert!([1, 2, 3].into_iter().all(|number| is_loading(&simulation, number)));
    for number in [1, 2, 3] {
        let active = simulation.planner.active_loads(simulation.time());
        assert_eq!(active.get(&*key(number)).copied(), schedule(&simulation, number).due());
    }
    assert_eq!(schedule(&simulation, 4), LoadSchedule::Unknown, "never requested");
}

/// Guards against taking an order to unload an adapter for a load of it, and against due times that
/// ignore the engine's own weight cache.
#[test]
fn an_order_to_unload_is_no_load_and_a_cached_load_is_due_early() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    let mut unloaded = None;
    for number in 1..8 {
        simulation.request(number, 1);
        for _ in 0..60 {
            simulation.now += 10;
            for action in simulation.planner.plan(true, simulation.time()) {
                if let PlacementAction::SendOrder(order) = &action
                    && order.kind == OrderKind::Unload
                {
                    let schedule = simulation.planner.load_schedule(&order.key, simulation.time());
                    assert!(!matches!(schedule, LoadSchedule::Loading { .. }), "{}", order.key);
                    unloaded = (1..8).find(|number| key(*number) == order.key);
                }
                simulation.execute(action, OrderOutcome::Answered);
            }
            simulation.step(3, OrderOutcome::Answered);
        }
        simulation.request(number, 0);
    }
    let cached = unloaded.expect("an unload");
    simulation.request(cached, 1);
    for _ in 0..40 {
        simulation.step(3, OrderOutcome::Answered);
        if is_loading(&simulation, cached) {
            let due = schedule(&simulation, cached).due().expect("a due time");
            assert!(due.since(simulation.time()) < Duration::from_millis(60), "{due:?}");
            return;
        }
    }
    panic!("no load of {cached}");
}
