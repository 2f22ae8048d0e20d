//! Overdue loads, and copies that engines deny holding or that are unreachable.

use crate::simulation::*;

/// Advances until an adapter is published and returns whether that took less than two seconds.
fn wait_until_published(simulation: &mut Simulation, number: usize) -> bool {
    (0..200).any(|_| {
        simulation.step(10, OrderOutcome::Answered);
        simulation.is_published(&key(number))
    })
}

/// Guards against hosts repeatedly sending requests for an adapter that is still loading.
#[test]
fn overdue_load_is_unpublished_when_its_engine_denies_it() {
    let mut simulation = Simulation::new(1);
    simulation.engines[0].load_ms = 600;
    settle(&mut simulation);
    simulation.request(1, 1);
    assert!(wait_until_published(&mut simulation, 1));
    assert!(!simulation.any_engine_holds(&key(1)), "the load should be overdue");
    let mut rejected_requests = 0;
    while !simulation.any_engine_holds(&key(1)) {
        if simulation.is_published(&key(1)) {
            simulation.report_absent(0, 1);
            rejected_requests += 1;
            assert!(!simulation.is_published(&key(1)), "denied by the engine but still published");
        }
        simulation.step(5, OrderOutcome::Answered);
    }
    assert!(rejected_requests <= 9, "{rejected_requests} requests refused within 350 ms");
    assert!(wait_until_published(&mut simulation, 1));
}

/// After several slow loads, due times must not be too early any more.
#[test]
fn due_times_adapt_to_slow_loads() {
    let mut simulation = Simulation::new(2);
    for engine in &mut simulation.engines {
        engine.load_ms = 400;
    }
    settle(&mut simulation);
    for number in 0..6 {
        simulation.request(number, 1);
        assert!(wait_until_published(&mut simulation, number));
        for engine in 0..2 {
            simulation.report_absent(engine, number);
        }
        settle(&mut simulation);
        simulation.request(number, 0);
    }
    simulation.request(7, 1);
    assert!(wait_until_published(&mut simulation, 7));
    assert!(simulation.any_engine_holds(&key(7)), "published before the load completed");
}

/// Guards against a copy staying published after its engine restarted or dropped it.
#[test]
fn copy_denied_by_its_engine_is_rechecked() {
    let mut simulation = Simulation::new(1);
    settle(&mut simulation);
    simulation.request(1, 1);
    settle(&mut simulation);
    simulation.request(1, 0);
    assert!(simulation.is_published(&key(1)));
    simulation.engines[0].held.remove(&key(1));
    simulation.report_absent(0, 1);
    settle(&mut simulation);
    assert!(!simulation.is_published(&key(1)));
}

/// Guards against waiting for the general timeout when the only copy is unreachable.
#[test]
fn adapter_unreachable_from_two_hosts_is_loaded_elsewhere() {
    for hosts in [&["north"][..], &["north", "south"]] {
        let mut simulation = Simulation::new(2);
        settle(&mut simulation);
        simulation.request(1, 1);
        assert!(wait_until_published(&mut simulation, 1));
        simulation.request(1, 0);
        settle(&mut simulation);
        let holder = (0..2).find(|index| simulation.engines[*index].held.contains_key(&key(1)));
        let holder = holder.expect("no engine holds the adapter");
        for host in hosts {
            simulation.report_unreachable(host, holder);
        }
        simulation.request(1, 1);
        for _ in 0..30 {
            simulation.step(10, OrderOutcome::Answered);
        }
        let copied = simulation.engines[1 - holder].held.contains_key(&key(1));
        assert_eq!(copied, hosts.len() > 1, "{hosts:?}");
    }
}
