//! One host's share of a retry budget that all hosts spend together.
//!
//! The operator allows, within any window, a ratio of the requests plus a burst, summed over all
//! hosts. Hosts do not talk about it: each allows itself the ratio of its own requests and an equal
//! part of the burst, so that the sum stays below the whole.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// The part of the allowed ratio that is used, so that uneven windows stay below the bound.
const RATIO_USED: f64 = 0.8;

/// The part of the burst that is used, for the same reason.
const BURST_USED: f64 = 0.8;

/// What the operator allows over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Further sends allowed per request.
    pub ratio: f64,
    /// Further sends allowed besides, within one window.
    pub burst: f64,
    /// The window's length.
    pub window: Duration,
}

/// Counts requests and further sends of one host to one service within a sliding window.
#[derive(Debug, Clone, Default)]
pub struct RetryShare {
    requests: VecDeque<ClockMillis>,
    repeats: VecDeque<ClockMillis>,
}

impl RetryShare {
    /// Counts a request's first send.
    pub fn note_request(&mut self, now: ClockMillis) {
        self.requests.push_back(now);
    }

    /// Takes one further send when the share has it.
    ///
    /// `hosts` is how many hosts spend the budget together, at least one.
    pub fn take(&mut self, allowance: &RetryAllowance, hosts: u32, now: ClockMillis) -> bool {
        let start = now - allowance.window;
        drop_before(&mut self.requests, start);
        drop_before(&mut self.repeats, start);
        let burst = allowance.burst * BURST_USED / f64::from(hosts.max(1));
        let allowed = allowance.ratio * RATIO_USED * self.requests.len() as f64 + burst;
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Forgets requests that no window holds any more.
    pub fn forget_old(&mut self, allowance: &RetryAllowance, now: ClockMillis) {
        let start = now - allowance.window;
        drop_before(&mut self.requests, start);
        drop_before(&mut self.repeats, start);
    }
}

fn drop_before(times: &mut VecDeque<ClockMillis>, start: ClockMillis) {
    while times.front().is_some_and(|time| *time < start) {
        times.pop_front();
    }
}
