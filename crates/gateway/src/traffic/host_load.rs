//! Monitors the host's own load: the delay of the event loop, the use of the link and of descriptors.

use std::{rc::Rc, sync::atomic::Ordering, time::Duration};

use reelreel_core::{
    ClockMillis,
    clock::duration_millis,
    fleet::host_load::{LoadSample, ResourcePressure},
};
use tokio::time::Instant;

use crate::{events::HostEvent, traffic::TrafficState};

/// Interval at which the load is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Pressure below which a host is no longer overloaded.
const NORMAL_PRESSURE: f64 = 0.8;

/// Minimum time between two changes between overloaded and normal, in the log.
const MIN_STATE_TIME: Duration = Duration::from_secs(1);

/// Whether the host is overloaded, as last logged.
#[derive(Debug, Default)]
struct LoggedState {
    is_overloaded: bool,
    since: ClockMillis,
}

/// Samples the load. Never returns.
pub async fn monitor_load(traffic: Rc<TrafficState>) {
    let mut logged = LoggedState::default();
    let mut sampled_at = Instant::now();
    let mut link_bytes = (0, 0);
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let interval = sampled_at.elapsed();
        sampled_at = Instant::now();
        let counted = (traffic.link_bytes.received(), traffic.link_bytes.sent());
        let sample = LoadSample {
            interval,
            loop_delay: interval.saturating_sub(SAMPLE_INTERVAL),
            link_bytes: (counted.0 - link_bytes.0).max(counted.1 - link_bytes.1),
            connections: traffic.connections.get(),
        };
        link_bytes = counted;
        traffic.host_load.borrow_mut().record(&sample);
        let metrics = &traffic.shared.metrics.host_load;
        metrics.loop_delay.observe(sample.loop_delay.as_secs_f64());
        metrics.set(&traffic.host_load.borrow());
        log_change(&traffic, &mut logged);
    }
}

/// Logs that the host has become overloaded, or normal again.
fn log_change(traffic: &TrafficState, logged: &mut LoggedState) {
    let now = traffic.now();
    let pressure = traffic.host_load.borrow().pressure();
    let limit = if logged.is_overloaded { NORMAL_PRESSURE } else { 1.0 };
    let is_overloaded = pressure.use_ratio > limit;
    if is_overloaded != logged.is_overloaded && now.since(logged.since) >= MIN_STATE_TIME {
        *logged = LoggedState { is_overloaded, since: now };
        log_load(traffic, is_overloaded, pressure);
    }
}

fn log_load(traffic: &TrafficState, is_overloaded: bool, pressure: ResourcePressure) {
    let load = traffic.host_load.borrow();
    let hundredths = |ratio: f64| (ratio * 100.0).round() / 100.0;
    traffic.shared.events.write(HostEvent::HostLoad {
        state: if is_overloaded { "overloaded" } else { "normal" }.into(),
        resource: pressure.resource.name().into(),
        pressure: hundredths(pressure.use_ratio),
        loop_delay: duration_millis(load.standing_delay()),
        link_use: hundredths(load.link_use()),
        connections: traffic.connections.get(),
        open: traffic.shared.open_requests.load(Ordering::Relaxed),
    });
}
