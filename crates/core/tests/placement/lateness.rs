//! Loads that are not there when they are due, and copies that an engine denies or that can not be reached.

use crate::world::*;

/// Steps until an adapter is published; returns whether that was so within two seconds.
fn is_published_soon(world: &mut World, number: usize) -> bool {
    (0..200).any(|_| {
        world.step(10, OrderFate::Answered);
        world.published(&key(number))
    })
}

/// Hosts sent requests to an engine again and again until the load had ended, each of them in vain.
#[test]
fn a_load_that_its_engine_still_lacks_is_not_published() {
    let mut world = World::new(1);
    world.engines[0].load_millis = 600;
    settle(&mut world);
    world.ask(1, 1);
    assert!(is_published_soon(&mut world, 1));
    assert!(!world.holds(&key(1)), "it was expected sooner");
    let mut refused = 0;
    while !world.holds(&key(1)) {
        if world.published(&key(1)) {
            world.tell_absent(0, 1);
            refused += 1;
            assert!(!world.published(&key(1)), "the engine has said that it lacks it");
        }
        world.step(5, OrderFate::Answered);
    }
    assert!(refused <= 9, "{refused} requests were sent in vain within 350 ms");
    assert!(is_published_soon(&mut world, 1));
}

/// After some loads that took longer, the next one is published only when it is there.
#[test]
fn loads_are_expected_as_late_as_they_come() {
    let mut world = World::new(2);
    for engine in &mut world.engines {
        engine.load_millis = 400;
    }
    settle(&mut world);
    for number in 0..6 {
        world.ask(number, 1);
        assert!(is_published_soon(&mut world, number));
        for engine in 0..2 {
            world.tell_absent(engine, number);
        }
        settle(&mut world);
        world.ask(number, 0);
    }
    world.ask(7, 1);
    assert!(is_published_soon(&mut world, 7));
    assert!(world.holds(&key(7)), "requests would be sent in vain");
}

/// An engine had restarted, or dropped what it held, and its hosts went on believing in the copy.
#[test]
fn a_copy_that_its_engine_denies_is_looked_at_again() {
    let mut world = World::new(1);
    settle(&mut world);
    world.ask(1, 1);
    settle(&mut world);
    world.ask(1, 0);
    assert!(world.published(&key(1)));
    world.engines[0].held.remove(&key(1));
    world.tell_absent(0, 1);
    settle(&mut world);
    assert!(!world.published(&key(1)));
}

/// A hall was cut off with its copies, and requests waited for 700 ms before another copy was ordered.
#[test]
fn what_two_hosts_can_not_reach_is_loaded_elsewhere_at_once() {
    for hosts in [&["north"][..], &["north", "south"]] {
        let mut world = World::new(2);
        settle(&mut world);
        world.ask(1, 1);
        assert!(is_published_soon(&mut world, 1));
        world.ask(1, 0);
        settle(&mut world);
        let holder = (0..2).find(|place| world.engines[*place].held.contains_key(&key(1)));
        let holder = holder.expect("one engine holds it");
        for host in hosts {
            world.tell_unreached(host, holder);
        }
        world.ask(1, 1);
        for _ in 0..30 {
            world.step(10, OrderFate::Answered);
        }
        let copied = world.engines[1 - holder].held.contains_key(&key(1));
        assert_eq!(copied, hosts.len() > 1, "{hosts:?}");
    }
}
