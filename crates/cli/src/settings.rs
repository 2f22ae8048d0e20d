//! `reelreel settings`: checks, shows, compares and publishes the settings tree.

mod publish;
mod show;

use std::{fs, path::Path, process::ExitCode};

use eyre::{WrapErr, bail};
use reelreel_core::settings::{SettingsTree, read_tree};

use crate::options::SettingsCommand;

/// Runs a settings command.
pub(crate) fn run(command: &SettingsCommand) -> eyre::Result<ExitCode> {
    match command {
        SettingsCommand::Check { file } => check(file),
        SettingsCommand::Keys { output } => show::keys(*output),
        SettingsCommand::HostKeys { output } => show::host_keys(*output),
        SettingsCommand::Show { source, output, path } => show::show(source, path, *output),
        SettingsCommand::Export { log } => publish::export(log),
        SettingsCommand::Diff { log, output, file } => publish::diff(log, file, *output),
        SettingsCommand::Publish(options) => publish::publish(options),
        SettingsCommand::History { log, output } => publish::history(log, *output),
    }
}

fn check(file: &Path) -> eyre::Result<ExitCode> {
    let text = read_text(file)?;
    match read_tree(&text) {
        Ok(mut tree) => {
            tree.reindex();
            println!("{}: no errors, {} adapters", file.display(), tree.adapter_count());
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => {
            for error in errors {
                eprintln!("{}:{error}", file.display());
            }
            Ok(ExitCode::from(2))
        }
    }
}

fn read_text(file: &Path) -> eyre::Result<String> {
    fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read settings file {}", file.display()))
}

/// Reads a tree from a file; the error lists every invalid line.
fn read_file(file: &Path) -> eyre::Result<SettingsTree> {
    let text = read_text(file)?;
    match read_tree(&text) {
        Ok(tree) => Ok(tree),
        Err(errors) => {
            let lines: Vec<String> =
                errors.iter().map(|error| format!("{}:{error}", file.display())).collect();
            bail!("the settings file is invalid:\n{}", lines.join("\n"))
        }
    }
}
