//! `reelreel soak`: runs real hosts under random faults.
//!
//! Starts hosts as separate processes and ends only these.

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use eyre::OptionExt;
use reelreel_soak::{
    plan::SoakPlan,
    run::{SoakOptions, default_directory, run_soak},
};

use crate::options::SoakCommand;

/// File name of the host program.
const HOST_PROGRAM: &str = "reelreeld";

/// Runs one soak for each seed; the exit code is a failure if any guarantee was violated.
pub(crate) fn run(command: &SoakCommand) -> eyre::Result<ExitCode> {
    let program = match &command.program {
        Some(program) => program.clone(),
        None => sibling_host_program()?,
    };
    let mut code = ExitCode::SUCCESS;
    for seed in command.seed..command.seed + command.seeds {
        let fault_period = Duration::from_secs(command.seconds);
        if command.plan {
            println!("{:#?}", SoakPlan::generate(seed, command.hosts, fault_period));
            continue;
        }
        let options = SoakOptions {
            seed,
            hosts: command.hosts,
            fault_period,
            program: program.clone(),
            directory: command.folder.clone().unwrap_or_else(default_directory),
        };
        let report = run_soak(&options)?;
        print!("{}", report.text(seed));
        if !report.violations.is_empty() {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}

/// Returns the path of the host program in this executable's directory.
fn sibling_host_program() -> eyre::Result<PathBuf> {
    let executable = env::current_exe()?;
    let folder = executable.parent().ok_or_eyre(
        "the executable has no parent directory; pass the host program with --program",
    )?;
    Ok(folder.join(HOST_PROGRAM))
}
