//! `reelreel`: the operators' command line.

mod bench;
mod capacity;
mod dev;
mod logs;
mod measure;
mod options;
mod output;
mod platform_log;
mod settings;
mod soak;
mod watch;

use std::process::ExitCode;

use options::{Command, command};

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Dev(options) => dev::run(&options),
        Command::Settings(command) => settings::run(&command),
        Command::Status(options) => watch::status(&options),
        Command::Timeline(options) => watch::timeline(&options),
        Command::Explain(options) => print_text(logs::explain::explain(&options.id, &options.logs)),
        Command::Losses(options) => print_text(logs::losses::losses(&options.logs, options.output)),
        Command::Bench(options) => bench::run(&options),
        Command::Capacity(options) => capacity::run(&options),
        Command::Soak(options) => soak::run(&options),
        Command::Measure(options) => measure::run(&options),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("reelreel: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn print_text(text: eyre::Result<String>) -> eyre::Result<ExitCode> {
    output::write_out(&text?)?;
    Ok(ExitCode::SUCCESS)
}
