//! One host's share of a retry budget that is common to all hosts.
//!
//! Within any window, the operator allows a number of retries over all hosts: a ratio of the
//! requests, plus a burst. Hosts do not coordinate: each one earns retries by its own requests and
//! saves up a bounded credit, so that the sum over all hosts stays within the budget.
//!
//! A process starts without any credit, except at the very first start of the whole system: it can
//! not know how many retries earlier processes on its host have spent within the same window.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockMillis;

/// Fraction of the allowed ratio that each request earns at once; the rest may be saved up, for
/// times that need many retries.
const EARNED_FRACTION: f64 = 0.7;

/// Fraction of the burst that is refilled over one window; the rest may be saved up.
const REFILL_FRACTION: f64 = 0.5;

/// Fraction of the burst and of the saved credit that is used, since the windows of the operator
/// and of the hosts do not begin at the same time.
const SAFETY_FACTOR: f64 = 0.8;

/// The operator's retry budget over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries allowed within one window.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryPolicy {
    /// Returns the retries that a host earns by `requests` requests.
    fn earned_by(&self, requests: u32) -> f64 {
        self.ratio * EARNED_FRACTION * f64::from(requests)
    }

    /// Returns the retries that one of `hosts` hosts gets by time alone.
    fn refilled_in(&self, time: Duration, hosts: u32) -> f64 {
        let windows = time.as_secs_f64() / self.window.as_secs_f64();
        self.burst_per_host(hosts) * REFILL_FRACTION * windows
    }

    /// Returns the maximum credit of one of `hosts` hosts that had `requests` requests in the last
    /// window.
    fn max_credit(&self, requests: usize, hosts: u32) -> f64 {
        let by_requests = self.ratio * (1.0 - EARNED_FRACTION) * SAFETY_FACTOR * requests as f64;
        by_requests + self.burst_per_host(hosts) * (1.0 - REFILL_FRACTION)
    }

    fn burst_per_host(&self, hosts: u32) -> f64 {
        self.burst * SAFETY_FACTOR / f64::from(hosts.max(1))
    }
}

/// One host's share of the retry budget of a service.
#[derive(Debug, Clone, Default)]
pub struct RetryShare {
    /// Arrival times of the requests in the last window.
    requests: VecDeque<ClockMillis>,
    /// Requests that have not earned anything yet.
    uncredited_requests: u32,
    /// Retries that were earned and not spent.
    credit: f64,
    /// Time until which the burst has been refilled.
    refilled_until: Option<ClockMillis>,
}

impl RetryShare {
    /// Creates a share with full credit, for the very first start of the whole system;
    /// [`RetryShare::default`] is for any other start.
    pub fn with_full_credit() -> Self {
        Self { credit: f64::INFINITY, ..Self::default() }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now: ClockMillis) {
        self.requests.push_back(now);
        self.uncredited_requests += 1;
        self.refilled_until.get_or_insert(now);
    }

    /// Spends one retry and returns true, or returns false if there is no credit.
    ///
    /// `hosts` is the number of hosts that share the budget, at least one.
    pub fn try_spend(&mut self, policy: &RetryPolicy, hosts: u32, now: ClockMillis) -> bool {
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

    /// Removes requests that are older than the window.
    pub fn expire_requests(&mut self, policy: &RetryPolicy, now: ClockMillis) {
        let start = now - policy.window;
        while self.requests.front().is_some_and(|time| *time < start) {
            self.requests.pop_front();
        }
    }
}
