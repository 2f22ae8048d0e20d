//! Simulates a workload under a strategy for granting quotas.

use std::collections::VecDeque;

use reelreel_core::organisation::quota::{QuotaLimit, QuotaUnit};

use crate::{
    random::Random,
    scenario::{PARTITION_GRACE_MS, REQUEST_COST, Scenario, Spread, TOLERANCE},
    strategies::{GrantStrategy, Network},
};

/// The outcome of a scenario.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// The shortfall of the grants against the quota, per second, as a fraction of the quota. Which of many
    /// requests beyond a quota are granted does not matter.
    pub(crate) refused: f64,
    /// The most granted in a window, as a fraction of the operator's bound.
    pub(crate) worst_window: f64,
}

pub(crate) fn limit_at(scenario: &Scenario, now: u64) -> QuotaLimit {
    let halved = scenario.halved.is_some_and(|from| now >= from);
    let per_second = if halved { scenario.rate / 2.0 } else { scenario.rate };
    QuotaLimit { per_second, burst: per_second, unit: QuotaUnit::Tokens { default_cost: 200 } }
}

pub(crate) fn host_for(scenario: &Scenario, random: &mut Random, now: u64) -> usize {
    let hosts = scenario.hosts;
    let uniform = |random: &mut Random, bound: usize| {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below one")]
        let host = (random.next() * bound as f64) as usize;
        host
    };
    let busy_hosts = (hosts / 10).max(1);
    match scenario.spread {
        Spread::Even => uniform(random, hosts),
        Spread::Uneven if random.next() < 0.9 => uniform(random, busy_hosts),
        Spread::Moving if random.next() < 0.9 => {
            let period = usize::try_from(now / 3000).expect("a short time");
            (uniform(random, busy_hosts) + period * busy_hosts) % hosts
        }
        _ => uniform(random, hosts),
    }
}

pub(crate) fn simulate(
    scenario: &Scenario,
    strategy: &mut dyn GrantStrategy,
    seed: u64,
) -> Outcome {
    let mut random = Random(seed);
    let mut granted: VecDeque<(u64, f64)> = VecDeque::new();
    let (mut window_sum, mut worst_ratio) = (0.0, 0.0_f64);
    let (mut requests_owed, mut shortfall, mut owed_in_second, mut granted_in_second) =
        (0.0, 0.0, 0.0, 0.0);
    let mut reference_bucket = limit_at(scenario, 0).burst;
    for step in 0..2200_u64 {
        let now = step * 10;
        let limit = limit_at(scenario, now);
        let within =
            |span: Option<(u64, u64)>| span.is_some_and(|(from, to)| (from..to).contains(&now));
        let network = Network {
            hosts: scenario.hosts,
            is_partitioned: within(scenario.partition),
            partition_noticed: within(
                scenario.partition.map(|(from, to)| (from + scenario.silence_noticed_after, to)),
            ),
            ledger_lost: within(scenario.ledger_lost),
            restarts: scenario.restart_times.contains(&now),
            ledger_moves: scenario.ledger_moves_often && now > 0 && now.is_multiple_of(2000),
        };
        strategy.tick(&limit, &network, now);
        reference_bucket = (reference_bucket + limit.per_second * 0.01).min(limit.burst);
        let demand = scenario.demand.iter().rev().find(|(from, _)| now >= *from);
        let demand_per_step =
            demand.map_or(0.0, |(_, part)| part * limit_at(scenario, 0).per_second) * 0.01;
        let mut expected = demand_per_step / REQUEST_COST as f64;
        while expected > random.next() {
            expected -= 1.0;
            let host = host_for(scenario, &mut random, now);
            let partitioned_for =
                scenario.partition.map_or(0, |(from, _)| now.saturating_sub(from));
            let is_unserved = network.is_partitioned
                && host < network.hosts / 3
                && partitioned_for > PARTITION_GRACE_MS;
            if is_unserved {
                continue;
            }
            let is_owed = reference_bucket > 0.0;
            if is_owed {
                reference_bucket -= REQUEST_COST as f64;
                owed_in_second += 1.0;
            }
            if strategy.try_grant(host, &limit, now) {
                granted.push_back((now, REQUEST_COST as f64));
                window_sum += REQUEST_COST as f64;
                granted_in_second += 1.0;
            }
        }
        if (step + 1).is_multiple_of(100) {
            requests_owed += owed_in_second;
            shortfall += f64::max(owed_in_second - granted_in_second, 0.0);
            (owed_in_second, granted_in_second) = (0.0, 0.0);
        }
        while granted.front().is_some_and(|(when, _)| now - when >= 8000) {
            window_sum -= granted.pop_front().map_or(0.0, |(_, cost)| cost);
        }
        let is_binding = scenario.halved.is_none_or(|from| now < from || now >= from + 8000);
        let allowed =
            (limit.units_within(TOLERANCE.window) + limit.burst) * (1.0 + TOLERANCE.overage);
        if is_binding {
            worst_ratio = worst_ratio.max(window_sum / (allowed + TOLERANCE.extra));
        }
    }
    Outcome { refused: shortfall / f64::max(requests_owed, 1.0), worst_window: worst_ratio }
}
