//! Randomized order and engine faults.

use proptest::{prelude::*, test_runner::RngSeed};

use reelreel_core::placement::residency::{AffinityResidency, ResidencyPolicy, StandingResidency};

use crate::simulation::*;

const POLICIES: [&dyn ResidencyPolicy; 2] = [&StandingResidency, &AffinityResidency];

fn outcomes() -> impl Strategy<Value = OrderOutcome> {
    prop_oneof![
        5 => Just(OrderOutcome::Answered),
        2 => Just(OrderOutcome::AnswerLost),
        2 => Just(OrderOutcome::ExecutedLate),
        1 => Just(OrderOutcome::NotSent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(0x00f4_17e5), ..ProptestConfig::default() })]

    /// Under any combination of faults and either residency policy, engines stay within their
    /// capacity, and waiting adapters load once the faults end.
    #[test]
    fn engines_stay_within_limits_and_waiting_adapters_load(
        steps in proptest::collection::vec(
            (0usize..14, 1u64..120, outcomes(), 0u8..40),
            1..150,
        ),
    ) {
        for policy in POLICIES {
            let mut simulation = Simulation::new(3);
            simulation.planner.set_residency_policy(policy);
            for (number, millis, outcome, event) in steps.iter().copied() {
                match event {
                    0 => simulation.replace_engine(number),
                    1 => simulation.planner.begin_tenure(simulation.time()),
                    2 => simulation.restart_engine(number),
                    3..=20 => simulation.request(number, 1),
                    21..=30 => simulation.request(number, 0),
                    _ => {}
                }
                simulation.step(millis, outcome);
                prop_assert!(simulation.limit_violation().is_none(), "{:?}", simulation.limit_violation());
            }
            for round in 0..400 {
                // Hosts renew their demand.
                if round % 40 == 0 {
                    simulation.request(99, 1);
                }
                simulation.step(25, OrderOutcome::Answered);
                prop_assert!(simulation.limit_violation().is_none(), "{:?}", simulation.limit_violation());
            }
            prop_assert!(simulation.any_engine_holds(&key(99)), "{:?}", simulation.planner.inventories().collect::<Vec<_>>());
        }
    }
}
