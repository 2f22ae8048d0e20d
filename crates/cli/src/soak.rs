//! `reelreel soak`: real hosts under drawn faults.
//!
//! It starts hosts as processes of their own and ends only these. No host ever starts a process.

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use eyre::OptionExt;
use reelreel_soak::{
    plan::SoakPlan,
    run::{SoakOptions, run_soak, usual_folder},
};

use crate::options::SoakCommand;

/// The program of a host.
const HOST_PROGRAM: &str = "reelreeld";

/// Plays the soaks, and fails where a promise was broken in one.
pub(crate) fn run(command: &SoakCommand) -> eyre::Result<ExitCode> {
    let program = match &command.program {
        Some(program) => program.clone(),
        None => sibling_host_program()?,
    };
    let mut code = ExitCode::SUCCESS;
    for seed in command.seed..command.seed + command.seeds {
        let troubled = Duration::from_secs(command.seconds);
        if command.plan {
            println!("{:#?}", SoakPlan::draw(seed, command.hosts, troubled));
            continue;
        }
        let options = SoakOptions {
            seed,
            hosts: command.hosts,
            troubled,
            program: program.clone(),
            folder: command.folder.clone().unwrap_or_else(usual_folder),
        };
        let report = run_soak(&options)?;
        print!("{}", report.text(seed));
        if !report.broken.is_empty() {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}

/// Returns the program of a host that stands beside this one.
fn sibling_host_program() -> eyre::Result<PathBuf> {
    let executable = env::current_exe()?;
    let folder =
        executable.parent().ok_or_eyre("this program stands in no folder; name the host's")?;
    Ok(folder.join(HOST_PROGRAM))
}
