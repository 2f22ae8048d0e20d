//! What is loaded where, and what makes room.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::{
    ClockMillis,
    fleet::{EngineEntry, LoadedModel, work::EngineWork},
    placement::{EngineMemory, HostWork, OrderKind, PlacementAction},
};

use crate::world::*;

#[test]
fn what_is_waited_for_is_loaded_in_one_load_time() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(7, 1);
    world.step(1, OrderFate::Answered);
    for _ in 0..30 {
        world.step(10, OrderFate::Answered);
    }
    assert!(world.holds(&key(7)));
    assert!(world.published(&key(7)));
}

#[test]
fn before_its_first_report_a_placer_publishes_what_engines_list() {
    let mut planner = planner();
    let mut engine = TestEngine::new(0, 0);
    let held = vec![LoadedModel { key: key(5), version: 1 }];
    engine.entry = Arc::new(EngineEntry { loaded_models: held.clone(), ..(*engine.entry).clone() });
    planner.engines_listed(&[Arc::clone(&engine.entry)]);
    planner.begin_tenure(ClockMillis::from_millis(10));
    planner.plan(true, ClockMillis::from_millis(10));
    assert_eq!(planner.residency(), [(Arc::clone(&engine.entry.name), held)]);
}

/// An engine that starts again under its name was taken to hold what it had held, and to have taken as many orders.
#[test]
fn the_next_life_of_an_engine_holds_nothing_of_the_one_before() {
    let mut world = World::new(1);
    settle(&mut world);
    world.ask(4, 1);
    settle(&mut world);
    assert!(world.published(&key(4)));
    world.restart_as_itself(0);
    assert!(!world.published(&key(4)), "{:?}", world.planner.residency());
    // What waits comes again, and what never came before.
    world.ask(5, 1);
    settle(&mut world);
    for number in [4, 5] {
        assert!(world.holds(&key(number)) && world.published(&key(number)), "{number}");
    }
}

#[test]
fn several_adapters_come_at_a_time() {
    let mut world = World::new(3);
    settle(&mut world);
    for number in 0..6 {
        world.ask(number, 1);
    }
    for _ in 0..40 {
        world.step(10, OrderFate::Answered);
    }
    let held = (0..6).filter(|number| world.holds(&key(*number))).count();
    assert_eq!(held, 6, "one after the other would take 1.5 s");
}

#[test]
fn what_nobody_waits_for_is_not_loaded() {
    let mut world = World::new(2);
    settle(&mut world);
    world.ask(3, 0);
    settle(&mut world);
    assert_eq!(world.loads, 0);
}

#[test]
fn a_full_engine_drops_what_was_asked_for_longest_ago() {
    let mut world = World::new(1);
    settle(&mut world);
    for number in 0..4 {
        world.ask(number, 1);
        settle(&mut world);
        world.ask(number, 0);
    }
    for _ in 0..100 {
        world.step(20, OrderFate::Answered);
    }
    world.ask(9, 1);
    settle(&mut world);
    assert!(world.holds(&key(9)));
    assert!(!world.holds(&key(0)), "the oldest makes room");
    assert!(world.holds(&key(3)));
}

