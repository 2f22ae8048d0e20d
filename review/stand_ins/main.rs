//! Stand-ins and cases of the review. Only the standard library is used.

mod client;
mod deployment;
mod engine;
mod http;
mod memory;
mod open_answers;
mod store;
mod surplus_answers;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::Duration,
};

use crate::{deployment::Recorder, engine::EngineOptions, open_answers::Leaving};

/// The longest time that a case takes; its processes end with this one.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

/// The outcome of a case.
pub struct Outcome {
    /// The record.
    pub recorder: Recorder,
    /// What broke the rule; empty if it held.
    pub breaks: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((verb, rest)) if verb == "engine" => run_engine(rest),
        Some((verb, rest)) if rest.len() == 1 => run_case(verb, &PathBuf::from(&rest[0])),
        _ => {
            eprintln!("pass the name of a case and the path of its record");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn run_engine(arguments: &[String]) -> ExitCode {
    let Some(options) = EngineOptions::parse(arguments) else { return ExitCode::from(NOT_RUN) };
    match engine::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("engine: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_case(name: &str, record: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        deployment::end_processes();
        std::process::exit(i32::from(NOT_RUN));
    });
    let outcome = match name {
        "surplus-answers" => surplus_answers::run(trouble),
        "engine-taken-away" => open_answers::run(Leaving::TakenAway, trouble),
        "engine-retires" => open_answers::run(Leaving::Retires, trouble),
        "memory" => memory::run(trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    let Outcome { recorder, breaks } = match outcome {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("not run: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    for line in &breaks {
        recorder.add(format!("BROKEN {line}"));
    }
    recorder.add(format!("trouble: {trouble}; {} breaks", breaks.len()));
    if let Err(error) = recorder.write(record) {
        eprintln!("the record could not be written: {error}");
        return ExitCode::from(NOT_RUN);
    }
    for line in &breaks {
        println!("{line}");
    }
    if breaks.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
