//! The fault matrix: single faults and pairs of faults at every step, from the tables in `matrix/`.
//!
//! Each cell runs the script of `reelreel_fakes::standard_site` with a fault injected at one step
//! and checks all eight promises. A cell whose step is not reached, or whose fault has no target
//! there, counts as not applicable.

use std::{collections::BTreeMap, fmt::Write, path::Path};

use reelreel_fakes::{
    FaultKind, FaultPlan, PlannedFault, PromiseViolation, SiteScript, StepKind, check_promises,
    standard_site,
};
use serde::Deserialize;

/// A table of cells: a fault, or pairs of faults, at all steps.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MatrixTable {
    /// The fault injected in every cell.
    fault: FaultKind,
    /// The occurrences of the step at which the fault is injected.
    nth: Vec<u64>,
    /// The duration of the faults, in milliseconds.
    lasts: u64,
    /// The seeds; each is a separate run.
    seeds: Vec<u64>,
    /// Second faults; each is paired with the first at the same step.
    #[serde(default)]
    with: Vec<FaultKind>,
    /// How many occurrences of the step after the first the second fault is injected.
    #[serde(default)]
    with_after: u64,
    /// Whether engine 2 checks fences.
    #[serde(default = "default_fenced")]
    fenced: bool,
    /// Steps at which the fault has no effect, with the reason.
    #[serde(default)]
    not_applicable: BTreeMap<StepKind, String>,
}

const fn default_fenced() -> bool {
    true
}

#[derive(Default)]
struct CellCounts {
    run: u32,
    passed: u32,
    not_applicable: u32,
}

fn fault_plans(table: &MatrixTable, step: StepKind, nth: u64) -> Vec<Vec<PlannedFault>> {
    let first = PlannedFault { fault: table.fault, step, nth, duration_ms: table.lasts };
    if table.with.is_empty() {
        return vec![vec![first]];
    }
    let second = |fault: &FaultKind| {
        let nth = nth + table.with_after;
        vec![first, PlannedFault { fault: *fault, step, nth, duration_ms: table.lasts }]
    };
    table.with.iter().map(second).collect()
}

/// Runs one cell; returns `None` if a fault was not injected.
fn run_cell(seed: u64, fenced: bool, faults: Vec<PlannedFault>) -> Option<Vec<PromiseViolation>> {
    let script = SiteScript { fenced, ..SiteScript::new(seed) };
    let mut site = standard_site(script, FaultPlan::new(faults));
    site.run_until(script.end);
    site.all_faults_injected().then(|| check_promises(&site))
}

#[expect(clippy::needless_pass_by_value, reason = "signature required by the harness")]
fn run_table(path: &Path, content: String) -> datatest_stable::Result<()> {
    let table: MatrixTable = toml::from_str(&content)?;
    let mut counts = CellCounts::default();
    let mut failures = String::new();
    for step in StepKind::ALL {
        if table.not_applicable.contains_key(&step) {
            counts.not_applicable += 1;
            continue;
        }
        let with_seeds = |nth: &u64| {
            let nth = *nth;
            table.seeds.iter().map(move |seed| (nth, *seed))
        };
        for (nth, seed) in table.nth.iter().flat_map(with_seeds) {
            for faults in fault_plans(&table, step, nth) {
                let description = format!("{faults:?}");
                match run_cell(seed, table.fenced, faults) {
                    None => counts.not_applicable += 1,
                    Some(broken) => {
                        counts.run += 1;
                        counts.passed += u32::from(broken.is_empty());
                        for broken in broken {
                            writeln!(failures, "seed {seed} {description}: {broken:?}")?;
                        }
                    }
                }
            }
        }
    }
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    println!(
        "matrix {name}: {} cells run, {} passed, {} not applicable",
        counts.run, counts.passed, counts.not_applicable
    );
    if failures.is_empty() { Ok(()) } else { Err(failures.into()) }
}

datatest_stable::harness! {
    { test = run_table, root = "tests/matrix", pattern = r".*\.toml$" },
}
