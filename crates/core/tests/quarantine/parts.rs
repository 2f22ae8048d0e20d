//! Parts of prompts that crash the engines that begin to answer them.

use reelreel_core::fleet::quarantine::QuarantineThresholds;

use crate::part_simulation::{Coordination, EngineFaults, PartLoad, PartOutcome, simulate_parts};

const SEEDS: [u64; 5] = [0x61, 0x62, 0x63, 0x64, 0x65];

/// The most poison requests that engines may get after the detection limit.
const MAX_LATE_RUNS: usize = 3;

/// The least fraction of healthy requests that begin after the recovery limit, of those before the crashes.
const MIN_BEGUN_AFTER: f64 = 0.95;

/// The least fraction of healthy requests that begin from the first crash to the recovery limit, of those before.
const MIN_BEGUN_DURING: f64 = 0.8;

const BASELINE: PartLoad = PartLoad {
    name: "six hosts, four a second",
    hosts: 6,
    engines: 12,
    rate: 60.0,
    max_prefill_ms: 200,
    poison_parts: 1,
    poison_rate: 4.0,
    is_first_part_new: false,
    coordination: Coordination::Stable,
    faults: EngineFaults::None,
    max_crashes: None,
};

const POISON_LOADS: &[PartLoad] = &[
    BASELINE,
    PartLoad {
        name: "six hosts, 0.7 a second",
        poison_rate: 0.7,
        max_crashes: Some(5),
        ..BASELINE
    },
    PartLoad { name: "six hosts, ten a second", poison_rate: 10.0, ..BASELINE },
    PartLoad {
        name: "30 hosts, 0.7 a second",
        hosts: 30,
        engines: 24,
        poison_rate: 0.7,
        max_crashes: Some(5),
        ..BASELINE
    },
    PartLoad {
        name: "30 hosts, three a second",
        hosts: 30,
        engines: 24,
        poison_rate: 3.0,
        max_crashes: Some(5),
        ..BASELINE
    },
    PartLoad {
        name: "30 hosts, ten a second",
        hosts: 30,
        engines: 24,
        poison_rate: 10.0,
        ..BASELINE
    },
    PartLoad {
        name: "60 hosts, 0.7 a second",
        hosts: 60,
        engines: 24,
        poison_rate: 0.7,
        max_crashes: Some(5),
        ..BASELINE
    },
    PartLoad {
        name: "60 hosts, three a second",
        hosts: 60,
        engines: 24,
        poison_rate: 3.0,
        max_crashes: Some(5),
        ..BASELINE
    },
    PartLoad {
        name: "60 hosts, ten a second",
        hosts: 60,
        engines: 24,
        poison_rate: 10.0,
        ..BASELINE
    },
    PartLoad { name: "long prompts", max_prefill_ms: 800, ..BASELINE },
    PartLoad {
        name: "long prompts, ten a second",
        max_prefill_ms: 800,
        poison_rate: 10.0,
        ..BASELINE
    },
    PartLoad { name: "a new first part", is_first_part_new: true, ..BASELINE },
    PartLoad { name: "two poison parts", poison_parts: 2, max_crashes: Some(10), ..BASELINE },
    PartLoad { name: "coordinator killed", coordination: Coordination::Killed, ..BASELINE },
    PartLoad {
        name: "60 hosts, coordinator killed",
        hosts: 60,
        engines: 24,
        coordination: Coordination::Killed,
        ..BASELINE
    },
];

/// Loads without a poison part: engines crash for other reasons.
const CRASH_ONLY_LOADS: &[PartLoad] = &[
    PartLoad {
        name: "single engines crash",
        poison_parts: 0,
        faults: EngineFaults::Single { interval: 700 },
        ..BASELINE
    },
    PartLoad {
        name: "racks lose power",
        poison_parts: 0,
        faults: EngineFaults::Rack { interval: 4000, engines: 4 },
        ..BASELINE
    },
    PartLoad {
        name: "brittle engines crash one after the other",
        poison_parts: 0,
        faults: EngineFaults::Cascade { interval: 8000, engines: 4, spacing: 400 },
        ..BASELINE
    },
    PartLoad {
        name: "60 hosts, brittle engines crash one after the other",
        hosts: 60,
        poison_parts: 0,
        faults: EngineFaults::Cascade { interval: 8000, engines: 4, spacing: 400 },
        ..BASELINE
    },
    PartLoad {
        name: "60 hosts, long prompts, brittle engines",
        hosts: 60,
        engines: 24,
        poison_parts: 0,
        max_prefill_ms: 800,
        faults: EngineFaults::Cascade { interval: 4000, engines: 6, spacing: 250 },
        ..BASELINE
    },
    PartLoad {
        name: "single engines crash, a new first part",
        poison_parts: 0,
        is_first_part_new: true,
        faults: EngineFaults::Single { interval: 700 },
        ..BASELINE
    },
];