#[test]
fn a_named_version_replaces_the_one_held() {
    let mut world = World::new(1);
    settle(&mut world);
    world.ask(1, 1);
    settle(&mut world);
    world.planner.versions_named(&HashMap::from([(key(1), 2)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let replaces = actions.iter().any(|action| {
        matches!(action, PlacementAction::Order(order) if order.version == Some(2) && order.key == key(1))
    });
    assert!(replaces, "{actions:?}");
}

#[test]
fn a_named_version_goes_to_an_engine_without_the_older_one() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    settle(&mut world);
    let holds = |engine: &&TestEngine| engine.held.contains_key(&key(1));
    let holder = world.engines.iter().find(holds).map(|engine| Arc::clone(&engine.entry.name));
    world.planner.versions_named(&HashMap::from([(key(1), 2)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let loads = actions.iter().filter_map(|action| match action {
        PlacementAction::Order(order) if order.key == key(1) => Some(&order.engine.name),
        _ => None,
    });
    let loads: Vec<_> = loads.collect();
    assert_eq!(loads.len(), 1, "{actions:?}");
    assert_ne!(Some(loads[0]), holder.as_ref(), "it would wait for the runs there");
}

#[test]
fn a_new_placer_brings_back_what_an_engine_held_under_the_one_before() {
    let mut world = World::new(3);
    settle(&mut world);
    let engine = Arc::clone(&world.engines[2].entry.name);
    let mut memory = EngineMemory::default();
    memory.note(&key(1));
    world.planner.recall(&HashMap::from([(Arc::clone(&engine), memory)]));
    world.ask(1, 1);
    let actions = world.planner.plan(true, world.at());
    let orders = actions.iter().filter_map(|action| match action {
        PlacementAction::Order(order) => Some((Arc::clone(&order.engine.name), order.kind)),
        PlacementAction::Report(_) => None,
    });
    let orders: Vec<_> = orders.collect();
    assert_eq!(orders, [(engine, OrderKind::Load { from_store: false })]);
}

#[test]
fn adapters_beyond_full_speed_put_each_other_off() {
    // Full speed is 2.7 adapters for each load a second: 8.9 here.
    let mut world = World::new(6);
    settle(&mut world);
    let began = world.at();
    for number in 0..12 {
        world.ask(number, 1);
    }
    for _ in 0..4 {
        world.step(4, OrderFate::Answered);
    }
    let dues = |world: &World| -> Vec<u128> {
        let loads = world.planner.inventories().flat_map(|inventory| &inventory.pending);
        loads.map(|load| load.due.since(began).as_millis()).collect()
    };
    let together = dues(&world);
    assert_eq!(together.len(), 12, "{together:?}");
    assert!(together.iter().all(|due| (320..420).contains(due)), "{together:?}");
}

#[test]
fn who_waits_beside_a_copy_gets_another_one() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    for _ in 0..14 {
        world.step(20, OrderFate::Answered);
    }
    world.ask(1, 0);
    settle(&mut world);
    let holders = |world: &World| {
        world.engines.iter().filter(|engine| engine.held.contains_key(&key(1))).count()
    };
    assert_eq!(holders(&world), 1);
    // A host that can not reach the holder goes on waiting.
    world.ask(1, 1);
    for _ in 0..52 {
        world.step(20, OrderFate::Answered);
    }
    assert_eq!(holders(&world), 2);
}

struct RoomCase {
    name: &'static str,
    /// Which of four adapters have a run; the first one is worth least.
    runs: &'static [usize],
    /// Which of them makes room, if any does.
    dropped: Option<usize>,
}

/// An unload waits for the runs on its adapter and keeps its engine from other orders meanwhile.
#[test]
fn only_an_adapter_without_a_run_makes_room() {
    let cases = [
        RoomCase { name: "no runs: what is worth least", runs: &[], dropped: Some(0) },
        RoomCase { name: "a run on what is worth least", runs: &[0], dropped: Some(1) },
        RoomCase { name: "one without a run", runs: &[0, 1, 3], dropped: Some(2) },
        RoomCase { name: "runs on all", runs: &[0, 1, 2, 3], dropped: None },
    ];
    for case in cases {
        let mut world = World::new(1);
        settle(&mut world);
        for number in 0..4 {
            world.ask(number, 1);
            for _ in 0..14 {
                world.step(20, OrderFate::Answered);
            }
            world.ask(number, 0);
        }
        for (number, more) in [(1, 1), (2, 2), (3, 3)] {
            for _ in 0..more {
                world.ask(number, 0);
            }
        }
        settle(&mut world);
        world.tell_runs(0, case.runs);
        world.ask(9, 9);
        settle(&mut world);
        for number in 0..4 {
            let kept = case.dropped != Some(number);
            assert_eq!(world.holds(&key(number)), kept, "{}: adapter {number}", case.name);
        }
        assert_eq!(world.holds(&key(9)), case.dropped.is_some(), "{}", case.name);
        // Once its last run has ended it makes room.
        world.end_runs(0, case.runs);
        world.ask(9, 9);
        settle(&mut world);
        assert!(world.holds(&key(9)), "{}: after the runs", case.name);
    }
}

fn holders(world: &World, number: usize) -> usize {
    world.engines.iter().filter(|engine| engine.held.contains_key(&key(number))).count()
}

/// The slow rate would show such a burst only after seconds, in which one engine's queue fills.
#[test]
fn a_burst_gets_copies_within_two_load_times() {
    let mut world = World::new(6);
    settle(&mut world);
    for _ in 0..30 {
        world.ask(1, 3);
        world.step(20, OrderFate::Answered);
    }
    assert!(holders(&world, 1) >= 3, "{} copies for fifty requests a second", holders(&world, 1));
}

/// What drops a copy must be worth more than adding that copy again, or two adapters drop each other's
/// copies for ever.
#[test]
fn copies_of_adapters_in_steady_demand_do_not_drop_one_another() {
    let mut world = World::new(3);
    settle(&mut world);
    world.read_slowly();
    for number in 0..10 {
        world.ask(number, 1);
    }
    settle(&mut world);
    let mut before = 0;
    for round in 0..25 {
        for number in 0..10 {
            // A request waits for an adapter that is not there.
            world.ask(number, u32::from(!world.holds(&key(number))));
        }
        for _ in 0..20 {
            world.step(20, OrderFate::Answered);
        }
        if round == 14 {
            before = world.loads;
        }
    }
    let loads = world.loads - before;
    assert!(loads <= 4, "{loads} loads within four seconds in which nothing changed");
}

#[test]
fn an_adapter_whose_engines_are_busy_gets_another_copy() {
    let mut world = World::new(3);
    settle(&mut world);
    world.ask(1, 1);
    for _ in 0..14 {
        world.step(20, OrderFate::Answered);
    }
    for _ in 0..5 {
        world.ask(1, 0);
        settle(&mut world);
    }
    assert_eq!(holders(&world, 1), 1);
    let holder = world.engines.iter().find(|engine| engine.held.contains_key(&key(1)));
    let name = Arc::clone(&holder.expect("a holder").entry.name);
    let host = Arc::from("host");
    let work = EngineWork { open: 13, pending_prefill_tokens: 0 };
    let told = HostWork { engines: vec![(name, work)], ..HostWork::default() };
    world.planner.work_noted(&host, &told, world.at());
    settle(&mut world);
    assert_eq!(holders(&world, 1), 2, "13 of 16 slots are taken");
}

#[test]
fn a_planner_that_does_not_act_only_asks_for_reports() {
    let mut world = World::new(2);
    world.ask(1, 1);
    for _ in 0..20 {
        world.now += 50;
        let actions = world.planner.plan(false, world.at());
        let orders = actions.iter().any(|action| matches!(action, PlacementAction::Order(_)));
        assert!(!orders);
    }
}

#[test]
fn an_engine_without_base_model_gets_it_within_the_ceiling() {
    let mut world = World::new(12);
    for engine in &mut world.engines {
        engine.held.clear();
    }
    for _ in 0..10 {
        world.step(20, OrderFate::Answered);
    }
    // Within one window of five seconds: 3.3 a second, a tenth more, and three.
    let ordered = world.loads;
    assert!(ordered > 0);
    assert!(ordered <= 21, "{ordered} loads of base models at once");
}
