//! Quotas that hosts grant together: never beyond the operator's bound, and hardly any rejections below it,
//! compared with two other strategies on the same requests.

#[path = "../random/mod.rs"]
mod random;
mod herds;
mod scenario;
mod simulation;
mod strategies;

use proptest::{prelude::*, test_runner::RngSeed};

use scenario::{BASELINE, RESTART_SCENARIOS, SCENARIOS, SILENT_SCENARIOS, Scenario, Spread};
use simulation::{Outcome, simulate};
use strategies::{EqualShares, GrantStrategy, LeasedBudgets, LedgerQuotas};

const SEEDS: [u64; 3] = [0x5eed_0001, 0x5eed_0002, 0x5eed_0003];

#[test]
fn no_workload_exceeds_the_bound_or_gets_much_less_than_the_quota() {
    for scenario in SCENARIOS {
        for seed in SEEDS {
            let outcome = simulate(scenario, &mut LedgerQuotas::new(scenario.hosts), seed);
            let name = scenario.name;
            assert!(outcome.worst_window <= 1.0, "{name}, seed {seed:x}: {outcome:?}");
            assert!(outcome.refused <= scenario.max_refused, "{name}, seed {seed:x}: {outcome:?}");
        }
    }
}

/// Guards against full accounts after restarts, and against partitions that are detected late: both let all hosts
/// together exceed the bound.
#[test]
fn hosts_that_restart_or_fall_silent_keep_the_quotas() {
    for scenario in RESTART_SCENARIOS.iter().chain(SILENT_SCENARIOS) {
        for seed in SEEDS {
            let outcome = simulate(scenario, &mut LedgerQuotas::new(scenario.hosts), seed);
            let name = scenario.name;
            println!("{name}, seed {seed:x}: {outcome:?}");
            assert!(outcome.worst_window <= 1.0, "{name}, seed {seed:x}: {outcome:?}");
            assert!(outcome.refused <= scenario.max_refused, "{name}, seed {seed:x}: {outcome:?}");
        }
    }
}

/// Simulates a scenario with each seed; returns the mean of the rejected fractions and the worst window.
fn simulate_all(scenario: &Scenario, strategy: fn(usize) -> Box<dyn GrantStrategy>) -> Outcome {
    let outcomes = SEEDS.map(|seed| simulate(scenario, &mut *strategy(scenario.hosts), seed));
    Outcome {
        refused: outcomes.iter().map(|outcome| outcome.refused).sum::<f64>() / SEEDS.len() as f64,
        worst_window: outcomes.iter().map(|outcome| outcome.worst_window).fold(0.0, f64::max),
    }
}

/// Equal shares are mostly idle, and leased budgets arrive too late. `--nocapture` prints all figures.
#[test]
fn equal_shares_and_leased_budgets_refuse_more_of_the_quota() {
    println!("| workload | equal shares | leased budgets | ledger |");
    for scenario in SCENARIOS {
        let equal =
            simulate_all(scenario, |hosts| Box::new(EqualShares { levels: vec![0.0; hosts] }));
        let leased = simulate_all(scenario, |hosts| Box::new(LeasedBudgets::new(hosts)));
        let ledger = simulate_all(scenario, |hosts| Box::new(LedgerQuotas::new(hosts)));
        let cell =
            |outcome: &Outcome| format!("{:.3}, {:.2}", outcome.refused, outcome.worst_window);
        println!(
            "| {} | {} | {} | {} |",
            scenario.name,
            cell(&equal),
            cell(&leased),
            cell(&ledger)
        );
        if matches!(scenario.name, "uneven" | "moving" | "small and uneven" | "370 hosts") {
            let threshold = ledger.refused + 0.1;
            assert!(equal.refused > threshold, "{}: equal shares, {equal:?}", scenario.name);
            assert!(leased.refused > threshold, "{}: leased budgets, {leased:?}", scenario.name);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(0x0009_007a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_mix_of_partitions_and_lost_ledgers_exceeds_the_bound(
        seed in 1..u64::MAX,
        hosts in 6..80_usize,
        rate in 2000.0..400_000.0_f64,
        peak in 0.5..4.2_f64,
        partition in (2000..9000_u64, 500..9000_u64),
        ledger_loss in (2000..9000_u64, 100..3000_u64),
        kind in 0..3_u8,
    ) {
        let spread = [Spread::Even, Spread::Uneven, Spread::Moving][usize::from(kind)];
        let demand: &'static [(u64, f64)] = match peak {
            peak if peak < 1.5 => &[(0, 0.55), (4000, 1.2)],
            peak if peak < 2.5 => &[(0, 0.55), (4000, 2.2)],
            _ => &[(0, 0.55), (4000, 3.3)],
        };
        let scenario = Scenario {
            hosts,
            rate,
            demand,
            spread,
            partition: kind.is_multiple_of(2).then_some((partition.0, partition.0 + partition.1)),
            ledger_lost: (kind == 1).then_some((ledger_loss.0, ledger_loss.0 + ledger_loss.1)),
            ..BASELINE
        };
        let outcome = simulate(&scenario, &mut LedgerQuotas::new(hosts), seed);
        prop_assert!(outcome.worst_window <= 1.0, "{:?}", outcome);
    }
}