/// Crashes without a poison part that are so frequent that rare parts are interrupted again and again.
const FREQUENT_CRASH_LOADS: &[PartLoad] = &[
    PartLoad {
        name: "six engines, crashes every 300 ms",
        engines: 6,
        poison_parts: 0,
        faults: EngineFaults::Single { interval: 300 },
        ..BASELINE
    },
    PartLoad {
        name: "long prompts, crashes every 300 ms",
        poison_parts: 0,
        max_prefill_ms: 800,
        faults: EngineFaults::Single { interval: 300 },
        ..BASELINE
    },
    PartLoad {
        name: "long prompts, brittle engines",
        poison_parts: 0,
        max_prefill_ms: 800,
        faults: EngineFaults::Cascade { interval: 4000, engines: 6, spacing: 250 },
        ..BASELINE
    },
];

fn mean(outcomes: &[PartOutcome], of: impl Fn(&PartOutcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64
}

fn print_figures(load: &PartLoad, outcomes: &[PartOutcome]) {
    let most = |of: fn(&PartOutcome) -> usize| outcomes.iter().map(of).max().unwrap_or_default();
    println!(
        "| {} | {:.1}, {} | {:.1}, {} | {:.3} | {:.3} | {:.3} | {} | {} | {} |",
        load.name,
        mean(outcomes, |outcome| outcome.crashes as f64),
        most(|outcome| outcome.crashes),
        mean(outcomes, |outcome| outcome.late_runs as f64),
        most(|outcome| outcome.late_runs),
        mean(outcomes, |outcome| outcome.begun_before),
        mean(outcomes, |outcome| outcome.begun_during),
        mean(outcomes, |outcome| outcome.begun_after),
        outcomes.iter().map(|outcome| outcome.rejected).sum::<usize>(),
        outcomes.iter().map(|outcome| outcome.rejected_for_parts).sum::<usize>(),
        outcomes.iter().map(|outcome| outcome.reports).sum::<usize>(),
    );
}

fn all(load: &PartLoad, thresholds: QuarantineThresholds) -> [PartOutcome; SEEDS.len()] {
    SEEDS.map(|seed| simulate_parts(load, thresholds, seed))
}

/// Guards against requests that have only a part of their prompt in common and crash engine after engine.
#[test]
fn a_prompt_part_that_crashes_engines_is_not_sent_on() {
    for load in POISON_LOADS {
        for (seed, outcome) in SEEDS.iter().zip(all(load, QuarantineThresholds::default())) {
            let name = load.name;
            assert!(outcome.late_runs <= MAX_LATE_RUNS, "{name}, seed {seed:x}: {outcome:?}");
            let is_few = load.max_crashes.is_none_or(|max_crashes| outcome.crashes <= max_crashes);
            assert!(is_few, "{name}, seed {seed:x}: {outcome:?}");
            let (during, after) = (outcome.begun_during, outcome.begun_after);
            let before = outcome.begun_before;
            assert!(during >= MIN_BEGUN_DURING * before, "{name}, seed {seed:x}: {outcome:?}");
            assert!(after >= MIN_BEGUN_AFTER * before, "{name}, seed {seed:x}: {outcome:?}");
        }
    }
}

/// Guards against blaming parts for crashes that they did not cause, such as parts that are rare or new.
#[test]
fn parts_are_not_blamed_for_other_crashes() {
    for load in CRASH_ONLY_LOADS {
        for (seed, outcome) in SEEDS.iter().zip(all(load, QuarantineThresholds::default())) {
            assert_eq!(outcome.rejected_for_parts, 0, "{}, seed {seed:x}: {outcome:?}", load.name);
        }
    }
}

/// A lower threshold for known parts rejects healthy requests; a higher one for new parts crashes more engines.
/// `--nocapture` prints all figures.
#[test]
fn other_part_thresholds_reject_more_or_crash_more_engines() {
    const THRESHOLDS: [(usize, usize); 3] = [(2, 2), (2, 4), (3, 4)];
    println!(
        "| thresholds | load | crashes: mean, most | late runs: mean, most | begun before | during | after | rejected | for parts | reports |"
    );
    let totals = THRESHOLDS.map(|(new_part, known_part)| {
        let thresholds =
            QuarantineThresholds { new_part, known_part, ..QuarantineThresholds::default() };
        let (mut crashes, mut rejected) = (0, 0);
        for load in POISON_LOADS.iter().chain(CRASH_ONLY_LOADS).chain(FREQUENT_CRASH_LOADS) {
            let outcomes = all(load, thresholds);
            print!("| {new_part}, {known_part} ");
            print_figures(load, &outcomes);
            crashes += outcomes.iter().map(|outcome| outcome.crashes).sum::<usize>();
            rejected += outcomes.iter().map(|outcome| outcome.rejected_for_parts).sum::<usize>();
        }
        (crashes, rejected)
    });
    let [low, production, high] = totals;
    assert!(low.1 > 2 * production.1, "{totals:?}");
    assert!(high.0 > production.0, "{totals:?}");
}
