//! Plays a load against a way to grant, and sums what came of it.

use std::collections::VecDeque;

use reelreel_core::organisation::quota::{QuotaLimit, QuotaUnit};

use crate::{
    random::Random,
    scenario::{COST, CUT_SERVES, Scenario, Spread, TOLERANCE},
    ways::{GrantWay, Network},
};

/// What came of a scenario.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// By how much less was granted than the quota allows, second by second, in parts of what it allows. Which of
    /// many requests beyond a quota are granted makes no difference to the organisation.
    pub(crate) refused: f64,
    /// The most granted in a window, in parts of what the operator allows in it.
    pub(crate) worst_window: f64,
}

pub(crate) fn limit_at(scenario: &Scenario, now: u64) -> QuotaLimit {
    let halved = scenario.halved.is_some_and(|from| now >= from);
    let per_second = if halved { scenario.rate / 2.0 } else { scenario.rate };
    QuotaLimit { per_second, burst: per_second, unit: QuotaUnit::Tokens { default_cost: 200 } }
}

pub(crate) fn host_for(scenario: &Scenario, random: &mut Random, now: u64) -> usize {
    let hosts = scenario.hosts;
    let any = |random: &mut Random, most: usize| {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below one")]
        let host = (random.next() * most as f64) as usize;
        host
    };
    let busy = (hosts / 10).max(1);
    match scenario.spread {
        Spread::Even => any(random, hosts),
        Spread::Uneven if random.next() < 0.9 => any(random, busy),
        Spread::Moving if random.next() < 0.9 => {
            let turn = usize::try_from(now / 3000).expect("a short time");
            (any(random, busy) + turn * busy) % hosts
        }
        _ => any(random, hosts),
    }
}

pub(crate) fn play(scenario: &Scenario, way: &mut dyn GrantWay, seed: u64) -> Outcome {
    let mut random = Random(seed);
    let mut granted: VecDeque<(u64, f64)> = VecDeque::new();
    let (mut sum, mut worst) = (0.0, 0.0_f64);
    let (mut owed, mut short, mut second_owed, mut second_granted) = (0.0, 0.0, 0.0, 0.0);
    let mut reference = limit_at(scenario, 0).burst;
    for step in 0..2200_u64 {
        let now = step * 10;
        let limit = limit_at(scenario, now);
        let within =
            |span: Option<(u64, u64)>| span.is_some_and(|(from, to)| (from..to).contains(&now));
        let network = Network {
            hosts: scenario.hosts,
            cut: within(scenario.cut),
            cut_noticed: within(
                scenario.cut.map(|(from, to)| (from + scenario.silence_noticed, to)),
            ),
            ledger_lost: within(scenario.ledger_lost),
            restarts: scenario.restarts.contains(&now),
            ledger_moves: scenario.ledger_moves && now > 0 && now.is_multiple_of(2000),
        };
        way.tick(&limit, &network, now);
        reference = (reference + limit.per_second * 0.01).min(limit.burst);
        let demand = scenario.demand.iter().rev().find(|(from, _)| now >= *from);
        let per_step =
            demand.map_or(0.0, |(_, part)| part * limit_at(scenario, 0).per_second) * 0.01;
        let mut expected = per_step / COST as f64;
        while expected > random.next() {
            expected -= 1.0;
            let host = host_for(scenario, &mut random, now);
            let cut_for = scenario.cut.map_or(0, |(from, _)| now.saturating_sub(from));
            let silent = network.cut && host < network.hosts / 3 && cut_for > CUT_SERVES;
            if silent {
                continue;
            }
            let is_owed = reference > 0.0;
            if is_owed {
                reference -= COST as f64;
                second_owed += 1.0;
            }
            if way.ask(host, &limit, now) {
                granted.push_back((now, COST as f64));
                sum += COST as f64;
                second_granted += 1.0;
            }
        }
        if (step + 1).is_multiple_of(100) {
            owed += second_owed;
            short += f64::max(second_owed - second_granted, 0.0);
            (second_owed, second_granted) = (0.0, 0.0);
        }
        while granted.front().is_some_and(|(when, _)| now - when >= 8000) {
            sum -= granted.pop_front().map_or(0.0, |(_, cost)| cost);
        }
        let binding = scenario.halved.is_none_or(|from| now < from || now >= from + 8000);
        let allowed =
            (limit.units_within(TOLERANCE.window) + limit.burst) * (1.0 + TOLERANCE.overage);
        if binding {
            worst = worst.max(sum / (allowed + TOLERANCE.extra));
        }
    }
    Outcome { refused: short / f64::max(owed, 1.0), worst_window: worst }
}
