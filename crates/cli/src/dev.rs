//! `reelreel dev`: runs a site, or parts of one, locally for development.

mod all;
mod single;
pub(crate) mod site;

use std::process::ExitCode;

use crate::options::DevCommand;

/// Runs the whole site or one component.
pub(crate) fn run(command: &DevCommand) -> eyre::Result<ExitCode> {
    match command {
        DevCommand::All(options) => all::run(options),
        DevCommand::Platform(options) => single::platform(options),
        DevCommand::Engine(options) => single::engine(options),
        DevCommand::Service(options) => single::service(options),
    }
}

/// Blocks until SIGINT or SIGTERM.
fn wait_for_signal() -> eyre::Result<()> {
    use signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    };
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    Ok(())
}
