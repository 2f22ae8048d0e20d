//! `reelreeld`: one entry host.

mod host;

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use eyre::WrapErr;
use reelreel_node::{EntryHost, NodeSettings, logs::start_logs};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// How long a planned stop waits for the last streams to end.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// Runs one entry host of reelreel.
///
/// SIGTERM stops it in a planned way: it takes no new requests, hands its engines over and ends
/// when its last stream has ended. A second SIGTERM ends it at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Only check the settings file, and name every mistake in it
    check: bool,
    /// Serve on the users' platform, with the settings file that it lays down
    platform: bool,
    /// The host's own settings, in TOML; with --platform, another file than the platform names
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
        eyre::bail!("name the host's settings file, or use --platform");
    };
    let path = settings.display();
    let text = fs::read_to_string(settings)
        .wrap_err_with(|| format!("{path} can not be read; name the host's settings file"))?;
    let settings = match NodeSettings::read(&text) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("{path}:{error}");
            }
            return Ok(ExitCode::from(2));
        }
    };
    if options.check {
        println!("{path}: no mistakes");
        return Ok(ExitCode::SUCCESS);
    }
    start_logs(settings.log_format, settings.log_level)?;
    let host = EntryHost::start(&settings)?;
    // One line for whoever starts hosts on free ports.
    println!(
        "{{\"callers\":\"{}\",\"peers\":\"{}\",\"operators\":\"{}\"}}",
        host.callers(),
        host.peers(),
        host.operators()
    );
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let signal = signals.forever().next();
    log::info!("signal {}: stopping", signal.unwrap_or(SIGTERM));
    host.drain();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(1);
        }
    });
    if !host.wait_stopped(DRAIN_TIMEOUT) {
        log::warn!("streams still ran after {} s", DRAIN_TIMEOUT.as_secs());
    }
    Ok(ExitCode::SUCCESS)
}
