//! Poison requests, which crash the engines that run them: how many engines crash, how many other requests fail,
//! and a comparison of strategies.

mod part_simulation;
mod part_tracker;
mod parts;
#[path = "../random/mod.rs"]
mod random;
mod simulation;
mod tracker;

use reelreel_core::fleet::quarantine::CRASHES_UNTIL_QUARANTINED;

use simulation::{Outcome, QuarantineStrategy, Sharing, Workload, simulate};

const SEEDS: [u64; 9] = [0x51, 0x52, 0x53, 0x54, 0x55, 0x56, 0x57, 0x58, 0x59];

const PRODUCTION: QuarantineStrategy = QuarantineStrategy {
    name: "shared, two crashes",
    sharing: Sharing::Fleet,
    crashes_until_quarantined: CRASHES_UNTIL_QUARANTINED,
};

const STRATEGIES: &[QuarantineStrategy] = &[
    QuarantineStrategy { name: "disabled", sharing: Sharing::Disabled, ..PRODUCTION },
    QuarantineStrategy { name: "per host", sharing: Sharing::PerHost, ..PRODUCTION },
    QuarantineStrategy {
        name: "shared, three crashes",
        crashes_until_quarantined: 3,
        ..PRODUCTION
    },
    PRODUCTION,
];

const BASELINE: Workload = Workload {
    name: "twelve engines, seven hosts",
    hosts: 7,
    engines: 12,
    rate: 80.0,
    poison_requests: 1,
    poison_rate: 3.0,
    single_resident: true,
    max_crashes: 5,
    independent_crashes: None,
    distinct_bodies: 0,
};

const POISON_WORKLOADS: &[Workload] = &[
    BASELINE,
    Workload { name: "ten times a second", poison_rate: 10.0, ..BASELINE },
    Workload {
        name: "any engine",
        poison_rate: 10.0,
        single_resident: false,
        max_crashes: 10,
        ..BASELINE
    },
    Workload { name: "three poison requests", poison_requests: 3, max_crashes: 14, ..BASELINE },
    Workload {
        name: "twenty poison requests",
        poison_requests: 20,
        poison_rate: 1.0,
        max_crashes: 60,
        ..BASELINE
    },
    Workload {
        name: "300 hosts, 300 engines",
        hosts: 300,
        engines: 300,
        rate: 1500.0,
        poison_rate: 20.0,
        ..BASELINE
    },
];

/// Workloads without a poison request: engines crash for other reasons, several at once every four seconds.
const CRASH_ONLY_WORKLOADS: &[Workload] = &[
    Workload {
        name: "engines crash, distinct bodies",
        poison_requests: 0,
        independent_crashes: Some((4000, 3)),
        ..BASELINE
    },
    Workload {
        name: "engines crash, ten bodies",
        poison_requests: 0,
        independent_crashes: Some((4000, 3)),
        distinct_bodies: 10,
        ..BASELINE
    },
    Workload {
        name: "two of three crash, one body",
        engines: 3,
        poison_requests: 0,
        independent_crashes: Some((4000, 2)),
        distinct_bodies: 1,
        ..BASELINE
    },
    Workload {
        name: "all crash, one body",
        engines: 3,
        poison_requests: 0,
        independent_crashes: Some((4000, 3)),
        distinct_bodies: 1,
        ..BASELINE
    },
];

fn all(workload: &Workload, strategy: &QuarantineStrategy) -> Vec<Outcome> {
    SEEDS.iter().map(|seed| simulate(workload, strategy, *seed)).collect()
}

fn sum(outcomes: &[Outcome], of: fn(&Outcome) -> u32) -> u32 {
    outcomes.iter().map(of).sum()
}

fn median_crashes(outcomes: &[Outcome]) -> u32 {
    let mut values: Vec<u32> = outcomes.iter().map(|outcome| outcome.crashed_engines).collect();
    values.sort_unstable();
    values[values.len() / 2]
}

/// Guards against poison requests that crash engine after engine, and against quarantining requests that ran beside
/// them.
#[test]
fn poison_requests_crash_few_engines_and_no_healthy_request_is_quarantined() {
    for workload in POISON_WORKLOADS {
        for seed in SEEDS {
            let outcome = simulate(workload, &PRODUCTION, seed);
            let name = workload.name;
            assert!(
                outcome.crashed_engines <= workload.max_crashes,
                "{name}, seed {seed:x}: {outcome:?}"
            );
            assert!(outcome.late_runs <= 3, "{name}, seed {seed:x}: {outcome:?}");
            assert_eq!(outcome.quarantined, 0, "{name}, seed {seed:x}: {outcome:?}");
            let detected_in_time = outcome.detected_after.is_some_and(|millis| millis <= 3000);
            assert!(
                detected_in_time || !outcome.reached_third_crash,
                "{name}, seed {seed:x}: {outcome:?}"
            );
        }
    }
}

/// Requests with distinct bodies are never quarantined for independent crashes, and few are that share bodies.
#[test]
fn independent_crashes_fail_few_requests() {
    for workload in CRASH_ONLY_WORKLOADS {
        let (production, disabled) = (all(workload, &PRODUCTION), all(workload, &STRATEGIES[0]));
        let healthy_requests = f64::from(sum(&production, |outcome| outcome.healthy_requests));
        let failed = |outcomes: &[Outcome]| f64::from(sum(outcomes, |outcome| outcome.failed));
        let extra_failures = (failed(&production) - failed(&disabled)) / healthy_requests;
        assert!(
            extra_failures <= 0.015,
            "{}: {extra_failures} more of the healthy requests fail",
            workload.name
        );
        if workload.distinct_bodies == 0 {
            assert_eq!(sum(&production, |outcome| outcome.quarantined), 0, "{}", workload.name);
        }
    }
}

/// Without sharing, a host sees each request too seldom; with a threshold of three, more engines crash.
/// `--nocapture` prints all figures.
#[test]
fn other_strategies_crash_more_engines() {
    println!(
        "| workload | strategy | crashed engines, median | healthy requests | failed | quarantined | reports |"
    );
    for workload in POISON_WORKLOADS.iter().chain(CRASH_ONLY_WORKLOADS) {
        let results: Vec<Vec<Outcome>> =
            STRATEGIES.iter().map(|strategy| all(workload, strategy)).collect();
        for (strategy, outcomes) in STRATEGIES.iter().zip(&results) {
            println!(
                "| {} | {} | {} | {} | {} | {} | {} |",
                workload.name,
                strategy.name,
                median_crashes(outcomes),
                sum(outcomes, |outcome| outcome.healthy_requests),
                sum(outcomes, |outcome| outcome.failed),
                sum(outcomes, |outcome| outcome.quarantined),
                outcomes.iter().map(|outcome| outcome.reports).sum::<usize>(),
            );
        }
        let [disabled, per_host, three_crashes, production] = &results[..] else {
            panic!("four strategies")
        };
        if workload.poison_requests > 0 {
            assert!(median_crashes(disabled) > 2 * median_crashes(production), "{}", workload.name);
            assert!(median_crashes(per_host) > 2 * median_crashes(production), "{}", workload.name);
            assert!(
                median_crashes(three_crashes) > median_crashes(production),
                "{}",
                workload.name
            );
        }
    }
}
