//! Monitors the host's own load: the delay of the event loop, the use of the link and of descriptors. Limits the open
//! requests while processor or link are used up.

use std::{rc::Rc, time::Duration};

use reelreel_core::{
    clock::duration_millis,
    fleet::{
        concurrency_limit::ConcurrencyLimit,
        host_load::{HostLoad, LoadSample},
    },
};
use tokio::time::Instant;

use crate::{events::HostEvent, metrics::IntakePauseCause, traffic::TrafficState};

/// Interval at which the load is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the load of an overloaded host is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Samples the load. Never returns.
pub async fn monitor_load(traffic: Rc<TrafficState>) {
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
        traffic.record_load(&sample);
    }
}

impl TrafficState {
    /// Records a sample of the load, and updates the limit of open requests.
    fn record_load(&self, sample: &LoadSample) {
        let mut load = self.host_load.borrow_mut();
        load.record(sample);
        let mut limit = self.concurrency_limit.borrow_mut();
        let was_active = limit.is_active();
        let open = self.busy_connections.get();
        let now = self.now();
        limit.update(load.request_pressure().use_ratio, open, now);
        let metrics = &self.shared.metrics.host_load;
        metrics.loop_delay.observe(sample.loop_delay.as_secs_f64());
        metrics.set(&load, limit.limit());
        let is_due = limit.is_active() && now.since(self.load_logged_at.get()) >= LOG_INTERVAL;
        if limit.is_active() != was_active || is_due {
            self.log_load(&load, &limit);
            self.load_logged_at.set(now);
        }
    }

    fn log_load(&self, load: &HostLoad, limit: &ConcurrencyLimit) {
        let pressure = load.pressure();
        let hundredths = |ratio: f64| (ratio * 100.0).round() / 100.0;
        self.shared.events.write(HostEvent::HostLoad {
            state: if limit.is_active() { "overloaded" } else { "normal" }.into(),
            resource: pressure.resource.name().into(),
            pressure: hundredths(pressure.use_ratio),
            loop_delay: duration_millis(load.standing_delay()),
            link_use: hundredths(load.link_use()),
            connections: self.connections.get(),
            open: self.busy_connections.get(),
            limit: limit.limit().map(hundredths),
        });
    }

    /// Returns why no further client connection is taken on at the moment, if none is.
    pub(super) fn intake_pause_cause(&self) -> Option<IntakePauseCause> {
        if self.connections.get() >= self.shared.profile.max_connections {
            return Some(IntakePauseCause::ConnectionLimit);
        }
        let open = self.busy_connections.get();
        let admits = self.concurrency_limit.borrow().admits(open, self.now());
        (!admits).then_some(IntakePauseCause::Overload)
    }

    /// Returns whether client connections are taken on again after a pause.
    pub(super) fn may_resume_intake(&self) -> bool {
        let open = self.busy_connections.get();
        self.connections.get() < self.shared.profile.max_connections
            && self.concurrency_limit.borrow().may_resume(open, self.now())
    }

    /// Returns how many connections are taken on beyond the limit when a pause begins.
    pub(super) fn intake_overshoot(&self) -> usize {
        self.concurrency_limit.borrow().overshoot(self.busy_connections.get())
    }

    /// Records that a client connection was taken on.
    pub(super) fn record_intake(&self) {
        self.concurrency_limit.borrow_mut().record_admission(self.now());
    }

    /// Returns whether this host's own processor or link is used up, so that its delays show nothing of engines.
    pub(super) fn is_overloaded(&self) -> bool {
        self.concurrency_limit.borrow().is_active()
    }

    /// Returns whether a client's connection may be kept for further requests, as far as this host's load allows it.
    pub(super) fn has_room_for_kept_connections(&self) -> bool {
        self.concurrency_limit.borrow().has_room(self.busy_connections.get())
    }
}
