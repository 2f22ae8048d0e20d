//! Quota accounts that limit the grants of each window.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis,
    organisation::{
        OrganisationDirectory, OrganisationEntry, OrganisationName,
        key::KeyDigest,
        ledger::QuotaLedger,
        quota::{QuotaLimit, QuotaTolerance, QuotaUnit},
        share::{QuotaLevel, QuotaUsage},
    },
};

const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: QuotaTolerance = QuotaTolerance { window: WINDOW, overage: 0.1, extra: 0.0 };
const STEP_MS: u64 = 50;

/// Demand of one organisation whose grants follow the published level.
struct WindowCase {
    name: &'static str,
    /// Rate and burst of the limit.
    limit: (f64, f64),
    /// Demand per second until and from the given second.
    demand: (f64, f64),
    changes_at_secs: u64,
    /// Least amount granted within the last window, relative to rate and burst of a window.
    min_granted: f64,
}

/// A bucket refuses what the quota allows: it gives the burst once, and the quota in each window.
const CASES: &[WindowCase] = &[
    WindowCase {
        name: "slightly above the rate",
        limit: (100.0, 400.0),
        demand: (140.0, 140.0),
        changes_at_secs: 0,
        min_granted: 0.9,
    },
    WindowCase {
        name: "a flood after the usual load",
        limit: (100.0, 100.0),
        demand: (50.0, 700.0),
        changes_at_secs: 16,
        min_granted: 0.95,
    },
    WindowCase {
        name: "a flood from the start",
        limit: (100.0, 0.0),
        demand: (1000.0, 1000.0),
        changes_at_secs: 0,
        min_granted: 0.95,
    },
];

fn directory(limit: QuotaLimit) -> OrganisationDirectory {
    let mut directory = OrganisationDirectory::default();
    let entry = OrganisationEntry { name: Arc::from("north"), priority: None, quota: Some(limit) };
    directory.insert(entry, [KeyDigest::of(b"key")]);
    directory
}

fn usage(amount: f64) -> QuotaUsage {
    QuotaUsage { organisation: OrganisationName::from("north"), amount, level: None }
}

fn level(levels: &[QuotaLevel]) -> f64 {
    levels.first().map_or(f64::INFINITY, |level| level.level)
}

#[test]
fn a_window_gives_its_rate_and_burst_and_no_more() {
    for case in CASES {
        let (per_second, burst) = case.limit;
        let limit = QuotaLimit { per_second, burst, unit: QuotaUnit::Requests };
        let mut ledger = QuotaLedger::new(TOLERANCE, WINDOW, false);
        ledger.limit_windows();
        ledger.set_limits(&directory(limit), ClockMillis::from_millis(0));
        let allowed = limit.units_within(WINDOW) + burst;
        let host = Arc::from("host");
        let mut grants: Vec<f64> = Vec::new();
        let steps_per_window = 8000 / 50;
        for step in 1..=(32_000 / STEP_MS) {
            let now = ClockMillis::from_millis(step * STEP_MS);
            let changed = step * STEP_MS >= case.changes_at_secs * 1000;
            let demand = if changed { case.demand.1 } else { case.demand.0 };
            let wanted = demand * STEP_MS as f64 / 1000.0;
            let granted = wanted.min(level(&ledger.low_levels(now)).max(0.0));
            ledger.record_usage(&host, &[usage(granted)], now);
            grants.push(granted);
            let within: f64 = grants.iter().rev().take(steps_per_window).sum();
            let one_step = wanted.max(per_second);
            assert!(within <= allowed + one_step, "{}: {within} of {allowed}", case.name);
        }
        let within: f64 = grants.iter().rev().take(steps_per_window).sum();
        let wanted = case.demand.1 * WINDOW.as_secs_f64();
        let least = case.min_granted * allowed.min(wanted);
        assert!(within >= least, "{}: {within} of {allowed}", case.name);
    }
}

/// Guards against a new coordinator that grants nothing for a window because it takes all earlier
/// use as recent.
#[test]
fn a_ledger_that_opens_empty_gains_its_rate_evenly() {
    let limit = QuotaLimit { per_second: 100.0, burst: 0.0, unit: QuotaUnit::Requests };
    // Accounts are listed at any level.
    let tolerance = QuotaTolerance { extra: 10_000.0, ..TOLERANCE };
    let mut ledger = QuotaLedger::new(tolerance, WINDOW, false);
    ledger.limit_windows();
    ledger.set_limits(&directory(limit), ClockMillis::from_millis(0));
    for (secs, expected) in [(2, 200.0), (4, 400.0)] {
        let now = ClockMillis::from_millis(secs * 1000);
        let left = level(&ledger.low_levels(now));
        assert!((left - expected).abs() <= 50.0, "{left} after {secs} s");
    }
}

/// Guards against a lower limit that takes effect only once earlier use has left the window, or a
/// higher one that does not take effect.
#[test]
fn a_changed_limit_changes_what_is_left() {
    let tolerance = QuotaTolerance { extra: 10_000.0, ..TOLERANCE };
    let limit = |per_second| QuotaLimit { per_second, burst: 0.0, unit: QuotaUnit::Requests };
    let mut ledger = QuotaLedger::new(tolerance, WINDOW, false);
    ledger.limit_windows();
    let now = ClockMillis::from_millis(0);
    ledger.set_limits(&directory(limit(100.0)), now);
    let before = level(&ledger.low_levels(now));
    ledger.set_limits(&directory(limit(50.0)), now);
    assert!(level(&ledger.low_levels(now)) < before, "a lower limit");
    ledger.set_limits(&directory(limit(150.0)), now);
    assert!(level(&ledger.low_levels(now)) > before, "a higher limit");
}
