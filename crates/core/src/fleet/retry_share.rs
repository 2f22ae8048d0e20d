//! One host's share of a retry budget that all hosts spend together.
//!
//! The operator allows, within any window, a ratio of the requests plus a burst, summed over all
//! hosts. Hosts do not talk about it: each earns sends by its own requests and saves up some of them,
//! so that the sum stays below the whole.
//!
//! A process begins with nothing credit up, but at the very first start of the whole system. It can not know what the
//! processes before it on its host have spent in the same window; a full share for each of them let five hosts that were killed
//! together spend the budget twice.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// The part of the allowed ratio that each request earns; the other part may be credit up, for what needs many sends at
/// once. Any window then holds at most what its own requests and its own time earn and what was credit up before.
/// Halves of it and four fifths serve the same within noise; with less to save up, hosts of a large fleet with two
/// requests a second could not repeat any.
const EARNED_FRACTION: f64 = 0.7;

/// The part of the burst that comes back over one window, for hosts with few requests; the other part may be credit up.
const REFILL_FRACTION: f64 = 0.5;

/// The part of the burst and of what may be credit up that is used: the operator's windows and those of the hosts do
/// not begin at the same moments.
const SAFETY_FACTOR: f64 = 0.8;

/// What the operator allows over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Further sends allowed per request.
    pub ratio: f64,
    /// Further sends allowed besides, within one window.
    pub burst: f64,
    /// The window's length.
    pub window: Duration,
}

impl RetryPolicy {
    /// Returns how many sends a host earns by `requests` requests.
    fn earned_by(&self, requests: u32) -> f64 {
        self.ratio * EARNED_FRACTION * f64::from(requests)
    }

    /// Returns how many sends come back to one of `hosts` hosts by itself within a time.
    fn refilled_in(&self, time: Duration, hosts: u32) -> f64 {
        let windows = time.as_secs_f64() / self.window.as_secs_f64();
        self.burst_per_host(hosts) * REFILL_FRACTION * windows
    }

    /// Returns how many sends one of `hosts` hosts saves up at most that had `requests` requests within the last window.
    fn max_credit(&self, requests: usize, hosts: u32) -> f64 {
        let by_requests = self.ratio * (1.0 - EARNED_FRACTION) * SAFETY_FACTOR * requests as f64;
        by_requests + self.burst_per_host(hosts) * (1.0 - REFILL_FRACTION)
    }

    fn burst_per_host(&self, hosts: u32) -> f64 {
        self.burst * SAFETY_FACTOR / f64::from(hosts.max(1))
    }
}

/// The sends that one host may spend on requests to one service beyond the first of each.
#[derive(Debug, Clone, Default)]
pub struct RetryShare {
    /// The requests of the last window.
    requests: VecDeque<ClockMillis>,
    /// Requests that have earned nothing yet.
    uncredited_requests: u32,
    /// Sends that were earned and not spent.
    credit: f64,
    /// Up to when sends came back by themselves.
    refilled_until: Option<ClockMillis>,
}

impl RetryShare {
    /// Begins the share of a process at the very first start of the whole system, before which nothing was spent;
    /// [`RetryShare::default`] begins that of any other.
    pub fn unspent() -> Self {
        Self { credit: f64::INFINITY, ..Self::default() }
    }

    /// Counts a request's first send.
    pub fn record_request(&mut self, now: ClockMillis) {
        self.requests.push_back(now);
        self.uncredited_requests += 1;
        self.refilled_until.get_or_insert(now);
    }

    /// Takes one further send when the share has it.
    ///
    /// `hosts` is how many hosts spend the budget together, at least one.
    pub fn take(&mut self, policy: &RetryPolicy, hosts: u32, now: ClockMillis) -> bool {
        self.expire_requests(policy, now);
        let earned = policy.earned_by(std::mem::take(&mut self.uncredited_requests));
        let since = self.refilled_until.replace(now).unwrap_or(now);
        let refilled = policy.refilled_in(now.since(since), hosts);
        let max_credit = policy.max_credit(self.requests.len(), hosts);
        self.credit = (self.credit + earned + refilled).min(max_credit);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Forgets requests that no window holds any more.
    pub fn expire_requests(&mut self, policy: &RetryPolicy, now: ClockMillis) {
        let start = now - policy.window;
        while self.requests.front().is_some_and(|time| *time < start) {
            self.requests.pop_front();
        }
    }
}
