//! `reelreeld`: the daemon of one entry host.

mod host;

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use eyre::WrapErr;
use reelreel_node::{EntryHost, NodeSettings, logs::start_logs};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Maximum time that a graceful shutdown waits for open streams.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// Runs one entry host of reelreel.
///
/// SIGTERM starts a graceful shutdown: the host accepts no new requests, hands its engines over and
/// exits when its last stream has ended. A second SIGTERM exits at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Check the settings file, print every error in it and exit
    check: bool,
    /// Run on the users' platform with the settings file that it provides
    platform: bool,
    /// Host settings file in TOML; with --platform, replaces the file that the platform provides
    #[bpaf(positional("SETTINGS"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    match run(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("reelreeld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &DaemonOptions) -> eyre::Result<ExitCode> {
    if options.platform {
        return host::run_on_platform(options.settings.as_deref(), options.check);
    }
    let Some(settings) = &options.settings else {
        eyre::bail!("pass the host's settings file or --platform");
    };
    let path = settings.display();
    let text = fs::read_to_string(settings)
        .wrap_err_with(|| format!("cannot read host settings file {path}"))?;
    let settings = match NodeSettings::parse(&text) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("{path}:{error}");
            }
            return Ok(ExitCode::from(2));
        }
    };
    if options.check {
        println!("{path}: no errors");
        return Ok(ExitCode::SUCCESS);
    }
    start_logs(settings.log_format, settings.log_level)?;
    let host = EntryHost::start(&settings)?;
    // A parent process that starts hosts on free ports reads the addresses from this line.
    println!(
        "{{\"callers\":\"{}\",\"peers\":\"{}\",\"operators\":\"{}\"}}",
        host.callers(),
        host.peers(),
        host.operators()
    );
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let signal = signals.forever().next();
    log::info!("received signal {}; shutting down", signal.unwrap_or(SIGTERM));
    host.drain();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(1);
        }
    });
    if !host.wait_until_stopped(DRAIN_TIMEOUT) {
        log::warn!(
            "shutdown timed out after {} s with streams still open",
            DRAIN_TIMEOUT.as_secs()
        );
    }
    Ok(ExitCode::SUCCESS)
}
