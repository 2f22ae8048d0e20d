//! Computes the results of one policy from the calls that the fakes recorded.

use std::collections::BTreeMap;

use reelreel_core::CallerOutcome;
use reelreel_fakes::{CallerRecord, FakeSite};
use serde::Serialize;

use super::scenario::Scenario;

/// Served calls that waited for longer than this count as waited.
const WAIT_THRESHOLD_MS: u64 = 50;

/// Results of one policy in one scenario.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PolicyResult {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    pub(crate) calls: usize,
    /// Share of worth served: first token within the deadline and a complete answer.
    pub(crate) worth_served: f64,
    /// Share of served calls that waited for longer than the threshold.
    pub(crate) share_waited: f64,
    /// Wait quantiles of those calls. Unit: seconds.
    pub(crate) wait_p50: f64,
    pub(crate) wait_p95: f64,
    pub(crate) wait_p99: f64,
    pub(crate) wait_longest: f64,
    /// Mean share of an engine's streams in use while it runs any.
    pub(crate) batch_fill: f64,
    pub(crate) loads_per_thousand: f64,
    /// Share of loads whose adapter was unloaded before any request used it.
    pub(crate) wasted_share: f64,
    /// Median time from arrival to refusal. Unit: seconds.
    pub(crate) refused_after: f64,
    /// Jain's fairness index over the organisations' shares of worth served.
    pub(crate) jain_index: f64,
    /// Smallest share of worth served of any organisation.
    pub(crate) worst_organisation: f64,
}

fn was_served(caller: &CallerRecord) -> bool {
    let complete = matches!(caller.outcome, Some((CallerOutcome::Answered, _)));
    let deadline = caller.arrived_at + caller.max_wait_ms;
    complete && caller.first_token_at.is_some_and(|first| first <= deadline)
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
    let index = ((sorted.len() - 1) as f64 * quantile).round() as usize;
    sorted[index]
}

/// Computes the results of the calls in the measured window.
pub(crate) fn policy_result(scenario: &Scenario, policy: &str, site: &FakeSite) -> PolicyResult {
    let (from, until) = scenario.measured_window();
    let in_window = |caller: &&CallerRecord| (from..until).contains(&caller.arrived_at);
    let callers: Vec<&CallerRecord> = site.evidence.callers.values().filter(in_window).collect();
    let worth: f64 = callers.iter().map(|caller| caller.worth).sum();
    let mut waits = Vec::new();
    let mut refusals = Vec::new();
    let mut served_worth = 0.0;
    let mut served_count = 0;
    let mut organisations: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for caller in &callers {
        let share = organisations.entry(&caller.organisation).or_default();
        share.1 += caller.worth;
        if was_served(caller) {
            share.0 += caller.worth;
            served_worth += caller.worth;
            served_count += 1;
            let waited = caller.first_run_at.unwrap_or(caller.arrived_at) - caller.arrived_at;
            if waited > WAIT_THRESHOLD_MS {
                waits.push(waited as f64 / 1_000.0);
            }
        } else if let Some((_, at)) = caller.outcome {
            refusals.push((at - caller.arrived_at) as f64 / 1_000.0);
        }
    }
    waits.sort_by(f64::total_cmp);
    refusals.sort_by(f64::total_cmp);
    let shares: Vec<f64> =
        organisations.values().map(|(served, total)| served / total.max(1e-9)).collect();
    let sum: f64 = shares.iter().sum();
    let sum_of_squares: f64 = shares.iter().map(|share| share * share).sum();
    let busy = site
        .evidence
        .busy_time
        .values()
        .fold((0.0, 0.0), |sum, (running, time)| (sum.0 + running, sum.1 + time));
    PolicyResult {
        scenario: scenario.name.clone(),
        policy: policy.to_owned(),
        calls: callers.len(),
        worth_served: served_worth / worth.max(1e-9),
        share_waited: waits.len() as f64 / f64::from(served_count).max(1.0),
        wait_p50: quantile(&waits, 0.5),
        wait_p95: quantile(&waits, 0.95),
        wait_p99: quantile(&waits, 0.99),
        wait_longest: quantile(&waits, 1.0),
        batch_fill: busy.0 / (busy.1 * f64::from(scenario.streams)).max(1e-9),
        loads_per_thousand: site.evidence.loads as f64 * 1_000.0
            / site.evidence.callers.len().max(1) as f64,
        wasted_share: site.evidence.unused_loads as f64 / (site.evidence.loads as f64).max(1.0),
        refused_after: quantile(&refusals, 0.5),
        jain_index: sum * sum / (shares.len() as f64 * sum_of_squares).max(1e-9),
        worst_organisation: shares.iter().copied().fold(1.0, f64::min),
    }
}
