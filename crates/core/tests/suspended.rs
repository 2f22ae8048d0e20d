//! What a host believes whose clock has gone on while it was suspended: everything with an age is as old as it is.

use std::{sync::Arc, time::Duration};

use reelreel_core::{
    ClockMillis, ClockSource, MonotonicClock,
    chart::TenureState,
    fleet::{
        freshness::ConfigurationFreshness,
        quarantine::{ENDS_UNTIL_HELD, EndedRun, QuarantineBook, engine_life},
        retry_share::{RetryAllowance, RetryShare},
    },
    organisation::{
        quota::{QuotaLimit, QuotaTolerance, QuotaUnit},
        share::{QuotaShare, QuotaTerms},
    },
    placement::{LeaseRules, PlacerTenure},
};
use rustix::time::{ClockId, clock_gettime};

/// When hosts are suspended, and when they are back.
const BEFORE: ClockMillis = ClockMillis::from_millis(100_000);
const BACK: ClockMillis = ClockMillis::from_millis(130_000);

#[test]
fn the_clock_is_the_one_that_goes_on() {
    let clock = MonotonicClock::new();
    let boot = || {
        let time = clock_gettime(ClockId::Boottime);
        u128::try_from(time.tv_sec).unwrap_or_default() * 1000
            + u128::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
    };
    let (own, other) = (clock.now(), boot());
    std::thread::sleep(Duration::from_millis(120));
    let passed = u128::from(clock.now().as_millis() - own.as_millis());
    assert!(passed.abs_diff(boot() - other) <= 2, "{passed}");
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
            BEFORE - Duration::from_secs(9),
            BEFORE - Duration::from_secs(9),
        );
        tenure.handle_join(true, 7, BEFORE, BEFORE);
        assert_eq!(tenure.acting_token(BEFORE), Some(7));
        assert_eq!(tenure.acting_token(BACK), None);
        assert_eq!(tenure.state(), TenureState::Lapsed);
    }
}

#[test]
fn keys_are_not_served_by_what_was_known() {
    let mut freshness = ConfigurationFreshness::new(Some(Duration::from_secs(5)));
    freshness.confirmed(BEFORE, BEFORE);
    assert!(freshness.keys_until() >= BEFORE);
    assert!(freshness.keys_until() < BACK);
}

#[test]
fn a_quota_without_word_of_the_ledger_is_an_equal_part() {
    let limit = QuotaLimit { per_second: 10.0, burst: 10.0, unit: QuotaUnit::Requests };
    let tolerance = QuotaTolerance { window: Duration::from_secs(8), overage: 0.1, extra: 1.0 };
    let (north, hosts) = (Arc::from("north"), 10);
    let terms = QuotaTerms { limit: &limit, tolerance: &tolerance, hosts };
    let mut share = QuotaShare::unspent();
    share.ledger_received(&[], BEFORE);
    let granted = (0..200).filter(|_| share.take(&north, 1, &terms, BACK).is_ok()).count();
    // Of a quota of 90 in a window and 10 hosts.
    assert!(granted <= 20, "{granted} granted at once");
}

#[test]
fn a_retry_budget_saves_up_no_more_than_at_any_other_time() {
    let allowance = RetryAllowance { ratio: 0.2, burst: 50.0, window: Duration::from_secs(10) };
    let mut share = RetryShare::default();
    for _ in 0..100 {
        share.note_request(BEFORE);
    }
    let taken = (0..200).filter(|_| share.take(&allowance, 5, BACK)).count();
    assert!(taken <= 10, "{taken} sends at once");
}

#[test]
fn a_request_is_held_back_until_its_time_is_over() {
    let mut book = QuarantineBook::new("host", ENDS_UNTIL_HELD);
    for (engine, began) in [("a", 0), ("b", 200)] {
        let began = BEFORE + Duration::from_millis(began);
        let run = EndedRun { mark: 1, organisation: None, began, version: 0 };
        book.engine_ended(engine_life(engine, 0), &[run], began + Duration::from_millis(50));
    }
    assert!(book.held(1, 0, BEFORE + Duration::from_secs(1)).is_some());
    assert_eq!(book.held(1, 0, BACK), None);
}
