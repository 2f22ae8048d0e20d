//! One engine that names a limit, requests that want to go there at many hosts, and what reaches it.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{ClockMillis, fleet::limits::limit::RequestLimit};

/// How often everything is looked at.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Over which time what reaches the engine is counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);

/// How long the engine takes until its answer begins.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// When the engine begins to name its limit.
pub(crate) const DECLARED_AT: Duration = Duration::from_secs(2);

/// Within which time all hosts are to keep it.
pub(crate) const CONVERGENCE_TIME: Duration = Duration::from_secs(1);

/// What one play is made of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitWorkload {
    /// How many hosts there are.
    pub(crate) hosts: usize,
    /// What the engine names. Unit: requests a second.
    pub(crate) limit: f64,
    /// What wants to go there, at all hosts together. Unit: requests a second.
    pub(crate) demand: f64,
    /// Whether all of it comes to one host.
    pub(crate) single_host: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// How hosts decide what they send.
pub(crate) trait LimitStrategy {
    /// Takes a request at a host.
    fn on_arrival(&mut self, host: usize, now: ClockMillis);

    /// Takes an answer at a host to what was sent at `requested_at`.
    fn on_response(
        &mut self,
        host: usize,
        limit: Option<RequestLimit>,
        requested_at: ClockMillis,
        now: ClockMillis,
    );

    /// Returns the hosts that send a request now, once for each request.
    fn hosts_to_send(&mut self, now: ClockMillis) -> Vec<usize>;
}

/// What reached the engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentRequests {
    /// When each request reached it.
    pub(crate) sent: Vec<ClockMillis>,
}

impl SentRequests {
    /// Returns the most that reached it in a window that begins at `from` or later.
    pub(crate) fn max_in_window(&self, from: ClockMillis) -> usize {
        let sent = &self.sent[self.sent.partition_point(|at| *at < from)..];
        let until = |first: ClockMillis| sent.partition_point(|at| *at < first + WINDOW);
        sent.iter().enumerate().map(|(index, first)| until(*first) - index).max().unwrap_or(0)
    }

    /// Returns how many reached it from `from` on until `until`.
    pub(crate) fn count(&self, from: ClockMillis, until: ClockMillis) -> usize {
        self.sent.iter().filter(|at| **at >= from && **at < until).count()
    }
}

/// Returns how many events of a rate come within a step.
pub(crate) fn sample_events(rate: f64, step: Duration, random: &mut Pcg64Mcg) -> usize {
    // Steps are short, so that two or more in one are as good as left out.
    usize::from(random.random::<f64>() < rate * step.as_secs_f64())
}

/// Plays a load under one way.
pub(crate) fn simulate(workload: &LimitWorkload, strategy: &mut dyn LimitStrategy) -> SentRequests {
    let mut random = Pcg64Mcg::seed_from_u64(workload.seed);
    let limit = RequestLimit::new(workload.limit);
    let declared_at = ClockMillis::from_millis(1) + DECLARED_AT;
    let mut responses: VecDeque<(ClockMillis, ClockMillis, usize)> = VecDeque::new();
    let mut sent_requests = SentRequests::default();
    let mut now = ClockMillis::from_millis(1);
    let end = now + Duration::from_secs(workload.seconds);
    while now < end {
        for _ in 0..sample_events(workload.demand, STEP, &mut random) {
            let host =
                if workload.single_host { 0 } else { random.random_range(0..workload.hosts) };
            strategy.on_arrival(host, now);
        }
        while let Some((due, requested_at, host)) = responses.front().copied()
            && due <= now
        {
            responses.pop_front();
            strategy.on_response(
                host,
                limit.filter(|_| requested_at >= declared_at),
                requested_at,
                now,
            );
        }
        for host in strategy.hosts_to_send(now) {
            sent_requests.sent.push(now);
            responses.push_back((now + RESPONSE_TIME, now, host));
        }
        now = now + STEP;
    }
    sent_requests
}
