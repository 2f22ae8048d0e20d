//! One host's share of the connections that an engine accepts from all hosts.
//!
//! A part is divided evenly, so that each host can open connections whatever the others do. The rest is lent by the
//! number of open requests: a host that gets most requests takes most of it. It is lent in steps, of which the sum
//! over all hosts stays below what the last reports leave, also if several hosts take their steps at once.
//!
//! Each part has to be large enough for the requests that the engine runs. Otherwise all connections are divided
//! evenly.

use std::time::Duration;

use crate::clock::ClockMillis;

/// Divides the connections to get those that are divided evenly.
const RESERVED_DIVISOR: u32 = 2;

/// Minimum of each part of the connections, in slots of the engine.
const MIN_PART_PER_SLOT: f64 = 1.25;

/// Minimum time between two steps of a host.
const STEP_INTERVAL: Duration = Duration::from_millis(300);

/// Fraction of the free connections that all hosts take in one step. Reports may miss the step before.
const STEP_FRACTION: f64 = 0.5;

/// Maximum age of the reports by which a host takes a step.
const MAX_STEP_AGE: Duration = Duration::from_millis(600);

/// Ratio of the open requests to the reported ones, which are not reported again for smaller changes.
const REPORT_TOLERANCE: f64 = 1.2;

/// Time without reports after which a host returns what it was lent. Shorter than the time for which its own report
/// counts at the placer.
const LEND_TIME: Duration = Duration::from_secs(2);

/// Connections to one engine.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionUse {
    /// Maximum number of connections from all hosts.
    pub limit: u32,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of requests that the engine runs at a time.
    pub slots: u32,
    /// This host's open requests.
    pub own_open: u32,
    /// Open requests of all hosts as last reported.
    pub reported_open: u32,
    /// Age of that report; `None` if there was none.
    pub report_age: Option<Duration>,
}

impl ConnectionUse {
    /// Returns the equal part of one host, at least one.
    pub fn equal_share(&self) -> u32 {
        (self.limit / self.hosts.max(1)).max(1)
    }

    /// Returns the number of connections that this host may open whatever the others do.
    fn reserved(&self) -> u32 {
        (self.limit / RESERVED_DIVISOR / self.hosts.max(1)).max(1)
    }

    /// Returns the number of connections that are lent.
    fn lent(&self) -> u32 {
        self.limit.saturating_sub(self.reserved().saturating_mul(self.hosts))
    }

    fn is_lent(&self) -> bool {
        let smaller_part = self.lent().min(self.reserved().saturating_mul(self.hosts));
        f64::from(smaller_part) >= f64::from(self.slots) * MIN_PART_PER_SLOT
    }

    /// Returns by how much this host may exceed its open requests in one step.
    fn step(&self) -> f64 {
        let own_open = f64::from(self.own_open);
        let total = f64::from(self.reported_open).max(own_open).max(1.0);
        let free = (f64::from(self.lent()) - REPORT_TOLERANCE * total).max(0.0);
        let part = f64::midpoint(own_open / total, 1.0 / f64::from(self.hosts.max(1)));
        STEP_FRACTION * free * part
    }
}

/// One host's share of the connections to one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionShare {
    /// Maximum number of open requests.
    max_open: f64,
    stepped_at: ClockMillis,
}

impl ConnectionShare {
    /// Returns whether this host may open one more request at the engine.
    pub fn allows(&mut self, connections: &ConnectionUse, now: ClockMillis) -> bool {
        if !connections.is_lent() {
            return connections.own_open < connections.equal_share();
        }
        let reserved = connections.reserved();
        if connections.own_open < reserved {
            return true;
        }
        let report_age = connections.report_age.unwrap_or(Duration::MAX);
        if report_age > LEND_TIME {
            self.max_open = f64::from(reserved);
        } else if self.is_step_due(report_age, now) {
            self.take_step(connections);
            self.stepped_at = now;
        }
        f64::from(connections.own_open) + 1.0 <= self.max_open
    }

    /// Returns whether there was a report since the last step, which may include that one.
    fn is_step_due(&self, report_age: Duration, now: ClockMillis) -> bool {
        let elapsed = now.since(self.stepped_at);
        report_age <= MAX_STEP_AGE && report_age < elapsed && elapsed >= STEP_INTERVAL
    }

    fn take_step(&mut self, connections: &ConnectionUse) {
        let own_open = f64::from(connections.own_open);
        let used_up = own_open + 1.0 > self.max_open;
        // Steps of less than one connection add up.
        let used = if used_up { self.max_open.max(own_open) } else { own_open };
        let used = used.max(f64::from(connections.reserved()));
        self.max_open = used.min(own_open + 1.0) + connections.step();
    }
}
