//! A simulated engine that declares a limit, and the requests that arrive for it at many hosts.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelreel_core::{ClockMillis, fleet::limits::limit::RequestLimit};

/// The time step of a simulation.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// The window in which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);

/// The time until the engine's response begins.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// When the engine starts to declare its limit.
pub(crate) const DECLARED_AT: Duration = Duration::from_secs(2);

/// How soon after that all hosts have to keep the limit.
pub(crate) const CONVERGENCE_TIME: Duration = Duration::from_secs(1);

/// The parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitWorkload {
    pub(crate) hosts: usize,
    /// The declared limit. Unit: requests per second.
    pub(crate) limit: f64,
    /// The requests at all hosts together. Unit: requests per second.
    pub(crate) demand: f64,
    /// Whether all requests arrive at one host.
    pub(crate) single_host: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// How hosts decide which requests they send.
pub(crate) trait LimitStrategy {
    /// Handles a request that arrives at a host.
    fn on_arrival(&mut self, host: usize, now: ClockMillis);

    /// Handles the response to a request that was sent at `requested_at`.
    fn on_response(
        &mut self,
        host: usize,
        limit: Option<RequestLimit>,
        requested_at: ClockMillis,
        now: ClockMillis,
    );

    /// Returns the hosts that send a request now, once per request.
    fn hosts_to_send(&mut self, now: ClockMillis) -> Vec<usize>;
}

/// The requests that reached the engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentRequests {
    /// When each of them was sent.
    pub(crate) sent: Vec<ClockMillis>,
}

impl SentRequests {
    /// Returns the largest number of requests in a window that starts at `from` or later.
    pub(crate) fn max_in_window(&self, from: ClockMillis) -> usize {
        let sent = &self.sent[self.sent.partition_point(|at| *at < from)..];
        let until = |first: ClockMillis| sent.partition_point(|at| *at < first + WINDOW);
        sent.iter().enumerate().map(|(index, first)| until(*first) - index).max().unwrap_or(0)
    }

    /// Returns the number of requests between `from` and `until`.
    pub(crate) fn count(&self, from: ClockMillis, until: ClockMillis) -> usize {
        self.sent.iter().filter(|at| **at >= from && **at < until).count()
    }
}

/// Returns how many events of a rate occur in a step.
pub(crate) fn sample_events(rate: f64, step: Duration, random: &mut Pcg64Mcg) -> usize {
    // Steps are short enough to neglect two events in one.
    usize::from(random.random::<f64>() < rate * step.as_secs_f64())
}

/// Runs a workload under a strategy.
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
