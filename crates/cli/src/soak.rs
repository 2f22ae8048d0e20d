//! `reelreel soak`: real hosts under drawn faults.
//!
//! It starts hosts as processes of their own and ends only these. No host ever starts a process.

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use eyre::OptionExt;
use reelreel_soak::{
    plan::SoakPlan,
    run::{SoakOptions, default_directory, run_soak},
};

use crate::options::SoakCommand;

/// The program of a host.
const HOST_PROGRAM: &str = "reelreeld";

/// Plays the soaks, and fails where a promise was broken in one.
pub(crate) fn run(command: &SoakCommand) -> eyre::Result<ExitCode> {
    let program = match &command.program {
        Some(program) => program.clone(),
        None => beside_this()?,
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

/// Returns the program of a host that stands beside this one.
fn beside_this() -> eyre::Result<PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().ok_or_eyre("this program stands in no folder; name the host's")?;
    Ok(folder.join(HOST_PROGRAM))
}
