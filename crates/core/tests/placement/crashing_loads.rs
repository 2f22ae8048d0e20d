//! Adapters that crash engines during loading: number of crashes and effect on other adapters.

use crate::simulation::*;

const ENGINES: usize = 12;

/// Adapter whose load crashes engines.
const CRASHING: usize = 0;

/// How long a crashed engine stays listed: three missed heartbeats. Unit: milliseconds.
const STALE_LISTING_MS: u64 = 3600;

/// Duration and time step of a run. Unit: milliseconds.
const RUN_MS: u64 = 120_000;
const STEP_MS: u64 = 20;

/// Interval at which hosts renew their demand. Unit: milliseconds.
const DEMAND_RENEWAL_MS: u64 = 500;

/// Result of a run.
#[derive(Debug, Default)]
struct RunResult {
    /// Number of engine crashes.
    crashes: usize,
    /// Longest wait for an adapter other than the crashing one. Unit: milliseconds.
    longest_wait_ms: u64,
}

/// Parameters of a run.
struct CrashCase {
    name: &'static str,
    /// Whether loads of one adapter in constant demand crash their engine.
    crashing_adapter: bool,
    /// Interval between crashes unrelated to loads. Unit: milliseconds.
    crash_interval_ms: Option<u64>,
    /// Maximum number of crashes.
    max_crashes: usize,
    /// Maximum wait for other adapters. Unit: milliseconds.
    max_wait_ms: u64,
}

const CASES: &[CrashCase] = &[
    CrashCase {
        name: "one adapter crashes every engine that loads it",
        crashing_adapter: true,
        crash_interval_ms: None,
        max_crashes: 4,
        max_wait_ms: 1500,
    },
    CrashCase {
        name: "engines crash regardless of their loads",
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
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).expect("step fits in usize")) {
        if now % DEMAND_RENEWAL_MS == 0 && case.crashing_adapter {
            simulation.request(CRASHING, 1);
        }
        // Requests the other adapters in turn and waits until each is loaded.
        let number = 1 + usize::try_from(now / 3000).expect("adapter number fits in usize") % 39;
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

/// Makes all engines crash on the crashing adapter if the case has one.
fn set_crashing_adapter(simulation: &mut Simulation, case: &CrashCase) {
    for engine in &mut simulation.engines {
        engine.crashes_on = case.crashing_adapter.then(|| key(CRASHING));
    }
}

/// Guards against a placer ordering a load that crashed one engine on others while the crashed
/// engine is still listed.
#[test]
fn adapter_that_crashes_engines_reaches_few_of_them() {
    for case in CASES {
        let result = run(case);
        println!("{}: {result:?}", case.name);
        assert!(result.crashes <= case.max_crashes, "{}: {result:?}", case.name);
        assert!(result.longest_wait_ms <= case.max_wait_ms, "{}: {result:?}", case.name);
    }
}
