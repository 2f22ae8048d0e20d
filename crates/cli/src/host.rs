//! `reelreeld --platform`: one host on the users' platform.

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

/// The stack of the thread that waits for signals. Unit: bytes.
const SIGNAL_THREAD_STACK_BYTES: usize = 64 * 1024;

/// Runs one host until its planned stop has ended; with `check`, only reads its settings.
pub(crate) fn run_on_platform(path: Option<&Path>, check: bool) -> eyre::Result<ExitCode> {
    let path = path.map_or_else(settings_path, Path::to_owned);
    let profile = read_settings(&path)?;
    if check {
        println!("{}: no mistakes", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let events = EventLog::start(Arc::clone(&profile.name)).wrap_err("no thread for log lines")?;
    let clock = Arc::new(MonotonicClock::new());
    let shared = Arc::new(SharedState::new(profile, reelreel_platform::dialects(), events, clock));
    watch_signals(&shared)?;
    run_host(&shared)?;
    Ok(ExitCode::SUCCESS)
}

/// Begins the planned stop at SIGTERM, and checks the settings anew at SIGHUP.
fn watch_signals(shared: &Arc<SharedState>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let shared = Arc::clone(shared);
    std::thread::Builder::new()
        .name(String::from("signals"))
        .stack_size(SIGNAL_THREAD_STACK_BYTES)
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    shared.reloaded(read_settings(&settings_path()).err());
                } else {
                    shared.stop();
                }
            }
        })?;
    Ok(())
}
