//! Runs one stand-in as its own process and registers it in the platform's host list.

use std::{process::ExitCode, time::Duration};

use eyre::WrapErr;
use reelreel_stand_ins::{
    EngineOptions, EngineStandIn, PlatformOptions, PlatformStandIn, ServiceOptions, ServiceStandIn,
    platform::{HostRecord, HostRole},
};

use super::wait_for_signal;
use crate::options::{DevEngine, DevPlatform, DevService};

/// Prints the listening address as JSON for the parent process and blocks until SIGINT or SIGTERM.
fn announce_and_wait(address: &str) -> eyre::Result<ExitCode> {
    println!("{{\"address\":\"{address}\"}}");
    wait_for_signal()?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a stand-in platform.
pub(super) fn platform(options: &DevPlatform) -> eyre::Result<ExitCode> {
    let stand_in = PlatformStandIn::start(&PlatformOptions {
        address: options.listen.clone(),
        retained: options.retained,
        host_lag: Duration::from_millis(options.host_lag),
        loads_per_second: options.loads,
        ..PlatformOptions::default()
    })?;
    announce_and_wait(stand_in.address())
}

/// Runs a stand-in engine.
pub(super) fn engine(options: &DevEngine) -> eyre::Result<ExitCode> {
    let stand_in = EngineStandIn::start(&EngineOptions {
        address: options.listen.clone(),
        platform: options.platform.clone(),
        slots: options.slots as usize,
        streams: options.streams as usize,
        checks_fence: !options.no_fence,
        ..EngineOptions::default()
    })?;
    let record = HostRecord::new(HostRole::Engine, options.id, options.hall, stand_in.address())
        .service(options.service.clone())
        .engine(options.slots, options.streams, !options.no_fence);
    register(&options.platform, &record)?;
    announce_and_wait(stand_in.address())
}

/// Runs a stand-in plain service.
pub(super) fn service(options: &DevService) -> eyre::Result<ExitCode> {
    let stand_in = ServiceStandIn::start(&ServiceOptions { address: options.listen.clone() })?;
    let record = HostRecord::new(HostRole::Server, options.id, options.hall, stand_in.address())
        .service(options.service.clone());
    register(&options.platform, &record)?;
    announce_and_wait(stand_in.address())
}

/// Registers a stand-in in the platform's host list.
fn register(platform: &str, record: &HostRecord) -> eyre::Result<()> {
    let body = serde_json::to_vec(record)?;
    ureq::put(format!("http://{platform}/hosts"))
        .send(&body[..])
        .wrap_err_with(|| format!("cannot register at platform {platform}; is it running?"))?;
    Ok(())
}
