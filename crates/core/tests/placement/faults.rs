//! Whatever becomes of orders and engines: no engine falls, and what waits comes.

use proptest::{prelude::*, test_runner::RngSeed};

use crate::world::*;

fn fates() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        5 => Just(OrderFate::Answered),
        2 => Just(OrderFate::AnswerLost),
        2 => Just(OrderFate::CarriedOutLate),
        1 => Just(OrderFate::NotSent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(0x00f4_17e5), ..ProptestConfig::default() })]

    /// Whatever becomes of orders and engines, no engine is ordered beyond its places, and once
    /// all is calm what is waited for is there.
    #[test]
    fn no_engine_falls_and_all_that_waits_comes(
        steps in proptest::collection::vec(
            (0usize..14, 1u64..120, fates(), 0u8..40),
            1..150,
        ),
    ) {
        let mut world = World::new(3);
        for (number, millis, fate, event) in steps {
            match event {
                0 => world.restart(number),
                1 => world.planner.begin_tenure(world.at()),
                2 => world.restart_as_itself(number),
                3..=20 => world.ask(number, 1),
                21..=30 => world.ask(number, 0),
                _ => {}
            }
            world.step(millis, fate);
            prop_assert!(world.fell().is_none(), "{:?}", world.fell());
        }
        for round in 0..400 {
            // A host renews its word about what waits there.
            if round % 40 == 0 {
                world.ask(99, 1);
            }
            world.step(25, OrderFate::Answered);
            prop_assert!(world.fell().is_none(), "{:?}", world.fell());
        }
        prop_assert!(world.holds(&key(99)), "{:?}", world.planner.inventories().collect::<Vec<_>>());
    }
}
