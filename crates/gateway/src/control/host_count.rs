//! An estimate of the number of hosts in the system, and what a placer reports for it.

use std::time::Duration;

use reelreel_core::ClockMillis;

/// How long a placer's count stays incomplete after its tenure began or a host subscribed: as long
/// as hosts take to find a new placer.
const SUBSCRIPTION_PERIOD: Duration = Duration::from_secs(2);

/// The number of hosts, as reported by a placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostReport {
    /// The number of hosts, including the placer.
    pub hosts: u32,
    /// Whether all hosts have had time to subscribe. There may be more hosts otherwise.
    pub complete: bool,
}

/// A placer's count of its subscribers.
///
/// Until the count is complete, the placer reports what it knew before if that is more.
#[derive(Debug, Clone, Copy, Default)]
pub struct SubscriberCount {
    /// The last complete count, or the number of hosts that was known when the tenure began.
    known_hosts: u32,
    /// When the tenure began or the last host subscribed.
    changed_at: ClockMillis,
    complete: bool,
}

impl SubscriberCount {
    /// Starts the count of a tenure; `known_hosts` is the number of hosts reported before, or zero.
    pub const fn begin_tenure(&mut self, known_hosts: u32, now: ClockMillis) {
        *self = Self { known_hosts, changed_at: now, complete: false };
    }

    /// Records that a host has subscribed; more may follow.
    pub const fn record_subscription(&mut self, now: ClockMillis) {
        self.changed_at = now;
        self.complete = false;
    }

    /// Completes the count if no host has subscribed for some time.
    pub fn update(&mut self, subscribed_hosts: u32, now: ClockMillis) {
        self.complete |= now.since(self.changed_at) >= SUBSCRIPTION_PERIOD;
        if self.complete {
            self.known_hosts = subscribed_hosts;
        }
    }

    /// Returns the report to the subscribers.
    pub fn report(&self, subscribed_hosts: u32) -> HostReport {
        let hosts =
            if self.complete { subscribed_hosts } else { subscribed_hosts.max(self.known_hosts) };
        HostReport { hosts, complete: self.complete }
    }
}

/// Estimates the number of hosts as the highest count that any placer reported recently. Shared
/// budgets are divided by it.
///
/// A new placer, or one that is cut off, has few subscribers, while the other hosts continue to
/// spend. If the count followed each report, every host could take a whole budget for itself. A
/// decrease therefore takes effect only after it has lasted for one to two windows of these
/// budgets. For the same reason a default is in force until a placer has reported a complete count,
/// unless an incomplete one is higher.
#[derive(Debug, Clone, Copy)]
pub struct HostCount {
    window: Duration,
    /// When the current window started.
    window_start: ClockMillis,
    current_max: u32,
    previous_max: u32,
    /// Whether a complete count was reported.
    has_complete_count: bool,
    /// Since when only incomplete counts were reported.
    incomplete_since: Option<ClockMillis>,
}

impl HostCount {
    /// Creates a count without reports; `window` is the window of the shared budgets.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            window_start: ClockMillis::default(),
            current_max: 0,
            previous_max: 0,
            has_complete_count: false,
            incomplete_since: None,
        }
    }

    /// Records a placer's report.
    ///
    /// Incomplete counts raise the estimate only, unless there were no others for a whole window.
    pub fn record_report(&mut self, report: HostReport, now: ClockMillis) {
        let incomplete_since = *self.incomplete_since.get_or_insert(now);
        if report.complete || now.since(incomplete_since) >= self.window {
            self.record(report.hosts, now);
        } else {
            self.current_max = self.current_max.max(report.hosts);
        }
    }

    /// Records a complete count of the hosts that follow a placer.
    pub fn record(&mut self, count: u32, now: ClockMillis) {
        self.has_complete_count = true;
        self.incomplete_since = None;
        let elapsed = now.since(self.window_start);
        if elapsed >= self.window {
            // The old maximum stays in force for one more window, unless it is older than that.
            self.previous_max = if elapsed < self.window * 2 { self.current_max } else { count };
            self.current_max = 0;
            self.window_start = now;
        }
        self.current_max = self.current_max.max(count);
    }

    /// Returns whether no placer has reported a complete count yet.
    pub const fn is_assumed(&self) -> bool {
        !self.has_complete_count
    }

    /// Returns the highest count that was reported recently, or zero if there was none.
    pub fn reported(&self) -> u32 {
        self.current_max.max(self.previous_max)
    }

    /// Returns the count, at least one; `default` is assumed until a complete count is reported.
    pub fn get(&self, default: u32) -> u32 {
        let default = if self.is_assumed() { default } else { 0 };
        self.reported().max(default).max(1)
    }
}
