//! Engines that have named a limit: what is brought to them, and what a copy there is worth.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::fleet::{EngineName, limits::limit::RequestLimit};

use crate::world::*;

/// Takes that some engines have named a limit. Unit: requests a second.
fn limit(world: &mut World, engines: &[usize], per_second: f64) {
    let limits: HashMap<EngineName, RequestLimit> = engines
        .iter()
        .map(|place| {
            let limit = RequestLimit::new(per_second).expect("a limit");
            (Arc::clone(&world.engines[*place].entry.name), limit)
        })
        .collect();
    world.planner.set_limits(limits);
}

/// Lets a load come, and less time pass than after which whoever still waits counts as cut off from the copies that are there.
fn settle_briefly(world: &mut World) {
    for _ in 0..25 {
        world.step(20, OrderFate::Answered);
    }
}

/// The placer went on to bring adapters to an engine that takes 1.6 requests a second: 13 in five seconds.
#[test]
fn an_engine_with_a_limit_gets_no_order_and_is_asked_for_nothing_while_others_have_none() {
    let mut world = World::new(3);
    settle(&mut world);
    limit(&mut world, &[0], 1.6);
    let sequence = world.engines[0].sequence;
    for number in 0..8 {
        world.ask(number, 1);
        settle(&mut world);
        world.ask(number, 0);
    }
    assert_eq!(world.engines[0].sequence, sequence, "orders to it");
    assert!((0..8).any(|number| world.holds(&key(number))));
    assert!(world.reports.iter().all(|(_, _, name, _)| *name != *world.engines[0].entry.name));
}

/// What waits though an engine with a limit holds it is loaded elsewhere, once; when the limit ends both are copies.
#[test]
fn a_copy_at_an_engine_with_a_limit_is_none_for_what_waits() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    settle_briefly(&mut world);
    world.ask(1, 0);
    let holds = |engine: &TestEngine| engine.held.contains_key(&key(1));
    let holder = world.engines.iter().position(holds).expect("one engine holds it");
    limit(&mut world, &[holder], 1.0);
    // Nobody waits: nothing is brought anywhere.
    let loads = world.loads;
    settle(&mut world);
    assert_eq!(world.loads, loads);
    world.ask(1, 1);
    settle_briefly(&mut world);
    world.ask(1, 0);
    let holders = world.engines.iter().filter(|engine| holds(engine)).count();
    assert_eq!((holders, world.loads), (2, loads + 1));
    // Limits that come and go bring nothing more; requests are few enough for one copy.
    for _ in 0..10 {
        world.planner.set_limits(HashMap::new());
        for _ in 0..4 {
            settle(&mut world);
        }
        limit(&mut world, &[holder], 1.0);
        world.ask(1, 1);
        settle_briefly(&mut world);
        world.ask(1, 0);
    }
    assert_eq!(world.loads, loads + 1);
}

/// Where every engine has named a limit there is no elsewhere: what waits is brought, by no more calls than half of the limits.
#[test]
fn where_all_engines_have_limits_orders_take_half_of_them_at_most() {
    let mut world = World::new(2);
    settle(&mut world);
    limit(&mut world, &[0, 1], 1.0);
    let before: u64 = world.engines.iter().map(|engine| engine.sequence).sum();
    for number in 0..12 {
        world.ask(number, 1);
    }
    // Ten seconds, at half a call a second and engine.
    for _ in 0..500 {
        world.step(20, OrderFate::Answered);
    }
    let after: u64 = world.engines.iter().map(|engine| engine.sequence).sum();
    assert!((1..=12).contains(&(after - before)), "{} orders in ten seconds", after - before);
    assert!((0..12).any(|number| world.holds(&key(number))));
}
