//! State of a host after a suspension, during which its clock goes on: everything that depends on
//! age must count the time.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis, ClockSource, MonotonicClock,
    chart::TenureState,
    fleet::{
        freshness::ConfigurationFreshness,
        prompt::PromptMetadata,
        quarantine::{
            InterruptedRun, QuarantineThresholds, QuarantineTracker, RequestTraits,
            engine_incarnation_id,
        },
        retry_share::{RetryPolicy, RetryShare},
    },
    organisation::{
        quota::{QuotaLimit, QuotaTolerance, QuotaUnit},
        share::{QuotaContext, QuotaShare},
    },
    placement::{LeaseRules, PlacerTenure},
};
use rustix::time::{ClockId, clock_gettime};

/// When the host is suspended, and when it resumes.
const SUSPENDED_AT: ClockMillis = ClockMillis::from_millis(100_000);
const RESUMED_AT: ClockMillis = ClockMillis::from_millis(130_000);

#[test]
fn the_clock_advances_during_a_suspension() {
    let clock = MonotonicClock::new();
    let boot_millis = || {
        let time = clock_gettime(ClockId::Boottime);
        u128::try_from(time.tv_sec).unwrap_or_default() * 1000
            + u128::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
    };
    let (clock_before, boot_before) = (clock.now(), boot_millis());
    std::thread::sleep(Duration::from_millis(120));
    let elapsed_millis = u128::from(clock.now().as_millis() - clock_before.as_millis());
    assert!(elapsed_millis.abs_diff(boot_millis() - boot_before) <= 2, "{elapsed_millis}");
}

#[test]
fn a_lease_has_lapsed() {
    for engines_enforce_fencing in [false, true] {
        let mut tenure = PlacerTenure::new(LeaseRules {
            time_to_live: Duration::from_secs(2),
            handover_wait: Duration::from_secs(3),
            engines_enforce_fencing,
        });
        tenure.handle_join(
            true,
            7,
            SUSPENDED_AT - Duration::from_secs(9),
            SUSPENDED_AT - Duration::from_secs(9),
        );
        tenure.handle_join(true, 7, SUSPENDED_AT, SUSPENDED_AT);
        assert_eq!(tenure.acting_token(SUSPENDED_AT), Some(7));
        assert_eq!(tenure.acting_token(RESUMED_AT), None);
        assert_eq!(tenure.state(), TenureState::Lapsed);
    }
}

#[test]
fn keys_are_not_served_after_a_suspension() {
    let mut freshness = ConfigurationFreshness::new(Some(Duration::from_secs(5)));
    freshness.confirm(SUSPENDED_AT, SUSPENDED_AT);
    assert!(freshness.keys_valid_until() >= SUSPENDED_AT);
    assert!(freshness.keys_valid_until() < RESUMED_AT);
}

#[test]
fn a_quota_without_ledger_updates_is_an_equal_share() {
    let limit = QuotaLimit { per_second: 10.0, burst: 10.0, unit: QuotaUnit::Requests };
    let tolerance = QuotaTolerance { window: Duration::from_secs(8), overage: 0.1, extra: 1.0 };
    let (north, hosts) = (Arc::from("north"), 10);
    let context = QuotaContext { limit: &limit, tolerance: &tolerance, hosts };
    let mut share = QuotaShare::unspent();
    share.apply_ledger_levels(&[], SUSPENDED_AT);
    let granted = (0..200).filter(|_| share.take(&north, 1, &context, RESUMED_AT).is_ok()).count();
    // An equal share of the quota: a tenth of 90 requests per window.
    assert!(granted <= 20, "{granted} granted at once");
}

#[test]
fn retry_credit_stays_capped_after_a_suspension() {
    let policy = RetryPolicy { ratio: 0.2, burst: 50.0, window: Duration::from_secs(10) };
    let mut share = RetryShare::default();
    for _ in 0..100 {
        share.record_request(SUSPENDED_AT);
    }
    let taken = (0..200).filter(|_| share.try_spend(&policy, 5, RESUMED_AT)).count();
    assert!(taken <= 10, "{taken} retries at once");
}

#[test]
fn a_quarantine_ends_during_a_suspension() {
    let mut tracker = QuarantineTracker::new("host", QuarantineThresholds::default());
    let traits = RequestTraits::new(1, "service", &PromptMetadata::default());
    for (engine, began) in [("a", 0), ("b", 200)] {
        let began = SUSPENDED_AT + Duration::from_millis(began);
        let run = InterruptedRun {
            traits: traits.clone(),
            organisation: None,
            began,
            version: 0,
            has_answered: false,
        };
        tracker.record_crash(
            engine_incarnation_id(engine, 0),
            &[run],
            began + Duration::from_millis(50),
        );
    }
    assert!(tracker.quarantine_left(&traits, 0, SUSPENDED_AT + Duration::from_secs(1)).is_some());
    assert_eq!(tracker.quarantine_left(&traits, 0, RESUMED_AT), None);
}
