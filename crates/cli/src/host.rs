//! `reelreeld --platform`: runs one host on the users' platform.

use std::{path::Path, process::ExitCode, sync::Arc};

use eyre::WrapErr;
use reelreel_core::MonotonicClock;
use reelreel_gateway::{
    events::EventLog,
    host::{SharedState, run_host},
};
use reelreel_platform::settings::{read_settings, settings_path};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

/// Stack size of the signal thread.
const SIGNAL_THREAD_STACK_BYTES: usize = 64 * 1024;

/// Runs one host until its graceful shutdown has finished; with `check`, only validates its settings.
pub(crate) fn run_on_platform(path: Option<&Path>, check: bool) -> eyre::Result<ExitCode> {
    let path = path.map_or_else(settings_path, Path::to_owned);
    let profile = read_settings(&path)?;
    if check {
        println!("{}: no errors", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let events =
        EventLog::start(Arc::clone(&profile.name)).wrap_err("cannot start the log thread")?;
    let clock = Arc::new(MonotonicClock::new());
    let shared = Arc::new(SharedState::new(profile, reelreel_platform::codecs(), events, clock));
    watch_signals(&shared)?;
    run_host(&shared)?;
    Ok(ExitCode::SUCCESS)
}

/// Starts the graceful shutdown on SIGTERM or SIGINT and checks the settings file again on SIGHUP.
fn watch_signals(shared: &Arc<SharedState>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let shared = Arc::clone(shared);
    std::thread::Builder::new()
        .name(String::from("signals"))
        .stack_size(SIGNAL_THREAD_STACK_BYTES)
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    shared.record_reload(read_settings(&settings_path()).err());
                } else {
                    shared.stop();
                }
            }
        })?;
    Ok(())
}
