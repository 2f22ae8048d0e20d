//! `reelreel bench`: compares residency policies on the same workload.
//!
//! Runs the real decision core with fakes in simulated time, so the same seed gives the same table on
//! every host. Does not model the performance of hosts or networks.

mod results;
mod scenario;

use std::{fmt::Write, fs, process::ExitCode, sync::Arc, thread};

use eyre::{WrapErr, bail};
use reelreel_core::engine::{FifoLruPolicy, ResidencyPolicy, ValuePolicy};
use results::{PolicyResult, policy_result};
use scenario::Scenario;

use crate::{options::BenchOptions, output::print};

/// Scenarios run by default.
const DEFAULT_SCENARIOS: [&str; 8] = [
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/kigali-day.toml")),
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/kigali-rush.toml")),
    include_str!(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/scenarios/ljubljana-day.toml"
    )),
    include_str!(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/scenarios/ljubljana-close.toml"
    )),
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/shift.toml")),
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/store-away.toml")),
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/restarts.toml")),
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios/overload.toml")),
];

const POLICIES: [&str; 2] = ["value", "arrival"];

fn parse_policy(name: &str) -> eyre::Result<Arc<dyn ResidencyPolicy>> {
    match name {
        "value" => Ok(Arc::new(ValuePolicy)),
        "arrival" => Ok(Arc::new(FifoLruPolicy)),
        other => bail!("unknown policy `{other}`; available: {}", POLICIES.join(", ")),
    }
}

/// Runs each scenario with each policy and prints the table.
pub(crate) fn run(options: &BenchOptions) -> eyre::Result<ExitCode> {
    let scenarios = read_scenarios(options)?;
    let names: Vec<String> = if options.policy.is_empty() {
        POLICIES.map(str::to_owned).to_vec()
    } else {
        options.policy.clone()
    };
    let mut runs = Vec::new();
    for scenario in &scenarios {
        for name in &names {
            runs.push((scenario, name.as_str(), parse_policy(name)?));
        }
    }
    let rows: Vec<PolicyResult> = thread::scope(|scope| {
        let handles: Vec<_> = runs
            .into_iter()
            .map(|(scenario, name, policy)| {
                scope.spawn(move || {
                    let site = scenario.run(policy, options.seed);
                    policy_result(scenario, name, &site)
                })
            })
            .collect();
        handles.into_iter().filter_map(|run| run.join().ok()).collect()
    });
    print(options.output, &rows, || format_table(&rows))?;
    Ok(ExitCode::SUCCESS)
}

fn read_scenarios(options: &BenchOptions) -> eyre::Result<Vec<Scenario>> {
    let texts: Vec<String> = if options.scenario.is_empty() {
        DEFAULT_SCENARIOS.map(str::to_owned).to_vec()
    } else {
        let read = |path: &std::path::PathBuf| {
            fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))
        };
        options.scenario.iter().map(read).collect::<eyre::Result<_>>()?
    };
    let parse = |text: &String| toml::from_str(text).wrap_err("invalid scenario file");
    texts.iter().map(parse).collect()
}

fn format_table(rows: &[PolicyResult]) -> String {
    let mut text = String::from(
        "scenario        policy    calls  worth  waited  wait p50   p95   p99  longest  fill  loads/1k wasted  refused in  Jain worst\n",
    );
    for row in rows {
        let _infallible = writeln!(
            text,
            "{:15} {:8} {:6} {:6.3} {:7.3} {:8.2} {:5.2} {:5.2} {:8.2} {:5.3} {:9.1} {:6.3} {:8.2} s {:5.3} {:5.3}",
            row.scenario,
            row.policy,
            row.calls,
            row.worth_served,
            row.share_waited,
            row.wait_p50,
            row.wait_p95,
            row.wait_p99,
            row.wait_longest,
            row.batch_fill,
            row.loads_per_thousand,
            row.wasted_share,
            row.refused_after,
            row.jain_index,
            row.worst_organisation,
        );
    }
    text.push_str(
        "worth: share of worth served within its deadline; waited: share of served calls that waited\n\
         over 50 ms; waits in seconds; fill: of streams, while an engine runs any; refused in: median\n\
         time until a refusal; Jain and worst: over organisations, share of their worth served\n",
    );
    text
}
