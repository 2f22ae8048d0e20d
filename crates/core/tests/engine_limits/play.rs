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
const ANSWERS_AFTER: Duration = Duration::from_millis(100);

/// When the engine begins to name its limit.
pub(crate) const NAMES_AT: Duration = Duration::from_secs(2);

/// Within which time all hosts are to keep it.
pub(crate) const KEPT_WITHIN: Duration = Duration::from_secs(1);

/// What one play is made of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitLoad {
    /// How many hosts there are.
    pub(crate) hosts: usize,
    /// What the engine names. Unit: requests a second.
    pub(crate) limit: f64,
    /// What wants to go there, at all hosts together. Unit: requests a second.
    pub(crate) demand: f64,
    /// Whether all of it comes to one host.
    pub(crate) at_one: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// How hosts decide what they send.
pub(crate) trait LimitWay {
    /// Takes a request at a host.
    fn arrives(&mut self, host: usize, now: ClockMillis);

    /// Takes an answer at a host to what was sent at `asked`.
    fn answered(
        &mut self,
        host: usize,
        limit: Option<RequestLimit>,
        asked: ClockMillis,
        now: ClockMillis,
    );

    /// Returns the hosts that send a request now, once for each request.
    fn sends(&mut self, now: ClockMillis) -> Vec<usize>;
}

/// What reached the engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitFigures {
    /// When each request reached it.
    pub(crate) sent: Vec<ClockMillis>,
}

impl LimitFigures {
    /// Returns the most that reached it in a window that begins at `from` or later.
    pub(crate) fn most(&self, from: ClockMillis) -> usize {
        let sent = &self.sent[self.sent.partition_point(|at| *at < from)..];
        let until = |first: ClockMillis| sent.partition_point(|at| *at < first + WINDOW);
        sent.iter().enumerate().map(|(place, first)| until(*first) - place).max().unwrap_or(0)
    }

    /// Returns how many reached it from `from` on until `until`.
    pub(crate) fn count(&self, from: ClockMillis, until: ClockMillis) -> usize {
        self.sent.iter().filter(|at| **at >= from && **at < until).count()
    }
}

/// Returns how many events of a rate come within a step.
pub(crate) fn events_of(rate: f64, step: Duration, random: &mut Pcg64Mcg) -> usize {
    // Steps are short, so that two or more in one are as good as left out.
    usize::from(random.random::<f64>() < rate * step.as_secs_f64())
}

/// Plays a load under one way.
pub(crate) fn play(load: &LimitLoad, way: &mut dyn LimitWay) -> LimitFigures {
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let limit = RequestLimit::new(load.limit);
    let names_at = ClockMillis::from_millis(1) + NAMES_AT;
    let mut answers: VecDeque<(ClockMillis, ClockMillis, usize)> = VecDeque::new();
    let mut figures = LimitFigures::default();
    let mut now = ClockMillis::from_millis(1);
    let end = now + Duration::from_secs(load.seconds);
    while now < end {
        for _ in 0..events_of(load.demand, STEP, &mut random) {
            let host = if load.at_one { 0 } else { random.random_range(0..load.hosts) };
            way.arrives(host, now);
        }
        while let Some((due, asked, host)) = answers.front().copied()
            && due <= now
        {
            answers.pop_front();
            way.answered(host, limit.filter(|_| asked >= names_at), asked, now);
        }
        for host in way.sends(now) {
            figures.sent.push(now);
            answers.push_back((now + ANSWERS_AFTER, now, host));
        }
        now = now + STEP;
    }
    figures
}
