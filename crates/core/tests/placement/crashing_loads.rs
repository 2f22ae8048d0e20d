//! Loads of an adapter under which engines end: how many engines it takes with it, and what the others wait for.

use crate::simulation::*;

const ENGINES: usize = 12;

/// The adapter under whose load engines end.
const CRASHING: usize = 0;

/// How long an engine that has ended stays listed: a store takes three silent heartbeats for an end. Unit: milliseconds.
const STALE_LISTING_MS: u64 = 3600;

/// How long a play lasts, and one step of it. Unit: milliseconds.
const RUN_MS: u64 = 120_000;
const STEP_MS: u64 = 20;

/// How often a host renews its word about what waits. Unit: milliseconds.
const DEMAND_RENEWAL_MS: u64 = 500;

/// What came of a play.
#[derive(Debug, Default)]
struct RunResult {
    /// Engines that ended.
    crashes: usize,
    /// For how long innocent adapters were waited for, each at the longest. Unit: milliseconds.
    longest_wait_ms: u64,
}

/// Loads of a play.
struct CrashCase {
    name: &'static str,
    /// Whether engines end under loads of one adapter that is asked for all the while.
    crashing_adapter: bool,
    /// Every so often an engine ends by itself. Unit: milliseconds.
    crash_interval_ms: Option<u64>,
    /// Engines that may end at most.
    max_crashes: usize,
    /// How long an innocent adapter may be waited for. Unit: milliseconds.
    max_wait_ms: u64,
}

const CASES: &[CrashCase] = &[
    CrashCase {
        name: "one adapter ends every engine that loads it",
        crashing_adapter: true,
        crash_interval_ms: None,
        max_crashes: 4,
        max_wait_ms: 1500,
    },
    CrashCase {
        name: "engines end by themselves, whatever they load",
        crashing_adapter: false,
        crash_interval_ms: Some(2000),
        max_crashes: 60,
        max_wait_ms: 1500,
    },
];

fn run(case: &CrashCase) -> RunResult {
    let mut simulation = Simulation::new(ENGINES);
    let mut result = RunResult::default();
    let mut wait_ms = vec![0_u64; 40];
    let mut crashes = 0;
    set_crashing_adapter(&mut simulation, case);
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).expect("a step")) {
        if now % DEMAND_RENEWAL_MS == 0 && case.crashing_adapter {
            simulation.request(CRASHING, 1);
        }
        // Innocent adapters: one after the other is asked for, and waited for until it is there.
        let number = 1 + usize::try_from(now / 3000).expect("a number") % 39;
        let is_held = simulation
            .engines
            .iter()
            .any(|engine| engine.crashed_at.is_none() && engine.held.contains_key(&key(number)));
        if !is_held {
            wait_ms[number] += STEP_MS;
            result.longest_wait_ms = result.longest_wait_ms.max(wait_ms[number]);
            if now % DEMAND_RENEWAL_MS == 0 {
                simulation.request(number, 1);
            }
        } else if wait_ms[number] > 0 {
            wait_ms[number] = 0;
            simulation.request(number, 0);
        }
        simulation.step(STEP_MS, OrderOutcome::Answered);
        if case.crash_interval_ms.is_some_and(|interval| now % interval == interval / 2) {
            let loading_engine =
                simulation.engines.iter().position(|engine| !engine.pending.is_empty());
            let index = loading_engine.unwrap_or(crashes % ENGINES);
            crashes += 1;
            simulation.engines[index].crashed_at.get_or_insert(simulation.now);
        }
        for index in 0..ENGINES {
            if simulation.engines[index]
                .crashed_at
                .is_some_and(|crashed_at| simulation.now >= crashed_at + STALE_LISTING_MS)
            {
                result.crashes += 1;
                simulation.replace_engine(index);
                set_crashing_adapter(&mut simulation, case);
            }
        }
    }
    result
}

/// Makes all engines end under loads of the deadly adapter, where there is one.
fn set_crashing_adapter(simulation: &mut Simulation, case: &CrashCase) {
    for engine in &mut simulation.engines {
        engine.crashes_on = case.crashing_adapter.then(|| key(CRASHING));
    }
}

/// An engine that ends under a load is listed for seconds more, and requests wait for the adapter: its placer ordered the same load at the
/// next engine within the second, and so on. Of twelve engines that come back after 3.6 s, 119 ended in two minutes, each with all that it
/// ran; four since then.
#[test]
fn adapter_that_crashes_engines_reaches_few_of_them() {
    for case in CASES {
        let result = run(case);
        println!("{}: {result:?}", case.name);
        assert!(result.crashes <= case.max_crashes, "{}: {result:?}", case.name);
        assert!(result.longest_wait_ms <= case.max_wait_ms, "{}: {result:?}", case.name);
    }
}
